"""No whole request ends without an answer, whatever ends its connection."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from functools import wraps
import io
import itertools
import logging
import socket
from typing import Any
import unittest

from tests.test_deployment import make_deployment
from tests.virtual_time import run_virtual, VirtualLoop
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import HttpServer, Request, Response
from wigeonford.http._reader import ReadDeadline, WatchedReader
from wigeonford.messages.steering import FetchView, ViewNotice
from wigeonford.peer import PeerClient
from wigeonford.peer._frames import decode_frame, encode_frame
from wigeonford.peer._messages import MESSAGES
from wigeonford.settings import Address, CallerLimits
from wigeonford.steer._daemon import caller_limits

GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok"
LIMITS = CallerLimits(
    head_bytes=1024,
    head_timeout_s=3.0,
    body_idle_timeout_s=3.0,
    keep_alive_s=3.0,
)
STALL_S = 20.0
"""Exceeds every limit."""
MAX_CHANGE_LAG_S = 6.0
"""Time within which the users expect a change to be in force."""
BIG_BODY_BYTES = 200_000
"""Fits into the server's write buffer, but not into the kernel's."""


def in_virtual_time(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Run a test in virtual time."""

    @wraps(test)
    def run(self: Any) -> None:
        run_virtual(test(self))

    return run


class Caller:
    """Send raw bytes to a server over a pair of connected sockets.

    Bytes that are sent are in the server's kernel buffer at once.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.send = sock.sendall
        self.close = sock.close

    async def receive(self) -> bytes:
        """Return the next bytes, or none at the end or after a reset."""
        loop = asyncio.get_running_loop()
        try:
            return await loop.sock_recv(self._sock, 1 << 20)
        except ConnectionResetError:
            return b""

    def receive_ready(self) -> bytes:
        """Return the bytes in the kernel's buffer."""
        return self._sock.recv(1 << 20)

    async def receive_all(self) -> bytes:
        """Return what arrives until the server closes."""
        return b"".join([data async for data in self._receive_until_end()])

    async def _receive_until_end(self) -> AsyncIterator[bytes]:
        while data := await self.receive():
            yield data


