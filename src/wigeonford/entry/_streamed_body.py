"""Body of a large response, streamed while its slot is held."""

from collections.abc import AsyncIterator, Callable
import contextlib

from wigeonford.http import ClientConnection, ExchangeFailed, ResponseBroken


class StreamedBody:
    """Yield the body of a response; call `on_done` exactly once.

    `on_done` receives whether the body was read to its end. This is a class
    with `__del__` because a caller may disconnect before the first chunk is
    read, and a generator that was never started runs no `finally` block.
    """

    def __init__(
        self,
        first_chunks: list[bytes],
        remaining: AsyncIterator[bytes],
        conn: ClientConnection,
        on_done: Callable[[bool], None],
    ) -> None:
        self._first_chunks = first_chunks
        self._remaining = remaining
        self._conn = conn
        self._on_done: Callable[[bool], None] | None = on_done

    def __aiter__(self) -> "StreamedBody":
        """Return this iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise `ResponseBroken` on failure."""
        if self._first_chunks:
            return self._first_chunks.pop(0)
        try:
            return await anext(self._remaining)
        except StopAsyncIteration:
            self._finish(is_complete=True)
            raise
        except ExchangeFailed as exc:
            self.close()
            raise ResponseBroken(str(exc)) from exc
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Discard the unread chunks and close the connection."""
        if self._on_done is not None:
            self._conn.close()
            self._finish(is_complete=False)

    def _finish(self, *, is_complete: bool) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(is_complete)

    def __del__(self) -> None:
        """Release the slot of a response that was not read to its end."""
        with contextlib.suppress(RuntimeError):
            self.close()
