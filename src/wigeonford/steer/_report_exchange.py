"""Exchange what entry VMs observe by way of the control replicas."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from wigeonford.peer import PeerClient
from wigeonford.steer._replica_link import LINK_TIMEOUT_S

SOURCE_CHECK_INTERVAL_S: Final = 0.3
"""Pause between checks whether a replica is among the nearest."""


class ReportExchange:
    """Report to every replica, and follow what the nearest ones stream."""

    def __init__(self) -> None:
        self._reported = asyncio.Event()

    def wake(self) -> None:
        """Send what has been observed since the last report."""
        self._reported.set()
        self._reported = asyncio.Event()

    @property
    def sequence(self) -> int:
        """Return how many observations this VM has made."""
        raise NotImplementedError

    def build_report(self, since: int) -> Any:
        """Return the message of observations, None if there are none.

        `since` is the sequence up to which the replica has been told, 0 on a
        new link.
        """
        raise NotImplementedError

    def build_follow(self) -> Any:
        """Return the message that asks a replica for its stream."""
        raise NotImplementedError

    def apply(self, update: Any) -> None:
        """Apply an update of a replica's stream."""
        raise NotImplementedError

    async def report(self, client: PeerClient) -> None:
        """Send this VM's observations to a replica; raise `PeerError`."""
        sent_sequence = 0
        while True:
            reported = self._reported
            sequence = self.sequence
            message = self.build_report(sent_sequence)
            if message is not None:
                await client.request(message, LINK_TIMEOUT_S)
            sent_sequence = sequence
            if self.sequence == sequence:
                await reported.wait()

    async def follow(
        self, client: PeerClient, is_source: Callable[[], bool]
    ) -> None:
        """Apply what other entry VMs report to a replica.

        Raise `PeerError`. The stream starts once the replica `is_source`.
        """
        while not is_source():
            await asyncio.sleep(SOURCE_CHECK_INTERVAL_S)
        async for update in client.stream_replies(
            self.build_follow(), LINK_TIMEOUT_S
        ):
            self.apply(update)
