"""Loans of tokens while control is without a leader."""

import asyncio
from collections.abc import Mapping
import time
import unittest

from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.steering import TokenLoan
from wigeonford.steer import AccountRates, LoanBatcher
from wigeonford.steer._loans import NO_LOAN_RETRY_AFTER_S
from wigeonford.steer._rates import LEADER_GAP_S

CALLER_S = 6.0


class Leader:
    """Stand in for the leader: none at first, then one that lends."""

    def __init__(self, failures: int, tokens: int = 99) -> None:
        self.failures = failures
        self.tokens = tokens
        self.asked: list[dict[str, int]] = []

    async def ask(self, wanted: Mapping[str, int]) -> tuple[TokenLoan, ...]:
        """Fail a few times, then lend what is left."""
        self.asked.append(dict(wanted))
        await asyncio.sleep(0.01)
        if len(self.asked) <= self.failures:
            raise PeerError(Code.NOT_LEADER, "no leader is known")
        loans = []
        for account, count in wanted.items():
            lent = min(count, self.tokens)
            self.tokens -= lent
            loans.append(TokenLoan(account, lent, 0.3))
        return tuple(loans)


class LeaderGapTest(unittest.IsolatedAsyncioTestCase):
    """Requests wait for a new leader, not for their deadline."""

    async def test_requests_are_lent_once_there_is_a_leader(self) -> None:
        leader = Leader(failures=4)
        batcher = LoanBatcher(leader.ask, EventLog())
        after = await asyncio.gather(
            *(
                batcher.borrow(f"a{number % 3}", CALLER_S)
                for number in range(9)
            )
        )
        self.assertEqual([0.0] * 9, after)
        self.assertEqual({"a0": 3, "a1": 3, "a2": 3}, leader.asked[-1])

    async def test_who_waited_its_part_comes_back_later(self) -> None:
        leader = Leader(failures=1000)
        batcher = LoanBatcher(leader.ask, EventLog())
        began_s = time.monotonic()
        self.assertEqual(NO_LOAN_RETRY_AFTER_S, await batcher.borrow("a", 1.0))
        self.assertGreaterEqual(time.monotonic() - began_s, 0.2)
        asked = len(leader.asked)
        await asyncio.sleep(0.5)
        self.assertLessEqual(len(leader.asked), asked + 1, "nobody waits")

    async def test_an_empty_pool_is_told_at_once(self) -> None:
        leader = Leader(failures=0, tokens=2)
        batcher = LoanBatcher(leader.ask, EventLog())
        after = await asyncio.gather(
            *(batcher.borrow("a", CALLER_S) for _ in range(3))
        )
        self.assertEqual([0.0, 0.0, 0.3], after)


class ExpectedLeaderTest(unittest.TestCase):
    """Where no leader is to be expected, callers are refused at once."""

    def test_a_gap_is_borne_and_a_long_outage_is_not(self) -> None:
        rates = AccountRates("a")
        self.assertFalse(rates.expects_leader(100.0))
        rates.leader_lost_at_s = 100.0
        self.assertTrue(rates.expects_leader(100.0 + LEADER_GAP_S / 2))
        self.assertFalse(rates.expects_leader(100.1 + LEADER_GAP_S))
        rates.leader_connected = True
        self.assertTrue(rates.expects_leader(1000.0))
