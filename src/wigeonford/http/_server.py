"""HTTP/1.1 server: one task a connection, one request at a time."""

import asyncio
from collections import Counter
import ssl
from typing import Final

import h11

from wigeonford.errors import Code, RequestRefused, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.http._connection import (
    AnswerBroken,
    CallerConnection,
    CallerStalled,
    Handler,
    READ_BYTES,
)
from wigeonford.http._reader import WatchedReader
from wigeonford.settings import Address, CallerLimits

ACCEPT_TURNS: Final = 2
"""Turns of the event loop from a connection in the backlog to its task."""
ACCEPTED_S: Final = 0.05
WRITE_BUFFER_BYTES: Final = 262144
DISCARD_S: Final = 3.0
DISCARD_REFUSED_S: Final = 0.5


class HttpServer:
    """Accept connections and hand each request to a handler."""

    def __init__(
        self, handler: Handler, limits: CallerLimits, log: EventLog
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.log = log
        self.draining = False
        self.closing = False
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], CallerConnection] = {}
        self._by_host: Counter[str] = Counter()

    async def start(
        self, address: Address, context: ssl.SSLContext | None = None
    ) -> Address:
        """Listen; return the address with the port that was bound."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._protocol,
            address.host,
            address.port,
            ssl=context,
            backlog=1024,
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    def _protocol(self) -> asyncio.StreamReaderProtocol:
        reader = WatchedReader(READ_BYTES)

        async def accept(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._accept(reader, writer)

        return asyncio.StreamReaderProtocol(reader, accept)

    def drain(self) -> None:
        """Go on serving, but ask callers to close with each answer."""
        self.draining = True

    async def stop(self, grace_s: float) -> int:
        """Stop listening, let requests finish; return how many were cut.

        An idle connection gets a last moment to bring a request.
        """
        self.draining = self.closing = True
        if self._server is not None:
            await _close_listener(self._server)
        if grace_s > 0:
            await self._finish(grace_s)
        left = dict(self._tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        return sum(conn.busy for conn in left.values())

    async def _finish(self, grace_s: float) -> None:
        """Return once no connection is left, or the grace is over.

        One that was accepted just before the listener closed begins only
        now.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + grace_s
        await asyncio.sleep(min(grace_s, ACCEPTED_S))
        for conn in self._tasks.values():
            conn.hurry()
        while self._tasks and (left_s := until_s - loop.time()) > 0:
            await asyncio.wait(list(self._tasks), timeout=left_s)

    @staticmethod
    def peer_host(writer: asyncio.StreamWriter) -> str:
        """Return the caller's IP number."""
        peer = writer.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    async def _accept(
        self, reader: WatchedReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None, "connections are served in tasks"
        host = self.peer_host(writer)
        conn = CallerConnection(reader, writer, self)
        over = self._is_over_limit(host)
        self._tasks[task] = conn
        self._by_host[host] += 1
        writer.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        try:
            if over:
                raise RequestRefused(
                    Code.TOO_MANY_CONNECTIONS, host, retry_after_s=1.0
                )
            await self._serve(conn)
            if conn.unread:
                await conn.discard(DISCARD_S)
        except RequestRefused as exc:
            self.log.emit(Event.REQUEST_REFUSED, code=exc.code.number)
            await self._refuse(conn, exc)
        except (asyncio.CancelledError, ConnectionError, TimeoutError):
            pass
        finally:
            del self._tasks[task]
            self._by_host[host] -= 1
            if not self._by_host[host]:
                del self._by_host[host]
            writer.close()

    async def _serve(self, conn: CallerConnection) -> None:
        try:
            await conn.serve()
        except RequestRefused:
            raise
        except CallerStalled:
            self.log.emit(
                Event.CALLER_STALLED, code=Code.CALLER_STALLED.number
            )
        except (AnswerBroken, WigeonfordError, h11.LocalProtocolError) as exc:
            self.log.emit(Event.REQUEST_ABORTED, detail=str(exc))

    async def _refuse(
        self, conn: CallerConnection, exc: RequestRefused
    ) -> None:
        try:
            await conn.refuse(exc)
            await conn.discard(DISCARD_REFUSED_S)
        except (
            CallerStalled,
            h11.LocalProtocolError,
            ConnectionError,
            TimeoutError,
        ):
            return

    def _is_over_limit(self, host: str) -> bool:
        if len(self._tasks) >= self.limits.connections:
            return True
        return self._by_host[host] >= self.limits.connections_per_address


async def _close_listener(server: asyncio.Server) -> None:
    """Close a listener once what has reached it is accepted.

    The event loop takes a turn to accept connections, and another one to
    begin with them; closing amid these would drop them without a word.
    """
    loop = asyncio.get_running_loop()
    await _take_turns()
    for sock in server.sockets:
        loop.remove_reader(sock.fileno())
    await _take_turns()
    server.close()


async def _take_turns() -> None:
    for _ in range(ACCEPT_TURNS):
        await asyncio.sleep(0)
