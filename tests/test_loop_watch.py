"""An event loop that runs callbacks late is measured and logged."""

import unittest

from wigeonford._loop_watch import LATE_THRESHOLD_S, LoopWatch
from wigeonford.events import Event, EventLog
from wigeonford.metrics import Metrics


class _RecordingLog(EventLog):
    """Record the events instead of writing them."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[Event, dict[str, object]]] = []

    def emit(self, event: Event, **fields: object) -> None:
        """Record one event."""
        self.events.append((event, fields))


class LoopWatchTest(unittest.TestCase):
    """Check that all lateness is measured, and only high lateness logged."""

    def test_only_a_late_loop_is_logged(self) -> None:
        log = _RecordingLog()
        metrics = Metrics()
        watch = LoopWatch(metrics, log)
        watch.record_lateness(LATE_THRESHOLD_S / 2)
        self.assertEqual([], log.events)
        watch.record_lateness(1.5)
        self.assertEqual([(Event.LOOP_LATE, {"late_s": 1.5})], log.events)
        content, _ = metrics.render()
        self.assertIn(b"wigeonford_loop_late_seconds_count 2", content)
