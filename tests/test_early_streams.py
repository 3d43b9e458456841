"""A target answers before it has got a long upload."""

import asyncio
import itertools
from typing import Final
import unittest

from tests.limited_fleet import virtual_clock
from tests.test_deployment import make_announcement
from tests.test_planned_stop import StoppingVm
from tests.virtual_time import run_virtual
from wigeonford.messages.steering import ViewUpdate
from wigeonford.platform._front import PlatformTargetWire
from wigeonford.settings import Address, CallerLimits
from wigeonford.steer._attempt import TargetConnections

FIRST_BYTES: Final = 1_200_000
"""More than a VM gathers before it passes a body on."""
PIECE_BYTES: Final = 15_000
PIECES: Final = 40
PIECE_PAUSE_S: Final = 0.1
BODY_BYTES: Final = FIRST_BYTES + PIECES * PIECE_BYTES
RESPONSE: Final = (
    b"HTTP/1.1 %d A\r\nx-attempt-id: a\r\nx-response-signature: s\r\n"
    b"content-length: %d\r\n\r\n"
)
LARGE_BYTES: Final = 400_000
HEAD: Final = (
    b"POST /upload/x HTTP/1.1\r\nhost: old.example\r\nx-attempt-id: a\r\n"
    b"x-deadline-remaining: %d\r\ncontent-length: %d\r\n\r\n"
)


class EarlyTarget:
    """Answer once `read_bytes` of a body have arrived, then do `then`.

    That is to read on, to wait, or to close, which resets the connection if
    bytes are unread. It doesn't answer with a status of 0.
    """

    def __init__(
        self, read_bytes: int, then: str, status: int, size: int
    ) -> None:
        self._read_bytes = read_bytes
        self._then = then
        self._response = b""
        if status:
            self._response = RESPONSE % (status, size) + b"r" * size

    async def start(self) -> Address:
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Address("127.0.0.1", self.server.sockets[0].getsockname()[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(self._read_bytes)
            writer.write(self._response)
            if self._then == "read on":
                while await reader.read(65536):
                    continue
            elif self._then == "wait":
                await asyncio.sleep(30.0)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class EarlyResponseTest(unittest.TestCase):
    """Send an upload slowly through a VM; read the response at its end."""

    async def upload(
        self, target: EarlyTarget, left_s: float = 30.0
    ) -> tuple[bytes, int]:
        """Return the status line and the size of what follows."""
        address = await target.start()
        with virtual_clock():
            connections = TargetConnections(PlatformTargetWire())
            vm = StoppingVm(10.0, 1.0, timeout_s=30.0, connections=connections)
            target_0 = make_announcement(
                target_id="t-0", sequence=6, address=str(address)
            )
            update = ViewUpdate(
                1, 2, None, (), {}, (target_0,), ("t-1", "t-2", "t-3")
            )
            assert vm.builder.apply(update), "it is newer"
            vm.view = vm.builder.build()
            assert vm.view is not None, "a deployment is known"
            vm.daemon._apply_view(vm.view)
            vm.front.limits = CallerLimits(body_bytes=BODY_BYTES)
            caller = await vm.connect_to(await vm.front.start(Address()))
            reader, writer = caller._reader, caller._writer
            try:
                writer.write(HEAD % (left_s * 1000, BODY_BYTES))
                writer.write(b"b" * FIRST_BYTES)
                for _ in range(PIECES):
                    await asyncio.sleep(PIECE_PAUSE_S)
                    writer.write(b"b" * PIECE_BYTES)
                await asyncio.sleep(1.0)
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                body = await reader.readexactly(int(length.split()[0]))
            except (OSError, asyncio.IncompleteReadError) as exc:
                return repr(exc).encode(), 0
            finally:
                writer.close()
                await vm.front.stop(0.0)
                connections.close()
                target.server.close()
        return head[:12], len(body)

    def test_response_before_a_long_body_is_delivered(self) -> None:
        for then, status, size, read_bytes in itertools.product(
            ("read on", "wait", "close"),
            (200, 413),
            (2, LARGE_BYTES),
            (0, 65_536, FIRST_BYTES, FIRST_BYTES + PIECE_BYTES),
        ):
            if (then, size) == ("close", LARGE_BYTES):
                continue  # The target's system drops its own response.
            with self.subTest((then, status, size, read_bytes)):
                target = EarlyTarget(read_bytes, then, status, size)
                line, received = run_virtual(self.upload(target))
                self.assertEqual(b"HTTP/1.1 %d" % status, line)
                self.assertEqual(size, received)

    def test_error_amid_a_long_body_is_delivered(self) -> None:
        for then, read_bytes, status in (
            ("read on", 0, 504),
            ("wait", 0, 504),
            ("wait", FIRST_BYTES, 504),
            ("close", 0, 502),
            ("close", FIRST_BYTES + PIECE_BYTES, 502),
        ):
            with self.subTest((then, read_bytes)):
                target = EarlyTarget(read_bytes, then, 0, 0)
                line, _ = run_virtual(self.upload(target, 2.0))
                self.assertEqual(b"HTTP/1.1 %d" % status, line)
