"""HTTP/1.1 server with one task per connection."""

import asyncio
import collections
from collections.abc import Awaitable, Callable, Collection, Iterator
import itertools
import math
import socket
import ssl
from typing import Any, Final
import weakref

import h11

from wigeonford._tasks import cancel_tasks
from wigeonford.errors import Code, RequestRejected, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.http._connection import (
    CallerConnection,
    CallerStalled,
    ConnectionEnd,
    FindRequestId,
    Handler,
    READ_BYTES,
    ResponseBroken,
)
from wigeonford.http._reader import ChunkPacer, poll_sockets, WatchedReader
from wigeonford.http._types import Headers
from wigeonford.settings import Address, CallerLimits

ACCEPT_ITERATIONS: Final = 4
"""Event loop iterations from the accept of a connection to the first step of
its task."""
HANDSHAKE_WAIT_S: Final = 0.05
"""Time for TLS handshakes that the close of the listener finds under way."""
WRITE_BUFFER_BYTES: Final = 262144
QUIET_S: Final = 0.5
"""Time without a request after which callers that are connected have gone
elsewhere; on a full link requests still arrive."""
CUT_TIMEOUT_S: Final = 0.2
"""Time in which callers are told of the requests that a stop cuts."""
LINGERING_FRACTION: Final = 0.1
"""Fraction of the limit on connections that may be open above it, by those
that linger after their last response."""


def _no_request_id(_headers: Headers) -> str:
    return ""


