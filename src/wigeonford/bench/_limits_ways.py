"""Ways of limiting client accounts over a fleet, in virtual time."""

from collections.abc import Callable
import itertools
from typing import Any, Final, Protocol

from wigeonford.bench._limits_sim import CONTROL, Network
from wigeonford.leases import BucketShare, TokenBucket
from wigeonford.policy import (
    AccountShare,
    BudgetGrantor,
    leased_budget,
    LoanGrant,
    REPORT_INTERVAL_S,
    ShareGrant,
    ShareRequest,
    TokenQueue,
    Verdict,
)

OWNER_TIMEOUT_S: Final = 0.5
GOSSIP_INTERVAL_S: Final = 1.0

Done = Callable[[bool], None]
"""Take whether a request got its token."""

Budgets = dict[str, BucketShare]
"""Map each client account to its rate and burst."""


class Way(Protocol):
    """Limit accounts at the entry VMs of a network."""

    def arrive(self, entry: int, account: str, done: Done) -> None:
        """Decide on a request, at once or later."""

    def restart(self, entry: int) -> None:
        """Start an entry VM anew, without what it held."""


WAYS: Final[dict[str, Callable[[Network, Budgets], Way]]] = {}
"""Map each way's name to its class."""


def _way(name: str) -> Callable[[Any], Any]:
    def add(cls: Any) -> Any:
        WAYS[name] = cls
        return cls

    return add


@_way("leased_shares")
class LeasedShares:
    """Lease shares from control and borrow tokens when short."""

    def __init__(self, network: Network, budgets: Budgets) -> None:
        self.network = network
        self.budgets = {
            name: leased_budget(budget.rate_per_s, budget.burst)
            for name, budget in budgets.items()
        }
        self.grantors = {
            name: BudgetGrantor(budget, 0.0)
            for name, budget in self.budgets.items()
        }
        self._runs = itertools.count()
        self.entries: dict[int, _LeasedEntry] = {}
        for entry in range(network.count):
            self.restart(entry)

    def arrive(self, entry: int, account: str, done: Done) -> None:
        """Decide on a request, at once or later."""
        self.entries[entry].arrive(account, done)

    def restart(self, entry: int) -> None:
        """Start an entry VM anew, without what it held."""
        self.entries[entry] = _LeasedEntry(self, entry, next(self._runs))


class _LeasedEntry:
    """Run one entry VM's part: queues, reports and loans."""

    def __init__(self, way: LeasedShares, entry: int, run: int) -> None:
        self._way = way
        self._network = way.network
        self._entry = entry
        self.name = f"{entry}/{run}"
        self._queues: dict[str, TokenQueue[Done]] = {}
        self._wakes_at_s: dict[str, float] = {}
        offset_s = way.network.rng.uniform(0, REPORT_INTERVAL_S)
        self._network.line.after(offset_s, self._report)

    @property
    def _now_s(self) -> float:
        return self._network.line.now_s

    def _queue(self, account: str) -> TokenQueue[Done]:
        if account not in self._queues:
            budget = self._way.budgets[account]
            share = AccountShare(self.name, budget, self._now_s)
            self._queues[account] = TokenQueue(share)
        return self._queues[account]

    def arrive(self, account: str, done: Done) -> None:
        """Decide on a request, at once or later."""
        queue = self._queue(account)
        start_s = self._now_s
        verdict = queue.arrive(done, start_s, start_s + 10.0)
        if verdict is not Verdict.WAITING:
            done(verdict is Verdict.SPENT)
        self._pump(account)

    def _pump(self, account: str) -> None:
        if self._way.entries[self._entry] is not self:
            return
        queue = self._queues[account]
        for done, spent in list(queue.serve(self._now_s)):
            done(spent)
        need = queue.needs(self._now_s)
        if need:
            self._ask({account: queue.share.ask(self._now_s, need)})
        self._schedule(account)

    def _schedule(self, account: str) -> None:
        wakes_at_s = self._queues[account].wakes_at_s(self._now_s)
        known_s = self._wakes_at_s.get(account, 0.0)
        if wakes_at_s == float("inf") or self._now_s < known_s <= wakes_at_s:
            return
        self._wakes_at_s[account] = wakes_at_s
        delay_s = max(0.001, wakes_at_s - self._now_s)
        self._network.line.after(delay_s, self._pump, account)

    def _report(self) -> None:
        if self._way.entries[self._entry] is not self:
            return
        rows = {
            account: queue.share.ask(self._now_s)
            for account, queue in self._queues.items()
            if queue.share.is_active(self._now_s)
        }
        if rows:
            self._ask(rows)
        self._network.line.after(REPORT_INTERVAL_S, self._report)

    def _ask(self, rows: dict[str, ShareRequest]) -> None:
        self._network.send(self._entry, CONTROL, self._grant, rows)

    def _grant(self, rows: dict[str, ShareRequest]) -> None:
        """Run at control."""
        grants = {
            account: self._way.grantors[account].request(
                self.name, row, self._now_s
            )
            for account, row in rows.items()
        }
        self._network.send(CONTROL, self._entry, self._take, grants)

    def _take(self, grants: dict[str, ShareGrant]) -> None:
        for account, grant in grants.items():
            queue = self._queues[account]
            if queue.share.accept(grant, self._now_s):
                self._borrow(account, queue, grant.lenders)
            self._pump(account)

    def _borrow(
        self, account: str, queue: TokenQueue[Done], lenders: tuple[str, ...]
    ) -> None:
        need = queue.share.need(self._now_s, len(queue))
        for name in lenders if need else ():
            peer = int(name.split("/")[0])
            loan_id = queue.share.open_loan(self._now_s)
            self._network.send(
                self._entry,
                peer,
                self._way.entries[peer].lend,
                (self._entry, account, loan_id, need),
            )

    def lend(self, ask: tuple[int, str, str, int]) -> None:
        """Answer a peer that asks for tokens."""
        borrower, account, loan_id, tokens = ask
        share = self._queue(account).share
        grant = share.lend(loan_id, tokens, self._now_s)
        peer = self._way.entries[borrower]
        self._network.send(
            self._entry, borrower, peer.take_loan, account, loan_id, grant
        )

    def take_loan(self, account: str, loan_id: str, grant: LoanGrant) -> None:
        """Add what a peer has lent."""
        share = self._queue(account).share
        share.borrow(loan_id, grant, self._now_s)
        self._pump(account)


