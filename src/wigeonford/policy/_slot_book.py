"""The owner's side of slots: grant whole slots of its targets."""

from collections.abc import Iterable, Iterator, Mapping
import math
from typing import Final

import msgspec

from wigeonford.leases._leases import (
    DRIFT_MARGIN,
    LeaseGrantor,
    LeaseRequest,
)
from wigeonford.policy._slot_parts import divide_slots, warm_slots
from wigeonford.policy._slot_types import (
    SlotAnswer,
    SlotAsk,
    SlotGrant,
    SlotHeld,
    SlotRow,
    TargetOffer,
)

SLOT_TERM_S: Final = 3.0


class _Granted(msgspec.Struct, frozen=True):
    """Hold the most that a holder may have, from its latest request."""

    amount: int
    number: int
    expires_at_s: float


class _Owned(msgspec.Struct):
    """Hold a target, its grantor and what each holder was granted."""

    offer: TargetOffer
    grantor: LeaseGrantor
    cold_since_s: float | None
    settled_at_s: float
    granted: dict[str, _Granted] = msgspec.field(default_factory=dict)

    def amount(self, holder: str) -> int:
        granted = self.granted.get(holder)
        return granted.amount if granted is not None else 0

    def note(self, holder: str, granted: _Granted) -> None:
        """Record a grant, unless its request was overtaken by another."""
        known = self.granted.get(holder)
        if known is None or granted.number >= known.number:
            self.granted[holder] = granted

    def warm_slots(self, now_s: float) -> int:
        if self.cold_since_s is None:
            return self.offer.slots
        return warm_slots(self.offer.slots, now_s - self.cold_since_s)

    def expire(self, now_s: float) -> None:
        for holder, granted in list(self.granted.items()):
            if granted.expires_at_s <= now_s:
                del self.granted[holder]


class _Want(msgspec.Struct, frozen=True):
    needed: int
    wanted: int
    expires_at_s: float


