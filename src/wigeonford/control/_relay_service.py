"""A service that passes on what entry VMs report to all others."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final

from wigeonford.peer import Done, PeerServer

RELAY_BATCH_S: Final = 0.05
"""Reports within this time are sent together; what one entry VM reports,
several observe at about the same time."""


class RelayService:
    """Merge reports, and stream what was new in them.

    Each entry VM reports to every replica, so replicas exchange nothing. The
    state is in memory: entry VMs report again to a replica that has restarted.
    """

    report_type: type[Any]
    follow_type: type[Any]

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(self.report_type, self._on_report)
        server.handle_stream(self.follow_type, self._on_follow)

    async def start(self) -> None:
        """Return: the service runs nothing by itself."""

    async def stop(self) -> None:
        """Return: streams end with their links."""

    @property
    def revision(self) -> int:
        """Return how many reports were new."""
        raise NotImplementedError

    def merge(self, report: Any) -> None:
        """Merge a report; increase the revision by what was new in it."""
        raise NotImplementedError

    def build_update(self, since: int) -> Any:
        """Return the message of what was new after a revision."""
        raise NotImplementedError

    async def _on_report(self, report: Any) -> Done:
        known_revision = self.revision
        self.merge(report)
        if self.revision > known_revision:
            self._changed.set()
            self._changed = asyncio.Event()
        return Done()

    async def _on_follow(self, _message: Any) -> AsyncIterator[Any]:
        """Yield what is known, then what is reported."""
        sent_revision = 0
        while True:
            changed = self._changed
            revision = self.revision
            if revision > sent_revision:
                update = self.build_update(sent_revision)
                sent_revision = revision
                yield update
            await changed.wait()
            await asyncio.sleep(RELAY_BATCH_S)
