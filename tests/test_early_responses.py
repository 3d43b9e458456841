"""A caller gets the response that comes before its body has arrived."""

import asyncio
import io
import logging
import socket
import unittest

from tests.test_caller_ends import in_virtual_time
from wigeonford.errors import Code, RequestRejected
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import Handler, HttpServer, Request, Response
from wigeonford.settings import Address, CallerLimits

BODY_BYTES = 360_000
PIECE_BYTES = 15_000
GAP_S = 0.9
LONG_PAUSE_S = 10.0
"""Between two pieces; a body takes 21.6 s, as on a full link."""
LIMITS = CallerLimits(body_bytes=BODY_BYTES)
MARGIN_S = 1.0
MAX_READ_ON_S = 30.0
ENDLESS_BYTES = 1 << 40
INVALID_HEAD = b"POST / HTTP/1.1\r\nhost a\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
MAX_CONNECTIONS = 10
MAX_OPEN = 11
"""With those that linger after their last response."""
TRICKLE_S = 0.4
SMALL_BODY_WAIT_S = 0.6
"""Exceeds the time that a response waits for a small body."""
MAX_TRICKLE_S = 1.0


def _post(length: int) -> bytes:
    return b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % length


async def _refuse(_request: Request) -> Response:
    raise RequestRejected(Code.DRAINING)


async def _read_body(request: Request) -> Response:
    async for _ in request.body:
        continue
    return Response(200, ((b"content-length", b"0"),))


async def _refuse_amid_body(request: Request) -> Response:
    async for _ in request.body:
        raise RequestRejected(Code.DRAINING)
    raise AssertionError("the body has bytes")


async def _respond_invalidly(_request: Request) -> Response:
    return Response(200, ((b"content-length", b"1"),), b"too long")


