"""Budget for extra attempts, earned by requests."""


class AttemptBudget:
    """Allow extra attempts up to a fraction of the recent requests.

    Each request earns `fraction` of an attempt; at most `reserve` unspent
    attempts are kept.
    """

    def __init__(self, fraction: float, reserve: float) -> None:
        self._fraction = fraction
        self._reserve = reserve
        self._tokens = reserve

    def limit_reserve(self, reserve: float) -> None:
        """Keep at most so many unspent attempts from now on."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._reserve, self._tokens + self._fraction)

    def spend(self) -> bool:
        """Spend an extra attempt; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
