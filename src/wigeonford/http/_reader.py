"""A stream reader that notifies of its end, limits on reads, and bodies."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, SupportsIndex

import h11

POLL_ITERATIONS: Final = 2
"""A task may run before the sockets' callbacks of the first iteration."""

SLICE_EVENTS: Final = 64
"""Events that are parsed in one turn of the event loop."""
SLICE_INTERVAL_S: Final = 0.03
"""Time between such slices of all bodies together: a small part of a core."""
BURST_SLICES: Final = 16
"""Slices that need not wait, so that an odd body isn't slowed down."""
MAX_PIECE_BYTES: Final = 65536


class WatchedReader(asyncio.StreamReader):
    """Read a stream, and report its end before all bytes are read."""

    def __init__(self, limit: int) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(limit=limit, loop=loop)
        self.is_closed = False
        self.on_closed: Callable[[], object] | None = None
        self._unread_bytes = 0

    @property
    def unread_bytes(self) -> int:
        """Return how many received bytes have not been read yet."""
        return self._unread_bytes

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Buffer bytes from the transport."""
        content = bytes(data)
        self._unread_bytes += len(content)
        super().feed_data(content)

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes, or none at the end of the stream."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data

    def feed_eof(self) -> None:
        """Record the end of the stream."""
        self._notify_closed()
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        """Record that the connection has broken."""
        self._notify_closed()
        super().set_exception(exc)

    def _notify_closed(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            if self.on_closed is not None:
                self.on_closed()


async def poll_sockets() -> None:
    """Let the event loop read and write what its sockets are ready for."""
    for _ in range(POLL_ITERATIONS):
        await asyncio.sleep(0)


async def check_caller(has_left: Callable[[], bool]) -> None:
    """Raise `ConnectionResetError` if a caller has closed its connection.

    A process that stood still may read a request and notice the close of its
    connection only afterwards.
    """
    await poll_sockets()
    if has_left():
        raise ConnectionResetError("the caller has disconnected")


class ReadDeadline:
    """A time limit on reads, under which bytes received in time count.

    A process that stands still notices the limit and earlier bytes together,
    or the limit first. So once the limit has passed, the event loop polls the
    sockets again, and reads return what has been received by then.
    """

    def __init__(self, when_s: float) -> None:
        self._when_s = when_s
        self._timeout: asyncio.Timeout | None = None
        self._remaining_bytes: int | None = None

    def reschedule(self, when_s: float) -> None:
        """Move the limit, unless it has passed."""
        self._when_s = when_s
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(when_s)

    @property
    def has_passed(self) -> bool:
        """Return whether the limit has passed."""
        return asyncio.get_running_loop().time() >= self._when_s

    async def read(self, reader: WatchedReader, max_bytes: int) -> bytes:
        """Return bytes, or none at the end; raise `TimeoutError`."""
        while self._remaining_bytes is None:
            when_s = self._when_s
            if asyncio.get_running_loop().time() < when_s:
                try:
                    async with asyncio.timeout_at(when_s) as self._timeout:
                        return await reader.read(max_bytes)
                except TimeoutError:
                    pass
                finally:
                    self._timeout = None
            await poll_sockets()
            if self._when_s <= when_s:
                self._remaining_bytes = reader.unread_bytes
        has_ended = reader.at_eof() or reader.exception() is not None
        if not self._remaining_bytes and not has_ended:
            raise TimeoutError
        data = await reader.read(min(max_bytes, self._remaining_bytes) or 1)
        self._remaining_bytes -= len(data)
        return data


class ChunkPacer:
    """Bound the rate at which all bodies in tiny chunks are parsed."""

    def __init__(self) -> None:
        self._next_at_s = 0.0

    async def wait(self) -> None:
        """Return once the next slice may be parsed."""
        now_s = asyncio.get_running_loop().time()
        earliest_s = now_s - BURST_SLICES * SLICE_INTERVAL_S
        at_s = max(self._next_at_s, earliest_s)
        self._next_at_s = at_s + SLICE_INTERVAL_S
        await asyncio.sleep(max(0.0, at_s - now_s))


class BodyPiece:
    """Join the data of events that have arrived into one piece.

    `next_event` is the event behind the piece, None if it hasn't arrived.
    `is_slice_full` tells that more events may be at hand.
    """

    def __init__(self, http: h11.Connection, first: h11.Data) -> None:
        self.next_event: object | None = None
        parts = [bytes(first.data)]
        size = len(parts[0])
        while len(parts) < SLICE_EVENTS and size < MAX_PIECE_BYTES:
            event = http.next_event()
            if not isinstance(event, h11.Data):
                if event is not h11.NEED_DATA:
                    self.next_event = event
                break
            parts.append(bytes(event.data))
            size += len(parts[-1])
        self.content = b"".join(parts)
        self.is_slice_full = len(parts) == SLICE_EVENTS
