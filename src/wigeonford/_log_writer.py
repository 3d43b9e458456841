"""Write log lines off the event loop, in bounded volume."""

from collections import Counter, deque
from collections.abc import Callable
import sys
import threading
import time
from typing import Final, TextIO

MAX_HELD_BYTES: Final = 4 << 20
"""Lines that wait for a reader that has stopped; a few seconds of a busy
VM."""
BATCH_S: Final = 0.05
"""Pause in which lines collect, so that one write carries many."""
CLOSE_S: Final = 1.0
"""How long a process that ends waits for its reader."""


class LogWriter:
    """Take lines without blocking; a thread writes them in batches.

    What does not fit is dropped and counted.
    """

    def __init__(
        self, stream: TextIO, max_bytes: int = MAX_HELD_BYTES
    ) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._lines: deque[str] = deque()
        self._held = 0
        self._lock = threading.Lock()
        self._wanted = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self.dropped = 0
        threading.Thread(target=self._run, daemon=True).start()

    def write(self, text: str) -> int:
        """Take a text, or drop it where too many wait."""
        with self._lock:
            if self._held + len(text) > self._max_bytes:
                self.dropped += 1
                return len(text)
            self._lines.append(text)
            self._held += len(text)
            self._idle.clear()
        self._wanted.set()
        return len(text)

    def flush(self) -> None:
        """Return at once: the thread flushes."""

    def close(self) -> None:
        """Wait a moment for what is held to be written."""
        self._idle.wait(CLOSE_S)

    def _run(self) -> None:
        while True:
            self._wanted.wait()
            time.sleep(BATCH_S)
            self._wanted.clear()
            with self._lock:
                batch = "".join(self._lines)
                self._lines.clear()
            try:
                self._stream.write(batch)
                self._stream.flush()
            except (OSError, ValueError) as exc:
                # Nobody reads the log any more; what follows is dropped.
                self.dropped += 1
                sys.stderr.write(f"log: {exc!r}\n")
            with self._lock:
                self._held -= len(batch)
                if not self._lines:
                    self._idle.set()


class LineRates:
    """Bound the lines of each event to a rate; count what is left out."""

    def __init__(
        self,
        per_s: Callable[[int], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens: dict[int, tuple[float, float]] = {}
        self._left_out: Counter[int] = Counter()
        self._reported_at_s = clock()

    def allows(self, number: int) -> bool:
        """Tell whether a line of an event may be written now."""
        now_s = self._clock()
        rate = self._per_s(number)
        tokens, at_s = self._tokens.get(number, (rate, now_s))
        tokens = min(rate, tokens + (now_s - at_s) * rate)
        allowed = tokens >= 1.0
        self._tokens[number] = (tokens - allowed, now_s)
        if not allowed:
            self._left_out[number] += 1
        return allowed

    def take_left_out(self) -> dict[int, int]:
        """Return once a second what was left out since, by event number."""
        now_s = self._clock()
        if not self._left_out or now_s - self._reported_at_s < 1.0:
            return {}
        self._reported_at_s = now_s
        left_out = dict(self._left_out)
        self._left_out.clear()
        return left_out
