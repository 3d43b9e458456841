"""Programs as processes of their own, while targets send without end."""

import asyncio
from collections.abc import Callable, Coroutine
import contextlib
import json
from pathlib import Path
import sys
import tempfile
import time
from typing import Any, Final
import unittest
from unittest import mock

import h11

from tests.endless_target import ENDLESS
from tests.soak._processes import API_PORT, FRONT_PORT, Program, READY_PORT
from wigeonford._tasks import cancel_tasks
from wigeonford.control import ColdClock, SoloReplica, TargetService
from wigeonford.events import EventLog
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    fetch,
    Request,
    Response,
)
from wigeonford.http._reader import (
    BodyPiece,
    BURST_SLICES,
    ChunkPacer,
    SLICE_EVENTS,
    SLICE_INTERVAL_S,
)
from wigeonford.platform._control_api import (
    ControlApi,
    MAX_HELD_BODY_BYTES,
)
from wigeonford.settings import Address

NETWORK: Final = "127.93"
TARGET: Final = Address(f"{NETWORK}.3.1", 8080)
HOST: Final = b"endless.example"
ENDLESS_CALLERS: Final = 20
INNOCENT_REQUESTS: Final = 200
INNOCENT_INTERVAL_S: Final = 0.025
MIN_SERVED: Final = 0.98
P95_LIMIT_S: Final = 1.0
GROWTH_LIMIT_MB: Final = 48
TIME_LIMIT_MS: Final = b"4000"
WAIT_S: Final = 30.0


