"""Owner side of slot leases: grants whole slots of its targets."""

from collections.abc import Iterable, Iterator, Mapping
import math
from typing import Final

import msgspec

from wigeonford.leases._leases import (
    DRIFT_MARGIN,
    LeaseGrantor,
    LeaseRequest,
)
from wigeonford.policy._slot_division import divide_slots, usable_slots
from wigeonford.policy._slot_types import (
    SlotGrant,
    SlotHeld,
    SlotReply,
    SlotRequest,
    SlotRow,
    TargetOffer,
)

SLOT_TERM_S: Final = 3.0


class _GrantRecord(msgspec.Struct, frozen=True):
    """Hold the most slots a holder may use, as of its latest request."""

    amount: int
    number: int
    expires_at_s: float


class _OwnedTarget(msgspec.Struct):
    """Hold an owned target, its lease grantor and the grants by holder.

    From `complete_at_s` on, all grants of earlier owners have expired, so
    `granted` holds every grant in force.
    """

    offer: TargetOffer
    grantor: LeaseGrantor
    cold_since_s: float | None
    complete_at_s: float
    granted: dict[str, _GrantRecord] = msgspec.field(default_factory=dict)

    def granted_slots(self, holder: str) -> int:
        granted = self.granted.get(holder)
        return granted.amount if granted is not None else 0

    def record_grant(self, holder: str, granted: _GrantRecord) -> None:
        """Record a grant, unless one for a later request is known."""
        known = self.granted.get(holder)
        if known is None or granted.number >= known.number:
            self.granted[holder] = granted

    def usable_slots(self, now_s: float) -> int:
        if self.cold_since_s is None:
            return self.offer.slots
        return usable_slots(self.offer.slots, now_s - self.cold_since_s)

    def drop_expired(self, now_s: float) -> None:
        for holder, granted in list(self.granted.items()):
            if granted.expires_at_s <= now_s:
                del self.granted[holder]


class _HolderDemand(msgspec.Struct, frozen=True):
    needed: int
    wanted: int
    expires_at_s: float


