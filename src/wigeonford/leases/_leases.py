"""Leases on one divisible budget, never more than its capacity.

A grantor divides a budget among holders. A holder's lease term begins when
it sends the request, and the grantor's record of the lease begins when it
grants the request, so the lease always ends at the holder first. Each request
reports the amount held, and a holder applies only the reply to its latest
request. So a request confirms a decrease, and only then does the grantor
grant the difference to another holder.
"""

from collections.abc import Mapping
from typing import Final

import msgspec

DRIFT_MARGIN: Final = 0.05
"""Fraction of a term by which two clocks may drift apart."""


class LeaseRequest(msgspec.Struct, frozen=True):
    """Request units of a budget; `held` is the amount leased now.

    `holder` identifies one incarnation of a process, because each incarnation
    numbers its requests from the start.
    """

    holder: str
    number: int
    held: float
    wanted: float


class LeaseGrant(msgspec.Struct, frozen=True):
    """Grant the request `number`; replace the amount leased before."""

    number: int
    amount: float


class LeaseRecord(msgspec.Struct, frozen=True):
    """Hold the most that a holder may use and what it last requested."""

    amount: float
    wanted: float
    expires_at_s: float
    number: int


class LeaseGrantor:
    """Lease amounts of a budget, with `whole_units` in whole units only.

    A grantor that takes over from another one doesn't know the grants of its
    predecessor. For one term it renews the amounts that holders report, and
    grants only units that they give up. With `surplus`, the units that no
    holder wants are granted too, in proportion to the requested amounts, so
    that demand may rise between two requests.
    """

    def __init__(
        self,
        capacity: float,
        term_s: float,
        now_s: float,
        *,
        whole_units: bool = False,
        takes_over: bool = True,
        surplus: bool = False,
    ) -> None:
        self.capacity = capacity
        self._term_s = term_s
        self._whole_units = whole_units
        self._surplus = surplus
        self._reported_units = 0.0
        self._records: dict[str, LeaseRecord] = {}
        wait_s = term_s * (1 + DRIFT_MARGIN) if takes_over else 0.0
        self._takeover_until_s = now_s + wait_s

    def granted(self, now_s: float) -> float:
        """Return the most that all holders together may use."""
        return sum(
            record.amount for record in self._live_records(now_s).values()
        )

    def record_of(self, holder: str, now_s: float) -> LeaseRecord | None:
        """Return a holder's record, unless its lease has expired."""
        record = self._records.get(holder)
        if record is None or record.expires_at_s <= now_s:
            return None
        return record

    def knows_all_grants(self, now_s: float) -> bool:
        """Return whether all grants of a predecessor are known or expired."""
        return now_s >= self._takeover_until_s

    def end_takeover(self, now_s: float) -> None:
        """Record that all holders of a predecessor's grants have reported."""
        self._takeover_until_s = min(self._takeover_until_s, now_s)

    def wanted(self, now_s: float) -> float:
        """Return the total amount that holders have requested."""
        return sum(
            record.wanted for record in self._live_records(now_s).values()
        )

    def request(
        self, request: LeaseRequest, now_s: float, *, reserved: float = 0.0
    ) -> LeaseGrant:
        """Process a request and return its grant.

        Of the free units, `reserved` ones are not granted to any holder.
        """
        live = self._live_records(now_s)
        known = live.get(request.holder)
        if known is not None and request.number < known.number:
            return LeaseGrant(request.number, 0.0)
        held = self._confirmed_amount(request, known, now_s)
        others = {
            holder: record
            for holder, record in live.items()
            if holder != request.holder
        }
        amount = self._amount_to_grant(request.wanted, others, now_s, reserved)
        self._records = others
        self._records[request.holder] = LeaseRecord(
            max(held, amount),
            request.wanted,
            now_s + self._term_s,
            request.number,
        )
        return LeaseGrant(request.number, amount)

    def release(self, holder: str, number: int) -> None:
        """Remove a holder that holds nothing as of the request `number`."""
        known = self._records.get(holder)
        if known is not None and number >= known.number:
            del self._records[holder]

    def _live_records(self, now_s: float) -> dict[str, LeaseRecord]:
        return {
            holder: record
            for holder, record in self._records.items()
            if record.expires_at_s > now_s
        }

    def _confirmed_amount(
        self, request: LeaseRequest, known: LeaseRecord | None, now_s: float
    ) -> float:
        """Return the amount a holder reports, at most what was granted."""
        if known is not None:
            return min(request.held, known.amount)
        if now_s < self._takeover_until_s:
            self._reported_units += request.held
            return request.held
        return 0.0

    def _amount_to_grant(
        self,
        wanted: float,
        others: Mapping[str, LeaseRecord],
        now_s: float,
        reserved: float,
    ) -> float:
        used = sum(record.amount for record in others.values())
        capacity = self.capacity
        if now_s < self._takeover_until_s:
            capacity = min(capacity, self._reported_units)
        free = max(0.0, capacity - used - reserved)
        wants = [record.wanted for record in others.values()]
        if self._surplus and 0 < wanted + sum(wants) < capacity:
            fair = capacity * wanted / (wanted + sum(wants))
        else:
            fair = min(wanted, max_min_fair_amount(capacity, wanted, wants))
        amount = min(fair, free)
        return float(int(amount)) if self._whole_units else amount


def max_min_fair_amount(
    capacity: float, wanted: float, others: list[float]
) -> float:
    """Return one holder's max-min fair amount of a capacity."""
    left = capacity
    wants = sorted([wanted, *others])
    for index, want in enumerate(wants):
        level = left / (len(wants) - index)
        if want >= level:
            return min(wanted, level)
        left -= want
        if want == wanted:
            return wanted
    return wanted


class LeaseHolder:
    """Hold a lease on one budget that ends before its grantor's record."""

    def __init__(self, name: str, term_s: float) -> None:
        self._name = name
        self._term_s = term_s
        self._amount = 0.0
        self._expires_at_s = float("-inf")
        self._number = 0
        self._is_answered = True
        self._sent_at_s = float("-inf")

    def amount(self, now_s: float) -> float:
        """Return what may be used now; 0 once the lease has expired."""
        return self._amount if now_s < self._expires_at_s else 0.0

    @property
    def expires_at_s(self) -> float:
        """Return when the lease expires, by this holder's clock."""
        return self._expires_at_s

    def next_request(self, wanted: float, now_s: float) -> LeaseRequest:
        """Return the next request; replies to earlier ones are ignored."""
        self._number += 1
        self._is_answered = False
        self._sent_at_s = now_s
        return LeaseRequest(
            self._name, self._number, self.amount(now_s), wanted
        )

    def accept(self, grant: LeaseGrant) -> bool:
        """Apply the reply to the latest request; return False for others."""
        if grant.number != self._number or self._is_answered:
            return False
        self._is_answered = True
        self._amount = grant.amount
        usable_s = self._term_s * (1 - DRIFT_MARGIN)
        self._expires_at_s = self._sent_at_s + usable_s
        return True

    def reduce(self, amount: float) -> None:
        """Give up what exceeds `amount`; the next request reports it."""
        self._amount = min(self._amount, amount)
