"""Planned stops cut nothing, and difficult callers are refused."""

import asyncio
from collections.abc import AsyncIterator
import io
import logging
from pathlib import Path
import socket
import tempfile
import unittest

import msgspec

from tests.callers import fetch_held
from wigeonford.bench import load_deployment, LocalFleet
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import fetch, HttpServer, Request, Response
from wigeonford.settings import Address, CallerLimits

GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
LINGER_S = 10.0
"""Longer than the late look-ups need on a machine that is kept busy."""

LIMITS = CallerLimits(
    body_idle_timeout_s=0.4,
    body_bytes_per_s=1e6,
    write_timeout_s=0.3,
    connections_per_address=4,
)


class Handler:
    """Answer a request by its method, and note closed streams."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()

    async def __call__(self, request: Request) -> Response:
        if request.method == "PUT":
            return Response(403, ((b"content-length", b"2"),), b"no")
        if request.method == "OPTIONS":
            return Response(200, ((b"content-length", b"2"),), self._two())
        if request.method == "TRACE":
            return Response(
                200, ((b"transfer-encoding", b"chunked"),), self._endless()
            )
        body = b"".join([chunk async for chunk in request.body])
        length = (b"content-length", str(len(body)).encode())
        return Response(200, (length,), body)

    async def _two(self) -> AsyncIterator[bytes]:
        for part in (b"o", b"k"):
            yield part

    async def _endless(self) -> AsyncIterator[bytes]:
        try:
            while True:
                yield bytes(65536)
        finally:
            self.closed.set()


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Run one server on loopback."""

    async def asyncSetUp(self) -> None:
        self.logs = io.StringIO()
        configure_logging(self.logs, logging.INFO)
        self.handler = Handler()
        self.server = HttpServer(self.handler, LIMITS, EventLog())
        self.address = await self.server.start(Address())
        self.addAsyncCleanup(self.server.stop, 0.0)

    async def test_connection_accepted_at_the_stop_is_served(self) -> None:
        await self.connect()
        while not self.server._tasks:
            await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        writer.write(POST % 2)
        stopping = asyncio.create_task(self.server.stop(2.0))
        await asyncio.sleep(0.3)
        writer.write(b"ok")
        self.assertIn(b"200", await reader.read())
        self.assertEqual(await stopping, 0)

    async def test_connections_in_the_backlog_are_served(self) -> None:
        """Connections that are open when a stop begins bring a request."""
        self.server.limits = CallerLimits()
        socks = [
            socket.create_connection((self.address.host, self.address.port))
            for _ in range(40)
        ]
        for sock in socks:
            self.addCleanup(sock.close)
            sock.settimeout(10.0)
            sock.sendall(GET)
        self.assertEqual(await self.server.stop(5.0), 0)
        answers = [sock.recv(65536)[:12] for sock in socks]
        self.assertEqual([b"HTTP/1.1 200"] * 40, answers)

    async def test_connection_accepted_as_the_listener_closes(self) -> None:
        """Accepting takes two turns of the loop; a stop may come between."""
        loop = asyncio.get_running_loop()
        unhandled: list[dict[str, object]] = []
        loop.set_exception_handler(lambda _, what: unhandled.append(what))
        for turns in range(4):
            server = HttpServer(self.handler, CallerLimits(), EventLog())
            address = await server.start(Address())
            sock = socket.create_connection((address.host, address.port))
            self.addCleanup(sock.close)
            sock.settimeout(10.0)
            sock.sendall(GET)
            for _ in range(turns):
                await asyncio.sleep(0)
            self.assertEqual(await server.stop(5.0), 0)
            self.assertEqual(b"HTTP/1.1 200", sock.recv(65536)[:12], turns)
        self.assertEqual([], unhandled)

    async def test_stop_amid_an_idle_timeout(self) -> None:
        await self.connect()
        while not self.server._tasks:
            await asyncio.sleep(0)
        conn = next(iter(self.server._tasks.values()))
        while conn._idle_timeout is None:
            await asyncio.sleep(0)
        idle = conn._idle_timeout
        idle.reschedule(asyncio.get_running_loop().time() - 1)
        while not idle.expired():
            await asyncio.sleep(0)
        conn.close_when_idle()
        self.assertEqual(await self.server.stop(1.0), 0)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def test_a_draining_server_serves_idle_connections(self) -> None:
        reader, writer = await self.connect()
        writer.write(GET)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertNotIn(b"connection: close", head.lower())
        self.server.drain()
        writer.write(GET)
        answer = await reader.read()
        self.assertIn(b"200", answer)
        self.assertIn(b"connection: close", answer.lower())

    async def test_a_connection_outlives_a_streamed_answer(self) -> None:
        reader, writer = await self.connect()
        for _ in range(2):
            writer.write(GET.replace(b"GET", b"OPTIONS"))
            answer = await reader.readuntil(b"\r\n\r\nok")
            self.assertNotIn(b"connection: close", answer.lower())

    async def test_requests_amid_a_stop_are_served(self) -> None:
        """Stop while connections are idle, in a head or in a body."""
        for sent in (b"", GET[:9], POST % 3 + b"a"):
            rest = (GET if not sent else GET[9:]) if sent in GET else b"bc"
            with self.subTest(sent):
                server = HttpServer(self.handler, LIMITS, EventLog())
                self.address = await server.start(Address())
                reader, writer = await self.connect()
                writer.write(sent)
                await asyncio.sleep(0.05)
                stopping = asyncio.create_task(server.stop(5.0))
                await asyncio.sleep(0.05)
                writer.write(rest)
                answer = await reader.read()
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"))
                self.assertIn(b"connection: close", answer.lower())
                self.assertEqual(await stopping, 0)

    async def test_a_cut_request_is_counted(self) -> None:
        _, writer = await self.connect()
        writer.write(POST % 3 + b"a")
        await asyncio.sleep(0.05)
        self.assertEqual(await self.server.stop(0.01), 1)

    async def test_a_caller_that_stops_reading_is_cut_off(self) -> None:
        _, writer = await self.connect()
        writer.write(GET.replace(b"GET", b"TRACE"))
        async with asyncio.timeout(5):
            await self.handler.closed.wait()
            while '"number": 270' not in self.logs.getvalue():
                await asyncio.sleep(0.01)
        self.assertIn('"code": 1240', self.logs.getvalue())

    async def test_a_body_that_trickles_is_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(POST % 1000)
        for _ in range(8):
            writer.write(b"a")
            await asyncio.sleep(0.1)
        answer = await reader.read()
        self.assertIn(b"wigeonford-code: 1241", answer)
        self.assertIn(b"wigeonford-run-state: not-run", answer)

    async def test_an_early_refusal_reaches_a_caller_that_sends(self) -> None:
        """Close only once the caller has sent, or it loses the answer."""
        size = 1 << 23
        reader, writer = await self.connect()
        writer.write((POST % size).replace(b"POST", b"PUT"))
        for _ in range(size >> 16):
            writer.write(bytes(65536))
            await writer.drain()
        answer = await reader.read()
        self.assertTrue(answer.startswith(b"HTTP/1.1 403"))
        self.assertTrue(answer.endswith(b"no"))

    async def test_an_address_has_only_so_many_connections(self) -> None:
        for _ in range(LIMITS.connections_per_address):
            await self.connect()
        await asyncio.sleep(0.05)
        reader, writer = await self.connect()
        writer.write(GET)
        answer = await reader.read()
        self.assertIn(b"wigeonford-code: 1006", answer)
        self.assertIn(b"retry-after: 1", answer)


