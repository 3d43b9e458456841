"""The rest of a large answer, streamed with its slot and connection."""

from collections.abc import AsyncIterator, Callable
import contextlib

from wigeonford.http import AnswerBroken, ClientConnection, ExchangeFailed


class AnswerBody:
    """Yield an answer's body; let go of its slot exactly once.

    A caller may vanish before the first chunk is asked for, so that no
    generator would ever run its `finally`; the object's end counts as well.
    """

    def __init__(
        self,
        start: list[bytes],
        rest: AsyncIterator[bytes],
        conn: ClientConnection,
        done: Callable[[bool], None],
    ) -> None:
        self._start = start
        self._rest = rest
        self._conn = conn
        self._done: Callable[[bool], None] | None = done

    def __aiter__(self) -> "AnswerBody":
        """Return itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise `AnswerBroken` where it breaks."""
        if self._start:
            return self._start.pop(0)
        try:
            return await anext(self._rest)
        except StopAsyncIteration:
            self._finish(whole=True)
            raise
        except ExchangeFailed as exc:
            self.close()
            raise AnswerBroken(str(exc)) from exc
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Give up on what is left; the connection is not used again."""
        if self._done is not None:
            self._conn.close()
            self._finish(whole=False)

    def _finish(self, *, whole: bool) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(whole)

    def __del__(self) -> None:
        """Let go of an answer that nobody read to its end."""
        with contextlib.suppress(RuntimeError):
            self.close()
