"""Strategies for rate limits per client account, in virtual time."""

from collections.abc import Callable
import itertools
from typing import Any, Final, Protocol

from wigeonford.bench._limits_sim import CONTROL_NODE, Network
from wigeonford.leases import BucketLimits, TokenBucket
from wigeonford.policy import (
    AccountQuota,
    BudgetGrantor,
    leased_budget,
    LoanGrant,
    QuotaGrant,
    QuotaRequest,
    REPORT_INTERVAL_S,
    TokenQueue,
    TokenResult,
)

OWNER_TIMEOUT_S: Final = 0.5
GOSSIP_INTERVAL_S: Final = 1.0

DecisionCallback = Callable[[bool], None]
"""Called with whether a request got its token."""

Budgets = dict[str, BucketLimits]
"""Map each client account to its rate and burst."""


class Strategy(Protocol):
    """Limit the request rate of accounts across a network's entry VMs."""

    def decide(self, entry: int, account: str, done: DecisionCallback) -> None:
        """Decide on a request, immediately or later, and call `done`."""

    def restart(self, entry: int) -> None:
        """Restart an entry VM, which loses its state."""


STRATEGIES: Final[dict[str, Callable[[Network, Budgets], Strategy]]] = {}
"""The class of each strategy, by the strategy's name in the report."""


def _register(name: str) -> Callable[[Any], Any]:
    def add(cls: Any) -> Any:
        STRATEGIES[name] = cls
        return cls

    return add


@_register("leased_shares")
class LeasedShares:
    """Lease quota fractions from control; borrow tokens when short."""

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
        self._incarnations = itertools.count()
        self.entries: dict[int, _LeasingEntryVM] = {}
        for entry in range(network.entry_count):
            self.restart(entry)

    def decide(self, entry: int, account: str, done: DecisionCallback) -> None:
        """Decide on a request, immediately or later, and call `done`."""
        self.entries[entry].decide(account, done)

    def restart(self, entry: int) -> None:
        """Restart an entry VM, which loses its state."""
        self.entries[entry] = _LeasingEntryVM(
            self, entry, next(self._incarnations)
        )


class _LeasingEntryVM:
    """Simulate an entry VM: its request queues, reports and loans."""

    def __init__(
        self, strategy: LeasedShares, entry: int, incarnation: int
    ) -> None:
        self._strategy = strategy
        self._network = strategy.network
        self._entry = entry
        self.name = f"{entry}/{incarnation}"
        self._queues: dict[str, TokenQueue[DecisionCallback]] = {}
        self._wakeup_at_s: dict[str, float] = {}
        offset_s = strategy.network.rng.uniform(0, REPORT_INTERVAL_S)
        self._network.scheduler.call_later(offset_s, self._send_report)

    @property
    def _now_s(self) -> float:
        return self._network.scheduler.now_s

    def _queue(self, account: str) -> TokenQueue[DecisionCallback]:
        if account not in self._queues:
            budget = self._strategy.budgets[account]
            quota = AccountQuota(self.name, budget, self._now_s)
            self._queues[account] = TokenQueue(quota)
        return self._queues[account]

    def decide(self, account: str, done: DecisionCallback) -> None:
        """Decide on a request, immediately or later, and call `done`."""
        queue = self._queue(account)
        start_s = self._now_s
        verdict = queue.arrive(done, start_s, start_s + 10.0)
        if verdict is not TokenResult.WAITING:
            done(verdict is TokenResult.SPENT)
        self._serve_queue(account)

    def _serve_queue(self, account: str) -> None:
        if self._strategy.entries[self._entry] is not self:
            return
        queue = self._queues[account]
        for done, spent in list(queue.serve(self._now_s)):
            done(spent)
        need = queue.tokens_to_borrow(self._now_s)
        if need:
            self._send_request(
                {account: queue.quota.next_request(self._now_s, need)}
            )
        self._schedule_wakeup(account)

    def _schedule_wakeup(self, account: str) -> None:
        next_call_at_s = self._queues[account].next_call_at_s(self._now_s)
        scheduled_s = self._wakeup_at_s.get(account, 0.0)
        if (
            next_call_at_s == float("inf")
            or self._now_s < scheduled_s <= next_call_at_s
        ):
            return
        self._wakeup_at_s[account] = next_call_at_s
        delay_s = max(0.001, next_call_at_s - self._now_s)
        self._network.scheduler.call_later(delay_s, self._serve_queue, account)

    def _send_report(self) -> None:
        if self._strategy.entries[self._entry] is not self:
            return
        rows = {
            account: queue.quota.next_request(self._now_s)
            for account, queue in self._queues.items()
            if queue.quota.is_active(self._now_s)
        }
        if rows:
            self._send_request(rows)
        self._network.scheduler.call_later(
            REPORT_INTERVAL_S, self._send_report
        )

    def _send_request(self, rows: dict[str, QuotaRequest]) -> None:
        self._network.send(
            self._entry, CONTROL_NODE, self._handle_request, rows
        )

    def _handle_request(self, rows: dict[str, QuotaRequest]) -> None:
        """Grant quota fractions and loans; runs at control."""
        grants = {
            account: self._strategy.grantors[account].request(
                self.name, row, self._now_s
            )
            for account, row in rows.items()
        }
        self._network.send(
            CONTROL_NODE, self._entry, self._accept_grants, grants
        )

    def _accept_grants(self, grants: dict[str, QuotaGrant]) -> None:
        for account, grant in grants.items():
            queue = self._queues[account]
            if queue.quota.accept(grant, self._now_s):
                self._request_loans(account, queue, grant.lenders)
            self._serve_queue(account)

    def _request_loans(
        self,
        account: str,
        queue: TokenQueue[DecisionCallback],
        lenders: tuple[str, ...],
    ) -> None:
        need = queue.quota.need(self._now_s, len(queue))
        for name in lenders if need else ():
            peer = int(name.split("/")[0])
            loan_id = queue.quota.open_loan(self._now_s)
            self._network.send(
                self._entry,
                peer,
                self._strategy.entries[peer].lend,
                (self._entry, account, loan_id, need),
            )

    def lend(self, loan_request: tuple[int, str, str, int]) -> None:
        """Lend tokens to a peer and send it the grant."""
        borrower, account, loan_id, tokens = loan_request
        quota = self._queue(account).quota
        grant = quota.lend(loan_id, tokens, self._now_s)
        peer = self._strategy.entries[borrower]
        self._network.send(
            self._entry, borrower, peer.accept_loan, account, loan_id, grant
        )

    def accept_loan(
        self, account: str, loan_id: str, grant: LoanGrant
    ) -> None:
        """Add the tokens that a peer has lent."""
        quota = self._queue(account).quota
        quota.borrow(loan_id, grant, self._now_s)
        self._serve_queue(account)


