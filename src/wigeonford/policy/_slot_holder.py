"""The holder's side of slots: use, ask for and hand back slots."""

from collections.abc import Callable, Collection, Iterator
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonford.leases._leases import LeaseGrant, LeaseHolder, LeaseRequest
from wigeonford.policy._slot_types import (
    SlotAnswer,
    SlotAsk,
    SlotRow,
    SlotWant,
    TargetOffer,
)

PEAK_WINDOW_S: Final = 1.0
POOL_IDLE_S: Final = 60.0
GONE_S: Final = 60.0
FORGET_TERMS: Final = 2


class _Held(msgspec.Struct):
    """Hold one target's lease and how much of it is in use."""

    offer: TargetOffer
    lease: LeaseHolder
    in_use: int = 0
    gone: bool = False
    used_at_s: float = 0.0

    def held(self, now_s: float) -> int:
        return max(self.in_use, int(self.lease.amount(now_s)))

    def free(self, now_s: float) -> int:
        if self.gone:
            return 0
        return max(0, int(self.lease.amount(now_s)) - self.in_use)


class _Demand(msgspec.Struct):
    """Follow how many slots of a pool are wanted, now and at most."""

    current: int = 0
    peak: int = 0
    earlier_peak: int = 0
    window_at_s: float = float("-inf")
    seen_at_s: float = float("-inf")

    def add(self, count: int, now_s: float) -> None:
        self._roll(now_s)
        self.current += count
        assert self.current >= 0, "demand ends once"
        self.peak = max(self.peak, self.current)
        self.seen_at_s = now_s

    def wanted(self, now_s: float) -> int:
        self._roll(now_s)
        return max(1, self.current, self.peak, self.earlier_peak)

    def _roll(self, now_s: float) -> None:
        elapsed_s = now_s - self.window_at_s
        if elapsed_s < PEAK_WINDOW_S:
            return
        recent = elapsed_s < 2 * PEAK_WINDOW_S
        self.earlier_peak = self.peak if recent else 0
        self.peak = self.current
        self.window_at_s = now_s


