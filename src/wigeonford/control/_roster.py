"""The entry VMs that recently reported to a replica, by revision."""

from typing import Final

import msgspec

from wigeonford.messages.steering import EntryStatus, RosterChange

MAX_REMEMBERED_REMOVALS: Final = 4096
"""Removals remembered to send VMs only the changes; enough for every entry
VM of the largest supported fleet to stop a few times between requests."""


class _Entry(msgspec.Struct):
    """Hold the last status of an entry VM.

    `reported_at_s` is when the VM last reported, and `revision` that of the
    last change of its status.
    """

    status: EntryStatus
    reported_at_s: float
    revision: int


class Roster:
    """Track the running entry VMs and their changes by revision.

    `epoch` identifies one run of a replica, since revisions restart with
    each run. A heartbeat with an unchanged status adds no revision.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch: Final = epoch
        self.revision = 0
        self._entries: dict[str, _Entry] = {}
        # Names of removed VMs with the revision of the removal, in order.
        self._removed: dict[str, int] = {}
        self._full_before_revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def record_status(self, status: EntryStatus, now_s: float) -> bool:
        """Record a reported status; tell whether it changed."""
        entry = self._entries.get(status.name)
        if entry is not None:
            entry.reported_at_s = now_s
            if entry.status == status:
                return False
        self.revision += 1
        self._entries[status.name] = _Entry(status, now_s, self.revision)
        self._removed.pop(status.name, None)
        return True

    def refresh(self, name: str, now_s: float) -> bool:
        """Record that an entry VM still runs with its last status.

        Return False if the VM is not in the roster.
        """
        entry = self._entries.get(name)
        if entry is not None:
            entry.reported_at_s = now_s
        return entry is not None

    def expire(self, now_s: float, silent_s: float) -> list[tuple[str, float]]:
        """Remove VMs silent for longer than `silent_s`.

        Return the name and the silence in seconds of each.
        """
        silent = [
            (name, now_s - entry.reported_at_s)
            for name, entry in self._entries.items()
            if now_s - entry.reported_at_s > silent_s
        ]
        for name, _ in silent:
            del self._entries[name]
            self.revision += 1
            self._removed[name] = self.revision
            if len(self._removed) > MAX_REMEMBERED_REMOVALS:
                oldest = next(iter(self._removed))
                self._full_before_revision = self._removed.pop(oldest)
        return silent

    def changes_since(self, epoch: int, revision: int) -> RosterChange:
        """Return the changes after a revision of an epoch.

        The result is the full roster if the epoch differs or if removals
        after the revision are no longer remembered.
        """
        full = epoch != self.epoch or revision < self._full_before_revision
        since = 0 if full else revision
        return RosterChange(
            self.epoch,
            self.revision,
            full,
            tuple(
                entry.status
                for entry in self._entries.values()
                if entry.revision > since
            ),
            ()
            if full
            else tuple(
                name
                for name, removed_revision in self._removed.items()
                if removed_revision > since
            ),
        )
