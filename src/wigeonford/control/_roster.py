"""The entry VMs that a replica has heard of late, by revision: pure."""

from typing import Final

import msgspec

from wigeonford.messages.steering import EntryStatus, RosterChange

MAX_CHANGES: Final = 4096
"""Changes remembered for VMs that ask for what is new to them; all entry VMs
of the target size may start or stop a few times meanwhile."""


class _Heard(msgspec.Struct):
    """Hold what an entry VM said last, and the revision that changed it."""

    status: EntryStatus
    at_s: float
    revision: int


class Roster:
    """List the entry VMs and what changed after a revision.

    `epoch` tells one run of a replica from the next, whose revisions begin
    anew. A heartbeat that changes nothing costs nothing more.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch: Final = epoch
        self.revision = 0
        self._heard: dict[str, _Heard] = {}
        # Names that left, in the order of their revisions.
        self._gone: dict[str, int] = {}
        self._whole_before = 0

    def __len__(self) -> int:
        return len(self._heard)

    def hear(self, status: EntryStatus, now_s: float) -> bool:
        """Take note of an entry VM; tell whether it has changed."""
        held = self._heard.get(status.name)
        if held is not None:
            held.at_s = now_s
            if held.status == status:
                return False
        self.revision += 1
        self._heard[status.name] = _Heard(status, now_s, self.revision)
        self._gone.pop(status.name, None)
        return True

    def refresh(self, name: str, now_s: float) -> bool:
        """Take note that an entry VM is as it said last.

        Return False for one that has said nothing.
        """
        held = self._heard.get(name)
        if held is not None:
            held.at_s = now_s
        return held is not None

    def expire(self, now_s: float, silent_s: float) -> list[tuple[str, float]]:
        """Drop entry VMs that are silent; return names and silences."""
        silent = [
            (name, now_s - held.at_s)
            for name, held in self._heard.items()
            if now_s - held.at_s > silent_s
        ]
        for name, _ in silent:
            del self._heard[name]
            self.revision += 1
            self._gone[name] = self.revision
            if len(self._gone) > MAX_CHANGES:
                oldest = next(iter(self._gone))
                self._whole_before = self._gone.pop(oldest)
        return silent

    def changes_since(self, epoch: int, revision: int) -> RosterChange:
        """Return what is new to a VM that holds a revision of an epoch."""
        whole = epoch != self.epoch or revision < self._whole_before
        since = 0 if whole else revision
        return RosterChange(
            self.epoch,
            self.revision,
            whole,
            tuple(
                held.status
                for held in self._heard.values()
                if held.revision > since
            ),
            ()
            if whole
            else tuple(
                name for name, left_at in self._gone.items() if left_at > since
            ),
        )
