"""Quarantine of requests that are suspected of crashing targets."""

from collections.abc import Iterable
import hashlib
from typing import Final

from wigeonford.messages.steering import Suspicion

DEATHS_TO_QUARANTINE: Final = 3
"""A request is rejected once it was in flight when so many targets died."""
SUSPICION_TTL_S: Final = 60.0
"""Longer than callers' time limits, within which they retry such a request."""


def fingerprint_request(
    account: str, method: str, path: str, body: bytes
) -> bytes:
    """Return a digest that is the same for all retries of a request."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class SuspectTable:
    """Record which targets died during each request, fleet-wide.

    `sequence` counts the deaths that this VM has recorded itself.
    """

    def __init__(self) -> None:
        self._deaths: dict[bytes, set[str]] = {}
        self._until_s: dict[bytes, float] = {}
        self._own_deaths: dict[bytes, set[str]] = {}
        self._own_sequences: dict[bytes, int] = {}
        self.sequence = 0
        self._cleared_until_s: dict[bytes, float] = {}

    def record(self, fingerprint: bytes, target: str, now_s: float) -> None:
        """Record that a target broke off during a request."""
        self._drop_expired(now_s)
        self._own_deaths.setdefault(fingerprint, set()).add(target)
        self.sequence += 1
        self._own_sequences[fingerprint] = self.sequence
        self._add(fingerprint, (target,), now_s)

    def deaths_of(self, fingerprint: bytes) -> tuple[str, ...]:
        """Return the targets that died during a request."""
        return tuple(sorted(self._deaths.get(fingerprint, ())))

    def merge(
        self, suspicions: Iterable[Suspicion], now_s: float
    ) -> list[Suspicion]:
        """Add the deaths that other entry VMs have recorded.

        Return the suspicions that held a new one.
        """
        changed: list[Suspicion] = []
        for suspicion in suspicions:
            if self._cleared_until_s.get(suspicion.fingerprint, 0.0) > now_s:
                continue
            known = self._deaths.get(suspicion.fingerprint, set())
            if not known.issuperset(suspicion.deaths):
                changed.append(suspicion)
            self._add(suspicion.fingerprint, suspicion.deaths, now_s)
        return changed

    def _add(
        self, fingerprint: bytes, deaths: Iterable[str], now_s: float
    ) -> None:
        self._deaths.setdefault(fingerprint, set()).update(deaths)
        self._until_s[fingerprint] = now_s + SUSPICION_TTL_S

    def clear(self, fingerprint: bytes, now_s: float) -> None:
        """End the suspicion of a request that got a complete response.

        Reports of other entry VMs on it are ignored for `SUSPICION_TTL_S`.
        """
        if fingerprint in self._deaths:
            self._drop(fingerprint)
            self._cleared_until_s[fingerprint] = now_s + SUSPICION_TTL_S

    def _drop(self, fingerprint: bytes) -> None:
        self._deaths.pop(fingerprint, None)
        self._own_deaths.pop(fingerprint, None)
        self._own_sequences.pop(fingerprint, None)
        self._until_s.pop(fingerprint, None)

    def _drop_expired(self, now_s: float) -> None:
        for fingerprint, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                self._drop(fingerprint)
        for fingerprint, until_s in list(self._cleared_until_s.items()):
            if until_s <= now_s:
                del self._cleared_until_s[fingerprint]

    def is_quarantined(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether too many targets died during a request."""
        until_s = self._until_s.get(fingerprint)
        if until_s is None:
            return False
        if until_s <= now_s:
            self._drop(fingerprint)
            return False
        return len(self._deaths[fingerprint]) >= DEATHS_TO_QUARANTINE

    def own_suspicions_since(self, since: int) -> tuple[Suspicion, ...]:
        """Return what this VM has recorded itself after a `sequence`."""
        return tuple(
            Suspicion(
                fingerprint, tuple(sorted(self._own_deaths[fingerprint]))
            )
            for fingerprint, sequence in self._own_sequences.items()
            if sequence > since
        )
