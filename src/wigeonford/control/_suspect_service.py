"""The service that passes on which requests crash targets."""

from collections.abc import Callable
import time

from wigeonford.control._relay_service import RelayService
from wigeonford.messages.steering import (
    FollowSuspects,
    ReportSuspects,
    SuspectsUpdate,
)
from wigeonford.suspects import (
    decode_records,
    encode_observations,
    Quarantine,
)


class SuspectService(RelayService):
    """Pass on what entry VMs observe of requests that crash targets."""

    report_type = ReportSuspects
    follow_type = FollowSuspects

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._quarantine = Quarantine()

    @property
    def revision(self) -> int:
        """Return how many observations were new."""
        return self._quarantine.revision

    def merge(self, report: ReportSuspects) -> None:
        """Add observations."""
        now_s = self._clock()
        for observation in decode_records(report.records, now_s):
            self._quarantine.add(observation, now_s)

    def build_update(self, since: int) -> SuspectsUpdate:
        """Return the observations that were new after a revision."""
        changed = self._quarantine.changed_since(since)
        return SuspectsUpdate(encode_observations(changed, self._clock()))
