"""Writing a log line never blocks, and dropped lines are counted."""

import errno
import io
import sys
import threading
import time
import unittest
from unittest import mock

from wigeonford._log_writer import (
    LogRateLimiter,
    LogWriter,
    MAX_WRITE_BYTES,
)


class StalledStream(io.StringIO):
    """Stand in for a log stream whose reader has stopped reading."""

    def __init__(self) -> None:
        super().__init__()
        self.resumed = threading.Event()

    def write(self, text: str) -> int:
        """Block until `resumed` is set, for at most 30 seconds."""
        self.resumed.wait(30.0)
        return super().write(text)


class FullStream(io.StringIO):
    """Stand in for a log file whose disk is full while `is_full`."""

    is_full = True

    def write(self, text: str) -> int:
        """Fail while the disk is full."""
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")
        return super().write(text)


class ShortStream(io.StringIO):
    """Stand in for a pipe that takes a part of a large write."""

    def write(self, text: str) -> int:
        """Write at most `MAX_WRITE_BYTES` bytes."""
        return super().write(text.encode()[:MAX_WRITE_BYTES].decode())


class LogWriterTest(unittest.TestCase):
    """Check that a stalled reader of the log does not block the caller."""

    def test_lines_arrive_in_order(self) -> None:
        stream = io.StringIO()
        writer = LogWriter(stream)
        for number in range(500):
            writer.write(f"{number}\n")
        writer.close()
        expected = "".join(f"{number}\n" for number in range(500))
        self.assertEqual(expected, stream.getvalue())

    def test_stuck_reader_costs_lines_and_no_time(self) -> None:
        stream = StalledStream()
        writer = LogWriter(stream, max_bytes=1000)
        began_s = time.thread_time()
        for _ in range(300):
            writer.write("x" * 10)
        used_s = time.thread_time() - began_s
        self.assertLess(used_s / 300, 0.005)
        self.assertEqual(200, writer.dropped)
        stream.resumed.set()
        writer.close()
        self.assertEqual(1000, len(stream.getvalue()))

    def test_lines_of_a_burst_are_not_cut(self) -> None:
        stream = ShortStream()
        writer = LogWriter(stream)
        lines = [f"{number} {'é' * 90}\n" for number in range(200)]
        for line in lines:
            writer.write(line)
        writer.close()
        self.assertEqual("".join(lines), stream.getvalue())

    def test_a_full_disk_costs_lines_and_not_the_thread(self) -> None:
        stream = FullStream()
        writer = LogWriter(stream)
        with mock.patch.object(sys, "stderr", FullStream()):
            writer.write("lost\n")
            writer.close()
        stream.is_full = False
        writer.write("kept\n")
        writer.close()
        self.assertEqual("kept\n", stream.getvalue())
        self.assertEqual(1, writer.dropped)


class LineRatesTest(unittest.TestCase):
    """Check that each event has its own rate limit."""

    def test_rate_is_kept_and_the_rest_counted(self) -> None:
        now = [0.0]
        limiter = LogRateLimiter(
            lambda number: 10.0 if number == 1 else 100.0, lambda: now[0]
        )
        allowed_count = 0
        for step in range(1000):
            now[0] = step / 100
            allowed_count += limiter.allows(1)
            self.assertTrue(limiter.allows(2))
        self.assertAlmostEqual(109, allowed_count, delta=2)
        self.assertEqual(
            {1: 1000 - allowed_count}, limiter.pop_dropped_counts()
        )
        self.assertEqual({}, limiter.pop_dropped_counts())
