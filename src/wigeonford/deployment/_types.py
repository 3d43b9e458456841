"""The parts of a deployment; times in seconds."""

from enum import StrEnum

import msgspec


class RouteKind(StrEnum):
    """Say how often a request of a route may run.

    An upload is as little repeatable as an unsafe request; it has a large
    body.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def is_idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self is RouteKind.SAFE


class Share(msgspec.Struct, frozen=True):
    """Give a service its part of a route, in proportion to the weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Steer the requests of one host below a path prefix.

    `service` is None where `split` divides the route. `attempts` counts
    the targets that one request may be sent to. Rank 0 in `priority` is
    the most urgent. `by_object` says that targets serve an object faster
    that they have served lately.
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

    A target is cold for `cold_start_s` after its start and then stands
    `cold_per_s` requests a second.
    """

    name: str
    health_path: str
    connection_limit: int
    protocol: str
    tls: bool
    cold_start_s: float
    cold_per_s: float


class Account(msgspec.Struct, frozen=True):
    """Describe a client account; a rate of 0 has no bound."""

    name: str
    keys: tuple[str, ...]
    priority: int
    rate_per_s: float
    burst: float
    home_regions: tuple[str, ...] = ()


class RequestLimits(msgspec.Struct, frozen=True):
    """Bound what a caller may send and how long it may take."""

    head_bytes: int
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float


class Deployment(msgspec.Struct, frozen=True):
    """Hold one version of everything that steers requests."""

    version: int
    services: tuple[Service, ...]
    limits: RequestLimits
    accounts: tuple[Account, ...]
    hosts: tuple[str, ...]
    routes: tuple[Route, ...]

    @property
    def has_accounts(self) -> bool:
        """Tell whether callers need keys."""
        return bool(self.accounts)
