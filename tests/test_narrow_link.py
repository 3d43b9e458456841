"""A VM whose link is full keeps its links to control, and news reach it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, AsyncExitStack
import io
from typing import Final
import unittest
from unittest import mock

import msgspec
from msgspec.structs import replace

from tests.control_links import make_follower, REPLICAS
from tests.narrow_link import make_servers, NarrowLink, open_client
from tests.test_deployment import make_deployment
from tests.test_view_patches import make_service, publish, StandInReplica
from tests.virtual_time import run_virtual, VirtualLoop
from wigeonford.control import LimitService, SuspectService, ViewService
from wigeonford.events import configure_logging, EventLog
from wigeonford.messages.steering import (
    EntryStatus,
    QuotaLeaseReply,
    QuotaLeaseReport,
)
from wigeonford.steer import AccountRates, QuotaReporter, ViewFollower
from wigeonford.steer._replica_link import LATE_S, ReplicaLink

SETTLE_S: Final = 4.0
FULL_S: Final = 8.0
WATCHED_S: Final = 12.0
SPARSE_GAP_S: Final = 2.9
"""Between changes; a replica's watches end without news meanwhile."""
SERIES_GAP_S: Final = 0.5
HOLD_S: Final = 0.7
"""For how long replicas of a small fleet hold a watch without news."""
TICK_S: Final = 0.01
PUBLISH_S: Final = 0.2
"""More than replicas of a small fleet batch changes for."""
RECONNECT_S: Final = 1.5
"""Between attempts to reach a replica, with some round trips."""


class Observed(msgspec.Struct):
    """Hold what a VM saw; `late_s` is from each change to its view."""

    late_s: list[float] = msgspec.field(default_factory=list)
    out_of_contact_s: float = 0.0
    open_connections: int = 0


async def observe(
    link: NarrowLink,
    follower: ViewFollower,
    replica: StandInReplica,
    gap_s: float,
) -> Observed:
    """Publish changes for some seconds, and see when they are in force."""
    loop = asyncio.get_running_loop()
    published_at_s: dict[int, float] = {}
    observed = Observed()

    def record(version: int) -> None:
        for known in [known for known in published_at_s if known <= version]:
            observed.late_s.append(loop.time() - published_at_s.pop(known))

    follower.add_view_listener(lambda view: record(view.deployment.version))
    until_s = loop.time() + WATCHED_S
    publish_at_s = loop.time()
    while loop.time() < until_s or published_at_s:
        if publish_at_s <= loop.time() < until_s:
            version = replica.state.steering.deployment_version + 1
            published_at_s[version] = loop.time()
            publish(replica, make_deployment(version=version))
            publish_at_s += gap_s
        if not follower.connected_replicas:
            observed.out_of_contact_s += TICK_S
        await asyncio.sleep(TICK_S)
    observed.open_connections = link.open_count
    return observed


@asynccontextmanager
async def running_replicas() -> AsyncIterator[
    tuple[NarrowLink, StandInReplica, list[ViewService]]
]:
    """Run the services of all replicas, with one state, behind a link."""
    loop = asyncio.get_running_loop()
    servers = make_servers()
    link = NarrowLink(servers)
    replica = StandInReplica()
    services: list[ViewService] = []
    async with AsyncExitStack() as stack:
        stack.push_async_callback(link.stop)
        for server in servers.values():
            service = make_service(replica, loop.time)
            service.attach(server)
            LimitService(loop.time).attach(server)
            SuspectService(loop.time).attach(server)
            server.handle(QuotaLeaseReport, _grant_nothing)
            await service.start()
            stack.push_async_callback(service.stop)
            services.append(service)
        publish(replica, make_deployment(version=1))
        with mock.patch("wigeonford.peer._link.connect", link.connect):
            yield link, replica, services


async def _grant_nothing(_message: QuotaLeaseReport) -> QuotaLeaseReply:
    return QuotaLeaseReply(1, ())


async def run_vm(
    *,
    queue_s: float = 0.0,
    cut_s: float = 0.0,
    is_lossy: bool = False,
    is_one_way: bool = False,
    gap_s: float = SPARSE_GAP_S,
) -> Observed:
    """Return what a VM sees whose link is full, or cut, for a while."""
    async with running_replicas() as (link, replica, _):
        follower = make_follower(open_client)
        await follower.start()
        await asyncio.sleep(SETTLE_S)
        assert len(follower.connected_replicas) == len(REPLICAS)
        if cut_s:
            link.cut(cut_s, is_lossy=is_lossy)
        full = asyncio.create_task(
            link.fill(queue_s, FULL_S, is_one_way=is_one_way)
        )
        async with asyncio.timeout(10 * WATCHED_S):
            observed = await observe(link, follower, replica, gap_s)
        await full
        await follower.stop()
    return observed


async def measure_leaderless_s(queue_s: float) -> float:
    """Return for how long a VM whose link is full has no leader."""
    loop = asyncio.get_running_loop()
    leaderless_s = 0.0
    async with running_replicas() as (link, _, _):
        follower = make_follower(open_client)
        rates = AccountRates("a")
        reporter = QuotaReporter(
            follower,
            rates,
            lambda: EntryStatus("a", "i", "a:1", "z", "r", True),
            open_client,
            EventLog(),
            loop.time,
        )
        await follower.start()
        await reporter.start()
        await asyncio.sleep(SETTLE_S)
        assert rates.leader_connected, "before the link is full"
        full = asyncio.create_task(link.fill(queue_s, FULL_S))
        while not full.done():
            await asyncio.sleep(TICK_S)
            leaderless_s += 0.0 if rates.leader_connected else TICK_S
        await reporter.stop()
        await follower.stop()
    return leaderless_s


