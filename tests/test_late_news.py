"""Updates reach an entry VM in time despite dead replicas and queues."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final
import unittest

from msgspec.structs import replace

from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_deployment import make_announcement, make_deployment
from tests.test_view_patches import make_service, publish, StandInReplica
from tests.virtual_time import run_virtual
from wigeonford.control import LimitService, SuspectService
from wigeonford.deployment import DeploymentPatch
from wigeonford.errors import Code, PeerError
from wigeonford.messages.steering import (
    FetchView,
    ViewNotice,
    ViewUpdate,
)
from wigeonford.settings import Address
from wigeonford.steer._target_records import TargetRecords
from wigeonford.steer._view import ViewBuilder

MAX_IN_FORCE_S: Final = 2.5
"""Shortest time in which the users need a change or a departure to be in
force."""
COMMIT_S: Final = 0.7
"""Part of that time for the commit of a change and its notices."""
QUEUE_DELAY_S: Final = 0.7
"""How long each message queues on the VM's link. A VM whose messages queue for
longer counts as slow."""
ZONES: Final = {"south-a": "south"}


class ReplicaGroup:
    """Stand in for five replicas, of which some die after their notice."""

    def __init__(self, silent_count: int) -> None:
        self.silent_count = silent_count
        self.revision = 1
        self.published = asyncio.Event()

    def publish(self) -> None:
        """Publish the next revision at all replicas."""
        self.revision += 1
        self.published.set()
        self.published = asyncio.Event()


class GroupLink(QuietLink):
    """Stand in for a link to one replica of a group."""

    def __init__(self, group: ReplicaGroup, address: Address) -> None:
        self._group = group
        self._is_silent = address.port <= group.silent_count
        self._rank = address.port

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Reply to a watch or fetch; silent replicas send first views only."""
        group = self._group
        if isinstance(record, FetchView):
            if self._is_silent and record.revision:
                await asyncio.sleep(timeout_s)
                raise PeerError(Code.PEER_TIMEOUT, "silent")
            deployment = make_deployment(version=group.revision)
            since = record.revision
            return ViewUpdate(
                since, group.revision, deployment, (), {}, (), ()
            )
        if record.revision >= group.revision:
            await asyncio.wait(
                {asyncio.create_task(group.published.wait())}, timeout=0.7
            )
            # Notices of the silent replicas arrive first.
            await asyncio.sleep(0.01 * self._rank)
        return ViewNotice(group.revision, None, REPLICAS)

    async def close(self) -> None:
        """Return: there is nothing to close."""


class SilentReplicaTest(unittest.TestCase):
    """A replica that dies after its notice doesn't delay the update."""

    async def measure_update_s(self, silent_count: int) -> float:
        """Return the time from a change to the view that contains it."""
        loop = asyncio.get_running_loop()
        group = ReplicaGroup(silent_count)

        follower = make_follower(lambda address: GroupLink(group, address))
        versions: list[int] = []
        follower.add_view_listener(
            lambda view: versions.append(view.deployment.version)
        )
        await follower.start()
        async with asyncio.timeout(20.0):
            while not versions or len(follower.connected_replicas) < 5:
                await asyncio.sleep(0.01)
            published_at_s = loop.time()
            group.publish()
            while versions[-1] < 2:
                await asyncio.sleep(0.01)
        took_s = loop.time() - published_at_s
        await follower.stop()
        return took_s

    def test_news_pass_two_replicas_that_die_after_their_notice(
        self,
    ) -> None:
        took_s = run_virtual(self.measure_update_s(2))
        self.assertLess(took_s, MAX_IN_FORCE_S - COMMIT_S)


