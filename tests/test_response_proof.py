"""What a target's response proves, and answers that break off."""

import asyncio
from collections.abc import AsyncIterator, Sequence
import socket
import struct
import time
from typing import Final
import unittest

from tests.test_deployment import make_announcement
from wigeonford.errors import Code, RequestRejected
from wigeonford.http import ConnectionPool, Request, Response
from wigeonford.platform._front import (
    decode_request,
    encode_response,
    PlatformTargetWire,
)
from wigeonford.settings import Address
from wigeonford.steer._attempt import (
    Attempt,
    AttemptResult,
    MAX_BUFFERED_RESPONSE_BYTES,
    Outcome,
    TargetConnections,
)
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._target_records import TargetRecord

WAIT_S: Final = 20.0
SIGNED: Final = b"x-response-signature: s\r\n"
NOT_RUN: Final = b"x-not-executed: 1\r\n"


def respond(
    status: bytes, request_id: str, headers: bytes = b"", body: bytes = b"own"
) -> bytes:
    """Return a response; it echoes no id if `request_id` is empty."""
    echo = f"x-attempt-id: {request_id}\r\n".encode() if request_id else b""
    length = b"content-length: %d\r\n" % len(body)
    return (
        b"HTTP/1.1 %b\r\n" % status + echo + headers + length + b"\r\n" + body
    )


def answer(request_id: str, headers: bytes = b"") -> bytes:
    """Return the answer of a target that ran a request."""
    return respond(b"200 OK", request_id, SIGNED + headers)


def refusal(request_id: str) -> bytes:
    """Return the refusal of a target that is full."""
    return respond(b"503 Busy", request_id, NOT_RUN)


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a request after reading all of the request."""
    head = await reader.readuntil(b"\r\n\r\n")
    if b"transfer-encoding" in head:
        await reader.readuntil(b"0\r\n\r\n")
    return head


class ScriptedTarget:
    """Send the scripted parts for each request on each connection.

    After the last part of a script the connection ends as `end` says, or
    stays open if it is empty. With `stall_s`, the process stands still for
    so long right after a part that ends a script was sent.
    """

    def __init__(
        self,
        scripts: Sequence[Sequence[Sequence[bytes]]],
        end: str = "",
        stall_s: float = 0.0,
    ) -> None:
        self._scripts = list(scripts)
        self._end = end
        self._stall_s = stall_s
        self._wire = PlatformTargetWire()
        self.connections = TargetConnections(self._wire)
        self.connection_count = 0
        self.address = Address()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, test: unittest.IsolatedAsyncioTestCase) -> None:
        """Listen until the end of a test."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        test.addCleanup(server.close)
        test.addAsyncCleanup(self._end_connections)
        port = server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)
        announcement = make_announcement(address=str(self.address))
        self._record = TargetRecord(announcement, "south", 0.0)

    async def _end_connections(self) -> None:
        self.connections.close()
        await asyncio.gather(*self._tasks)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None, "connections are served in tasks"
        self._tasks.append(task)
        script = self._scripts[self.connection_count]
        self.connection_count += 1
        try:
            for parts in script:
                await read_request(reader)
                for part in parts:
                    writer.write(part)
                    if self._stall_s and part is parts[-1]:
                        time.sleep(self._stall_s)  # noqa: ASYNC251
                    await writer.drain()
                    await asyncio.sleep(0.05 if self._stall_s else 0)
            if self._end == "reset":
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
            elif not self._end:
                await reader.read()
        except (OSError, EOFError):
            pass
        writer.close()

    async def send(
        self,
        request_id: str,
        body: bytes | AsyncIterator[bytes] = b"",
        account: str | None = None,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        left_s: float = WAIT_S,
    ) -> AttemptResult:
        """Return the result of an attempt."""
        if request_id:
            headers = (*headers, (b"x-attempt-id", request_id.encode()))
        req = SteerRequest(
            request_id,
            "POST",
            "h",
            "/",
            "/",
            ((b"host", b"h"), *headers),
            None,
            "",
            WAIT_S,
            no_body(),
            False,
            0.0,
        )
        deadline_s = time.monotonic() + left_s
        async with asyncio.timeout(WAIT_S):
            return await self.connections.send(
                Attempt(req, self._record, account, body, deadline_s)
            )