@_way("owner")
class Owner:
    """Ask the one VM that owns an account's bucket for each request."""

    def __init__(self, network: Network, budgets: Budgets) -> None:
        self._network = network
        self._budgets = {
            name: leased_budget(budget.rate_per_s, budget.burst)
            for name, budget in budgets.items()
        }
        self._owners = {
            name: index * network.count // len(budgets)
            for index, name in enumerate(budgets)
        }
        self._buckets = {
            name: TokenBucket(budget, 0.0)
            for name, budget in self._budgets.items()
        }

    def arrive(self, entry: int, account: str, done: Done) -> None:
        """Decide on a request, at once or later."""
        answered: list[bool] = []

        def answer(spent: bool) -> None:
            if not answered:
                answered.append(spent)
                done(spent)

        self._network.line.after(OWNER_TIMEOUT_S, answer, False)
        owner = self._owners[account]
        self._network.send(
            entry, owner, self._spend, owner, entry, account, answer
        )

    def _spend(
        self, owner: int, entry: int, account: str, answer: Done
    ) -> None:
        spent = self._buckets[account].spend(self._network.line.now_s)
        self._network.send(owner, entry, answer, spent)

    def restart(self, entry: int) -> None:
        """Start an entry VM anew, without what it held."""
        for account, owner in self._owners.items():
            if owner == entry:
                budget = self._budgets[account]
                now_s = self._network.line.now_s
                self._buckets[account] = TokenBucket(budget, now_s)


@_way("equal_shares")
class EqualShares:
    """Give each VM the same fixed part of every budget."""

    def __init__(self, network: Network, budgets: Budgets) -> None:
        self._network = network
        self._budgets = budgets
        self._buckets: dict[tuple[int, str], TokenBucket] = {}
        for entry in range(network.count):
            self.restart(entry)

    def arrive(self, entry: int, account: str, done: Done) -> None:
        """Decide on a request, at once or later."""
        bucket = self._buckets[entry, account]
        done(bucket.spend(self._network.line.now_s))

    def restart(self, entry: int) -> None:
        """Start an entry VM anew, without what it held."""
        count = self._network.count
        for name, budget in self._budgets.items():
            whole = leased_budget(budget.rate_per_s, budget.burst)
            part = BucketShare(whole.rate_per_s / count, whole.burst / count)
            self._buckets[entry, name] = TokenBucket(
                part, self._network.line.now_s
            )


@_way("gossip")
class Gossip:
    """Count apart at each VM and tell the others of it now and then."""

    def __init__(self, network: Network, budgets: Budgets) -> None:
        self._network = network
        self._budgets = budgets
        self._buckets: dict[tuple[int, str], TokenBucket] = {}
        self._spent: dict[int, dict[str, int]] = {}
        for entry in range(network.count):
            self.restart(entry)
            offset_s = network.rng.uniform(0, GOSSIP_INTERVAL_S)
            network.line.after(offset_s, self._tell, entry)

    def arrive(self, entry: int, account: str, done: Done) -> None:
        """Decide on a request, at once or later."""
        spent = self._buckets[entry, account].spend(self._network.line.now_s)
        if spent:
            counts = self._spent[entry]
            counts[account] = counts.get(account, 0) + 1
        done(spent)

    def restart(self, entry: int) -> None:
        """Start an entry VM anew, without what it held."""
        self._spent[entry] = {}
        for name, budget in self._budgets.items():
            bucket = TokenBucket(budget, self._network.line.now_s)
            self._buckets[entry, name] = bucket

    def _tell(self, entry: int) -> None:
        counts, self._spent[entry] = self._spent[entry], {}
        for peer in range(self._network.count):
            if counts and peer != entry and entry not in self._network.dead:
                self._network.send(entry, peer, self._hear, peer, counts)
        self._network.line.after(GOSSIP_INTERVAL_S, self._tell, entry)

    def _hear(self, peer: int, counts: dict[str, int]) -> None:
        for account, count in counts.items():
            bucket = self._buckets[peer, account]
            bucket.debit(count, self._network.line.now_s)
