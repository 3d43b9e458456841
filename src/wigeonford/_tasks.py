"""What all parts with a background task share."""

import asyncio


async def end_task(task: asyncio.Task[None] | None) -> None:
    """Cancel a task and return once it has ended; None is no task."""
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
