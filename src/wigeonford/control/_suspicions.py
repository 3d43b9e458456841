"""Requests suspected of crashing targets, as entry VMs report them."""

from collections.abc import Iterable
from typing import Final

from wigeonford.messages.steering import Suspicion

SUSPICION_TTL_S: Final = 60.0
"""How long a request is rejected after the last target that it crashed."""
MAX_SUSPICIONS: Final = 1024
"""Far more than the requests that crash targets within a minute."""


class Suspicions:
    """Merge reports; `revision` increases when one adds a new death."""

    def __init__(self) -> None:
        self.revision = 0
        self._deaths: dict[bytes, set[str]] = {}
        self._expires_at_s: dict[bytes, float] = {}
        self._revisions: dict[bytes, int] = {}

    def merge(self, reports: Iterable[Suspicion], now_s: float) -> bool:
        """Merge reports; tell whether any of them added a death."""
        changed = False
        for report in reports:
            known_deaths = self._deaths.setdefault(report.fingerprint, set())
            if not known_deaths.issuperset(report.deaths):
                known_deaths.update(report.deaths)
                self._expires_at_s[report.fingerprint] = (
                    now_s + SUSPICION_TTL_S
                )
                self._revisions[report.fingerprint] = self.revision + 1
                changed = True
        if changed:
            self.revision += 1
            self._evict(now_s)
        return changed

    def _evict(self, now_s: float) -> None:
        for fingerprint, expires_at_s in list(self._expires_at_s.items()):
            is_full = len(self._expires_at_s) > MAX_SUSPICIONS
            if expires_at_s <= now_s or is_full:
                del self._expires_at_s[fingerprint]
                del self._deaths[fingerprint]
                del self._revisions[fingerprint]

    def changed_since(
        self, revision: int, now_s: float
    ) -> tuple[Suspicion, ...]:
        """Return the current suspicions that changed after a revision."""
        return tuple(
            Suspicion(fingerprint, tuple(sorted(self._deaths[fingerprint])))
            for fingerprint, changed_revision in self._revisions.items()
            if changed_revision > revision
            and self._expires_at_s[fingerprint] > now_s
        )
