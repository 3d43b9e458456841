"""Quarantine of requests that are suspected of crashing targets."""

from collections.abc import Collection
import hashlib
from typing import Final

import msgspec

MIN_CRASHES: Final = 2
SUSPICION_S: Final = 60.0
SAME_CRASH_S: Final = 1.0
MAX_SUSPECTS: Final = 4096


def request_fingerprint(
    account: str, method: str, path: str, distinct: bytes
) -> bytes:
    """Return a digest that is the same for all retries of a request.

    `distinct` is the request's idempotency key or else its body.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (account.encode(), method.encode(), path.encode(), distinct):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


class _Suspect(msgspec.Struct):
    expires_at_s: float
    crashes: dict[str, float] = msgspec.field(default_factory=dict)


class Quarantine:
    """Count the target crashes during which each request was in flight."""

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}

    def record_crash(
        self, target_id: str, suspects: Collection[bytes], now_s: float
    ) -> bool:
        """Count a target's crash for the requests in flight at it.

        Return whether the crash is new for any of them.
        """
        self._expire(now_s)
        new_crashes = [
            self._add_crash(fingerprint, target_id, now_s)
            for fingerprint in suspects
        ]
        return any(new_crashes)

    def is_quarantined(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a request was in flight at too many crashes."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at_s <= now_s:
            return False
        return len(suspect.crashes) >= MIN_CRASHES

    def clear(self, fingerprint: bytes) -> bool:
        """Clear a request of suspicion after a complete response."""
        return self._suspects.pop(fingerprint, None) is not None

    def _add_crash(
        self, fingerprint: bytes, target_id: str, now_s: float
    ) -> bool:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                del self._suspects[next(iter(self._suspects))]
            suspect = _Suspect(now_s + SUSPICION_S)
            self._suspects[fingerprint] = suspect
        seen_at_s = suspect.crashes.get(target_id, float("-inf"))
        # A target that restarted and crashed again counts once more.
        name = target_id
        if seen_at_s > float("-inf") and now_s - seen_at_s > SAME_CRASH_S:
            name = f"{target_id} {now_s:.0f}"
        is_new = name not in suspect.crashes
        suspect.crashes.setdefault(name, now_s)
        suspect.expires_at_s = now_s + SUSPICION_S
        return is_new

    def _expire(self, now_s: float) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.expires_at_s <= now_s:
                del self._suspects[fingerprint]
