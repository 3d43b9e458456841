"""Server side of one caller's connection, one request at a time."""

import asyncio
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
)
from enum import StrEnum
from typing import Final, Protocol

import h11

from wigeonford.errors import Code, RequestRejected, RunState, WigeonfordError
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
CLOSING_IDLE_S: Final = 0.25
"""Time in which an idle connection may still send a request once the server
is stopping."""

Handler = Callable[[Request], Awaitable[Response]]
FindRequestId = Callable[[Headers], str]


class ConnectionEnd(StrEnum):
    """Say why a caller's connection ended."""

    CALLER_LEFT = "caller-left"
    IDLE = "idle"
    RESPONDED = "responded"
    REJECTED = "rejected"
    CALLER_STALLED = "caller-stalled"
    RESPONSE_BROKEN = "response-broken"
    STOPPED = "stopped"
    FAILED = "failed"


class ResponseBroken(Exception):
    """Report a response that can't be completed; the connection closes."""


class CallerStalled(Exception):
    """Report that a caller has stopped reading its response."""


class ConnectionServer(Protocol):
    """Declare the server attributes that a connection uses."""

    handler: Handler
    limits: CallerLimits
    log: EventLog
    is_draining: bool
    closing: bool
    find_request_id: FindRequestId

    @staticmethod
    def caller_host(writer: asyncio.StreamWriter) -> str:
        """Return the caller's IP address, or an empty text."""


