"""Requests over loopback whose entry VM has another one send them."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
from typing import Any

from tests.test_platform_path import free_addresses, PathFleet, wait_until
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    read_body,
    Response,
)
from wigeonford.settings import Address, SteerEntrySettings
from wigeonford.steer._attempt import UNACKED_TIMEOUT_S
from wigeonford.steer._daemon import SteerDaemon

UPLOAD_BYTES = 3 << 20
"""More than an entry VM buffers."""
LEFT_MARGIN_S = 0.5
"""Time in which a target's work ends with its caller."""


class CutPool(ConnectionPool):
    """Refuse connections to targets."""

    async def acquire(
        self, address: Address, **_options: Any
    ) -> tuple[ClientConnection, bool]:
        """Raise `ConnectFailed`."""
        raise ConnectFailed(f"{address}: cut")


async def _stream(size: int) -> AsyncIterator[bytes]:
    for _ in range(0, size, 1 << 16):
        yield b"b" * (1 << 16)


class RelayPathTest(PathFleet):
    """The first entry VM reaches no target; the second one does."""

    async def asyncSetUp(self) -> None:
        self.relay_addresses = free_addresses(6, 2)
        await super().asyncSetUp()
        await self.publish()
        await wait_until(self.knows_its_peer)
        self.cut(0)
        self.target.requests.clear()

    async def knows_its_peer(self) -> bool:
        """Return whether the first entry VM knows that the other is ready."""
        entries = self.entries[0]._follower.running_entries()
        return "front-1" in entries and entries["front-1"].is_ready

    def make_entry_settings(self, index: int) -> SteerEntrySettings:
        return dataclasses.replace(
            super().make_entry_settings(index),
            relay_address=self.relay_addresses[index],
        )

    def cut(self, index: int) -> None:
        """Cut an entry VM from all targets."""
        self._connections_of(self.entries[index])._pool = CutPool(
            UNACKED_TIMEOUT_S
        )

    def _connections_of(self, entry: SteerDaemon) -> Any:
        return entry._connections[0]

    async def upload(self, body: bytes | AsyncIterator[bytes]) -> Response:
        """Send an upload to the VM without links."""
        conn = await ClientConnection.open(self.entry_addresses[0], 5.0)
        headers = (
            (b"host", b"jepu9.example"),
            (b"x-attempt-id", b"upload"),
            (b"x-key", b"k1"),
            (b"x-deadline-remaining", b"4000"),
            (b"transfer-encoding", b"chunked"),
        )
        try:
            response = await conn.exchange("POST", "/lepu270/x", headers, body)
            return Response(
                response.status, response.headers, await read_body(response)
            )
        finally:
            conn.close()

    async def test_request_is_served_as_sent(self) -> None:
        for number in range(5):
            response = await self.call(f"r-{number}", 0)
            self.assertEqual((200, b"whole"), (response.status, response.body))
            self.assertEqual(
                "signed", response.header(b"x-response-signature")
            )
            internal = [
                name
                for name, _ in response.headers
                if name.startswith(b"wigeonford")
            ]
            self.assertEqual([], internal)
        for request in self.target.requests:
            self.assertEqual("yefi830", request.header(b"x-tenant"))
            self.assertEqual("i-1", request.header(b"x-expected-instance"))
            self.assertIsNone(request.header(b"x-key"))
            self.assertIsNone(request.header(b"wigeonford-relay-order"))
            left_ms = int(request.header(b"x-deadline-remaining") or 0)
            self.assertLessEqual(left_ms, 4000)
            self.assertEqual("/lepu270/x", request.target)

    async def test_upload_is_passed_on_whole(self) -> None:
        for body in (b"b" * 1000, _stream(UPLOAD_BYTES)):
            response = await self.upload(body)
            self.assertEqual(200, response.status)
        self.assertEqual(2, len(self.target.requests))

    async def test_work_ends_with_its_caller(self) -> None:
        self.target.should_hang = True
        calling = asyncio.create_task(self.call("left", 0))

        async def is_running() -> bool:
            return self.target.in_flight == 1

        await wait_until(is_running)
        calling.cancel()
        await asyncio.sleep(LEFT_MARGIN_S)
        self.assertEqual(0, self.target.in_flight)

    async def test_request_is_rejected_at_once_if_none_reaches_a_target(
        self,
    ) -> None:
        self.cut(1)
        loop = asyncio.get_running_loop()
        for number in range(5):
            began_s = loop.time()
            response = await self.call(f"c-{number}", 0)
            self.assertEqual(503, response.status)
            self.assertIsNotNone(response.header(b"retry-after"))
            self.assertLess(loop.time() - began_s, 1.0)
        self.assertEqual([], self.target.requests)

    async def test_hop_that_breaks_leaves_an_unknown_outcome(self) -> None:
        self.target.should_hang = True
        calling = asyncio.create_task(self.call("broken", 0))

        async def is_running() -> bool:
            return self.target.in_flight == 1

        await wait_until(is_running)
        self.target.should_hang = False
        await self.entries[1]._fronts[1].abort()
        self.assertIn((await calling).status, (502, 504))
