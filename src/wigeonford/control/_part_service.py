"""Grant parts of the client accounts' rates while this replica leads.

A part is for a VM that uses it all the time. The rest of a rate is a pool,
lent by the token to those that hear of an account only now and then.

Grants are kept in memory; which entry VMs may hold any is in the log. A new
leader renews what they report, and grants the rest once all of them have
reported or their leases have run out. A restarted VM holds nothing of what
its former run held.
"""

import asyncio
from collections.abc import Callable, Iterator
import time
from typing import Final

from wigeonford._tasks import end_task
from wigeonford.control._replica import Replica
from wigeonford.control._steering_commands import ChangeHolders
from wigeonford.deployment import Account, Deployment
from wigeonford.errors import WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.leases import (
    LeaseGrantor,
    LeaseRequest,
    pooled_part,
    TokenPool,
)
from wigeonford.messages.steering import (
    BorrowTokens,
    PartGrant,
    PartRequest,
    PartsAnswer,
    PartsReport,
    TokenLoan,
    TokensLent,
)
from wigeonford.peer import LeaderElsewhere, PeerServer

PART_LEASE_S: Final = 20.0
"""Longer than all of control may be without power in the fault plan."""
ENTRY_GONE_S: Final = 5.0
"""Entry VMs report twice a second; ten are lost."""
HOLDER_GONE_S: Final = 1.5 * PART_LEASE_S
"""When a silent holder's lease has run out, with room for clocks."""
SWEEP_INTERVAL_S: Final = 2.0
"""Holders that are gone only matter to the next leader."""
LEAD_FRESH_S: Final = 0.6
"""How long after a quorum confirmed a lead nobody else can have it; the
least time until an election is 0.7 s."""
_LAST_NUMBER: Final = 1 << 62


