"""Check a deployment as a whole before it is published."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Final

from wigeonford.deployment._types import (
    Account,
    Deployment,
    Route,
    Service,
)

MAX_TIMEOUT_S: Final = 600.0
"""Longest time limit of a route; the operators' interface states it."""
MAX_OBJECTIVE_OVER_S: Final = 60.0
"""How far an objective may exceed the time limit; stated likewise."""


def check_deployment(deployment: Deployment) -> Iterator[str]:
    """Yield each fault of a deployment."""
    services = {service.name for service in deployment.services}
    yield from _repeated("service", deployment.services)
    yield from _repeated("account", deployment.accounts)
    yield from _repeated("route", deployment.routes)
    places = Counter(
        (route.host, route.path_prefix) for route in deployment.routes
    )
    for (host, prefix), count in places.items():
        if count > 1:
            yield f"{host}{prefix}: {count} routes share this place"
    for route in deployment.routes:
        yield from _check_route(route, services)
    yield from _shared_keys(deployment)


def _repeated(
    kind: str, items: Iterable[Service | Account | Route]
) -> Iterator[str]:
    names = Counter(item.name for item in items)
    for name, count in names.items():
        if count > 1:
            yield f"{kind} {name}: given {count} times"


def _check_route(route: Route, services: set[str]) -> Iterator[str]:
    named = [share.service for share in route.split]
    if route.service is not None:
        named.append(route.service)
    if not named:
        yield f"route {route.name}: no service"
    for name in named:
        if name not in services:
            yield f"route {route.name}: unknown service {name}"
    if route.service is None and not sum(s.weight for s in route.split) > 0:
        yield f"route {route.name}: the weights add up to 0"
    if any(share.weight < 0 for share in route.split):
        yield f"route {route.name}: a weight is below 0"
    if not 0 < route.timeout_s <= MAX_TIMEOUT_S:
        yield f"route {route.name}: time limit {route.timeout_s} s"
    if route.objective_s >= route.timeout_s + MAX_OBJECTIVE_OVER_S:
        yield f"route {route.name}: objective far above the time limit"
    if route.attempts < 1:
        yield f"route {route.name}: no attempt"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield f"route {route.name}: prefix {prefix} lacks a slash"


def _shared_keys(deployment: Deployment) -> Iterator[str]:
    holders = Counter(
        key for account in deployment.accounts for key in set(account.keys)
    )
    if any(count > 1 for count in holders.values()):
        yield "accounts: a key belongs to two of them"
