"""Watches of control replicas go on after errors, gaps and stale replies."""

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
    FollowView,
    ViewNotice,
    ViewUpdate,
)
from wigeonford.settings import Address


class FailingLink(QuietLink):
    """Stand in for a link whose first watch raises an unexpected error."""

    request_count = 0

    async def request(self, _record: Any, _timeout_s: float) -> Any:
        """Fail once, then reply that there is no new revision."""
        FailingLink.request_count += 1
        if FailingLink.request_count == 1:
            raise ValueError("invalid bytes")
        await asyncio.sleep(0.01)
        return ViewNotice(0, None, ())

    async def close(self) -> None:
        """Return: there is nothing to close."""


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """An unexpected error ends a watch, and the watch is started again."""

    async def test_watch_begins_anew_after_an_error(self) -> None:
        follower = make_follower(lambda _: FailingLink(), seeds=REPLICAS[:1])
        await follower.start()
        async with asyncio.timeout(20.0):
            while not follower.connected_replicas:
                await asyncio.sleep(0.05)
        await follower.stop()
        self.assertGreater(FailingLink.request_count, 1)


class GapLink(QuietLink):
    """Stand in for links; the stream of the first one leaves a gap."""

    open_count = 0

    def __init__(self) -> None:
        GapLink.open_count += 1

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Reply that revision 1 is in force."""
        if isinstance(record, FetchView):
            return ViewUpdate(0, 1, make_deployment(), (), {}, (), ())
        await asyncio.sleep(0.1 if record.revision else 0.0)
        return ViewNotice(1, None, ())

    async def stream_replies(
        self, record: Any, _timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield one update; on the first link it leaves a revision out.

        Of other streams, yield nothing.
        """
        if not isinstance(record, FollowView):
            await asyncio.Event().wait()
        since = record.revision + (GapLink.open_count == 1)
        deployment = make_deployment(version=9)
        yield ViewUpdate(since, 9, deployment, (), {}, (), ())
        await asyncio.Event().wait()


class StreamTest(unittest.TestCase):
    """An update that is not applicable is received again on a new stream."""

    async def get_last_version(self) -> int:
        """Return the version in force after some seconds."""

        follower = make_follower(lambda _: GapLink(), seeds=REPLICAS[:1])
        await follower.start()
        await asyncio.sleep(3.0)
        await follower.stop()
        assert follower.view is not None, "a view was received"
        return follower.view.deployment.version

    def test_a_stream_that_leaves_a_gap_begins_anew(self) -> None:
        self.assertEqual(9, run_virtual(self.get_last_version()))
        self.assertEqual(2, GapLink.open_count)


class LaggingReplica(QuietLink):
    """Stand in for a link to one of five replicas; the first one lags.

    It was disconnected. It replies at once, with data that the other replicas
    have withdrawn since.
    """

    def __init__(self, address: Address, reachable_count: int) -> None:
        self._is_stale = address.port == 1
        self._is_reachable = address.port <= reachable_count

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Reply with revision 1 if the replica lags, else with revision 2."""
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
    """A VM that restarts does not apply a deployment that was withdrawn."""

    async def get_first_version(self, reachable_count: int) -> int:
        """Return the version of the first deployment that the VM applies."""

        follower = make_follower(
            lambda address: LaggingReplica(address, reachable_count),
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
        self.assertEqual(2, await self.get_first_version(5))

    async def test_what_there_is_serves_where_no_other_answers(self) -> None:
        self.assertEqual(1, await self.get_first_version(1))
