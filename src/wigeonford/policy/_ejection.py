"""Ejection of targets after consecutive failures."""

from collections.abc import Collection
from typing import Final

import msgspec

MIN_FAILURES: Final = 3
FIRST_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
MIN_IN_USE_FRACTION: Final = 0.5


class _TargetState(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")


class OutlierEjector:
    """Eject targets that fail repeatedly, never too many at once."""

    def __init__(self) -> None:
        self._states: dict[str, _TargetState] = {}

    def record_success(self, target_id: str) -> None:
        """Record a complete response."""
        self._states.pop(target_id, None)

    def record_failure(
        self, target_id: str, now_s: float, *, dead: bool = False
    ) -> bool:
        """Record a failure; return whether an ejection period starts.

        A target is `dead` if it broke off a response and then accepted no
        connection. It is ejected at its first failure.
        """
        state = self._states.setdefault(target_id, _TargetState())
        state.failures += 1
        if state.ejected_until_s > now_s or not (
            dead or state.failures >= MIN_FAILURES
        ):
            return False
        ejection_s = FIRST_EJECTION_S * 2**state.ejections
        state.ejected_until_s = now_s + min(MAX_EJECTION_S, ejection_s)
        state.ejections += 1
        state.failures = 0
        return True

    def ejected(self, targets: Collection[str], now_s: float) -> set[str]:
        """Return which of the given targets are ejected.

        At most a fraction of `1 - MIN_IN_USE_FRACTION` of the targets is
        ejected at a time. If more ejection periods are running, the targets
        whose periods end first stay in use.
        """
        candidates = [
            target_id
            for target_id in targets
            if target_id in self._states
            and self._states[target_id].ejected_until_s > now_s
        ]
        max_ejected = int(len(targets) * (1 - MIN_IN_USE_FRACTION))
        candidates.sort(
            key=lambda target_id: (
                -self._states[target_id].ejected_until_s,
                target_id,
            )
        )
        return set(candidates[:max_ejected])
