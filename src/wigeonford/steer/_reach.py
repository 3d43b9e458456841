"""Tell a VM's own lost links from lost targets: pure.

A target that fails says little of who is at fault. Targets that fail one after
another, with no contact to any in between, point to the one thing they have in
common: this VM. Another entry VM that reaches targets meanwhile proves it, and
one that reaches none disproves it.
"""

from typing import Final

from wigeonford.messages.steering import Reach

SUSPECT_TARGETS: Final = 3
"""Targets that fail in a row, without contact to any, before this VM doubts
its own links."""
FAILURE_MEMORY_S: Final = 5.0
"""How long a failure counts while no contact follows it."""
RETURN_TARGETS: Final = 3
"""Targets in contact before links that were cut count as back."""
RETURN_S: Final = 0.5
"""Time from the first contact until links that were cut count as back."""
CONTACT_MEMORY_S: Final = 2.0
"""How long a contact counts towards the return; a few rounds of probes."""


class TargetReach:
    """Follow which targets this VM reaches over its own links.

    `target_count` is how many targets are known.
    """

    def __init__(self) -> None:
        self.state = Reach.DIRECT
        self.target_count = 0
        self._failed_at_s: dict[str, float] = {}
        self._contact_at_s: dict[str, float] = {}
        self._first_contact_s = 0.0

    @property
    def failed_targets(self) -> list[str]:
        """Return the targets that have failed since the last contact."""
        return sorted(self._failed_at_s)

    def record_contact(self, target_id: str, now_s: float) -> bool:
        """Record a connection to a target; return whether links are back."""
        if self.state is Reach.CUT and not self._has_returned(
            target_id, now_s
        ):
            return False
        is_back = self.state is not Reach.DIRECT
        self.state = Reach.DIRECT
        self._failed_at_s.clear()
        self._contact_at_s.clear()
        return is_back

    def _has_returned(self, target_id: str, now_s: float) -> bool:
        _drop_older(self._contact_at_s, now_s - CONTACT_MEMORY_S)
        if not self._contact_at_s:
            self._first_contact_s = now_s
        self._contact_at_s[target_id] = now_s
        needed = min(RETURN_TARGETS, max(1, self.target_count))
        if len(self._contact_at_s) < needed:
            return False
        return now_s - self._first_contact_s >= RETURN_S

    def record_failure(self, target_id: str, now_s: float) -> bool:
        """Record that a target wasn't reached; return whether all are lost."""
        self._contact_at_s.pop(target_id, None)
        _drop_older(self._failed_at_s, now_s - FAILURE_MEMORY_S)
        self._failed_at_s[target_id] = now_s
        needed = min(SUSPECT_TARGETS, max(1, self.target_count))
        if self.state is not Reach.DIRECT or len(self._failed_at_s) < needed:
            return False
        self.state = Reach.LOST
        return True

    def record_cut(self) -> bool:
        """Record that another entry VM reaches a target that this VM doesn't.

        Return whether that is new.
        """
        if self.state is not Reach.LOST:
            return False
        self.state = Reach.CUT
        return True


def _drop_older(times_s: dict[str, float], than_s: float) -> None:
    for target_id, at_s in list(times_s.items()):
        if at_s < than_s:
            del times_s[target_id]
