"""Helpers for background tasks and for results to wait for."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from wigeonford.events import Event, EventLog

RESTART_DELAY_S: Final = 1.0
"""Pause before a background task that failed begins again."""
READ_ITERATIONS: Final = 32
"""Event loop iterations to read a result that has arrived; each reads up to
256 KiB of it."""

T = TypeVar("T")


async def cancel_task(task: asyncio.Task[None] | None) -> None:
    """Cancel a task, if there is one, and wait until it has ended."""
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def keep_running(
    run: Callable[[], Awaitable[None]], log: EventLog
) -> None:
    """Run a background task until it returns; begin again if it fails.

    Nobody awaits such a task, so that its error would end it unseen.
    """
    while True:
        try:
            await run()
        except Exception as exc:
            log.emit(Event.TASK_FAILED, detail=repr(exc), exc_info=exc)
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


async def wait_for_result(fut: asyncio.Future[T], timeout_s: float) -> T:
    """Return a result that arrives in time; raise `TimeoutError`.

    If this process stood still, a result may have arrived that no task has
    read yet. A future that isn't done in the end is cancelled.
    """
    try:
        await asyncio.wait((fut,), timeout=max(0.0, timeout_s))
        for _ in range(READ_ITERATIONS):
            if fut.done():
                return await fut
            await asyncio.sleep(0)
        raise TimeoutError
    finally:
        fut.cancel()
