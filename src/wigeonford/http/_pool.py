"""Idle connections to targets, each used by one request at a time."""

from collections import deque
import time
from typing import Final

from wigeonford.http._client import ClientConnection
from wigeonford.settings import Address

IDLE_S: Final = 5.0
MAX_IDLE: Final = 32
CONNECT_TIMEOUT_S: Final = 1.0


class ConnectionPool:
    """Keep connections whose last exchange ended whole."""

    def __init__(self, silence_s: float | None = None) -> None:
        self._idle: dict[Address, deque[ClientConnection]] = {}
        self._silence_s = silence_s

    async def acquire(
        self,
        address: Address,
        *,
        fresh: bool = False,
        connect_s: float = CONNECT_TIMEOUT_S,
    ) -> tuple[ClientConnection, bool]:
        """Return a connection and whether it was used before.

        Raise `ConnectFailed`.
        """
        idle = self._idle.get(address)
        now_s = time.monotonic()
        while idle and not fresh:
            conn = idle.pop()
            idle_s = min(IDLE_S, conn.keep_s)
            if conn.reusable and now_s - conn.used_at_s < idle_s:
                return conn, True
            conn.close()
        conn = await ClientConnection.open(
            address, connect_s, silence_s=self._silence_s
        )
        return conn, False

    def close_idle(self) -> None:
        """Close what has been idle for too long to be used again."""
        now_s = time.monotonic()
        for address, idle in list(self._idle.items()):
            while idle and now_s - idle[0].used_at_s >= IDLE_S:
                idle.popleft().close()
            if not idle:
                del self._idle[address]

    def discard(self, address: Address) -> None:
        """Close idle connections, as one of their kind went silent."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def release(self, conn: ClientConnection) -> None:
        """Keep a connection for later, or close it if in doubt."""
        idle = self._idle.setdefault(conn.address, deque())
        if not conn.reusable or len(idle) >= MAX_IDLE:
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