class PartService:
    """Answer reports; its state lives for one term of leadership."""

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
        self._since_s = 0.0
        self._unheard: set[str] = set()
        self._grantors: dict[str, LeaseGrantor] = {}
        self._pools: dict[str, TokenPool] = {}
        self._deployment: Deployment | None = None
        self._account_table: dict[str, Account] = {}
        self._entries: dict[str, tuple[str, float]] = {}
        self._task: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(PartsReport, self._answer)
        server.handle(BorrowTokens, self._lend)

    async def start(self) -> None:
        """Begin to drop entry VMs that are long gone."""
        self._task = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop dropping."""
        await end_task(self._task)

    async def _lead(self) -> None:
        """Begin a term if need be; raise `LeaderElsewhere`."""
        if not self._replica.is_leader:
            raise LeaderElsewhere(self._replica.leader)
        if self._term != self._replica.term:
            # Reading the holders needs all that was agreed before.
            await self._replica.confirm()
            self._begin_term()
        age_s = self._replica.vouched_age_s()
        if age_s is None or age_s > LEAD_FRESH_S:
            # It may have stood still while another was elected.
            await self._replica.confirm()
        if not self._replica.is_leader or self._term != self._replica.term:
            raise LeaderElsewhere(self._replica.leader)

    async def _lend(self, message: BorrowTokens) -> TokensLent:
        await self._lead()
        now_s = self._clock()
        accounts = self._accounts()
        return TokensLent(
            tuple(
                self._lend_of(accounts[name], tokens, now_s)
                for name, tokens in message.wanted.items()
                if name in accounts
            )
        )

    def _accounts(self) -> dict[str, Account]:
        """Return the accounts in force, by name."""
        deployment = self._replica.state.steering.deployment
        if deployment is not self._deployment:
            self._deployment = deployment
            accounts = deployment.accounts if deployment else ()
            self._account_table = {item.name: item for item in accounts}
        return self._account_table

    def _lend_of(
        self, account: Account, tokens: int, now_s: float
    ) -> TokenLoan:
        lent, after_s = self._pool_of(account, now_s).lend(tokens, now_s)
        return TokenLoan(account.name, lent, after_s)

    def _pool_of(self, account: Account, now_s: float) -> TokenPool:
        """Return an account's pool, of the size that is right now."""
        pool = self._pools.get(account.name)
        if pool is None:
            pool = self._pools[account.name] = TokenPool(now_s)
        grantor = self._grantor(account.name, now_s)
        part = 1.0 - grantor.capacity
        if grantor.knows_all(now_s):
            part = max(0.0, 1.0 - grantor.granted(now_s))
        pool.resize(account.rate_per_s, account.burst, part, now_s)
        return pool

    def _fill_pools(self) -> None:
        """Let tokens gather before they are asked for."""
        now_s = self._clock()
        for account in self._accounts().values():
            if account.rate_per_s > 0:
                self._pool_of(account, now_s)

    async def _answer(self, message: PartsReport) -> PartsAnswer:
        await self._lead()
        if message.entry not in self._replica.state.steering.holders:
            await self._replica.propose(ChangeHolders((message.entry,), ()))
        if not self._replica.is_leader or self._term != self._replica.term:
            raise LeaderElsewhere(self._replica.leader)
        now_s = self._clock()
        self._note_entry(message, now_s)
        grants = tuple(
            self._grant(message, request, now_s)
            for request in message.requests
        )
        self._note_heard(message.entry, now_s)
        return PartsAnswer(self._count_entries(now_s), grants)

    def _begin_term(self) -> None:
        term = self._replica.term
        if term == self._term or not self._replica.is_leader:
            return
        self._term = term
        self._since_s = self._clock()
        self._unheard = set(self._replica.state.steering.holders)
        self._grantors.clear()
        self._pools.clear()
        self._entries.clear()
        self._log.emit(
            Event.PARTS_TERM_BEGUN, term=term, unheard=sorted(self._unheard)
        )
        self._fill_pools()

    def _note_entry(self, message: PartsReport, now_s: float) -> None:
        known = self._entries.get(message.entry)
        self._entries[message.entry] = (message.incarnation, now_s)
        if known is None or known[0] == message.incarnation:
            return
        # The run before is over: this one has taken its place.
        holder = _holder(message.entry, known[0])
        for grantor in self._grantors.values():
            grantor.release(holder, _LAST_NUMBER)

    def _note_heard(self, entry: str, now_s: float) -> None:
        if entry not in self._unheard:
            return
        self._unheard.discard(entry)
        if not self._unheard:
            for grantor in self._grantors.values():
                grantor.know_all(now_s)
            self._log.emit(Event.PARTS_ALL_HEARD, term=self._term)

    def _count_entries(self, now_s: float) -> int:
        return sum(
            now_s - at_s <= ENTRY_GONE_S for _, at_s in self._entries.values()
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            if not self._replica.is_leader or self._term != (
                self._replica.term
            ):
                continue
            self._fill_pools()
            gone = tuple(sorted(self._gone(self._clock())))
            if not gone:
                continue
            try:
                await self._replica.propose(ChangeHolders((), gone))
            except WigeonfordError as exc:
                self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))
                continue
            for name in gone:
                self._entries.pop(name, None)
                self._note_heard(name, self._clock())

    def _gone(self, now_s: float) -> Iterator[str]:
        """Yield the holders whose leases have surely run out."""
        for name in self._replica.state.steering.holders:
            _, at_s = self._entries.get(name, ("", self._since_s))
            if now_s - max(at_s, self._since_s) > HOLDER_GONE_S:
                yield name

    def _grant(
        self, message: PartsReport, request: PartRequest, now_s: float
    ) -> PartGrant:
        grantor = self._grantor(request.account, now_s)
        grant = grantor.request(
            LeaseRequest(
                _holder(message.entry, message.incarnation),
                request.number,
                request.held,
                request.wanted,
            ),
            now_s,
        )
        return PartGrant(request.account, grant.number, grant.amount)

    def _grantor(self, account: str, now_s: float) -> LeaseGrantor:
        """Return an account's grantor, less what is kept for the pool."""
        grantor = self._grantors.get(account)
        if grantor is None:
            grantor = LeaseGrantor(
                1.0,
                PART_LEASE_S,
                now_s,
                takes_over=bool(self._unheard),
                surplus=True,
            )
            self._grantors[account] = grantor
        known = self._accounts().get(account)
        if known is not None:
            holders = len(self._replica.state.steering.holders)
            pooled = pooled_part(known.rate_per_s, holders)
            grantor.capacity = 1.0 - pooled
        return grantor


def _holder(entry: str, incarnation: str) -> str:
    return f"{entry}/{incarnation}"
