"""Spread of announcements among the entry VMs of a region."""

import asyncio
from collections.abc import Coroutine
import time
from typing import Final

from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._published import EntryConfig
from wigeonford.entry._registry import TargetRegistry
from wigeonford.errors import Code, PeerError, RequestRefused
from wigeonford.events import Event, EventLog
from wigeonford.peer import (
    Done,
    Member,
    PeerClient,
    PeerServer,
    TargetAnnounce,
)
from wigeonford.settings import Address

SPREAD_TIMEOUT_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 0.5


class TargetDirectory:
    """Take announcements and pass them on within the region."""

    def __init__(
        self,
        name: str,
        availability_zone: str,
        registry: TargetRegistry,
        config: ConfigFollower,
        secret: str,
        log: EventLog,
    ) -> None:
        self._name = name
        self._availability_zone = availability_zone
        self._registry = registry
        self._secret = secret
        self._log = log
        self._peers: dict[Member, PeerClient] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        config.on_change(self._follow_roster)

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(TargetAnnounce, self._take)

    async def start(self) -> None:
        """Begin to expire targets."""
        self._spawn(self._sweep())

    async def stop(self) -> None:
        """Close the links to peers."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        peers = list(self._peers.values())
        self._peers.clear()
        await asyncio.gather(*(peer.close() for peer in peers))

    async def announce(self, message: TargetAnnounce) -> None:
        """Take an announcement of a target and spread it."""
        self._record(message)
        for peer in self._peers.values():
            self._spawn(self._send(peer, message))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, peer: PeerClient, message: TargetAnnounce) -> None:
        try:
            await peer.request(message, SPREAD_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)

    async def _take(self, message: TargetAnnounce) -> Done:
        try:
            self._record(message)
        except RequestRefused as exc:
            if exc.code is not Code.ANNOUNCEMENT_STALE:
                raise
        return Done()

    def _record(self, message: TargetAnnounce) -> None:
        known = f"{message.host}:{message.port}"
        is_new = all(t.target_id != known for t in self._registry.all())
        target = self._registry.announce(message, time.monotonic())
        if target.leaving:
            self._log.emit(Event.TARGET_LEFT, target=target.target_id)
        elif is_new:
            self._log.emit(Event.TARGET_ANNOUNCED, target=target.target_id)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for target in self._registry.expire(time.monotonic()):
                self._log.emit(Event.TARGET_EXPIRED, target=target.target_id)

    def _follow_roster(self, config: EntryConfig) -> None:
        zones = config.objects.availability_zones
        home = zones.get(self._availability_zone)
        if home is None:
            return
        wanted = {
            member
            for member in config.members.values()
            if member.name != self._name
            and member.availability_zone in zones
            and zones[member.availability_zone].region == home.region
        }
        for member in self._peers.keys() - wanted:
            self._spawn(self._peers.pop(member).close())
        for member in wanted - self._peers.keys():
            self._peers[member] = PeerClient(
                self._name,
                Address(member.host, member.peer_port),
                self._secret,
                self._log,
            )
