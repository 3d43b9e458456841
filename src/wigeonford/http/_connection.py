"""One caller's connection: its requests in turn, one at a time."""

import asyncio
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
)
from typing import Final, Protocol

import h11

from wigeonford.errors import Code, RequestRefused, RunState, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.http._reader import WatchedReader
from wigeonford.http._types import (
    error_response,
    find_header,
    Headers,
    Request,
    Response,
)
from wigeonford.settings import CallerLimits

READ_BYTES: Final = 65536
LAST_BYTE_WAIT_S: Final = 0.25
"""How long an idle connection may still bring a request at a stop."""

Handler = Callable[[Request], Awaitable[Response]]


class AnswerBroken(Exception):
    """Tell that an answer can't be finished, so the connection closes."""


class CallerStalled(Exception):
    """Tell that a caller has stopped reading its answer."""


class ConnectionHost(Protocol):
    """Say what a connection needs of its server."""

    handler: Handler
    limits: CallerLimits
    log: EventLog
    draining: bool
    closing: bool

    @staticmethod
    def peer_host(writer: asyncio.StreamWriter) -> str:
        """Return the caller's IP number."""


class CallerConnection:
    """Serve the requests of one caller's connection in turn."""

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        server: "ConnectionHost",
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self._idle: asyncio.Timeout | None = None
        self.busy = False

    @property
    def _limits(self) -> CallerLimits:
        return self._server.limits

    async def serve(self) -> None:
        """Serve until either side closes.

        A caller that leaves amid a request cancels the task that runs
        this, and with it the work on the request.
        """
        while True:
            request = await self._read_request()
            if request is None:
                return
            self._watch_caller(request)
            try:
                await self._answer(request)
            finally:
                self._reader.on_gone = None
            if not self._next_cycle():
                return
            self.busy = False

    def _watch_caller(self, request: Request) -> None:
        """Cancel this task once the caller leaves with its request sent.

        One that leaves before is found by whoever reads the body.
        """
        task = asyncio.current_task()
        assert task is not None, "connections are served in tasks"

        def leave() -> None:
            sent = self._http.their_state is not h11.SEND_BODY
            if sent or not request.has_body:
                task.cancel()

        self._reader.on_gone = leave
        if self._reader.gone:
            leave()

    def hurry(self) -> None:
        """Close soon, unless a request is on its way."""
        # An idle time-out that is just ending closes the connection too.
        if self._idle is not None and not self._idle.expired():
            now_s = asyncio.get_running_loop().time()
            self._idle.reschedule(now_s + LAST_BYTE_WAIT_S)

    async def discard(self, timeout_s: float) -> None:
        """Read what the caller still sends, so that it gets its answer.

        Closing with bytes unread would reset the connection, and the
        answer could be lost with it.
        """
        if self._writer.can_write_eof():
            self._writer.write_eof()
        try:
            async with asyncio.timeout(timeout_s):
                while await self._reader.read(READ_BYTES):
                    continue
        except (TimeoutError, ConnectionError):
            return

    @property
    def unread(self) -> bool:
        """Tell whether the caller may still be sending a request."""
        return self._http.their_state in (h11.SEND_BODY, h11.ERROR)

    async def refuse(self, exc: WigeonfordError) -> None:
        """Send an error and let the connection be closed."""
        response = error_response(exc)
        await self._send_head(response, close=True)
        assert isinstance(response.body, bytes), "errors are not streamed"
        await self._write(self._http.send(h11.Data(response.body)))
        await self._write(self._http.send(h11.EndOfMessage()))

    def _next_cycle(self) -> bool:
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _event(self, timeout_s: float) -> object:
        deadline = asyncio.get_running_loop().time() + timeout_s
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            async with asyncio.timeout_at(deadline):
                data = await self._reader.read(READ_BYTES)
            self._http.receive_data(data)

    async def _read_request(self) -> Request | None:
        first = not self._http.trailing_data[0]
        if first and not await self._wait_for_first_byte():
            return None
        self.busy = True
        try:
            event = await self._event(self._limits.head_timeout_s)
        except TimeoutError:
            raise RequestRefused(
                Code.REQUEST_TIMEOUT, "request head"
            ) from None
        except h11.RemoteProtocolError as exc:
            raise _refusal(exc) from exc
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request), "a cycle opens with a head"
        return self._to_request(event)

    async def _wait_for_first_byte(self) -> bool:
        wait_s = self._limits.keep_alive_s
        if self._server.closing:
            wait_s = LAST_BYTE_WAIT_S
        try:
            async with asyncio.timeout(wait_s) as self._idle:
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            return False
        finally:
            self._idle = None
        self._http.receive_data(data)
        return bool(data)

    def _to_request(self, event: h11.Request) -> Request:
        headers: Headers = tuple(
            (bytes(name), bytes(value)) for name, value in event.headers
        )
        self._check_size(event)
        self._check_framing(headers)
        path, _, query = event.target.decode("latin-1").partition("?")
        return Request(
            method=event.method.decode("ascii"),
            path=path,
            query=query,
            headers=headers,
            client=self._server.peer_host(self._writer),
            body=self._body(),
        )

    def _check_size(self, event: h11.Request) -> None:
        """Refuse a large head that arrived at once, which h11 lets pass."""
        size = len(event.target) + sum(
            len(name) + len(value) for name, value in event.headers
        )
        if size > self._limits.head_bytes:
            raise RequestRefused(Code.HEAD_TOO_LARGE, f"{size} bytes")

    def _check_framing(self, headers: Headers) -> None:
        length = find_header(headers, b"content-length")
        coding = find_header(headers, b"transfer-encoding")
        if length is not None and coding is not None:
            raise RequestRefused(
                Code.CONFLICTING_LENGTH,
                "content-length beside transfer-encoding",
            )
        if length is not None and int(length) > self._limits.body_bytes:
            raise RequestRefused(
                Code.BODY_TOO_LARGE, f"over {self._limits.body_bytes} bytes"
            )

    async def _body(self) -> AsyncIterator[bytes]:
        if self._http.they_are_waiting_for_100_continue:
            going_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._http.send(going_on))
        loop = asyncio.get_running_loop()
        size = 0
        waited_s = 0.0
        while True:
            began_s = loop.time()
            try:
                event = await self._event(self._limits.body_idle_timeout_s)
            except TimeoutError:
                raise RequestRefused(
                    Code.REQUEST_TIMEOUT, "request body"
                ) from None
            except h11.RemoteProtocolError as exc:
                raise RequestRefused(Code.REQUEST_TRUNCATED, str(exc)) from exc
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise RequestRefused(
                        Code.BODY_TOO_LARGE,
                        f"over {self._limits.body_bytes} bytes",
                    )
                waited_s += loop.time() - began_s
                self._check_pace(size, waited_s)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._reader.gone:
                    raise ConnectionResetError("the caller has left")
                return
            else:
                raise RequestRefused(Code.REQUEST_TRUNCATED, "closed")

    def _check_pace(self, size: int, waited_s: float) -> None:
        """Refuse a body that trickles in, by the time spent waiting."""
        least = waited_s * self._limits.body_bytes_per_s
        if waited_s > self._limits.body_idle_timeout_s and size < least:
            raise RequestRefused(Code.BODY_TOO_SLOW, f"{size} bytes")

    async def _answer(self, request: Request) -> None:
        response = await self._handle(request)
        body = response.body
        if isinstance(body, bytes) or not request.has_body:
            await self._drain_request(request)
        close = self._server.draining or self._http.their_state is not h11.DONE
        await self._send_head(response, close=close)
        if isinstance(body, bytes):
            if body:
                await self._write(self._http.send(h11.Data(body)))
        else:
            await self._send_stream(body)
        await self._write(self._http.send(h11.EndOfMessage()))

    async def _send_stream(self, body: AsyncIterator[bytes]) -> None:
        """Send chunks; end the stream at once where the caller stalls."""
        try:
            async for chunk in body:
                await self._write(self._http.send(h11.Data(chunk)))
        finally:
            if isinstance(body, AsyncGenerator):
                await body.aclose()

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._server.handler(request)
        except WigeonfordError as exc:
            return error_response(exc)
        except Exception as exc:
            self._server.log.emit(Event.REQUEST_INTERNAL_ERROR, exc_info=exc)
            internal = RequestRefused(
                Code.INTERNAL, "", run_state=RunState.UNKNOWN
            )
            return error_response(internal)

    async def _drain_request(self, request: Request) -> None:
        """Read a small rest of the body, so that the connection lives on."""
        if self._http.their_state is not h11.SEND_BODY:
            return
        if self._http.they_are_waiting_for_100_continue:
            return
        left = READ_BYTES
        try:
            async for chunk in request.body:
                left -= len(chunk)
                if left < 0:
                    return
        except (WigeonfordError, RuntimeError):
            return

    async def _send_head(self, response: Response, *, close: bool) -> None:
        headers = list(response.headers)
        if close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        await self._write(self._http.send(head))

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        self._writer.write(data)
        try:
            async with asyncio.timeout(self._limits.write_timeout_s):
                await self._writer.drain()
        except TimeoutError:
            self._writer.transport.abort()
            raise CallerStalled from None


def _refusal(exc: h11.RemoteProtocolError) -> RequestRefused:
    text = str(exc)
    if exc.error_status_hint == 431:
        return RequestRefused(Code.HEAD_TOO_LARGE, text)
    if "content-length" in text.lower():
        return RequestRefused(Code.CONFLICTING_LENGTH, text)
    if "closed" in text.lower():
        return RequestRefused(Code.REQUEST_TRUNCATED, text)
    return RequestRefused(Code.BAD_REQUEST, text)