class SlotGrantor:
    """Grant leases on the slots of the targets that one entry VM owns.

    `takeover_wait_s` is how long an earlier owner may continue to grant
    slots before it learns that it no longer owns a target.
    """

    def __init__(
        self, term_s: float = SLOT_TERM_S, takeover_wait_s: float = 0.0
    ) -> None:
        self._term_s = term_s
        self._takeover_wait_s = takeover_wait_s
        self._owned: dict[str, _OwnedTarget] = {}
        self._demands: dict[str, dict[str, _HolderDemand]] = {}
        self._freed_pools: set[str] = set()
        self.headroom = 0.0

    def add_target(
        self, offer: TargetOffer, now_s: float, *, is_new: bool
    ) -> None:
        """Start to own a target, or update the offer of an owned one.

        Slots of a target that is not new may have been granted by an earlier
        owner, so new grants wait until those have expired.
        """
        owned = self._owned.get(offer.target_id)
        if owned is not None:
            owned.offer = offer
            if is_new:
                owned.cold_since_s = now_s
            return
        wait_s = 0.0 if is_new else self._takeover_wait_s
        grantor = LeaseGrantor(
            0.0,
            self._term_s,
            now_s + wait_s,
            whole_units=True,
            takes_over=not is_new,
        )
        cold_since_s = now_s if is_new else None
        if not is_new:
            wait_s += self._term_s * (1 + DRIFT_MARGIN)
        self._owned[offer.target_id] = _OwnedTarget(
            offer, grantor, cold_since_s, now_s + wait_s
        )

    def remove_target(self, target_id: str) -> tuple[str, ...]:
        """Stop owning a target; return the holders to notify."""
        owned = self._owned.pop(target_id, None)
        return tuple(owned.granted) if owned is not None else ()

    def release_target(
        self, target_id: str, now_s: float
    ) -> tuple[SlotHeld, ...] | None:
        """Stop owning a target; return the slots that holders may use.

        Return None if the VM doesn't own the target or grants of an earlier
        owner may still be in force.
        """
        owned = self._owned.pop(target_id, None)
        if owned is None or owned.complete_at_s > now_s:
            return None
        owned.drop_expired(now_s)
        return tuple(
            SlotHeld(holder, granted.amount)
            for holder, granted in owned.granted.items()
            if granted.amount
        )

    def adopt_target(
        self, offer: TargetOffer, held: Iterable[SlotHeld], now_s: float
    ) -> None:
        """Start to own a target whose earlier owner reported its grants."""
        amounts = {slots.holder: slots.amount for slots in held}
        known = self._owned.get(offer.target_id)
        if known is not None:
            if known.complete_at_s <= now_s:
                return
            known.drop_expired(now_s)
            for holder, granted in known.granted.items():
                amounts[holder] = max(granted.amount, amounts.get(holder, 0))
        if sum(amounts.values()) > offer.slots:
            # Holders are giving up slots; wait until the leases have expired.
            return
        grantor = LeaseGrantor(
            offer.slots,
            self._term_s,
            now_s,
            whole_units=True,
            takes_over=False,
        )
        owned = _OwnedTarget(offer, grantor, None, now_s)
        for holder, amount in amounts.items():
            grantor.request(LeaseRequest(holder, 0, amount, amount), now_s)
            owned.record_grant(
                holder, _GrantRecord(amount, 0, now_s + self._term_s)
            )
        self._owned[offer.target_id] = owned

    def owned(self) -> tuple[str, ...]:
        """Return the ids of all targets owned."""
        return tuple(self._owned)

    def granted(self, now_s: float) -> int:
        """Return the most slots that all holders together may use."""
        owned = self._owned.values()
        return sum(int(target.grantor.granted(now_s)) for target in owned)

    def grantable_slots(self) -> int:
        """Return how many slots may be granted besides the headroom."""
        slots = sum(target.offer.slots for target in self._owned.values())
        return math.floor(slots * (1 - self.headroom) + 1e-9)

    def request(self, request: SlotRequest, now_s: float) -> SlotReply:
        """Process a holder's request; return its grants and new offers."""
        self._update_capacities(now_s)
        before = {
            w.pool: self._granted_slots(w.pool, request.holder)
            for w in request.wants
        }
        for want in request.wants:
            pool = self._demands.setdefault(want.pool, {})
            pool[request.holder] = _HolderDemand(
                want.needed, want.wanted, now_s + self._term_s
            )
        rows = {
            row.target_id: row
            for row in request.rows
            if row.target_id in self._owned
        }
        assigned: dict[str, int] = {}
        for want in request.wants:
            self._assign_slots(
                request.holder, want.pool, rows, assigned, now_s
            )
        grants = tuple(
            self._grant_slots(request.holder, rows, assigned, now_s)
        )
        self._freed_pools = {
            pool
            for pool, held in before.items()
            if self._granted_slots(pool, request.holder) < held
        }
        offers = tuple(
            target.offer
            for target_id, target in self._owned.items()
            if target_id not in rows
            and any(want.pool in target.offer.pools for want in request.wants)
        )
        return SlotReply(grants, offers)

    def holders_to_recall(
        self, request: SlotRequest, now_s: float
    ) -> set[str]:
        """Return the holders to recall slots from for this requester.

        These are the holders above their proportional number of slots in the
        pools where the requester has fewer slots than it needs.
        """
        return {
            holder
            for want in request.wants
            if self._granted_slots(want.pool, request.holder) < want.needed
            for holder, entitled in self._divide_pool(want.pool, now_s).items()
            if holder != request.holder
            and self._granted_slots(want.pool, holder) > entitled
        }

    def holders_to_notify(self, request: SlotRequest) -> set[str]:
        """Return the holders that lack slots of pools just freed.

        `request` is the request that was processed last.
        """
        return {
            holder
            for want in request.wants
            if want.pool in self._freed_pools
            for holder, demand in self._demands[want.pool].items()
            if holder != request.holder
            and self._granted_slots(want.pool, holder) < demand.needed
        }

    def _update_capacities(self, now_s: float) -> None:
        """Set each target's capacity by its warm-up and the headroom."""
        for target in self._owned.values():
            target.drop_expired(now_s)
        grantable = self.grantable_slots()
        reserved = (
            sum(target.offer.slots for target in self._owned.values())
            - grantable
        )
        ordered = sorted(
            self._owned.values(),
            key=lambda target: (-target.offer.slots, target.offer.target_id),
        )
        for index, target in enumerate(ordered):
            reduction = reserved // len(ordered) + (
                index < reserved % len(ordered)
            )
            capacity = max(0, target.offer.slots - reduction)
            target.grantor.capacity = min(capacity, target.usable_slots(now_s))

    def _divide_pool(self, pool: str, now_s: float) -> dict[str, int]:
        """Return each holder's proportional number of slots of a pool."""
        demands = self._demands.get(pool, {})
        for holder in [
            h for h, d in demands.items() if d.expires_at_s <= now_s
        ]:
            del demands[holder]
        capacity = sum(
            int(target.grantor.capacity)
            for target in self._targets_in_pool(pool)
        )
        return divide_slots(
            capacity,
            {holder: demand.wanted for holder, demand in demands.items()},
        )

    def _targets_in_pool(self, pool: str) -> Iterator[_OwnedTarget]:
        for target in self._owned.values():
            if pool in target.offer.pools:
                yield target

    def _granted_slots(self, pool: str, holder: str) -> int:
        return sum(
            target.granted_slots(holder)
            for target in self._targets_in_pool(pool)
        )

    def _assign_slots(
        self,
        holder: str,
        pool: str,
        rows: Mapping[str, SlotRow],
        assigned: dict[str, int],
        now_s: float,
    ) -> None:
        """Assign a holder's slots: those it holds first, then free ones."""
        remaining = self._divide_pool(pool, now_s).get(holder, 0)
        usable = [
            target
            for target in self._targets_in_pool(pool)
            if target.offer.target_id in rows
            and not rows[target.offer.target_id].avoid
        ]
        for target in usable:
            target_id = target.offer.target_id
            kept = min(
                rows[target_id].held, remaining, int(target.grantor.capacity)
            )
            assigned[target_id] = assigned.get(target_id, 0) + kept
            remaining -= kept
        free = {
            target.offer.target_id: int(
                target.grantor.capacity - target.grantor.granted(now_s)
            )
            for target in usable
        }
        while remaining > 0 and free:
            target_id = max(free, key=lambda known: (free[known], known))
            if free[target_id] <= 0:
                return
            assigned[target_id] += 1
            free[target_id] -= 1
            remaining -= 1

    def _grant_slots(
        self,
        holder: str,
        rows: Mapping[str, SlotRow],
        assigned: Mapping[str, int],
        now_s: float,
    ) -> Iterator[SlotGrant]:
        for target_id, row in rows.items():
            target = self._owned[target_id]
            request = LeaseRequest(
                holder, row.number, row.held, assigned.get(target_id, 0)
            )
            grant = target.grantor.request(request, now_s)
            amount = int(grant.amount)
            upper_bound = max(amount, row.held)
            granted = _GrantRecord(
                upper_bound, row.number, now_s + self._term_s
            )
            target.record_grant(holder, granted)
            yield SlotGrant(target_id, grant.number, amount)