async def no_body() -> AsyncIterator[bytes]:
    """Yield nothing."""
    return
    yield b""


class ProofTest(unittest.IsolatedAsyncioTestCase):
    """A statement counts only for the request that it is shown to answer."""

    async def make_target(
        self, *scripts: Sequence[Sequence[bytes]], end: str = ""
    ) -> ScriptedTarget:
        target = ScriptedTarget(scripts, end)
        await target.start(self)
        return target

    async def test_statement_without_id_on_a_used_connection_is_no_proof(
        self,
    ) -> None:
        for statement in (
            refusal(""),
            respond(b"400 Bad", "", NOT_RUN),
            respond(b"421 Other", ""),
            respond(b"404 Gone", "", SIGNED),
        ):
            for parts in ([statement], [statement[:30], statement[30:]]):
                with self.subTest(parts):
                    target = await self.make_target([[answer("a")], parts])
                    first = await target.send("a")
                    self.assertIs(Outcome.ANSWERED, first.outcome)
                    second = await target.send("b")
                    self.assertIs(Outcome.BROKEN, second.outcome)
                    self.assertEqual(1, target.connection_count)

    async def test_statement_without_id_on_a_new_connection_counts(
        self,
    ) -> None:
        for statement, outcome in (
            (refusal(""), Outcome.NOT_RUN),
            (respond(b"421 Other", ""), Outcome.WRONG_TARGET),
            (respond(b"404 Gone", "", SIGNED), Outcome.ANSWERED),
        ):
            for request_id in ("a", ""):
                target = await self.make_target([[statement]])
                result = await target.send(request_id)
                self.assertIs(outcome, result.outcome, statement)

    async def test_request_without_id_uses_a_new_connection(self) -> None:
        target = await self.make_target(
            [[answer("a")], [refusal("")]], [[refusal("")]]
        )
        await target.send("a")
        result = await target.send("")
        self.assertIs(Outcome.NOT_RUN, result.outcome)
        self.assertEqual(2, target.connection_count)

    async def test_id_used_again_gets_another_connection(self) -> None:
        copied = [refusal("a"), answer("a")]
        target = await self.make_target(
            [[refusal("a")], copied], [[answer("a")]]
        )
        first = await target.send("a")
        self.assertIs(Outcome.NOT_RUN, first.outcome)
        second = await target.send("a")
        self.assertIs(Outcome.ANSWERED, second.outcome)
        self.assertEqual(2, target.connection_count)

    async def test_refusal_of_an_earlier_request_is_read_past(self) -> None:
        copy, own = refusal("a"), answer("b")
        for parts in (
            [copy + own],
            [copy, own],
            [copy[:40], copy[40:] + own[:20], own[20:]],
        ):
            target = await self.make_target([[refusal("a")], parts])
            await target.send("a")
            result = await target.send("b")
            self.assertIs(Outcome.ANSWERED, result.outcome)
            self.assertEqual(1, target.connection_count)

    async def test_own_answer_right_before_a_close_is_read(self) -> None:
        target = await self.make_target(
            [[refusal("a")], [refusal("a") + answer("b")]], end="fin"
        )
        await target.send("a")
        result = await target.send("b")
        self.assertIs(Outcome.ANSWERED, result.outcome)

    async def test_refusal_repeated_during_an_upload_is_no_proof(self) -> None:
        async def upload() -> AsyncIterator[bytes]:
            yield b"part"

        chunked = ((b"transfer-encoding", b"chunked"),)
        for copy in (refusal("a"), refusal("")):
            target = await self.make_target([[refusal("a")], [copy]])
            await target.send("a")
            result = await target.send("b", upload(), headers=chunked)
            self.assertIs(Outcome.BROKEN, result.outcome)

    async def test_cut_refusal_joined_with_an_answer_is_no_proof(self) -> None:
        own = answer("b")
        for cut in (
            b"HTTP/1.1 503 Busy\r\nx-not-executed: 1",
            b"HTTP/1.1 421 Other\r\nretry-after: 0.",
            b"HTTP/1.1 404 Not",
            b"HTTP/1.1 103 Early Hints\r\nlink: a",
            b"HTTP/1.1 503 Busy\r\nx-attempt-id: a\r\nx-not-executed: 1\r\na:",
        ):
            for parts in ([cut + own], [cut, own]):
                target = await self.make_target([[refusal("a")], parts])
                await target.send("a")
                result = await target.send("b")
                self.assertIs(Outcome.BROKEN, result.outcome, cut)

    async def test_head_that_names_two_requests_is_no_proof(self) -> None:
        for ids in (("a", "b"), ("b", "a")):
            own = respond(
                b"503 Busy",
                ids[0],
                NOT_RUN + b"x-attempt-id: %s\r\n" % ids[1].encode(),
            )
            target = await self.make_target([[refusal("a")], [own]])
            await target.send("a")
            result = await target.send("b")
            self.assertIs(Outcome.BROKEN, result.outcome)


