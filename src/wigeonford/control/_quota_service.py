"""The service that leases quota fractions of accounts' rates to entry VMs.

A quota fraction is leased to an entry VM that uses it continuously. What is
not leased forms a pool, from which entry VMs with occasional requests of an
account borrow single tokens.

Only the leader grants leases. Grants are in memory; the names of the entry
VMs that may hold leases are in the Raft log. A new leader renews the quota
fractions that entry VMs report. It grants the remainder once all holders have
reported or their leases have expired. A restarted VM has no leases of its
former run.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final

from wigeonford._tasks import boot_time_s, cancel_task, run_supervised
from wigeonford.control._replica import Replica
from wigeonford.control._steering_commands import ChangeHolders
from wigeonford.deployment import Account, Deployment
from wigeonford.errors import WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.leases import (
    LeaseGrantor,
    LeaseRequest,
    pooled_fraction,
    TokenPool,
)
from wigeonford.messages.steering import (
    QuotaLeaseGrant,
    QuotaLeaseReply,
    QuotaLeaseReport,
    QuotaLeaseRequest,
    TokenLoan,
    TokenLoanReply,
    TokenLoanRequest,
)
from wigeonford.peer import NotLeaderError, PeerServer

QUOTA_LEASE_S: Final = 20.0
"""Leases outlast the longest power loss of all control replicas in the fault
plan."""
ENTRY_TIMEOUT_S: Final = 5.0
"""Ten missed reports; entry VMs report twice a second."""
HOLDER_EXPIRY_S: Final = 1.5 * QUOTA_LEASE_S
"""A holder that has not reported for so long has no lease left; half a lease
term is the margin for clock drift."""
SWEEP_INTERVAL_S: Final = 2.0
"""Can be long, since an expired holder that is still in the Raft log only
delays the grants of the next leader."""
LEADERSHIP_VALID_S: Final = 0.6
"""For so long after a quorum has confirmed the leader, no other replica can
have been elected, because the minimum election timeout is 0.7 s."""
_MAX_REQUEST_NUMBER: Final = 1 << 62
"""Later than any request."""


class QuotaService:
    """Lease quota fractions and lend tokens; each term resets the state."""

    def __init__(
        self,
        replica: Replica,
        log: EventLog,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._replica = replica
        self._log = log
        self._clock = clock
        self._term = -1
        self._term_started_s = 0.0
        self._holders_yet_to_report: set[str] = set()
        self._grantors: dict[str, LeaseGrantor] = {}
        self._pools: dict[str, TokenPool] = {}
        self._deployment: Deployment | None = None
        self._accounts_by_name: dict[str, Account] = {}
        self._reports_by_entry: dict[str, tuple[str, float]] = {}
        self._task: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(QuotaLeaseReport, self._on_report)
        server.handle(TokenLoanRequest, self._on_borrow)

    async def start(self) -> None:
        """Start to remove holders whose leases have expired."""
        self._task = asyncio.create_task(
            run_supervised(self._sweep, self._log)
        )

    async def stop(self) -> None:
        """Stop removing holders."""
        await cancel_task(self._task)

    async def _require_leadership(self) -> None:
        """Reset the state if a new term has begun, and check leadership.

        Raise `NotLeaderError` unless this replica is the leader.
        """
        if not self._replica.is_leader:
            raise NotLeaderError(self._replica.leader)
        if self._term != self._replica.term:
            # All log entries committed before must be applied, so that
            # the holders are complete.
            await self._replica.read_barrier()
            self._begin_term()
        age_s = self._replica.confirmed_age_s()
        if age_s is None or age_s > LEADERSHIP_VALID_S:
            # This process may have been suspended during an election.
            await self._replica.read_barrier()
        if not self._replica.is_leader or self._term != self._replica.term:
            raise NotLeaderError(self._replica.leader)

    async def _on_borrow(self, message: TokenLoanRequest) -> TokenLoanReply:
        await self._require_leadership()
        now_s = self._clock()
        accounts = self._accounts()
        return TokenLoanReply(
            tuple(
                self._lend_from_pool(accounts[name], tokens, now_s)
                for name, tokens in message.wanted.items()
                if name in accounts
            )
        )

    def _accounts(self) -> dict[str, Account]:
        """Return the accounts of the current deployment by name."""
        deployment = self._replica.state.steering.deployment
        if deployment is not self._deployment:
            self._deployment = deployment
            accounts = deployment.accounts if deployment else ()
            self._accounts_by_name = {item.name: item for item in accounts}
        return self._accounts_by_name

    def _lend_from_pool(
        self, account: Account, tokens: int, now_s: float
    ) -> TokenLoan:
        lent, retry_after_s = self._get_resized_pool(account, now_s).lend(
            tokens, now_s
        )
        return TokenLoan(account.name, lent, retry_after_s)

    def _get_resized_pool(self, account: Account, now_s: float) -> TokenPool:
        """Return an account's pool, resized to the fraction not leased."""
        pool = self._pools.get(account.name)
        if pool is None:
            pool = self._pools[account.name] = TokenPool(now_s)
        grantor = self._grantor(account.name, now_s)
        # Until all grants are known, only the fraction that no leader leases
        # may be lent.
        fraction = 1.0 - grantor.capacity
        if grantor.knows_all_grants(now_s):
            fraction = max(0.0, 1.0 - grantor.granted(now_s))
        pool.resize(account.rate_per_s, account.burst, fraction, now_s)
        return pool

    def _refresh_pools(self) -> None:
        """Resize the pools of all accounts that have a rate.

        Create the pools early, so that they have tokens at the first loan
        request.
        """
        now_s = self._clock()
        for account in self._accounts().values():
            if account.rate_per_s > 0:
                self._get_resized_pool(account, now_s)

    async def _on_report(self, message: QuotaLeaseReport) -> QuotaLeaseReply:
        await self._require_leadership()
        if message.entry_name not in self._replica.state.steering.holders:
            await self._replica.propose(
                ChangeHolders((message.entry_name,), ())
            )
        if not self._replica.is_leader or self._term != self._replica.term:
            raise NotLeaderError(self._replica.leader)
        now_s = self._clock()
        self._record_report(message, now_s)
        grants = tuple(
            self._grant(message, request, now_s)
            for request in message.requests
        )
        self._stop_awaiting(message.entry_name, now_s)
        return QuotaLeaseReply(self._count_recent_entries(now_s), grants)

    def _begin_term(self) -> None:
        term = self._replica.term
        if term == self._term or not self._replica.is_leader:
            return
        self._term = term
        self._term_started_s = self._clock()
        self._holders_yet_to_report = set(self._replica.state.steering.holders)
        self._grantors.clear()
        self._pools.clear()
        self._reports_by_entry.clear()
        self._log.emit(
            Event.PARTS_TERM_BEGUN,
            term=term,
            unheard=sorted(self._holders_yet_to_report),
        )
        self._refresh_pools()

    def _record_report(self, message: QuotaLeaseReport, now_s: float) -> None:
        previous = self._reports_by_entry.get(message.entry_name)
        self._reports_by_entry[message.entry_name] = (
            message.incarnation,
            now_s,
        )
        if previous is None or previous[0] == message.incarnation:
            return
        # The VM has restarted: release the leases of its former run.
        holder = _holder_id(message.entry_name, previous[0])
        for grantor in self._grantors.values():
            grantor.release(holder, _MAX_REQUEST_NUMBER)

    def _stop_awaiting(self, entry_name: str, now_s: float) -> None:
        if entry_name not in self._holders_yet_to_report:
            return
        self._holders_yet_to_report.discard(entry_name)
        if not self._holders_yet_to_report:
            for grantor in self._grantors.values():
                grantor.end_takeover(now_s)
            self._log.emit(Event.PARTS_ALL_HEARD, term=self._term)

    def _count_recent_entries(self, now_s: float) -> int:
        return sum(
            now_s - at_s <= ENTRY_TIMEOUT_S
            for _, at_s in self._reports_by_entry.values()
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if not self._replica.is_leader or self._term != (
                self._replica.term
            ):
                continue
            self._refresh_pools()
            expired = tuple(sorted(self._expired_holders(self._clock())))
            if not expired:
                continue
            try:
                await self._replica.propose_in_term(
                    ChangeHolders((), expired), self._term
                )
            except WigeonfordError as exc:
                self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))
                continue
            for name in expired:
                self._reports_by_entry.pop(name, None)
                self._stop_awaiting(name, self._clock())

    def _expired_holders(self, now_s: float) -> Iterator[str]:
        """Yield the holders whose leases have certainly expired."""
        for name in self._replica.state.steering.holders:
            _, at_s = self._reports_by_entry.get(
                name, ("", self._term_started_s)
            )
            if now_s - max(at_s, self._term_started_s) > HOLDER_EXPIRY_S:
                yield name

    def _grant(
        self,
        message: QuotaLeaseReport,
        request: QuotaLeaseRequest,
        now_s: float,
    ) -> QuotaLeaseGrant:
        grantor = self._grantor(request.account, now_s)
        grant = grantor.request(
            LeaseRequest(
                _holder_id(message.entry_name, message.incarnation),
                request.number,
                _clamp_fraction(request.held),
                _clamp_fraction(request.wanted),
            ),
            now_s,
        )
        return QuotaLeaseGrant(request.account, grant.number, grant.amount)

    def _grantor(self, account_name: str, now_s: float) -> LeaseGrantor:
        """Return an account's grantor.

        Its capacity excludes the pool's fraction.
        """
        grantor = self._grantors.get(account_name)
        if grantor is None:
            grantor = LeaseGrantor(
                1.0,
                QUOTA_LEASE_S,
                now_s,
                takes_over=bool(self._holders_yet_to_report),
                surplus=True,
            )
            self._grantors[account_name] = grantor
        account = self._accounts().get(account_name)
        if account is not None:
            holders = len(self._replica.state.steering.holders)
            pooled = pooled_fraction(account.rate_per_s, holders)
            grantor.capacity = 1.0 - pooled
        return grantor


def _clamp_fraction(stated: float) -> float:
    """Return a fraction from 0 to 1; NaN counts as 0."""
    return min(1.0, max(0.0, stated))


def _holder_id(entry_name: str, incarnation: str) -> str:
    return f"{entry_name}/{incarnation}"
