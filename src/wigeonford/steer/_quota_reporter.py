"""Renew the leases of the accounts' rates with the leader."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
import itertools
from typing import Final

from wigeonford._tasks import boot_time_s, cancel_task, run_supervised
from wigeonford.errors import Code, PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    EntryStatus,
    QuotaLeaseReply,
    QuotaLeaseReport,
    QuotaLeaseRequest,
    TokenLoan,
    TokenLoanReply,
    TokenLoanRequest,
)
from wigeonford.peer import NotLeaderError, PeerClient
from wigeonford.settings import is_address, parse_address
from wigeonford.steer._follower import Connect, ViewFollower
from wigeonford.steer._loans import LOAN_TIMEOUT_S
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._replica_link import LATE_S

REPORT_INTERVAL_S: Final = 0.4
"""Fractions that are not used move to other VMs within a second."""
LEADER_RETRY_S: Final = 0.15
"""Pause between attempts to find a leader; a round trip between regions."""
MAX_REPORTS_PER_S: Final = 250.0
"""Reports that all entry VMs of a large fleet together send to the leader. In
such a fleet, most requests borrow tokens and few fractions are leased."""
RELEASE_TIMEOUT_S: Final = 1.0
"""How long a stop waits for the reply to its last report."""


class QuotaReporter:
    """Find the leader and renew the leases of quota fractions."""

    def __init__(
        self,
        follower: ViewFollower,
        rates: AccountRates,
        status: Callable[[], EntryStatus],
        connect: Connect,
        log: EventLog,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._follower = follower
        self._rates = rates
        self._status = status
        self._connect = connect
        self._log = log
        self._clock = clock
        self._leader: str | None = None
        self._client: PeerClient | None = None
        self._address_counter = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start reporting."""
        self._rates.leader_lost_at_s = self._clock()
        self._tasks = [
            asyncio.create_task(run_supervised(self._run, self._log)),
            asyncio.create_task(
                run_supervised(self._follow_leader, self._log)
            ),
        ]

    async def stop(self) -> None:
        """Return all leases and stop reporting."""
        for task in self._tasks:
            await cancel_task(task)
        if self._rates.leader_connected:
            await self._send_report(
                self._rates.release_all(self._clock()), RELEASE_TIMEOUT_S
            )
        await self._drop_client()

    async def borrow(
        self, token_counts: Mapping[str, int]
    ) -> tuple[TokenLoan, ...]:
        """Request tokens by account from the leader; raise `PeerError`."""
        if self._client is None or not self._rates.leader_connected:
            raise PeerError(Code.NOT_LEADER, "no leader is known")
        message = TokenLoanRequest(self._status().name, dict(token_counts))
        reply = await self._client.request(message, LOAN_TIMEOUT_S)
        assert isinstance(reply, TokenLoanReply), "the reply to a loan request"
        return reply.loans

    async def _run(self) -> None:
        while True:
            if self._follower.view is not None:
                await self._report_demand()
            await asyncio.sleep(self._pause_s())

    def _pause_s(self) -> float:
        """Return how long until the next report."""
        if not self._rates.leader_connected:
            return LEADER_RETRY_S
        vm_count = len(self._follower.running_entries())
        return max(REPORT_INTERVAL_S, vm_count / MAX_REPORTS_PER_S)

    async def _follow_leader(self) -> None:
        """Disconnect from a former leader at once to fail its requests."""
        leader_changed = self._follower.leader_changed
        while True:
            await leader_changed.wait()
            leader_changed.clear()
            if self._leader != self._follower.leader:
                await self._drop_client()

    async def _report_demand(self) -> None:
        view = self._follower.view
        assert view is not None, "reports need a view"
        accounts = {item.name: item for item in view.deployment.accounts}
        entries = self._follower.running_entries()
        self._rates.update_accounts(accounts, len(entries))
        await self._send_report(
            self._rates.build_requests(accounts, self._clock())
        )

    async def _send_report(
        self, requests: Iterable[QuotaLeaseRequest], timeout_s: float = LATE_S
    ) -> None:
        status = self._status()
        report = QuotaLeaseReport(
            status.name, status.incarnation, tuple(requests)
        )
        try:
            reply = await self._request_grants(report, timeout_s)
        except NotLeaderError as exc:
            await self._drop_client()
            self._set_leader_connected(False, str(exc))
            if exc.leader is not None and is_address(exc.leader):
                self._leader = exc.leader
            return
        except Exception as exc:
            if not isinstance(exc, PeerError):
                self._log.emit(Event.TASK_FAILED, exc_info=exc)
            await self._drop_client()
            self._set_leader_connected(False, str(exc))
            return
        for grant in reply.grants:
            self._rates.apply_grant(grant)
        self._set_leader_connected(True, self._leader or "")

    def _set_leader_connected(self, is_connected: bool, detail: str) -> None:
        if is_connected == self._rates.leader_connected:
            return
        self._rates.leader_connected = is_connected
        self._rates.leader_lost_at_s = self._clock()
        event = Event.PARTS_REGAINED if is_connected else Event.PARTS_LOST
        self._log.emit(event, detail=detail)

    async def _request_grants(
        self, report: QuotaLeaseReport, timeout_s: float
    ) -> QuotaLeaseReply:
        if self._client is None:
            self._client = self._connect(parse_address(self._find_leader()))
        reply = await self._client.request(report, timeout_s)
        assert isinstance(reply, QuotaLeaseReply), "the reply to a report"
        return reply

    def _find_leader(self) -> str:
        self._leader = self._leader or self._follower.leader
        if self._leader is None:
            # A connected replica knows the leader; others may be cut off.
            addresses = (
                sorted(self._follower.connected_replicas)
                or self._follower.addresses
            )
            self._leader = addresses[
                next(self._address_counter) % len(addresses)
            ]
        return self._leader

    async def _drop_client(self) -> None:
        self._leader = None
        if self._client is not None:
            await self._client.close()
            self._client = None
