"""HTTP/1.1 client connection: one request at a time."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from enum import Enum
import errno
import re
import socket
import ssl
import time
from typing import Final

import h11

from wigeonford.http._ack_watch import (
    AckWatch,
    has_unacknowledged_bytes,
    read_ack_state,
)
from wigeonford.http._reader import (
    BodyPiece,
    ChunkPacer,
    ReadDeadline,
    WatchedReader,
)
from wigeonford.http._types import find_header, Headers, Response
from wigeonford.settings import Address

READ_BYTES: Final = 65536
_MAX_HEAD_BYTES: Final = 65536
TCP_KEEPALIVE_INTERVAL_S: Final = 1
"""Idle time before TCP keep-alive probes, and between them; one second is the
smallest value that sockets accept."""
WINDOW_BYTES: Final = 32768
"""Bodies up to this size fit into a server's receive buffer unread."""
MAX_STRAY_RESPONSES: Final = 2
"""Late responses to earlier requests that an exchange skips at most."""

MAX_STRAY_BYTES: Final = 262144
"""Body bytes that are read to skip a late response; beyond this size, opening
a new connection costs less."""
MAX_INTERIM_RESPONSES: Final = 8
"""Interim responses (1xx) before the final one; servers send one or two."""

CONNECT_LOOP_ITERATIONS: Final = 8
"""Event loop iterations from a writable socket to its transport, and more."""

KEEP_ALIVE_FRACTION: Final = 0.5
"""Fraction of the server's keep-alive timeout for which an idle connection is
reused; the rest covers the transit time of the next request."""
_KEEP_ALIVE: Final = re.compile(r"timeout=(\d{1,9})(?!\d)")

MAX_EXCHANGES: Final = 256
"""Exchanges on one connection, which bound the request ids it remembers."""

_STATUS_LINE: Final = re.compile(rb"HTTP/\d\.\d \d{3}")


class ResponseOwner(Enum):
    """Say to which request a response states that it belongs."""

    OWN = "own"
    OTHER = "other"
    UNSTATED = "unstated"


OwnerOf = Callable[[Headers], ResponseOwner]


class ConnectFailed(Exception):
    """Report that connecting failed; no byte of the request was sent."""


class RequestInvalid(Exception):
    """Report a head that HTTP can't express; no byte of it was sent."""


class ExchangeFailed(Exception):
    """Report that an exchange failed after sending may have begun."""


class ExchangeTimedOut(ExchangeFailed):
    """Report that a response was not complete at its time limit."""


