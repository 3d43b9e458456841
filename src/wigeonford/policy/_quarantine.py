"""Quarantine of requests that were in flight when targets failed."""

from collections.abc import Collection
import hashlib
from typing import Final

import msgspec

DEATHS: Final = 2
SUSPICION_S: Final = 60.0
SAME_DEATH_S: Final = 1.0
MAX_SUSPECTS: Final = 4096


def request_fingerprint(
    account: str, method: str, path: str, distinct: bytes
) -> bytes:
    """Return what tells one request, however often it is sent again.

    `distinct` is its idempotency key or else its body.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (account.encode(), method.encode(), path.encode(), distinct):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class _Suspect(msgspec.Struct):
    expires_at_s: float
    deaths: dict[str, float] = msgspec.field(default_factory=dict)


class Quarantine:
    """Count the deaths of targets that each request was in flight at."""

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}

    def record_death(
        self, target_id: str, suspects: Collection[bytes], now_s: float
    ) -> bool:
        """Suspect each request; tell whether the death was news."""
        self._expire(now_s)
        news = [
            self._suspect(fingerprint, target_id, now_s)
            for fingerprint in suspects
        ]
        return any(news)

    def is_barred(self, fingerprint: bytes, now_s: float) -> bool:
        """Tell whether a request was in flight at too many deaths."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at_s <= now_s:
            return False
        return len(suspect.deaths) >= DEATHS

    def clear(self, fingerprint: bytes) -> bool:
        """Suspect a request no more, as it was answered whole."""
        return self._suspects.pop(fingerprint, None) is not None

    def _suspect(
        self, fingerprint: bytes, target_id: str, now_s: float
    ) -> bool:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                del self._suspects[next(iter(self._suspects))]
            suspect = _Suspect(now_s + SUSPICION_S)
            self._suspects[fingerprint] = suspect
        seen_at_s = suspect.deaths.get(target_id, float("-inf"))
        # A target that came back and failed again counts once more.
        name = target_id
        if seen_at_s > float("-inf") and now_s - seen_at_s > SAME_DEATH_S:
            name = f"{target_id} {now_s:.0f}"
        news = name not in suspect.deaths
        suspect.deaths.setdefault(name, now_s)
        suspect.expires_at_s = now_s + SUSPICION_S
        return news

    def _expire(self, now_s: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.expires_at_s <= now_s:
                del self._suspects[fingerprint]
