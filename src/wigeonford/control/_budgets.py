"""Grant shares of client accounts' budgets while this replica leads.

What was granted is kept in memory only. A new leader waits out what its
predecessor can have granted, and a replica that no quorum has confirmed of
late grants nothing, since another may lead by now.
"""

from collections.abc import Callable, Mapping
import time
from typing import Final, Protocol

from wigeonford.control._state import State
from wigeonford.invariants import Checks, Invariant
from wigeonford.peer import (
    GrantRow,
    LeaderElsewhere,
    PeerServer,
    ShareReply,
    ShareReport,
    ShareRow,
)
from wigeonford.policy import (
    BucketShare,
    BudgetGrantor,
    leased_budget,
    ShareRequest,
)

VOUCHED_WITHIN_S: Final = 1.5
_EPSILON: Final = 1e-6


class Leadership(Protocol):
    """Tell whether this replica leads, and in which term."""

    @property
    def state(self) -> State:
        """Return the state as applied so far."""

    @property
    def leader(self) -> str | None:
        """Return the name of the leader, where one is known."""

    @property
    def is_leader(self) -> bool:
        """Tell whether this replica leads, as far as it knows."""

    @property
    def term(self) -> int:
        """Return the term, which rises with each change of leader."""

    def vouched_age_s(self) -> float | None:
        """Return how long ago a quorum confirmed the state, or None."""


class BudgetService:
    """Answer share reports; its state lives for one term of office."""

    def __init__(
        self,
        leadership: Leadership,
        checks: Checks,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._leadership = leadership
        self._checks = checks
        self._clock = clock
        self._term = -1
        self._since_s = 0.0
        self._inherited: frozenset[str] = frozenset()
        self._revision = -1
        self._budgets: Mapping[str, BucketShare] = {}
        self._grantors: dict[str, BudgetGrantor] = {}

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(ShareReport, self._answer)

    def observe(self, now_s: float) -> bool:
        """Note a change of office; tell whether grants may be made.

        Accounts that appear later were granted by nobody before, so the
        sooner a new leader observes, the fewer accounts have to wait.
        """
        age_s = self._leadership.vouched_age_s()
        if not self._leadership.is_leader or age_s is None:
            return False
        if age_s > VOUCHED_WITHIN_S:
            return False
        self._follow_config(now_s)
        if self._leadership.term != self._term:
            self._term = self._leadership.term
            self._since_s = now_s + VOUCHED_WITHIN_S
            self._inherited = frozenset(self._budgets)
            self._grantors.clear()
        return True

    def _follow_config(self, now_s: float) -> None:
        config = self._leadership.state.config
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

    async def _answer(self, message: ShareReport) -> ShareReply:
        now_s = self._clock()
        if not self.observe(now_s):
            raise LeaderElsewhere(self._leadership.leader)
        return ShareReply(
            tuple(
                self._grant(message.holder, row, now_s) for row in message.rows
            )
        )

    def _grant(self, holder: str, row: ShareRow, now_s: float) -> GrantRow:
        grantor = self._grantor(row.account, now_s)
        if grantor is None:
            return GrantRow(row.number, 0, 0, 0, False, ())
        request = ShareRequest(
            row.number,
            max(0, row.held),
            max(0, row.wanted),
            max(0, row.spare),
            max(0, row.returned_milli) / 1000,
            max(0, row.need),
        )
        grant = grantor.request(holder, request, now_s)
        parts = grantor.granted(now_s) + grantor.reserved()
        self._checks.require(
            parts <= 1 + _EPSILON,
            Invariant.RATE_NOT_EXCEEDED,
            f"{parts:.6f} of {row.account}'s budget is granted",
        )
        return GrantRow(
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
            inherited = account in self._inherited
            grantor = BudgetGrantor(
                budget,
                now_s,
                takes_over_at_s=self._since_s if inherited else None,
            )
            self._grantors[account] = grantor
        return grantor