class CallerConnection:
    """Serve the requests on one caller's connection, one at a time."""

    def __init__(
        self,
        reader: WatchedReader,
        writer: asyncio.StreamWriter,
        server: "ConnectionServer",
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._server = server
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits.head_bytes
        )
        self._idle_timeout: asyncio.Timeout | None = None
        self._request: Request | None = None
        self.is_busy = False
        self.end = ConnectionEnd.CALLER_LEFT

    @property
    def _limits(self) -> CallerLimits:
        return self._server.limits

    async def serve(self) -> None:
        """Serve requests until either side closes.

        If the caller disconnects during a request, the task that runs this
        method is cancelled, and with it the work on the request.
        """
        while True:
            self._request = request = await self._read_request()
            if request is None:
                return
            self._watch_caller(request)
            try:
                await self._respond(request)
            finally:
                self._reader.on_closed = None
            if not self._start_next_cycle():
                self.end = ConnectionEnd.RESPONDED
                return
            self._request = None
            self.is_busy = False

    def _watch_caller(self, request: Request) -> None:
        """Cancel this task if the caller disconnects after its request.

        While the caller still sends the body, reading the body detects the
        disconnection.
        """
        task = asyncio.current_task()
        assert task is not None, "connections are served in tasks"

        def cancel_request() -> None:
            sent = self._http.their_state is not h11.SEND_BODY
            if sent or not request.has_body:
                task.cancel()

        self._reader.on_closed = cancel_request
        if self._reader.is_closed:
            cancel_request()

    def close_when_idle(self) -> None:
        """Shorten the idle timeout, so that an idle connection closes soon."""
        # An expired idle timeout can't be rescheduled; it closes the
        # connection anyway.
        if self._idle_timeout is not None and not self._idle_timeout.expired():
            now_s = asyncio.get_running_loop().time()
            self._idle_timeout.reschedule(now_s + CLOSING_IDLE_S)

    async def discard(self, timeout_s: float) -> None:
        """Read and drop what the caller still sends before the close.

        Closing a socket with unread bytes resets the connection, and the
        caller could lose the response.
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
    def has_unread_request(self) -> bool:
        """Return whether the caller may still be sending a request."""
        return self._http.their_state in (h11.SEND_BODY, h11.ERROR)

    @property
    def has_caller_left(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self._reader.is_closed

    @property
    def is_response_complete(self) -> bool:
        """Return whether the last response was written to its end."""
        return self._http.our_state in (
            h11.DONE,
            h11.MUST_CLOSE,
            h11.CLOSED,
        )

    @property
    def unread_bytes(self) -> int:
        """Return how many received bytes no request has used."""
        return self._reader.unread_bytes + len(self._http.trailing_data[0])

    @property
    def is_unanswered(self) -> bool:
        """Return whether the caller waits for a response.

        Bytes that have not been read may be a whole request.
        """
        if self.has_caller_left:
            return False
        if self._request is not None:
            return not self.is_response_complete
        return self.unread_bytes > 0 and not self.is_response_complete

    @property
    def request_id(self) -> str:
        """Return the id of the request that is being served, if any."""
        if self._request is None:
            return ""
        return self._server.find_request_id(self._request.headers)

    async def send_error(self, exc: WigeonfordError) -> None:
        """Send an error response that announces the close."""
        response = error_response(exc)
        await self._send_head(response, close=True)
        assert isinstance(response.body, bytes), "errors are not streamed"
        await self._write(self._http.send(h11.Data(response.body)))
        await self._write(self._http.send(h11.EndOfMessage()))

    def _start_next_cycle(self) -> bool:
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _next_event(self, timeout_s: float) -> object:
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            async with asyncio.timeout_at(deadline_s):
                data = await self._reader.read(READ_BYTES)
            self._http.receive_data(data)

    async def _read_request(self) -> Request | None:
        first = not self._http.trailing_data[0]
        if first and not await self._wait_for_first_byte():
            return None
        self.is_busy = True
        try:
            event = await self._next_event(self._limits.head_timeout_s)
        except TimeoutError:
            raise RequestRejected(
                Code.REQUEST_TIMEOUT, "the request head is incomplete"
            ) from None
        except h11.RemoteProtocolError as exc:
            raise _to_rejection(exc) from exc
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request), (
            "the first event of a cycle is a request"
        )
        return self._make_request(event)

    async def _wait_for_first_byte(self) -> bool:
        wait_s = self._limits.keep_alive_s
        if self._server.closing:
            wait_s = CLOSING_IDLE_S
        try:
            async with asyncio.timeout(wait_s) as self._idle_timeout:
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            self.end = ConnectionEnd.IDLE
            return False
        finally:
            self._idle_timeout = None
        self._http.receive_data(data)
        return bool(data)

    def _make_request(self, event: h11.Request) -> Request:
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
            caller_host=self._server.caller_host(self._writer),
            body=self._stream_body(),
        )

    def _check_size(self, event: h11.Request) -> None:
        """Reject an oversized head that h11 accepts.

        h11 limits a head only while it is incomplete, so one that arrives
        in a single read passes.
        """
        size_bytes = len(event.target) + sum(
            len(name) + len(value) for name, value in event.headers
        )
        if size_bytes > self._limits.head_bytes:
            raise RequestRejected(Code.HEAD_TOO_LARGE, f"{size_bytes} bytes")

    def _check_framing(self, headers: Headers) -> None:
        content_length = find_header(headers, b"content-length")
        transfer_encoding = find_header(headers, b"transfer-encoding")
        if content_length is not None and transfer_encoding is not None:
            raise RequestRejected(
                Code.CONFLICTING_LENGTH,
                "both content-length and transfer-encoding are set",
            )
        if (
            content_length is not None
            and int(content_length) > self._limits.body_bytes
        ):
            raise RequestRejected(
                Code.BODY_TOO_LARGE, f"over {self._limits.body_bytes} bytes"
            )

    async def _stream_body(self) -> AsyncIterator[bytes]:
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._write(self._http.send(continue_response))
        loop = asyncio.get_running_loop()
        size_bytes = 0
        waited_s = 0.0
        while True:
            started_s = loop.time()
            try:
                event = await self._next_event(
                    self._limits.body_idle_timeout_s
                )
            except TimeoutError:
                raise RequestRejected(
                    Code.REQUEST_TIMEOUT, "the request body is incomplete"
                ) from None
            except h11.RemoteProtocolError as exc:
                raise RequestRejected(
                    Code.REQUEST_TRUNCATED, str(exc)
                ) from exc
            if isinstance(event, h11.Data):
                size_bytes += len(event.data)
                if size_bytes > self._limits.body_bytes:
                    raise RequestRejected(
                        Code.BODY_TOO_LARGE,
                        f"over {self._limits.body_bytes} bytes",
                    )
                waited_s += loop.time() - started_s
                self._check_body_rate(size_bytes, waited_s)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._reader.is_closed:
                    raise ConnectionResetError("the caller has disconnected")
                return
            else:
                raise RequestRejected(Code.REQUEST_TRUNCATED, "closed")

    def _check_body_rate(self, size_bytes: int, waited_s: float) -> None:
        """Reject a body that arrives too slowly, by the time spent waiting."""
        min_bytes = waited_s * self._limits.body_bytes_per_s
        if (
            waited_s > self._limits.body_idle_timeout_s
            and size_bytes < min_bytes
        ):
            raise RequestRejected(Code.BODY_TOO_SLOW, f"{size_bytes} bytes")

    async def _respond(self, request: Request) -> None:
        response = await self._handle(request)
        body = response.body
        if isinstance(body, bytes) or not request.has_body:
            await self._read_remaining_body(request)
        close = (
            self._server.is_draining or self._http.their_state is not h11.DONE
        )
        await self._send_head(response, close=close)
        if isinstance(body, bytes):
            if body:
                await self._write(self._http.send(h11.Data(body)))
        else:
            await self._send_stream(body)
        await self._write(self._http.send(h11.EndOfMessage()))

    async def _send_stream(self, body: AsyncIterator[bytes]) -> None:
        """Send chunks; close the stream as soon as the caller stalls."""
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
            internal = RequestRejected(
                Code.INTERNAL, "", run_state=RunState.UNKNOWN
            )
            return error_response(internal)

    async def _read_remaining_body(self, request: Request) -> None:
        """Read the rest of a small body, so that the connection stays open."""
        if self._http.their_state is not h11.SEND_BODY:
            return
        if self._http.they_are_waiting_for_100_continue:
            return
        remaining_bytes = READ_BYTES
        try:
            async for chunk in request.body:
                remaining_bytes -= len(chunk)
                if remaining_bytes < 0:
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


def _to_rejection(exc: h11.RemoteProtocolError) -> RequestRejected:
    text = str(exc)
    if exc.error_status_hint == 431:
        return RequestRejected(Code.HEAD_TOO_LARGE, text)
    if "content-length" in text.lower():
        return RequestRejected(Code.CONFLICTING_LENGTH, text)
    if "closed" in text.lower():
        return RequestRejected(Code.REQUEST_TRUNCATED, text)
    return RequestRejected(Code.BAD_REQUEST, text)
