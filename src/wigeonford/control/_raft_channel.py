"""Links to the other replicas, renewed when they go silent."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from wigeonford.errors import Code, PeerError
from wigeonford.peer import PeerClient
from wigeonford.settings import Address

SEND_TIMEOUT_S: Final = 1.0
MAX_UNDER_WAY: Final = 256
OPEN_TRIES: Final = 5
OPEN_PAUSE_S: Final = 0.15
"""Replicas that start together listen within this; the tries end before
the first of them may stand for election."""

Connect = Callable[[Address], PeerClient]


class PeerChannel:
    """Send to one replica; a link that does not answer is replaced."""

    def __init__(self, connect: Connect, address: Address) -> None:
        self._connect = connect
        self._address = address
        self._client = connect(address)
        self._tasks: set[asyncio.Task[None]] = set()
        self._under_way = 0

    def send(self, record: Any) -> None:
        """Send a message without waiting; it may be lost."""
        if self._under_way < MAX_UNDER_WAY:
            self._under_way += 1
            self._spawn(self._deliver(record))

    def open(self) -> None:
        """Open the link, so that the first election need not wait for it."""
        self._spawn(self._open())

    async def _open(self) -> None:
        for _ in range(OPEN_TRIES):
            try:
                await self._client.open(SEND_TIMEOUT_S)
                return
            except PeerError:
                # Messages open the link later on, if it is of use then.
                await asyncio.sleep(OPEN_PAUSE_S)

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, record: Any) -> None:
        try:
            await self.request(record, SEND_TIMEOUT_S)
        except PeerError:
            # The core sends again what is still of use.
            return
        finally:
            self._under_way -= 1

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Return the reply; raise `PeerError`."""
        client = self._client
        try:
            return await client.request(record, timeout_s)
        except PeerError as exc:
            silent = exc.code is Code.PEER_TIMEOUT
            if silent and client is self._client:
                self._client = self._connect(self._address)
                self._spawn(client.close())
            raise

    async def close(self) -> None:
        """Drop what is under way and close the link."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()


class Channels:
    """Hold a channel to each replica that has been sent to."""

    def __init__(self, connect: Connect) -> None:
        self._connect = connect
        self._channels: dict[str, PeerChannel] = {}

    def to(self, name: str, address: Address) -> PeerChannel:
        """Return the channel to a replica."""
        channel = self._channels.get(name)
        if channel is None:
            channel = PeerChannel(self._connect, address)
            self._channels[name] = channel
        return channel

    async def close(self) -> None:
        """Close every channel."""
        channels = self._channels.values()
        await asyncio.gather(*(channel.close() for channel in channels))
