"""What an entry VM knows of the deployment, targets and other entry VMs."""

from collections.abc import Mapping
from typing import Final

import msgspec

from wigeonford.deployment import (
    Account,
    Announcement,
    apply_patch,
    check_announcement,
    Deployment,
    KeyTable,
    MAX_NAME_CHARS,
    Route,
    RouteTable,
    Service,
)
from wigeonford.messages.steering import EntryStatus, RosterChange, ViewUpdate
from wigeonford.settings import is_address


class View(msgspec.Struct, frozen=True):
    """Hold one revision of the deployment and its targets, for look-ups.

    `changed` and `removed` are the targets that differ from the previous view.
    `removed` applies first: a target in both was removed and announced again.
    `targets` is the number of all targets. `taken_back` counts, by zone, how
    often an evacuation was lifted.
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

    def find_account_named(self, name: str | None) -> Account | None:
        """Return the client account of a name, or None."""
        return next(
            (item for item in self.deployment.accounts if item.name == name),
            None,
        )


class ViewBuilder(msgspec.Struct):
    """Build views from updates; revisions never decrease."""

    revision: int = 0
    _deployment_revision: int = 0
    _deployment: Deployment | None = None
    _routes: RouteTable | None = None
    _keys: KeyTable | None = None
    _evacuated: frozenset[str] = frozenset()
    _taken_back: dict[str, int] = msgspec.field(default_factory=dict)
    _services: dict[str, Service] = msgspec.field(default_factory=dict)
    _targets: set[str] = msgspec.field(default_factory=set)
    _changed: dict[str, Announcement] = msgspec.field(default_factory=dict)
    _removed: set[str] = msgspec.field(default_factory=set)
    _unusable: dict[str, str] = msgspec.field(default_factory=dict)

    @property
    def version(self) -> int:
        """Return the deployment's version, 0 before the first."""
        return self._deployment.version if self._deployment else 0

    @property
    def target_count(self) -> int:
        """Return how many targets are known."""
        return len(self._targets)

    def apply(self, update: ViewUpdate) -> bool:
        """Apply an update; return whether it is newer and was applicable.

        An update that leaves a gap in the revisions is not applicable, nor is
        a patch of a deployment that was replaced meanwhile or never arrived.
        """
        if not update.since <= self.revision < update.revision:
            return False
        if update.patch is not None and (
            self._deployment is None
            or update.since < self._deployment_revision
        ):
            return False
        self.revision = update.revision
        if update.deployment is not None:
            self._set_deployment(update.deployment)
        elif update.patch is not None:
            assert self._deployment is not None, "a patch needs a deployment"
            self._set_deployment(apply_patch(self._deployment, update.patch))
        if update.evacuated is not None:
            self._evacuated = frozenset(update.evacuated)
        if update.taken_back is not None:
            self._taken_back = update.taken_back
        self._apply_targets(update)
        return True

    def _apply_targets(self, update: ViewUpdate) -> None:
        """Collect target changes until the next build; the last one counts."""
        for target_id in update.removed:
            self._remove(target_id)
        for announced in update.targets:
            faults = "; ".join(check_announcement(announced))
            if faults:
                self._leave_out(announced.target_id, faults)
                continue
            self._targets.add(announced.target_id)
            self._changed[announced.target_id] = announced

    def _remove(self, target_id: str) -> None:
        self._targets.discard(target_id)
        self._changed.pop(target_id, None)
        self._removed.add(target_id)

    def _leave_out(self, target_id: str, faults: str) -> None:
        self._remove(target_id)
        self._unusable[target_id[:MAX_NAME_CHARS]] = faults

    def take_unusable(self) -> dict[str, str]:
        """Return the faults of targets left out since the last call, by id."""
        unusable, self._unusable = self._unusable, {}
        return unusable

    def _set_deployment(self, deployment: Deployment) -> None:
        self._deployment_revision = self.revision
        self._deployment = deployment
        self._routes = RouteTable(deployment)
        self._keys = KeyTable(deployment)
        self._services = {item.name: item for item in deployment.services}

    def build(self) -> View | None:
        """Return the view, or None before the first deployment.

        It contains the target changes since the last view that was built.
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
"""Epoch that no replica has, sent to get the full roster."""
MERGE_CACHE_S: Final = 0.2
"""How long a merged roster is cached; look-ups come at hundreds per second."""
ROSTER_TTL_S: Final = 3.0
"""An entry VM that no control replica has listed for so long has stopped."""


class Roster:
    """Merge the rosters of several control replicas.

    An entry VM counts as running while any connected replica lists it. While
    no replica is connected, the last known entry VMs remain.
    """

    def __init__(self) -> None:
        self._rosters: dict[str, dict[str, EntryStatus]] = {}
        self._positions: dict[str, tuple[int, int]] = {}
        self._received_at_s: dict[str, float] = {}
        self._merged: dict[str, EntryStatus] = {}
        self._merged_until_s = float("-inf")

    def position_of(self, replica: str) -> tuple[int, int]:
        """Return epoch and revision of the roster last received."""
        return self._positions.get(replica, (UNKNOWN_EPOCH, 0))

    def apply(
        self, replica: str, change: RosterChange | None, now_s: float
    ) -> list[str]:
        """Apply a replica's roster change; None if nothing has changed.

        Return the addresses of entry VMs that are left out because callers
        can't connect to them.
        """
        self._received_at_s[replica] = now_s
        if change is None:
            return []
        if change.is_full:
            self._rosters[replica] = {}
        entries = self._rosters.setdefault(replica, {})
        for name in change.stopped_names:
            entries.pop(name, None)
        unusable: list[str] = []
        for status in change.running_entries:
            if is_address(status.address):
                entries[status.name] = status
            else:
                entries.pop(status.name, None)
                unusable.append(status.address)
        self._positions[replica] = (change.epoch, change.revision)
        self._merged_until_s = float("-inf")
        return unusable

    def entries(self, now_s: float) -> dict[str, EntryStatus]:
        """Return the entry VMs that run, by name."""
        if now_s >= self._merged_until_s:
            self._merged = self._merge(now_s)
            self._merged_until_s = now_s + MERGE_CACHE_S
        return self._merged

    def _merge(self, now_s: float) -> dict[str, EntryStatus]:
        last_received_s = max(self._received_at_s.values(), default=now_s)
        earliest_s = min(now_s, last_received_s) - ROSTER_TTL_S
        merged: dict[str, EntryStatus] = {}
        for replica, roster in self._rosters.items():
            if self._received_at_s[replica] < earliest_s:
                continue
            for status in roster.values():
                known = merged.get(status.name)
                # Of two incarnations of one VM, the one that is not ready is
                # the older one or about to stop.
                if known is None or (status.is_ready and not known.is_ready):
                    merged[status.name] = status
        return merged
