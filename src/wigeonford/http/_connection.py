"""Server side of one caller's connection, one request at a time."""

import asyncio
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
)
from enum import StrEnum
from operator import attrgetter
import socket
import struct
import sys
from typing import Final, Protocol

import h11

from wigeonford.errors import Code, RequestRejected, RunState, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.http._caller_deadline import CallerDeadline
from wigeonford.http._head_checks import check_head, to_rejection
from wigeonford.http._reader import (
    BodyPiece,
    ChunkPacer,
    poll_sockets,
    WatchedReader,
)
from wigeonford.http._types import (
    error_response,
    Headers,
    Request,
    Response,
)
from wigeonford.settings import CallerLimits

READ_BYTES: Final = 65536
DISCARD_TIMEOUT_S: Final = 30.0
"""Time in which a caller with a response may still send its request."""
DISCARD_BYTES: Final = 1 << 20
"""Read of a rejected request, also where the limit on bodies is below it."""
DISCARD_IDLE_TIMEOUT_S: Final = 3.0
LINGER_S: Final = 0.5
"""Pause after which a caller is taken to send nothing more."""
CLOSING_IDLE_S: Final = 0.25
"""Time in which an idle connection may still send a request once the server
is stopping."""
CLOSING_RETRY_AFTER_S: Final = 1.0
"""Another VM takes the request: look-ups no longer name this one."""

