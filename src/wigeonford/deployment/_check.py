"""Checks of a complete deployment before it is published."""

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
"""Longest timeout of a route; documented in the operators' interface."""
MAX_OBJECTIVE_OVER_S: Final = 60.0
"""How far an objective may exceed the timeout; documented there too."""


def check_deployment(deployment: Deployment) -> Iterator[str]:
    """Yield each fault of a deployment."""
    services = {service.name for service in deployment.services}
    yield from _check_unique_names("service", deployment.services)
    yield from _check_unique_names("account", deployment.accounts)
    yield from _check_unique_names("route", deployment.routes)
    prefix_counts = Counter(
        (route.host, route.path_prefix) for route in deployment.routes
    )
    for (host, prefix), count in prefix_counts.items():
        if count > 1:
            yield f"{host}{prefix}: {count} routes have this host and prefix"
    for route in deployment.routes:
        yield from _check_route(route, services)
    yield from _check_unique_keys(deployment)


def _check_unique_names(
    kind: str, items: Iterable[Service | Account | Route]
) -> Iterator[str]:
    names = Counter(item.name for item in items)
    for name, count in names.items():
        if count > 1:
            yield f"{kind} {name}: defined {count} times"


def _check_route(route: Route, services: set[str]) -> Iterator[str]:
    named = [share.service for share in route.split]
    if route.service is not None:
        named.append(route.service)
    if not named:
        yield f"route {route.name}: it names no service"
    for name in named:
        if name not in services:
            yield f"route {route.name}: unknown service {name}"
    if route.service is None and not sum(s.weight for s in route.split) > 0:
        yield f"route {route.name}: the sum of the weights must be above 0"
    if any(share.weight < 0 for share in route.split):
        yield f"route {route.name}: a weight is negative"
    if not 0 < route.timeout_s <= MAX_TIMEOUT_S:
        yield (
            f"route {route.name}: timeout {route.timeout_s} s is out of range"
        )
    if route.objective_s >= route.timeout_s + MAX_OBJECTIVE_OVER_S:
        yield f"route {route.name}: the objective is too far above the timeout"
    if route.attempts < 1:
        yield f"route {route.name}: attempts must be at least 1"
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield f"route {route.name}: prefix {prefix} must begin and end with /"


def _check_unique_keys(deployment: Deployment) -> Iterator[str]:
    key_counts = Counter(
        key for account in deployment.accounts for key in set(account.keys)
    )
    if any(count > 1 for count in key_counts.values()):
        yield "accounts: two or more of them have the same key"
