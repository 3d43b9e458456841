"""Two replicas that consider themselves leader at the same time."""

import unittest

from msgspec.structs import replace

from tests.test_deployment import make_deployment
from wigeonford.control import QuotaService, ReplaceDeployment, State
from wigeonford.control._quota_service import LEADERSHIP_VALID_S
from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.steering import (
    QuotaLeaseReport,
    QuotaLeaseRequest,
    TokenLoanRequest,
)


class StandInReplica:
    """Stand in for a replica that considers itself the leader."""

    def __init__(self) -> None:
        self.state = State()
        self.is_leader = True
        self.leader = "a"
        self.term = 3
        self.since_confirmed_s: float | None = 0.0
        self.barrier_count = 0

    def confirmed_age_s(self) -> float | None:
        """Return how long ago a quorum confirmed the leader."""
        return self.since_confirmed_s

    async def read_barrier(self) -> None:
        """Fail if the quorum confirmed the leader too long ago."""
        self.barrier_count += 1
        if (
            self.since_confirmed_s is None
            or self.since_confirmed_s > LEADERSHIP_VALID_S
        ):
            raise PeerError(Code.NO_QUORUM, "the leadership was lost")

    async def propose(self, _record: object) -> None:
        """Commit at once."""


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """A suspended leader lends no tokens that its successor lends as well."""

    def setUp(self) -> None:
        self.now_s = 100.0
        self.replica = StandInReplica()
        account = replace(
            make_deployment().accounts[0], rate_per_s=100.0, burst=100.0
        )
        deployment = replace(make_deployment(), accounts=(account,))
        self.account = account.name
        command = ReplaceDeployment(b"1", 0, deployment)
        self.replica.state.steering.apply(command)
        self.service = QuotaService(
            self.replica,  # type: ignore[arg-type]
            EventLog(),
            lambda: self.now_s,
        )

    async def lend(self) -> int:
        reply = await self.service._on_borrow(
            TokenLoanRequest("vm", {self.account: 50})
        )
        return reply.loans[0].tokens

    async def test_a_fresh_lead_lends(self) -> None:
        await self.lend()
        self.now_s += 2.0
        barriers_before = self.replica.barrier_count
        self.assertGreater(await self.lend(), 0)
        self.assertEqual(barriers_before, self.replica.barrier_count)

    async def test_tokens_gather_before_anyone_asks(self) -> None:
        """Otherwise the first requests of each account would be rejected."""
        await self.service._require_leadership()
        self.now_s += 2.0
        self.service._refresh_pools()
        self.now_s += 2.0
        self.assertGreater(await self.lend(), 0)

    async def test_a_lead_that_may_be_over_lends_and_grants_nothing(
        self,
    ) -> None:
        await self.lend()
        for age_s in (LEADERSHIP_VALID_S + 0.1, None):
            self.now_s += 2.0
            self.replica.since_confirmed_s = age_s
            with self.subTest(age_s), self.assertRaises(PeerError):
                await self.lend()
            report = QuotaLeaseReport(
                "vm", "i", (QuotaLeaseRequest(self.account, 1, 0.0, 0.5),)
            )
            with self.subTest(age_s), self.assertRaises(PeerError):
                await self.service._on_report(report)
