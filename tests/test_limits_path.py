"""The leader's budget service and the quota limiter of an entry VM."""

import asyncio
import dataclasses
import io
import logging
from pathlib import Path
import tempfile
import time
from typing import Any
import unittest

from wigeonford.bench import load_deployment, LocalFleet
from wigeonford.bench._settings import BENCH_SECRETS
from wigeonford.entry import EntryConfig, LeasedQuotaLimiter
from wigeonford.errors import Code, PeerError, RequestRejected
from wigeonford.events import configure_logging, EventLog
from wigeonford.fleet import BudgetService
from wigeonford.http import fetch
from wigeonford.invariants import Checks, InvariantBreach, OnBreach
from wigeonford.messages.budget import (
    BudgetReply,
    BudgetRequest,
    BudgetRequestRow,
    LoanReply,
    LoanRequest,
)
from wigeonford.metrics import Metrics
from wigeonford.model import ObjectSet
from wigeonford.peer import NotLeaderError, PeerClient
from wigeonford.policy import LoanGrant, QuotaGrant, QuotaRequest

OBJECTS = load_deployment("guild").objects
ACCOUNT = "guild-office"
EMPTY = ObjectSet({})


@dataclasses.dataclass
class StandInConfig:
    """Hold objects at a revision."""

    revision: int
    objects: ObjectSet


class StandInReplica:
    """Be the leader or not, as the test sets."""

    def __init__(self, objects: ObjectSet) -> None:
        self.is_leader = True
        self.term = 1
        self.leader: str | None = "other"
        self.age_s: float | None = 0.0
        self.config = StandInConfig(1, objects)

    @property
    def state(self) -> Any:
        return self

    async def read_barrier(self) -> None:
        return

    def confirmed_age_s(self) -> float | None:
        return self.age_s


def _checks() -> Checks:
    return Checks(EventLog(), Metrics(), OnBreach.REFUSE)


class BudgetServiceTest(unittest.IsolatedAsyncioTestCase):
    """Grant only as the leader, once a predecessor's grants expired."""

    def setUp(self) -> None:
        configure_logging(io.StringIO(), logging.CRITICAL)
        self.now_s = 1000.0
        self.replica = StandInReplica(EMPTY)
        replica: Any = self.replica
        self.service = BudgetService(
            replica, _checks(), EventLog(), lambda: self.now_s
        )
        self.numbers = iter(range(1, 100))

    async def request_units(self, holder: str = "a/1") -> int:
        row = BudgetRequestRow(
            ACCOUNT, next(self.numbers), 0, 500_000, 0, 0, 0
        )
        reply = await self.service._handle_report(
            BudgetRequest(holder, (row,))
        )
        assert isinstance(reply, BudgetReply), "a report gets a BudgetReply"
        return reply.rows[0].units

    async def test_unknown_account_gets_nothing(self) -> None:
        await self.service.begin_term()
        self.assertEqual(await self.request_units(), 0)

    async def test_account_that_appears_while_leading_need_not_wait(
        self,
    ) -> None:
        await self.service.begin_term()
        self.replica.config = StandInConfig(2, OBJECTS)
        self.assertEqual(await self.request_units(), 500_000)

    async def test_new_leader_waits_out_its_predecessor(self) -> None:
        self.replica.config = StandInConfig(2, OBJECTS)
        await self.service.begin_term()
        self.assertEqual(await self.request_units(), 0)
        self.now_s += 7.75
        self.assertEqual(await self.request_units(), 0)
        self.now_s += 0.1
        self.assertEqual(await self.request_units(), 500_000)
        self.replica.term = 2
        with self.assertRaises(NotLeaderError):
            await self.request_units("b/1")
        await self.service.begin_term()
        self.assertEqual(await self.request_units("b/1"), 0)

    async def test_only_a_confirmed_leader_grants(self) -> None:
        await self.service.begin_term()
        for is_leader, age_s in ((False, 0.0), (True, None), (True, 1.6)):
            with self.subTest(is_leader=is_leader, age_s=age_s):
                self.replica.is_leader = is_leader
                self.replica.age_s = age_s
                with self.assertRaises(NotLeaderError):
                    await self.request_units()


class StandInLinks:
    """Reply to reports and loan requests as the test sets."""

    holder = "a/1"

    def __init__(self) -> None:
        self.reserve_loan: int | None = 0
        self.lenders: tuple[str, ...] = ()
        self.lendable_tokens: dict[str, int] = {}
        self.report_count = 0

    def update_roster(self, members: object) -> None:
        return

    async def close(self) -> None:
        return

    async def report(
        self, requests: dict[str, QuotaRequest]
    ) -> dict[str, QuotaGrant]:
        self.report_count += 1
        await asyncio.sleep(0.01)
        if self.reserve_loan is None:
            raise PeerError(Code.NOT_LEADER)
        return {
            name: QuotaGrant(
                request.number,
                0,
                loan=min(request.need, self.reserve_loan),
                lenders=self.lenders,
            )
            for name, request in requests.items()
        }

    async def borrow(
        self, lender: str, message: LoanRequest
    ) -> LoanGrant | None:
        tokens = self.lendable_tokens.get(lender)
        return None if tokens is None else LoanGrant(tokens, 0.5)


