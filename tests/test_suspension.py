"""A suspended machine, whose monotonic clock stands still, keeps no lease."""

import asyncio
from pathlib import Path
import random
from typing import Any, cast
import unittest
from unittest import mock

from msgspec.structs import replace

from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_attempts import make_request
from tests.test_caller_ends import in_virtual_time
from tests.test_deployment import make_deployment
from wigeonford.control._quota_service import LEADERSHIP_VALID_S
from wigeonford.control._raft_replica import RaftReplica
from wigeonford.errors import Code, RequestRejected
from wigeonford.events import EventLog
from wigeonford.messages.steering import (
    EntryStatus,
    FetchView,
    QuotaLeaseGrant,
    QuotaLeaseReply,
    QuotaLeaseReport,
    ViewNotice,
    ViewUpdate,
)
from wigeonford.peer import PeerClient
from wigeonford.settings import ControlSettings, Secrets
from wigeonford.steer import (
    AccountRates,
    LoanBatcher,
    QuotaReporter,
)
from wigeonford.steer._admission import Admission
from wigeonford.steer._route_stats import RouteStats

SUSPENDED_S = 20.0
"""Longer than any lease."""
STATUS = EntryStatus("a", "i", "a:1", "z", "r", True)
SECRET = "0123456789abcdef"


class _LeaderLink(QuietLink):
    """Grant the whole rate of each account."""

    async def request(self, record: Any, _timeout_s: float) -> Any:
        await asyncio.sleep(0.1)
        if isinstance(record, FetchView):
            return ViewUpdate(0, 1, make_deployment(), (), {}, (), ())
        if not isinstance(record, QuotaLeaseReport):
            return ViewNotice(1, None, ())
        grants = (
            QuotaLeaseGrant(ask.account, ask.number, 1.0)
            for ask in record.requests
        )
        return QuotaLeaseReply(1, tuple(grants))


class SuspensionTest(unittest.TestCase):
    """Let the time of a suspension pass on the clock that counts it only."""

    def setUp(self) -> None:
        self.suspended_s = 0.0

    def boot_time_s(self, _clock_id: int) -> float:
        """Return the loop's time and that of suspensions."""
        return asyncio.get_running_loop().time() + self.suspended_s

    @in_virtual_time
    async def test_entry_vm_admits_nothing_by_a_lease_from_before(
        self,
    ) -> None:
        loop = asyncio.get_running_loop()
        patched = mock.patch("time.clock_gettime", self.boot_time_s)
        with patched, mock.patch("time.monotonic", loop.time):
            rates = AccountRates(STATUS.name)
            follower = make_follower(
                lambda _: _LeaderLink(), seeds=REPLICAS[:1]
            )
            reporter = QuotaReporter(
                follower,
                rates,
                lambda: STATUS,
                lambda _: cast(PeerClient, _LeaderLink()),
                EventLog(),
            )
            loans = mock.create_autospec(LoanBatcher, instance=True)
            loans.borrow.return_value = 1.0
            admission = Admission(
                lambda: follower.view,
                rates,
                loans,
                RouteStats.initial,
                EventLog(),
                random.Random(1),
                loop.time,
            )
            req = replace(
                make_request(), host="old.example", path="/a/", key="key-1"
            )
            await follower.start()
            await reporter.start()
            await asyncio.sleep(3.0)
            await admission.admit(replace(req, arrived_at_s=loop.time()))
            self.suspended_s += SUSPENDED_S
            with self.assertRaises(RequestRejected) as raised:
                await admission.admit(replace(req, arrived_at_s=loop.time()))
            self.assertIs(Code.RATE_EXCEEDED, raised.exception.code)
            loans.borrow.assert_awaited_once()
            await reporter.stop()
            await follower.stop()

    @in_virtual_time
    async def test_leader_is_not_taken_for_confirmed_afterwards(self) -> None:
        cfg = ControlSettings(
            "one",
            "region",
            Path(),
            Secrets(SECRET, SECRET, SECRET, SECRET),
            members=(),
        )
        with mock.patch("time.clock_gettime", self.boot_time_s):
            replica = RaftReplica(cfg, mock.Mock(), mock.Mock(), EventLog())
            replica._driver.confirmed_at_s = replica._clock()
            self.suspended_s += SUSPENDED_S
            age_s = replica.confirmed_age_s()
        assert age_s is not None, "a quorum confirmed the leader"
        self.assertGreater(age_s, LEADERSHIP_VALID_S)