INTERIM: Final = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
CHUNKED: Final = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: a\r\n"
    + SIGNED
    + b"transfer-encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n"
)
UNFRAMED: Final = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: a\r\n" + SIGNED + b"\r\nwhole"
)


def cut_points(content: bytes) -> list[int]:
    """Return sizes at which to cut: around each delimiter and between."""
    return [
        size
        for size in range(len(content) + 1)
        if size % 8 == 0
        or size == len(content)
        or content[size - 1] in b"\r\n:"
    ]


class BrokenOffTest(unittest.IsolatedAsyncioTestCase):
    """An answer is whole or is not given as one."""

    async def check(
        self, content: bytes, end: str, is_whole: bool, step: int
    ) -> None:
        parts = [
            content[index : index + step]
            for index in range(0, len(content), step)
        ]
        target = ScriptedTarget([[parts]], end)
        await target.start(self)
        result = await target.send("a")
        expected = Outcome.ANSWERED if is_whole else Outcome.BROKEN
        self.assertIs(expected, result.outcome, (content, end, step))

    async def test_answer_that_breaks_off_anywhere_is_broken(self) -> None:
        for whole in (
            answer("a"),
            answer("a").replace(b"HTTP/1.1", b"HTTP/1.0"),
            INTERIM + answer("a"),
            CHUNKED,
        ):
            for size in cut_points(whole):
                is_whole = size == len(whole)
                for end, step in (("fin", 4096), ("fin", 1), ("reset", 9)):
                    await self.check(whole[:size], end, is_whole, step)

    async def test_unframed_answer_ends_by_a_regular_close_only(self) -> None:
        head_size = UNFRAMED.index(b"\r\n\r\n") + 4
        for whole in (UNFRAMED, UNFRAMED.replace(b"/1.1", b"/1.0")):
            for size in cut_points(whole):
                is_whole = size >= head_size
                await self.check(whole[:size], "fin", is_whole, 4096)
                await self.check(whole[:size], "reset", False, 9)

    async def test_close_by_the_sender_does_not_end_an_unframed_answer(
        self,
    ) -> None:
        target = ScriptedTarget([[[UNFRAMED]]])
        await target.start(self)
        begun = asyncio.Event()

        async def too_long_body() -> AsyncIterator[bytes]:
            yield b"abc\r\n0\r\n\r\n"
            await begun.wait()
            yield b"more than was announced"

        asyncio.get_running_loop().call_later(0.2, begun.set)
        result = await target.send(
            "a", too_long_body(), headers=((b"content-length", b"10"),)
        )
        self.assertIs(Outcome.BROKEN, result.outcome)

    def test_length_beside_chunks_is_not_passed_on(self) -> None:
        headers = (
            (b"content-length", b"9"),
            (b"transfer-encoding", b"chunked"),
        )
        request = make_caller_request()
        buffered = encode_response(request, Response(200, headers, b"own"))
        self.assertEqual("3", buffered.header(b"content-length"))
        streamed = encode_response(request, Response(200, headers, no_body()))
        self.assertIsNone(streamed.header(b"content-length"))