class SlotBook:
    """Grant the slots of the targets that one entry VM owns.

    `takeover_wait_s` is how long an earlier owner may go on granting
    before it learns that it no longer owns a target.
    """

    def __init__(
        self, term_s: float = SLOT_TERM_S, takeover_wait_s: float = 0.0
    ) -> None:
        self._term_s = term_s
        self._takeover_wait_s = takeover_wait_s
        self._owned: dict[str, _Owned] = {}
        self._wants: dict[str, dict[str, _Want]] = {}
        self._freed: set[str] = set()
        self.headroom = 0.0

    def put(self, offer: TargetOffer, now_s: float, *, is_new: bool) -> None:
        """Own a target; one that is not new may have grants already."""
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
            whole=True,
            takes_over=not is_new,
        )
        cold_since_s = now_s if is_new else None
        if not is_new:
            wait_s += self._term_s * (1 + DRIFT_MARGIN)
        self._owned[offer.target_id] = _Owned(
            offer, grantor, cold_since_s, now_s + wait_s
        )

    def remove(self, target_id: str) -> tuple[str, ...]:
        """Own a target no more; return the holders to tell."""
        owned = self._owned.pop(target_id, None)
        return tuple(owned.granted) if owned is not None else ()

    def hand_over(
        self, target_id: str, now_s: float
    ) -> tuple[SlotHeld, ...] | None:
        """Own a target no more; return all that holders may have of it.

        Return None where an earlier owner's grants are not known either.
        """
        owned = self._owned.pop(target_id, None)
        if owned is None or owned.settled_at_s > now_s:
            return None
        owned.expire(now_s)
        return tuple(
            SlotHeld(holder, granted.amount)
            for holder, granted in owned.granted.items()
            if granted.amount
        )

    def take_over(
        self, offer: TargetOffer, held: Iterable[SlotHeld], now_s: float
    ) -> None:
        """Own a target whose earlier owner told what it has granted."""
        amounts = {item.holder: item.amount for item in held}
        known = self._owned.get(offer.target_id)
        if known is not None:
            if known.settled_at_s <= now_s:
                return
            known.expire(now_s)
            for holder, granted in known.granted.items():
                amounts[holder] = max(granted.amount, amounts.get(holder, 0))
        if sum(amounts.values()) > offer.slots:
            # What is held is being reduced; wait until leases have run out.
            return
        grantor = LeaseGrantor(
            offer.slots, self._term_s, now_s, whole=True, takes_over=False
        )
        owned = _Owned(offer, grantor, None, now_s)
        for holder, amount in amounts.items():
            grantor.request(LeaseRequest(holder, 0, amount, amount), now_s)
            owned.note(holder, _Granted(amount, 0, now_s + self._term_s))
        self._owned[offer.target_id] = owned

    def owned(self) -> tuple[str, ...]:
        """Return the ids of all targets owned."""
        return tuple(self._owned)

    def granted(self, now_s: float) -> int:
        """Return the most slots that all holders together may use."""
        owned = self._owned.values()
        return sum(int(item.grantor.granted(now_s)) for item in owned)

    def bound(self) -> int:
        """Return the slots that the region's headroom leaves."""
        slots = sum(item.offer.slots for item in self._owned.values())
        return math.floor(slots * (1 - self.headroom) + 1e-9)

    def ask(self, ask: SlotAsk, now_s: float) -> SlotAnswer:
        """Return what a holder may use from now on, and what there is."""
        self._size(now_s)
        before = {w.pool: self._held(w.pool, ask.holder) for w in ask.wants}
        for want in ask.wants:
            pool = self._wants.setdefault(want.pool, {})
            pool[ask.holder] = _Want(
                want.needed, want.wanted, now_s + self._term_s
            )
        rows = {
            row.target_id: row
            for row in ask.rows
            if row.target_id in self._owned
        }
        placed: dict[str, int] = {}
        for want in ask.wants:
            self._place(ask.holder, want.pool, rows, placed, now_s)
        grants = tuple(self._grants(ask.holder, rows, placed, now_s))
        self._freed = {
            pool
            for pool, held in before.items()
            if self._held(pool, ask.holder) < held
        }
        offers = tuple(
            item.offer
            for target_id, item in self._owned.items()
            if target_id not in rows
            and any(want.pool in item.offer.pools for want in ask.wants)
        )
        return SlotAnswer(grants, offers)

    def over_part(self, ask: SlotAsk, now_s: float) -> set[str]:
        """Return holders to recall slots from, where the asker is short."""
        return {
            holder
            for want in ask.wants
            if self._held(want.pool, ask.holder) < want.needed
            for holder, part in self._parts(want.pool, now_s).items()
            if holder != ask.holder and self._held(want.pool, holder) > part
        }

    def under_part(self, ask: SlotAsk) -> set[str]:
        """Return holders to whom slots are due that the ask just freed."""
        return {
            holder
            for want in ask.wants
            if want.pool in self._freed
            for holder, held in self._wants[want.pool].items()
            if holder != ask.holder
            and self._held(want.pool, holder) < held.needed
        }

    def _size(self, now_s: float) -> None:
        """Set each target's capacity by its warm-up and the headroom."""
        for item in self._owned.values():
            item.expire(now_s)
        left = self.bound()
        taken = sum(item.offer.slots for item in self._owned.values()) - left
        ordered = sorted(
            self._owned.values(),
            key=lambda item: (-item.offer.slots, item.offer.target_id),
        )
        for index, item in enumerate(ordered):
            fewer = taken // len(ordered) + (index < taken % len(ordered))
            capacity = max(0, item.offer.slots - fewer)
            item.grantor.capacity = min(capacity, item.warm_slots(now_s))

    def _parts(self, pool: str, now_s: float) -> dict[str, int]:
        wants = self._wants.get(pool, {})
        for holder in [h for h, w in wants.items() if w.expires_at_s <= now_s]:
            del wants[holder]
        capacity = sum(
            int(item.grantor.capacity) for item in self._in_pool(pool)
        )
        return divide_slots(
            capacity, {holder: want.wanted for holder, want in wants.items()}
        )

    def _in_pool(self, pool: str) -> Iterator[_Owned]:
        for item in self._owned.values():
            if pool in item.offer.pools:
                yield item

    def _held(self, pool: str, holder: str) -> int:
        return sum(item.amount(holder) for item in self._in_pool(pool))

    def _place(
        self,
        holder: str,
        pool: str,
        rows: Mapping[str, SlotRow],
        placed: dict[str, int],
        now_s: float,
    ) -> None:
        """Spread a holder's part over targets: what it holds, then free."""
        left = self._parts(pool, now_s).get(holder, 0)
        listed = [
            item
            for item in self._in_pool(pool)
            if item.offer.target_id in rows
            and not rows[item.offer.target_id].avoid
        ]
        for item in listed:
            target_id = item.offer.target_id
            kept = min(rows[target_id].held, left, int(item.grantor.capacity))
            placed[target_id] = placed.get(target_id, 0) + kept
            left -= kept
        free = {
            item.offer.target_id: int(
                item.grantor.capacity - item.grantor.granted(now_s)
            )
            for item in listed
        }
        while left > 0 and free:
            target_id = max(free, key=lambda known: (free[known], known))
            if free[target_id] <= 0:
                return
            placed[target_id] += 1
            free[target_id] -= 1
            left -= 1

    def _grants(
        self,
        holder: str,
        rows: Mapping[str, SlotRow],
        placed: Mapping[str, int],
        now_s: float,
    ) -> Iterator[SlotGrant]:
        for target_id, row in rows.items():
            item = self._owned[target_id]
            request = LeaseRequest(
                holder, row.number, row.held, placed.get(target_id, 0)
            )
            grant = item.grantor.request(request, now_s)
            amount = int(grant.amount)
            most = max(amount, row.held)
            granted = _Granted(most, row.number, now_s + self._term_s)
            item.note(holder, granted)
            yield SlotGrant(target_id, grant.number, amount)
