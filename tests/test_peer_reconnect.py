"""A link to a peer that was silent opens although messages keep coming."""

import asyncio
import contextlib
import io
from typing import Any, Final, Self
import unittest
from unittest import mock

from tests.virtual_time import run_virtual
from wigeonford.errors import Code, PeerError
from wigeonford.events import configure_logging, EventLog
from wigeonford.peer import PeerClient
from wigeonford.settings import Address

SILENCE_S: Final = 2.5
CONNECT_S: Final = 0.3
"""Three round trips between distant regions."""
MESSAGE_GAP_S: Final = 0.1
MESSAGE_TIMEOUT_S: Final = 1.0
WATCHED_S: Final = 4.0
"""Longer than the limit for opening a link."""


class _SilentConnection:
    """Stand for an open link on which nothing arrives."""

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> Any:
        return await asyncio.get_running_loop().create_future()

    async def close(self) -> None:
        """Close nothing."""


async def _connect(*_args: Any, **_options: Any) -> _SilentConnection:
    """Connect after the silence, in `CONNECT_S`."""
    silent_s = SILENCE_S - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, silent_s) + CONNECT_S)
    return _SilentConnection()


async def _open_repeatedly() -> list[float]:
    """Open a link at each message; return when it was found open."""
    loop = asyncio.get_running_loop()
    opened_at_s: list[float] = []
    client = PeerClient("a", Address("127.0.0.1", 1), "secret", EventLog())

    async def send() -> None:
        with contextlib.suppress(PeerError):
            await client.open(MESSAGE_TIMEOUT_S)
            opened_at_s.append(loop.time())

    tasks = []
    while loop.time() < SILENCE_S + WATCHED_S:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(MESSAGE_GAP_S)
    await asyncio.gather(*tasks)
    await client.close()
    return opened_at_s


class PeerReconnectTest(unittest.TestCase):
    """Send to a peer more often than it takes to connect."""

    def test_messages_do_not_keep_a_link_from_opening(self) -> None:
        configure_logging(io.StringIO())
        with mock.patch("wigeonford.peer._link.connect", _connect):
            opened_at_s = run_virtual(_open_repeatedly())
        self.assertTrue(opened_at_s, "no message found the link open")
        self.assertLess(opened_at_s[0], SILENCE_S + WATCHED_S)

    def test_messages_that_wait_for_a_link_end_as_it_is_closed(self) -> None:
        async def close_while_opening() -> None:
            client = PeerClient("a", Address("127.0.0.1", 1), "s", EventLog())
            opening = asyncio.create_task(client.open(MESSAGE_TIMEOUT_S))
            await asyncio.sleep(MESSAGE_GAP_S)
            await client.close()
            with self.assertRaises(PeerError) as caught:
                await opening
            self.assertIs(Code.PEER_UNREACHABLE, caught.exception.code)
            self.assertLess(
                asyncio.get_running_loop().time(), MESSAGE_TIMEOUT_S
            )

        configure_logging(io.StringIO())
        with mock.patch("wigeonford.peer._link.connect", _connect):
            run_virtual(close_while_opening())
