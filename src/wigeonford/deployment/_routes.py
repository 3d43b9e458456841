"""Lookup of a request's route, client account and service."""

from collections.abc import Iterator

from wigeonford.deployment._types import (
    Account,
    Deployment,
    Route,
    Share,
)


class RouteTable:
    """Find routes by host and longest path prefix."""

    def __init__(self, deployment: Deployment) -> None:
        self._routes_by_prefix = {
            (route.host, route.path_prefix): route
            for route in deployment.routes
        }

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        for prefix in _prefixes(path):
            route = self._routes_by_prefix.get((host, prefix))
            if route is not None:
                return route
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]


class KeyTable:
    """Find client accounts by key."""

    def __init__(self, deployment: Deployment) -> None:
        self._accounts = {
            key: account
            for account in deployment.accounts
            for key in account.keys
        }

    def find(self, key: str | None) -> Account | None:
        """Return the account that holds a key, or None."""
        return self._accounts.get(key) if key else None


class Splitter:
    """Divide the requests of split routes among services.

    Smooth weighted round robin keeps any series of requests close to the
    weights. Changed weights reset a route's credits.
    """

    def __init__(self) -> None:
        self._states: dict[str, tuple[tuple[Share, ...], list[float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request."""
        if route.service is not None:
            return route.service
        state = self._states.get(route.name)
        if state is None or state[0] != route.split:
            state = (route.split, [0.0] * len(route.split))
            self._states[route.name] = state
        shares, credits = state
        for index, share in enumerate(shares):
            credits[index] += share.weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= sum(share.weight for share in shares)
        return shares[best].service
