"""Holder side of slot leases: requests, uses and releases slots."""

from collections.abc import Callable, Collection, Iterator
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonford.leases._leases import LeaseGrant, LeaseHolder, LeaseRequest
from wigeonford.policy._slot_types import (
    SlotDemand,
    SlotReply,
    SlotRequest,
    SlotRow,
    TargetOffer,
)

PEAK_WINDOW_S: Final = 1.0
POOL_IDLE_S: Final = 60.0
TOMBSTONE_S: Final = 60.0
FORGET_AFTER_TERMS: Final = 2


class _HeldTarget(msgspec.Struct):
    """Hold one target's lease and how many of its slots are in use."""

    offer: TargetOffer
    lease: LeaseHolder
    in_use: int = 0
    gone: bool = False
    used_at_s: float = 0.0

    def held_slots(self, now_s: float) -> int:
        return max(self.in_use, int(self.lease.amount(now_s)))

    def free_slots(self, now_s: float) -> int:
        if self.gone:
            return 0
        return max(0, int(self.lease.amount(now_s)) - self.in_use)


class _PoolDemand(msgspec.Struct):
    """Track the demand for slots of a pool, current and recent peak."""

    current: int = 0
    peak: int = 0
    earlier_peak: int = 0
    window_start_s: float = float("-inf")
    changed_at_s: float = float("-inf")

    def add(self, count: int, now_s: float) -> None:
        self._roll_window(now_s)
        self.current += count
        assert self.current >= 0, "done() was called more often than want()"
        self.peak = max(self.peak, self.current)
        self.changed_at_s = now_s

    def wanted(self, now_s: float) -> int:
        self._roll_window(now_s)
        return max(1, self.current, self.peak, self.earlier_peak)

    def _roll_window(self, now_s: float) -> None:
        elapsed_s = now_s - self.window_start_s
        if elapsed_s < PEAK_WINDOW_S:
            return
        is_recent = elapsed_s < 2 * PEAK_WINDOW_S
        self.earlier_peak = self.peak if is_recent else 0
        self.peak = self.current
        self.window_start_s = now_s


