"""The gate before dispatch: bounded slots, given by fair queueing."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
from dataclasses import dataclass
import time
from typing import Final

from wigeonford.errors import Code, RequestRefused
from wigeonford.model import RequestClass
from wigeonford.policy import FairQueue

MAX_WAITING: Final = 512
RETRY_AFTER_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 0.05

SlotsOf = Callable[[str], int]
"""Return how many requests to a service may be under way from here."""


class Slot:
    """Hold the right to one dispatch until it is released."""

    def __init__(self, release: Callable[[], None]) -> None:
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Give the slot back; a second call does nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()


@dataclass(slots=True, eq=False)
class _Waiter:
    """Wait for a slot."""

    granted: "asyncio.Future[Code | None]"


class _ServiceGate:
    """Share out the slots of one service."""

    def __init__(self, slots: Callable[[], int]) -> None:
        self._slots = slots
        self._used = 0
        self._queue: FairQueue[_Waiter] = FairQueue(MAX_WAITING)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    async def acquire(
        self,
        account: str,
        request_class: RequestClass,
        weight: float,
        deadline_s: float,
    ) -> Slot:
        """Return a slot; raise `RequestRefused`."""
        if not len(self._queue) and self._used < self._limit():
            return self._take()
        loop = asyncio.get_running_loop()
        waiter = _Waiter(loop.create_future())
        dropped = self._queue.push(
            waiter, account, request_class, weight, deadline_s
        )
        if dropped is not None:
            _resolve(dropped, Code.QUEUE_FULL)
        self._serve()
        try:
            refusal = await waiter.granted
        except asyncio.CancelledError:
            # The slot may have been granted just before the caller left.
            if _holds_slot(waiter):
                self._release()
            raise
        if refusal is not None:
            raise RequestRefused(refusal, retry_after_s=RETRY_AFTER_S)
        return Slot(self._release)

    def _limit(self) -> int:
        # With no target known, dispatch has to give its own refusal.
        return max(1, self._slots())

    def _take(self) -> Slot:
        self._used += 1
        return Slot(self._release)

    def _release(self) -> None:
        self._used -= 1
        assert self._used >= 0, "a slot is released once"
        self._serve()

    def _serve(self) -> None:
        for waiter in self._queue.expire(time.monotonic()):
            _resolve(waiter, Code.DEADLINE_EXCEEDED)
        while self._used < self._limit():
            waiter_or_none = self._queue.pop()
            if waiter_or_none is None:
                break
            if _resolve(waiter_or_none, None):
                self._used += 1
        self._schedule()

    def _schedule(self) -> None:
        """Look again soon: deadlines pass and targets come unannounced."""
        if self._timer is None and len(self._queue):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._timer = None
        self._serve()


def _holds_slot(waiter: _Waiter) -> bool:
    granted = waiter.granted
    if granted.cancelled() or not granted.done():
        return False
    return granted.result() is None


def _resolve(waiter: _Waiter, refusal: Code | None) -> bool:
    """Answer a waiter; tell whether it was still there."""
    if waiter.granted.done():
        return False
    waiter.granted.set_result(refusal)
    return True


class DispatchGate:
    """Bound what is under way to each service, fairly by account."""

    def __init__(self, slots_of: SlotsOf) -> None:
        self._slots_of = slots_of
        self._gates: dict[str, _ServiceGate] = {}

    async def acquire(
        self,
        service: str,
        account: str,
        request_class: RequestClass,
        weight: float,
        deadline_s: float,
    ) -> Slot:
        """Return a slot, to be released; raise `RequestRefused`."""
        gate = self._gates.get(service)
        if gate is None:
            gate = _ServiceGate(lambda: self._slots_of(service))
            self._gates[service] = gate
        return await gate.acquire(account, request_class, weight, deadline_s)

    @contextlib.asynccontextmanager
    async def slot(
        self,
        service: str,
        account: str,
        request_class: RequestClass,
        weight: float,
        deadline_s: float,
    ) -> AsyncIterator[Slot]:
        """Hold a slot for the length of the block."""
        slot = await self.acquire(
            service, account, request_class, weight, deadline_s
        )
        try:
            yield slot
        finally:
            slot.release()
