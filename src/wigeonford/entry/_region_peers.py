"""The entry VMs of this VM's region, and links to them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from wigeonford.entry._budget_links import PeerLink
from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._published import EntryConfig
from wigeonford.errors import Code, PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.object import Member
from wigeonford.peer import PeerClient
from wigeonford.policy import owner_of
from wigeonford.settings import Address


class RegionPeers:
    """Follow the region's roster; name the owner of each target."""

    def __init__(
        self,
        name: str,
        availability_zone: str,
        config: ConfigFollower,
        make_link: PeerLink,
        log: EventLog,
    ) -> None:
        self.name = name
        self.names: tuple[str, ...] = ()
        self.headroom = 0.0
        self._availability_zone = availability_zone
        self._make_link = make_link
        self._log = log
        self._links: dict[str, tuple[Member, PeerClient]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._owners: dict[str, str | None] = {}
        self._left = False
        config.on_change(self._follow_roster)

    def owner(self, target_id: str) -> str | None:
        """Return the entry VM that grants a target's slots."""
        if target_id not in self._owners:
            self._owners[target_id] = owner_of(target_id, self.names)
        return self._owners[target_id]

    def leave(self) -> None:
        """Own no target from now on, as this VM stops."""
        self._left = True
        self._set_names(self.names)

    async def request(self, name: str, record: Any, timeout_s: float) -> Any:
        """Return a peer's reply; raise `PeerError`."""
        link = self._links.get(name)
        if link is None:
            raise PeerError(Code.PEER_UNREACHABLE, name)
        return await link[1].request(record, timeout_s)

    def send(self, name: str, record: Any, timeout_s: float) -> None:
        """Send a message whose loss does no harm."""
        self.spawn(self._send(name, record, timeout_s))

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run work beside until it ends or the links close."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """End all work and close the links."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        links = list(self._links.values())
        self._links.clear()
        await asyncio.gather(*(client.close() for _, client in links))

    async def _send(self, name: str, record: Any, timeout_s: float) -> None:
        try:
            await self.request(name, record, timeout_s)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)

    def _follow_roster(self, config: EntryConfig) -> None:
        zones = config.objects.availability_zones
        home = zones.get(self._availability_zone)
        if home is None:
            return
        region = config.objects.regions.get(home.region)
        self.headroom = region.headroom if region is not None else 0.0
        members = {
            member.name: member
            for member in config.members.values()
            if member.availability_zone in zones
            and zones[member.availability_zone].region == home.region
        }
        self._set_names(tuple(sorted(members)))
        members.pop(self.name, None)
        self._link(members)

    def _set_names(self, names: tuple[str, ...]) -> None:
        if self._left:
            names = tuple(name for name in names if name != self.name)
        if names != self.names:
            self.names = names
            self._owners.clear()

    def _link(self, members: dict[str, Member]) -> None:
        for name, (member, client) in list(self._links.items()):
            if members.get(name) != member:
                del self._links[name]
                self.spawn(client.close())
        for name, member in members.items():
            if name not in self._links:
                address = Address(member.host, member.peer_port)
                client = self._make_link(address)
                self._links[name] = member, client