class CallerEndTest(unittest.TestCase):
    """Serve a caller through a stall, a change of limits or a stop."""

    def setUp(self) -> None:
        configure_logging(io.StringIO(), logging.INFO)
        self.loop_errors: list[dict[str, Any]] = []
        self.response = Response(200, ((b"content-length", b"0"),))
        self.hangs = False
        self.pause_s = 0.0
        self.reads_body = True

    async def handle(self, request: Request) -> Response:
        """Read the body, then respond, or hang after that."""
        if self.reads_body:
            async for _ in request.body:
                await asyncio.sleep(self.pause_s)
        if self.hangs:
            await asyncio.sleep(3600)
        return self.response

    async def start(self) -> Caller:
        """Start a server; return a caller on an idle connection."""
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        self.loop = loop
        self.loop.set_exception_handler(
            lambda _, context: self.loop_errors.append(context)
        )
        self.server = HttpServer(self.handle, LIMITS, EventLog())
        return await self.connect()

    async def connect(self) -> Caller:
        """Return a caller on a new connection."""
        ours, theirs = socket.socketpair()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        theirs.setblocking(False)
        self.addCleanup(theirs.close)
        await self.loop.connect_accepted_socket(
            self.server._make_protocol, ours
        )
        await asyncio.sleep(0.1)
        return Caller(theirs)

    async def send_before_limit(
        self, caller: Caller, data: bytes, *, after_poll: bool
    ) -> None:
        """Send, then stand still past each limit.

        With `after_poll`, the loop has polled its sockets by then.
        """
        if after_poll:
            self.loop.call_later(0.1, caller.send, data)
        else:
            caller.send(data)
        self.loop.stall(STALL_S)
        await asyncio.sleep(0)

    async def check_in_time(self, start: bytes, rest: bytes) -> None:
        """Check the answer to a request whose rest arrives amid a stall."""
        for after_poll in (False, True):
            with self.subTest(after_poll=after_poll):
                caller = await self.start()
                if start:
                    caller.send(start)
                    await asyncio.sleep(0.1)
                await self.send_before_limit(
                    caller, rest, after_poll=after_poll
                )
                self.assertIn(b" 200 ", (await caller.receive())[:20])

    @in_virtual_time
    async def test_request_before_the_idle_limit_is_answered(self) -> None:
        await self.check_in_time(b"", GET)

    @in_virtual_time
    async def test_head_before_its_limit_is_answered(self) -> None:
        await self.check_in_time(GET[:9], GET[9:])

    @in_virtual_time
    async def test_body_before_its_limit_is_answered(self) -> None:
        await self.check_in_time(POST[:-1], POST[-1:])

    @in_virtual_time
    async def test_request_before_a_stops_idle_limit_is_answered(
        self,
    ) -> None:
        for after_poll in (False, True):
            with self.subTest(after_poll=after_poll):
                caller = await self.start()
                stopping = asyncio.create_task(self.server.stop(60.0))
                await asyncio.sleep(0.1)
                await self.send_before_limit(
                    caller, GET, after_poll=after_poll
                )
                self.assertIn(b" 200 ", (await caller.receive())[:20])
                self.assertEqual(await stopping, 0)

    @in_virtual_time
    async def test_late_bytes_do_not_extend_a_limit(self) -> None:
        caller = await self.start()
        caller.send(GET[:9])
        for position in range(9, 17):
            await asyncio.sleep(0.4)
            caller.send(GET[position : position + 1])
        self.assertIn(b" 408 ", await caller.receive_all())

    @in_virtual_time
    async def test_idle_connection_is_kept_for_the_largest_limit(
        self,
    ) -> None:
        for keep_alive_s in ((1.0, 30.0), (30.0, 1.0)):
            with self.subTest(keep_alive_s=keep_alive_s):
                caller = await self.start()
                for limit_s in keep_alive_s:
                    self.server.limits = CallerLimits(keep_alive_s=limit_s)
                    await asyncio.sleep(0.1)
                await asyncio.sleep(20.0)
                caller.send(GET)
                self.assertIn(b" 200 ", (await caller.receive())[:20])
        began_s = self.loop.time()
        self.assertEqual(await caller.receive(), b"")
        self.assertAlmostEqual(self.loop.time() - began_s, 1.0, delta=0.1)

    @in_virtual_time
    async def test_caller_that_learns_first_of_a_raised_idle_limit(
        self,
    ) -> None:
        deployment = make_deployment()
        idle_timeout_s = deployment.limits.idle_timeout_s
        caller = await self.start()
        self.server.limits = caller_limits(deployment, 1000)
        caller.send(GET)
        await caller.receive()
        await asyncio.sleep(idle_timeout_s * 0.8 + MAX_CHANGE_LAG_S)
        caller.send(GET)
        self.assertIn(b" 200 ", (await caller.receive())[:20])

    @in_virtual_time
    async def test_raised_limits_apply_to_open_connections(self) -> None:
        long_head = GET.replace(b"host", b"x: " + b"a" * 2000 + b"\r\nhost")
        for request, position in (
            (GET, 9),
            (POST, len(POST) - 1),
            (long_head, 1500),
        ):
            with self.subTest(request[:40]):
                caller = await self.start()
                caller.send(request[:9])
                await asyncio.sleep(0.1)
                self.server.limits = CallerLimits(
                    head_timeout_s=30.0, body_idle_timeout_s=30.0
                )
                caller.send(request[9:position])
                await asyncio.sleep(10.0)
                caller.send(request[position:])
                self.assertIn(b" 200 ", (await caller.receive())[:20])

    @in_virtual_time
    async def test_raised_idle_limit_does_not_hold_up_a_stop(self) -> None:
        caller = await self.start()
        stopping = asyncio.create_task(self.server.stop(60.0))
        await asyncio.sleep(0.1)
        self.server.limits = CallerLimits(keep_alive_s=30.0)
        began_s = self.loop.time()
        await stopping
        self.assertLess(self.loop.time() - began_s, 1.0)
        self.assertEqual(await caller.receive(), b"")

    @in_virtual_time
    async def test_stop_waits_for_responses_in_the_write_buffer(
        self,
    ) -> None:
        caller = await self.start()
        length = (b"content-length", str(BIG_BODY_BYTES).encode())
        self.response = Response(200, (length,), bytes(BIG_BODY_BYTES))
        caller.send(GET)
        await asyncio.sleep(0.1)
        conn = next(iter(self.server._tasks.values()))
        stopping = asyncio.create_task(self.server.stop(10.0))
        await asyncio.sleep(1.0)
        receiving = asyncio.create_task(caller.receive_all())
        self.assertEqual(await stopping, 0)
        transport = conn._writer.transport
        self.assertEqual(transport.get_write_buffer_size(), 0)
        self.assertTrue((await receiving).endswith(bytes(BIG_BODY_BYTES)))

    @in_virtual_time
    async def test_caller_that_reads_amid_a_stall_gets_the_rest(self) -> None:
        size_bytes = 3 * BIG_BODY_BYTES
        length = (b"content-length", str(size_bytes).encode())
        self.response = Response(200, (length,), bytes(size_bytes))
        caller = await self.start()
        caller.send(GET)
        await asyncio.sleep(LIMITS.write_timeout_s - 1.0)
        received: list[bytes] = []
        self.loop.call_later(
            0.1, lambda: received.append(caller.receive_ready())
        )
        self.loop.stall(STALL_S)
        await asyncio.sleep(0)
        received.append(await caller.receive_all())
        self.assertTrue(b"".join(received).endswith(bytes(size_bytes)))

    @in_virtual_time
    async def test_pipelined_requests_amid_a_drain_are_answered(
        self,
    ) -> None:
        caller = await self.start()
        self.server.drain()
        caller.send(GET * 3)
        responses = await caller.receive_all()
        self.assertEqual(responses.count(b" 200 "), 3)
        self.assertEqual(responses.count(b"connection: close"), 1)

    @in_virtual_time
    async def test_request_cut_by_a_stop_is_told_so(self) -> None:
        self.hangs = True
        for request in (GET, POST, POST[:-1]):
            with self.subTest(request):
                caller = await self.start()
                caller.send(request)
                await asyncio.sleep(0.1)
                self.assertEqual(await self.server.stop(1.0), 1)
                response = await caller.receive_all()
                self.assertIn(b" 502 ", response[:20])
                self.assertIn(b"run-state: unknown", response)
                self.assertIn(b"connection: close", response)

    @in_virtual_time
    async def test_ready_response_is_delivered_by_a_stop(self) -> None:
        self.reads_body = False
        caller = await self.start()
        caller.send(POST[:-1])
        await asyncio.sleep(0.1)
        await self.server.stop(1.0)
        self.assertIn(b" 200 ", (await caller.receive_all())[:20])

    @in_virtual_time
    async def test_answer_of_a_target_at_the_end_of_a_stop(self) -> None:
        ours, target = socket.socketpair()
        self.addCleanup(target.close)
        caller = await self.start()
        reader, writer = await asyncio.open_connection(sock=ours)

        async def forward(_request: Request) -> Response:
            await reader.readexactly(2)
            return self.response

        self.server.handler = forward
        caller.send(GET)
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(self.server.stop(5.0))
        await asyncio.sleep(0.1)
        self.loop.call_later(0.1, target.sendall, b"ok")
        self.loop.stall(STALL_S)
        self.assertIn(b" 200 ", (await caller.receive())[:20])
        self.assertEqual(await stopping, 0)
        writer.close()

    @in_virtual_time
    async def test_unhandled_request_at_a_stop_is_told_not_run(self) -> None:
        caller = await self.start()
        caller.send(GET[:-1])
        await asyncio.sleep(0.1)
        await self.server.stop(1.0)
        response = await caller.receive_all()
        self.assertIn(b" 503 ", response[:20])
        self.assertIn(b"run-state: not-run", response)
        self.assertIn(b"retry-after: 1", response)

    @in_virtual_time
    async def test_idle_connection_at_a_stop_gets_no_bytes(self) -> None:
        caller = await self.start()
        await self.server.stop(0.0)
        self.assertEqual(await caller.receive_all(), b"")

    @in_virtual_time
    async def test_request_after_a_stop_has_closed_is_not_read(self) -> None:
        caller = await self.start()
        stopping = asyncio.create_task(self.server.stop(0.1))
        await asyncio.sleep(0.15)
        with self.assertRaises(BrokenPipeError):
            caller.send(GET)
        await stopping

    @in_virtual_time
    async def test_oversized_head_is_rejected_before_it_ends(self) -> None:
        caller = await self.start()
        caller.send(GET[:-2] + b"x: " + b"a" * 2000)
        self.assertIn(b" 431 ", (await caller.receive())[:20])
        self.assertLess(self.loop.time(), 1.0)

    @in_virtual_time
    async def test_head_request_gets_no_body(self) -> None:
        self.response = Response(200, ((b"content-length", b"2"),), b"ok")
        caller = await self.start()
        for _ in range(2):
            caller.send(GET.replace(b"GET", b"HEAD"))
            response = await caller.receive()
            self.assertIn(b" 200 ", response[:20])
            self.assertTrue(response.endswith(b"\r\n\r\n"))

    @in_virtual_time
    async def test_request_in_the_buffer_at_a_stop_is_answered(self) -> None:
        caller = await self.start()
        caller.send(GET)
        await self.server.stop(0.0)
        self.assertRegex(await caller.receive_all(), rb"^HTTP/1.1 (200|503) ")

    @in_virtual_time
    async def test_connection_amid_a_stop_of_a_late_loop_is_answered(
        self,
    ) -> None:
        """Connect, then stand still, in each iteration of a stop."""
        await self.start()
        for connect_at, late_by in itertools.product(range(6), range(9)):
            server = HttpServer(self.handle, LIMITS, EventLog())
            address = await server.start(Address())
            client_socket = socket.socket()
            self.addCleanup(client_socket.close)
            stopping = asyncio.create_task(server.stop(1.0))
            for _ in range(connect_at):
                await asyncio.sleep(0)
            try:
                client_socket.connect((address.host, address.port))
            except ConnectionRefusedError:
                await stopping
                continue
            client_socket.sendall(GET)
            for _ in range(late_by):
                await asyncio.sleep(0)
            self.loop.stall(STALL_S)
            await stopping
            with self.subTest(connect_at=connect_at, late_by=late_by):
                client_socket.settimeout(10.0)
                response = client_socket.recv(65536)
                self.assertRegex(response, rb"^HTTP/1.1 (200|503) ")

    @in_virtual_time
    async def test_stop_is_not_held_up_by_a_caller_it_cuts(self) -> None:
        self.hangs = True
        caller = await self.start()
        caller.send(GET)
        await asyncio.sleep(0.1)
        began_s = self.loop.time()
        await self.server.stop(1.0)
        self.assertLess(self.loop.time() - began_s, 1.5)

    @in_virtual_time
    async def test_invalid_response_is_replaced_by_an_error(self) -> None:
        for response in (
            Response(200, ((b"x", b"a\nb"),)),
            Response(99),
            Response(200, ((b"content-length", b"1"),), b"abc"),
            Response(200, ((b"content-length", b"9"),), b"abc"),
        ):
            with self.subTest(response):
                self.response = response
                caller = await self.start()
                caller.send(GET)
                answer = await caller.receive_all()
                self.assertIn(b" 502 ", answer[:20])
                self.assertIn(b"run-state: unknown", answer)
                self.assertEqual(answer.count(b"HTTP/1.1"), 1)

    @in_virtual_time
    async def test_caller_that_leaves_amid_its_body_is_no_error(self) -> None:
        logs = io.StringIO()
        configure_logging(logs, logging.INFO)
        self.pause_s = 0.1
        caller = await self.start()
        caller.send(POST)
        await asyncio.sleep(0.05)
        caller.close()
        await asyncio.sleep(0.3)
        self.assertNotIn('"number": 203', logs.getvalue())

    @in_virtual_time
    async def test_unexpected_error_of_a_stream_is_logged(self) -> None:
        async def body() -> AsyncIterator[bytes]:
            yield b"begun"
            raise ValueError("unexpected")

        logs = io.StringIO()
        configure_logging(logs, logging.INFO)
        self.response = Response(200, (), body())
        caller = await self.start()
        caller.send(GET)
        answer = await caller.receive_all()
        await asyncio.sleep(0.1)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))
        self.assertIn('"number": 203', logs.getvalue())
        self.assertEqual(self.loop_errors, [])


