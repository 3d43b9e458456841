"""Records of a deployment; times are in seconds."""

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """Classify requests by whether they may run more than once.

    Only safe requests may. An upload is an unsafe request with a large body.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self is RouteKind.SAFE


class Share(msgspec.Struct, frozen=True):
    """Send a service a part of a route's requests, by its weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Route the requests of one host below a path prefix.

    `service` is None if `split` divides the requests among services.
    `attempts` is how many targets one request may be sent to. A `priority`
    of 0 is the most urgent. With `by_object`, targets serve an object faster
    if they have served it recently.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    attempts: int
    priority: int
    is_open: bool
    by_object: bool
    home_regions: tuple[str, ...] = ()
    service: str | None = None
    split: tuple[Share, ...] = ()

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that requests may go to."""
        if self.service is not None:
            return (self.service,)
        return tuple(share.service for share in self.split if share.weight)


class Service(msgspec.Struct, frozen=True):
    """Describe the targets of one service.

    A target is cold for `cold_start_s` after its start; while it is cold, it
    can serve `cold_per_s` requests per second.
    """

    name: str
    health_path: str
    connection_limit: int
    protocol: str
    tls: bool
    cold_start_s: float
    cold_per_s: float


class Account(msgspec.Struct, frozen=True):
    """Describe a client account; a rate of 0 means no limit."""

    name: str
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float
    home_regions: tuple[str, ...] = ()


class RequestLimits(msgspec.Struct, frozen=True):
    """Bound the size of a caller's requests and the time to send them."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class Deployment(msgspec.Struct, frozen=True):
    """Hold one version of the routing configuration."""

    version: int
    services: tuple[Service, ...]
    limits: RequestLimits
    accounts: tuple[Account, ...]
    hosts: tuple[str, ...]
    routes: tuple[Route, ...]

    @property
    def has_accounts(self) -> bool:
        """Return whether callers need keys."""
        return bool(self.accounts)
