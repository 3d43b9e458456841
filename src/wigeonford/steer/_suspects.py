"""Requests under which targets died, so that they are refused in time."""

from collections.abc import Iterable
import hashlib
from typing import Final

from wigeonford.messages.steering import Suspicion

CRASHES: Final = 3
"""A request is refused once it was in flight at so many deaths."""
KEPT_S: Final = 60.0
"""Callers send such a request again within their own time limits."""


def fingerprint(account: str, method: str, path: str, body: bytes) -> bytes:
    """Return what tells one request from another, however often sent."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (account.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class SuspectBook:
    """Count the targets that died under each request, fleet-wide.

    `sequence` counts what this VM has recorded itself.
    """

    def __init__(self) -> None:
        self._deaths: dict[bytes, set[str]] = {}
        self._until_s: dict[bytes, float] = {}
        self._own: dict[bytes, set[str]] = {}
        self._own_at: dict[bytes, int] = {}
        self.sequence = 0
        self._innocent_until_s: dict[bytes, float] = {}

    def record(self, print_: bytes, target: str, now_s: float) -> None:
        """Record that a target broke off amid a request."""
        self._drop_old(now_s)
        self._own.setdefault(print_, set()).add(target)
        self.sequence += 1
        self._own_at[print_] = self.sequence
        self._add(print_, (target,), now_s)

    def merge(self, reports: Iterable[Suspicion], now_s: float) -> None:
        """Take over what other entry VMs have recorded."""
        for report in reports:
            if self._innocent_until_s.get(report.fingerprint, 0.0) > now_s:
                continue
            self._add(report.fingerprint, report.deaths, now_s)

    def _add(self, print_: bytes, deaths: Iterable[str], now_s: float) -> None:
        self._deaths.setdefault(print_, set()).update(deaths)
        self._until_s[print_] = now_s + KEPT_S

    def clear(self, print_: bytes, now_s: float) -> None:
        """Suspect a request no more, as it was answered whole."""
        if print_ in self._deaths:
            self._drop(print_)
            self._innocent_until_s[print_] = now_s + KEPT_S

    def _drop(self, print_: bytes) -> None:
        self._deaths.pop(print_, None)
        self._own.pop(print_, None)
        self._own_at.pop(print_, None)
        self._until_s.pop(print_, None)

    def _drop_old(self, now_s: float) -> None:
        for print_, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                self._drop(print_)
        for print_, until_s in list(self._innocent_until_s.items()):
            if until_s <= now_s:
                del self._innocent_until_s[print_]

    def is_barred(self, print_: bytes, now_s: float) -> bool:
        """Tell whether a request has crashed too many targets."""
        until_s = self._until_s.get(print_)
        if until_s is None:
            return False
        if until_s <= now_s:
            self._drop(print_)
            return False
        return len(self._deaths[print_]) >= CRASHES

    def to_report(self, since: int) -> tuple[Suspicion, ...]:
        """Return what this VM has recorded itself after a `sequence`."""
        return tuple(
            Suspicion(print_, tuple(sorted(self._own[print_])))
            for print_, recorded_at in self._own_at.items()
            if recorded_at > since
        )