class LimiterTest(unittest.IsolatedAsyncioTestCase):
    """Wait for a loan, but reject requests in time."""

    async def asyncSetUp(self) -> None:
        configure_logging(io.StringIO(), logging.CRITICAL)
        self.links = StandInLinks()
        links: Any = self.links
        self.limiter = LeasedQuotaLimiter(
            links, _checks(), Metrics(), EventLog()
        )
        self.configure(OBJECTS)
        self.addAsyncCleanup(self.limiter.stop)

    def configure(self, objects: ObjectSet) -> None:
        self.limiter.reconfigure(EntryConfig(1, objects, {}, {}))

    async def expect_rejection(self, wait_s: float = 60.0) -> RequestRejected:
        with self.assertRaises(RequestRejected) as caught:
            await self.limiter.spend(ACCOUNT, time.monotonic() + wait_s)
        return caught.exception

    async def test_request_waits_for_a_loan_of_the_reserve(self) -> None:
        self.links.reserve_loan = 1
        token = await self.limiter.spend(ACCOUNT, time.monotonic() + 60)
        await self.limiter.renew(token, time.monotonic() + 60)
        self.assertEqual(self.links.report_count, 1)

    async def test_peer_lends_what_the_reserve_has_not(self) -> None:
        self.links.lenders = ("b/1", "c/1")
        self.links.lendable_tokens = {"c/1": 1}
        await self.limiter.spend(ACCOUNT, time.monotonic() + 60)

    async def test_last_known_lender_helps_while_nobody_leads(self) -> None:
        self.links.lenders = ("b/1",)
        await self.expect_rejection(0.1)
        self.links.reserve_loan = None
        self.links.lendable_tokens = {"b/1": 2}
        await self.limiter.spend(ACCOUNT, time.monotonic() + 60)

    async def test_refusal_is_final_and_says_when_to_come_back(self) -> None:
        for wait_s in (60.0, 0.05):
            rejection = await self.expect_rejection(wait_s)
            self.assertIs(rejection.code, Code.SHARE_UNAVAILABLE)
            self.assertEqual(rejection.retry_after_s, 1.0)

    async def test_old_token_is_replaced_before_dispatch(self) -> None:
        self.links.reserve_loan = 1
        token = await self.limiter.spend(ACCOUNT, time.monotonic() + 60)
        token.spent_at_s -= 1.0
        self.links.reserve_loan = 0
        with self.assertRaises(RequestRejected):
            await self.limiter.renew(token, time.monotonic() + 0.1)

    async def test_removed_account_is_refused_at_once(self) -> None:
        waiting = asyncio.create_task(self.expect_rejection())
        await asyncio.sleep(0)
        self.configure(EMPTY)
        await waiting
        self.assertIs((await self.expect_rejection()).code, Code.KEY_UNKNOWN)

    async def test_dispatch_beyond_the_whole_budget_is_a_breach(self) -> None:
        self.links.reserve_loan = 1
        token = await self.limiter.spend(ACCOUNT, time.monotonic() + 60)
        burst = OBJECTS.client_accounts[ACCOUNT].burst
        with self.assertRaises(InvariantBreach):
            for _ in range(2 * int(burst)):
                token.spent_at_s = time.monotonic()
                await self.limiter.renew(token, time.monotonic() + 60)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Lease quota and lend tokens between the VMs of a deployment."""

    async def asyncSetUp(self) -> None:
        configure_logging(io.StringIO(), logging.CRITICAL)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(
            load_deployment("guild"), Path(folder.name), EventLog()
        )
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def lend(self, tokens: int) -> LoanReply:
        entry = self.fleet.entries["amman-a-1"]
        link = PeerClient(
            "a-test", entry.peer_address, BENCH_SECRETS.peer, EventLog()
        )
        try:
            message = LoanRequest(f"a-test/{tokens}", ACCOUNT, tokens)
            reply: LoanReply = await link.request(message, 5.0)
            return reply
        finally:
            await link.close()

    async def test_busy_vm_holds_a_share_and_lends_from_it(self) -> None:
        entry = self.fleet.entries["amman-a-1"]
        bearer = f"Bearer {self.fleet.keys[ACCOUNT]}".encode()
        headers = ((b"authorization", bearer),)
        page = b""
        for _ in range(60):
            await fetch(entry.address, "GET", "/catalogue/1", headers)
            response = await fetch(entry.address, "GET", "/metrics")
            assert isinstance(response.body, bytes), (
                "fetch reads the whole body"
            )
            page = response.body
            if b"wigeonford_share_fraction{" in page:
                break
            await asyncio.sleep(0.1)
        self.assertIn(b"wigeonford_share_fraction{", page)
        lent = 0
        for tokens in range(1, 60):
            lent = (await self.lend(tokens)).tokens
            if lent:
                break
            await fetch(entry.address, "GET", "/catalogue/1", headers)
            await asyncio.sleep(0.1)
        self.assertGreater(lent, 0)
