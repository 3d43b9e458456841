"""Take turns in asking several sources for the same news."""

import asyncio
from collections.abc import Callable, Coroutine


class Turns:
    """Ask one source at a time; a slow one does not hold up the next.

    A source has its turn for a stated time. If it has not answered by
    then, the next one is asked as well, and either may bring the news.
    """

    def __init__(self) -> None:
        self._queue = asyncio.Lock()
        self._asking: asyncio.Task[None] | None = None
        self._until_s = 0.0

    async def ask(
        self,
        is_needed: Callable[[], bool],
        ask: Callable[[], Coroutine[None, None, None]],
        turn_s: float,
    ) -> None:
        """Ask a source in its turn, unless that is not needed by then.

        Whatever asking raises is raised here.
        """
        async with self._queue:
            loop = asyncio.get_running_loop()
            if self._asking is not None:
                left_s = max(0.0, self._until_s - loop.time())
                await asyncio.wait({self._asking}, timeout=left_s)
            if not is_needed():
                return
            asking = self._asking = asyncio.create_task(ask())
            self._until_s = loop.time() + turn_s
        await asking
