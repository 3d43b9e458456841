"""A process that runs late says so."""

import unittest

from wigeonford._loop_watch import LATE_THRESHOLD_S, LoopWatch
from wigeonford.events import Event, EventLog
from wigeonford.metrics import Metrics


class _Lines(EventLog):
    """Keep what is logged."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[Event, dict[str, object]]] = []

    def emit(self, event: Event, **fields: object) -> None:
        """Keep one event."""
        self.events.append((event, fields))


class LoopWatchTest(unittest.TestCase):
    """Lateness is counted always, and logged where it matters."""

    def test_only_a_late_loop_is_logged(self) -> None:
        lines = _Lines()
        metrics = Metrics()
        watch = LoopWatch(metrics, lines)
        watch.record_lateness(LATE_THRESHOLD_S / 2)
        self.assertEqual([], lines.events)
        watch.record_lateness(1.5)
        self.assertEqual([(Event.LOOP_LATE, {"late_s": 1.5})], lines.events)
        content, _ = metrics.render()
        self.assertIn(b"wigeonford_loop_late_seconds_count 2", content)