def make_caller_request(*headers: tuple[bytes, bytes]) -> Request:
    """Return a caller's request."""
    return Request("POST", "/", "", ((b"host", b"h"), *headers), "10.0.0.1")


BIG_BODY: Final = b"x" * (MAX_BUFFERED_RESPONSE_BYTES + 1)
STALL_S: Final = 0.8
"""Exceeds all limits of a request that has no time left."""


class StallTest(unittest.IsolatedAsyncioTestCase):
    """What has arrived before a time limit is in time after a stall."""

    async def test_answer_that_ends_before_the_limit_is_whole(self) -> None:
        target = ScriptedTarget([[[answer("a")[:-1], b"n"]]], "", STALL_S)
        await target.start(self)
        result = await target.send("a", left_s=0.1)
        self.assertIs(Outcome.ANSWERED, result.outcome)

    async def test_large_answer_that_ends_before_the_limit_is_whole(
        self,
    ) -> None:
        whole = respond(b"200 OK", "a", SIGNED, BIG_BODY + b"end")
        target = ScriptedTarget([[[whole[:-3], b"end"]]], "", STALL_S)
        await target.start(self)
        result = await target.send("a", left_s=0.1)
        assert result.response is not None, "the response has begun"
        body = result.response.body
        assert not isinstance(body, bytes), "the body is streamed"
        self.assertEqual(
            BIG_BODY + b"end", b"".join([chunk async for chunk in body])
        )

    async def test_connection_made_before_the_limit_is_used(self) -> None:
        target = ScriptedTarget([[[answer("a")]]])
        await target.start(self)
        pool = ConnectionPool()
        connecting = asyncio.create_task(
            pool.acquire(target.address, connect_timeout_s=0.1)
        )
        await asyncio.sleep(0)
        time.sleep(0.2)  # noqa: ASYNC251
        conn, reused = await connecting
        self.assertFalse(reused)
        conn.close()


class UnreadableHeaderTest(unittest.IsolatedAsyncioTestCase):
    """No header value hides whether a request has run."""

    async def test_odd_numbers_in_an_answer_leave_it_whole(self) -> None:
        for header in (
            b"keep-alive: timeout=" + b"9" * 400,
            b"keep-alive: timeout=" + b"9" * 5000,
            b"x-server-load: \xb2,1,1",
            b"x-server-load: 1,%b,1" % (b"9" * 5000),
        ):
            with self.subTest(header[:24]):
                target = ScriptedTarget([[[answer("a", header + b"\r\n")]]])
                await target.start(self)
                result = await target.send("a")
                self.assertIs(Outcome.ANSWERED, result.outcome)

    async def test_head_that_can_not_be_sent_is_not_sent(self) -> None:
        target = ScriptedTarget([[[answer("a")]]])
        await target.start(self)
        result = await target.send("a", account="two\nlines")
        self.assertIs(Outcome.WITHDRAWN, result.outcome)

    def test_odd_remaining_time_is_a_bad_argument(self) -> None:
        for value in (b"\xb2", b"9" * 400, b"9" * 5000):
            request = make_caller_request((b"x-deadline-remaining", value))
            with self.assertRaises(RequestRejected) as raised:
                decode_request(request)
            self.assertIs(Code.BAD_ARGUMENT, raised.exception.code)
