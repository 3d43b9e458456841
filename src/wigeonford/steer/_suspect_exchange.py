"""Exchange observations of requests that crash targets."""

import time

from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    FollowSuspects,
    ReportSuspects,
    SuspectsUpdate,
)
from wigeonford.steer._report_exchange import ReportExchange
from wigeonford.suspects import SuspectTable


class SuspectExchange(ReportExchange):
    """Report observations to every replica, and follow the nearest ones."""

    def __init__(self, suspects: SuspectTable, log: EventLog) -> None:
        super().__init__()
        self._suspects = suspects
        self._log = log
        suspects.on_report = self.wake

    @property
    def sequence(self) -> int:
        """Return how many observations this VM has made."""
        return self._suspects.sequence

    def build_report(self, since: int) -> ReportSuspects | None:
        """Return the observations after a sequence, None without any."""
        records = self._suspects.records_since(since, time.monotonic())
        return ReportSuspects(records) if records else None

    def build_follow(self) -> FollowSuspects:
        """Return the message that asks for the stream of observations."""
        return FollowSuspects()

    def apply(self, update: SuspectsUpdate) -> None:
        """Add what other entry VMs observed."""
        for crash in self._suspects.merge(update.records, time.monotonic()):
            self._log.emit(
                Event.CRASH_TOLD,
                crash=crash.name,
                fingerprints=[key.hex() for key in sorted(crash.fingerprints)],
                age_s=round(time.monotonic() - crash.at_s, 3),
            )
