"""A base of stand-in links to control replicas."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any


class QuietLink:
    """Tell no news on its own; watches are answered by each stand-in."""

    async def follow(
        self, _record: Any, _timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield nothing for as long as the link is open."""
        await asyncio.Event().wait()
        yield None

    async def close(self) -> None:
        """Return: there is nothing to close."""
