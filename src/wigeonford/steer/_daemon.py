"""An entry VM that steers a deployment: its parts and its graceful stop."""

import asyncio
from collections.abc import Callable
import time
from typing import Final, Protocol

from wigeonford._tasks import end_task
from wigeonford.deployment import Deployment
from wigeonford.events import Event, EventLog
from wigeonford.http import HttpServer
from wigeonford.messages.steering import EntryStatus
from wigeonford.settings import (
    Address,
    CallerLimits,
    SteerEntrySettings,
)
from wigeonford.steer._attempt import TargetLinks
from wigeonford.steer._follower import ViewFollower
from wigeonford.steer._part_reporter import PartReporter
from wigeonford.steer._target_book import TargetBook
from wigeonford.steer._view import View

STILL_CALLED_PART: Final = 0.4
"""Part of the grace in which callers may still come with an old look-up."""
LAST_PART: Final = 0.08
"""Part of the grace that is left for the process to end."""
SWEEP_S: Final = 0.5
"""Pause between looks for idle connections."""


class Readiness:
    """Hold whether this VM takes callers."""

    def __init__(self, describe: Callable[[bool], EntryStatus]) -> None:
        self._describe = describe
        self._known = False
        self._stopping = False

    @property
    def ready(self) -> bool:
        """Tell whether callers may come."""
        return self._known and not self._stopping

    @property
    def status(self) -> EntryStatus:
        """Return how this VM presents itself."""
        return self._describe(self.ready)

    def learn(self) -> None:
        """Take note that a deployment is known."""
        self._known = True

    def leave(self) -> None:
        """Take note that a stop has begun."""
        self._stopping = True


class Part(Protocol):
    """Run beside the servers."""

    async def start(self) -> None:
        """Begin."""

    async def stop(self) -> None:
        """End."""


class SteerDaemon:
    """Serve callers, look-ups and the check of readiness."""

    def __init__(
        self,
        cfg: SteerEntrySettings,
        readiness: Readiness,
        follower: ViewFollower,
        reporter: PartReporter,
        book: TargetBook,
        links: TargetLinks,
        servers: tuple[tuple[HttpServer, Address], ...],
        front: HttpServer,
        loop_watch: Part,
        log: EventLog,
    ) -> None:
        self._cfg = cfg
        self._readiness = readiness
        self._follower = follower
        self._parts: tuple[Part, ...] = (follower, reporter, loop_watch)
        self._book = book
        self._links = links
        self._servers = servers
        self._front = front
        self._log = log
        self._sweeper: asyncio.Task[None] | None = None
        follower.on_view(self._take_view)

    async def start(self) -> None:
        """Serve; callers are sent here once a deployment is known."""
        for server, address in self._servers:
            await server.start(address)
        await self._front.start(self._cfg.address)
        for part in self._parts:
            await part.start()
        self._sweeper = asyncio.create_task(self._sweep())
        self._log.emit(
            Event.STARTED,
            address=str(self._cfg.address),
            zone=self._cfg.availability_zone,
            seeds=list(self._cfg.seeds),
        )

    async def stop(self) -> None:
        """Leave the look-ups, finish what is under way, then end."""
        began_s = time.monotonic()
        grace_s = self._cfg.grace_s
        self._readiness.leave()
        self._front.drain()
        await self._follower.report()
        until_s = began_s + grace_s * STILL_CALLED_PART
        await asyncio.sleep(max(0.0, until_s - time.monotonic()))
        left_s = began_s + grace_s * (1 - LAST_PART) - time.monotonic()
        cut = await self._front.stop(max(0.0, left_s))
        self._log.emit(Event.FRONT_CLOSED, cut=cut)
        await end_task(self._sweeper)
        for part in self._parts:
            await part.stop()
        for server, _ in self._servers:
            await server.stop(0.0)
        self._links.close()

    def _take_view(self, view: View) -> None:
        now_s = time.monotonic()
        for address in self._book.apply_changes(
            view.changed, view.removed, self._cfg.zones, now_s
        ):
            self._links.close_idle_to(address)
        self._book.apply_evacuations(view.taken_back, view.services, now_s)
        self._front.limits = caller_limits(
            view.deployment, self._cfg.descriptors
        )
        if not self._readiness.ready:
            self._readiness.learn()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            self._links.close_idle()


CALLER_PART: Final = 0.6
"""Part of the descriptors that callers' connections may take."""


def caller_limits(deployment: Deployment, descriptors: int) -> CallerLimits:
    """Return what a deployment lets callers send and hold."""
    limits = deployment.limits
    connections = int(descriptors * CALLER_PART)
    return CallerLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_s=limits.head_timeout_s,
        keep_alive_s=limits.idle_timeout_s,
        connections=connections,
        connections_per_address=connections,
    )
