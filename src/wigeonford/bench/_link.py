"""Stand-in link: a relay with a delay that can be cut without a word."""

import asyncio
from dataclasses import dataclass
from typing import Final

from wigeonford.settings import Address

CHUNK_BYTES: Final = 65536


@dataclass(slots=True)
class LinkState:
    """Set how a link behaves; a cut direction loses all it is given."""

    delay_s: float = 0.0
    cut_forward: bool = False
    cut_backward: bool = False


class StandInLink:
    """Relay TCP connections to an address under a changeable state."""

    def __init__(self, target: Address, state: LinkState) -> None:
        self._target = target
        self._state = state
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self.bytes_carried = 0

    async def start(self) -> Address:
        """Listen; return the address that stands for the far end."""
        self._server = await asyncio.start_server(
            self._accept, self._target.host, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(self._target.host, port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence(self) -> None:
        """Lose all that open connections carry from now on, for good."""
        self._silent |= self._writers

    def reset(self) -> None:
        """Break every open connection."""
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()
        self._writers.clear()
        self._silent.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, far_writer}
        self._spawn(reader, far_writer, forward=True)
        self._spawn(far_reader, writer, forward=False)

    def _spawn(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        forward: bool,
    ) -> None:
        task = asyncio.create_task(self._pump(reader, writer, forward))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._is_cut(forward) or writer in self._silent:
                    continue
                self.bytes_carried += len(data)
                loop.call_later(self._state.delay_s, _write, writer, data)
            if not self._is_cut(forward) and writer not in self._silent:
                loop.call_later(self._state.delay_s, writer.close)
        except OSError:
            writer.close()

    def _is_cut(self, forward: bool) -> bool:
        state = self._state
        return state.cut_forward if forward else state.cut_backward


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)
