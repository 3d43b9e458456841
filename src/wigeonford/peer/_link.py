"""Links between processes: WebSockets that carry CBOR messages."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import hashlib
import hmac
import itertools
import ssl
from typing import Any, Final

from websockets.asyncio.client import ClientConnection as WebSocketClient
from websockets.asyncio.client import connect
from websockets.asyncio.server import (
    serve,
    Server,
    ServerConnection,
)
from websockets.exceptions import (
    ConnectionClosed,
    InvalidHandshake,
    InvalidURI,
)
from websockets.http11 import Request, Response

from wigeonford._tasks import (
    cancel_tasks,
    retrieve_exception,
    wait_for_result,
)
from wigeonford.codec import CodecError
from wigeonford.errors import Code, code_of, PeerError, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.peer._frames import (
    decode_frame,
    encode_frame,
    MAX_MESSAGE_BYTES,
)
from wigeonford.peer._messages import Done, Failure, MESSAGES
from wigeonford.settings import Address

OPEN_TIMEOUT_S: Final = 3.0
PING_INTERVAL_S: Final = 5.0
PING_TIMEOUT_S: Final = 5.0
CLOSE_TIMEOUT_S: Final = 0.3
"""Two round trips between distant regions. Waiting longer is useless, since a
silent peer never answers the closing handshake."""
HANDLERS_TIMEOUT_S: Final = 5.5
"""Exceeds the time limits of handlers that wait for other replicas."""
_PEER_HEADER: Final = "Wigeonford-Peer"
_PROOF_HEADER: Final = "Wigeonford-Proof"
_REJECTED_STATUS: Final = 403

MessageHandler = Callable[[Any], Awaitable[Any]]
StreamHandler = Callable[[Any], AsyncIterator[Any]]


def peer_proof(secret: str, name: str) -> str:
    """Return the HMAC of a name by which a process proves the peer secret."""
    return hmac.new(
        secret.encode(), b"peer:" + name.encode(), hashlib.sha256
    ).hexdigest()


class PeerServer:
    """Accept links and reply to messages through a handler for each type."""

    def __init__(self, secret: str, log: EventLog) -> None:
        self._secret = secret
        self._log = log
        self._handlers: dict[type[Any], MessageHandler] = {}
        self._stream_handlers: dict[type[Any], StreamHandler] = {}
        self._server: Server | None = None
        self._serving: set[asyncio.Task[Any]] = set()

    def handle(self, message_type: type[Any], handler: MessageHandler) -> None:
        """Register the handler of one message type."""
        assert message_type not in self._handlers, (
            f"duplicate handler: {message_type.__name__}"
        )
        self._handlers[message_type] = handler

    def handle_stream(
        self, message_type: type[Any], handler: StreamHandler
    ) -> None:
        """Register the handler of a message type that gets many replies.

        The handler is cancelled once the link is closed.
        """
        assert message_type not in self._stream_handlers, (
            f"duplicate handler: {message_type.__name__}"
        )
        self._stream_handlers[message_type] = handler

    async def start(
        self, address: Address, context: ssl.SSLContext | None = None
    ) -> Address:
        """Listen; return the address with the port that was bound."""
        self._server = await serve(
            self._serve_connection,
            address.host,
            address.port,
            ssl=context,
            process_request=self._authenticate,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
        )
        port = next(iter(self._server.sockets)).getsockname()[1]
        return Address(address.host, port)

    async def stop(self) -> None:
        """Close the listener and every link.

        Messages that are not handled within `HANDLERS_TIMEOUT_S` are
        cancelled; their replies can't be sent any more.
        """
        if self._server is None:
            return
        self._server.close()
        try:
            async with asyncio.timeout(HANDLERS_TIMEOUT_S):
                await self._server.wait_closed()
        except TimeoutError:
            self._log.emit(
                Event.TASK_FAILED,
                detail=f"{len(self._serving)} links still handle messages",
            )
            await cancel_tasks(self._serving)
            await self._server.wait_closed()

    async def abort(self) -> None:
        """Abort every link without a close, as if the process were killed."""
        if self._server is not None:
            connections = list(self._server.connections)
            self._server.close()
            for conn in connections:
                conn.transport.abort()
            await self._server.wait_closed()

    def _authenticate(
        self, conn: ServerConnection, request: Request
    ) -> Response | None:
        name = request.headers.get(_PEER_HEADER, "")
        proof = request.headers.get(_PROOF_HEADER, "")
        expected = peer_proof(self._secret, name)
        if hmac.compare_digest(proof.encode(), expected.encode()):
            return None
        self._log.emit(Event.PEER_REFUSED, peer=name)
        return conn.respond(_REJECTED_STATUS, Code.PEER_REFUSED.value.text)

    async def _serve_connection(self, conn: ServerConnection) -> None:
        stream_tasks: set[asyncio.Task[Any]] = set()
        serving = asyncio.current_task()
        assert serving is not None, "links are served in tasks"
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)
        async with asyncio.TaskGroup() as task_group:
            try:
                async for data in conn:
                    task_group.create_task(
                        self._handle_message(conn, data, stream_tasks)
                    )
            except ConnectionClosed:
                return
            finally:
                for task in stream_tasks:
                    task.cancel()

    async def _handle_message(
        self,
        conn: ServerConnection,
        data: Any,
        stream_tasks: set[asyncio.Task[Any]],
    ) -> None:
        """Decode a message, handle it and send its replies."""
        try:
            request_id, plain = decode_frame(data)
            async for reply in self._produce_replies(plain, stream_tasks):
                await conn.send(
                    encode_frame(request_id, MESSAGES.to_tagged_list(reply))
                )
        except CodecError as exc:
            self._log.emit(Event.PEER_REFUSED, detail=exc.detail)
            await conn.close(1008, "invalid frame")
        except ConnectionClosed:
            return
        except Exception as exc:
            # The other messages of this link are handled on.
            self._log.emit(Event.TASK_FAILED, exc_info=exc)

    async def _produce_replies(
        self, plain: object, stream_tasks: set[asyncio.Task[Any]]
    ) -> AsyncIterator[Any]:
        """Yield the replies to a message; a stream ends with `Done`.

        An error is reported as a `Failure`. The current task is added to
        `stream_tasks` if it streams.
        """
        try:
            message = MESSAGES.from_tagged_list(plain)
            stream_handler = self._stream_handlers.get(type(message))
            if stream_handler is None:
                yield await self._dispatch(message)
                return
            task = asyncio.current_task()
            assert task is not None, "messages are handled in tasks"
            stream_tasks.add(task)
            async for reply in stream_handler(message):
                yield reply
            yield Done()
        except WigeonfordError as exc:
            leader = getattr(exc, "leader", None)
            yield Failure(exc.code.number, exc.detail, leader)
        except Exception as exc:
            self._log.emit(Event.TASK_FAILED, exc_info=exc)
            yield Failure(Code.INTERNAL.number, type(exc).__name__)

    async def _dispatch(self, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise CodecError(f"{type(message).__name__} has no handler")
        return await handler(message)


class PeerClient:
    """Send messages to one peer over a link, opened on demand."""

    def __init__(
        self,
        name: str,
        address: Address,
        secret: str,
        log: EventLog,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self._name = name
        self._secret = secret
        self._log = log
        self._context = context
        self._conn: WebSocketClient | None = None
        self._reader_task: asyncio.Task[None] | None = None
        self._opening: asyncio.Task[WebSocketClient] | None = None
        self._request_ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[Any]] = {}
        self._reply_queues: dict[int, asyncio.Queue[Any]] = {}

    @property
    def is_open(self) -> bool:
        """Return whether the link is open."""
        return self._conn is not None

    async def open(self, timeout_s: float) -> None:
        """Open the link ahead of the first message; raise `PeerError`."""
        await self._connect_within(timeout_s)

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Return the peer's reply; raise `PeerError`.

        With `PEER_UNREACHABLE`, the message was not sent. With
        `PEER_TIMEOUT`, the peer may have carried it out.
        """
        conn = await self._connect_within(timeout_s)
        request_id = next(self._request_ids)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        fut: asyncio.Future[Any] = loop.create_future()
        # If sending fails, nobody awaits the future. Retrieving its exception
        # keeps asyncio from logging it.
        fut.add_done_callback(retrieve_exception)
        self._pending_replies[request_id] = fut
        frame = encode_frame(request_id, MESSAGES.to_tagged_list(message))
        try:
            async with asyncio.timeout_at(deadline_s):
                await conn.send(frame)
            reply = await wait_for_result(fut, deadline_s - loop.time())
        except (ConnectionClosed, TimeoutError) as exc:
            raise PeerError(
                Code.PEER_TIMEOUT, f"{self.address}: {exc!r}"
            ) from exc
        finally:
            self._pending_replies.pop(request_id, None)
        if isinstance(reply, Failure):
            raise to_peer_error(reply)
        return reply

    async def stream_replies(
        self, message: Any, timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield the peer's replies as they arrive; raise `PeerError`.

        `timeout_s` bounds connecting and sending, each. A silent link is
        detected by a `request` on the same link that times out.
        """
        conn = await self._connect_within(timeout_s)
        request_id = next(self._request_ids)
        reply_queue = self._reply_queues[request_id] = asyncio.Queue()
        try:
            async with asyncio.timeout(timeout_s):
                await conn.send(
                    encode_frame(request_id, MESSAGES.to_tagged_list(message))
                )
            while not isinstance(reply := await reply_queue.get(), Done):
                if isinstance(reply, Failure):
                    raise to_peer_error(reply)
                yield reply
        except (ConnectionClosed, TimeoutError) as exc:
            raise PeerError(
                Code.PEER_TIMEOUT, f"{self.address}: {exc!r}"
            ) from exc
        finally:
            del self._reply_queues[request_id]

    async def close(self) -> None:
        """Close the link; wait at most `CLOSE_TIMEOUT_S` for the peer."""
        if self._opening is not None:
            self._opening.cancel()
        if self._reader_task is not None:
            self._reader_task.cancel()
        conn, self._conn = self._conn, None
        if conn is None:
            return
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await conn.close()
        except TimeoutError:
            conn.transport.abort()

    async def _connect_within(self, timeout_s: float) -> WebSocketClient:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._ensure_connected()
        except (
            OSError,
            TimeoutError,
            InvalidHandshake,
            InvalidURI,
            ValueError,
            OverflowError,
        ) as exc:
            # An impossible host or port is not reported as an OSError.
            raise PeerError(
                Code.PEER_UNREACHABLE, f"{self.address}: {exc!r}"
            ) from exc

    async def _ensure_connected(self) -> WebSocketClient:
        """Return the open connection; open one if there is none.

        The attempt to open one is shared and outlasts the time limit of each
        message. If every message made its own attempt, each would end with
        its message while the peer is slow, and the link would never open.
        """
        if self._conn is not None:
            return self._conn
        if self._opening is None:
            self._opening = asyncio.create_task(self._open_connection())
            self._opening.add_done_callback(self._end_opening)
        opening = self._opening
        await asyncio.wait((opening,))
        if opening.cancelled():
            raise PeerError(
                Code.PEER_UNREACHABLE, f"{self.address}: the link was closed"
            )
        return opening.result()

    def _end_opening(self, opening: asyncio.Task[WebSocketClient]) -> None:
        self._opening = None
        # Those who waited may have given up.
        retrieve_exception(opening)

    async def _open_connection(self) -> WebSocketClient:
        scheme = "ws" if self._context is None else "wss"
        conn = await connect(
            f"{scheme}://{self.address}/",
            ssl=self._context,
            additional_headers={
                _PEER_HEADER: self._name,
                _PROOF_HEADER: peer_proof(self._secret, self._name),
            },
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            proxy=None,
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
        )
        self._conn = conn
        self._reader_task = asyncio.create_task(self._read_replies(conn))
        return conn

    async def _read_replies(self, conn: WebSocketClient) -> None:
        try:
            async for data in conn:
                self._deliver_reply(data)
        except ConnectionClosed:
            pass
        except CodecError as exc:
            self._log.emit(
                Event.PEER_REFUSED, peer=str(self.address), detail=exc.detail
            )
        except Exception as exc:
            self._log.emit(
                Event.PEER_LOST, peer=str(self.address), detail=repr(exc)
            )
        finally:
            if self._conn is conn:
                self._conn = None
            self._fail_pending()
            await conn.close()

    def _deliver_reply(self, data: Any) -> None:
        request_id, plain = decode_frame(data)
        reply = MESSAGES.from_tagged_list(plain)
        fut = self._pending_replies.get(request_id)
        if fut is not None and not fut.done():
            fut.set_result(reply)
        reply_queue = self._reply_queues.get(request_id)
        if reply_queue is not None:
            reply_queue.put_nowait(reply)

    def _fail_pending(self) -> None:
        closed_error = ConnectionClosed(None, None)
        for fut in self._pending_replies.values():
            if not fut.done():
                fut.set_exception(closed_error)
        for reply_queue in self._reply_queues.values():
            reply_queue.put_nowait(
                Failure(
                    Code.PEER_TIMEOUT.number, f"{self.address}: link closed"
                )
            )


class NotLeaderError(PeerError):
    """Reject a message that only the leader handles; name the leader."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(Code.NOT_LEADER, leader or "no leader is known")
        self.leader = leader


def to_peer_error(failure: Failure) -> PeerError:
    """Return the error that a `Failure` reports."""
    code = code_of(failure.code)
    if code is Code.NOT_LEADER:
        return NotLeaderError(failure.leader)
    return PeerError(code, failure.detail)
