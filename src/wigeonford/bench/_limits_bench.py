"""Measure ways of limiting client accounts under moving demand."""

import argparse
from collections.abc import Callable
from dataclasses import dataclass, field
import random
from typing import Any, Final

from wigeonford.bench._limits_sim import Network, Timeline
from wigeonford.bench._limits_ways import Way, WAYS
from wigeonford.bench._report import Report
from wigeonford.bench._settings import load_deployment
from wigeonford.leases import BucketShare

CHOSEN: Final = "leased_shares"
ENTRIES: Final = 12
LOAD: Final = 0.7
OVER_FACTOR: Final = 5.0
OVER_ACCOUNT: Final = 2
OVER_PHASE_S: Final = 15.0
MOVE_INTERVAL_S: Final = 4.0
MAIN_ENTRIES: Final = 3
MAIN_PART: Final = 0.8
WARM_UP_S: Final = 5.0
DOWN_S: Final = 5.0
CUT_S: Final = 15.0
_EPSILON: Final = 1e-6


class ExactBucket:
    """Tell what one bucket for the whole fleet would have held."""

    def __init__(self, budget: BucketShare) -> None:
        self._budget = budget
        self._tokens = budget.burst
        self._at_s = 0.0

    def level(self, now_s: float) -> float:
        """Return the tokens that are there."""
        grown = (now_s - self._at_s) * self._budget.rate_per_s
        self._tokens = min(self._budget.burst, self._tokens + grown)
        self._at_s = now_s
        return self._tokens

    def spend(self, now_s: float) -> float:
        """Take a token; return how much of it was not there."""
        missing = max(0.0, 1.0 - self.level(now_s))
        self._tokens = max(0.0, self._tokens - 1.0)
        return missing if missing > _EPSILON else 0.0


@dataclass(slots=True)
class AccountBooks:
    """Count what became of one account's requests."""

    exact: ExactBucket
    within_rate: ExactBucket
    arrived: int = 0
    entitled: int = 0
    served: int = 0
    refused: int = 0
    wrongful: int = 0
    overspent: float = 0.0
    waits_s: list[float] = field(default_factory=list)


