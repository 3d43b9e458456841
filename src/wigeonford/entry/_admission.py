"""Admission: find the route, API key and client account of a request."""

from dataclasses import dataclass

from wigeonford.entry._published import EntryConfig
from wigeonford.errors import Code, RequestRejected
from wigeonford.http import Request
from wigeonford.model import hash_key, KeyRecord, Route, Service

STALE_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Admission:
    """Hold the result of admission; `key` is None on an open route."""

    route: Route
    service: Service
    key: KeyRecord | None

    @property
    def account(self) -> str | None:
        """Return the client account's name; None on an open route."""
        return self.key.account if self.key is not None else None


def find_route(config: EntryConfig, method: str, path: str) -> Route:
    """Return the route with the longest prefix; raise `RequestRejected`."""
    matches = [
        route
        for route in config.objects.routes.values()
        if _matches_prefix(route.path_prefix, path)
    ]
    if not matches:
        raise RequestRejected(Code.NO_ROUTE, path)
    allowed = [route for route in matches if method in route.methods]
    if not allowed:
        raise RequestRejected(Code.METHOD_NOT_ALLOWED, method)
    return max(allowed, key=lambda route: len(route.path_prefix))


def _matches_prefix(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    suffix = path[len(prefix) :]
    return prefix.endswith("/") or not suffix or suffix.startswith("/")


def parse_bearer_key(request: Request) -> str | None:
    """Return the bearer key of a request, or None."""
    value = request.header(b"authorization")
    if value is None:
        return None
    scheme, _, key = value.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None


def admit(
    config: EntryConfig,
    request: Request,
    hash_secret: str,
    *,
    is_fresh: bool,
) -> Admission:
    """Return the route, service and key; raise `RequestRejected`.

    `is_fresh` says whether the configuration is recent enough to trust a
    key; open routes don't require it.
    """
    route = find_route(config, request.method, request.path)
    service = config.objects.services[route.service]
    if route.open_to_all:
        return Admission(route, service, None)
    if not is_fresh:
        raise RequestRejected(
            Code.CONFIG_STALE, retry_after_s=STALE_RETRY_AFTER_S
        )
    presented = parse_bearer_key(request)
    if presented is None:
        raise RequestRejected(Code.KEY_MISSING)
    key = config.keys_by_digest.get(hash_key(hash_secret, presented))
    if key is None:
        raise RequestRejected(Code.KEY_UNKNOWN)
    if key.withdrawn:
        raise RequestRejected(Code.KEY_WITHDRAWN)
    account = config.objects.client_accounts.get(key.account)
    if account is None:
        raise RequestRejected(Code.KEY_UNKNOWN)
    if account.routes and route.name not in account.routes:
        raise RequestRejected(Code.ROUTE_NOT_GRANTED, route.name)
    return Admission(route, service, key)


def recheck_key(
    config: EntryConfig, admission: Admission, *, is_fresh: bool
) -> None:
    """Raise `RequestRejected` if the key was withdrawn since admission.

    Also raise if the configuration is no longer fresh.
    """
    if admission.key is None:
        return
    if not is_fresh:
        raise RequestRejected(
            Code.CONFIG_STALE, retry_after_s=STALE_RETRY_AFTER_S
        )
    current_key = config.keys_by_digest.get(admission.key.digest)
    if current_key is None or current_key.withdrawn:
        raise RequestRejected(Code.KEY_WITHDRAWN)
