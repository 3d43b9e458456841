"""An unexpected error of a background task is logged, and the task goes on."""

import asyncio
from collections.abc import AsyncIterator, Mapping
import io
import logging
from pathlib import Path
import tempfile
from typing import Any, cast
import unittest

from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_caller_ends import in_virtual_time
from tests.test_deployment import make_deployment
from wigeonford.daemon import serve_until_signal
from wigeonford.errors import PeerError
from wigeonford.events import configure_logging, EventLog
from wigeonford.messages.steering import (
    EntryStatus,
    FetchView,
    FollowTargetLimits,
    QuotaLeaseReply,
    ReportStatus,
    TargetLimit,
    TargetLimitsUpdate,
    TokenLoan,
    ViewNotice,
    ViewUpdate,
)
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.peer._messages import Done
from wigeonford.platform._settings_file import SettingsFile
from wigeonford.settings import Address
from wigeonford.steer import (
    AccountRates,
    LoanBatcher,
    QuotaReporter,
    TargetLimits,
)
from wigeonford.steer._loans import NO_LOAN_RETRY_AFTER_S
from wigeonford.steer._view import View

WAIT_S = 5.0
"""Virtual, or only ends a hang."""
SECRET = "0123456789abcdef"
STATUS = EntryStatus("a", "i", "127.0.0.1:9", "z", "r", True)
SETTINGS = """
node = "a"
ip_address = "127.0.0.1"
zone = "z"
region = "r"
internal_port_range = [7000, 7010]
seeds = [%s]
"""
SEED = '"127.0.0.2:7000"'
ODD_SETTINGS = (
    SETTINGS % '"no-port"',
    SETTINGS % '"127.0.0.3:port"',
    "x = " + "[" * 100_000,
    "node = \udcff",
    "seeds = 1" + "0" * 5000,
)


class _ControlLink(QuietLink):
    """Reply that revision 1 is in force."""

    async def request(self, record: Any, _timeout_s: float) -> Any:
        await asyncio.sleep(0.1)
        if isinstance(record, FetchView):
            return ViewUpdate(0, 1, make_deployment(), (), {}, (), ())
        return ViewNotice(1, None, ())


class _OddLimitsLink(_ControlLink):
    """Tell of a limit that can't be used, then of another one."""

    async def stream_replies(
        self, record: Any, timeout_s: float
    ) -> AsyncIterator[Any]:
        if not isinstance(record, FollowTargetLimits):
            async for reply in super().stream_replies(record, timeout_s):
                yield reply
        yield TargetLimitsUpdate(
            (
                TargetLimit("odd", 1, 5.0, 10**400),
                TargetLimit("good", 1, 5.0, 0),
            )
        )
        await asyncio.Event().wait()


class _LeaderLink(QuietLink):
    """Fail in an unexpected way once, then grant nothing."""

    request_count = 0

    async def request(self, _record: Any, _timeout_s: float) -> Any:
        _LeaderLink.request_count += 1
        if _LeaderLink.request_count == 1:
            raise ValueError("odd")
        return QuotaLeaseReply(1, ())


