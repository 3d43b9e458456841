"""Compare rate limit strategies while demand shifts between entry VMs."""

import argparse
from collections.abc import Callable
from dataclasses import dataclass, field
import random
from typing import Any, Final

from wigeonford.bench._limits_sim import EventScheduler, Network
from wigeonford.bench._limits_strategies import STRATEGIES, Strategy
from wigeonford.bench._report import Report
from wigeonford.bench._settings import load_deployment
from wigeonford.leases import BucketLimits

PRODUCTION_STRATEGY: Final = "leased_shares"
"""The strategy that entry VMs use; the bench fails if it overspends."""

ENTRY_VMS: Final = 12
BASE_LOAD: Final = 0.7
"""The demand of an account, as a fraction of its rate."""

OVERLOAD_FACTOR: Final = 5.0
"""The demand of the overloading account, as a multiple of its rate."""

OVERLOADED_ACCOUNT_INDEX: Final = 2
OVERLOAD_PHASE_S: Final = 15.0
DEMAND_SHIFT_INTERVAL_S: Final = 4.0
BUSY_ENTRY_VMS: Final = 3
BUSY_FRACTION: Final = 0.8
"""The fraction of an account's requests that its busy VMs receive."""

WARM_UP_S: Final = 5.0
CRASH_DURATION_S: Final = 5.0
PARTITION_DURATION_S: Final = 15.0
_EPSILON: Final = 1e-6


class ExactBucket:
    """Model a single token bucket shared by the whole fleet."""

    def __init__(self, budget: BucketLimits) -> None:
        self._budget = budget
        self._tokens = budget.burst
        self._updated_at_s = 0.0

    def level(self, now_s: float) -> float:
        """Return the available tokens."""
        refilled = (now_s - self._updated_at_s) * self._budget.rate_per_s
        self._tokens = min(self._budget.burst, self._tokens + refilled)
        self._updated_at_s = now_s
        return self._tokens

    def spend(self, now_s: float) -> float:
        """Spend a token; return the fraction of it that was missing."""
        missing = max(0.0, 1.0 - self.level(now_s))
        self._tokens = max(0.0, self._tokens - 1.0)
        return missing if missing > _EPSILON else 0.0


@dataclass(slots=True)
class AccountCounters:
    """Count the outcomes of one account's requests.

    `target_bucket` spends a token when a target receives a request,
    `entitlement_bucket` when a caller sends one. `entitled` counts the
    requests that were within the account's rate and burst when sent, and
    `wrongly_refused` the rejections while `target_bucket` had a token.
    """

    target_bucket: ExactBucket
    entitlement_bucket: ExactBucket
    arrived: int = 0
    entitled: int = 0
    served: int = 0
    refused: int = 0
    wrongly_refused: int = 0
    overspent: float = 0.0
    waits_s: list[float] = field(default_factory=list)


