"""The entry VMs of this VM's region, and clients for them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from wigeonford._tasks import cancel_tasks
from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._published import EntryConfig
from wigeonford.entry._quota_client import PeerClientFactory
from wigeonford.errors import Code, PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.object import Member
from wigeonford.peer import PeerClient
from wigeonford.policy import owner_of
from wigeonford.settings import Address


class RegionPeers:
    """Track the region's roster and determine the owner of each target.

    The owner is the entry VM that grants slots of the target.
    """

    def __init__(
        self,
        name: str,
        availability_zone: str,
        config: ConfigFollower,
        make_client: PeerClientFactory,
        log: EventLog,
    ) -> None:
        self.name = name
        self.names: tuple[str, ...] = ()
        self.headroom = 0.0
        self._availability_zone = availability_zone
        self._make_client = make_client
        self._log = log
        self._clients: dict[str, tuple[Member, PeerClient]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._owners: dict[str, str | None] = {}
        self._is_stopping = False
        config.on_change(self._apply_config)

    def owner(self, target_id: str) -> str | None:
        """Return the owner of a target, or None without any entry VM."""
        if target_id not in self._owners:
            self._owners[target_id] = owner_of(target_id, self.names)
        return self._owners[target_id]

    def stop_owning(self) -> None:
        """Stop owning targets, before a graceful shutdown."""
        self._is_stopping = True
        self._set_names(self.names)

    async def request(self, name: str, record: Any, timeout_s: float) -> Any:
        """Return a peer's reply; raise `PeerError`."""
        name_and_client = self._clients.get(name)
        if name_and_client is None:
            raise PeerError(Code.PEER_UNREACHABLE, name)
        return await name_and_client[1].request(record, timeout_s)

    def send(self, name: str, record: Any, timeout_s: float) -> None:
        """Send a message without waiting; its loss must be harmless."""
        self.spawn(self._send(name, record, timeout_s))

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a background task that `stop` cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Cancel all background tasks and close the connections."""
        await cancel_tasks(self._tasks)
        clients = list(self._clients.values())
        self._clients.clear()
        await asyncio.gather(*(client.close() for _, client in clients))

    async def _send(self, name: str, record: Any, timeout_s: float) -> None:
        try:
            await self.request(name, record, timeout_s)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)

    def _apply_config(self, config: EntryConfig) -> None:
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
        self._update_clients(members)

    def _set_names(self, names: tuple[str, ...]) -> None:
        if self._is_stopping:
            names = tuple(name for name in names if name != self.name)
        if names != self.names:
            self.names = names
            self._owners.clear()

    def _update_clients(self, members: dict[str, Member]) -> None:
        for name, (member, client) in list(self._clients.items()):
            if members.get(name) != member:
                del self._clients[name]
                self.spawn(client.close())
        for name, member in members.items():
            if name not in self._clients:
                address = Address(member.host, member.peer_port)
                client = self._make_client(address)
                self._clients[name] = member, client
