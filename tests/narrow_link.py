"""Links to control replicas that share one narrow way with bulk data."""

import asyncio
from typing import Any, cast, Final, Self

from websockets.exceptions import ConnectionClosed

from tests.control_links import REPLICAS
from wigeonford.events import EventLog
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import Address

RATE_BYTES_PER_S: Final = 250_000.0
PACKET_BYTES: Final = 66
"""Headers of a packet, as of those that open a connection."""
UPGRADE_BYTES: Final = 300
"""Bytes of the request, or response, that opens a WebSocket."""
BULK_STEP_S: Final = 0.01


class SharedWay:
    """One direction of a VM's link: what is sent queues in one line."""

    def __init__(self) -> None:
        self._busy_until_s = 0.0
        self._is_open = asyncio.Event()
        self._is_open.set()

    def cut(self) -> None:
        """Hold up all data until `mend`."""
        self._is_open.clear()

    def mend(self) -> None:
        """Carry data again, also what was held up."""
        self._is_open.set()

    def add_bulk(self, queue_s: float) -> None:
        """Add bulk data until the queue lasts `queue_s`."""
        now_s = asyncio.get_running_loop().time()
        self._busy_until_s = max(self._busy_until_s, now_s + queue_s)

    def enqueue(self, size: int) -> float:
        """Queue some bytes; return when the last of them has arrived."""
        now_s = asyncio.get_running_loop().time()
        size += PACKET_BYTES
        self._busy_until_s = (
            max(self._busy_until_s, now_s) + size / RATE_BYTES_PER_S
        )
        return self._busy_until_s

    async def wait_for_arrival(self, arrival_s: float) -> None:
        """Return at a time of arrival, later if the way is cut then."""
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, arrival_s - now_s))
        await self._is_open.wait()

    async def carry(self, size: int) -> None:
        """Return once some bytes, and all before them, have arrived."""
        await self.wait_for_arrival(self.enqueue(size))


class _End:
    """Stand in for one end of a WebSocket."""

    def __init__(self, way: SharedWay) -> None:
        self._way = way
        self._sent: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()
        self._received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._delivery = asyncio.create_task(self._deliver())
        self.peer: _End | None = None
        self.is_closed = False
        self.is_dead = False

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        data = await self._received.get()
        if data is None or self.is_closed:
            raise StopAsyncIteration
        return data

    async def _deliver(self) -> None:
        assert self.peer is not None, "both ends exist"
        data: bytes | None = b""
        while data is not None:
            arrival_s, data = await self._sent.get()
            await self._way.wait_for_arrival(arrival_s)
            if not self.is_dead:
                self.peer._received.put_nowait(data)

    async def send(self, data: bytes) -> None:
        """Queue a message behind what was sent before."""
        if self.is_closed:
            raise ConnectionClosed(None, None)
        self._sent.put_nowait((self._way.enqueue(len(data)), data))

    async def close(self, *_args: object) -> None:
        """Close both ways, as far as the other end hears of it."""
        if not self.is_closed:
            self.is_closed = True
            self._sent.put_nowait((self._way.enqueue(0), None))
            self._received.put_nowait(None)


class NarrowLink:
    """The one link of a VM, on which it reaches all control replicas."""

    def __init__(self, servers: dict[str, PeerServer]) -> None:
        self.out, self.back = SharedWay(), SharedWay()
        self._servers = servers
        self._tasks: set[asyncio.Task[None]] = set()
        self._clients: list[_End] = []
        self._accepted: list[_End] = []

    async def connect(self, uri: str, **options: Any) -> _End:
        """Open a connection in two round trips."""
        address = uri.removeprefix("ws://").rstrip("/")
        async with asyncio.timeout(options["open_timeout"]):
            for size in (0, UPGRADE_BYTES):
                await self.out.carry(size)
                await self.back.carry(size)
        client, accepted = _End(self.out), _End(self.back)
        client.peer, accepted.peer = accepted, client
        self._clients.append(client)
        self._accepted.append(accepted)
        server = self._servers[address]
        task = asyncio.ensure_future(
            server._serve_connection(cast(Any, accepted))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return client

    @property
    def open_count(self) -> int:
        """Return how many connections the VM has open."""
        return sum(not end.is_closed for end in self._clients)

    async def fill(
        self, queue_s: float, seconds: float, *, is_one_way: bool = False
    ) -> None:
        """Keep queues of `queue_s` for some seconds, both ways or way out."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while loop.time() < until_s:
            self.out.add_bulk(queue_s)
            self.back.add_bulk(0.0 if is_one_way else queue_s)
            await asyncio.sleep(BULK_STEP_S)

    def cut(self, seconds: float, *, is_lossy: bool) -> None:
        """Hold up all data for some seconds.

        With `is_lossy`, connections that are open now carry nothing any more,
        like those whose peer sends again after ever longer pauses.
        """
        loop = asyncio.get_running_loop()
        for way in (self.out, self.back):
            way.cut()
            loop.call_later(seconds, way.mend)
        if is_lossy:
            for end in self._clients + self._accepted:
                end.is_dead = True

    async def stop(self) -> None:
        """End all connections."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def make_servers() -> dict[str, PeerServer]:
    """Return a server, which needs no socket, for each replica."""
    return {address: PeerServer("secret", EventLog()) for address in REPLICAS}


def open_client(address: Address) -> PeerClient:
    """Return a client; patch `connect` to have it use a `NarrowLink`."""
    return PeerClient("a", address, "secret", EventLog())
