"""HTTP/1.1 client connection: one request at a time."""

import asyncio
from collections.abc import AsyncIterator, Callable
import re
import socket
import ssl
from typing import Final

import h11

from wigeonford.http._reader import WatchedReader
from wigeonford.http._types import find_header, Headers, Response
from wigeonford.settings import Address

READ_BYTES: Final = 65536
_MAX_HEAD_BYTES: Final = 65536
KEEPALIVE_S: Final = 1
"""Pause before and between probes of a silent connection; the least that
sockets take."""
MAX_STRAY_ANSWERS: Final = 2
"""Answers to earlier requests that are read past before giving up."""

MAX_STRAY_BYTES: Final = 262144
"""Bytes of such an answer's body that are read past; a new connection costs
less than more of them."""
MAX_INTERIM_ANSWERS: Final = 8
"""Interim answers (1xx) before the final one; servers send one or two."""

KEEP_ALIVE_PART: Final = 0.5
"""How much of a stated idle time is used; the rest covers the way there."""
_KEEP_ALIVE: Final = re.compile(r"timeout=(\d+)")

IsOurs = Callable[[Headers], bool]


class ConnectFailed(Exception):
    """Report that no byte of the request left this process."""


class ExchangeFailed(Exception):
    """Report that the exchange broke after the request began to leave."""


