"""A background task ends once it is cancelled, whatever it does just then."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from functools import partial
import io
import socket
from typing import Any, cast, Self
import unittest
from unittest import mock

from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from tests.cancelling import find_survived_steps, StartTask
from tests.control_links import make_follower, QuietLink, REPLICAS
from tests.test_caller_ends import GET, in_virtual_time, LIMITS, POST
from tests.test_deployment import make_deployment
from tests.virtual_time import VirtualLoop
from wigeonford._tasks import cancel_tasks, run_supervised, wait_for_result
from wigeonford.errors import Code, PeerError
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import HttpServer, Request, Response
from wigeonford.http._connection import (
    CallerConnection,
    DISCARD_IDLE_TIMEOUT_S,
)
from wigeonford.messages.steering import (
    EntryStatus,
    FetchView,
    FollowView,
    TokenLoan,
    ViewNotice,
    ViewUpdate,
)
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.peer._frames import encode_frame
from wigeonford.peer._messages import Done, MESSAGES
from wigeonford.settings import Address
from wigeonford.steer import AccountRates, LoanBatcher, QuotaReporter

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


class _StandInConnection:
    """Carry a request for a stream, then end at once or never."""

    def __init__(self, ends_at_once: bool) -> None:
        self._ends_at_once = ends_at_once
        self._frames = [
            encode_frame(1, MESSAGES.to_tagged_list(FollowView(0)))
        ]

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        if self._frames:
            return self._frames.pop()
        if not self._ends_at_once:
            await asyncio.Event().wait()
        raise ConnectionClosed(None, None)

    async def send(self, _data: bytes) -> None:
        await asyncio.sleep(0.1)


class TaskEndTest(unittest.TestCase):
    """Cancel each background task once, at each step of the event loop."""

    def setUp(self) -> None:
        configure_logging(io.StringIO())

    def check_ends(self, start: StartTask, bound_s: float = BOUND_S) -> None:
        """Check that a task ends at whichever step it is cancelled."""
        survived = find_survived_steps(
            start, watched_s=WATCHED_S, bound_s=bound_s
        )
        self.assertEqual([], survived)

    def test_watch_of_a_replica_ends(self) -> None:
        async def start() -> asyncio.Task[None]:
            follower = make_follower(
                lambda _: _BreakingLink(), seeds=REPLICAS[:1]
            )
            return asyncio.create_task(follower._watch(REPLICAS[0]))

        self.check_ends(start)

    def test_supervised_task_ends_whose_close_fails(self) -> None:
        async def run() -> None:
            try:
                await asyncio.sleep(0.1)
            finally:
                await asyncio.sleep(0.1)
                raise ValueError("odd")

        async def start() -> asyncio.Task[None]:
            return asyncio.create_task(run_supervised(run, EventLog()))

        self.check_ends(start)

    def test_reports_of_quotas_end(self) -> None:
        async def start() -> asyncio.Task[None]:
            follower = make_follower(
                lambda _: _BreakingLink(), seeds=REPLICAS[:1]
            )
            await follower.start()
            await asyncio.sleep(0.3)
            reporter = QuotaReporter(
                follower,
                AccountRates("a"),
                lambda: EntryStatus("a", "i", "127.0.0.1:9", "z", "r", True),
                lambda _: cast(PeerClient, _BreakingLink()),
                EventLog(),
            )
            return asyncio.create_task(reporter._run())

        self.check_ends(start)

    def test_request_for_loans_ends(self) -> None:
        async def request_loans(_counts: object) -> tuple[TokenLoan, ...]:
            await asyncio.sleep(0.1)
            raise PeerError(Code.PEER_TIMEOUT, "the link broke")

        async def start() -> asyncio.Task[float]:
            batcher = LoanBatcher(request_loans, EventLog())
            return asyncio.create_task(batcher.borrow("account", 4.0))

        self.check_ends(start)

    def test_connection_of_a_caller_ends(self) -> None:
        bound_s = BOUND_S + DISCARD_IDLE_TIMEOUT_S
        for name, data, chunks in (
            ("idle", b"", 0),
            ("half a head", GET[:9], 0),
            ("answered", GET, 0),
            ("half a body", POST[:-1], 0),
            ("streamed", GET, 5),
            ("rejected", b"no request\r\n\r\n", 0),
        ):
            with self.subTest(name):
                self.check_ends(partial(self.serve, data, chunks), bound_s)

    async def serve(self, data: bytes, chunks: int) -> asyncio.Task[None]:
        """Return the task of a connection on which a caller sends."""
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        self.addCleanup(theirs.close)

        async def stream() -> AsyncIterator[bytes]:
            for _ in range(chunks):
                yield b"x"
                await asyncio.sleep(0.1)

        async def handle(request: Request) -> Response:
            async for _ in request.body:
                pass
            await asyncio.sleep(0.2)
            return Response(200, (), stream() if chunks else b"")

        server = HttpServer(handle, LIMITS, EventLog())
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(server._make_protocol, ours)
        while not server._tasks:
            await asyncio.sleep(0)
        if data:
            theirs.send(data)
        return next(iter(server._tasks))

    def test_link_of_a_peer_ends(self) -> None:
        for ends_at_once in (False, True):
            with self.subTest(ends_at_once=ends_at_once):
                self.check_ends(partial(self.follow, ends_at_once))

    async def follow(self, ends_at_once: bool) -> asyncio.Task[None]:
        """Return the task of a link on which a peer requests a stream."""

        async def replies(_message: FollowView) -> AsyncIterator[Done]:
            while True:
                await asyncio.sleep(0.1)
                yield Done()

        server = PeerServer("secret", EventLog())
        server.handle_stream(FollowView, replies)
        link = cast(ServerConnection, _StandInConnection(ends_at_once))
        return asyncio.create_task(server._serve_connection(link))

    @in_virtual_time
    async def test_task_that_goes_on_is_cancelled_again(self) -> None:
        task = asyncio.create_task(_go_on(cancellations=1))
        await asyncio.sleep(0.1)
        async with asyncio.timeout(WATCHED_S):
            await cancel_tasks((task,))
        self.assertTrue(task.done())

    @in_virtual_time
    async def test_time_limit_of_a_stop_holds_whatever_goes_on(self) -> None:
        loop = asyncio.get_running_loop()
        server = HttpServer(_hang, LIMITS, EventLog())
        task = asyncio.create_task(_go_on(cancellations=20))
        server._tasks[task] = cast(CallerConnection, None)
        await asyncio.sleep(0.1)
        began_s = loop.time()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(WATCHED_S):
                await server._cancel_connections()
        self.assertLessEqual(loop.time() - began_s, WATCHED_S + 0.1)
        await cancel_tasks((task,))

    @in_virtual_time
    async def test_reading_past_a_limit_ends_on_a_slow_loop(self) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)

        def work() -> None:
            loop.stall(0.1)
            loop.call_soon(work)

        loop.call_soon(work)
        began_s = loop.time()
        with self.assertRaises(TimeoutError):
            await wait_for_result(loop.create_future(), 0.5)
        self.assertLess(loop.time() - began_s, 2.0)


async def _go_on(cancellations: int) -> None:
    """Ignore some cancellations."""
    for _ in range(cancellations):
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()
    await asyncio.Event().wait()


async def _hang(_request: Request) -> Response:
    await asyncio.Event().wait()
    raise AssertionError("the event is never set")


class HandlerEndTest(unittest.IsolatedAsyncioTestCase):
    """Stop a server of links while a message is handled."""

    async def test_handler_that_never_replies_does_not_hold_up_a_stop(
        self,
    ) -> None:
        configure_logging(io.StringIO())
        has_begun = asyncio.Event()

        async def handle(_message: FetchView) -> Done:
            has_begun.set()
            await asyncio.Event().wait()
            return Done()

        server = PeerServer("secret", EventLog())
        server.handle(FetchView, handle)
        client = PeerClient(
            "a", await server.start(Address()), "secret", EventLog()
        )
        request = asyncio.create_task(client.request(FetchView(0), WATCHED_S))
        await has_begun.wait()
        with mock.patch("wigeonford.peer._link.HANDLERS_TIMEOUT_S", 0.1):
            stopping = asyncio.create_task(server.stop())
            done, _ = await asyncio.wait({stopping}, timeout=WATCHED_S)
        await asyncio.gather(request, return_exceptions=True)
        await client.close()
        self.assertTrue(done, "the stop has not ended")