def late_fraction(queue_s: float) -> float:
    """Return the fraction of each watch for which its reply is late."""
    return max(0.0, 1 - LATE_S / (2 * queue_s + HOLD_S))


class FullLinkTest(unittest.TestCase):
    """Bulk data queues both ways before what control and the VM send."""

    def setUp(self) -> None:
        configure_logging(io.StringIO())

    def test_news_wait_no_longer_than_the_queue(self) -> None:
        for queue_s in (0.5, 1.0, 1.5, 2.0):
            for gap_s in (SPARSE_GAP_S, SERIES_GAP_S):
                with self.subTest(queue_s=queue_s, gap_s=gap_s):
                    observed = run_virtual(
                        run_vm(queue_s=queue_s, gap_s=gap_s)
                    )
                    self.assertLess(max(observed.late_s), queue_s + PUBLISH_S)
                    self.assertLessEqual(
                        observed.out_of_contact_s,
                        FULL_S * late_fraction(queue_s),
                    )
                    self.assertEqual(len(REPLICAS), observed.open_connections)

    def test_news_are_no_contact_if_control_does_not_hear_the_vm(self) -> None:
        queue_s = LATE_S + 1.0
        observed = run_virtual(
            run_vm(queue_s=queue_s, is_one_way=True, gap_s=SERIES_GAP_S)
        )
        self.assertLess(max(observed.late_s), PUBLISH_S)
        self.assertGreater(observed.out_of_contact_s, queue_s - LATE_S)


async def measure_leave_s(queue_s: float) -> float:
    """Return when all replicas know that a VM stops whose link is full."""
    loop = asyncio.get_running_loop()
    status = EntryStatus("a", "i", "a:1", "z", "r", True)
    async with running_replicas() as (link, _, services):
        follower = make_follower(open_client, status=lambda: status)
        await follower.start()
        await asyncio.sleep(SETTLE_S)
        full = asyncio.create_task(link.fill(queue_s, FULL_S))
        await asyncio.sleep(FULL_S / 2)
        status = replace(status, is_ready=False)
        began_s = loop.time()
        report = asyncio.create_task(follower.report_status())
        while any(map(_lists_ready, services)):
            await asyncio.sleep(TICK_S)
        took_s = loop.time() - began_s
        await report
        await full
        await follower.stop()
    return took_s


def _lists_ready(service: ViewService) -> bool:
    change = service._roster.changes_since(-1, 0)
    return any(status.is_ready for status in change.running_entries)


class LeaveTest(unittest.TestCase):
    """A VM whose link is full tells control that it stops."""

    def test_leave_waits_for_the_queue_once(self) -> None:
        configure_logging(io.StringIO())
        for queue_s in (0.0, 0.1, 0.3, 0.5, 0.8):
            with self.subTest(queue_s=queue_s):
                self.assertLess(
                    run_virtual(measure_leave_s(queue_s)), queue_s + 0.1
                )


class LeaderTest(unittest.TestCase):
    """Reports of accounts' rates cross a full link."""

    def test_a_full_link_does_not_cost_the_leader(self) -> None:
        configure_logging(io.StringIO())
        for queue_s in (0.3, 0.6, 1.0):
            with self.subTest(queue_s=queue_s):
                self.assertEqual(0, run_virtual(measure_leaderless_s(queue_s)))


class CutLinkTest(unittest.TestCase):
    """Nothing arrives for a while; then links open again, or carry on."""

    def setUp(self) -> None:
        configure_logging(io.StringIO())

    def test_news_arrive_soon_after_a_cut(self) -> None:
        for cut_s in (1.0, 2.0, 3.0, 5.0, 8.0):
            for is_lossy in (False, True):
                with self.subTest(cut_s=cut_s, is_lossy=is_lossy):
                    observed = run_virtual(
                        run_vm(
                            cut_s=cut_s, is_lossy=is_lossy, gap_s=SERIES_GAP_S
                        )
                    )
                    self.assertLess(
                        max(observed.late_s), max(LATE_S, cut_s) + RECONNECT_S
                    )
                    self.assertEqual(len(REPLICAS), observed.open_connections)


class StalledClient:
    """Stand in for a client; its reply arrives while the process stalls."""

    async def request(self, _message: object, _timeout_s: float) -> None:
        """Return once the process runs again."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.call_soon(loop.stall, LATE_S + 1.0)
        await asyncio.sleep(LATE_S)


class LateTest(unittest.TestCase):
    """What arrived while a process stood still isn't late."""

    async def is_found_late(self) -> bool:
        """Return whether the link is late after a stall."""
        link = ReplicaLink(StalledClient())  # type: ignore[arg-type]
        waiting = asyncio.create_task(link.wait_until_late())
        await link.request(None)
        await asyncio.sleep(2 * LATE_S)
        is_late = waiting.done()
        waiting.cancel()
        return is_late

    def test_a_stall_makes_no_link_late(self) -> None:
        self.assertFalse(run_virtual(self.is_found_late()))
