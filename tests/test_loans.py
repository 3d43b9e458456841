"""Token loans while control has no leader."""

import asyncio
from collections.abc import Mapping
import time
import unittest

from tests.virtual_time import run_virtual, VirtualLoop
from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.steering import TokenLoan
from wigeonford.steer import AccountRates, LoanBatcher
from wigeonford.steer._loans import (
    LOAN_TIMEOUT_S,
    NO_LOAN_RETRY_AFTER_S,
)
from wigeonford.steer._rates import LEADER_GAP_S

CALLER_TIME_LEFT_S = 6.0


class StandInLeader:
    """Stand in for control: without a leader at first, then with one."""

    def __init__(self, failure_count: int, tokens: int = 99) -> None:
        self.failure_count = failure_count
        self.tokens = tokens
        self.requests: list[dict[str, int]] = []

    async def request_loans(
        self, wanted: Mapping[str, int]
    ) -> tuple[TokenLoan, ...]:
        """Fail `failure_count` times, then lend the tokens that are left."""
        self.requests.append(dict(wanted))
        await asyncio.sleep(0.01)
        if len(self.requests) <= self.failure_count:
            raise PeerError(Code.NOT_LEADER, "no leader is known")
        loans = []
        for account, count in wanted.items():
            lent = min(count, self.tokens)
            self.tokens -= lent
            loans.append(TokenLoan(account, lent, 0.3))
        return tuple(loans)


class LeaderGapTest(unittest.IsolatedAsyncioTestCase):
    """Requests wait for a new leader, but not until their deadline."""

    async def test_requests_are_lent_once_there_is_a_leader(self) -> None:
        leader = StandInLeader(failure_count=4)
        batcher = LoanBatcher(leader.request_loans, EventLog())
        retry_after_s = await asyncio.gather(
            *(
                batcher.borrow(f"a{number % 3}", CALLER_TIME_LEFT_S)
                for number in range(9)
            )
        )
        self.assertEqual([0.0] * 9, retry_after_s)
        self.assertEqual({"a0": 3, "a1": 3, "a2": 3}, leader.requests[-1])

    async def test_who_waited_its_part_comes_back_later(self) -> None:
        leader = StandInLeader(failure_count=1000)
        batcher = LoanBatcher(leader.request_loans, EventLog())
        began_s = time.monotonic()
        self.assertEqual(NO_LOAN_RETRY_AFTER_S, await batcher.borrow("a", 1.0))
        self.assertGreaterEqual(time.monotonic() - began_s, 0.2)
        request_count = len(leader.requests)
        await asyncio.sleep(0.5)
        self.assertLessEqual(
            len(leader.requests), request_count + 1, "no request waits"
        )

    async def test_an_empty_pool_is_told_at_once(self) -> None:
        leader = StandInLeader(failure_count=0, tokens=2)
        batcher = LoanBatcher(leader.request_loans, EventLog())
        retry_after_s = await asyncio.gather(
            *(batcher.borrow("a", CALLER_TIME_LEFT_S) for _ in range(3))
        )
        self.assertEqual([0.0, 0.0, 0.3], retry_after_s)


class StalledProcessTest(unittest.TestCase):
    """A process stands still while a loan arrives."""

    def test_a_loan_that_comes_while_the_process_stands_still_is_used(
        self,
    ) -> None:
        async def borrow() -> float:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            leader = StandInLeader(failure_count=0)
            batcher = LoanBatcher(leader.request_loans, EventLog(), loop.time)
            loop.call_later(0.01, loop.stall, LOAN_TIMEOUT_S)
            return await batcher.borrow("a", CALLER_TIME_LEFT_S)

        self.assertEqual(0.0, run_virtual(borrow()))


class ExpectedLeaderTest(unittest.TestCase):
    """Callers are rejected at once if no leader is expected soon."""

    def test_a_gap_is_borne_and_a_long_outage_is_not(self) -> None:
        rates = AccountRates("a")
        self.assertFalse(rates.expects_leader(100.0))
        rates.leader_lost_at_s = 100.0
        self.assertTrue(rates.expects_leader(100.0 + LEADER_GAP_S / 2))
        self.assertFalse(rates.expects_leader(100.1 + LEADER_GAP_S))
        rates.leader_connected = True
        self.assertTrue(rates.expects_leader(1000.0))
