"""The HTTP server responds to invalid input with an error code."""

import asyncio
import io
import unittest

from wigeonford.errors import Code
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import Handler, HttpServer, Request, Response
from wigeonford.platform._front import decode_request
from wigeonford.settings import Address, CallerLimits

LIMITS = CallerLimits(head_bytes=1024, body_bytes=4096, head_timeout_s=5.0)

INVALID_INPUTS = (
    ("two lengths", b"content-length: 1\r\ncontent-length: 2\r\n\r\na", 1003),
    (
        "length beside coding",
        b"content-length: 1\r\ntransfer-encoding: chunked\r\n\r\na",
        1003,
    ),
    ("oversized head", b"x: " + b"a" * 2000 + b"\r\n\r\n", 1001),
    ("oversized body", b"content-length: 5000\r\n\r\n", 1002),
    ("truncated body", b"content-length: 9\r\n\r\nabc", 1004),
    ("broken header", b"no colon\r\n\r\n", 1000),
)


async def _echo(request: Request) -> Response:
    body = b"".join([chunk async for chunk in request.body])
    length = (b"content-length", str(len(body)).encode())
    return Response(200, (length,), body)


async def _echo_target(request: Request) -> Response:
    echoed = await _echo(request)
    content = decode_request(request).target.encode()
    length = (b"content-length", str(len(content)).encode())
    return Response(echoed.status, (length,), content)


async def _exchange(request_bytes: bytes, handler: Handler = _echo) -> bytes:
    server = HttpServer(handler, LIMITS, EventLog())
    address = await server.start(Address())
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(request_bytes)
    writer.write_eof()
    response = await reader.read()
    writer.close()
    await server.stop(1.0)
    return response


class HttpServerTest(unittest.TestCase):
    """Send raw bytes to an HTTP server."""

    def setUp(self) -> None:
        self.logs = io.StringIO()
        configure_logging(self.logs)

    def test_bad_input_gets_its_number(self) -> None:
        head_start = b"POST / HTTP/1.1\r\nhost: a\r\n"
        for name, rest, number in INVALID_INPUTS:
            with self.subTest(name):
                response = asyncio.run(_exchange(head_start + rest))
                self.assertIn(b"wigeonford-code: %d\r\n" % number, response)
                self.assertIn(b"wigeonford-run-state: not-run", response)

    def test_pipelined_requests_get_their_own_answers(self) -> None:
        request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n"
        response = asyncio.run(_exchange(request + b"abc" + request + b"def"))
        self.assertLess(response.index(b"abc"), response.index(b"def"))

    # A query that is empty was left out of what targets got.
    def test_target_is_passed_on_as_it_was_sent(self) -> None:
        for target in (b"/a", b"/a?", b"/a?b", b"/a??"):
            with self.subTest(target):
                request = b"POST %s HTTP/1.1\r\nhost: a\r\n" % target
                response = asyncio.run(
                    _exchange(
                        request + b"content-length: 3\r\n\r\nabc",
                        _echo_target,
                    )
                )
                self.assertTrue(response.endswith(b"\r\n\r\n" + target))

    def test_codes_of_the_cases_exist(self) -> None:
        known = {code.number for code in Code}
        self.assertLessEqual(
            {number for _, _, number in INVALID_INPUTS}, known
        )