_RESET_LINGER: Final = struct.pack("ii", 1, 0)
"""Lets a close reset the connection."""

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
    last_request_at_s: float
    pacer: ChunkPacer
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
        # The limit on heads may change, which h11 doesn't support.
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self._deadline: CallerDeadline | None = None
        self._reading = asyncio.Lock()
        self._request: Request | None = None
        self._response: Response | None = None
        self._has_response_begun = False
        self._is_handled = False
        self._is_closed_by_server = False
        self._is_framing_lost = False
        self.is_busy = False
        self.has_place = True
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
            request = await self._read_request()
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
            self._request = self._response = None
            self._has_response_begun = self._is_handled = False
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
        if self._deadline is not None and not self.is_busy:
            self._deadline.expire_in(CLOSING_IDLE_S)

    def apply_limits(self, limits: CallerLimits) -> None:
        """Extend the wait for the caller if its limit was raised."""
        if self._deadline is not None:
            self._deadline.extend(limits)

    async def discard(self) -> bool:
        """Read and drop what the caller still sends before the close.

        Closing a socket with unread bytes resets the connection, and the
        caller could lose the response. Return whether nothing more is due
        from the caller.
        """
        if self._writer.can_write_eof():
            self._writer.write_eof()
        # No request is read on a connection over the limit.
        timeout_s = DISCARD_TIMEOUT_S if self.is_busy else LINGER_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._discard_body()
                return await self._discard_bytes()
        except (TimeoutError, RequestRejected):
            return self.has_caller_left or not self.is_busy
        except ConnectionError:
            return True

    async def _discard_body(self) -> None:
        """Read the rest of a body within the limits on bodies."""
        if self._http.their_state is h11.SEND_BODY:
            async for _ in self._stream_body(DISCARD_BYTES):
                continue

    async def _discard_bytes(self) -> bool:
        """Read until the caller closes, pauses or hardly sends."""
        is_sending = self.has_unread_request
        idle_timeout_s = DISCARD_IDLE_TIMEOUT_S if is_sending else LINGER_S
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        size_bytes = 0
        while size_bytes < DISCARD_BYTES:
            deadline = CallerDeadline(self._limits, lambda _: idle_timeout_s)
            try:
                data = await self._read_until(deadline)
            except TimeoutError:
                return not is_sending
            if not data:
                return True
            size_bytes += len(data)
            waited_s = loop.time() - began_s
            min_bytes = waited_s * self._limits.body_bytes_per_s
            if waited_s > LINGER_S and size_bytes < min_bytes:
                return False
        return False

    @property
    def has_unread_request(self) -> bool:
        """Return whether the caller may still be sending a request."""
        is_sending = self._http.their_state in (h11.SEND_BODY, h11.ERROR)
        return is_sending or self._is_framing_lost or self.unread_bytes > 0

    @property
    def has_caller_left(self) -> bool:
        """Return whether the caller has closed the connection."""
        return self._reader.is_closed and not self._is_closed_by_server

    @property
    def is_response_complete(self) -> bool:
        """Return whether the last response was written to its end."""
        return self._http.our_state in (
            h11.DONE,
            h11.MUST_CLOSE,
            h11.CLOSED,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether the caller is connected and waits for nothing."""
        return not (self.is_busy or self.unread_bytes or self.has_caller_left)

    @property
    def is_unfinished(self) -> bool:
        """Return whether a request has begun and its response isn't out."""
        buffered_bytes = self._writer.transport.get_write_buffer_size()
        is_out = self.is_response_complete and not buffered_bytes
        return self.is_busy and not is_out

    @property
    def unread_bytes(self) -> int:
        """Return how many received bytes no request has used."""
        return self._reader.unread_bytes + len(self._http.trailing_data[0])

    @property
    def is_unanswered(self) -> bool:
        """Return whether the caller waits for a response.

        Bytes that have not been read may be a whole request.
        """
        if self.has_caller_left or self.is_response_complete:
            return False
        return self._request is not None or self.unread_bytes > 0

    @property
    def host(self) -> str:
        """Return the caller's IP address, or an empty text."""
        return self._server.caller_host(self._writer)

    @property
    def request_id(self) -> str:
        """Return the id of the request that is being served, if any."""
        if self._request is None:
            return ""
        return self._server.find_request_id(self._request.headers)

    async def send_error(self, exc: WigeonfordError) -> None:
        """Send an error response that announces the close.

        Do nothing if a response has begun.
        """
        if self._has_response_begun:
            return
        if self._http.our_state is h11.ERROR:
            # An invalid response was not sent; h11 refuses any other.
            self._is_framing_lost = self.has_unread_request
            self._http = h11.Connection(h11.SERVER)
        await self._send(error_response(exc), close=True)

    async def answer_cut(self) -> None:
        """Answer a request that is cut off, if no response has begun."""
        if not self.is_busy and not self.unread_bytes:
            return
        if self._has_response_begun or self._writer.is_closing():
            return
        response = self._response
        if response is not None and isinstance(response.body, bytes):
            await self._send(response, close=True)
        elif self._is_handled:
            await self.send_error(RequestRejected(Code.CUT_BY_STOP))
        else:
            await self.send_error(
                RequestRejected(
                    Code.DRAINING, retry_after_s=CLOSING_RETRY_AFTER_S
                )
            )

    @property
    def must_reset(self) -> bool:
        """Return whether a regular close would end a cut response as whole.

        To an HTTP/1.0 caller, a response without a length ends with its
        connection.
        """
        if not self._has_response_begun or self.is_response_complete:
            return False
        assert self._response is not None, "the response has begun"
        has_length = self._response.header(b"content-length") is not None
        return self._http.their_http_version == b"1.0" and not has_length

    def reset(self) -> None:
        """Close by a reset."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER)
        self.abort()

    def abort(self) -> None:
        """Close at once; drop what the kernel has not taken."""
        self._mark_closed()
        self._writer.transport.abort()

    def _mark_closed(self) -> None:
        if not self._reader.is_closed:
            self._is_closed_by_server = True

    def _start_next_cycle(self) -> bool:
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True

    async def _next_event(
        self, limit_of: Callable[[CallerLimits], float]
    ) -> object:
        deadline = CallerDeadline(self._limits, limit_of)
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if len(self._http.trailing_data[0]) > self._limits.head_bytes:
                raise h11.RemoteProtocolError(
                    "the head or chunk header is too long",
                    error_status_hint=431,
                )
            self._http.receive_data(await self._read_until(deadline))

    async def _read_until(self, deadline: CallerDeadline) -> bytes:
        # A target that answers early ends the sending of a body, whose read
        # ends in the next iteration of the event loop only.
        async with self._reading:
            self._deadline = deadline
            try:
                return await deadline.read(self._reader, READ_BYTES)
            finally:
                self._deadline = None

    async def _read_request(self) -> Request | None:
        first = not self._http.trailing_data[0]
        if first and not await self._wait_for_first_byte():
            return None
        self.is_busy = True
        self._server.last_request_at_s = asyncio.get_running_loop().time()
        try:
            event = await self._next_event(attrgetter("head_timeout_s"))
        except TimeoutError:
            raise RequestRejected(
                Code.REQUEST_TIMEOUT, "the request head is incomplete"
            ) from None
        except h11.RemoteProtocolError as exc:
            raise to_rejection(exc) from exc
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request), (
            "the first event of a cycle is a request"
        )
        return self._make_request(event)

    async def _wait_for_first_byte(self) -> bool:
        deadline = CallerDeadline(self._limits, attrgetter("keep_alive_s"))
        if self._server.closing:
            deadline.expire_in(CLOSING_IDLE_S)
        try:
            data = await self._read_until(deadline)
        except TimeoutError:
            self.end = ConnectionEnd.IDLE
            return False
        self._http.receive_data(data)
        return bool(data)

    def _make_request(self, event: h11.Request) -> Request:
        headers: Headers = tuple(
            (bytes(name), bytes(value)) for name, value in event.headers
        )
        target = event.target.decode("latin-1")
        path, question_mark, query = target.partition("?")
        self._request = request = Request(
            method=event.method.decode("ascii"),
            path=path,
            query=query,
            headers=headers,
            caller_host=self.host,
            body=self._stream_body(self._limits.body_bytes),
            has_caller_left=lambda: self.has_caller_left,
            has_query=bool(question_mark),
        )
        check_head(event, headers, self._limits)
        return request

    async def _stream_body(self, max_bytes: int) -> AsyncIterator[bytes]:
        """Yield the body; reject more than `max_bytes` and the limit.

        A limit that was lowered since the head holds for later requests.
        """
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._write(self._http.send(continue_response))
        loop = asyncio.get_running_loop()
        size_bytes = 0
        waited_s = 0.0
        next_event: object | None = None
        while True:
            try:
                event = next_event or self._http.next_event()
                next_event = None
                if event is h11.NEED_DATA:
                    self._check_body_rate(size_bytes, waited_s)
                    started_s = loop.time()
                    event = await self._next_event(
                        attrgetter("body_idle_timeout_s")
                    )
                    waited_s += loop.time() - started_s
                if isinstance(event, h11.Data):
                    piece = BodyPiece(self._http, event)
                    next_event = piece.next_event
            except TimeoutError:
                raise RequestRejected(
                    Code.REQUEST_TIMEOUT, "the request body is incomplete"
                ) from None
            except h11.RemoteProtocolError as exc:
                raise RequestRejected(
                    Code.REQUEST_TRUNCATED, str(exc)
                ) from exc
            if isinstance(event, h11.Data):
                size_bytes += len(piece.content)
                limit_bytes = max(max_bytes, self._limits.body_bytes)
                if size_bytes > limit_bytes:
                    raise RequestRejected(
                        Code.BODY_TOO_LARGE, f"over {limit_bytes} bytes"
                    )
                yield piece.content
                if piece.is_slice_full:
                    await self._server.pacer.wait()
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
        self._is_handled = True
        self._response = response = await self._handle(request)
        if isinstance(response.body, bytes) or not request.has_body:
            await self._read_remaining_body(request)
        # Further requests that have arrived are answered before the close.
        is_last = self._server.is_draining and not self.unread_bytes
        close = is_last or self._http.their_state is not h11.DONE
        await self._send(response, close=close)

    async def _send(self, response: Response, *, close: bool) -> None:
        """Send a response; write nothing if it is invalid."""
        headers = list(response.headers)
        if close:
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._http.send(head) or b""
        body = response.body
        if isinstance(body, bytes):
            if body and not self._is_bodiless(response):
                data += self._http.send(h11.Data(body)) or b""
            data += self._http.send(h11.EndOfMessage()) or b""
            self._has_response_begun = True
            await self._write(data)
            return
        self._has_response_begun = True
        await self._write(data)
        await self._send_stream(body)
        await self._write(self._http.send(h11.EndOfMessage()))

    def _is_bodiless(self, response: Response) -> bool:
        method = self._request.method if self._request else ""
        return method == "HEAD" or response.status in (204, 304)

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
            self._server.log.emit(
                Event.REQUEST_REFUSED,
                request=self.request_id or None,
                code=exc.code.number,
                reason=exc.code.name,
            )
            return error_response(exc)
        except Exception as exc:
            if isinstance(exc, ConnectionError) and self._reader.is_closed:
                raise  # The caller left amid its body.
            self._server.log.emit(
                Event.REQUEST_INTERNAL_ERROR,
                request=self.request_id,
                exc_info=exc,
            )
            internal = RequestRejected(
                Code.INTERNAL, "", run_state=RunState.UNKNOWN
            )
            return error_response(internal)

    async def _read_remaining_body(self, request: Request) -> None:
        """Read the rest of a small body, so that the connection stays open.

        The response waits meanwhile, so a slow body is left to `discard`.
        """
        if self._http.their_state is not h11.SEND_BODY:
            return
        if self._http.they_are_waiting_for_100_continue:
            return
        if self._server.is_draining:  # The connection closes anyway.
            return
        remaining_bytes = READ_BYTES
        try:
            async with asyncio.timeout(LINGER_S):
                async for chunk in request.body:
                    remaining_bytes -= len(chunk)
                    if remaining_bytes < 0:
                        return
        except (TimeoutError, WigeonfordError, RuntimeError):
            return

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        self._writer.write(data)
        await self._wait_until_written(self._writer.drain)

    async def close(self) -> None:
        """Close once the kernel has taken every byte of the responses."""
        self._mark_closed()
        buffered_bytes = self._writer.transport.get_write_buffer_size()
        self._writer.close()
        if self.end is ConnectionEnd.IDLE and not buffered_bytes:
            # An idle TLS peer may not confirm the close.
            return
        await self._wait_until_written(
            lambda: asyncio.shield(self._writer.wait_closed())
        )

    async def _wait_until_written(
        self, wait: Callable[[], Awaitable[None]]
    ) -> None:
        """Wait while the caller reads; raise `CallerStalled`."""
        transport = self._writer.transport
        while True:
            try:
                async with asyncio.timeout(self._limits.write_timeout_s):
                    await wait()
                return
            except TimeoutError:
                size_bytes = transport.get_write_buffer_size()
                await poll_sockets()
            # The caller may have read while this process stood still.
            if transport.get_write_buffer_size() >= size_bytes:
                transport.abort()
                raise CallerStalled
