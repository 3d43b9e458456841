"""HTTP/1.1 client connection: one request at a time."""

import asyncio
from collections.abc import AsyncIterator
import ssl
from typing import Final

import h11

from wigeonford.http._types import Headers, Response
from wigeonford.settings import Address

READ_BYTES: Final = 65536
_MAX_HEAD_BYTES: Final = 65536


class ConnectFailed(Exception):
    """Report that no byte of the request left this process."""


class ExchangeFailed(Exception):
    """Report that the exchange broke after the request began to leave."""


class ClientConnection:
    """Own one connection to a server; closed on any doubt of its state."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: Address,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self.address = address
        self.used_at_s = 0.0

    @classmethod
    async def open(
        cls,
        address: Address,
        timeout_s: float,
        context: ssl.SSLContext | None = None,
        local_host: str | None = None,
    ) -> "ClientConnection":
        """Connect; raise `ConnectFailed` in `timeout_s` seconds at most."""
        local = (local_host, 0) if local_host is not None else None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    address.host,
                    address.port,
                    ssl=context,
                    limit=READ_BYTES,
                    local_addr=local,
                )
        except (OSError, TimeoutError) as exc:
            raise ConnectFailed(f"{address}: {exc!r}") from exc
        return cls(reader, writer, address)

    @property
    def reusable(self) -> bool:
        """Tell whether the last exchange ended whole, both sides done."""
        return (
            self._http.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    def close(self) -> None:
        """Close at once, whatever the state."""
        self._writer.close()

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | AsyncIterator[bytes] = b"",
    ) -> Response:
        """Send a request and return its answer with the body streaming.

        Raise `ExchangeFailed` once a byte may have left. The answer's body
        raises it as well where the answer ends before its stated length.
        """
        try:
            return await self._exchange(method, target, headers, body)
        except BaseException:
            self.close()
            raise

    async def _exchange(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes | AsyncIterator[bytes],
    ) -> Response:
        head = h11.Request(method=method, target=target, headers=list(headers))
        try:
            data = self._http.send(head)
            if isinstance(body, bytes):
                data += self._http.send(h11.Data(body)) if body else b""
                data += self._http.send(h11.EndOfMessage())
                await self._write(data)
            else:
                await self._write(data)
                await self._send_stream(body)
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
        except (OSError, h11.ProtocolError) as exc:
            raise ExchangeFailed(f"{self.address}: {exc!r}") from exc
        if not isinstance(event, h11.Response):
            raise ExchangeFailed(f"{self.address}: closed without answer")
        answer_headers = tuple(
            (bytes(name), bytes(value)) for name, value in event.headers
        )
        return Response(event.status_code, answer_headers, self._body())

    async def _send_stream(self, body: AsyncIterator[bytes]) -> None:
        async for chunk in body:
            await self._write(self._http.send(h11.Data(chunk)))
        await self._write(self._http.send(h11.EndOfMessage()))

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

    async def _write(self, data: bytes | None) -> None:
        if data:
            self._writer.write(data)
            await self._writer.drain()


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
