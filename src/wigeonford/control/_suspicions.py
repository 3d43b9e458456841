"""Requests under which targets died, as entry VMs report them."""

from collections.abc import Iterable
from typing import Final

from wigeonford.messages.steering import Suspicion

KEPT_S: Final = 60.0
"""As long as a crashing request is refused after its last crash."""
MAX_KEPT: Final = 1024
"""Far more requests than crash targets within a minute."""


class Suspicions:
    """Merge reports; `revision` rises with those that are news."""

    def __init__(self) -> None:
        self.revision = 0
        self._deaths: dict[bytes, set[str]] = {}
        self._until_s: dict[bytes, float] = {}
        self._changed_at: dict[bytes, int] = {}

    def merge(self, reports: Iterable[Suspicion], now_s: float) -> bool:
        """Take reports over; tell whether anything was news."""
        news = False
        for report in reports:
            held = self._deaths.setdefault(report.fingerprint, set())
            if not held.issuperset(report.deaths):
                held.update(report.deaths)
                self._until_s[report.fingerprint] = now_s + KEPT_S
                self._changed_at[report.fingerprint] = self.revision + 1
                news = True
        if news:
            self.revision += 1
            self._drop_old(now_s)
        return news

    def _drop_old(self, now_s: float) -> None:
        for fingerprint, until_s in list(self._until_s.items()):
            over = len(self._until_s) > MAX_KEPT
            if until_s <= now_s or over:
                del self._until_s[fingerprint]
                del self._deaths[fingerprint]
                del self._changed_at[fingerprint]

    def changed_since(
        self, revision: int, now_s: float
    ) -> tuple[Suspicion, ...]:
        """Return what is suspected at present and new after a revision."""
        return tuple(
            Suspicion(fingerprint, tuple(sorted(self._deaths[fingerprint])))
            for fingerprint, changed_at in self._changed_at.items()
            if changed_at > revision and self._until_s[fingerprint] > now_s
        )
