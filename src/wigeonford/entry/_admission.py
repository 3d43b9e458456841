"""Admission: the route, the key and the client account of a request."""

from dataclasses import dataclass

from wigeonford.entry._published import EntryConfig
from wigeonford.errors import Code, RequestRefused
from wigeonford.http import Request
from wigeonford.model import hash_key, KeyRecord, Route, Service

RETRY_STALE_S = 2.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """Hold what admission found out; `key` is None on an open route."""

    route: Route
    service: Service
    key: KeyRecord | None

    @property
    def account(self) -> str | None:
        """Return the client account's name."""
        return self.key.account if self.key is not None else None


def find_route(config: EntryConfig, method: str, path: str) -> Route:
    """Return the route with the longest prefix; raise `RequestRefused`."""
    matches = [
        route
        for route in config.objects.routes.values()
        if _covers(route.path_prefix, path)
    ]
    if not matches:
        raise RequestRefused(Code.NO_ROUTE, path)
    allowed = [route for route in matches if method in route.methods]
    if not allowed:
        raise RequestRefused(Code.METHOD_NOT_ALLOWED, method)
    return max(allowed, key=lambda route: len(route.path_prefix))


def _covers(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return prefix.endswith("/") or not rest or rest.startswith("/")


def bearer_key(request: Request) -> str | None:
    """Return the key that a request presents, or None."""
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
) -> Admitted:
    """Return the route and account; raise `RequestRefused`."""
    route = find_route(config, request.method, request.path)
    service = config.objects.services[route.service]
    if route.open_to_all:
        return Admitted(route, service, None)
    if not is_fresh:
        raise RequestRefused(Code.CONFIG_STALE, retry_after_s=RETRY_STALE_S)
    presented = bearer_key(request)
    if presented is None:
        raise RequestRefused(Code.KEY_MISSING)
    key = config.keys_by_digest.get(hash_key(hash_secret, presented))
    if key is None:
        raise RequestRefused(Code.KEY_UNKNOWN)
    if key.withdrawn:
        raise RequestRefused(Code.KEY_WITHDRAWN)
    account = config.objects.client_accounts.get(key.account)
    if account is None:
        raise RequestRefused(Code.KEY_UNKNOWN)
    if account.routes and route.name not in account.routes:
        raise RequestRefused(Code.ROUTE_NOT_GRANTED, route.name)
    return Admitted(route, service, key)


def recheck(
    config: EntryConfig, admitted: Admitted, *, is_fresh: bool
) -> None:
    """Raise `RequestRefused` if the key has stopped since admission."""
    if admitted.key is None:
        return
    if not is_fresh:
        raise RequestRefused(Code.CONFIG_STALE, retry_after_s=RETRY_STALE_S)
    held = config.keys_by_digest.get(admitted.key.digest)
    if held is None or held.withdrawn:
        raise RequestRefused(Code.KEY_WITHDRAWN)
