"""A stream reader that tells at once when the other side is gone."""

import asyncio
from collections.abc import Callable, Iterable
from typing import SupportsIndex


class WatchedReader(asyncio.StreamReader):
    """Read a stream, and know its end before all of it is read."""

    def __init__(self, limit: int) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(limit=limit, loop=loop)
        self.gone = False
        self.on_gone: Callable[[], object] | None = None
        self._held = 0

    @property
    def has_unread(self) -> bool:
        """Tell whether bytes have arrived that nobody has read."""
        return self._held > 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take in bytes from the transport."""
        content = bytes(data)
        self._held += len(content)
        super().feed_data(content)

    async def read(self, n: int = -1) -> bytes:
        """Return some bytes, or none at the end of the stream."""
        data = await super().read(n)
        self._held -= len(data)
        return data

    def feed_eof(self) -> None:
        """Take in the end of the stream."""
        self._tell_gone()
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        """Take in that the connection has broken."""
        self._tell_gone()
        super().set_exception(exc)

    def _tell_gone(self) -> None:
        if not self.gone:
            self.gone = True
            if self.on_gone is not None:
                self.on_gone()
