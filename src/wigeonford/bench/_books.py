"""Books that stand-in targets and callers keep of what they saw."""

from collections import Counter
from dataclasses import dataclass, field
import hashlib

REQUEST_ID_HEADER = b"x-request-id"


def expected_body(request_id: str, size: int) -> bytes:
    """Return the body by which an answer is told to be a request's own."""
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


@dataclass(slots=True)
class TargetBooks:
    """Count what targets ran, over all of them."""

    runs: Counter[str] = field(default_factory=Counter)
    keys_seen: int = 0
    wrong_accounts: int = 0
    over_slots: int = 0
    by_side: Counter[tuple[str, str]] = field(default_factory=Counter)

    @property
    def run_twice(self) -> int:
        """Return how many non-idempotent operations ran twice."""
        return sum(1 for count in self.runs.values() if count > 1)
