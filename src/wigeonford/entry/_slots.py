"""The holder's side: leased slots and the requests that wait for them."""

import asyncio
import collections
from collections.abc import Collection
import contextlib
from dataclasses import dataclass
import time
from typing import Final
import uuid

from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._targets import TargetDirectory
from wigeonford.errors import Code, PeerError, RequestRefused
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.slot import SlotCall, TargetGone
from wigeonford.model import Side
from wigeonford.peer import Done, PeerServer
from wigeonford.policy import (
    Ejection,
    slot_pool,
    SLOT_TERM_S,
    SlotHolder,
    TargetOffer,
)

RENEW_INTERVAL_S: Final = 1.0
ASK_INTERVAL_S: Final = 0.02
ASK_TIMEOUT_S: Final = 0.5
MAX_OWNERS: Final = 6
ASK_AHEAD: Final = 2
MAX_WAITING: Final = 256
MAX_WAIT_S: Final = 1.0
NO_TARGET_WAIT_S: Final = 0.25
WAIT_PART: Final = 0.5
RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Waiter:
    """Hold a request that waits for a slot."""

    avoid: Collection[str]
    fut: asyncio.Future[TargetOffer]


class SlotTable:
    """Use slots of the region's targets that this VM holds a lease of."""

    def __init__(
        self,
        peers: RegionPeers,
        directory: TargetDirectory,
        checks: Checks,
        ejection: Ejection,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._checks = checks
        run_id = uuid.uuid4().hex[:8]
        self._holder = SlotHolder(f"{peers.name}#{run_id}", SLOT_TERM_S)
        self._waiting: dict[str, collections.deque[_Waiter]] = {}
        self._asking: set[str] = set()
        self._polling = False
        self._watching = 0
        self._ejection = ejection
        self._turn = 0
        self._free = asyncio.Event()
        directory.on_call(self._called)

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(SlotCall, self._take_call)
        server.handle(TargetGone, self._take_call)

    async def start(self) -> None:
        """Begin to renew leases."""
        self._peers.spawn(self._renew())

    def available(self, service: str, side: Side | None = None) -> int:
        """Return how many more requests of a service may go out now."""
        pool = slot_pool(service, side)
        free = self._holder.available(pool, time.monotonic())
        return max(0, free - len(self._waiting.get(pool, ())))

    def held(self, service: str, side: Side | None = None) -> int:
        """Return how many slots of a service are leased to this VM."""
        pool = slot_pool(service, side)
        return self._holder.held(pool, time.monotonic())

    def limit(self, service: str) -> int:
        """Return how many requests of a service may be under way.

        These are the slots held here and some more, by whose demand owners
        are asked for slots.
        """
        held = self.held(service)
        return held + max(ASK_AHEAD, held // 2)

    def is_short(self, service: str, side: Side | None = None) -> bool:
        """Tell whether requests wait for slots of a service here."""
        return bool(self._waiting.get(slot_pool(service, side)))

    async def wait_free(self, service: str, side: Side | None = None) -> None:
        """Return once a slot may have come free at this VM.

        Waiting counts as demand, so that owners are asked for slots.
        """
        pool = slot_pool(service, side)
        self._holder.want(pool, time.monotonic())
        self._watching += 1
        self._poll()
        try:
            await self._free.wait()
        finally:
            self._watching -= 1
            self._holder.done(pool, time.monotonic())

    async def hand_back(self) -> None:
        """Hand back every slot that is not in use, before a stop."""
        await asyncio.gather(
            *(
                self._exchange(owner, recalled=True)
                for owner in self._peers.names
            )
        )

    def targets(self, service: str, side: Side | None) -> tuple[str, ...]:
        """Return the ids of a service's targets that are known here."""
        return self._holder.targets(slot_pool(service, side))

    def in_use(self, target_id: str) -> int:
        """Return how many requests run at a target from here."""
        return self._holder.in_use(target_id)

    async def acquire(
        self,
        service: str,
        side: Side | None,
        avoid: Collection[str],
        deadline_s: float,
    ) -> TargetOffer:
        """Return a target with one slot taken; raise `RequestRefused`.

        The request waits for a slot until half of its time is over.
        """
        pool = slot_pool(service, side)
        self._holder.want(pool, time.monotonic())
        try:
            if not self._waiting.get(pool):
                offer = self._take(pool, avoid)
                if offer is not None:
                    return offer
            return await self._wait(pool, avoid, deadline_s)
        except BaseException:
            self._holder.done(pool, time.monotonic())
            raise

    def release(
        self, service: str, side: Side | None, offer: TargetOffer
    ) -> None:
        """Give a slot back."""
        self._holder.give_back(offer.target_id)
        self._holder.done(slot_pool(service, side), time.monotonic())
        self._drain()

    def _take(self, pool: str, avoid: Collection[str]) -> TargetOffer | None:
        now_s = time.monotonic()
        ejected = self._ejected(pool, now_s)
        offer = self._holder.take(pool, {*avoid, *ejected}, now_s)
        if offer is None:
            return None
        self._checks.require(
            self._holder.within_lease(offer.target_id, now_s),
            Invariant.REGION_NOT_OVERLOADED,
            f"more slots of {offer.target_id} in use than leased",
        )
        self._checks.require(
            not self._holder.is_gone(offer.target_id),
            Invariant.LEAVING_TARGET_UNUSED,
            offer.target_id,
        )
        return offer

    def _ejected(self, pool: str, now_s: float) -> set[str]:
        return self._ejection.ejected(self._holder.targets(pool), now_s)

    def _avoided(self, now_s: float) -> set[str]:
        """Return the targets whose slots are of no use here now."""
        avoided: set[str] = set()
        for pool in self._holder.pools():
            avoided |= self._ejected(pool, now_s)
        for waiting in self._waiting.values():
            for waiter in waiting:
                avoided.update(waiter.avoid)
        return avoided

    async def _wait(
        self, pool: str, avoid: Collection[str], deadline_s: float
    ) -> TargetOffer:
        waiting = self._waiting.setdefault(pool, collections.deque())
        if len(waiting) >= MAX_WAITING:
            raise RequestRefused(
                Code.QUEUE_FULL, pool, retry_after_s=RETRY_AFTER_S
            )
        fut: asyncio.Future[TargetOffer] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(avoid, fut)
        waiting.append(waiter)
        self._poll()
        known = any(t not in avoid for t in self._holder.targets(pool))
        left_s = (deadline_s - time.monotonic()) * WAIT_PART
        longest_s = MAX_WAIT_S if known else NO_TARGET_WAIT_S
        try:
            async with asyncio.timeout(min(left_s, longest_s)):
                return await fut
        except BaseException as exc:
            if fut.done() and not fut.cancelled():
                self._holder.give_back(fut.result().target_id)
                self._drain()
            if isinstance(exc, TimeoutError):
                raise self._refusal(pool) from exc
            raise
        finally:
            with contextlib.suppress(ValueError):
                waiting.remove(waiter)

    def _refusal(self, pool: str) -> RequestRefused:
        known = self._holder.targets(pool)
        code = Code.NO_CAPACITY if known else Code.NO_TARGET
        return RequestRefused(code, pool, retry_after_s=RETRY_AFTER_S)

    def _drain(self) -> None:
        for pool, waiting in self._waiting.items():
            self._drain_pool(pool, waiting)
        self._free.set()
        self._free.clear()

    def _drain_pool(
        self, pool: str, waiting: collections.deque[_Waiter]
    ) -> None:
        while waiting:
            waiter = waiting[0]
            if not waiter.fut.done():
                offer = self._take(pool, waiter.avoid)
                if offer is None:
                    return
                waiter.fut.set_result(offer)
            waiting.popleft()

    def _poll(self) -> None:
        """Ask owners for slots until no request waits."""
        if not self._polling:
            self._polling = True
            self._peers.spawn(self._ask_while_short())

    async def _ask_while_short(self) -> None:
        try:
            while self._watching or any(self._waiting.values()):
                self._ask_all()
                await asyncio.sleep(ASK_INTERVAL_S)
        finally:
            self._polling = False

    async def _renew(self) -> None:
        while True:
            self._ask_all()
            await asyncio.sleep(RENEW_INTERVAL_S)
            self._holder.forget_idle(time.monotonic())

    def _ask_all(self) -> None:
        for owner in self._owners():
            self._ask(owner)

    def _owners(self) -> tuple[str, ...]:
        """Return the owners to ask: all of a few, or some in turn."""
        names = self._peers.names
        if len(names) <= MAX_OWNERS:
            return names
        self._turn += 1
        used = {self._peers.owner(t) for t in self._holder.all_targets()}
        known = [name for name in names if name in used]
        others = [name for name in names if name not in used]
        spare = max(1, MAX_OWNERS - len(known))
        start = self._turn * spare % len(others) if others else 0
        return (*known, *(others + others)[start : start + spare])

    def _ask(self, owner: str, *, recalled: bool = False) -> None:
        if owner in self._asking:
            return
        self._asking.add(owner)
        self._peers.spawn(self._exchange(owner, recalled=recalled))

    async def _exchange(self, owner: str, *, recalled: bool) -> None:
        try:
            offered = True
            while offered:
                now_s = time.monotonic()
                ask = self._holder.ask(
                    lambda target: self._peers.owner(target) == owner,
                    self._avoided(now_s),
                    now_s,
                    recalled=recalled,
                )
                if owner == self._peers.name:
                    answer = self._directory.serve(ask)
                else:
                    answer = await self._peers.request(
                        owner, ask, ASK_TIMEOUT_S
                    )
                offered = self._holder.accept(answer, time.monotonic())
                self._drain()
        except (PeerError, RequestRefused):
            # The lease runs out unless a later exchange renews it.
            return
        finally:
            self._asking.discard(owner)

    def _called(self, record: SlotCall | TargetGone) -> None:
        if isinstance(record, SlotCall):
            self._ask(record.owner, recalled=record.recalled)
            return
        self._holder.drop(record.target_id, record.sequence, time.monotonic())

    async def _take_call(self, record: SlotCall | TargetGone) -> Done:
        self._called(record)
        return Done()