@_register("owner")
class Owner:
    """Ask the VM that owns the account's bucket, for every request."""

    def __init__(self, network: Network, budgets: Budgets) -> None:
        self._network = network
        self._budgets = {
            name: leased_budget(budget.rate_per_s, budget.burst)
            for name, budget in budgets.items()
        }
        self._owners = {
            name: index * network.entry_count // len(budgets)
            for index, name in enumerate(budgets)
        }
        self._buckets = {
            name: TokenBucket(budget, 0.0)
            for name, budget in self._budgets.items()
        }

    def decide(self, entry: int, account: str, done: DecisionCallback) -> None:
        """Decide on a request, immediately or later, and call `done`."""
        replies: list[bool] = []

        def reply(spent: bool) -> None:
            if not replies:
                replies.append(spent)
                done(spent)

        self._network.scheduler.call_later(OWNER_TIMEOUT_S, reply, False)
        owner = self._owners[account]
        self._network.send(
            entry, owner, self._spend, owner, entry, account, reply
        )

    def _spend(
        self, owner: int, entry: int, account: str, reply: DecisionCallback
    ) -> None:
        spent = self._buckets[account].spend(self._network.scheduler.now_s)
        self._network.send(owner, entry, reply, spent)

    def restart(self, entry: int) -> None:
        """Restart an entry VM, which loses its state."""
        for account, owner in self._owners.items():
            if owner == entry:
                budget = self._budgets[account]
                now_s = self._network.scheduler.now_s
                self._buckets[account] = TokenBucket(budget, now_s)


@_register("equal_shares")
class EqualShares:
    """Give each VM the same fixed fraction of every budget."""

    def __init__(self, network: Network, budgets: Budgets) -> None:
        self._network = network
        self._budgets = budgets
        self._buckets: dict[tuple[int, str], TokenBucket] = {}
        for entry in range(network.entry_count):
            self.restart(entry)

    def decide(self, entry: int, account: str, done: DecisionCallback) -> None:
        """Decide on a request, immediately or later, and call `done`."""
        bucket = self._buckets[entry, account]
        done(bucket.spend(self._network.scheduler.now_s))

    def restart(self, entry: int) -> None:
        """Restart an entry VM, which loses its state."""
        count = self._network.entry_count
        for name, budget in self._budgets.items():
            leased = leased_budget(budget.rate_per_s, budget.burst)
            quota = BucketLimits(
                leased.rate_per_s / count, leased.burst / count
            )
            self._buckets[entry, name] = TokenBucket(
                quota, self._network.scheduler.now_s
            )


@_register("gossip")
class Gossip:
    """Count locally at each VM and periodically send peers the counts.

    Each VM starts with a full bucket and debits the tokens that its peers
    report.
    """

    def __init__(self, network: Network, budgets: Budgets) -> None:
        self._network = network
        self._budgets = budgets
        self._buckets: dict[tuple[int, str], TokenBucket] = {}
        self._spent: dict[int, dict[str, int]] = {}
        for entry in range(network.entry_count):
            self.restart(entry)
            offset_s = network.rng.uniform(0, GOSSIP_INTERVAL_S)
            network.scheduler.call_later(offset_s, self._broadcast, entry)

    def decide(self, entry: int, account: str, done: DecisionCallback) -> None:
        """Decide on a request, immediately or later, and call `done`."""
        spent = self._buckets[entry, account].spend(
            self._network.scheduler.now_s
        )
        if spent:
            counts = self._spent[entry]
            counts[account] = counts.get(account, 0) + 1
        done(spent)

    def restart(self, entry: int) -> None:
        """Restart an entry VM, which loses its state."""
        self._spent[entry] = {}
        for name, budget in self._budgets.items():
            bucket = TokenBucket(budget, self._network.scheduler.now_s)
            self._buckets[entry, name] = bucket

    def _broadcast(self, entry: int) -> None:
        counts, self._spent[entry] = self._spent[entry], {}
        for peer in range(self._network.entry_count):
            if counts and peer != entry and entry not in self._network.crashed:
                self._network.send(
                    entry, peer, self._apply_counts, peer, counts
                )
        self._network.scheduler.call_later(
            GOSSIP_INTERVAL_S, self._broadcast, entry
        )

    def _apply_counts(self, peer: int, counts: dict[str, int]) -> None:
        for account, count in counts.items():
            bucket = self._buckets[peer, account]
            bucket.debit(count, self._network.scheduler.now_s)
