"""A background task ends once it is cancelled, whatever it does just then."""

import asyncio
import io
from typing import Any
import unittest

from tests.cancelling import find_survived_steps
from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_deployment import make_deployment
from wigeonford._tasks import run_supervised
from wigeonford.errors import Code, PeerError
from wigeonford.events import configure_logging, EventLog
from wigeonford.messages.steering import FetchView, ViewNotice, ViewUpdate

WATCHED_S = 3.0
BOUND_S = 1.0


class _BreakingLink(QuietLink):
    """Reply to some messages, then break; a close takes time."""

    def __init__(self) -> None:
        self._reply_count = 0

    async def request(self, record: Any, _timeout_s: float) -> Any:
        await asyncio.sleep(0.1)
        self._reply_count += 1
        if self._reply_count > 4:
            raise PeerError(Code.PEER_TIMEOUT, "the link broke")
        if isinstance(record, FetchView):
            return ViewUpdate(0, 1, make_deployment(), (), {}, (), ())
        return ViewNotice(1, None, ())

    async def close(self) -> None:
        await asyncio.sleep(0.1)


class TaskEndTest(unittest.TestCase):
    """Cancel each background task once, at each step of the event loop."""

    def setUp(self) -> None:
        configure_logging(io.StringIO())

    def test_watch_of_a_replica_ends(self) -> None:
        async def start() -> asyncio.Task[None]:
            follower = make_follower(
                lambda _: _BreakingLink(), seeds=REPLICAS[:1]
            )
            return asyncio.create_task(follower._watch(REPLICAS[0]))

        survived = find_survived_steps(
            start, watched_s=WATCHED_S, bound_s=BOUND_S
        )
        self.assertEqual([], survived)

    def test_supervised_task_ends_whose_close_fails(self) -> None:
        async def run() -> None:
            try:
                await asyncio.sleep(0.1)
            finally:
                await asyncio.sleep(0.1)
                raise ValueError("odd")

        async def start() -> asyncio.Task[None]:
            return asyncio.create_task(run_supervised(run, EventLog()))

        survived = find_survived_steps(
            start, watched_s=WATCHED_S, bound_s=BOUND_S
        )
        self.assertEqual([], survived)
