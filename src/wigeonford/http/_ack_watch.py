"""Tell a path that is broken from a peer that doesn't read."""

import asyncio
from collections.abc import Callable
import errno
import fcntl
import math
import socket
import struct
import termios
from typing import Final

import msgspec

CHECK_INTERVAL_S: Final = 0.25

_TCP_INFO: Final = struct.Struct("8B14I")
_PROBES: Final = 3
_UNACKED: Final = 12
_LAST_ACK_MS: Final = 20
"""Fields of the kernel's `tcp_info`."""


class AckState(msgspec.Struct, frozen=True):
    """Hold whether an acknowledgement is due, and the age of the last one."""

    is_due: bool
    last_ack_s: float


def read_ack_state(sock: socket.socket) -> AckState:
    """Return the state of a TCP connection; raise `OSError`."""
    data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    if len(data) < _TCP_INFO.size:
        raise OSError(errno.ENOPROTOOPT, "the system tells too little")
    fields = _TCP_INFO.unpack_from(data)
    is_due = fields[_UNACKED] > 0 or fields[_PROBES] > 0
    return AckState(is_due, fields[_LAST_ACK_MS] / 1000)


def has_unacknowledged_bytes(sock: socket.socket) -> bool:
    """Return whether the peer's system lacks bytes; raise `OSError`."""
    size = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return size != bytes(4)


class AckWatch:
    """Call `on_silent` once acknowledgements are due for too long.

    `on_told` is called once the system shows that it tells of them; one that
    doesn't always shows zeros.

    Unlike the kernel's TCP_USER_TIMEOUT, this goes on to wait for a peer that
    doesn't read as long as its system acknowledges the probes of its window.
    Time in which this process stands still counts as one check.
    """

    def __init__(
        self,
        read: Callable[[], AckState],
        timeout_s: float,
        on_told: Callable[[], None],
        on_silent: Callable[[], None],
    ) -> None:
        self._read = read
        self._max_checks = math.ceil(timeout_s / CHECK_INTERVAL_S)
        self._on_told = on_told
        self._on_silent = on_silent
        self._is_told = False
        self._silent_checks = 0
        self._checked_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to check, until `stop`."""
        loop = asyncio.get_running_loop()
        self._checked_at_s = loop.time()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        try:
            state = self._read()
        except OSError:
            return  # It is closed; those that use it notice.
        if not self._is_told and (state.is_due or state.last_ack_s > 0):
            self._is_told = True
            self._on_told()
        since_check_s = asyncio.get_running_loop().time() - self._checked_at_s
        if state.is_due and state.last_ack_s >= since_check_s:
            self._silent_checks += 1
        else:
            self._silent_checks = 0
        if self._silent_checks > self._max_checks:
            self._timer = None
            self._on_silent()
        else:
            self.start()
