"""Cancel a task at each step of the event loop: it must end each time."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import itertools
from typing import Any

from tests.virtual_time import VirtualLoop

StartTask = Callable[[], Awaitable[asyncio.Task[Any]]]
"""Set the task's surroundings up and start it."""


def find_survived_steps(
    start: StartTask, *, watched_s: float, bound_s: float
) -> list[int]:
    """Return the steps at which one cancellation did not end a task.

    `watched_s` is how long a run is followed; a task that was cancelled may
    take `bound_s` to end. Both are virtual times, in seconds.
    """
    return list(_survived_steps(start, watched_s, bound_s))


def _survived_steps(
    start: StartTask, watched_s: float, bound_s: float
) -> Iterator[int]:
    for step in itertools.count():
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            has_ended = runner.run(_cancel_at(step, start, watched_s, bound_s))
        if has_ended is None:
            assert step, "the task has no step"
            return
        if not has_ended:
            yield step


async def _cancel_at(
    step: int, start: StartTask, watched_s: float, bound_s: float
) -> bool | None:
    """Return whether the task ended, None if it has fewer steps."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop), "steps are those of virtual time"
    task = await start()
    is_cancelled = asyncio.Event()

    def cancel() -> None:
        if not task.done():
            task.cancel()
            is_cancelled.set()

    loop.call_before_step(step, cancel)
    try:
        async with asyncio.timeout(watched_s):
            await is_cancelled.wait()
    except TimeoutError:
        pass
    has_ended = None
    if is_cancelled.is_set():
        await asyncio.wait({task}, timeout=bound_s)
        has_ended = task.done()
    while not task.done():
        task.cancel()
        await asyncio.wait({task}, timeout=bound_s)
    if not task.cancelled():
        task.exception()
    return has_ended