class EntryDrainTest(unittest.IsolatedAsyncioTestCase):
    """Stop entry VMs of a running fleet."""

    async def asyncSetUp(self) -> None:
        configure_logging(io.StringIO(), logging.INFO)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(
            load_deployment("guild"), Path(folder.name), EventLog()
        )
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)

    async def listed(self, entry: Address) -> list[str]:
        response = await fetch(entry, "GET", "/.wigeonford/lookup")
        assert isinstance(response.body, bytes), "answers are read whole"
        answer = msgspec.json.decode(response.body)
        return [vm["name"] for vm in answer["entry_vms"]]

    async def until_served(self, entry: Address) -> None:
        """Return once a VM that has just started holds slots."""
        while True:
            answer = await fetch(entry, "GET", "/catalogue/about")
            if answer.status == 200:
                return

    async def test_late_cached_lookups_are_served_by_two_that_stop(
        self,
    ) -> None:
        names = ["amman-a-1", "amman-a-2"]
        addresses = [self.fleet.entries[name].address for name in names]
        other = self.fleet.entries["amman-b-1"].address
        for address in addresses:
            await self.until_served(address)
        stops = [
            asyncio.create_task(self.fleet.stop_entry(name, LINGER_S))
            for name in names
        ]
        await asyncio.sleep(0.01)
        self.assertNotIn(names[0], await self.listed(addresses[0]))
        await asyncio.sleep(2.0)
        self.assertFalse(set(names) & set(await self.listed(other)))
        for address in addresses:
            late = await fetch_held(address, "GET", "/catalogue/about")
            self.assertEqual(late.status, 200, late)
            self.assertEqual(late.header(b"connection"), "close")
        await asyncio.gather(*stops)
        self.assertFalse(self.fleet.breaches)
