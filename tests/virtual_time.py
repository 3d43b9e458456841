"""An event loop whose waits take no time: its clock jumps to what is due."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any, TypeVar

T = TypeVar("T")


class _Selector(selectors.DefaultSelector):
    """Skip the waits for sockets, and count them."""

    now_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now; else let the time-out pass at once."""
        ready = super().select(0)
        if not ready and timeout is not None:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run on a clock of its own."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual clock; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
