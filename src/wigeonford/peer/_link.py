"""Links between processes: websockets that carry CBOR messages."""

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
from websockets.exceptions import ConnectionClosed, InvalidHandshake
from websockets.http11 import Request, Response

from wigeonford.codec import CodecError
from wigeonford.errors import Code, PeerError, WigeonfordError
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
"""Two round trips between distant regions; a silent peer never answers."""
_PEER_HEADER: Final = "Wigeonford-Peer"
_PROOF_HEADER: Final = "Wigeonford-Proof"
_REFUSED_STATUS: Final = 403

MessageHandler = Callable[[Any], Awaitable[Any]]
StreamHandler = Callable[[Any], AsyncIterator[Any]]


def peer_proof(secret: str, name: str) -> str:
    """Return the proof that a process holds the fleet's peer secret."""
    return hmac.new(
        secret.encode(), b"peer:" + name.encode(), hashlib.sha256
    ).hexdigest()


class PeerServer:
    """Answer messages of peers through handlers by message type."""

    def __init__(self, secret: str, log: EventLog) -> None:
        self._secret = secret
        self._log = log
        self._handlers: dict[type[Any], MessageHandler] = {}
        self._streams: dict[type[Any], StreamHandler] = {}
        self._server: Server | None = None

    def handle(self, kind: type[Any], handler: MessageHandler) -> None:
        """Register the handler of one message type."""
        assert kind not in self._handlers, f"{kind.__name__} handled twice"
        self._handlers[kind] = handler

    def handle_stream(self, kind: type[Any], handler: StreamHandler) -> None:
        """Register the handler of a message that gets many replies.

        It is cancelled once the link is closed.
        """
        assert kind not in self._streams, f"{kind.__name__} handled twice"
        self._streams[kind] = handler

    async def start(
        self, address: Address, context: ssl.SSLContext | None = None
    ) -> Address:
        """Listen; return the address with the port that was bound."""
        self._server = await serve(
            self._serve,
            address.host,
            address.port,
            ssl=context,
            process_request=self._authenticate,
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_TIMEOUT_S,
        )
        port = next(iter(self._server.sockets)).getsockname()[1]
        return Address(address.host, port)

    async def stop(self) -> None:
        """Close the listener and every link."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def abort(self) -> None:
        """Break every link at once, as a process does that is killed."""
        if self._server is not None:
            links = list(self._server.connections)
            self._server.close()
            for conn in links:
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
        return conn.respond(_REFUSED_STATUS, Code.PEER_REFUSED.value.text)

    async def _serve(self, conn: ServerConnection) -> None:
        streams: set[asyncio.Task[Any]] = set()
        async with asyncio.TaskGroup() as group:
            try:
                async for data in conn:
                    group.create_task(self._answer(conn, data, streams))
            except ConnectionClosed:
                return
            finally:
                for task in streams:
                    task.cancel()

    async def _answer(
        self,
        conn: ServerConnection,
        data: Any,
        streams: set[asyncio.Task[Any]],
    ) -> None:
        """Send what a message is answered with."""
        try:
            number, plain = decode_frame(data)
            async for reply in self._replies(plain, streams):
                await conn.send(encode_frame(number, MESSAGES.to_plain(reply)))
        except CodecError as exc:
            self._log.emit(Event.PEER_REFUSED, detail=exc.detail)
            await conn.close(1008, "invalid frame")
        except ConnectionClosed:
            return

    async def _replies(
        self, plain: object, streams: set[asyncio.Task[Any]]
    ) -> AsyncIterator[Any]:
        """Yield the replies to a message; a stream ends with `Done`.

        Tasks that stream are added to `streams`.
        """
        try:
            record = MESSAGES.from_plain(plain)
            stream = self._streams.get(type(record))
            if stream is None:
                yield await self._dispatch(record)
                return
            task = asyncio.current_task()
            assert task is not None, "messages are answered in tasks"
            streams.add(task)
            async for reply in stream(record):
                yield reply
            yield Done()
        except WigeonfordError as exc:
            leader = getattr(exc, "leader", None)
            yield Failure(exc.code.number, exc.detail, leader)
        except Exception as exc:
            self._log.emit(Event.TASK_FAILED, exc_info=exc)
            yield Failure(Code.INTERNAL.number, type(exc).__name__)

    async def _dispatch(self, record: Any) -> Any:
        handler = self._handlers.get(type(record))
        if handler is None:
            raise CodecError(f"{type(record).__name__} is not served")
        return await handler(record)


_CODES_BY_NUMBER: Final = {code.number: code for code in Code}


class PeerClient:
    """Send messages to one peer over a link that is opened on demand."""

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
        self._reader: asyncio.Task[None] | None = None
        self._opening = asyncio.Lock()
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._streams: dict[int, asyncio.Queue[Any]] = {}

    @property
    def is_open(self) -> bool:
        """Tell whether the link is open at present."""
        return self._conn is not None

    async def open(self, timeout_s: float) -> None:
        """Open the link ahead of the first message; raise `PeerError`."""
        await self._connected_within(timeout_s)

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Return the peer's reply; raise `PeerError`.

        `PEER_UNREACHABLE` says that the message did not leave, and
        `PEER_TIMEOUT` that it may have been carried out.
        """
        conn = await self._connected_within(timeout_s)
        number = next(self._numbers)
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        # A send that fails leaves the future's own failure unread.
        fut.add_done_callback(_read_failure)
        self._waiting[number] = fut
        frame = encode_frame(number, MESSAGES.to_plain(record))
        try:
            async with asyncio.timeout(timeout_s):
                await conn.send(frame)
                reply = await fut
        except (ConnectionClosed, TimeoutError) as exc:
            raise PeerError(
                Code.PEER_TIMEOUT, f"{self.address}: {exc!r}"
            ) from exc
        finally:
            self._waiting.pop(number, None)
        if isinstance(reply, Failure):
            raise failure_error(reply)
        return reply

    async def follow(
        self, record: Any, timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield the peer's replies as they come; raise `PeerError`.

        The time-out is for the message to leave. A link that goes silent
        is found by those who wait for answers on it.
        """
        conn = await self._connected_within(timeout_s)
        number = next(self._numbers)
        replies = self._streams[number] = asyncio.Queue()
        try:
            async with asyncio.timeout(timeout_s):
                await conn.send(
                    encode_frame(number, MESSAGES.to_plain(record))
                )
            while not isinstance(reply := await replies.get(), Done):
                if isinstance(reply, Failure):
                    raise failure_error(reply)
                yield reply
        except (ConnectionClosed, TimeoutError) as exc:
            raise PeerError(
                Code.PEER_TIMEOUT, f"{self.address}: {exc!r}"
            ) from exc
        finally:
            del self._streams[number]

    async def close(self) -> None:
        """Close the link; do not wait for a peer that is silent."""
        if self._reader is not None:
            self._reader.cancel()
        conn, self._conn = self._conn, None
        if conn is None:
            return
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await conn.close()
        except TimeoutError:
            conn.transport.abort()

    async def _connected_within(self, timeout_s: float) -> WebSocketClient:
        try:
            async with asyncio.timeout(timeout_s):
                return await self._connected()
        except (OSError, TimeoutError, InvalidHandshake) as exc:
            raise PeerError(
                Code.PEER_UNREACHABLE, f"{self.address}: {exc!r}"
            ) from exc

    async def _connected(self) -> WebSocketClient:
        async with self._opening:
            if self._conn is None:
                scheme = "ws" if self._context is None else "wss"
                self._conn = await connect(
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
                self._reader = asyncio.create_task(self._read(self._conn))
            return self._conn

    async def _read(self, conn: WebSocketClient) -> None:
        try:
            async for data in conn:
                self._resolve(data)
        except (ConnectionClosed, CodecError):
            pass
        finally:
            if self._conn is conn:
                self._conn = None
            self._fail_waiting()
            await conn.close()

    def _resolve(self, data: Any) -> None:
        number, plain = decode_frame(data)
        reply = MESSAGES.from_plain(plain)
        fut = self._waiting.get(number)
        if fut is not None and not fut.done():
            fut.set_result(reply)
        replies = self._streams.get(number)
        if replies is not None:
            replies.put_nowait(reply)

    def _fail_waiting(self) -> None:
        lost = ConnectionClosed(None, None)
        for fut in self._waiting.values():
            if not fut.done():
                fut.set_exception(lost)
        for replies in self._streams.values():
            replies.put_nowait(
                Failure(Code.PEER_TIMEOUT.number, f"{self.address}: closed")
            )


def _read_failure(fut: asyncio.Future[Any]) -> None:
    if not fut.cancelled():
        fut.exception()


class LeaderElsewhere(PeerError):
    """Refuse a message that only the leader takes, naming the leader."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(Code.NOT_LEADER, leader or "no leader is known")
        self.leader = leader


def failure_error(failure: Failure) -> PeerError:
    """Return the error that a `Failure` stands for."""
    code = _CODES_BY_NUMBER.get(failure.code, Code.INTERNAL)
    if code is Code.NOT_LEADER:
        return LeaderElsewhere(failure.leader)
    return PeerError(code, failure.detail)