class SlotHolder:
    """Hold leased slots of targets; never use more than were granted."""

    def __init__(self, name: str, term_s: float) -> None:
        self._name = name
        self._term_s = term_s
        self._targets: dict[str, _Held] = {}
        self._demand: dict[str, _Demand] = {}
        self._gone: dict[str, tuple[int, float]] = {}

    def want(self, pool: str, now_s: float) -> None:
        """Count a request that needs a slot of a pool."""
        self._demand.setdefault(pool, _Demand()).add(1, now_s)

    def done(self, pool: str, now_s: float) -> None:
        """Count a request that needs its slot no more."""
        self._demand[pool].add(-1, now_s)

    def take(
        self, pool: str, avoid: Collection[str], now_s: float
    ) -> TargetOffer | None:
        """Use a slot of the least loaded target; None where none is free."""
        free = (
            held
            for held in self._in_pool(pool)
            if held.offer.target_id not in avoid and held.free(now_s)
        )
        chosen = min(free, key=_load, default=None)
        if chosen is None:
            return None
        chosen.in_use += 1
        return chosen.offer

    def give_back(self, target_id: str) -> None:
        """Use a slot no more."""
        held = self._targets[target_id]
        held.in_use -= 1
        assert held.in_use >= 0, "a slot is given back once"

    def within_lease(self, target_id: str, now_s: float) -> bool:
        """Tell whether no more slots are in use than are leased."""
        held = self._targets[target_id]
        return held.in_use <= held.lease.amount(now_s)

    def in_use(self, target_id: str) -> int:
        """Return how many requests run at a target from here."""
        held = self._targets.get(target_id)
        return held.in_use if held is not None else 0

    def available(self, pool: str, now_s: float) -> int:
        """Return how many more requests may go out now."""
        return sum(held.free(now_s) for held in self._in_pool(pool))

    def held(self, pool: str, now_s: float) -> int:
        """Return how many slots of a pool are leased here or in use."""
        return sum(held.held(now_s) for held in self._in_pool(pool))

    def targets(self, pool: str) -> tuple[str, ...]:
        """Return the ids of the targets known of a pool."""
        return tuple(held.offer.target_id for held in self._in_pool(pool))

    def pools(self) -> tuple[str, ...]:
        """Return the pools that requests have needed of late."""
        return tuple(self._demand)

    def all_targets(self) -> tuple[str, ...]:
        """Return the ids of every target known."""
        return tuple(self._targets)

    def drop(self, target_id: str, sequence: int, now_s: float) -> None:
        """Send nothing more to a target that leaves."""
        self._gone[target_id] = sequence, now_s
        held = self._targets.get(target_id)
        if held is None:
            return
        held.lease.reduce(0.0)
        held.gone = True

    def is_gone(self, target_id: str) -> bool:
        """Tell whether a target left and has not come back."""
        return target_id in self._gone

    def ask(
        self,
        is_owner: Callable[[str], bool],
        avoid: Collection[str],
        now_s: float,
        *,
        recalled: bool = False,
    ) -> SlotAsk:
        """Return the next message to an owner; idle slots are given up.

        A holder whose slots are recalled keeps those in use or waited for.
        """
        for target_id in avoid:
            held = self._targets.get(target_id)
            if held is not None:
                held.lease.reduce(held.in_use)
        wants = tuple(self._wants(is_owner, now_s, recalled=recalled))
        rows = tuple(
            self._row(held, target_id in avoid, now_s)
            for target_id, held in self._targets.items()
            if is_owner(target_id) and not held.gone
        )
        return SlotAsk(self._name, wants, rows)

    def accept(self, answer: SlotAnswer, now_s: float) -> bool:
        """Take an owner's answer; tell whether it offers new targets."""
        for grant in answer.grants:
            held = self._targets.get(grant.target_id)
            if held is not None:
                amount = float(grant.amount)
                held.lease.accept(LeaseGrant(grant.number, amount))
        new = [o for o in answer.offers if self._know(o, now_s)]
        return bool(new)

    def _know(self, offer: TargetOffer, now_s: float) -> bool:
        sequence, _ = self._gone.get(offer.target_id, (-1, 0.0))
        if offer.sequence <= sequence:
            return False
        held = self._targets.get(offer.target_id)
        if held is not None and not held.gone:
            return False
        self._gone.pop(offer.target_id, None)
        lease = LeaseHolder(self._name, self._term_s)
        in_use = held.in_use if held is not None else 0
        self._targets[offer.target_id] = _Held(
            offer, lease, in_use, used_at_s=now_s
        )
        return True

    def forget_idle(self, now_s: float) -> None:
        """Forget targets without a lease and pools without demand."""
        for target_id, held in list(self._targets.items()):
            if held.held(now_s):
                held.used_at_s = now_s
            elif now_s - held.used_at_s > FORGET_TERMS * self._term_s:
                # By now its owner has forgotten the numbers of our lease.
                del self._targets[target_id]
        for target_id, (_, gone_at_s) in list(self._gone.items()):
            if now_s - gone_at_s > GONE_S:
                del self._gone[target_id]
        for pool, demand in list(self._demand.items()):
            if not demand.current and now_s - demand.seen_at_s > POOL_IDLE_S:
                del self._demand[pool]

    def _wants(
        self, is_owner: Callable[[str], bool], now_s: float, *, recalled: bool
    ) -> Iterator[SlotWant]:
        for pool, demand in self._demand.items():
            held_slots = self.held(pool, now_s)
            kept = demand.current if recalled else demand.wanted(now_s)
            spare = max(0, held_slots - kept)
            owned = [
                held
                for held in self._in_pool(pool)
                if is_owner(held.offer.target_id)
            ]
            _reduce(owned, spare, now_s)
            here = sum(held.held(now_s) for held in owned)
            needed = here + max(0, demand.current - held_slots)
            wanted = here + max(0, demand.wanted(now_s) - held_slots)
            yield SlotWant(pool, needed, here if recalled else wanted)

    def _row(self, held: _Held, avoid: bool, now_s: float) -> SlotRow:
        request: LeaseRequest = held.lease.ask(0.0, now_s)
        request = replace(request, held=held.held(now_s))
        return SlotRow(
            held.offer.target_id, request.number, int(request.held), avoid
        )

    def _in_pool(self, pool: str) -> Iterator[_Held]:
        for held in self._targets.values():
            if pool in held.offer.pools:
                yield held


def _reduce(targets: list[_Held], surplus: int, now_s: float) -> None:
    for held in targets:
        spare = min(surplus, held.free(now_s))
        if spare:
            held.lease.reduce(held.held(now_s) - spare)
            surplus -= spare


def _load(held: _Held) -> tuple[float, str]:
    return held.in_use / held.offer.slots, held.offer.target_id
