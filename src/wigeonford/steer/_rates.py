"""Client accounts' rates: each entry VM spends its leased fraction."""

from collections.abc import Iterator, Mapping
import math
from typing import Final

import msgspec

from wigeonford.deployment import Account
from wigeonford.leases import Demand, LeaseGrant, LeaseHolder
from wigeonford.messages.steering import QuotaLeaseGrant, QuotaLeaseRequest

LEASE_TERM_S: Final = 20.0
"""The term for which the grantor leases."""
DEMAND_MARGIN: Final = 1.6
"""Factor by which more than the recent demand is requested, because demand
grows faster than fractions move."""
MAX_IDLE_RATE_PER_S: Final = 2.0
"""Rate that an entry VM without demand requests, at most."""
MAX_IDLE_FRACTION: Final = 0.3
"""The same as a fraction of an equal share, for accounts with low rates."""
MIN_LEASED_PER_S: Final = 1.0
"""Below this demand a VM leases nothing and borrows tokens. It corresponds to
two requests within the memory of the demand average."""
UNLEASED_FRACTION: Final = 0.2
"""Fraction of a rate that entry VMs without a connection to a leader share; a
fleet may exceed a rate by more than this."""
MIN_BURST_TOKENS: Final = 1.0
"""Minimum capacity of the token bucket while nothing can be borrowed."""
LEADER_GAP_S: Final = 3.0
"""How long control may be without a leader before callers are rejected at
once. An election takes up to 1.7 s, and learning of the new leader a
second."""
SLACK_FRACTION: Final = 0.8
"""Fraction of the fleet's slack that all entry VMs together add to their
bursts."""


class _Meter(msgspec.Struct):
    """Meter one account at this VM.

    `reported_fraction` is the fraction held at the last request to the leader.
    A fraction that is given up has to be reported once more.
    """

    holder: LeaseHolder
    demand: Demand
    tokens: float
    at_s: float
    reported_fraction: float = 0.0


class AccountRates:
    """Admit requests within this VM's fractions of the accounts' rates.

    Because a lease is a fraction, a changed rate is in force together with the
    deployment that changes it.
    """

    def __init__(self, name: str, slack: float = 0.0) -> None:
        self._name = name
        self._slack = slack
        self._meters: dict[str, _Meter] = {}
        self._entry_count = 1
        self.leader_connected = False
        self.leader_lost_at_s = float("-inf")

    def expects_leader(self, now_s: float) -> bool:
        """Return whether a leader lends tokens now, or is expected to soon."""
        return (
            self.leader_connected
            or now_s - self.leader_lost_at_s < LEADER_GAP_S
        )

    def update_accounts(
        self, accounts: Mapping[str, Account], entry_count: int
    ) -> None:
        """Apply the accounts and the number of entry VMs."""
        self._entry_count = max(1, entry_count)
        for name in self._meters.keys() - accounts.keys():
            del self._meters[name]

    def quota_fraction(self, account: str, now_s: float) -> float:
        """Return the fraction of an account's rate that may be used here."""
        min_fraction = (
            0.0
            if self.leader_connected
            else UNLEASED_FRACTION / self._entry_count
        )
        meter = self._meters.get(account)
        return (
            max(min_fraction, meter.holder.amount(now_s))
            if meter
            else min_fraction
        )

    def admit(self, account: Account, now_s: float) -> float:
        """Return 0 to admit a request, or else when to retry, in s.

        While a leader is connected, a request that is not admitted may borrow
        a token.
        """
        if account.rate_per_s <= 0:
            return 0.0
        meter = self._get_meter(account.name, now_s)
        meter.demand.add(now_s)
        fraction = self.quota_fraction(account.name, now_s)
        rate = account.rate_per_s * fraction
        max_tokens = (
            account.burst * fraction
            + SLACK_FRACTION * self._slack / self._entry_count
        )
        if not self.leader_connected:
            max_tokens = max(MIN_BURST_TOKENS, max_tokens)
        meter.tokens = min(
            max_tokens, meter.tokens + (now_s - meter.at_s) * rate
        )
        meter.at_s = now_s
        if meter.tokens >= 1.0:
            meter.tokens -= 1.0
            return 0.0
        return (1.0 - meter.tokens) / rate if rate > 0 else math.inf

    def _get_meter(self, account: str, now_s: float) -> _Meter:
        meter = self._meters.get(account)
        if meter is None:
            holder = LeaseHolder(self._name, LEASE_TERM_S)
            meter = _Meter(holder, Demand(now_s), 0.0, now_s)
            self._meters[account] = meter
        return meter

    def build_requests(
        self, accounts: Mapping[str, Account], now_s: float
    ) -> Iterator[QuotaLeaseRequest]:
        """Yield the lease requests to send to the leader."""
        for account in accounts.values():
            if account.rate_per_s <= 0:
                continue
            meter = self._get_meter(account.name, now_s)
            equal_share_per_s = account.rate_per_s / self._entry_count
            wanted = max(
                min(
                    MAX_IDLE_RATE_PER_S, MAX_IDLE_FRACTION * equal_share_per_s
                ),
                DEMAND_MARGIN * meter.demand.rate_per_s(now_s),
            )
            held = meter.holder.amount(now_s)
            if wanted < MIN_LEASED_PER_S:
                wanted = 0.0
                if held == 0 and meter.reported_fraction == 0:
                    continue
            meter.reported_fraction = held
            fraction = min(1.0, wanted / account.rate_per_s)
            ask = meter.holder.next_request(fraction, now_s)
            yield QuotaLeaseRequest(
                account.name, ask.number, ask.held, ask.wanted
            )

    def release_all(self, now_s: float) -> Iterator[QuotaLeaseRequest]:
        """Yield lease requests that return all fractions to the leader."""
        for name, meter in self._meters.items():
            meter.holder.reduce(0.0)
            ask = meter.holder.next_request(0.0, now_s)
            yield QuotaLeaseRequest(name, ask.number, ask.held, ask.wanted)

    def apply_grant(self, grant: QuotaLeaseGrant) -> None:
        """Apply the leader's grant."""
        meter = self._meters.get(grant.account)
        if meter is not None:
            fraction = min(1.0, max(0.0, grant.fraction))
            meter.holder.accept(LeaseGrant(grant.number, fraction))
