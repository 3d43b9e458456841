"""Client accounts' rates: each entry VM spends its leased part."""

from collections.abc import Iterator, Mapping
import math
from typing import Final

import msgspec

from wigeonford.deployment import Account
from wigeonford.leases import Demand, LeaseGrant, LeaseHolder
from wigeonford.messages.steering import PartGrant, PartRequest

LEASE_S: Final = 20.0
"""The grantor's term."""
DEMAND_MARGIN: Final = 1.6
"""How much more than the demand of late is asked for, since it grows
faster than parts move."""
LEAST_WANTED_PER_S: Final = 2.0
"""What an entry VM without demand keeps ready, at most."""
LEAST_WANTED_PART: Final = 0.3
"""The same as a part of an even share, for accounts with low rates."""
LEAST_PART_PER_S: Final = 1.0
"""Below this demand a VM leases nothing and borrows: two requests within
the memory of the demand."""
UNLEASED_PART: Final = 0.2
"""Part of a rate that entry VMs out of touch with a leader share; the rules
let a fleet run over by more."""
BURST_RESERVE: Final = 1.0
"""Least tokens of a full bucket while nothing can be borrowed."""
LEADER_GAP_S: Final = 3.0
"""How long control may be without a leader before callers are refused at
once; an election takes up to 1.7 s, and hearing of it a second."""
SLACK_USED: Final = 0.8
"""Part of the fleet's slack that the entry VMs add to their bursts."""


class _Meter(msgspec.Struct):
    """Meter one account at this VM.

    `told` is the part that was held when the leader was last asked; it has
    to hear of a part that is given up.
    """

    holder: LeaseHolder
    demand: Demand
    tokens: float
    at_s: float
    told: float = 0.0


class AccountRates:
    """Admit requests within this VM's parts of the accounts' rates.

    A part is a fraction, so that a change of a rate is in force with the
    deployment that makes it.
    """

    def __init__(self, name: str, slack: float = 0.0) -> None:
        self._name = name
        self._slack = slack
        self._meters: dict[str, _Meter] = {}
        self._entries = 1
        self.in_touch = False
        self.lost_at_s = float("-inf")

    def expects_leader(self, now_s: float) -> bool:
        """Tell whether a leader lends tokens, or soon will again."""
        return self.in_touch or now_s - self.lost_at_s < LEADER_GAP_S

    def follow(self, accounts: Mapping[str, Account], entries: int) -> None:
        """Take over the accounts and the count of entry VMs."""
        self._entries = max(1, entries)
        for name in self._meters.keys() - accounts.keys():
            del self._meters[name]

    def part(self, account: str, now_s: float) -> float:
        """Return the part of an account's rate that may be used here."""
        floor = 0.0 if self.in_touch else UNLEASED_PART / self._entries
        meter = self._meters.get(account)
        return max(floor, meter.holder.amount(now_s)) if meter else floor

    def admit(self, account: Account, now_s: float) -> float:
        """Return 0 to admit a request, or else when to ask again, in s.

        While a leader is in touch, what is not admitted may borrow.
        """
        if account.rate_per_s <= 0:
            return 0.0
        meter = self._meter(account.name, now_s)
        meter.demand.add(now_s)
        part = self.part(account.name, now_s)
        rate = account.rate_per_s * part
        full = account.burst * part + SLACK_USED * self._slack / self._entries
        if not self.in_touch:
            full = max(BURST_RESERVE, full)
        meter.tokens = min(full, meter.tokens + (now_s - meter.at_s) * rate)
        meter.at_s = now_s
        if meter.tokens >= 1.0:
            meter.tokens -= 1.0
            return 0.0
        return (1.0 - meter.tokens) / rate if rate > 0 else math.inf

    def _meter(self, account: str, now_s: float) -> _Meter:
        meter = self._meters.get(account)
        if meter is None:
            holder = LeaseHolder(self._name, LEASE_S)
            meter = _Meter(holder, Demand(now_s), 0.0, now_s)
            self._meters[account] = meter
        return meter

    def requests(
        self, accounts: Mapping[str, Account], now_s: float
    ) -> Iterator[PartRequest]:
        """Yield what to ask the leader for."""
        for account in accounts.values():
            if account.rate_per_s <= 0:
                continue
            meter = self._meter(account.name, now_s)
            even_per_s = account.rate_per_s / self._entries
            wanted = max(
                min(LEAST_WANTED_PER_S, LEAST_WANTED_PART * even_per_s),
                DEMAND_MARGIN * meter.demand.rate_per_s(now_s),
            )
            held = meter.holder.amount(now_s)
            if wanted < LEAST_PART_PER_S:
                wanted = 0.0
                if held == 0 and meter.told == 0:
                    continue
            meter.told = held
            part = min(1.0, wanted / account.rate_per_s)
            ask = meter.holder.ask(part, now_s)
            yield PartRequest(account.name, ask.number, ask.held, ask.wanted)

    def give_back(self, now_s: float) -> Iterator[PartRequest]:
        """Yield what tells the leader that nothing is held any more."""
        for name, meter in self._meters.items():
            meter.holder.reduce(0.0)
            ask = meter.holder.ask(0.0, now_s)
            yield PartRequest(name, ask.number, ask.held, ask.wanted)

    def accept(self, grant: PartGrant) -> None:
        """Take over a grant."""
        meter = self._meters.get(grant.account)
        if meter is not None:
            meter.holder.accept(LeaseGrant(grant.number, grant.part))
