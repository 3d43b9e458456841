"""Helpers for background tasks."""

import asyncio


async def cancel_task(task: asyncio.Task[None] | None) -> None:
    """Cancel a task, if there is one, and wait until it has ended."""
    if task is not None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
