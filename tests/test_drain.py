"""Graceful shutdown aborts no request; stalled callers are cut off."""

import asyncio
from collections.abc import AsyncIterator
import io
import logging
from pathlib import Path
import socket
import tempfile
import unittest

import msgspec

from tests.callers import fetch_when_leased
from wigeonford.bench import load_deployment, LocalFleet
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import fetch, HttpServer, Request, Response
from wigeonford.settings import Address, CallerLimits

GET_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
POST_HEAD = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"
LINGER_S = 10.0
"""Exceeds the time that the late lookups take on a busy machine."""

LIMITS = CallerLimits(
    body_idle_timeout_s=0.4,
    body_bytes_per_s=1e6,
    write_timeout_s=0.3,
    connections_per_address=4,
)


class Handler:
    """Respond as the method says; record that an endless body was closed."""

    def __init__(self) -> None:
        self.stream_closed = asyncio.Event()

    async def __call__(self, request: Request) -> Response:
        if request.method == "PUT":
            return Response(403, ((b"content-length", b"2"),), b"no")
        if request.method == "OPTIONS":
            return Response(
                200, ((b"content-length", b"2"),), self._two_chunks()
            )
        if request.method == "TRACE":
            return Response(
                200,
                ((b"transfer-encoding", b"chunked"),),
                self._endless_body(),
            )
        body = b"".join([chunk async for chunk in request.body])
        length = (b"content-length", str(len(body)).encode())
        return Response(200, (length,), body)

    async def _two_chunks(self) -> AsyncIterator[bytes]:
        for part in (b"o", b"k"):
            yield part

    async def _endless_body(self) -> AsyncIterator[bytes]:
        try:
            while True:
                yield bytes(65536)
        finally:
            self.stream_closed.set()


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
        writer.write(POST_HEAD % 2)
        stopping = asyncio.create_task(self.server.stop(2.0))
        await asyncio.sleep(0.3)
        writer.write(b"ok")
        self.assertIn(b"200", await reader.read())
        self.assertEqual(await stopping, 0)

    async def test_connections_in_the_backlog_are_served(self) -> None:
        """Serve connections that are in the listen backlog at the stop."""
        self.server.limits = CallerLimits()
        sockets = [
            socket.create_connection((self.address.host, self.address.port))
            for _ in range(40)
        ]
        for client_socket in sockets:
            self.addCleanup(client_socket.close)
            client_socket.settimeout(10.0)
            client_socket.sendall(GET_REQUEST)
        self.assertEqual(await self.server.stop(5.0), 0)
        responses = [
            client_socket.recv(65536)[:12] for client_socket in sockets
        ]
        self.assertEqual([b"HTTP/1.1 200"] * 40, responses)

    async def test_connection_accepted_as_the_listener_closes(self) -> None:
        """Stop in each event loop iteration while a connection is accepted."""
        loop = asyncio.get_running_loop()
        unhandled: list[dict[str, object]] = []
        loop.set_exception_handler(
            lambda _, context: unhandled.append(context)
        )
        for iterations in range(4):
            server = HttpServer(self.handler, CallerLimits(), EventLog())
            address = await server.start(Address())
            client_socket = socket.create_connection(
                (address.host, address.port)
            )
            self.addCleanup(client_socket.close)
            client_socket.settimeout(10.0)
            client_socket.sendall(GET_REQUEST)
            for _ in range(iterations):
                await asyncio.sleep(0)
            self.assertEqual(await server.stop(5.0), 0)
            self.assertEqual(
                b"HTTP/1.1 200", client_socket.recv(65536)[:12], iterations
            )
        self.assertEqual([], unhandled)

    async def test_stop_amid_an_idle_timeout(self) -> None:
        """Stop after the idle timeout expired but before the task ends."""
        await self.connect()
        while not self.server._tasks:
            await asyncio.sleep(0)
        conn = next(iter(self.server._tasks.values()))
        while conn._deadline is None:
            await asyncio.sleep(0)
        timeout = conn._deadline._timeout
        assert timeout is not None, "the connection waits for a request"
        timeout.reschedule(asyncio.get_running_loop().time() - 1)
        while not timeout.expired():
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
        writer.write(GET_REQUEST)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertNotIn(b"connection: close", head.lower())
        self.server.drain()
        writer.write(GET_REQUEST)
        response = await reader.read()
        self.assertIn(b"200", response)
        self.assertIn(b"connection: close", response.lower())

    async def test_a_connection_outlives_a_streamed_answer(self) -> None:
        reader, writer = await self.connect()
        for _ in range(2):
            writer.write(GET_REQUEST.replace(b"GET", b"OPTIONS"))
            response = await reader.readuntil(b"\r\n\r\nok")
            self.assertNotIn(b"connection: close", response.lower())

    async def test_requests_amid_a_stop_are_served(self) -> None:
        """Stop after a connection sent nothing, a partial head or body."""
        for sent in (b"", GET_REQUEST[:9], POST_HEAD % 3 + b"a"):
            rest = (
                (GET_REQUEST if not sent else GET_REQUEST[9:])
                if sent in GET_REQUEST
                else b"bc"
            )
            with self.subTest(sent):
                server = HttpServer(self.handler, LIMITS, EventLog())
                self.address = await server.start(Address())
                reader, writer = await self.connect()
                writer.write(sent)
                await asyncio.sleep(0.05)
                stopping = asyncio.create_task(server.stop(5.0))
                await asyncio.sleep(0.05)
                writer.write(rest)
                response = await reader.read()
                self.assertTrue(response.startswith(b"HTTP/1.1 200"))
                self.assertIn(b"connection: close", response.lower())
                self.assertEqual(await stopping, 0)

    async def test_a_cut_request_is_counted(self) -> None:
        _, writer = await self.connect()
        writer.write(POST_HEAD % 3 + b"a")
        await asyncio.sleep(0.05)
        self.assertEqual(await self.server.stop(0.01), 1)

    async def test_a_caller_that_stops_reading_is_cut_off(self) -> None:
        _, writer = await self.connect()
        writer.write(GET_REQUEST.replace(b"GET", b"TRACE"))
        async with asyncio.timeout(5):
            await self.handler.stream_closed.wait()
            while '"number": 270' not in self.logs.getvalue():
                await asyncio.sleep(0.01)
        self.assertIn('"code": 1240', self.logs.getvalue())

    async def test_a_body_that_trickles_is_refused(self) -> None:
        reader, writer = await self.connect()
        writer.write(POST_HEAD % 1000)
        for _ in range(8):
            writer.write(b"a")
            await asyncio.sleep(0.1)
        response = await reader.read()
        self.assertIn(b"wigeonford-code: 1241", response)
        self.assertIn(b"wigeonford-run-state: not-run", response)

    async def test_an_early_refusal_reaches_a_caller_that_sends(self) -> None:
        """Read the body before closing, or a reset loses the response."""
        size = 1 << 23
        reader, writer = await self.connect()
        writer.write((POST_HEAD % size).replace(b"POST", b"PUT"))
        for _ in range(size >> 16):
            writer.write(bytes(65536))
            await writer.drain()
        response = await reader.read()
        self.assertTrue(response.startswith(b"HTTP/1.1 403"))
        self.assertTrue(response.endswith(b"no"))

    async def test_an_address_has_only_so_many_connections(self) -> None:
        for _ in range(LIMITS.connections_per_address):
            await self.connect()
        await asyncio.sleep(0.05)
        reader, writer = await self.connect()
        writer.write(GET_REQUEST)
        response = await reader.read()
        self.assertIn(b"wigeonford-code: 1006", response)
        self.assertIn(b"retry-after: 1", response)


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

    async def fetch_listed_names(self, entry: Address) -> list[str]:
        response = await fetch(entry, "GET", "/.wigeonford/lookup")
        assert isinstance(response.body, bytes), "fetch reads the whole body"
        lookup = msgspec.json.decode(response.body)
        return [vm["name"] for vm in lookup["entry_vms"]]

    async def wait_until_served(self, entry: Address) -> None:
        """Wait until a VM that has just started holds slots."""
        while True:
            response = await fetch(entry, "GET", "/catalogue/about")
            if response.status == 200:
                return

    async def test_late_cached_lookups_are_served_by_two_that_stop(
        self,
    ) -> None:
        names = ["amman-a-1", "amman-a-2"]
        addresses = [self.fleet.entries[name].address for name in names]
        other = self.fleet.entries["amman-b-1"].address
        for address in addresses:
            await self.wait_until_served(address)
        stops = [
            asyncio.create_task(self.fleet.stop_entry(name, LINGER_S))
            for name in names
        ]
        await asyncio.sleep(0.01)
        self.assertNotIn(names[0], await self.fetch_listed_names(addresses[0]))
        await asyncio.sleep(2.0)
        self.assertFalse(
            set(names) & set(await self.fetch_listed_names(other))
        )
        for address in addresses:
            late = await fetch_when_leased(address, "GET", "/catalogue/about")
            self.assertEqual(late.status, 200, late)
            self.assertEqual(late.header(b"connection"), "close")
        await asyncio.gather(*stops)
        self.assertFalse(self.fleet.breaches)
