"""Slots of targets leased to this VM, and requests that wait for them."""

import asyncio
import collections
from collections.abc import Collection
import contextlib
from dataclasses import dataclass
import time
from typing import Final
import uuid

from wigeonford._tasks import wait_for_result
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._targets import TargetDirectory
from wigeonford.errors import Code, PeerError, RequestRejected
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.slot import SlotRecall, TargetGone
from wigeonford.model import Side
from wigeonford.peer import Done, PeerServer
from wigeonford.policy import (
    OutlierEjector,
    slot_pool,
    SLOT_TERM_S,
    SlotHolder,
    TargetOffer,
)

RENEW_INTERVAL_S: Final = 1.0
POLL_INTERVAL_S: Final = 0.02
EXCHANGE_TIMEOUT_S: Final = 0.5
MAX_OWNERS: Final = 6
"""Number of entry VMs up to which all are asked in each round."""

MIN_EXTRA_REQUESTS: Final = 2
MAX_WAITING: Final = 256
MAX_WAIT_S: Final = 1.0
MAX_WAIT_NO_TARGET_S: Final = 0.25
MAX_WAIT_FRACTION: Final = 0.5
"""Fraction of a request's remaining time that it may wait for a slot."""

RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Waiter:
    """Hold a request that waits for a slot."""

    avoid: Collection[str]
    fut: asyncio.Future[TargetOffer]