class ReadDeadlineTest(unittest.TestCase):
    """Read from one end of a pair of sockets until a deadline."""

    async def start(self) -> None:
        """Connect a reader."""
        self.loop = asyncio.get_running_loop()
        ours, self.peer = socket.socketpair()
        self.addCleanup(self.peer.close)
        self.reader = WatchedReader(65536)
        await self.loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(self.reader), sock=ours
        )
        await asyncio.sleep(0.1)

    @in_virtual_time
    async def test_bytes_before_a_late_read_count(self) -> None:
        await self.start()
        self.peer.sendall(b"ab")
        deadline = ReadDeadline(self.loop.time() - 1.0)
        self.assertEqual(await deadline.read(self.reader, 1), b"a")
        self.peer.sendall(b"c")
        await asyncio.sleep(0.1)
        self.assertEqual(await deadline.read(self.reader, 9), b"b")
        with self.assertRaises(TimeoutError):
            await deadline.read(self.reader, 9)

    @in_virtual_time
    async def test_deadline_moved_as_it_expires_is_not_over(self) -> None:
        await self.start()
        now_s = self.loop.time()
        deadline = ReadDeadline(now_s + 1.0)
        self.loop.call_at(
            now_s + 1.0, self.loop.call_soon, deadline.reschedule, now_s + 9.0
        )
        self.loop.call_at(now_s + 5.0, self.peer.sendall, b"a")
        self.assertEqual(await deadline.read(self.reader, 9), b"a")

    @in_virtual_time
    async def test_end_of_a_stream_before_the_limit_is_returned(self) -> None:
        await self.start()
        self.peer.close()
        deadline = ReadDeadline(self.loop.time() - 1.0)
        self.assertEqual(await deadline.read(self.reader, 9), b"")


