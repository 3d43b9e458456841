"""A budget for extra attempts, earned by requests: pure."""


class AttemptBudget:
    """Allow extra attempts, at most a part of the requests of late.

    Each request earns `part` of an attempt; no more than `reserve` are kept.
    """

    def __init__(self, part: float, reserve: float) -> None:
        self._part = part
        self._reserve = reserve
        self._tokens = reserve

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._reserve, self._tokens + self._part)

    def spend(self) -> bool:
        """Take an extra attempt if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