class ClientConnection:
    """Own one connection to a server, for one exchange at a time.

    It is closed whenever its state is uncertain after an exchange.
    """

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        address: Address,
        ack_timeout_s: float | None = None,
        pacer: ChunkPacer | None = None,
    ) -> None:
        self._pacer = pacer or ChunkPacer()
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._send_task: asyncio.Task[None] | None = None
        self._ack_timeout_s = ack_timeout_s
        self._ack_watch: AckWatch | None = None
        self._has_long_body = False
        self._has_aborted = False
        self._deadline: ReadDeadline | None = None
        self._exchange_count = 0
        self._request_id_hashes: set[int] = set()
        self.address = address
        self.opened_at_s = time.monotonic()
        self.used_at_s = 0.0
        self.idle_limit_s = float("inf")

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout_s: float,
        context: ssl.SSLContext | None = None,
        local_host: str | None = None,
        ack_timeout_s: float | None = None,
        pacer: ChunkPacer | None = None,
    ) -> "ClientConnection":
        """Connect within `timeout_s` seconds, or raise `ConnectFailed`.

        With `ack_timeout_s`, the connection is broken once sent bytes have
        been unacknowledged for that long. Connections with the same `pacer`
        share the time for bodies in tiny chunks.
        """
        local_address = (local_host, 0) if local_host is not None else None
        loop = asyncio.get_running_loop()
        reader = WatchedReader(READ_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        try:
            async with _connect_timeout(timeout_s):
                transport, _ = await loop.create_connection(
                    lambda: protocol,
                    address.host,
                    address.port,
                    ssl=context,
                    local_addr=local_address,
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # An impossible host or port is not reported as an OSError.
            raise ConnectFailed(f"{address}: {exc!r}") from exc
        if ack_timeout_s is not None:
            _set_ack_timeout(transport.get_extra_info("socket"), ack_timeout_s)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return cls(reader, writer, address, ack_timeout_s, pacer)

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can carry another exchange."""
        return (
            self._http.our_state is h11.IDLE
            and self._exchange_count < MAX_EXCHANGES
            and not self._reader.at_eof()
            and not self._reader.is_closed
            and not self._reader.unread_bytes
            and not self._writer.is_closing()
        )

    def can_carry(self, request_id: str) -> bool:
        """Return whether a response can be shown to belong to a request.

        The connection must not have carried a request with the same id. A
        request without one needs a connection of its own.
        """
        if not request_id:
            return not self._exchange_count
        return hash(request_id) not in self._request_id_hashes

    async def wait_for_end(self, timeout_s: float) -> bool:
        """Return whether the server ends an idle connection in time."""
        ended = asyncio.Event()
        if self._reader.is_closed:
            return True
        self._reader.on_closed = ended.set
        try:
            async with asyncio.timeout(timeout_s):
                await ended.wait()
        except TimeoutError:
            return False
        finally:
            self._reader.on_closed = None
        return True

    def limit_reads(self, until_s: float | None) -> None:
        """Raise `ExchangeTimedOut` for what arrives after a time.

        The time is on the clock of the event loop; None removes the limit.
        """
        self._deadline = None if until_s is None else ReadDeadline(until_s)

    def close(self) -> None:
        """Close immediately; abort an exchange that is running."""
        if self._send_task is not None:
            self._send_task.cancel()
        if self._ack_watch is not None:
            self._ack_watch.stop()
        self._abort()

    def _abort(self) -> None:
        self._has_aborted = True
        self._writer.transport.abort()

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | AsyncIterator[bytes] = b"",
        owner_of: OwnerOf | None = None,
        request_id: str = "",
        until_s: float | None = None,
    ) -> Response:
        """Send a request and return its response with a streaming body.

        The response may arrive before the whole request body is sent. With
        `owner_of`, responses to other requests are skipped as late ones. A
        response that names no request is accepted only as the first one on a
        connection. Raise `RequestInvalid` if the head can't be sent, and
        `ExchangeFailed` if the exchange breaks; bytes of the request may then
        have been sent. The response's body raises it if it ends before its
        stated length. `until_s` limits the arrival of the response as in
        `limit_reads`.
        """
        self.limit_reads(until_s)
        try:
            return await self._exchange(
                method, target, headers, body, owner_of, request_id
            )
        except BaseException:
            self.close()
            raise

    async def _exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | AsyncIterator[bytes],
        owner_of: OwnerOf | None,
        request_id: str,
    ) -> Response:
        try:
            head = h11.Request(
                method=method, target=target, headers=list(headers)
            )
        except h11.LocalProtocolError as exc:
            raise RequestInvalid(str(exc)) from exc
        self._exchange_count += 1
        self._request_id_hashes.add(hash(request_id))
        stray_count = 0
        try:
            self._send(head, body)
            while True:
                event = await self._next_head()
                response_headers: Headers = tuple(
                    (bytes(name), bytes(value))
                    for name, value in event.headers
                )
                is_first = self._exchange_count == 1 and not stray_count
                if owner_of is None or self._is_own(
                    owner_of(response_headers), is_first=is_first
                ):
                    break
                stray_count += 1
                if stray_count > MAX_STRAY_RESPONSES:
                    raise ExchangeFailed(
                        f"{self.address}: too many stray responses"
                    )
                await self._skip_stray(head, body)
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeFailed(f"{self.address}: {exc!r}") from exc
        self._apply_keep_alive(response_headers)
        return Response(
            event.status_code, response_headers, self._stream_body()
        )

    def _is_own(self, owner: ResponseOwner, *, is_first: bool) -> bool:
        """Return whether a response belongs to the request under way."""
        if owner is ResponseOwner.UNSTATED and not is_first:
            raise ExchangeFailed(
                f"{self.address}: the response may belong to another request"
            )
        return owner is not ResponseOwner.OTHER

    def _apply_keep_alive(self, headers: Headers) -> None:
        """Apply the idle timeout that the server states in `keep-alive`."""
        match = _KEEP_ALIVE.search(find_header(headers, b"keep-alive") or "")
        if match is not None:
            self.idle_limit_s = int(match[1]) * KEEP_ALIVE_FRACTION

    def _send(
        self, head: h11.Request, body: bytes | AsyncIterator[bytes]
    ) -> None:
        """Send a bytes body through the buffer, or start a streaming task."""
        data = self._http.send(head) or b""
        self._has_long_body = (
            not isinstance(body, bytes) or len(body) > WINDOW_BYTES
        )
        if self._has_long_body:
            self._watch_acks()
        if isinstance(body, bytes):
            data += (self._http.send(h11.Data(body)) or b"") if body else b""
            data += self._http.send(h11.EndOfMessage()) or b""
            self._writer.write(data)
            return
        self._writer.write(data)
        self._send_task = asyncio.create_task(self._send_stream(body))

    def _watch_acks(self) -> None:
        """Wait for a server that doesn't read, but not on a broken path.

        The kernel's time limit ends both. It stays where the system doesn't
        tell of acknowledgements.
        """
        if self._ack_timeout_s is None:
            return
        sock = self._writer.get_extra_info("socket")
        self._ack_watch = AckWatch(
            lambda: read_ack_state(sock),
            self._ack_timeout_s,
            lambda: sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0
            ),
            self._break_off,
        )
        self._ack_watch.start()

    def _break_off(self) -> None:
        self._reader.set_exception(
            TimeoutError(errno.ETIMEDOUT, "nothing is acknowledged")
        )
        self._abort()

    def _unwatch_acks(self) -> None:
        if self._ack_watch is None or self._ack_timeout_s is None:
            return
        self._ack_watch.stop()
        self._ack_watch = None
        if not self._writer.is_closing():
            sock = self._writer.get_extra_info("socket")
            _set_ack_timeout(sock, self._ack_timeout_s)

    async def _send_stream(self, body: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in body:
                self._writer.write(self._http.send(h11.Data(chunk)) or b"")
                await self._writer.drain()
            self._writer.write(self._http.send(h11.EndOfMessage()) or b"")
        except (OSError, h11.ProtocolError):
            # The task that reads the response detects the broken connection.
            self._abort()
        except Exception as exc:
            self._reader.set_exception(exc)

    async def _next_head(self) -> h11.Response:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse | h11.Response):
                raise ExchangeFailed(
                    f"{self.address}: closed without a response"
                )
            if _contains_status_line(event):
                raise ExchangeFailed(
                    f"{self.address}: a cut head runs into another response"
                )
            if isinstance(event, h11.Response):
                return event
        raise ExchangeFailed(f"{self.address}: too many interim responses")

    async def _skip_stray(
        self, head: h11.Request, body: bytes | AsyncIterator[bytes]
    ) -> None:
        """Read a stray response to its end and expect the next response.

        h11 allows one response to a request, so a new parser replays the
        same request; its bytes have already been sent.
        """
        if not isinstance(body, bytes):
            raise ExchangeFailed(f"{self.address}: stray response")
        size = 0
        while not isinstance(
            event := await self._next_event(), h11.EndOfMessage
        ):
            if not isinstance(event, h11.Data):
                raise ExchangeFailed(
                    f"{self.address}: stray response is truncated"
                )
            size += len(event.data)
            if size > MAX_STRAY_BYTES:
                raise ExchangeFailed(
                    f"{self.address}: stray response is too long"
                )
        trailing_bytes, has_closed = self._http.trailing_data
        if has_closed or self._http.their_state is not h11.DONE:
            raise ExchangeFailed(
                f"{self.address}: closed after a stray response"
            )
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._http.send(head)
        if body:
            self._http.send(h11.Data(body))
        self._http.send(h11.EndOfMessage())
        if trailing_bytes:
            self._http.receive_data(trailing_bytes)

    async def _stream_body(self) -> AsyncIterator[bytes]:
        is_complete = False
        next_event: object | None = None
        try:
            while True:
                event = next_event or await self._next_event()
                next_event = None
                if isinstance(event, h11.Data):
                    piece = BodyPiece(self._http, event)
                    next_event = piece.next_event
                    yield piece.content
                    if piece.is_slice_full:
                        await self._pace_chunks()
                elif isinstance(event, h11.EndOfMessage):
                    is_complete = True
                    return
                else:
                    raise ExchangeFailed(
                        f"{self.address}: response is truncated"
                    )
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeFailed(f"{self.address}: {exc!r}") from exc
        finally:
            self._end_exchange(is_complete)

    async def _pace_chunks(self) -> None:
        await self._pacer.wait()
        if self._deadline is not None and self._deadline.has_passed:
            raise ExchangeTimedOut(
                f"{self.address}: a body in tiny chunks is incomplete"
            )

    def _end_exchange(self, is_complete: bool) -> None:
        is_done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        # Behind the rest of a body, a next request would wait for a server
        # that answered before it reads on.
        if is_complete and is_done and not self._has_unsent_bytes():
            self._unwatch_acks()
            self._http.start_next_cycle()
            return
        self.close()

    def _has_unsent_bytes(self) -> bool:
        """Return whether the server's system lacks a part of the body."""
        transport = self._writer.transport
        if not self._has_long_body or transport.is_closing():
            return False
        if transport.get_write_buffer_size():
            return True
        sock = self._writer.get_extra_info("socket")
        try:
            return has_unacknowledged_bytes(sock)
        except OSError:
            return False

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self._read()
            if not data and self._has_aborted:
                # The end of an aborted stream looks like a regular close.
                raise ExchangeFailed(f"{self.address}: closed by this side")
            self._http.receive_data(data)

    async def _read(self) -> bytes:
        if self._deadline is None:
            return await self._reader.read(READ_BYTES)
        try:
            return await self._deadline.read(self._reader, READ_BYTES)
        except TimeoutError as exc:
            if self._reader.exception() is not None:
                raise
            raise ExchangeTimedOut(
                f"{self.address}: no complete response in time"
            ) from exc


@asynccontextmanager
async def _connect_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Raise `TimeoutError` for a connection that is made after a timeout.

    A process that stands still notices both together, so a due timeout lets
    the event loop finish what its sockets are ready for.
    """
    loop = asyncio.get_running_loop()
    timer: asyncio.Handle
    async with asyncio.timeout(None) as timeout:

        def expire(iterations: int) -> None:
            nonlocal timer
            if iterations:
                timer = loop.call_soon(expire, iterations - 1)
            else:
                timeout.reschedule(loop.time())

        timer = loop.call_later(timeout_s, expire, CONNECT_LOOP_ITERATIONS)
        try:
            yield
        finally:
            timer.cancel()


def _contains_status_line(
    event: h11.InformationalResponse | h11.Response,
) -> bool:
    """Return whether a head contains the status line of another response.

    It does if the target broke off in the head and sent the next response.
    """
    values = (bytes(value) for _, value in event.headers)
    return any(map(_STATUS_LINE.search, (bytes(event.reason), *values)))


def _set_ack_timeout(sock: socket.socket, ack_timeout_s: float) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(ack_timeout_s * 1000))


async def read_body(response: Response, max_bytes: int = 1 << 24) -> bytes:
    """Return a complete body; raise `ExchangeFailed` past `max_bytes`."""
    if isinstance(response.body, bytes):
        return response.body
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.body:
        size += len(chunk)
        if size > max_bytes:
            raise ExchangeFailed(f"response body exceeds {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


async def fetch(
    address: Address,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
    context: ssl.SSLContext | None = None,
    local_host: str | None = None,
) -> Response:
    """Make one exchange on a new connection and read the complete body.

    Raise `ConnectFailed` or `ExchangeFailed`.
    """
    conn = await ClientConnection.open(address, timeout_s, context, local_host)
    head: Headers = (
        (b"host", str(address).encode()),
        (b"content-length", str(len(body)).encode()),
        *headers,
    )
    until_s = asyncio.get_running_loop().time() + timeout_s
    try:
        response = await conn.exchange(
            method, target, head, body, until_s=until_s
        )
        content = await read_body(response)
    finally:
        conn.close()
    return Response(response.status, response.headers, content)
