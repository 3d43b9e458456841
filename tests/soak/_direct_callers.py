"""Callers without a proxy, which learn whether a request was read."""

import asyncio
import random
import socket
import time
from typing import Final
import uuid

import h11

from tests.soak._breaks import Break, Ending, USUAL_IDLE_FRACTION
from tests.soak._observations import Answer, Observations
from tests.soak._requests import IDLE_TIMEOUTS_S, make_request, RequestPath
from wigeonford.settings import Address

READ_BYTES: Final = 65536
RESPONSE_MARGIN_S: Final = 12.0
"""How long after the deadline a response counts as missing; it exceeds the
longest stall."""
RESET_WAIT_S: Final = 0.02
"""Time after the end of a connection in which a reset may follow."""
SHORT_PAUSE_S: Final = 0.05
PARTED_FRACTION: Final = 0.2
PART_PAUSE_S: Final = 0.4
"""Some requests are sent in two parts, well within the time limit on heads."""
EDGE_S: Final = 0.02
"""Requests at the edge of the idle timeout miss it by up to this time."""


class ExchangeBroken(Exception):
    """Report an exchange that ended without a complete response."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


async def exchange(
    sock: socket.socket, request: bytes, timeout_s: float
) -> tuple[h11.Response, bytes]:
    """Send a request or its rest; return the response, with its body.

    Raise `ExchangeBroken` if no complete response comes.

    The kernel of the other side resets a connection on which bytes arrive
    unread or after the close. A close without a reset means that the process
    read all bytes.
    """
    loop = asyncio.get_running_loop()
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    conn.send(h11.EndOfMessage())
    response: h11.Response | None = None
    body = b""
    try:
        async with asyncio.timeout(timeout_s):
            await loop.sock_sendall(sock, request)
            while True:
                event = conn.next_event()
                if isinstance(event, h11.Response):
                    response = event
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    assert response is not None, "a head precedes the end"
                    return response, body
                elif event is h11.NEED_DATA:
                    data = await loop.sock_recv(sock, READ_BYTES)
                    if not data and response is None:
                        raise ExchangeBroken(await _classify_close(sock))
                    conn.receive_data(data)
    except TimeoutError:
        raise ExchangeBroken(Ending.SILENT) from None
    except BrokenPipeError:
        raise ExchangeBroken(Ending.CROSSED) from None
    except (ConnectionError, h11.RemoteProtocolError):
        raise ExchangeBroken(
            Ending.TRUNCATED if response is not None else Ending.UNREAD
        ) from None


async def _classify_close(sock: socket.socket) -> Ending:
    await asyncio.sleep(RESET_WAIT_S)
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return Ending.CROSSED if error else Ending.READ


class DirectCaller:
    """Send requests to one entry VM, also in its stops.

    Its connections are short of the idle timeout, or at its edge.
    """

    def __init__(
        self,
        entry: int,
        address: Address,
        paths: tuple[RequestPath, ...],
        observations: Observations,
        rng: random.Random,
    ) -> None:
        self._entry = entry
        self._address = address
        self._paths = paths
        self._observations = observations
        self._rng = rng

    async def run(self) -> None:
        """Send requests until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            with socket.socket() as sock:
                sock.setblocking(False)
                try:
                    await loop.sock_connect(
                        sock, (self._address.host, self._address.port)
                    )
                    await self._use_connection(sock)
                except (OSError, ExchangeBroken):
                    await asyncio.sleep(SHORT_PAUSE_S)

    async def _use_connection(self, sock: socket.socket) -> None:
        opened_s = previous_s = time.monotonic()
        while not _has_ended(sock):
            sent_s = time.monotonic()
            idle_s, previous_s = sent_s - previous_s, sent_s
            if not await self._exchange(sock, opened_s, sent_s, idle_s):
                return
            await asyncio.sleep(self._draw_pause_s())

    async def _send_part(self, sock: socket.socket, request: bytes) -> bytes:
        """Send a part of some requests and wait; return the rest."""
        if self._rng.random() > PARTED_FRACTION:
            return request
        part_bytes = self._rng.randrange(1, len(request))
        try:
            await asyncio.get_running_loop().sock_sendall(
                sock, request[:part_bytes]
            )
        except ConnectionError:
            raise ExchangeBroken(Ending.CROSSED) from None
        await asyncio.sleep(self._rng.uniform(0.0, PART_PAUSE_S))
        return request[part_bytes:]

    def _draw_pause_s(self) -> float:
        draw = self._rng.random()
        if draw < 0.3:
            return self._rng.expovariate(1 / SHORT_PAUSE_S)
        if draw < 0.7:
            return self._rng.uniform(
                0.0, USUAL_IDLE_FRACTION * min(IDLE_TIMEOUTS_S)
            )
        return self._rng.choice(IDLE_TIMEOUTS_S) + self._rng.uniform(
            -EDGE_S, EDGE_S
        )

    async def _exchange(
        self,
        sock: socket.socket,
        opened_s: float,
        sent_s: float,
        idle_s: float,
    ) -> bool:
        """Exchange once; return whether the connection stays open."""
        attempt = uuid.UUID(int=self._rng.getrandbits(128)).hex
        self._observations.sent_to[attempt] = self._entry
        path = self._rng.choice(self._paths)
        if not path.is_idempotent:
            self._observations.unsafe.add(attempt)
        request = make_request(path, attempt, "stable")
        timeout_s = path.time_limit_s + RESPONSE_MARGIN_S
        try:
            rest = await self._send_part(sock, request)
            sending_s = time.monotonic() - sent_s
            response, body = await exchange(sock, rest, timeout_s)
        except ExchangeBroken as exc:
            self._observations.broken.append(
                Break(
                    attempt,
                    self._entry,
                    opened_s,
                    sent_s,
                    time.monotonic(),
                    exc.ending,
                    idle_s,
                )
            )
            raise
        headers = dict(response.headers)
        signature = headers.get(b"x-response-signature")
        self._observations.record_response(
            attempt,
            response.status_code,
            body,
            signature.decode("latin-1") if signature is not None else None,
        )
        self._observations.answers[attempt] = Answer(
            response.status_code,
            self._entry,
            sent_s,
            time.monotonic(),
            path.time_limit_s,
            sending_s,
        )
        return headers.get(b"connection") != b"close"


def _has_ended(sock: socket.socket) -> bool:
    """Return whether the other side has closed an idle connection."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    return True
