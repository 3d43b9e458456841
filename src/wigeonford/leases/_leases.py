"""Leased shares of one divisible budget, never more than its capacity.

A grantor divides a budget among holders. A holder counts its lease from
when it sent the request and the grantor from when it granted, so the
holder's always ends first. A holder reports what it holds with each
request and takes only the reply to its latest one; so a request confirms a
decrease, and only then does the grantor give the difference to another.
"""

from collections.abc import Mapping
from typing import Final

import msgspec

DRIFT_MARGIN: Final = 0.05
"""The part of a term by which two clocks may drift apart."""


class LeaseRequest(msgspec.Struct, frozen=True):
    """Ask for units of a budget; `held` is what the holder has now.

    `holder` names one run of a process, since numbers start anew with it.
    """

    holder: str
    number: int
    held: float
    wanted: float


class LeaseGrant(msgspec.Struct, frozen=True):
    """Answer the request `number`; it replaces what the holder has."""

    number: int
    amount: float


class LeaseRecord(msgspec.Struct, frozen=True):
    """Hold the most that a holder may have, and what it last wanted."""

    amount: float
    wanted: float
    expires_at_s: float
    number: int


class LeaseGrantor:
    """Grant shares of a budget; `whole` grants whole units only.

    A grantor that takes over from another can't know what that one has
    granted. For one term it renews what holders report, and grants anew
    only what they give back. With `surplus`, what nobody wants is granted
    too, in proportion to the wants, so that demand may rise between two
    requests.
    """

    def __init__(
        self,
        capacity: float,
        term_s: float,
        now_s: float,
        *,
        whole: bool = False,
        takes_over: bool = True,
        surplus: bool = False,
    ) -> None:
        self.capacity = capacity
        self._term_s = term_s
        self._whole = whole
        self._surplus = surplus
        self._adopted = 0.0
        self._records: dict[str, LeaseRecord] = {}
        wait_s = term_s * (1 + DRIFT_MARGIN) if takes_over else 0.0
        self._waits_until_s = now_s + wait_s

    def granted(self, now_s: float) -> float:
        """Return the most that all holders together may have."""
        return sum(record.amount for record in self._live(now_s).values())

    def record_of(self, holder: str, now_s: float) -> LeaseRecord | None:
        """Return what a holder may have, unless its lease has run out."""
        record = self._records.get(holder)
        if record is None or record.expires_at_s <= now_s:
            return None
        return record

    def knows_all(self, now_s: float) -> bool:
        """Tell whether no grant of a predecessor can be in force."""
        return now_s >= self._waits_until_s

    def know_all(self, now_s: float) -> None:
        """Take note that every holder of a predecessor has reported."""
        self._waits_until_s = min(self._waits_until_s, now_s)

    def wanted(self, now_s: float) -> float:
        """Return what all holders together have asked for."""
        return sum(record.wanted for record in self._live(now_s).values())

    def request(
        self, request: LeaseRequest, now_s: float, *, reserved: float = 0.0
    ) -> LeaseGrant:
        """Return what the holder may have from now on.

        Of the free units, `reserved` ones are not granted to anybody.
        """
        live = self._live(now_s)
        known = live.get(request.holder)
        if known is not None and request.number < known.number:
            return LeaseGrant(request.number, 0.0)
        held = self._confirmed(request, known, now_s)
        others = {
            holder: record
            for holder, record in live.items()
            if holder != request.holder
        }
        amount = self._amount(request.wanted, others, now_s, reserved)
        self._records = others
        self._records[request.holder] = LeaseRecord(
            max(held, amount),
            request.wanted,
            now_s + self._term_s,
            request.number,
        )
        return LeaseGrant(request.number, amount)

    def release(self, holder: str, number: int) -> None:
        """Forget a holder that has confirmed to hold nothing."""
        known = self._records.get(holder)
        if known is not None and number >= known.number:
            del self._records[holder]

    def _live(self, now_s: float) -> dict[str, LeaseRecord]:
        return {
            holder: record
            for holder, record in self._records.items()
            if record.expires_at_s > now_s
        }

    def _confirmed(
        self, request: LeaseRequest, known: LeaseRecord | None, now_s: float
    ) -> float:
        """Return what a holder has; a claim to more than granted is cut."""
        if known is not None:
            return min(request.held, known.amount)
        if now_s < self._waits_until_s:
            self._adopted += request.held
            return request.held
        return 0.0

    def _amount(
        self,
        wanted: float,
        others: Mapping[str, LeaseRecord],
        now_s: float,
        reserved: float,
    ) -> float:
        used = sum(record.amount for record in others.values())
        capacity = self.capacity
        if now_s < self._waits_until_s:
            capacity = min(capacity, self._adopted)
        free = max(0.0, capacity - used - reserved)
        wants = [record.wanted for record in others.values()]
        if self._surplus and 0 < wanted + sum(wants) < capacity:
            fair = capacity * wanted / (wanted + sum(wants))
        else:
            fair = min(wanted, fair_part(capacity, wanted, wants))
        amount = min(fair, free)
        return float(int(amount)) if self._whole else amount


def fair_part(capacity: float, wanted: float, others: list[float]) -> float:
    """Return one holder's max-min fair part of a capacity."""
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
    """Hold a share of one budget and stop using it in time."""

    def __init__(self, name: str, term_s: float) -> None:
        self._name = name
        self._term_s = term_s
        self._amount = 0.0
        self._expires_at_s = float("-inf")
        self._number = 0
        self._answered = True
        self._sent_at_s = float("-inf")

    def amount(self, now_s: float) -> float:
        """Return what may be used now; 0 once the lease has run out."""
        return self._amount if now_s < self._expires_at_s else 0.0

    @property
    def expires_at_s(self) -> float:
        """Return when the lease runs out, by this holder's clock."""
        return self._expires_at_s

    def ask(self, wanted: float, now_s: float) -> LeaseRequest:
        """Return the next request; replies to earlier ones are void."""
        self._number += 1
        self._answered = False
        self._sent_at_s = now_s
        return LeaseRequest(
            self._name, self._number, self.amount(now_s), wanted
        )

    def accept(self, grant: LeaseGrant) -> bool:
        """Take the reply to the latest request; tell whether it was."""
        if grant.number != self._number or self._answered:
            return False
        self._answered = True
        self._amount = grant.amount
        usable_s = self._term_s * (1 - DRIFT_MARGIN)
        self._expires_at_s = self._sent_at_s + usable_s
        return True

    def reduce(self, amount: float) -> None:
        """Give up what lies above `amount`, before it is asked for."""
        self._amount = min(self._amount, amount)
