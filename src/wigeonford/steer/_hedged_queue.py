"""Request the same data from several sources, one after another."""

import asyncio
from collections.abc import Callable, Coroutine


class HedgedQueue:
    """Run one request at a time; a slow one doesn't hold up the next.

    A request that takes longer than a hedge delay keeps running, but the next
    one starts beside it.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._current: asyncio.Task[None] | None = None
        self._until_s = 0.0

    async def run(
        self,
        is_needed: Callable[[], bool],
        request: Callable[[], Coroutine[None, None, None]],
        hedge_delay_s: float,
    ) -> None:
        """Run a request when its turn comes, unless it isn't needed by then.

        `hedge_delay_s` is how long the next request waits for this one. An
        exception of `request` is raised here.
        """
        async with self._lock:
            loop = asyncio.get_running_loop()
            if self._current is not None:
                left_s = max(0.0, self._until_s - loop.time())
                await asyncio.wait({self._current}, timeout=left_s)
            if not is_needed():
                return
            current = self._current = asyncio.create_task(request())
            self._until_s = loop.time() + hedge_delay_s
        await current
