"""Limit concurrent requests per service, with fair queueing."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
from dataclasses import dataclass
import time
from typing import Final

from wigeonford.errors import Code, RequestRejected
from wigeonford.model import RequestClass
from wigeonford.policy import FairQueue

MAX_WAITING: Final = 512
RETRY_AFTER_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 0.05

SlotLimitFunction = Callable[[str], int]
"""Return how many requests to a service may be in flight from this VM."""


class Slot:
    """Hold permission to dispatch one request until it is released."""

    def __init__(self, release: Callable[[], None]) -> None:
        self._release: Callable[[], None] | None = release

    def release(self) -> None:
        """Release the slot; further calls do nothing."""
        release, self._release = self._release, None
        if release is not None:
            release()


@dataclass(slots=True, eq=False)
class _Waiter:
    """Hold a queued request; `granted` yields None or an error."""

    granted: "asyncio.Future[Code | None]"


class _ServiceGate:
    """Grant the slots of one service."""

    def __init__(self, slot_limit: Callable[[], int]) -> None:
        self._slot_limit = slot_limit
        self._in_use = 0
        self._queue: FairQueue[_Waiter] = FairQueue(MAX_WAITING)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    async def acquire(
        self,
        account: str,
        request_class: RequestClass,
        weight: float,
        deadline_s: float,
    ) -> Slot:
        """Return a slot; raise `RequestRejected`."""
        if not len(self._queue) and self._in_use < self._limit():
            return self._acquire_now()
        loop = asyncio.get_running_loop()
        waiter = _Waiter(loop.create_future())
        dropped = self._queue.push(
            waiter, account, request_class, weight, deadline_s
        )
        if dropped is not None:
            _complete(dropped, Code.QUEUE_FULL)
        self._grant_slots()
        try:
            rejection = await waiter.granted
        except asyncio.CancelledError:
            # The slot may have been granted just before the cancellation.
            if _was_granted(waiter):
                self._release()
            raise
        if rejection is not None:
            raise RequestRejected(rejection, retry_after_s=RETRY_AFTER_S)
        return Slot(self._release)

    def _limit(self) -> int:
        # Without a known target one request is let through at a time, so
        # that dispatch rejects it with the specific error.
        return max(1, self._slot_limit())

    def _acquire_now(self) -> Slot:
        self._in_use += 1
        return Slot(self._release)

    def _release(self) -> None:
        self._in_use -= 1
        assert self._in_use >= 0, "each slot is released once"
        self._grant_slots()

    def _grant_slots(self) -> None:
        for waiter in self._queue.expire(time.monotonic()):
            _complete(waiter, Code.DEADLINE_EXCEEDED)
        while self._in_use < self._limit():
            next_waiter = self._queue.pop()
            if next_waiter is None:
                break
            if _complete(next_waiter, None):
                self._in_use += 1
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        """Schedule the next sweep while requests wait.

        Expired deadlines and new slots trigger no call to this gate.
        """
        if self._timer is None and len(self._queue):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._timer = None
        self._grant_slots()


def _was_granted(waiter: _Waiter) -> bool:
    granted = waiter.granted
    if granted.cancelled() or not granted.done():
        return False
    return granted.result() is None


def _complete(waiter: _Waiter, rejection: Code | None) -> bool:
    """Complete a waiter; return False if it was done or cancelled."""
    if waiter.granted.done():
        return False
    waiter.granted.set_result(rejection)
    return True


class DispatchGate:
    """Limit the requests in flight to each service, fairly by account."""

    def __init__(self, slot_limit_of: SlotLimitFunction) -> None:
        self._slot_limit_of = slot_limit_of
        self._gates: dict[str, _ServiceGate] = {}

    async def acquire(
        self,
        service: str,
        account: str,
        request_class: RequestClass,
        weight: float,
        deadline_s: float,
    ) -> Slot:
        """Return a slot that must be released; raise `RequestRejected`."""
        gate = self._gates.get(service)
        if gate is None:
            gate = _ServiceGate(lambda: self._slot_limit_of(service))
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
        """Hold a slot during a `with` block."""
        slot = await self.acquire(
            service, account, request_class, weight, deadline_s
        )
        try:
            yield slot
        finally:
            slot.release()
