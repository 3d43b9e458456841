"""Helpers for background tasks, results to wait for and times of leases."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
import time
from typing import Any, Final, TypeVar

from wigeonford.events import Event, EventLog

RESTART_DELAY_S: Final = 0.5
"""Pause after an unexpected error of a background task."""
CANCEL_AGAIN_S: Final = 1.0
"""Exceeds the time in which tasks close their connections."""
READ_ITERATIONS: Final = 32
"""Event loop iterations to read a result that has arrived; each reads up to
256 KiB of it."""
MIN_READ_ITERATIONS: Final = 10
"""From the socket through a link's reader to the task that waits."""
READ_LIMIT_S: Final = 0.25
"""Time after which no more than the fewest iterations are run."""

_BOOT_CLOCK: Final = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

T = TypeVar("T")


def boot_time_s() -> float:
    """Return the time since the machine's start, on which leases expire.

    The monotonic clock stands still while a machine is suspended; meanwhile,
    what a lease grants is granted to others.
    """
    return time.clock_gettime(_BOOT_CLOCK)


async def run_supervised(
    run: Callable[[], Awaitable[None]], log: EventLog
) -> None:
    """Run a background task; after an unexpected error, log and repeat it."""
    task = asyncio.current_task()
    assert task is not None, "coroutines are run in tasks"
    while True:
        try:
            return await run()
        except Exception as exc:
            log.emit(
                Event.TASK_FAILED,
                task=getattr(run, "__qualname__", repr(run)),
                exc_info=exc,
            )
        if task.cancelling():
            # The error occurred on the way out.
            raise asyncio.CancelledError
        await asyncio.sleep(RESTART_DELAY_S)


async def run_together(*coroutines: Coroutine[Any, Any, None]) -> None:
    """Run coroutines until all return or one fails, which ends the others.

    Raise their errors as an `ExceptionGroup`. Unlike in a task group, errors
    don't hide that the caller is cancelled meanwhile.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
    finally:
        await cancel_tasks(tasks)
    errors = [
        exc
        for task in tasks
        if not task.cancelled()
        and isinstance(exc := task.exception(), Exception)
    ]
    if errors:
        raise ExceptionGroup("tasks failed", errors)


async def cancel_task(task: asyncio.Task[None] | None) -> None:
    """Cancel a task, if there is one, and wait until it has ended."""
    if task is not None:
        await cancel_tasks((task,))


async def cancel_tasks(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancel tasks and wait until all have ended, whatever their results.

    One that goes on for `CANCEL_AGAIN_S` is cancelled again. If this wait is
    cancelled, it doesn't wait for the tasks.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        done, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
        for task in done:
            retrieve_exception(task)


def retrieve_exception(fut: asyncio.Future[Any]) -> None:
    """Keep asyncio from logging an exception that nobody awaits."""
    if not fut.cancelled():
        fut.exception()


async def read_arrived() -> None:
    """Let tasks read what has arrived while this process stood still."""
    await _read_until(lambda: False)


async def _read_until(is_done: Callable[[], bool]) -> None:
    """Run iterations of the event loop, few if each takes long."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + READ_LIMIT_S
    for count in range(READ_ITERATIONS):
        is_late = count >= MIN_READ_ITERATIONS and loop.time() > until_s
        if is_late or is_done():
            return
        await asyncio.sleep(0)


async def wait_for_result(fut: asyncio.Future[T], timeout_s: float) -> T:
    """Return a result that arrives in time; raise `TimeoutError`.

    If this process stood still, a result may have arrived that no task has
    read yet. A future that isn't done in the end is cancelled.
    """
    try:
        await asyncio.wait((fut,), timeout=max(0.0, timeout_s))
        await _read_until(fut.done)
        if not fut.done():
            raise TimeoutError
        return await fut
    finally:
        fut.cancel()
