"""Write log lines from a thread, with bounded memory and line rates."""

from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
import contextlib
import sys
import threading
import time
from typing import Final, TextIO

MAX_BUFFERED_BYTES: Final = 4 << 20
"""Limit for lines that wait while the reader of the log is stalled: a few
seconds of a busy VM's log."""
BATCH_INTERVAL_S: Final = 0.05
"""Time in which lines are collected into one write."""
MAX_WRITE_BYTES: Final = 4096
"""Size that a pipe takes whole; of a larger write it may take a part."""
CLOSE_TIMEOUT_S: Final = 1.0
"""How long a process that exits waits for its lines to be written."""


class LogWriter:
    """Buffer lines without blocking; a thread writes them in batches.

    Lines beyond `max_bytes` are dropped and counted in `dropped`.
    """

    def __init__(
        self, stream: TextIO, max_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._lines: deque[str] = deque()
        self._buffered_size = 0
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._all_written = threading.Event()
        self._all_written.set()
        self.dropped = 0
        threading.Thread(target=self._write_batches, daemon=True).start()

    def write(self, text: str) -> int:
        """Buffer a text, or drop it if the buffer is full."""
        with self._lock:
            if self._buffered_size + len(text) > self._max_bytes:
                self.dropped += 1
                return len(text)
            self._lines.append(text)
            self._buffered_size += len(text)
            self._all_written.clear()
        self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread flushes."""

    def close(self) -> None:
        """Wait up to `CLOSE_TIMEOUT_S` for the buffer to be written."""
        self._all_written.wait(CLOSE_TIMEOUT_S)

    def _write_batches(self) -> None:
        while True:
            self._has_lines.wait()
            time.sleep(BATCH_INTERVAL_S)
            self._has_lines.clear()
            with self._lock:
                lines = list(self._lines)
                self._lines.clear()
            try:
                for text in _join_lines(lines):
                    self._stream.write(text)
                    self._stream.flush()
            except (OSError, ValueError) as exc:
                # The reader has closed the log; this batch is lost.
                self.dropped += 1
                with contextlib.suppress(OSError, ValueError):
                    # Errors may go where the log went; this thread must last.
                    sys.stderr.write(f"log: {exc!r}\n")
            with self._lock:
                self._buffered_size -= sum(map(len, lines))
                if not self._lines:
                    self._all_written.set()


def _join_lines(lines: Iterable[str]) -> Iterator[str]:
    """Yield texts of whole lines, each of at most `MAX_WRITE_BYTES`.

    A longer line is a text of its own.
    """
    parts: list[str] = []
    size = 0
    for line in lines:
        line_size = len(line.encode())
        if parts and size + line_size > MAX_WRITE_BYTES:
            yield "".join(parts)
            parts, size = [], 0
        parts.append(line)
        size += line_size
    if parts:
        yield "".join(parts)


class LogRateLimiter:
    """Limit the lines per second of each event; count the dropped ones."""

    def __init__(
        self,
        rate_per_s: Callable[[int], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rate_per_s = rate_per_s
        self._clock = clock
        self._buckets: dict[int, tuple[float, float]] = {}
        self._dropped_counts: Counter[int] = Counter()
        self._popped_at_s = clock()

    def allows(self, number: int) -> bool:
        """Return whether a line of an event may be written now."""
        now_s = self._clock()
        rate = self._rate_per_s(number)
        tokens, at_s = self._buckets.get(number, (rate, now_s))
        tokens = min(rate, tokens + (now_s - at_s) * rate)
        allowed = tokens >= 1.0
        self._buckets[number] = (tokens - allowed, now_s)
        if not allowed:
            self._dropped_counts[number] += 1
        return allowed

    def pop_dropped_counts(self) -> dict[int, int]:
        """Return and reset the dropped lines by event number.

        The result is empty within a second of the last one.
        """
        now_s = self._clock()
        if not self._dropped_counts or now_s - self._popped_at_s < 1.0:
            return {}
        self._popped_at_s = now_s
        dropped_counts = dict(self._dropped_counts)
        self._dropped_counts.clear()
        return dropped_counts
