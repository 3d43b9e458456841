"""Ask the leader for parts of the accounts' rates, again and again."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import itertools
import time
from typing import Final

from wigeonford._tasks import end_task
from wigeonford.errors import Code, PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    BorrowTokens,
    EntryStatus,
    PartRequest,
    PartsAnswer,
    PartsReport,
    TokenLoan,
    TokensLent,
)
from wigeonford.peer import LeaderElsewhere, PeerClient
from wigeonford.settings import parse_address
from wigeonford.steer._follower import Connect, ViewFollower
from wigeonford.steer._loans import LOAN_TIMEOUT_S
from wigeonford.steer._rates import AccountRates

REPORT_INTERVAL_S: Final = 0.4
"""Parts that are not used move to others within a second."""
SEARCH_S: Final = 0.15
"""Pause between looks for a leader; a round trip between regions."""
REPORTS_PER_S: Final = 250.0
"""What all entry VMs of a large fleet send the leader at most; there, most
requests borrow from the pool and few parts are held."""
REPORT_TIMEOUT_S: Final = 1.0
"""Several round trips between regions."""


class PartReporter:
    """Find the leader and renew the leases."""

    def __init__(
        self,
        follower: ViewFollower,
        rates: AccountRates,
        status: Callable[[], EntryStatus],
        connect: Connect,
        log: EventLog,
    ) -> None:
        self._follower = follower
        self._rates = rates
        self._status = status
        self._connect = connect
        self._log = log
        self._leader: str | None = None
        self._client: PeerClient | None = None
        self._turns = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to report."""
        self._rates.lost_at_s = time.monotonic()
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._follow_leader()),
        ]

    async def stop(self) -> None:
        """Give everything back and stop reporting."""
        for task in self._tasks:
            await end_task(task)
        if self._rates.in_touch:
            await self._send(self._rates.give_back(time.monotonic()))
        await self._drop_client()

    async def borrow(self, wanted: Mapping[str, int]) -> tuple[TokenLoan, ...]:
        """Ask the leader for tokens by account; raise `PeerError`."""
        if self._client is None or not self._rates.in_touch:
            raise PeerError(Code.NOT_LEADER, "no leader is known")
        message = BorrowTokens(self._status().name, dict(wanted))
        answer = await self._client.request(message, LOAN_TIMEOUT_S)
        assert isinstance(answer, TokensLent), "the answer to a loan"
        return answer.loans

    async def _run(self) -> None:
        while True:
            if self._follower.view is not None:
                await self._report()
            await asyncio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return how long until the next report."""
        if not self._rates.in_touch:
            return SEARCH_S
        entries = len(self._follower.running_entries())
        return max(REPORT_INTERVAL_S, entries / REPORTS_PER_S)

    async def _follow_leader(self) -> None:
        """Turn to a new leader at once; what waits for the old one fails."""
        news = self._follower.leader_news
        while True:
            await news.wait()
            news.clear()
            if self._leader != self._follower.leader:
                await self._drop_client()

    async def _report(self) -> None:
        view = self._follower.view
        assert view is not None, "reported on a view"
        accounts = {item.name: item for item in view.deployment.accounts}
        roster = self._follower.running_entries()
        self._rates.follow(accounts, len(roster))
        await self._send(self._rates.requests(accounts, time.monotonic()))

    async def _send(self, requests: Iterable[PartRequest]) -> None:
        status = self._status()
        report = PartsReport(status.name, status.incarnation, tuple(requests))
        try:
            answer = await self._ask(report)
        except LeaderElsewhere as exc:
            await self._drop_client()
            self._note(False, str(exc))
            self._leader = exc.leader
            return
        except PeerError as exc:
            await self._drop_client()
            self._note(False, str(exc))
            return
        for grant in answer.grants:
            self._rates.accept(grant)
        self._note(True, self._leader or "")

    def _note(self, granted: bool, detail: str) -> None:
        if granted == self._rates.in_touch:
            return
        self._rates.in_touch = granted
        self._rates.lost_at_s = time.monotonic()
        event = Event.PARTS_REGAINED if granted else Event.PARTS_LOST
        self._log.emit(event, detail=detail)

    async def _ask(self, report: PartsReport) -> PartsAnswer:
        if self._client is None:
            self._client = self._connect(parse_address(self._find_leader()))
        answer = await self._client.request(report, REPORT_TIMEOUT_S)
        assert isinstance(answer, PartsAnswer), "the answer to a report"
        return answer

    def _find_leader(self) -> str:
        self._leader = self._leader or self._follower.leader
        if self._leader is None:
            # A replica in touch knows the leader; any other may be cut off.
            addresses = (
                sorted(self._follower.in_touch) or self._follower.addresses
            )
            self._leader = addresses[next(self._turns) % len(addresses)]
        return self._leader

    async def _drop_client(self) -> None:
        self._leader = None
        if self._client is not None:
            await self._client.close()
            self._client = None
