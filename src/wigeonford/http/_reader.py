"""A stream reader that notifies at once when the connection closes."""

import asyncio
from collections.abc import Callable, Iterable
from typing import SupportsIndex


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

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether received bytes have not been read yet."""
        return self._unread_bytes > 0

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
