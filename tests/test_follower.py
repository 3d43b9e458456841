"""Watches of control replicas go on whatever ends one of them."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any
import unittest

from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_deployment import make_deployment
from tests.virtual_time import run_virtual
from wigeonford.errors import Code, PeerError
from wigeonford.messages.steering import (
    FetchView,
    ViewNotice,
    ViewUpdate,
)
from wigeonford.settings import Address


class Client(QuietLink):
    """Stand in for a link: the first watch raises what nobody expects."""

    asked = 0

    async def request(self, _record: Any, _timeout_s: float) -> Any:
        """Fail once, then tell that nothing is new."""
        Client.asked += 1
        if Client.asked == 1:
            raise ValueError("odd bytes")
        await asyncio.sleep(0.01)
        return ViewNotice(0, None, ())

    async def close(self) -> None:
        """Return: there is nothing to close."""


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """One error costs one watch."""

    async def test_watch_begins_anew_after_an_error(self) -> None:
        follower = make_follower(lambda _: Client(), seeds=REPLICAS[:1])
        await follower.start()
        async with asyncio.timeout(20.0):
            while not follower.connected_replicas:
                await asyncio.sleep(0.05)
        await follower.stop()
        self.assertGreater(Client.asked, 1)


class GapLink(QuietLink):
    """Stand in for a link whose news, the first time, leave a gap."""

    opened = 0

    def __init__(self) -> None:
        GapLink.opened += 1

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Tell of one revision, in force already."""
        if isinstance(record, FetchView):
            return ViewUpdate(0, 1, make_deployment(), (), {}, (), ())
        await asyncio.sleep(0.1 if record.revision else 0.0)
        return ViewNotice(1, None, ())

    async def stream_replies(
        self, record: Any, _timeout_s: float
    ) -> AsyncIterator[Any]:
        """Tell of what comes after a revision that was never told."""
        since = record.revision + (GapLink.opened == 1)
        deployment = make_deployment(version=9)
        yield ViewUpdate(since, 9, deployment, (), {}, (), ())
        await asyncio.Event().wait()


class StreamTest(unittest.TestCase):
    """News that do not fit are not lost for good."""

    async def last_version(self) -> int:
        """Return the version in force after some seconds."""

        follower = make_follower(lambda _: GapLink(), seeds=REPLICAS[:1])
        await follower.start()
        await asyncio.sleep(3.0)
        await follower.stop()
        assert follower.view is not None, "told"
        return follower.view.deployment.version

    def test_a_stream_that_leaves_a_gap_begins_anew(self) -> None:
        self.assertEqual(9, run_virtual(self.last_version()))
        self.assertEqual(2, GapLink.opened)


class LaggingReplica(QuietLink):
    """Stand in for links to five replicas; the first one was cut off.

    It answers at once, with what the others have withdrawn since.
    """

    def __init__(self, address: Address, reachable: int) -> None:
        self._is_stale = address.port == 1
        self._is_reachable = address.port <= reachable

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Answer as a replica of revision 1, or of revision 2."""
        if not self._is_reachable:
            raise PeerError(Code.PEER_UNREACHABLE, "cut off")
        await asyncio.sleep(0.0 if self._is_stale else 0.1)
        revision = 1 if self._is_stale else 2
        if isinstance(record, FetchView):
            deployment = make_deployment(version=revision)
            return ViewUpdate(0, revision, deployment, (), {}, (), ())
        if record.revision >= revision:
            await asyncio.sleep(0.2)
        return ViewNotice(revision, None, REPLICAS)

    async def close(self) -> None:
        """Return: there is nothing to close."""


class FirstViewTest(unittest.IsolatedAsyncioTestCase):
    """A VM that starts anew does not go back to what was withdrawn."""

    async def first_view(self, reachable: int) -> int:
        """Return the first version that requests are steered by."""

        follower = make_follower(
            lambda address: LaggingReplica(address, reachable),
            seeds=REPLICAS[:3],
        )
        versions: list[int] = []
        follower.add_view_listener(
            lambda view: versions.append(view.deployment.version)
        )
        await follower.start()
        async with asyncio.timeout(20.0):
            while not versions:
                await asyncio.sleep(0.01)
        await follower.stop()
        return versions[0]

    async def test_a_replica_that_lags_is_not_followed(self) -> None:
        self.assertEqual(2, await self.first_view(5))

    async def test_what_there_is_serves_where_no_other_answers(self) -> None:
        self.assertEqual(1, await self.first_view(1))
