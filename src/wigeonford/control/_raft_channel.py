"""Connections to the other replicas, replaced after a timeout."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from wigeonford._tasks import cancel_tasks
from wigeonford.errors import Code, PeerError
from wigeonford.peer import PeerClient
from wigeonford.settings import Address

SEND_TIMEOUT_S: Final = 1.0
MAX_IN_FLIGHT: Final = 256
OPEN_ATTEMPTS: Final = 5
OPEN_RETRY_DELAY_S: Final = 0.15
"""Replicas that start together listen within this time. All attempts end
before the earliest of them can start an election."""

Connect = Callable[[Address], PeerClient]


class PeerChannel:
    """Send to one replica; replace its connection if a request times out."""

    def __init__(self, connect: Connect, address: Address) -> None:
        self._connect = connect
        self._address = address
        self._client = connect(address)
        self._tasks: set[asyncio.Task[None]] = set()
        self._in_flight = 0

    def send(self, record: Any) -> None:
        """Send a message in the background; it may be lost."""
        if self._in_flight < MAX_IN_FLIGHT:
            self._in_flight += 1
            self._spawn(self._deliver(record))

    def open(self) -> None:
        """Connect in the background, so that the first vote isn't delayed."""
        self._spawn(self._open())

    async def _open(self) -> None:
        for _ in range(OPEN_ATTEMPTS):
            try:
                await self._client.open(SEND_TIMEOUT_S)
                return
            except PeerError:
                # After the last attempt, the next message connects.
                await asyncio.sleep(OPEN_RETRY_DELAY_S)

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, record: Any) -> None:
        try:
            await self.request(record, SEND_TIMEOUT_S)
        except PeerError:
            # The core resends messages that are still needed.
            return
        finally:
            self._in_flight -= 1

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Return the reply; raise `PeerError` on failure."""
        client = self._client
        try:
            return await client.request(record, timeout_s)
        except PeerError as exc:
            timed_out = exc.code is Code.PEER_TIMEOUT
            if timed_out and client is self._client:
                self._client = self._connect(self._address)
                self._spawn(client.close())
            raise

    async def close(self) -> None:
        """Cancel the messages in flight and close the connection."""
        await cancel_tasks(self._tasks)
        await self._client.close()


class Channels:
    """Cache one channel per replica."""

    def __init__(self, connect: Connect) -> None:
        self._connect = connect
        self._channels: dict[str, PeerChannel] = {}

    def get_or_create(self, name: str, address: Address) -> PeerChannel:
        """Return the channel to a replica, created on first use."""
        channel = self._channels.get(name)
        if channel is None:
            channel = PeerChannel(self._connect, address)
            self._channels[name] = channel
        return channel

    async def close(self) -> None:
        """Close every channel."""
        channels = self._channels.values()
        await asyncio.gather(*(channel.close() for channel in channels))
