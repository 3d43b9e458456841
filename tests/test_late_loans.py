"""A token that was lent in time is used, and a late one is named as late."""

import asyncio
import io
import logging
import socket
from typing import Any
import unittest

from tests.limited_fleet import virtual_clock
from tests.test_caller_ends import in_virtual_time
from tests.test_limits_path import (
    _checks,
    ACCOUNT,
    EMPTY,
    OBJECTS,
    StandInLinks,
)
from tests.virtual_time import VirtualLoop
from wigeonford.entry import EntryConfig, LeasedQuotaLimiter
from wigeonford.errors import Code, RequestRejected
from wigeonford.events import configure_logging, EventLog
from wigeonford.metrics import Metrics
from wigeonford.policy import MAX_WAIT_S, QuotaGrant, QuotaRequest

DEADLINE_S = 60.0
BEFORE_END_S = 0.05
"""When the loan arrives, before the wait for a token ends."""
STALL_S = 2 * BEFORE_END_S
UNITS = 100_000


class _LateLinks(StandInLinks):
    """Reply once a byte has arrived, with a loan and a part of the rate."""

    def __init__(self) -> None:
        super().__init__()
        self.ours, self.theirs = socket.socketpair()
        self.ours.setblocking(False)
        self.units = 0

    async def report(
        self, requests: dict[str, QuotaRequest]
    ) -> dict[str, QuotaGrant]:
        await asyncio.get_running_loop().sock_recv(self.ours, 1)
        return {
            name: QuotaGrant(
                request.number,
                self.units,
                loan=min(request.need, self.reserve_loan or 0),
            )
            for name, request in requests.items()
        }


class LateLoanTest(unittest.TestCase):
    """Spend a token while the reply to the request for a loan is late."""

    def setUp(self) -> None:
        configure_logging(io.StringIO(), logging.CRITICAL)

    def start(self) -> LeasedQuotaLimiter:
        """Return a limiter whose reports are answered through a socket."""
        self.links = _LateLinks()
        self.addCleanup(self.links.ours.close)
        self.addCleanup(self.links.theirs.close)
        links: Any = self.links
        limiter = LeasedQuotaLimiter(links, _checks(), Metrics(), EventLog())
        limiter.reconfigure(EntryConfig(1, OBJECTS, {}, {}))
        return limiter

    async def exceed_share(
        self, limiter: LeasedQuotaLimiter
    ) -> RequestRejected:
        """Return the refusal of the last of several requests that wait."""
        count = int(OBJECTS.client_accounts[ACCOUNT].burst) // 2
        results = await asyncio.gather(
            *(limiter.spend(ACCOUNT, DEADLINE_S) for _ in range(count)),
            return_exceptions=True,
        )
        refusal = results[-1]
        assert isinstance(refusal, RequestRejected), "the share is exceeded"
        return refusal

    @in_virtual_time
    async def test_loan_that_came_before_the_wait_ended_is_used(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        for arrivals in (0, 1):
            with self.subTest(arrivals=arrivals), virtual_clock():
                limiter = self.start()
                self.links.reserve_loan = 2
                spending = asyncio.create_task(
                    limiter.spend(ACCOUNT, loop.time() + DEADLINE_S)
                )
                await asyncio.sleep(MAX_WAIT_S - BEFORE_END_S)
                self.links.theirs.send(b"+")
                loop.stall(STALL_S)
                await asyncio.gather(
                    *(
                        limiter.spend(ACCOUNT, loop.time() + DEADLINE_S)
                        for _ in range(arrivals)
                    ),
                    return_exceptions=True,
                )
                await spending
                await limiter.stop()

    @in_virtual_time
    async def test_late_loan_is_not_a_rate_that_is_exceeded(self) -> None:
        for is_late in (True, False):
            with self.subTest(is_late=is_late), virtual_clock():
                limiter = self.start()
                self.links.units = UNITS
                self.links.reserve_loan = 1
                self.links.theirs.send(b"+")
                await limiter.spend(ACCOUNT, DEADLINE_S)
                self.links.reserve_loan = 0
                if not is_late:
                    self.links.theirs.send(b"+" * 1000)
                refusal = await self.exceed_share(limiter)
                self.assertIs(
                    Code.SHARE_UNAVAILABLE if is_late else Code.RATE_EXCEEDED,
                    refusal.code,
                )
                self.assertIsNotNone(refusal.retry_after_s)
                await limiter.stop()

    @in_virtual_time
    async def test_cancelled_request_waits_no_longer(self) -> None:
        with virtual_clock():
            limiter = self.start()
            self.links.reserve_loan = 1
            spending = asyncio.create_task(limiter.spend(ACCOUNT, DEADLINE_S))
            await asyncio.sleep(0.01)
            queue = limiter._queues[ACCOUNT]
            spending.cancel()
            await asyncio.wait({spending})
            self.assertEqual(0, len(queue))
            limiter.reconfigure(EntryConfig(2, EMPTY, {}, {}))
            await limiter.stop()