class SlotHolder:
    """Use leased slots of targets, never more than were granted."""

    def __init__(self, name: str, term_s: float) -> None:
        self._name = name
        self._term_s = term_s
        self._targets: dict[str, _HeldTarget] = {}
        self._demand: dict[str, _PoolDemand] = {}
        self._tombstones: dict[str, tuple[int, float]] = {}

    def add_demand(self, pool: str, now_s: float) -> None:
        """Count a request that needs a slot of a pool."""
        self._demand.setdefault(pool, _PoolDemand()).add(1, now_s)

    def end_demand(self, pool: str, now_s: float) -> None:
        """Count the end of a request that needed a slot."""
        self._demand[pool].add(-1, now_s)

    def acquire(
        self, pool: str, avoid: Collection[str], now_s: float
    ) -> TargetOffer | None:
        """Acquire a slot of the least loaded target; None if none is free."""
        free = (
            target
            for target in self._targets_in_pool(pool)
            if target.offer.target_id not in avoid and target.free_slots(now_s)
        )
        chosen = min(free, key=_load, default=None)
        if chosen is None:
            return None
        chosen.in_use += 1
        return chosen.offer

    def release(self, target_id: str) -> None:
        """Release a slot acquired by `acquire`."""
        target = self._targets[target_id]
        target.in_use -= 1
        assert target.in_use >= 0, "a slot was released more than once"

    def within_lease(self, target_id: str, now_s: float) -> bool:
        """Return whether no more slots are in use than are leased."""
        target = self._targets[target_id]
        return target.in_use <= target.lease.amount(now_s)

    def in_use(self, target_id: str) -> int:
        """Return how many requests of this VM run at a target."""
        target = self._targets.get(target_id)
        return target.in_use if target is not None else 0

    def available(self, pool: str, now_s: float) -> int:
        """Return how many more requests may be sent now."""
        return sum(
            target.free_slots(now_s) for target in self._targets_in_pool(pool)
        )

    def held(self, pool: str, now_s: float) -> int:
        """Return how many slots of a pool are leased or in use by this VM."""
        return sum(
            target.held_slots(now_s) for target in self._targets_in_pool(pool)
        )

    def targets(self, pool: str) -> tuple[str, ...]:
        """Return the ids of a pool's known targets."""
        return tuple(
            target.offer.target_id for target in self._targets_in_pool(pool)
        )

    def pools(self) -> tuple[str, ...]:
        """Return the pools with recent demand."""
        return tuple(self._demand)

    def all_targets(self) -> tuple[str, ...]:
        """Return the ids of all known targets."""
        return tuple(self._targets)

    def remove_target(
        self, target_id: str, sequence: int, now_s: float
    ) -> None:
        """Stop using a target that left.

        `sequence` is its latest announcement; older offers are ignored.
        """
        self._tombstones[target_id] = sequence, now_s
        target = self._targets.get(target_id)
        if target is None:
            return
        target.lease.reduce(0.0)
        target.gone = True

    def is_gone(self, target_id: str) -> bool:
        """Return whether a target left and has not come back."""
        return target_id in self._tombstones

    def next_request(
        self,
        is_owner: Callable[[str], bool],
        avoid: Collection[str],
        now_s: float,
        *,
        recalled: bool = False,
    ) -> SlotRequest:
        """Return the next request to an owner; idle slots are released.

        If slots are recalled, the holder keeps only those for requests that
        run or wait.
        """
        for target_id in avoid:
            target = self._targets.get(target_id)
            if target is not None:
                target.lease.reduce(target.in_use)
        wants = tuple(self._pool_demands(is_owner, now_s, recalled=recalled))
        rows = tuple(
            self._slot_row(target, target_id in avoid, now_s)
            for target_id, target in self._targets.items()
            if is_owner(target_id) and not target.gone
        )
        return SlotRequest(self._name, wants, rows)

    def accept(self, reply: SlotReply, now_s: float) -> bool:
        """Apply an owner's reply; return whether it offers new targets."""
        for grant in reply.grants:
            target = self._targets.get(grant.target_id)
            if target is not None:
                amount = float(grant.amount)
                target.lease.accept(LeaseGrant(grant.number, amount))
        new = [o for o in reply.offers if self._add_offer(o, now_s)]
        return bool(new)

    def _add_offer(self, offer: TargetOffer, now_s: float) -> bool:
        sequence, _ = self._tombstones.get(offer.target_id, (-1, 0.0))
        if offer.sequence <= sequence:
            return False
        target = self._targets.get(offer.target_id)
        if target is not None and not target.gone:
            return False
        self._tombstones.pop(offer.target_id, None)
        lease = LeaseHolder(self._name, self._term_s)
        in_use = target.in_use if target is not None else 0
        self._targets[offer.target_id] = _HeldTarget(
            offer, lease, in_use, used_at_s=now_s
        )
        return True

    def forget_idle(self, now_s: float) -> None:
        """Forget targets without a lease and pools without demand."""
        for target_id, target in list(self._targets.items()):
            if target.held_slots(now_s):
                target.used_at_s = now_s
            elif now_s - target.used_at_s > FORGET_AFTER_TERMS * self._term_s:
                # The owner's record of this lease has expired, so the request
                # numbers may start again.
                del self._targets[target_id]
        for target_id, (_, gone_at_s) in list(self._tombstones.items()):
            if now_s - gone_at_s > TOMBSTONE_S:
                del self._tombstones[target_id]
        for pool, demand in list(self._demand.items()):
            if (
                not demand.current
                and now_s - demand.changed_at_s > POOL_IDLE_S
            ):
                del self._demand[pool]

    def _pool_demands(
        self, is_owner: Callable[[str], bool], now_s: float, *, recalled: bool
    ) -> Iterator[SlotDemand]:
        for pool, demand in self._demand.items():
            held_slots = self.held(pool, now_s)
            kept = demand.current if recalled else demand.wanted(now_s)
            spare = max(0, held_slots - kept)
            owner_targets = [
                target
                for target in self._targets_in_pool(pool)
                if is_owner(target.offer.target_id)
            ]
            _release_free(owner_targets, spare, now_s)
            owner_held = sum(
                target.held_slots(now_s) for target in owner_targets
            )
            needed = owner_held + max(0, demand.current - held_slots)
            wanted = owner_held + max(0, demand.wanted(now_s) - held_slots)
            yield SlotDemand(pool, needed, owner_held if recalled else wanted)

    def _slot_row(
        self, target: _HeldTarget, avoid: bool, now_s: float
    ) -> SlotRow:
        request: LeaseRequest = target.lease.next_request(0.0, now_s)
        request = replace(request, held=target.held_slots(now_s))
        return SlotRow(
            target.offer.target_id, request.number, int(request.held), avoid
        )

    def _targets_in_pool(self, pool: str) -> Iterator[_HeldTarget]:
        for target in self._targets.values():
            if pool in target.offer.pools:
                yield target


def _release_free(
    targets: list[_HeldTarget], surplus: int, now_s: float
) -> None:
    for target in targets:
        spare = min(surplus, target.free_slots(now_s))
        if spare:
            target.lease.reduce(target.held_slots(now_s) - spare)
            surplus -= spare


def _load(target: _HeldTarget) -> tuple[float, str]:
    return target.in_use / target.offer.slots, target.offer.target_id
