"""An event loop on virtual time: idle waits only advance its clock."""

import asyncio
from collections.abc import Callable, Coroutine
import selectors
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualSelector(selectors.DefaultSelector):
    """Replace each wait by an advance of the virtual clock."""

    now_s = 0.0
    steps_left = 0
    before_step: Callable[[], None] | None = None

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return ready sockets, or advance the clock by the timeout."""
        ready = super().select(0)
        if self.before_step is not None:
            self.steps_left -= 1
            if self.steps_left < 0:
                call, self.before_step = self.before_step, None
                call()
                return ready
        if not ready and timeout is not None:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Use the selector's virtual clock as the time of the loop."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    def stall(self, seconds: float) -> None:
        """Stand still: the clock advances and no callback runs."""
        self._virtual_selector.now_s += seconds

    def call_before_step(self, step: int, call: Callable[[], None]) -> None:
        """Call a function between two iterations, after `step` others."""
        self._virtual_selector.steps_left = step
        self._virtual_selector.before_step = call


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual clock; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