class SlotTable:
    """Assign requests to the slots of targets that this VM has leased."""

    def __init__(
        self,
        peers: RegionPeers,
        directory: TargetDirectory,
        checks: Checks,
        ejector: OutlierEjector,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._checks = checks
        run_id = uuid.uuid4().hex[:8]
        self._holder = SlotHolder(f"{peers.name}#{run_id}", SLOT_TERM_S)
        self._waiting: dict[str, collections.deque[_Waiter]] = {}
        self._exchanging_owners: set[str] = set()
        self._is_polling = False
        self._free_waits = 0
        self._ejector = ejector
        self._round = 0
        self._slot_freed = asyncio.Event()
        directory.on_slot_call(self._handle_call)

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(SlotRecall, self._receive_call)
        server.handle(TargetGone, self._receive_call)

    async def start(self) -> None:
        """Start to renew leases periodically."""
        self._peers.spawn(self._renew_periodically())

    def free_slots(self, service: str, side: Side | None = None) -> int:
        """Return how many more requests to a service may be sent now."""
        pool = slot_pool(service, side)
        free = self._holder.available(pool, time.monotonic())
        return max(0, free - len(self._waiting.get(pool, ())))

    def held_slots(self, service: str, side: Side | None = None) -> int:
        """Return how many slots of a service are leased to this VM."""
        pool = slot_pool(service, side)
        return self._holder.held(pool, time.monotonic())

    def max_in_flight(self, service: str) -> int:
        """Return how many requests to a service may be in flight.

        This is more than the slots held here: the demand of the additional
        requests makes this VM ask the owners for more slots.
        """
        held_slots = self.held_slots(service)
        return held_slots + max(MIN_EXTRA_REQUESTS, held_slots // 2)

    def has_waiters(self, service: str, side: Side | None = None) -> bool:
        """Return whether requests wait for slots of a service."""
        return bool(self._waiting.get(slot_pool(service, side)))

    async def wait_for_slot(
        self, service: str, side: Side | None = None
    ) -> None:
        """Return once a slot may have become free at this VM.

        Waiting counts as demand, so this VM asks the owners for slots.
        """
        pool = slot_pool(service, side)
        self._holder.add_demand(pool, time.monotonic())
        self._free_waits += 1
        self._ensure_polling()
        try:
            await self._slot_freed.wait()
        finally:
            self._free_waits -= 1
            self._holder.end_demand(pool, time.monotonic())

    async def return_unused(self) -> None:
        """Return every unused slot to its owner before a graceful shutdown."""
        await asyncio.gather(
            *(
                self._exchange(owner, recalled=True)
                for owner in self._peers.names
            )
        )

    def targets(self, service: str, side: Side | None) -> tuple[str, ...]:
        """Return the ids of a service's targets that this VM knows."""
        return self._holder.targets(slot_pool(service, side))

    def in_use(self, target_id: str) -> int:
        """Return how many requests from this VM run at a target."""
        return self._holder.in_use(target_id)

    async def acquire(
        self,
        service: str,
        side: Side | None,
        avoid: Collection[str],
        deadline_s: float,
    ) -> TargetOffer:
        """Return a target after acquiring a slot; raise `RequestRejected`.

        The request waits for a slot for at most half of the time until its
        deadline, and for at most `MAX_WAIT_S`, or `MAX_WAIT_NO_TARGET_S` if
        this VM knows no target that it may use.
        """
        pool = slot_pool(service, side)
        self._holder.add_demand(pool, time.monotonic())
        try:
            if not self._waiting.get(pool):
                offer = self._try_acquire(pool, avoid)
                if offer is not None:
                    return offer
            return await self._wait_in_queue(pool, avoid, deadline_s)
        except BaseException:
            self._holder.end_demand(pool, time.monotonic())
            raise

    def release(
        self, service: str, side: Side | None, offer: TargetOffer
    ) -> None:
        """Release a slot."""
        self._holder.release(offer.target_id)
        self._holder.end_demand(slot_pool(service, side), time.monotonic())
        self._serve_waiters()

    def _try_acquire(
        self, pool: str, avoid: Collection[str]
    ) -> TargetOffer | None:
        now_s = time.monotonic()
        ejected = self._ejected(pool, now_s)
        offer = self._holder.acquire(pool, {*avoid, *ejected}, now_s)
        if offer is None:
            return None
        self._checks.require(
            self._holder.within_lease(offer.target_id, now_s),
            Invariant.REGION_NOT_OVERLOADED,
            f"target {offer.target_id}: more slots in use than leased",
        )
        self._checks.require(
            not self._holder.is_gone(offer.target_id),
            Invariant.LEAVING_TARGET_UNUSED,
            offer.target_id,
        )
        return offer

    def _ejected(self, pool: str, now_s: float) -> set[str]:
        return self._ejector.ejected(self._holder.targets(pool), now_s)

    def _targets_to_avoid(self, now_s: float) -> set[str]:
        """Return the targets that are ejected or that waiters must avoid."""
        avoided: set[str] = set()
        for pool in self._holder.pools():
            avoided |= self._ejected(pool, now_s)
        for waiting in self._waiting.values():
            for waiter in waiting:
                avoided.update(waiter.avoid)
        return avoided

    async def _wait_in_queue(
        self, pool: str, avoid: Collection[str], deadline_s: float
    ) -> TargetOffer:
        waiting = self._waiting.setdefault(pool, collections.deque())
        if len(waiting) >= MAX_WAITING:
            raise RequestRejected(
                Code.QUEUE_FULL, pool, retry_after_s=RETRY_AFTER_S
            )
        fut: asyncio.Future[TargetOffer] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(avoid, fut)
        waiting.append(waiter)
        self._ensure_polling()
        has_usable_target = any(
            t not in avoid for t in self._holder.targets(pool)
        )
        wait_limit_s = (deadline_s - time.monotonic()) * MAX_WAIT_FRACTION
        max_wait_s = MAX_WAIT_S if has_usable_target else MAX_WAIT_NO_TARGET_S
        try:
            return await wait_for_result(fut, min(wait_limit_s, max_wait_s))
        except BaseException as exc:
            if fut.done() and not fut.cancelled():
                self._holder.release(fut.result().target_id)
                self._serve_waiters()
            if isinstance(exc, TimeoutError):
                raise self._rejection(pool) from exc
            raise
        finally:
            with contextlib.suppress(ValueError):
                waiting.remove(waiter)

    def _rejection(self, pool: str) -> RequestRejected:
        known_targets = self._holder.targets(pool)
        code = Code.NO_CAPACITY if known_targets else Code.NO_TARGET
        return RequestRejected(code, pool, retry_after_s=RETRY_AFTER_S)

    def _serve_waiters(self) -> None:
        for pool, waiting in self._waiting.items():
            self._serve_pool(pool, waiting)
        self._slot_freed.set()
        self._slot_freed.clear()

    def _serve_pool(
        self, pool: str, waiting: collections.deque[_Waiter]
    ) -> None:
        while waiting:
            waiter = waiting[0]
            if not waiter.fut.done():
                offer = self._try_acquire(pool, waiter.avoid)
                if offer is None:
                    return
                waiter.fut.set_result(offer)
            waiting.popleft()

    def _ensure_polling(self) -> None:
        """Start to ask owners for slots until no request waits."""
        if not self._is_polling:
            self._is_polling = True
            self._peers.spawn(self._poll_owners())

    async def _poll_owners(self) -> None:
        try:
            while self._free_waits or any(self._waiting.values()):
                self._ask_owners()
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            self._is_polling = False

    async def _renew_periodically(self) -> None:
        while True:
            self._ask_owners()
            await asyncio.sleep(RENEW_INTERVAL_S)
            self._holder.forget_idle(time.monotonic())

    def _ask_owners(self) -> None:
        for owner in self._owners():
            self._start_exchange(owner)

    def _owners(self) -> tuple[str, ...]:
        """Return the owners to ask in this round.

        In a large region these are the owners of known targets, and some
        others that change with each round.
        """
        names = self._peers.names
        if len(names) <= MAX_OWNERS:
            return names
        self._round += 1
        used = {self._peers.owner(t) for t in self._holder.all_targets()}
        current = [name for name in names if name in used]
        others = [name for name in names if name not in used]
        extra_count = max(1, MAX_OWNERS - len(current))
        start = self._round * extra_count % len(others) if others else 0
        return (*current, *(others + others)[start : start + extra_count])

    def _start_exchange(self, owner: str, *, recalled: bool = False) -> None:
        if owner in self._exchanging_owners:
            return
        self._exchanging_owners.add(owner)
        self._peers.spawn(self._exchange(owner, recalled=recalled))

    async def _exchange(self, owner: str, *, recalled: bool) -> None:
        """Ask an owner for slots, again while it offers new targets.

        With `recalled`, slots that are not in use or waited for are given up.
        """
        try:
            has_offers = True
            while has_offers:
                now_s = time.monotonic()
                request = self._holder.next_request(
                    lambda target: self._peers.owner(target) == owner,
                    self._targets_to_avoid(now_s),
                    now_s,
                    recalled=recalled,
                )
                if owner == self._peers.name:
                    reply = self._directory.serve(request)
                else:
                    reply = await self._peers.request(
                        owner, request, EXCHANGE_TIMEOUT_S
                    )
                has_offers = self._holder.accept(reply, time.monotonic())
                self._serve_waiters()
        except (PeerError, RequestRejected):
            # The lease expires unless a later exchange renews it.
            return
        finally:
            self._exchanging_owners.discard(owner)

    def _handle_call(self, record: SlotRecall | TargetGone) -> None:
        if isinstance(record, SlotRecall):
            self._start_exchange(record.owner, recalled=record.recalled)
            return
        self._holder.remove_target(
            record.target_id, record.sequence, time.monotonic()
        )

    async def _receive_call(self, record: SlotRecall | TargetGone) -> Done:
        self._handle_call(record)
        return Done()