class Trial:
    """Run one way of limiting under one load."""

    def __init__(
        self, make_way: Callable[..., Way], seed: int, requests: int
    ) -> None:
        self._rng = random.Random(seed)
        self._line = Timeline()
        self._network = Network(
            self._line, ENTRIES, random.Random(self._rng.random())
        )
        accounts = load_deployment("guild").objects.client_accounts
        self._budgets = {
            account.name: BucketShare(account.rate_per_s, account.burst)
            for account in accounts.values()
        }
        self.over_account = list(self._budgets)[OVER_ACCOUNT]
        self._offered = {
            name: budget.rate_per_s * LOAD
            for name, budget in self._budgets.items()
        }
        over = self._budgets[self.over_account].rate_per_s
        over *= (OVER_FACTOR - LOAD) / 2
        self.duration_s = requests / (sum(self._offered.values()) + over)
        self.books = {
            name: AccountBooks(ExactBucket(budget), ExactBucket(budget))
            for name, budget in self._budgets.items()
        }
        self._way = make_way(self._network, self._budgets)
        self._weights: dict[str, list[float]] = {}

    def run(self, *, faults: bool) -> None:
        """Run to the end."""
        self._move_demand()
        self._line.after(OVER_PHASE_S, self._turn_over_account)
        for name in self._budgets:
            self._line.after(self._gap_s(name), self._arrive, name)
        if faults:
            self._plan_faults()
        self._line.run(self.duration_s)

    def _gap_s(self, name: str) -> float:
        return self._rng.expovariate(self._offered[name])

    def _turn_over_account(self) -> None:
        """Let one account go beyond its rate and come back, by turns."""
        rate_per_s = self._budgets[self.over_account].rate_per_s
        mild, strong = rate_per_s * LOAD, rate_per_s * OVER_FACTOR
        now = self._offered[self.over_account]
        self._offered[self.over_account] = strong if now == mild else mild
        self._line.after(OVER_PHASE_S, self._turn_over_account)

    def _move_demand(self) -> None:
        """Send most of each account's requests to a few other VMs."""
        for name in self._budgets:
            main = self._rng.sample(range(ENTRIES), MAIN_ENTRIES)
            base = (1 - MAIN_PART) / (ENTRIES - MAIN_ENTRIES)
            self._weights[name] = [
                MAIN_PART / MAIN_ENTRIES if entry in main else base
                for entry in range(ENTRIES)
            ]
        self._line.after(MOVE_INTERVAL_S, self._move_demand)

    def _plan_faults(self) -> None:
        for part, entry in ((0.25, 1), (0.5, 6)):
            at_s = self.duration_s * part
            self._line.after(at_s, self._network.dead.add, entry)
            self._line.after(at_s + DOWN_S, self._restart, entry)
        at_s = self.duration_s * 0.75
        self._line.after(at_s, self._network.cut.add, 9)
        self._line.after(at_s + CUT_S, self._network.cut.discard, 9)

    def _restart(self, entry: int) -> None:
        self._network.dead.discard(entry)
        self._way.restart(entry)

    def _arrive(self, name: str) -> None:
        weights = self._weights[name]
        entry = self._rng.choices(range(ENTRIES), weights)[0]
        late_s = self._rng.uniform(0.001, 0.03)
        self._line.after(self._gap_s(name), self._arrive, name)
        books = self.books[name]
        started_s = self._line.now_s
        counts = started_s > WARM_UP_S
        if counts:
            books.arrived += 1
            if books.within_rate.level(started_s) >= 1.0:
                books.within_rate.spend(started_s)
                books.entitled += 1

        def done(spent: bool) -> None:
            if spent:
                self._line.after(late_s, self._see, books)
            if counts:
                self._count(books, spent, started_s)

        self._way.arrive(self._network.live(entry), name, done)

    def _see(self, books: AccountBooks) -> None:
        """Note that a target sees a request."""
        books.overspent += books.exact.spend(self._line.now_s)

    def _count(
        self, books: AccountBooks, spent: bool, started_s: float
    ) -> None:
        now_s = self._line.now_s
        if spent:
            books.served += 1
            books.waits_s.append(now_s - started_s)
            return
        books.refused += 1
        if books.exact.level(now_s) >= 1.0:
            books.wrongful += 1

    def figures(self) -> dict[str, Any]:
        """Return what was measured."""
        books = self.books
        within = [
            item for name, item in books.items() if name != self.over_account
        ]
        over = books[self.over_account]
        waits_s = sorted(wait for item in within for wait in item.waits_s)
        ratios = [
            item.served / max(1, item.entitled) for item in books.values()
        ]
        arrived = sum(item.arrived for item in within)
        wrongful = sum(item.wrongful for item in within)
        return {
            "overspent_tokens": _sum(books, "overspent"),
            "wrongful_refusals": round(100 * wrongful / arrived, 4),
            "wrongful_refusals_of_worst": round(
                max(100 * item.wrongful / item.arrived for item in within), 4
            ),
            "refusals": _sum(books, "refused"),
            "refusals_within_rate": sum(item.refused for item in within),
            "over_account_served_ratio": round(
                over.served / max(1, over.entitled), 4
            ),
            "worst_account_served_ratio": round(min(ratios) / max(ratios), 4),
            "messages_per_s": round(
                self._network.messages / self.duration_s, 1
            ),
            "added_latency_ms": {
                "mean": round(1000 * sum(waits_s) / len(waits_s), 3),
                "p99": round(1000 * waits_s[len(waits_s) * 99 // 100], 3),
            },
        }


def _sum(books: dict[str, AccountBooks], name: str) -> float:
    total: float = sum(getattr(item, name) for item in books.values())
    return round(total, 3)


def measure(
    seed: int, requests: int, *, faults: bool
) -> dict[str, dict[str, Any]]:
    """Return the figures of every way under the same load."""
    result: dict[str, dict[str, Any]] = {}
    for name, make_way in WAYS.items():
        trial = Trial(make_way, seed, requests)
        trial.run(faults=faults)
        result[name] = trial.figures()
    return result


async def run(args: argparse.Namespace) -> Report:
    """Return the figures of every way; pass if the chosen one kept to it."""
    ways = measure(args.seed, args.requests, faults=args.faults)
    data: dict[str, Any] = {
        "seed": args.seed,
        "requests": args.requests,
        "faults": args.faults,
        **ways,
    }
    return Report(data, ways[CHOSEN]["overspent_tokens"] == 0)
