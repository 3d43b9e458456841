"""Pool of idle connections to targets."""

from collections import deque
import time
from typing import Final

from wigeonford.http._client import ClientConnection
from wigeonford.http._reader import ChunkPacer
from wigeonford.settings import Address

MAX_IDLE_S: Final = 5.0
MAX_IDLE_PER_ADDRESS: Final = 32
CONNECT_TIMEOUT_S: Final = 1.0


class ConnectionPool:
    """Keep idle connections by address, for one request at a time each."""

    def __init__(self, ack_timeout_s: float | None = None) -> None:
        self._idle: dict[Address, deque[ClientConnection]] = {}
        self._ack_timeout_s = ack_timeout_s
        self._pacer = ChunkPacer()

    async def acquire(
        self,
        address: Address,
        *,
        new_connection: bool = False,
        request_id: str | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> tuple[ClientConnection, bool]:
        """Return a connection and whether it was used before.

        With `new_connection`, always open a new one, and with `request_id`
        where a used one can't show which response belongs to the request.
        Raise `ConnectFailed`.
        """
        idle = self._idle.get(address)
        now_s = time.monotonic()
        while idle and not new_connection:
            conn = idle.pop()
            idle_s = min(MAX_IDLE_S, conn.idle_limit_s)
            if not conn.is_reusable or now_s - conn.used_at_s >= idle_s:
                conn.close()
            elif request_id is None or conn.can_carry(request_id):
                return conn, True
            else:
                idle.append(conn)
                break
        conn = await ClientConnection.open(
            address,
            connect_timeout_s,
            ack_timeout_s=self._ack_timeout_s,
            pacer=self._pacer,
        )
        return conn, False

    def close_idle(self) -> None:
        """Close connections that have been idle for `MAX_IDLE_S`."""
        now_s = time.monotonic()
        for address, idle in list(self._idle.items()):
            while idle and now_s - idle[0].used_at_s >= MAX_IDLE_S:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def close_idle_to(self, address: Address) -> None:
        """Close the idle connections to an address that stopped responding."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def release(self, conn: ClientConnection) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        idle = self._idle.setdefault(conn.address, deque())
        if not conn.is_reusable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.used_at_s = time.monotonic()
        idle.append(conn)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
