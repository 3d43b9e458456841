"""What an entry VM knows of the deployment, the targets and its peers."""

from collections.abc import Mapping
from typing import Final

import msgspec

from wigeonford.deployment import (
    Account,
    Announcement,
    apply_patch,
    Deployment,
    KeyTable,
    Route,
    RouteTable,
    Service,
)
from wigeonford.messages.steering import EntryStatus, RosterChange, ViewUpdate


class View(msgspec.Struct, frozen=True):
    """Hold one revision of what steers requests, ready for look-ups.

    `changed` and `removed` are the targets that it changes of the view
    taken before, `removed` to be dropped first: a target in both has left
    and come back. `targets` counts them all.
    """

    revision: int
    deployment: Deployment
    routes: RouteTable
    keys: KeyTable
    services: Mapping[str, Service]
    evacuated: frozenset[str]
    taken_back: Mapping[str, int]
    targets: int
    changed: tuple[Announcement, ...]
    removed: tuple[str, ...]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        return self.routes.find(host, path)

    def find_account(self, key: str | None) -> Account | None:
        """Return the client account that holds a key, or None."""
        return self.keys.find(key)


class ViewBuilder(msgspec.Struct):
    """Put a view together from updates; it never goes back."""

    revision: int = 0
    _published_at: int = 0
    _deployment: Deployment | None = None
    _routes: RouteTable | None = None
    _keys: KeyTable | None = None
    _evacuated: frozenset[str] = frozenset()
    _taken_back: dict[str, int] = msgspec.field(default_factory=dict)
    _services: dict[str, Service] = msgspec.field(default_factory=dict)
    _targets: set[str] = msgspec.field(default_factory=set)
    _changed: dict[str, Announcement] = msgspec.field(default_factory=dict)
    _removed: set[str] = msgspec.field(default_factory=set)

    @property
    def version(self) -> int:
        """Return the deployment's version, 0 before the first."""
        return self._deployment.version if self._deployment else 0

    @property
    def targets(self) -> int:
        """Return how many targets are known."""
        return len(self._targets)

    def take(self, update: ViewUpdate) -> bool:
        """Take over an update; tell whether it is newer, and fits.

        One that leaves a gap does not, nor does a patch of a deployment
        that was replaced meanwhile.
        """
        if not update.since <= self.revision < update.revision:
            return False
        if update.patch is not None and update.since < self._published_at:
            return False
        self.revision = update.revision
        if update.deployment is not None:
            self._publish(update.deployment)
        elif update.patch is not None:
            assert self._deployment is not None, "patched what is held"
            self._publish(apply_patch(self._deployment, update.patch))
        if update.evacuated is not None:
            self._evacuated = frozenset(update.evacuated)
        if update.taken_back is not None:
            self._taken_back = update.taken_back
        self._take_targets(update)
        return True

    def _take_targets(self, update: ViewUpdate) -> None:
        """Gather changes until the next build; the last word counts."""
        for target_id in update.removed:
            self._targets.discard(target_id)
            self._changed.pop(target_id, None)
            self._removed.add(target_id)
        for said in update.targets:
            self._targets.add(said.target_id)
            self._changed[said.target_id] = said

    def _publish(self, deployment: Deployment) -> None:
        self._published_at = self.revision
        self._deployment = deployment
        self._routes = RouteTable(deployment)
        self._keys = KeyTable(deployment)
        self._services = {item.name: item for item in deployment.services}

    def build(self) -> View | None:
        """Return the view, or None before the first deployment.

        It tells what has changed of the targets since the last one built.
        """
        if self._deployment is None:
            return None
        assert self._routes is not None, "built with the deployment"
        assert self._keys is not None, "built with the deployment"
        changed, self._changed = tuple(self._changed.values()), {}
        removed, self._removed = tuple(self._removed), set()
        return View(
            self.revision,
            self._deployment,
            self._routes,
            self._keys,
            self._services,
            self._evacuated,
            self._taken_back,
            len(self._targets),
            changed,
            removed,
        )


UNKNOWN_EPOCH: Final = -1
"""No run of a replica: its first answer tells the whole roster."""
MERGED_S: Final = 0.2
"""How long a merged roster is kept; look-ups come by the hundred a second."""
ROSTER_KEPT_S: Final = 3.0
"""An entry VM that no control replica lists for so long has stopped."""


class Roster:
    """Merge the rosters of several control replicas.

    An entry VM runs while any replica in touch lists it. What was known
    last is kept while no replica is in touch.
    """

    def __init__(self) -> None:
        self._lists: dict[str, dict[str, EntryStatus]] = {}
        self._known: dict[str, tuple[int, int]] = {}
        self._heard_at_s: dict[str, float] = {}
        self._merged: dict[str, EntryStatus] = {}
        self._merged_until_s = float("-inf")

    def known_of(self, replica: str) -> tuple[int, int]:
        """Return epoch and revision of what was had from a replica."""
        return self._known.get(replica, (UNKNOWN_EPOCH, 0))

    def take(
        self, replica: str, change: RosterChange | None, now_s: float
    ) -> None:
        """Take over what a replica tells; None if that is nothing new."""
        self._heard_at_s[replica] = now_s
        if change is None:
            return
        if change.whole:
            self._lists[replica] = {}
        entries = self._lists.setdefault(replica, {})
        for name in change.gone:
            entries.pop(name, None)
        for status in change.running:
            entries[status.name] = status
        self._known[replica] = (change.epoch, change.revision)
        self._merged_until_s = float("-inf")

    def entries(self, now_s: float) -> dict[str, EntryStatus]:
        """Return the entry VMs that run, by name."""
        if now_s >= self._merged_until_s:
            self._merged = self._merge(now_s)
            self._merged_until_s = now_s + MERGED_S
        return self._merged

    def _merge(self, now_s: float) -> dict[str, EntryStatus]:
        newest_s = max(self._heard_at_s.values(), default=now_s)
        since_s = min(now_s, newest_s) - ROSTER_KEPT_S
        found: dict[str, EntryStatus] = {}
        for replica, roster in self._lists.items():
            if self._heard_at_s[replica] < since_s:
                continue
            for status in roster.values():
                held = found.get(status.name)
                # Of two runs of one VM, the one that is not ready is older
                # or about to stop.
                if held is None or (status.ready and not held.ready):
                    found[status.name] = status
        return found
