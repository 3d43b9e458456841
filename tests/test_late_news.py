"""News reach an entry VM in time, whatever happens to one replica."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final
import unittest

from msgspec.structs import replace

from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_deployment import announce, make_deployment
from tests.test_view_patches import make_service, publish, StandInReplica
from tests.virtual_time import run_virtual
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

IN_FORCE_S: Final = 2.5
"""The users' shortest bound for a change or a leave."""
OTHERS_S: Final = 0.7
"""What an agreement and its notices may take of it."""
QUEUED_S: Final = 0.7
"""How long a message waits; a VM that waits longer counts as slowed."""
ZONES: Final = {"south-a": "south"}


class Group:
    """Stand in for five replicas, of which some die after their notice."""

    def __init__(self, silent: int) -> None:
        self.silent = silent
        self.revision = 1
        self.news = asyncio.Event()

    def publish(self) -> None:
        """Make one more revision known to all replicas."""
        self.revision += 1
        self.news.set()
        self.news = asyncio.Event()


class Link(QuietLink):
    """Stand in for a link to one replica of a group."""

    def __init__(self, group: Group, address: Address) -> None:
        self._group = group
        self._dies = address.port <= group.silent
        self._rank = address.port

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Answer a watch or a fetch; the first revision is always told."""
        group = self._group
        if isinstance(record, FetchView):
            if self._dies and record.revision:
                await asyncio.sleep(timeout_s)
                raise PeerError(Code.PEER_TIMEOUT, "silent")
            deployment = make_deployment(version=group.revision)
            since = record.revision
            return ViewUpdate(
                since, group.revision, deployment, (), {}, (), ()
            )
        if record.revision >= group.revision:
            await asyncio.wait(
                {asyncio.create_task(group.news.wait())}, timeout=0.7
            )
            # The silent ones are heard of first.
            await asyncio.sleep(0.01 * self._rank)
        return ViewNotice(group.revision, None, REPLICAS)

    async def close(self) -> None:
        """Return: there is nothing to close."""


class SilentReplicaTest(unittest.TestCase):
    """A replica that dies after its notice does not hold the news."""

    async def news_took_s(self, silent: int) -> float:
        """Return how long a change took from its notice to the view."""
        loop = asyncio.get_running_loop()
        group = Group(silent)

        follower = make_follower(lambda address: Link(group, address))
        versions: list[int] = []
        follower.add_view_listener(
            lambda view: versions.append(view.deployment.version)
        )
        await follower.start()
        async with asyncio.timeout(20.0):
            while not versions or len(follower.connected_replicas) < 5:
                await asyncio.sleep(0.01)
            began_s = loop.time()
            group.publish()
            while versions[-1] < 2:
                await asyncio.sleep(0.01)
        took_s = loop.time() - began_s
        await follower.stop()
        return took_s

    def test_news_pass_two_replicas_that_die_after_their_notice(
        self,
    ) -> None:
        took_s = run_virtual(self.news_took_s(2))
        self.assertLess(took_s, IN_FORCE_S - OTHERS_S)


class BusyLink(QuietLink):
    """Carry messages to a replica behind uploads on the VM's link."""

    def __init__(self, handlers: dict[type[Any], Any]) -> None:
        self._handlers = handlers

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Return the replica's answer, each way late."""
        await asyncio.sleep(QUEUED_S)
        answer = await self._handlers[type(record)](record)
        await asyncio.sleep(QUEUED_S)
        return answer

    async def stream_replies(
        self, record: Any, _timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield what the replica tells, each message late."""
        loop = asyncio.get_running_loop()
        sent: asyncio.Queue[tuple[float, Any]] = asyncio.Queue()

        async def send() -> None:
            await asyncio.sleep(QUEUED_S)
            async for reply in self._handlers[type(record)](record):
                sent.put_nowait((loop.time(), reply))

        async with asyncio.TaskGroup() as group:
            group.create_task(send())
            while True:
                at_s, reply = await sent.get()
                await asyncio.sleep(max(0.0, at_s + QUEUED_S - loop.time()))
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
    """News wait behind uploads once, not once a message."""

    async def news_took_s(self, changes: int) -> float:
        """Return how long the last of some changes takes to the view.

        They come half a queue apart.
        """
        loop = asyncio.get_running_loop()
        replica = StandInReplica()
        handlers = Handlers()
        service = make_service(replica, loop.time)
        service.attach(handlers)  # type: ignore[arg-type]
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
            # The next watch is at the replica by then.
            await asyncio.sleep(2 * QUEUED_S)
            for version in range(2, 2 + changes):
                began_s = loop.time()
                publish(replica, make_deployment(version=version))
                await asyncio.sleep(QUEUED_S / 2)
            while versions[-1] < 1 + changes:
                await asyncio.sleep(0.01)
        took_s = loop.time() - began_s
        await follower.stop()
        await service.stop()
        return took_s

    def test_news_are_in_force_in_time_on_a_link_with_a_queue(self) -> None:
        took_s = run_virtual(self.news_took_s(1))
        self.assertLess(took_s, IN_FORCE_S - OTHERS_S)

    def test_news_right_after_others_are_in_force_in_time(self) -> None:
        took_s = [run_virtual(self.news_took_s(n)) for n in range(2, 6)]
        self.assertLess(max(took_s), IN_FORCE_S - OTHERS_S)


class FirstTargetsTest(unittest.TestCase):
    """What changes before the first view is in it as it was last."""

    def served(self, *updates: ViewUpdate) -> int:
        """Return how many targets the first view of updates serves."""
        builder = ViewBuilder()
        for update in updates:
            self.assertTrue(builder.apply(update))
        view = builder.build()
        assert view is not None, "updates bring a deployment"
        target_records = TargetRecords()
        target_records.apply_changes(view.changed, view.removed, ZONES, 1.0)
        return len(target_records.targets_of("reads"))

    def test_target_that_left_before_the_first_view_is_not_used(self) -> None:
        said = announce(availability_zone="south-a", service="reads")
        first = ViewUpdate(0, 1, make_deployment(), (), {}, (said,), ())
        left = ViewUpdate(1, 2, None, None, None, (), (said.target_id,))
        again = ViewUpdate(2, 3, None, None, None, (said,), ())
        self.assertEqual(1, self.served(first))
        self.assertEqual(0, self.served(first, left))
        self.assertEqual(1, self.served(first, left, again))


class LatePatchTest(unittest.TestCase):
    """A patch is applied to what it was made of, or not at all."""

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
