"""The service that leases quota fractions of accounts' rates to entry VMs.

A quota fraction is leased to an entry VM that uses it continuously. What is
not leased forms a pool, from which entry VMs with occasional requests of an
account borrow single tokens.

Only the leader grants leases. Grants are in memory; the names of the entry
VMs that may hold leases are in the log. A new leader renews the fractions
that entry VMs report. It grants the remainder once all holders have reported
or their leases have expired. A restarted VM has no leases of its former run.
"""

import asyncio
from collections.abc import Callable, Iterator
import time
from typing import Final

from wigeonford._tasks import cancel_task
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
"""Longer than the longest loss of power of all control replicas in the
fault plan."""
ENTRY_TIMEOUT_S: Final = 5.0
"""Ten missed reports; entry VMs report twice a second."""
HOLDER_EXPIRY_S: Final = 1.5 * QUOTA_LEASE_S
"""Silence after which a holder's lease has expired, with a margin for clock
drift."""
SWEEP_INTERVAL_S: Final = 2.0
"""Can be long, since expired holders only delay the next leader."""
LEADERSHIP_VALID_S: Final = 0.6
"""How long after a quorum confirmed the leader no other replica can have been
elected; the minimum election timeout is 0.7 s."""
_MAX_REQUEST_NUMBER: Final = 1 << 62


class QuotaService:
    """Grant leases and lend tokens; the state is reset with each term."""

    def __init__(
        self,
        replica: Replica,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replica = replica
        self._log = log
        self._clock = clock
        self._term = -1
        self._term_started_s = 0.0
        self._unreported_holders: set[str] = set()
        self._grantors: dict[str, LeaseGrantor] = {}
        self._pools: dict[str, TokenPool] = {}
        self._deployment: Deployment | None = None
        self._accounts_by_name: dict[str, Account] = {}
        self._entries: dict[str, tuple[str, float]] = {}
        self._task: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(QuotaLeaseReport, self._on_report)
        server.handle(TokenLoanRequest, self._on_borrow)

    async def start(self) -> None:
        """Start to remove holders whose leases have expired."""
        self._task = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop removing holders."""
        await cancel_task(self._task)

    async def _require_leadership(self) -> None:
        """Raise `NotLeaderError` unless this replica is the leader.

        Also reset the state if a new term has begun.
        """
        if not self._replica.is_leader:
            raise NotLeaderError(self._replica.leader)
        if self._term != self._replica.term:
            # All entries committed before must be applied, so that the
            # holders are complete.
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
        lent, after_s = self._resized_pool(account, now_s).lend(tokens, now_s)
        return TokenLoan(account.name, lent, after_s)

    def _resized_pool(self, account: Account, now_s: float) -> TokenPool:
        """Return an account's pool, resized to the fraction not leased."""
        pool = self._pools.get(account.name)
        if pool is None:
            pool = self._pools[account.name] = TokenPool(now_s)
        grantor = self._grantor(account.name, now_s)
        fraction = 1.0 - grantor.capacity
        if grantor.knows_all_grants(now_s):
            fraction = max(0.0, 1.0 - grantor.granted(now_s))
        pool.resize(account.rate_per_s, account.burst, fraction, now_s)
        return pool

    def _fill_pools(self) -> None:
        """Let the pools accrue tokens before the first request for them."""
        now_s = self._clock()
        for account in self._accounts().values():
            if account.rate_per_s > 0:
                self._resized_pool(account, now_s)

    async def _on_report(self, message: QuotaLeaseReport) -> QuotaLeaseReply:
        await self._require_leadership()
        if message.entry_name not in self._replica.state.steering.holders:
            await self._replica.propose(
                ChangeHolders((message.entry_name,), ())
            )
        if not self._replica.is_leader or self._term != self._replica.term:
            raise NotLeaderError(self._replica.leader)
        now_s = self._clock()
        self._record_entry(message, now_s)
        grants = tuple(
            self._grant(message, request, now_s)
            for request in message.requests
        )
        self._mark_reported(message.entry_name, now_s)
        return QuotaLeaseReply(self._count_entries(now_s), grants)

    def _begin_term(self) -> None:
        term = self._replica.term
        if term == self._term or not self._replica.is_leader:
            return
        self._term = term
        self._term_started_s = self._clock()
        self._unreported_holders = set(self._replica.state.steering.holders)
        self._grantors.clear()
        self._pools.clear()
        self._entries.clear()
        self._log.emit(
            Event.PARTS_TERM_BEGUN,
            term=term,
            unheard=sorted(self._unreported_holders),
        )
        self._fill_pools()

    def _record_entry(self, message: QuotaLeaseReport, now_s: float) -> None:
        known = self._entries.get(message.entry_name)
        self._entries[message.entry_name] = (message.incarnation, now_s)
        if known is None or known[0] == message.incarnation:
            return
        # The VM has restarted: release the leases of its former run.
        holder = _holder_id(message.entry_name, known[0])
        for grantor in self._grantors.values():
            grantor.release(holder, _MAX_REQUEST_NUMBER)

    def _mark_reported(self, entry: str, now_s: float) -> None:
        if entry not in self._unreported_holders:
            return
        self._unreported_holders.discard(entry)
        if not self._unreported_holders:
            for grantor in self._grantors.values():
                grantor.end_takeover(now_s)
            self._log.emit(Event.PARTS_ALL_HEARD, term=self._term)

    def _count_entries(self, now_s: float) -> int:
        return sum(
            now_s - at_s <= ENTRY_TIMEOUT_S
            for _, at_s in self._entries.values()
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if not self._replica.is_leader or self._term != (
                self._replica.term
            ):
                continue
            self._fill_pools()
            expired = tuple(sorted(self._expired_holders(self._clock())))
            if not expired:
                continue
            try:
                await self._replica.propose(ChangeHolders((), expired))
            except WigeonfordError as exc:
                self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))
                continue
            for name in expired:
                self._entries.pop(name, None)
                self._mark_reported(name, self._clock())

    def _expired_holders(self, now_s: float) -> Iterator[str]:
        """Yield the holders whose leases have certainly expired."""
        for name in self._replica.state.steering.holders:
            _, at_s = self._entries.get(name, ("", self._term_started_s))
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
                request.held,
                request.wanted,
            ),
            now_s,
        )
        return QuotaLeaseGrant(request.account, grant.number, grant.amount)

    def _grantor(self, account: str, now_s: float) -> LeaseGrantor:
        """Return an account's grantor, without the fraction for the pool."""
        grantor = self._grantors.get(account)
        if grantor is None:
            grantor = LeaseGrantor(
                1.0,
                QUOTA_LEASE_S,
                now_s,
                takes_over=bool(self._unreported_holders),
                surplus=True,
            )
            self._grantors[account] = grantor
        known = self._accounts().get(account)
        if known is not None:
            holders = len(self._replica.state.steering.holders)
            pooled = pooled_fraction(known.rate_per_s, holders)
            grantor.capacity = 1.0 - pooled
        return grantor


def _holder_id(entry: str, incarnation: str) -> str:
    return f"{entry}/{incarnation}"