class ClientConnection:
    """Own one connection to a server; closed on any doubt of its state."""

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        address: Address,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._sending: asyncio.Task[None] | None = None
        self.address = address
        self.used_at_s = 0.0
        self.keep_s = float("inf")

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout_s: float,
        context: ssl.SSLContext | None = None,
        local_host: str | None = None,
        silence_s: float | None = None,
    ) -> "ClientConnection":
        """Connect; raise `ConnectFailed` in `timeout_s` seconds at most.

        With `silence_s`, the connection breaks once bytes that were sent
        have gone unacknowledged for so long.
        """
        local = (local_host, 0) if local_host is not None else None
        loop = asyncio.get_running_loop()
        reader = WatchedReader(READ_BYTES)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        try:
            async with asyncio.timeout(timeout_s):
                transport, _ = await loop.create_connection(
                    lambda: protocol,
                    address.host,
                    address.port,
                    ssl=context,
                    local_addr=local,
                )
        except (OSError, TimeoutError) as exc:
            raise ConnectFailed(f"{address}: {exc!r}") from exc
        if silence_s is not None:
            _limit_silence(transport.get_extra_info("socket"), silence_s)
        writer = asyncio.StreamWriter(transport, protocol, reader, loop)
        return cls(reader, writer, address)

    @property
    def reusable(self) -> bool:
        """Tell whether the last exchange ended whole, both sides done."""
        return (
            self._http.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._reader.gone
            and not self._reader.has_unread
            and not self._writer.is_closing()
        )

    def close(self) -> None:
        """Close at once, whatever the state."""
        if self._sending is not None:
            self._sending.cancel()
        self._writer.transport.abort()

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | AsyncIterator[bytes] = b"",
        is_ours: IsOurs | None = None,
    ) -> Response:
        """Send a request and return its answer with the body streaming.

        An answer may come before all of the body is sent. With `is_ours`,
        late answers to earlier requests are read past. Raise
        `ExchangeFailed` once a byte may have left. The answer's body
        raises it as well where the answer ends before its stated length.
        """
        try:
            return await self._exchange(method, target, headers, body, is_ours)
        except BaseException:
            self.close()
            raise

    async def _exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | AsyncIterator[bytes],
        is_ours: IsOurs | None,
    ) -> Response:
        head = h11.Request(method=method, target=target, headers=list(headers))
        try:
            self._send(head, body)
            strays = 0
            while True:
                event = await self._next_head()
                answer_headers: Headers = tuple(
                    (bytes(name), bytes(value))
                    for name, value in event.headers
                )
                if is_ours is None or is_ours(answer_headers):
                    break
                strays += 1
                if strays > MAX_STRAY_ANSWERS:
                    raise ExchangeFailed(f"{self.address}: stray answers")
                await self._skip_stray(head, body)
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeFailed(f"{self.address}: {exc!r}") from exc
        self._note_keep_alive(answer_headers)
        return Response(event.status_code, answer_headers, self._body())

    def _note_keep_alive(self, headers: Headers) -> None:
        """Take over for how long the server keeps the connection idle."""
        found = _KEEP_ALIVE.search(find_header(headers, b"keep-alive") or "")
        if found is not None:
            self.keep_s = int(found[1]) * KEEP_ALIVE_PART

    def _send(
        self, head: h11.Request, body: bytes | AsyncIterator[bytes]
    ) -> None:
        """Begin to send; the transport buffers a body that is held."""
        data = self._http.send(head) or b""
        if isinstance(body, bytes):
            data += (self._http.send(h11.Data(body)) or b"") if body else b""
            data += self._http.send(h11.EndOfMessage()) or b""
            self._writer.write(data)
            return
        self._writer.write(data)
        self._sending = asyncio.create_task(self._send_stream(body))

    async def _send_stream(self, body: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in body:
                self._writer.write(self._http.send(h11.Data(chunk)) or b"")
                await self._writer.drain()
            self._writer.write(self._http.send(h11.EndOfMessage()) or b"")
        except (OSError, h11.ProtocolError):
            # The reading side finds the connection broken.
            self._writer.transport.abort()
        except Exception as exc:
            self._reader.set_exception(exc)

    async def _next_head(self) -> h11.Response:
        event = await self._next_event()
        interim = 0
        while isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > MAX_INTERIM_ANSWERS:
                raise ExchangeFailed(f"{self.address}: no final answer")
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ExchangeFailed(f"{self.address}: closed without answer")
        return event

    async def _skip_stray(
        self, head: h11.Request, body: bytes | AsyncIterator[bytes]
    ) -> None:
        """Read a stray answer whole, and wait again for the request's own.

        A new parser takes the same request; its bytes have left already.
        """
        if not isinstance(body, bytes):
            raise ExchangeFailed(f"{self.address}: stray answer")
        size = 0
        while not isinstance(
            event := await self._next_event(), h11.EndOfMessage
        ):
            if not isinstance(event, h11.Data):
                raise ExchangeFailed(f"{self.address}: stray answer cut")
            size += len(event.data)
            if size > MAX_STRAY_BYTES:
                raise ExchangeFailed(f"{self.address}: stray answer too long")
        left, closed = self._http.trailing_data
        if closed or self._http.their_state is not h11.DONE:
            raise ExchangeFailed(f"{self.address}: closed after a stray")
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._http.send(head)
        if body:
            self._http.send(h11.Data(body))
        self._http.send(h11.EndOfMessage())
        if left:
            self._http.receive_data(left)

    async def _body(self) -> AsyncIterator[bytes]:
        whole = False
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    whole = True
                    return
                else:
                    raise ExchangeFailed(f"{self.address}: answer cut")
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeFailed(f"{self.address}: {exc!r}") from exc
        finally:
            self._finish(whole)

    def _finish(self, whole: bool) -> None:
        done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
        )
        if whole and done:
            self._http.start_next_cycle()
            return
        self.close()

    async def _next_event(self) -> object:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._reader.read(READ_BYTES))


def _limit_silence(sock: socket.socket, silence_s: float) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, int(silence_s * 1000))


async def read_body(response: Response, max_bytes: int = 1 << 24) -> bytes:
    """Return a whole body; raise `ExchangeFailed` past `max_bytes`."""
    if isinstance(response.body, bytes):
        return response.body
    parts: list[bytes] = []
    size = 0
    async for chunk in response.body:
        size += len(chunk)
        if size > max_bytes:
            raise ExchangeFailed(f"answer over {max_bytes} bytes")
        parts.append(chunk)
    return b"".join(parts)


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
    """Make one exchange on a connection of its own; read it whole."""
    conn = await ClientConnection.open(address, timeout_s, context, local_host)
    head: Headers = (
        (b"host", str(address).encode()),
        (b"content-length", str(len(body)).encode()),
        *headers,
    )
    try:
        async with asyncio.timeout(timeout_s):
            response = await conn.exchange(method, target, head, body)
            content = await read_body(response)
    except TimeoutError as exc:
        raise ExchangeFailed(f"{address}: no answer in time") from exc
    finally:
        conn.close()
    return Response(response.status, response.headers, content)
