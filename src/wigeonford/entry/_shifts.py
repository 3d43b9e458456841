"""Traffic shifts between the old and new targets of services."""

import time

from wigeonford.entry._outbound import Outbound
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.model import Side
from wigeonford.policy import ShiftCounter


class ShiftTracker:
    """Split attempts between the sides and monitor the new side."""

    def __init__(self, checks: Checks, log: EventLog) -> None:
        self._checks = checks
        self._log = log
        self._counters: dict[str, ShiftCounter] = {}

    def next_side(self, outbound: Outbound) -> Side | None:
        """Count an attempt; return its side, or None without a shift."""
        share = outbound.share
        if share is None:
            return None
        counter = self._counters.setdefault(share.name, ShiftCounter())
        sticky = outbound.account if share.sticky else None
        side = counter.next_side(share, time.monotonic(), sticky)
        self._checks.require(
            counter.is_under_cap(),
            Invariant.SHIFT_UNDER_CAP,
            f"{share.name}: {counter.new} of {counter.total}",
        )
        return side

    def observe(
        self, outbound: Outbound, side: Side | None, ok: bool, latency_s: float
    ) -> None:
        """Record an outcome; pause the shift if the new side is worse."""
        if outbound.share is None or side is None:
            return
        counter = self._counters[outbound.share.name]
        if counter.observe(side, ok, latency_s):
            self._log.emit(Event.SHIFT_PAUSED, share=outbound.share.name)
