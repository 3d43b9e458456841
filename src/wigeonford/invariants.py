"""Invariants that are checked while the program runs."""

from enum import Enum, StrEnum

import msgspec

from wigeonford.errors import Code, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.metrics import Metrics


class Invariant(Enum):
    """Number each invariant that the program checks."""

    SHIFT_UNDER_CAP = 1
    REGION_NOT_OVERLOADED = 2
    KEY_MATCHES_ACCOUNT = 3
    NO_KEY_TO_TARGET = 4
    WITHDRAWN_KEY_STOPS = 5
    RATE_NOT_EXCEEDED = 6
    WHOLE_ANSWER = 7
    NOT_RUN_IS_TRUE = 8
    AT_MOST_ONCE = 9
    LEAVING_TARGET_UNUSED = 10
    STOP_CUTS_NOTHING = 11
    CONFIG_NEVER_REVERTS = 12


class OnBreach(StrEnum):
    """Select the reaction to a breach, besides a log line and a count.

    `refuse` rejects the work in which the check failed; `stop` stops a
    process under test.
    """

    REFUSE = "refuse"
    STOP = "stop"


class InvariantBreach(WigeonfordError):
    """Report that an invariant was violated."""

    def __init__(self, invariant: Invariant, detail: str) -> None:
        super().__init__(Code.INVARIANT_BREACH, detail)
        self.invariant = invariant


class BreachStop(BaseException):
    """Stop a process under test.

    It derives from `BaseException`, so that no handler of `Exception`
    catches it.
    """


class Checks(msgspec.Struct, frozen=True):
    """Check invariants; log and count their breaches."""

    log: EventLog
    metrics: Metrics
    on_breach: OnBreach = OnBreach.REFUSE

    def require(self, holds: bool, invariant: Invariant, detail: str) -> None:
        """Raise `InvariantBreach` or `BreachStop` unless `holds`."""
        if holds:
            return
        self.log.emit(
            Event.INVARIANT_BREACH,
            invariant=invariant.value,
            name=invariant.name,
            detail=detail,
        )
        self.metrics.breaches.inc({"invariant": str(invariant.value)})
        if self.on_breach is OnBreach.STOP:
            raise BreachStop(f"{invariant.name}: {detail}")
        raise InvariantBreach(invariant, detail)