class SlowUploadTest(unittest.TestCase):
    """Send a body in pieces; read the response after the last one."""

    def setUp(self) -> None:
        self.logs = io.StringIO()
        configure_logging(self.logs, logging.INFO)
        self.handler: Handler = _refuse
        self.limits = LIMITS

    async def connect(self) -> socket.socket:
        """Start a server; return a connected socket."""
        self.server = HttpServer(self.handler, self.limits, EventLog())
        address = await self.server.start(Address())
        sock = socket.create_connection((address.host, address.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    async def send(
        self, sock: socket.socket, size_bytes: int, gap_s: float = GAP_S
    ) -> None:
        """Send a body in pieces."""
        loop = asyncio.get_running_loop()
        for _ in range(0, size_bytes, PIECE_BYTES):
            await loop.sock_sendall(sock, b"b" * PIECE_BYTES)
            await asyncio.sleep(gap_s)

    async def upload(
        self, head: bytes, size_bytes: int = BODY_BYTES, gap_s: float = GAP_S
    ) -> bytes:
        """Return the start of the response to a whole body."""
        sock = await self.connect()
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, head)
        await self.send(sock, size_bytes, gap_s)
        response = await loop.sock_recv(sock, 1 << 16)
        sock.close()
        await self.server.stop(0.0)
        return response[:12]

    @in_virtual_time
    async def test_rejected_head_on_a_slow_link(self) -> None:
        self.limits = CallerLimits(body_bytes=BODY_BYTES - 1)
        response = await self.upload(_post(BODY_BYTES))
        self.assertEqual(b"HTTP/1.1 413", response)

    @in_virtual_time
    async def test_invalid_head_on_a_slow_link(self) -> None:
        response = await self.upload(INVALID_HEAD)
        self.assertEqual(b"HTTP/1.1 400", response)

    @in_virtual_time
    async def test_refusal_before_the_body_on_a_slow_link(self) -> None:
        response = await self.upload(_post(BODY_BYTES))
        self.assertEqual(b"HTTP/1.1 503", response)

    @in_virtual_time
    async def test_refusal_before_a_body_that_pauses(self) -> None:
        size_bytes = 3 * PIECE_BYTES
        head = _post(size_bytes)
        response = await self.upload(head, size_bytes, LONG_PAUSE_S)
        self.assertEqual(b"HTTP/1.1 503", response)

    @in_virtual_time
    async def test_refusal_amid_the_body_on_a_slow_link(self) -> None:
        self.handler = _refuse_amid_body
        response = await self.upload(_post(BODY_BYTES))
        self.assertEqual(b"HTTP/1.1 503", response)

    @in_virtual_time
    async def test_error_after_an_invalid_response_on_a_slow_link(
        self,
    ) -> None:
        self.handler = _respond_invalidly
        response = await self.upload(_post(BODY_BYTES))
        self.assertEqual(b"HTTP/1.1 502", response)

    @in_virtual_time
    async def test_refusal_does_not_wait_for_a_slow_body(self) -> None:
        for sent in (b"", b"b"):
            with self.subTest(sent=sent):
                sock = await self.connect()
                sock.send(_post(PIECE_BYTES) + sent)
                await asyncio.sleep(MARGIN_S)
                self.assertIn(b" 503 ", sock.recv(1 << 16)[:20])
                await self.server.stop(0.0)

    @in_virtual_time
    async def test_connection_is_kept_after_an_unread_small_body(
        self,
    ) -> None:
        sock = await self.connect()
        for _ in range(2):
            sock.send(_post(PIECE_BYTES) + b"b" * PIECE_BYTES)
            await asyncio.sleep(MARGIN_S)
            response = sock.recv(1 << 16)
            self.assertIn(b" 503 ", response[:20])
            self.assertNotIn(b"close", response.lower())
        await self.server.stop(0.0)

    @in_virtual_time
    async def test_body_is_read_though_its_limit_falls_meanwhile(
        self,
    ) -> None:
        self.handler = _read_body
        asyncio.get_running_loop().call_later(
            GAP_S, self.set_limits, CallerLimits(body_bytes=1024)
        )
        response = await self.upload(_post(BODY_BYTES))
        self.assertEqual(b"HTTP/1.1 200", response)

    def set_limits(self, limits: CallerLimits) -> None:
        """Put limits in force."""
        self.server.limits = limits

    @in_virtual_time
    async def test_stalled_caller_is_not_waited_for_without_end(self) -> None:
        self.limits = CallerLimits(body_bytes=BODY_BYTES - 1)
        sock = await self.connect()
        sock.send(_post(BODY_BYTES))
        await asyncio.sleep(LIMITS.body_idle_timeout_s + MARGIN_S)
        self.assertFalse(self.server._tasks)
        self.assertIn('"number": 206', self.logs.getvalue())
        await self.server.stop(0.0)

    @in_virtual_time
    async def test_caller_that_sends_on_is_not_read_without_end(self) -> None:
        for gap_s in (GAP_S, MARGIN_S / 1000):
            with self.subTest(gap_s=gap_s):
                await self.check_endless(gap_s)

    async def check_endless(self, gap_s: float) -> None:
        """Check that a body without end ends by a reset."""
        self.limits = CallerLimits(body_bytes=1024)
        sock = await self.connect()
        sock.send(_post(ENDLESS_BYTES))
        began_s = asyncio.get_running_loop().time()
        with self.assertRaises(ConnectionError):
            await self.send(sock, ENDLESS_BYTES, gap_s)
        waited_s = asyncio.get_running_loop().time() - began_s
        self.assertLess(waited_s, MAX_READ_ON_S + 2 * MARGIN_S)
        await self.server.stop(0.0)

    @in_virtual_time
    async def test_caller_that_has_sent_all_is_not_waited_for(self) -> None:
        self.limits = CallerLimits(body_bytes=PIECE_BYTES - 1)
        sock = await self.connect()
        sock.send(_post(PIECE_BYTES) + b"b" * PIECE_BYTES)
        await asyncio.sleep(MARGIN_S)
        self.assertIn(b" 413 ", sock.recv(1 << 16)[:20])
        self.assertFalse(self.server._tasks)
        self.assertNotIn('"number": 206', self.logs.getvalue())
        await self.server.stop(0.0)

    @in_virtual_time
    async def test_caller_that_leaves_with_its_response_has_left(self) -> None:
        sock = await self.connect()
        sock.send(_post(BODY_BYTES) + b"b" * PIECE_BYTES)
        await asyncio.sleep(MARGIN_S)
        self.assertIn(b" 503 ", sock.recv(1 << 16)[:20])
        sock.close()
        await asyncio.sleep(MARGIN_S)
        self.assertFalse(self.server._tasks)
        self.assertNotIn('"number": 206', self.logs.getvalue())
        await self.server.stop(0.0)

    @in_virtual_time
    async def test_rejected_head_of_a_head_request_is_answered(self) -> None:
        self.limits = CallerLimits(head_bytes=1024)
        sock = await self.connect()
        sock.send(b"HEAD /" + b"p" * 1024 + b" HTTP/1.1\r\nhost: a\r\n\r\n")
        await asyncio.sleep(MARGIN_S)
        response = sock.recv(1 << 16)
        self.assertIn(b" 431 ", response[:20])
        self.assertTrue(response.endswith(b"\r\n\r\n"))
        await self.server.stop(0.0)


class LingeringCallersTest(unittest.TestCase):
    """Callers that have a response send on, beside proper callers."""

    def setUp(self) -> None:
        self.logs = io.StringIO()
        configure_logging(self.logs, logging.INFO)

    async def start(self, handler: Handler = _read_body) -> None:
        """Start a server with a low limit on connections."""
        limits = CallerLimits(
            body_bytes=BODY_BYTES,
            connections=MAX_CONNECTIONS,
            connections_per_address=MAX_CONNECTIONS,
        )
        self.server = HttpServer(handler, limits, EventLog())
        self.address = await self.server.start(Address())

    async def connect(self, data: bytes) -> socket.socket:
        """Return a socket that has connected and sent some bytes."""
        sock = socket.create_connection((self.address.host, self.address.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.send(data)
        await asyncio.sleep(0.01)
        return sock

    async def trickle(self, sock: socket.socket) -> float:
        """Send a byte at a time; return when the server closed."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with self.assertRaises(ConnectionError):
            while loop.time() - began_s < 2 * MAX_READ_ON_S:
                await loop.sock_sendall(sock, b"b")
                await asyncio.sleep(TRICKLE_S)
        return loop.time() - began_s

    async def check_served(self) -> None:
        """Check that a proper caller is served."""
        sock = await self.connect(GET)
        self.assertIn(b" 200 ", sock.recv(1 << 16)[:20])
        sock.close()

    @in_virtual_time
    async def test_callers_that_hardly_send_on_are_not_waited_for(
        self,
    ) -> None:
        await self.start()
        for head in (INVALID_HEAD, GET + INVALID_HEAD):
            with self.subTest(head):
                waited_s = await self.trickle(await self.connect(head))
                # The first byte after the close is not refused yet.
                self.assertLess(waited_s, MAX_TRICKLE_S + 2 * TRICKLE_S)
        await self.server.stop(0.0)

    @in_virtual_time
    async def test_callers_with_a_response_hold_no_place(self) -> None:
        async def respond(request: Request) -> Response:
            if request.method == "GET":
                return Response(200, ((b"content-length", b"0"),))
            return await _refuse(request)

        for head, gap_s in (
            (INVALID_HEAD, MARGIN_S / 100),
            (_post(BODY_BYTES), SMALL_BODY_WAIT_S),
        ):
            with self.subTest(head):
                await self.start(respond)
                for _ in range(2 * MAX_CONNECTIONS):
                    sock = await self.connect(head)
                    await asyncio.sleep(gap_s)
                    response = sock.recv(1 << 16)
                    self.assertNotIn(b"code: 1006", response)
                    self.assertLessEqual(len(self.server._tasks), MAX_OPEN)
                await self.check_served()
                await self.server.stop(0.0)

    @in_virtual_time
    async def test_the_oldest_that_linger_are_closed_first(self) -> None:
        await self.start(_refuse)
        socks = []
        for _ in range(MAX_OPEN + 3):
            socks.append(await self.connect(_post(BODY_BYTES)))
            await asyncio.sleep(SMALL_BODY_WAIT_S)
        for number, sock in enumerate(socks):
            with self.subTest(number):
                is_closed = self.is_closed(sock)
                self.assertIs(number < 3, is_closed)
        self.assertEqual(3, self.logs.getvalue().count('"number": 206'))
        await self.server.stop(0.0)

    def is_closed(self, sock: socket.socket) -> bool:
        """Return whether the server closed a connection both ways."""
        self.assertIn(b" 503 ", sock.recv(1 << 16)[:20])
        try:
            sock.send(b"b")
            sock.send(b"b")
        except ConnectionError:
            return True
        return False

    @in_virtual_time
    async def test_callers_over_the_limit_are_not_waited_for(self) -> None:
        await self.start()
        for _ in range(MAX_CONNECTIONS):
            await self.connect(b"")
        for data in (b"", GET, _post(BODY_BYTES), INVALID_HEAD):
            with self.subTest(data):
                sock = await self.connect(data)
                self.assertIn(b" 503 ", sock.recv(1 << 16)[:20])
                waited_s = await self.trickle(sock)
                self.assertLess(waited_s, MAX_TRICKLE_S + 2 * TRICKLE_S)
        self.assertEqual(MAX_CONNECTIONS, len(self.server._tasks))
        await self.server.stop(0.0)
