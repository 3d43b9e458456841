"""A target's server, which writes responses byte by byte as it is told."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import socket
import struct
from typing import Final

import h11

from wigeonford.settings import Address

READ_BYTES: Final = 65536
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class TargetConnection:
    """Hold a connection; `refusals` are those written on it before."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    refusals: list[str] = field(default_factory=list)

    @property
    def is_closed(self) -> bool:
        """Return whether the entry VM has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    def reset(self) -> None:
        """Close the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.writer.transport.abort()


Handler = Callable[[str, dict[str, str], TargetConnection], Awaitable[bool]]
"""Write the response to a path and headers; return whether to go on."""


class TargetServer:
    """Read requests and pass them to a handler that writes the bytes."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(
            self._serve(TargetConnection(reader, writer))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, conn: TargetConnection) -> None:
        received = b""
        try:
            while True:
                http = h11.Connection(h11.SERVER)
                if received:
                    http.receive_data(received)
                req = await _read_request(http, conn.reader)
                if req is None:
                    return
                headers = {
                    name.decode(): value.decode("latin-1")
                    for name, value in req.headers
                }
                path = req.target.decode("latin-1")
                if not await self._handler(path, headers, conn):
                    return
                received = http.trailing_data[0]
        except (OSError, h11.RemoteProtocolError):
            return
        finally:
            conn.writer.close()


async def _read_request(
    http: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request | None:
    """Return a request once its body has arrived, or None at the end."""
    req: h11.Request | None = None
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            req = event
        elif isinstance(event, h11.EndOfMessage):
            return req
        elif isinstance(event, h11.ConnectionClosed):
            return None


def make_response(
    status: int, headers: list[tuple[str, str]], body: str | None = None
) -> bytes:
    """Return a response as bytes; without a body it states no length."""
    if body is not None:
        headers = [*headers, ("content-length", str(len(body)))]
    lines = [f"HTTP/1.1 {status} Soak"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join((*lines, "", body or "")).encode()
