"""Stand-in link: a TCP relay with a delay that can drop data silently."""

import asyncio
from dataclasses import dataclass
from typing import Final

from wigeonford.settings import Address

CHUNK_BYTES: Final = 65536


@dataclass(slots=True)
class LinkState:
    """Set the delay of a link and the directions in which it drops data.

    Connections stay open while data is dropped.
    """

    delay_s: float = 0.0
    cut_forward: bool = False
    cut_backward: bool = False


class StandInLink:
    """Relay TCP connections to an address as its `LinkState` says."""

    def __init__(self, destination: Address, state: LinkState) -> None:
        self._destination = destination
        self._state = state
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._blackholed_writers: set[asyncio.StreamWriter] = set()
        self.bytes_carried = 0

    async def start(self) -> Address:
        """Listen; return the address at which the destination is reached."""
        self._server = await asyncio.start_server(
            self._accept, self._destination.host, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(self._destination.host, port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def blackhole_open_connections(self) -> None:
        """Drop all further data of the connections that are open now."""
        self._blackholed_writers |= self._writers

    def reset(self) -> None:
        """Close every open connection."""
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()
        self._writers.clear()
        self._blackholed_writers.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._destination.host, self._destination.port
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, upstream_writer}
        self._start_relay(reader, upstream_writer, forward=True)
        self._start_relay(upstream_reader, writer, forward=False)

    def _start_relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        forward: bool,
    ) -> None:
        task = asyncio.create_task(self._relay(reader, writer, forward))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._is_cut(forward) or writer in self._blackholed_writers:
                    continue
                self.bytes_carried += len(data)
                loop.call_later(self._state.delay_s, _write, writer, data)
            if (
                not self._is_cut(forward)
                and writer not in self._blackholed_writers
            ):
                loop.call_later(self._state.delay_s, writer.close)
        except OSError:
            writer.close()

    def _is_cut(self, forward: bool) -> bool:
        state = self._state
        return state.cut_forward if forward else state.cut_backward


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)
