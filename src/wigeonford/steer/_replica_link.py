"""A link to a control replica, and whether what it should bring is late."""

import asyncio
import random
from typing import Any, Final

from wigeonford._tasks import read_arrived
from wigeonford.peer import PeerClient

LATE_S: Final = 2.4
"""A replica holds a watch for 0.7 to 1.5 s. The rest covers a slow link and
the interval at which replicas batch updates."""
LINK_TIMEOUT_S: Final = 10.0
"""How long a reply is awaited on a link that no other one has replaced; a
ping of an open link fails after this time."""
RETRY_DELAY_S: Final = 0.25
"""Pause after a failed attempt; doubles up to `MAX_RETRY_DELAY_S`."""
MAX_RETRY_DELAY_S: Final = 1.0
"""Well within the time in which a replica that is reachable again has to be
connected."""


class LinkReplaced(Exception):
    """Report that a link has a replacement that is open."""


class ReplicaLink:
    """Exchange messages, and notice when a reply takes longer than `LATE_S`.

    `replacement` is an open link to use instead of this one.
    """

    def __init__(self, client: PeerClient) -> None:
        self.client: Final = client
        self.has_replied = False
        self.replacement: ReplicaLink | None = None
        self._late = asyncio.Event()

    @property
    def is_late(self) -> bool:
        """Return whether a reply is late and no other one has come since."""
        return self._late.is_set()

    async def wait_until_late(self) -> None:
        """Return once the link is late."""
        while True:
            await self._late.wait()
            # A process that stood still may not have read what arrived.
            await read_arrived()
            if self.is_late:
                return

    async def request(self, message: Any) -> Any:
        """Return the reply; raise `PeerError`."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(LATE_S, self._late.set)
        try:
            reply = await self.client.request(message, LINK_TIMEOUT_S)
        finally:
            timer.cancel()
        self._late.clear()
        self.has_replied = True
        return reply


class RetryPause:
    """Wait between attempts to reach a replica, longer each time."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.reset()

    def reset(self) -> None:
        """Make the next pause a short one."""
        self._pause_s = RETRY_DELAY_S

    async def wait(self) -> None:
        """Wait before the next attempt."""
        await asyncio.sleep(self._pause_s * self._rng.uniform(0.7, 1.3))
        self._pause_s = min(2 * self._pause_s, MAX_RETRY_DELAY_S)
