"""Idle connections to targets, each used by one request at a time."""

from collections import deque
import time
from typing import Final

from wigeonford.http import ClientConnection
from wigeonford.settings import Address

IDLE_S: Final = 5.0
MAX_IDLE: Final = 32
CONNECT_TIMEOUT_S: Final = 1.0


class ConnectionPool:
    """Keep connections whose last exchange ended whole."""

    def __init__(self) -> None:
        self._idle: dict[Address, deque[ClientConnection]] = {}

    async def acquire(
        self, address: Address, *, fresh: bool = False
    ) -> tuple[ClientConnection, bool]:
        """Return a connection and whether it was used before.

        Raise `ConnectFailed`.
        """
        idle = self._idle.get(address)
        now_s = time.monotonic()
        while idle and not fresh:
            conn = idle.pop()
            if conn.reusable and now_s - conn.used_at_s < IDLE_S:
                return conn, True
            conn.close()
        return await ClientConnection.open(address, CONNECT_TIMEOUT_S), False

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