def make_configuration() -> dict[str, Any]:
    """Return a configuration with one service and an open route."""
    return {
        "version": "00000001",
        "services": [
            {
                "name": "s",
                "health_check_path": "/health",
                "connection_limit": 400,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "cold_per_s": 100.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": [],
        "hosts": [
            {
                "host": HOST.decode(),
                "paths": [
                    {
                        "name": "r",
                        "path_prefix": "/r/",
                        "kind": "unsafe",
                        "timeout_s": 4.0,
                        "target_latency_s": 1.0,
                        "priority": 0,
                        "service": "s",
                        "attempts": 1,
                        "anonymous_access": True,
                        "cache_affinity": False,
                        "home_regions": [],
                    }
                ],
            }
        ],
    }


def memory_mb(pid: int) -> float:
    """Return the anonymous memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has no memory")


class EndlessResponsesTest(unittest.IsolatedAsyncioTestCase):
    """Send requests through an entry VM to a target that never ends."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        seed = f"{NETWORK}.1.1"
        self.control = Program(
            "control",
            seed,
            "zone-a",
            f'"{seed}:{API_PORT}"',
            Path(folder.name) / "core",
        )
        self.entry = Program(
            "entry",
            f"{NETWORK}.2.1",
            "zone-a",
            f'"{seed}:{API_PORT}"',
            Path(folder.name) / "front",
        )
        await self.control.start(bootstrap=True)
        self.addAsyncCleanup(self.control.kill)
        await self.entry.start()
        self.addAsyncCleanup(self.entry.kill)
        target = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.endless_target",
            TARGET.host,
            str(TARGET.port),
        )
        self.addAsyncCleanup(target.wait)
        self.addCleanup(target.kill)
        await self.order("PUT", "/configuration", make_configuration())
        await self.order("PUT", "/instances/t", self.make_announcement())
        front = Address(self.entry.host, READY_PORT)
        await self.until_ok(lambda: fetch(front, "GET", "/ready"))
        await self.until_ok(lambda: self.request("short", 0))

    def make_announcement(self) -> dict[str, Any]:
        return {
            "address": str(TARGET),
            "born": int(time.time() * 1000),
            "information": {
                "service": "s",
                "version": "v1",
                "zone": "zone-a",
                "slots": 200,
            },
            "status": {
                "state": "ready",
                "sequence": 1,
                "cold_remaining_s": 0,
            },
        }

    async def order(self, method: str, path: str, body: Any) -> None:
        headers = ((b"if-match", b"00000000"),)
        content = json.dumps(body).encode()
        address = Address(self.control.host, API_PORT)
        await self.until_ok(
            lambda: fetch(address, method, path, headers, content)
        )

    async def until_ok(self, call: Any) -> None:
        """Repeat a call until it is answered with 200."""
        async with asyncio.timeout(WAIT_S):
            while True:
                with contextlib.suppress(ConnectFailed, ExchangeFailed):
                    response: Response = await call()
                    if response.status == 200:
                        return
                await asyncio.sleep(0.1)

    async def request(self, kind: str, number: int) -> Response:
        headers = (
            (b"host", HOST),
            (b"x-attempt-id", b"%s-%d" % (kind.encode(), number)),
            (b"x-deadline-remaining", TIME_LIMIT_MS),
        )
        front = Address(self.entry.host, FRONT_PORT)
        conn = await ClientConnection.open(front, WAIT_S)
        until_s = asyncio.get_running_loop().time() + WAIT_S
        try:
            response = await conn.exchange(
                "GET", f"/r/{kind}", headers, until_s=until_s
            )
            assert not isinstance(response.body, bytes)
            async for _ in response.body:
                continue
            return response
        finally:
            conn.close()

    async def time_request(self, number: int) -> float | None:
        """Return how long a short request takes; None if it isn't served."""
        started_s = time.monotonic()
        try:
            response = await self.request("short", number)
        except (ConnectFailed, ExchangeFailed):
            return None
        is_served = response.status == 200
        return time.monotonic() - started_s if is_served else None

    async def request_endless(self, number: int) -> None:
        kinds = sorted(ENDLESS)
        with contextlib.suppress(ConnectFailed, ExchangeFailed):
            await self.request(kinds[number % len(kinds)], number)

    async def send_endless_body(self, number: int) -> None:
        """Send a body in tiny chunks until the entry VM ends it."""
        reader, writer = await asyncio.open_connection(
            self.entry.host, FRONT_PORT
        )
        writer.write(
            b"POST /r/short HTTP/1.1\r\nHost: %s\r\n"
            b"X-Attempt-Id: body-%d\r\nX-Deadline-Remaining: %s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            % (HOST, number, TIME_LIMIT_MS)
        )
        try:
            async with asyncio.timeout(WAIT_S):
                while not reader.at_eof():
                    writer.write(b"1\r\nx\r\n" * 1000)
                    await writer.drain()
                    await asyncio.sleep(0.01)
        except (OSError, TimeoutError):
            return
        finally:
            writer.close()

    # One body in tiny chunks held the event loop for seconds.
    async def test_others_are_served_beside_endless_responses(self) -> None:
        await self.check_others_are_served(self.request_endless)

    async def test_others_are_served_beside_endless_requests(self) -> None:
        await self.check_others_are_served(self.send_endless_body)

    async def check_others_are_served(
        self, send_endless: Callable[[int], Coroutine[Any, Any, None]]
    ) -> None:
        pid = self.entry._proc.pid  # type: ignore[union-attr]
        before_mb = memory_mb(pid)
        endless = [
            asyncio.create_task(send_endless(number))
            for number in range(ENDLESS_CALLERS)
        ]
        innocent = []
        grown_mb = 0.0
        for number in range(INNOCENT_REQUESTS):
            innocent.append(asyncio.create_task(self.time_request(number)))
            await asyncio.sleep(INNOCENT_INTERVAL_S)
            grown_mb = max(grown_mb, memory_mb(pid) - before_mb)
        times_s = await asyncio.gather(*innocent)
        await cancel_tasks(endless)
        served_s = sorted(taken for taken in times_s if taken is not None)
        self.assertGreaterEqual(len(served_s), MIN_SERVED * INNOCENT_REQUESTS)
        self.assertLess(served_s[round(0.95 * len(served_s)) - 1], P95_LIMIT_S)
        self.assertLess(grown_mb, GROWTH_LIMIT_MB)


class ChunkPaceTest(unittest.IsolatedAsyncioTestCase):
    """Bound what is parsed of tiny chunks in a time."""

    async def test_slices_of_all_bodies_share_one_rate(self) -> None:
        pacer = ChunkPacer()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        count = BURST_SLICES + 8
        await asyncio.gather(*(pacer.wait() for _ in range(count)))
        self.assertGreaterEqual(loop.time() - started_s, 6 * SLICE_INTERVAL_S)

    def test_tiny_chunks_are_joined_and_none_is_lost(self) -> None:
        http = h11.Connection(h11.CLIENT)
        http.send(
            h11.Request(method="GET", target="/", headers=[("host", "a")])
        )
        http.send(h11.EndOfMessage())
        count = 3 * SLICE_EVENTS + 5
        http.receive_data(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * count
            + b"0\r\n\r\n"
        )
        self.assertIsInstance(http.next_event(), h11.Response)
        pieces = []
        event: object = http.next_event()
        while isinstance(event, h11.Data):
            piece = BodyPiece(http, event)
            pieces.append(piece.content)
            event = piece.next_event or http.next_event()
        self.assertIsInstance(event, h11.EndOfMessage)
        self.assertEqual(b"x" * count, b"".join(pieces))
        self.assertEqual(4, len(pieces))


class EndlessOrderTest(unittest.IsolatedAsyncioTestCase):
    """Send bodies without end to a control replica."""

    async def asyncSetUp(self) -> None:
        replica = SoloReplica("one", mock.Mock(), EventLog())
        targets = TargetService(replica, ColdClock(), EventLog())
        self.api = ControlApi(replica, targets, {}, EventLog())
        self.read_bytes = 0
        self.held_bytes = 0

    async def body(self, limit_bytes: int) -> Any:
        for _ in range(limit_bytes >> 16):
            self.read_bytes += 1 << 16
            yield bytes(1 << 16)
            await asyncio.sleep(0)
            held_bytes = self.api._held_body_bytes
            self.held_bytes = max(self.held_bytes, held_bytes)

    async def send(self, method: str, path: str) -> int:
        body = self.body(1 << 27)
        request = Request(method, path, "", (), "", body)
        return (await self.api.handle(request)).status

    # A replica collected 64 MiB of each announcement before it refused it.
    async def test_announcement_without_end_is_refused_early(self) -> None:
        self.assertEqual(413, await self.send("PUT", "/instances/t"))
        self.assertLessEqual(self.read_bytes, 1 << 17)

    async def test_configurations_without_end_share_a_limit(self) -> None:
        statuses = await asyncio.gather(
            *(self.send("PUT", "/configuration") for _ in range(8))
        )
        self.assertLessEqual(set(statuses), {413, 503})
        self.assertLessEqual(self.held_bytes, MAX_HELD_BODY_BYTES)
        self.assertEqual(self.api._held_body_bytes, 0)
        self.assertEqual(413, await self.send("PUT", "/configuration"))