class BackgroundTaskTest(unittest.TestCase):
    """Let one thing go wrong; what is beside it and after it goes on."""

    def setUp(self) -> None:
        self.logs = io.StringIO()
        configure_logging(self.logs, logging.INFO)

    def check_logged(self, number: int) -> None:
        """Check that an event was logged."""
        self.assertIn(f'"number": {number}', self.logs.getvalue())

    @in_virtual_time
    async def test_listener_that_raises_does_not_starve_the_others(
        self,
    ) -> None:
        follower = make_follower(lambda _: _ControlLink(), seeds=REPLICAS[:1])
        views: list[View] = []

        def raise_error(_view: View) -> None:
            raise ValueError("odd")

        follower.add_view_listener(raise_error)
        follower.add_view_listener(views.append)
        await follower.start()
        await asyncio.sleep(WAIT_S)
        await follower.stop()
        self.assertEqual(1, len(views))
        self.check_logged(104)

    @in_virtual_time
    async def test_seeds_that_raise_once_do_not_end_the_watches(self) -> None:
        calls = 0

        def seeds() -> tuple[str, ...]:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise ValueError("odd")
            return REPLICAS[:1]

        follower = make_follower(lambda _: _ControlLink(), seeds=())
        follower._seeds = seeds
        await follower.start()
        await asyncio.sleep(WAIT_S)
        await follower.stop()
        self.assertIsNotNone(follower.view)
        self.check_logged(104)

    @in_virtual_time
    async def test_odd_limit_costs_only_itself(self) -> None:
        limits = TargetLimits("a", dict)
        follower = make_follower(
            lambda _: _OddLimitsLink(), seeds=REPLICAS[:1], limits=limits
        )
        await follower.start()
        await asyncio.sleep(WAIT_S)
        connected = follower.connected_replicas
        await follower.stop()
        self.assertEqual({"good"}, set(limits._limited))
        self.assertEqual(set(REPLICAS[:1]), connected)
        self.check_logged(327)
        self.assertNotIn('"number": 531', self.logs.getvalue())

    @in_virtual_time
    async def test_quota_reports_go_on_after_an_error(self) -> None:
        follower = make_follower(lambda _: _ControlLink(), seeds=REPLICAS[:1])
        rates = AccountRates("a")
        reporter = QuotaReporter(
            follower,
            rates,
            lambda: STATUS,
            lambda _: cast(PeerClient, _LeaderLink()),
            EventLog(),
        )
        await follower.start()
        await reporter.start()
        await asyncio.sleep(WAIT_S)
        connected = rates.leader_connected
        await reporter.stop()
        await follower.stop()
        self.assertTrue(connected)
        self.check_logged(104)

    @in_virtual_time
    async def test_waiting_requests_get_tokens_after_an_error(self) -> None:
        calls = 0

        async def lend(counts: Mapping[str, int]) -> tuple[TokenLoan, ...]:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise ValueError("odd")
            return tuple(TokenLoan(name, 1, 1.0) for name in counts)

        batcher = LoanBatcher(lend, EventLog(), lambda: 0.0)
        wait_s = await batcher.borrow("account", WAIT_S)
        self.assertNotEqual(NO_LOAN_RETRY_AFTER_S, wait_s)
        self.assertEqual(0.0, wait_s)

    def test_odd_settings_leave_the_previous_ones_in_force(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name, "settings")
        path.write_text(SETTINGS % SEED)
        settings_file = SettingsFile(path, EventLog())
        seeds = settings_file.seeds()
        for text in ODD_SETTINGS:
            with self.subTest(text=text[-40:]):
                path.write_bytes(text.encode("utf-8", "surrogateescape"))
                settings_file.reload()
                self.assertEqual(seeds, settings_file.seeds())
                self.check_logged(103)
        path.write_text(SETTINGS % '"127.0.0.4:1"')
        settings_file.reload()
        self.assertEqual(("127.0.0.4:7000",), settings_file.seeds())


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """One message of a link goes wrong; the link carries the others."""

    async def asyncSetUp(self) -> None:
        self.logs = io.StringIO()
        configure_logging(self.logs, logging.INFO)

    async def test_reply_that_cannot_be_encoded_costs_only_itself(
        self,
    ) -> None:
        release = asyncio.Event()

        async def reply(message: ReportStatus) -> Any:
            if message.status.name == "odd":
                release.set()
                return object()
            await release.wait()
            await asyncio.sleep(0.1)
            return Done()

        server = PeerServer(SECRET, EventLog())
        server.handle(ReportStatus, reply)
        address = await server.start(Address())
        self.addAsyncCleanup(server.stop)
        client = PeerClient("a", address, SECRET, EventLog())
        self.addAsyncCleanup(client.close)
        odd = EntryStatus("odd", "i", "127.0.0.1:9", "z", "r", True)
        results = await asyncio.gather(
            client.request(ReportStatus(STATUS), WAIT_S),
            client.request(ReportStatus(odd), 0.5),
            return_exceptions=True,
        )
        self.assertIsInstance(results[0], Done)
        self.assertIsInstance(results[1], PeerError)
        self.assertIn('"number": 104', self.logs.getvalue())

    async def test_odd_address_is_unreachable(self) -> None:
        for address in (
            Address("127.0.0.1", 99999),
            Address("a" * 64 + ".example", 1),
            Address("a\0b", 1),
            Address("a b", 1),
            Address("", -1),
        ):
            with self.subTest(address=address):
                client = PeerClient("a", address, SECRET, EventLog())
                with self.assertRaises(PeerError):
                    await client.request(ReportStatus(STATUS), 1.0)
                await client.close()

    async def test_error_of_a_task_that_nobody_awaits_is_logged(self) -> None:
        log = EventLog()

        class FailingDaemon:
            async def start(self) -> None:
                asyncio.get_running_loop().call_soon(int, "odd")
                await asyncio.sleep(0.05)
                raise OSError("ends the run")

            async def stop(self) -> None:
                return

        await serve_until_signal(FailingDaemon(), log)
        self.assertIn('"number": 104', self.logs.getvalue())