class HttpServer:
    """Accept connections and pass each request to a handler.

    `count_end` is called when a connection ends, with the reason and whether
    a caller was left without a response.
    """

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        log: EventLog,
        find_request_id: FindRequestId = _no_request_id,
        count_end: Callable[[str, bool], None] = lambda _end, _lost: None,
    ) -> None:
        self.handler = handler
        self._limits = limits
        self.log = log
        self.find_request_id = find_request_id
        self._count_end = count_end
        self.is_draining = False
        self.closing = False
        self.last_request_at_s = -math.inf
        self.pacer = ChunkPacer()
        self._server: asyncio.Server | None = None
        self._context: ssl.SSLContext | None = None
        # Of connections whose task has not begun; one whose TLS handshake
        # fails never begins.
        self._accepted: weakref.WeakSet[WatchedReader] = weakref.WeakSet()
        self._idle_closed_count = 0
        self._tasks: dict[asyncio.Task[None], CallerConnection] = {}
        self._connections_by_host: collections.Counter[str] = (
            collections.Counter()
        )
        self._place_count = 0
        # Oldest first; these hold no place.
        self._lingering: dict[CallerConnection, None] = {}

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self._limits

    @limits.setter
    def limits(self, limits: CallerLimits) -> None:
        self._limits = limits
        for conn in self._tasks.values():
            conn.apply_limits(limits)

    @property
    def connection_count(self) -> int:
        """Return how many connections are open."""
        return len(self._tasks)

    async def start(
        self, address: Address, context: ssl.SSLContext | None = None
    ) -> Address:
        """Listen; return the address with the port that was bound."""
        loop = asyncio.get_running_loop()
        self._context = context
        self._server = await loop.create_server(
            self._make_protocol,
            address.host,
            address.port,
            ssl=context,
            backlog=1024,
        )
        port = self._server.sockets[0].getsockname()[1]
        return Address(address.host, port)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = WatchedReader(READ_BYTES)
        self._accepted.add(reader)

        async def accept(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._accept(reader, writer)

        return asyncio.StreamReaderProtocol(reader, accept)

    def drain(self) -> None:
        """Keep serving, but send `connection: close` with each response."""
        self.is_draining = True

    async def wait_until_deserted(self, timeout_s: float) -> None:
        """Wait until callers send nothing any more, but go on to serve."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while (now_s := loop.time()) < deadline_s:
            quiet_at_s = self.last_request_at_s + QUIET_S
            conns = self._tasks.values()
            if now_s >= quiet_at_s and not any(
                conn.is_unfinished for conn in conns
            ):
                return
            if self._tasks:
                await _wait_until(
                    list(self._tasks), min(deadline_s, now_s + QUIET_S)
                )
            else:
                # The next caller may connect at any moment.
                await asyncio.sleep(min(deadline_s, quiet_at_s) - now_s)

    async def close(self, timeout_s: float) -> None:
        """Stop listening, then wait `timeout_s` seconds for running requests.

        An idle connection may still send a request for `CLOSING_IDLE_S`.
        """
        self.is_draining = self.closing = True
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        await self._close_listener()
        for conn in self._tasks.values():
            conn.close_when_idle()
        while self._tasks and loop.time() < deadline_s:
            await _wait_until(list(self._tasks), deadline_s)

    async def stop(self, grace_s: float) -> int:
        """Close, then cut off what still runs after `grace_s` seconds.

        Return how many requests were cut off; their callers are told so.
        """
        await self.close(grace_s)
        await poll_sockets()
        unfinished = dict(self._tasks)
        cut_count = sum(conn.is_unfinished for conn in unfinished.values())
        idle_count = sum(conn.is_idle for conn in unfinished.values())
        for task in unfinished:
            task.cancel()
        if unfinished:
            await asyncio.wait(unfinished, timeout=CUT_TIMEOUT_S)
        await self._cancel_connections()
        self.log.emit(
            Event.CONNECTIONS_CLOSED,
            idle=self._idle_closed_count + idle_count,
            cut=cut_count,
            unbegun=len(self._accepted),
        )
        return cut_count

    async def abort(self) -> None:
        """Close every connection without an answer, like a killed process."""
        self.is_draining = self.closing = True
        await self._close_listener()
        for conn in self._tasks.values():
            conn.abort()
        await self._cancel_connections()

    async def _cancel_connections(self) -> None:
        await cancel_tasks(self._tasks)

    async def _close_listener(self) -> None:
        """Close the listener; begin all that callers connected before.

        The event loop accepts connections in one iteration and starts their
        tasks in later ones. The system resets what is still in the listen
        queue at the close, so that is accepted in the same step.
        """
        if self._server is None:
            return
        loop = asyncio.get_running_loop()
        for sock in self._server.sockets:
            loop.remove_reader(sock.fileno())
        # The loop can't set up a connection whose listener is closed.
        await poll_sockets()
        handshakes = [
            asyncio.ensure_future(
                loop.connect_accepted_socket(
                    self._make_protocol, conn, ssl=self._context
                )
            )
            for sock in self._server.sockets
            for conn in self._accept_queued(sock)
        ]
        self._server.close()
        await _wait_until(handshakes, loop.time() + HANDSHAKE_WAIT_S)
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        for handshake in handshakes:
            handshake.cancel()
        results = await asyncio.gather(*handshakes, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                self.log.emit(Event.REQUEST_ABORTED, detail=repr(result))

    def _accept_queued(self, sock: socket.socket) -> Iterator[socket.socket]:
        """Yield the connections in the queue of a listening socket."""
        with sock.dup() as listener:
            while True:
                try:
                    conn, _ = listener.accept()
                except BlockingIOError:
                    return
                except ConnectionAbortedError:
                    continue
                except OSError as exc:
                    self.log.emit(Event.REQUEST_ABORTED, detail=repr(exc))
                    return
                conn.setblocking(False)
                yield conn

    @staticmethod
    def caller_host(writer: asyncio.StreamWriter) -> str:
        """Return the caller's IP address, or an empty text."""
        peer = writer.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    async def _accept(
        self, reader: WatchedReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None, "connections are served in tasks"
        conn = CallerConnection(reader, writer, self)
        host = conn.host
        is_over_limit = self._is_over_limit(host)
        self._accepted.discard(reader)
        self._tasks[task] = conn
        self._connections_by_host[host] += 1
        self._place_count += 1
        self._close_oldest_lingering()
        writer.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        try:
            if is_over_limit:
                raise RequestRejected(
                    Code.TOO_MANY_CONNECTIONS, host, retry_after_s=1.0
                )
            await self._serve(conn)
            await conn.close()
        except RequestRejected as exc:
            conn.end = ConnectionEnd.REJECTED
            self.log.emit(
                Event.REQUEST_REFUSED,
                request=conn.request_id or None,
                code=exc.code.number,
                reason=exc.code.name,
            )
            await self._reject(conn, exc)
        except CallerStalled:
            conn.end = ConnectionEnd.CALLER_STALLED
            self.log.emit(
                Event.CALLER_STALLED,
                request=conn.request_id or None,
                code=Code.CALLER_STALLED.number,
            )
        except asyncio.CancelledError:
            if not conn.has_caller_left:
                conn.end = ConnectionEnd.STOPPED
                # What an idle caller sends from now on must not be read.
                if not conn.is_idle:
                    await self._end_response(conn, conn.answer_cut())
        except (ConnectionError, TimeoutError):
            conn.end = ConnectionEnd.CALLER_LEFT
        except BaseException:
            conn.end = ConnectionEnd.FAILED
            raise
        finally:
            self._record_end(conn)
            del self._tasks[task]
            self._free_place(conn)
            self._lingering.pop(conn, None)
            writer.close()

    def _free_place(self, conn: CallerConnection) -> None:
        """Count a connection no longer, if it still holds a place."""
        if not conn.has_place:
            return
        conn.has_place = False
        self._place_count -= 1
        self._connections_by_host[conn.host] -= 1
        if not self._connections_by_host[conn.host]:
            del self._connections_by_host[conn.host]

    def _close_oldest_lingering(self) -> None:
        """Make room for a connection; those that linger are answered."""
        limit = self.limits.connections
        limit += math.ceil(limit * LINGERING_FRACTION)
        excess = self._place_count + len(self._lingering) - limit
        for conn in list(itertools.islice(self._lingering, max(0, excess))):
            del self._lingering[conn]
            conn.abort()

    def _record_end(self, conn: CallerConnection) -> None:
        """Count why a connection ended; log a caller left without response."""
        is_unanswered = conn.is_unanswered
        self._count_end(conn.end.value, is_unanswered)
        if self.closing and conn.end is ConnectionEnd.IDLE:
            self._idle_closed_count += 1
        if is_unanswered:
            self.log.emit(
                Event.REQUEST_UNANSWERED,
                request=conn.request_id,
                reason=conn.end.value,
                unread_bytes=conn.unread_bytes,
                stopping=self.closing,
            )

    async def _serve(self, conn: CallerConnection) -> None:
        try:
            await conn.serve()
            if conn.has_unread_request:
                await self._discard(conn)
        except (
            RequestRejected,
            CallerStalled,
            ConnectionError,
            TimeoutError,
        ):
            raise
        except (
            ResponseBroken,
            WigeonfordError,
            h11.LocalProtocolError,
        ) as exc:
            conn.end = ConnectionEnd.RESPONSE_BROKEN
            self.log.emit(
                Event.REQUEST_ABORTED,
                request=conn.request_id,
                detail=str(exc),
            )
            await self._reject(
                conn, RequestRejected(Code.ANSWER_BROKEN, str(exc))
            )
        except Exception as exc:
            conn.end = ConnectionEnd.FAILED
            self.log.emit(
                Event.REQUEST_INTERNAL_ERROR,
                request=conn.request_id,
                exc_info=exc,
            )
            await self._reject(conn, RequestRejected(Code.INTERNAL))

    async def _reject(
        self, conn: CallerConnection, exc: RequestRejected
    ) -> None:
        await self._end_response(conn, conn.send_error(exc))

    async def _end_response(
        self, conn: CallerConnection, sending: Awaitable[None]
    ) -> None:
        """Send a last response, and close once the caller has read it."""
        if conn.must_reset:
            conn.reset()
        try:
            await sending
            await self._discard(conn)
            await conn.close()
        except (
            CallerStalled,
            h11.LocalProtocolError,
            ConnectionError,
            TimeoutError,
        ) as exc:
            self.log.emit(
                Event.REQUEST_ABORTED,
                request=conn.request_id,
                detail=repr(exc),
            )

    async def _discard(self, conn: CallerConnection) -> None:
        if conn.has_place:
            self._free_place(conn)
            self._lingering[conn] = None
        is_whole = await conn.discard()
        if not is_whole or conn not in self._lingering:
            self.log.emit(
                Event.CALLER_STILL_SENDING, request=conn.request_id or None
            )

    def _is_over_limit(self, host: str) -> bool:
        if self._place_count >= self.limits.connections:
            return True
        return (
            self._connections_by_host[host]
            >= self.limits.connections_per_address
        )


async def _wait_until(
    tasks: Collection[asyncio.Future[Any]], until_s: float
) -> None:
    """Wait until all tasks have ended, or until a moment of the loop."""
    remaining_s = until_s - asyncio.get_running_loop().time()
    if tasks and remaining_s > 0:
        await asyncio.wait(tasks, timeout=remaining_s)
