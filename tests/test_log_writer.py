"""Logs never block, and what they leave out is counted."""

import io
import threading
import time
import unittest

from wigeonford._log_writer import LogRateLimiter, LogWriter


class Stuck(io.StringIO):
    """Stand in for a reader that has stopped reading."""

    def __init__(self) -> None:
        super().__init__()
        self.free = threading.Event()

    def write(self, text: str) -> int:
        """Block until the reader goes on."""
        self.free.wait(30.0)
        return super().write(text)


class LogWriterTest(unittest.TestCase):
    """A reader that stops delays nobody."""

    def test_lines_arrive_in_order(self) -> None:
        stream = io.StringIO()
        writer = LogWriter(stream)
        for number in range(500):
            writer.write(f"{number}\n")
        writer.close()
        expected = "".join(f"{number}\n" for number in range(500))
        self.assertEqual(expected, stream.getvalue())

    def test_stuck_reader_costs_lines_and_no_time(self) -> None:
        stream = Stuck()
        writer = LogWriter(stream, max_bytes=1000)
        began_s = time.thread_time()
        for _ in range(300):
            writer.write("x" * 10)
        used_s = time.thread_time() - began_s
        self.assertLess(used_s / 300, 0.005)
        self.assertEqual(200, writer.dropped)
        stream.free.set()
        writer.close()
        self.assertEqual(1000, len(stream.getvalue()))


class LineRatesTest(unittest.TestCase):
    """Each event has a rate of its own."""

    def test_rate_is_kept_and_the_rest_counted(self) -> None:
        now = [0.0]
        rates = LogRateLimiter(
            lambda number: 10.0 if number == 1 else 100.0, lambda: now[0]
        )
        written = 0
        for step in range(1000):
            now[0] = step / 100
            written += rates.allows(1)
            self.assertTrue(rates.allows(2))
        self.assertAlmostEqual(109, written, delta=2)
        self.assertEqual({1: 1000 - written}, rates.pop_dropped_counts())
        self.assertEqual({}, rates.pop_dropped_counts())
