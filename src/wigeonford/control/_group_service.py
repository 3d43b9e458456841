"""Take new control replicas in, and find the group again."""

import asyncio
from collections.abc import Callable, Iterable
import random
import time
from typing import Final

from wigeonford._tasks import end_task
from wigeonford.control._raft_channel import Connect
from wigeonford.control._raft_replica import RaftReplica
from wigeonford.errors import PeerError, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.messages.raft import ReplicaChange
from wigeonford.messages.steering import GroupMembers, JoinGroup
from wigeonford.peer import LeaderElsewhere, PeerClient, PeerServer
from wigeonford.settings import parse_address

JOIN_INTERVAL_S: Final = 0.5
"""Pause between asks, before jitter; a join takes two round trips."""
LOST_AFTER_S: Final = 2.0
"""The longest election timeout: by then a group would have been heard."""
JOIN_TIMEOUT_S: Final = 1.0
"""Several round trips between regions."""


class GroupService:
    """Ask for a place in the group while no leader is heard.

    Replicas are named by the address at which their peers reach them. One
    whose storage has failed is ended by `on_failure`.
    """

    def __init__(
        self,
        name: str,
        replica: RaftReplica,
        seeds: Callable[[], tuple[str, ...]],
        connect: Connect,
        log: EventLog,
        rng: random.Random,
        on_failure: Callable[[], None] = lambda: None,
    ) -> None:
        self._name = name
        self._replica = replica
        self._seeds = seeds
        self._connect = connect
        self._log = log
        self._rng = rng
        self._on_failure = on_failure
        self._clients: dict[str, PeerClient] = {}
        self._learned: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(JoinGroup, self._take_in)

    async def start(self) -> None:
        """Begin to look after this replica's place."""
        self._task = asyncio.create_task(self._keep_place())

    async def stop(self) -> None:
        """Stop looking."""
        await end_task(self._task)
        for client in self._clients.values():
            await client.close()

    def members(self) -> tuple[str, ...]:
        """Return the addresses of the replicas in the group's table."""
        return self._replica.members()

    def _addresses(self) -> list[str]:
        known = {*self.members(), *self._seeds(), *self._learned}
        addresses = sorted(known - {self._name})
        self._rng.shuffle(addresses)
        return addresses

    async def _keep_place(self) -> None:
        heard_at_s = time.monotonic() - LOST_AFTER_S
        while True:
            pause_s = JOIN_INTERVAL_S * self._rng.uniform(0.7, 1.3)
            await asyncio.sleep(pause_s)
            now_s = time.monotonic()
            if self._replica.failure is not None:
                # Only a new start can tell what the disk holds.
                self._on_failure()
                return
            if self._replica.leader is not None:
                heard_at_s = now_s
            elif now_s - heard_at_s >= LOST_AFTER_S:
                await self._ask_for_place(self._addresses())

    async def _ask_for_place(self, addresses: Iterable[str]) -> None:
        host, _, port = self._name.rpartition(":")
        ask = JoinGroup(self._name, self._replica.incarnation, host, int(port))
        results = await asyncio.gather(
            *(self._ask(address, ask) for address in addresses)
        )
        if not any(results):
            self._log.emit(Event.GROUP_NOT_FOUND, asked=len(results))

    async def _ask(self, address: str, ask: JoinGroup) -> bool:
        client = self._clients.get(address)
        if client is None:
            client = self._connect(parse_address(address))
            self._clients[address] = client
        try:
            reply = await client.request(ask, JOIN_TIMEOUT_S)
        except LeaderElsewhere as exc:
            if exc.leader is not None:
                self._learned.add(exc.leader)
            return False
        except PeerError:
            del self._clients[address]
            await client.close()
            return False
        assert isinstance(reply, GroupMembers), "the answer to a join"
        self._learned.update(reply.addresses)
        return True

    async def _take_in(self, message: JoinGroup) -> GroupMembers:
        """Add a replica as a learner, where this one leads."""
        if not self._replica.is_leader:
            raise LeaderElsewhere(self._replica.leader)
        members = self.members()
        if message.name not in members:
            change = ReplicaChange(
                message.name, message.host, message.port, remove=False
            )
            try:
                await self._replica.change_replicas(change)
            except WigeonfordError as exc:
                self._log.emit(
                    Event.JOIN_DELAYED, replica=message.name, detail=str(exc)
                )
                raise
            self._log.emit(
                Event.REPLICA_JOINED,
                replica=message.name,
                incarnation=message.incarnation,
            )
        return GroupMembers(self.members())