class Trial:
    """Simulate one strategy under one load."""

    def __init__(
        self, make_strategy: Callable[..., Strategy], seed: int, requests: int
    ) -> None:
        self._rng = random.Random(seed)
        self._scheduler = EventScheduler()
        self._network = Network(
            self._scheduler, ENTRY_VMS, random.Random(self._rng.random())
        )
        accounts = load_deployment("guild").objects.client_accounts
        self._budgets = {
            account.name: BucketLimits(account.rate_per_s, account.burst)
            for account in accounts.values()
        }
        self.overloaded_account = list(self._budgets)[OVERLOADED_ACCOUNT_INDEX]
        self._offered_per_s = {
            name: budget.rate_per_s * BASE_LOAD
            for name, budget in self._budgets.items()
        }
        excess_per_s = self._budgets[self.overloaded_account].rate_per_s
        excess_per_s *= (OVERLOAD_FACTOR - BASE_LOAD) / 2
        self.duration_s = requests / (
            sum(self._offered_per_s.values()) + excess_per_s
        )
        self.counters = {
            name: AccountCounters(ExactBucket(budget), ExactBucket(budget))
            for name, budget in self._budgets.items()
        }
        self._strategy = make_strategy(self._network, self._budgets)
        self._weights: dict[str, list[float]] = {}

    def run(self, *, faults: bool) -> None:
        """Run the whole simulation."""
        self._shift_demand()
        self._scheduler.call_later(OVERLOAD_PHASE_S, self._toggle_overload)
        for name in self._budgets:
            self._scheduler.call_later(
                self._gap_s(name), self._simulate_request, name
            )
        if faults:
            self._schedule_faults()
        self._scheduler.run(self.duration_s)

    def _gap_s(self, name: str) -> float:
        return self._rng.expovariate(self._offered_per_s[name])

    def _toggle_overload(self) -> None:
        """Alternate one account between base load and overload."""
        rate_per_s = self._budgets[self.overloaded_account].rate_per_s
        base_per_s, overload_per_s = (
            rate_per_s * BASE_LOAD,
            rate_per_s * OVERLOAD_FACTOR,
        )
        current_per_s = self._offered_per_s[self.overloaded_account]
        self._offered_per_s[self.overloaded_account] = (
            overload_per_s if current_per_s == base_per_s else base_per_s
        )
        self._scheduler.call_later(OVERLOAD_PHASE_S, self._toggle_overload)

    def _shift_demand(self) -> None:
        """Move most of each account's requests to a few random VMs."""
        for name in self._budgets:
            busy = self._rng.sample(range(ENTRY_VMS), BUSY_ENTRY_VMS)
            base = (1 - BUSY_FRACTION) / (ENTRY_VMS - BUSY_ENTRY_VMS)
            self._weights[name] = [
                BUSY_FRACTION / BUSY_ENTRY_VMS if entry in busy else base
                for entry in range(ENTRY_VMS)
            ]
        self._scheduler.call_later(DEMAND_SHIFT_INTERVAL_S, self._shift_demand)

    def _schedule_faults(self) -> None:
        for fraction, entry in ((0.25, 1), (0.5, 6)):
            at_s = self.duration_s * fraction
            self._scheduler.call_later(at_s, self._network.crashed.add, entry)
            self._scheduler.call_later(
                at_s + CRASH_DURATION_S, self._restart, entry
            )
        at_s = self.duration_s * 0.75
        self._scheduler.call_later(at_s, self._network.partitioned.add, 9)
        self._scheduler.call_later(
            at_s + PARTITION_DURATION_S, self._network.partitioned.discard, 9
        )

    def _restart(self, entry: int) -> None:
        self._network.crashed.discard(entry)
        self._strategy.restart(entry)

    def _simulate_request(self, name: str) -> None:
        weights = self._weights[name]
        entry = self._rng.choices(range(ENTRY_VMS), weights)[0]
        dispatch_delay_s = self._rng.uniform(0.001, 0.03)
        self._scheduler.call_later(
            self._gap_s(name), self._simulate_request, name
        )
        counters = self.counters[name]
        started_s = self._scheduler.now_s
        is_measured = started_s > WARM_UP_S
        if is_measured:
            counters.arrived += 1
            if counters.entitlement_bucket.level(started_s) >= 1.0:
                counters.entitlement_bucket.spend(started_s)
                counters.entitled += 1

        def done(spent: bool) -> None:
            if spent:
                self._scheduler.call_later(
                    dispatch_delay_s, self._record_target_arrival, counters
                )
            if is_measured:
                self._record_outcome(counters, spent, started_s)

        self._strategy.decide(self._network.next_live(entry), name, done)

    def _record_target_arrival(self, counters: AccountCounters) -> None:
        """Spend a token of the target bucket and count any overspend."""
        counters.overspent += counters.target_bucket.spend(
            self._scheduler.now_s
        )

    def _record_outcome(
        self, counters: AccountCounters, spent: bool, started_s: float
    ) -> None:
        now_s = self._scheduler.now_s
        if spent:
            counters.served += 1
            counters.waits_s.append(now_s - started_s)
            return
        counters.refused += 1
        if counters.target_bucket.level(now_s) >= 1.0:
            counters.wrongly_refused += 1

    def measurements(self) -> dict[str, Any]:
        """Return the measurements for the report, by name."""
        counters = self.counters
        other_accounts = [
            item
            for name, item in counters.items()
            if name != self.overloaded_account
        ]
        overloaded = counters[self.overloaded_account]
        waits_s = sorted(
            wait for item in other_accounts for wait in item.waits_s
        )
        ratios = [
            item.served / max(1, item.entitled) for item in counters.values()
        ]
        arrived = sum(item.arrived for item in other_accounts)
        wrongly_refused = sum(item.wrongly_refused for item in other_accounts)
        return {
            "overspent_tokens": _total(counters, "overspent"),
            "wrongful_refusals": round(100 * wrongly_refused / arrived, 4),
            "wrongful_refusals_of_worst": round(
                max(
                    100 * item.wrongly_refused / item.arrived
                    for item in other_accounts
                ),
                4,
            ),
            "refusals": _total(counters, "refused"),
            "refusals_within_rate": sum(
                item.refused for item in other_accounts
            ),
            "over_account_served_ratio": round(
                overloaded.served / max(1, overloaded.entitled), 4
            ),
            "worst_account_served_ratio": round(min(ratios) / max(ratios), 4),
            "messages_per_s": round(
                self._network.messages_sent / self.duration_s, 1
            ),
            "added_latency_ms": {
                "mean": round(1000 * sum(waits_s) / len(waits_s), 3),
                "p99": round(1000 * waits_s[len(waits_s) * 99 // 100], 3),
            },
        }


def _total(counters: dict[str, AccountCounters], name: str) -> float:
    total: float = sum(getattr(item, name) for item in counters.values())
    return round(total, 3)


def measure_strategies(
    seed: int, requests: int, *, faults: bool
) -> dict[str, dict[str, Any]]:
    """Return the measurements of every strategy under the same load."""
    result: dict[str, dict[str, Any]] = {}
    for name, make_strategy in STRATEGIES.items():
        trial = Trial(make_strategy, seed, requests)
        trial.run(faults=faults)
        result[name] = trial.measurements()
    return result


async def run(args: argparse.Namespace) -> Report:
    """Compare the strategies; pass if the production one never overspent."""
    results = measure_strategies(args.seed, args.requests, faults=args.faults)
    data: dict[str, Any] = {
        "seed": args.seed,
        "requests": args.requests,
        "faults": args.faults,
        **results,
    }
    return Report(data, results[PRODUCTION_STRATEGY]["overspent_tokens"] == 0)
