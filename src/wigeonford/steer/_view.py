"""What an entry VM knows of the deployment, the targets and its peers."""

from collections.abc import Mapping
from typing import Final

import msgspec

from wigeonford.deployment import (
    Account,
    Announcement,
    Deployment,
    KeyTable,
    Route,
    RouteTable,
    Service,
)
from wigeonford.messages.steering import (
    EntryStatus,
    ViewNotice,
    ViewUpdate,
)


class View(msgspec.Struct, frozen=True):
    """Hold one revision of what steers requests, ready for look-ups."""

    revision: int
    deployment: Deployment
    routes: RouteTable
    keys: KeyTable
    services: Mapping[str, Service]
    evacuated: frozenset[str]
    taken_back: Mapping[str, int]
    targets: Mapping[str, Announcement]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        return self.routes.find(host, path)

    def find_account(self, key: str | None) -> Account | None:
        """Return the client account that holds a key, or None."""
        return self.keys.find(key)


class ViewBuilder(msgspec.Struct):
    """Put a view together from updates; it never goes back."""

    revision: int = 0
    _deployment: Deployment | None = None
    _routes: RouteTable | None = None
    _keys: KeyTable | None = None
    _evacuated: frozenset[str] = frozenset()
    _taken_back: dict[str, int] = msgspec.field(default_factory=dict)
    _targets: dict[str, Announcement] = msgspec.field(default_factory=dict)

    def take(self, update: ViewUpdate) -> bool:
        """Take over an update; tell whether it was newer."""
        if update.revision <= self.revision:
            return False
        self.revision = update.revision
        if update.deployment is not None:
            self._deployment = update.deployment
            self._routes = RouteTable(update.deployment)
            self._keys = KeyTable(update.deployment)
        if update.evacuated is not None:
            self._evacuated = frozenset(update.evacuated)
        if update.taken_back is not None:
            self._taken_back = update.taken_back
        targets = dict(self._targets)
        for target_id in update.removed:
            targets.pop(target_id, None)
        for announced in update.targets:
            targets[announced.target_id] = announced
        self._targets = targets
        return True

    def build(self) -> View | None:
        """Return the view, or None before the first deployment."""
        if self._deployment is None:
            return None
        assert self._routes is not None, "built with the deployment"
        assert self._keys is not None, "built with the deployment"
        return View(
            self.revision,
            self._deployment,
            self._routes,
            self._keys,
            {item.name: item for item in self._deployment.services},
            self._evacuated,
            self._taken_back,
            self._targets,
        )


ROSTER_KEPT_S: Final = 3.0
"""An entry VM that no control replica lists for so long has stopped."""


class Roster:
    """Merge the rosters of several control replicas.

    An entry VM runs while any replica in touch lists it. What was known
    last is kept while no replica is in touch.
    """

    def __init__(self) -> None:
        self._lists: dict[str, tuple[EntryStatus, ...]] = {}
        self._digests: dict[str, int] = {}
        self._heard_at_s: dict[str, float] = {}

    def digest_of(self, replica: str) -> int:
        """Return the digest of the roster last had from a replica."""
        return self._digests.get(replica, 0)

    def take(self, replica: str, notice: ViewNotice, now_s: float) -> None:
        """Take over a replica's roster."""
        self._heard_at_s[replica] = now_s
        if notice.roster is not None:
            self._lists[replica] = notice.roster
            self._digests[replica] = notice.roster_digest

    def entries(self, now_s: float) -> dict[str, EntryStatus]:
        """Return the entry VMs that run, by name."""
        newest_s = max(self._heard_at_s.values(), default=now_s)
        since_s = min(now_s, newest_s) - ROSTER_KEPT_S
        found: dict[str, EntryStatus] = {}
        for replica, roster in self._lists.items():
            if self._heard_at_s[replica] < since_s:
                continue
            for status in roster:
                held = found.get(status.name)
                # Of two runs of one VM, the one that is not ready is older
                # or about to stop.
                if held is None or (status.ready and not held.ready):
                    found[status.name] = status
        return found