class BusyLink(QuietLink):
    """Stand in for a link on which messages queue behind uploads."""

    def __init__(self, handlers: dict[type[Any], Any]) -> None:
        self._handlers = handlers

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Return the replica's reply; both messages are delayed."""
        await asyncio.sleep(QUEUE_DELAY_S)
        reply = await self._handlers[type(record)](record)
        await asyncio.sleep(QUEUE_DELAY_S)
        return reply

    async def stream_replies(
        self, record: Any, _timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield the replica's messages, each of them delayed."""
        loop = asyncio.get_running_loop()
        sent: asyncio.Queue[tuple[float, Any]] = asyncio.Queue()

        async def send() -> None:
            await asyncio.sleep(QUEUE_DELAY_S)
            async for reply in self._handlers[type(record)](record):
                sent.put_nowait((loop.time(), reply))

        async with asyncio.TaskGroup() as group:
            group.create_task(send())
            while True:
                sent_at_s, reply = await sent.get()
                await asyncio.sleep(
                    max(0.0, sent_at_s + QUEUE_DELAY_S - loop.time())
                )
                yield reply

    async def close(self) -> None:
        """Return: there is nothing to close."""


class Handlers(dict[type[Any], Any]):
    """Keep the handlers that a service registers."""

    def handle(self, kind: type[Any], handler: Any) -> None:
        """Register the handler of one message type."""
        self[kind] = handler

    handle_stream = handle


class BusyLinkTest(unittest.TestCase):
    """An update queues behind uploads once, not once for each message."""

    async def measure_update_s(self, change_count: int) -> float:
        """Return the time from the last of some changes to its view.

        The changes are published half of `QUEUE_DELAY_S` apart.
        """
        loop = asyncio.get_running_loop()
        replica = StandInReplica()
        handlers = Handlers()
        service = make_service(replica, loop.time)
        service.attach(handlers)  # type: ignore[arg-type]
        LimitService(loop.time).attach(handlers)  # type: ignore[arg-type]
        SuspectService(loop.time).attach(handlers)  # type: ignore[arg-type]
        await service.start()
        publish(replica, make_deployment(version=1))
        follower = make_follower(lambda _: BusyLink(handlers))
        versions: list[int] = []
        follower.add_view_listener(
            lambda view: versions.append(view.deployment.version)
        )
        await follower.start()
        async with asyncio.timeout(20.0):
            while not versions:
                await asyncio.sleep(0.01)
            # By then the next watch has reached the replica.
            await asyncio.sleep(2 * QUEUE_DELAY_S)
            for version in range(2, 2 + change_count):
                published_at_s = loop.time()
                publish(replica, make_deployment(version=version))
                await asyncio.sleep(QUEUE_DELAY_S / 2)
            while versions[-1] < 1 + change_count:
                await asyncio.sleep(0.01)
        took_s = loop.time() - published_at_s
        await follower.stop()
        await service.stop()
        return took_s

    def test_news_are_in_force_in_time_on_a_link_with_a_queue(self) -> None:
        took_s = run_virtual(self.measure_update_s(1))
        self.assertLess(took_s, MAX_IN_FORCE_S - COMMIT_S)

    def test_news_right_after_others_are_in_force_in_time(self) -> None:
        took_s = [run_virtual(self.measure_update_s(n)) for n in range(2, 6)]
        self.assertLess(max(took_s), MAX_IN_FORCE_S - COMMIT_S)


class FirstTargetsTest(unittest.TestCase):
    """The first view contains the last state of each target."""

    def count_served(self, *updates: ViewUpdate) -> int:
        """Return how many targets accept requests in the first view."""
        builder = ViewBuilder()
        for update in updates:
            self.assertTrue(builder.apply(update))
        view = builder.build()
        assert view is not None, "the updates contain a deployment"
        target_records = TargetRecords()
        target_records.apply_changes(view.changed, view.removed, ZONES, 1.0)
        return len(target_records.targets_of("reads"))

    def test_target_that_left_before_the_first_view_is_not_used(self) -> None:
        announcement = make_announcement(
            availability_zone="south-a", service="reads"
        )
        first = ViewUpdate(
            0, 1, make_deployment(), (), {}, (announcement,), ()
        )
        removed = ViewUpdate(
            1, 2, None, None, None, (), (announcement.target_id,)
        )
        again = ViewUpdate(2, 3, None, None, None, (announcement,), ())
        self.assertEqual(1, self.count_served(first))
        self.assertEqual(0, self.count_served(first, removed))
        self.assertEqual(1, self.count_served(first, removed, again))


class LatePatchTest(unittest.TestCase):
    """A patch is applied only to the deployment from which it was made."""

    def test_patch_of_an_older_deployment_is_not_applied(self) -> None:
        builder = ViewBuilder()
        first = make_deployment(version=1)
        builder.apply(ViewUpdate(0, 1, first, (), {}, (), ()))
        builder.apply(
            ViewUpdate(1, 3, make_deployment(version=3), None, None, (), ())
        )
        late = ViewUpdate(
            1, 4, None, None, None, (), (), DeploymentPatch(version=4)
        )
        self.assertFalse(builder.apply(late))
        self.assertEqual((3, 3), (builder.revision, builder.version))
        self.assertTrue(builder.apply(replace(late, since=3)))
        self.assertEqual((4, 4), (builder.revision, builder.version))

    def test_update_that_leaves_a_gap_is_not_taken(self) -> None:
        builder = ViewBuilder()
        builder.apply(ViewUpdate(0, 1, make_deployment(), (), {}, (), ()))
        self.assertFalse(builder.apply(ViewUpdate(2, 3, None, (), {}, (), ())))
        self.assertEqual(1, builder.revision)
