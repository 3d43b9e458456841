"""Grant quota fractions of client accounts' rates while being the leader.

Grants are stored in memory only. A new leader therefore waits until all
grants of its predecessor have expired. A leader without a recent
confirmation by a quorum grants nothing, since another replica may be the
leader by now.
"""

import asyncio
from collections.abc import Callable, Mapping
import time
from typing import Final

from wigeonford._tasks import cancel_task
from wigeonford.control._replica import Replica
from wigeonford.errors import WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.leases import BucketLimits
from wigeonford.messages.budget import (
    BudgetGrantRow,
    BudgetReply,
    BudgetRequest,
    BudgetRequestRow,
)
from wigeonford.peer import NotLeaderError, PeerServer
from wigeonford.policy import BudgetGrantor, leased_budget, QuotaRequest

WATCH_INTERVAL_S: Final = 0.05
ELECTION_POLL_INTERVAL_S: Final = 0.005
MAX_CONFIRMED_AGE_S: Final = 1.5
_EPSILON: Final = 1e-6


class BudgetService:
    """Reply to reports of rate demand; the state lasts for one Raft term."""

    def __init__(
        self,
        replica: Replica,
        checks: Checks,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replica = replica
        self._checks = checks
        self._log = log
        self._clock = clock
        self._task: asyncio.Task[None] | None = None
        self._term = -1
        self._takeover_at_s = 0.0
        self._inherited_accounts: frozenset[str] = frozenset()
        self._revision = -1
        self._budgets: Mapping[str, BucketLimits] = {}
        self._grantors: dict[str, BudgetGrantor] = {}

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(BudgetRequest, self._handle_report)

    async def start(self) -> None:
        """Start watching for changes of leadership."""
        self._task = asyncio.create_task(self._watch_leadership())

    async def stop(self) -> None:
        """Stop watching."""
        await cancel_task(self._task)

    async def _watch_leadership(self) -> None:
        while True:
            try:
                await self.begin_term()
            except WigeonfordError as exc:
                self._log.emit(Event.BUDGET_GRANTS_DELAYED, detail=exc.detail)
            has_no_leader = self._replica.leader is None
            await asyncio.sleep(
                ELECTION_POLL_INTERVAL_S if has_no_leader else WATCH_INTERVAL_S
            )

    async def begin_term(self) -> None:
        """Start granting if this replica has become the leader.

        The accounts known at this moment may have grants of the previous
        leader, which have to expire first. Accounts added later can't have
        any and need no wait. Telling the two apart requires a current
        state, so a quorum confirms it first.
        """
        term = self._replica.term
        if not self._replica.is_leader or term == self._term:
            return
        await self._replica.read_barrier()
        if not self._replica.is_leader or term != self._replica.term:
            return
        now_s = self._clock()
        self._grantors.clear()
        self._apply_config(now_s)
        self._takeover_at_s = now_s + MAX_CONFIRMED_AGE_S
        self._inherited_accounts = frozenset(self._budgets)
        self._term = term

    def _may_grant(self) -> bool:
        """Return whether no other replica can be the leader at this moment."""
        age_s = self._replica.confirmed_age_s()
        return (
            self._replica.is_leader
            and self._replica.term == self._term
            and age_s is not None
            and age_s <= MAX_CONFIRMED_AGE_S
        )

    def _apply_config(self, now_s: float) -> None:
        config = self._replica.state.config
        if config.revision == self._revision:
            return
        self._revision = config.revision
        self._budgets = {
            name: leased_budget(account.rate_per_s, account.burst)
            for name, account in config.objects.client_accounts.items()
        }
        for name, grantor in self._grantors.items():
            if name in self._budgets:
                grantor.resize(self._budgets[name], now_s)

    async def _handle_report(self, message: BudgetRequest) -> BudgetReply:
        now_s = self._clock()
        if not self._may_grant():
            raise NotLeaderError(self._replica.leader)
        self._apply_config(now_s)
        return BudgetReply(
            tuple(
                self._grant_row(message.holder, row, now_s)
                for row in message.rows
            )
        )

    def _grant_row(
        self, holder: str, row: BudgetRequestRow, now_s: float
    ) -> BudgetGrantRow:
        grantor = self._grantor(row.account, now_s)
        if grantor is None:
            return BudgetGrantRow(row.number, 0, 0, 0, False, ())
        request = QuotaRequest(
            row.number,
            max(0, row.held),
            max(0, row.wanted),
            max(0, row.spare),
            max(0, row.returned_milli) / 1000,
            max(0, row.need),
        )
        grant = grantor.request(holder, request, now_s)
        granted_fraction = grantor.granted(now_s) + grantor.reserved()
        self._checks.require(
            granted_fraction <= 1 + _EPSILON,
            Invariant.RATE_NOT_EXCEEDED,
            f"{granted_fraction:.6f} of {row.account}'s budget is granted",
        )
        return BudgetGrantRow(
            grant.number,
            grant.units,
            int(grant.tokens * 1000),
            grant.loan,
            grant.scarce,
            grant.lenders,
        )

    def _grantor(self, account: str, now_s: float) -> BudgetGrantor | None:
        budget = self._budgets.get(account)
        if budget is None:
            return None
        grantor = self._grantors.get(account)
        if grantor is None:
            is_inherited = account in self._inherited_accounts
            grantor = BudgetGrantor(
                budget,
                now_s,
                takes_over_at_s=self._takeover_at_s if is_inherited else None,
            )
            self._grantors[account] = grantor
        return grantor
