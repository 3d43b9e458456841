"""Why callers' connections end is counted, and lost requests are logged."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
import io
import json
import logging
import unittest

from wigeonford.errors import Code, RequestRejected
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import (
    find_header,
    Headers,
    HttpServer,
    Request,
    Response,
    ResponseBroken,
)
from wigeonford.settings import Address, CallerLimits

REQUEST = b"GET /%s HTTP/1.1\r\nhost: a\r\nx-id: 7\r\n\r\n"


async def _cut_body() -> AsyncIterator[bytes]:
    yield b"begun"
    raise ResponseBroken("cut")


async def _handle(request: Request) -> Response:
    if request.path == "/refuse":
        raise RequestRejected(Code.BAD_ARGUMENT)
    if request.path == "/fail":
        raise ValueError("unexpected")
    if request.path == "/hang":
        await asyncio.sleep(60.0)
    if request.path == "/cut":
        return Response(200, (), _cut_body())
    if request.path == "/invalid":
        return Response(200, ((b"content-length", b"1"),), b"too long")
    return Response(200, ((b"content-length", b"2"),), b"ok")


def _find_id(headers: Headers) -> str:
    return find_header(headers, b"x-id") or ""


class ConnectionEndsTest(unittest.IsolatedAsyncioTestCase):
    """Run one server on loopback."""

    async def asyncSetUp(self) -> None:
        self.logs = io.StringIO()
        configure_logging(self.logs, logging.INFO)
        self.ends: Counter[tuple[str, bool]] = Counter()
        self.server = HttpServer(
            _handle,
            CallerLimits(keep_alive_s=0.1),
            EventLog(),
            _find_id,
            lambda reason, lost: self.ends.update([(reason, lost)]),
        )
        self.address = await self.server.start(Address())
        self.addAsyncCleanup(self.server.stop, 0.0)

    async def send(self, path: bytes) -> bytes:
        """Send one request; return what comes until the connection ends."""
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        self.addCleanup(writer.close)
        writer.write(REQUEST % path)
        response = await reader.read()
        writer.close()
        while self.server._tasks:
            await asyncio.sleep(0)
        return response

    async def test_idle_connection_ends_without_a_lost_request(self) -> None:
        self.assertIn(b"200", await self.send(b""))
        self.assertEqual({("idle", False): 1}, self.ends)
        self.assertNotIn('"number": 204', self.logs.getvalue())

    async def cut(self, end: Callable[[], Awaitable[object]]) -> bytes:
        """End a server amid a request; return what its caller gets."""
        sending = asyncio.create_task(self.send(b"hang"))
        while not any(conn.is_busy for conn in self.server._tasks.values()):
            await asyncio.sleep(0)
        await end()
        return await sending

    async def test_request_cut_by_the_server_is_logged_with_its_id(
        self,
    ) -> None:
        await self.cut(self.server.abort)
        self.assertEqual({("stopped", True): 1}, self.ends)
        self.assertIn('"request": "7"', self.logs.getvalue())
        self.assertIn('"number": 204', self.logs.getvalue())

    async def test_each_refusal_is_logged_with_the_requests_id(self) -> None:
        self.server.limits = CallerLimits(keep_alive_s=0.1, head_bytes=1024)
        for path, number, status in (
            (b"refuse", 200, b" 400 "),
            (b"fail", 203, b" 500 "),
            (b"p" * 1024, 200, b" 431 "),
        ):
            with self.subTest(path=path[:9]):
                self.logs.truncate(0)
                self.assertIn(status, (await self.send(path))[:20])
                logged = f'"number": {number}, "request": "7"'
                self.assertIn(logged, self.logs.getvalue())

    async def test_request_that_is_told_of_its_cut_is_not_lost(self) -> None:
        response = await self.cut(lambda: self.server.stop(0.0))
        self.assertIn(b" 502 ", response)
        self.assertEqual({("stopped", False): 1}, self.ends)
        self.assertNotIn('"number": 204', self.logs.getvalue())

    async def test_idle_connections_that_a_stop_closes_are_counted(
        self,
    ) -> None:
        for grace_s in (1.0, 0.0):
            with self.subTest(grace_s=grace_s):
                await self.asyncSetUp()
                self.server.limits = CallerLimits()
                for _ in range(2):
                    reader, writer = await asyncio.open_connection(
                        self.address.host, self.address.port
                    )
                    self.addCleanup(writer.close)
                    writer.write(REQUEST % b"")
                    await reader.readuntil(b"ok")
                await self.server.stop(grace_s)
                (line,) = (
                    json.loads(text)
                    for text in self.logs.getvalue().splitlines()
                    if '"number": 205' in text
                )
                self.assertEqual((2, 0), (line["idle"], line["cut"]))

    async def test_invalid_response_is_answered_by_an_error(self) -> None:
        self.assertIn(b" 502 ", await self.send(b"invalid"))
        self.assertEqual({("response-broken", False): 1}, self.ends)

    async def test_cut_response_does_not_look_whole_to_http_1_0(
        self,
    ) -> None:
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        self.addCleanup(writer.close)
        writer.write(b"GET /cut HTTP/1.0\r\n\r\n")
        with self.assertRaises(ConnectionResetError):
            await reader.read()