class LateLoopConnection:
    """Stand in for a link whose replies are read by a loop that runs late."""

    def __init__(self, reply: object) -> None:
        self._reply = MESSAGES.to_tagged_list(reply)
        self._frames: asyncio.Queue[bytes] = asyncio.Queue()

    async def send(self, frame: bytes) -> None:
        """Have the reply arrive, then stand still."""
        request_id, _ = decode_frame(frame)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        reply = encode_frame(request_id, self._reply)
        loop.call_later(0.1, self._frames.put_nowait, reply)
        loop.call_soon(loop.stall, STALL_S)

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the frames that arrive; each takes some reads."""
        while True:
            frame = await self._frames.get()
            for _ in range(8):
                await asyncio.sleep(0)
            yield frame

    async def close(self) -> None:
        """Return: there is nothing to close."""


class LateReplyTest(unittest.TestCase):
    """Wait for a peer's reply through a stall of this process."""

    @in_virtual_time
    async def test_reply_before_the_limit_is_returned(self) -> None:
        reply = ViewNotice(1, None, ())
        client = PeerClient("a", Address(), "secret", EventLog())
        conn: Any = LateLoopConnection(reply)
        client._conn = conn
        reading = asyncio.create_task(client._read_replies(conn))
        self.assertEqual(await client.request(FetchView(0), 1.0), reply)
        reading.cancel()
