"""Membership of control replicas: joining and finding the group again."""

import asyncio
from collections.abc import Callable, Iterable
import random
import time
from typing import Final

from wigeonford._tasks import cancel_task, run_supervised
from wigeonford.control._raft_channel import Connect
from wigeonford.control._raft_replica import RaftReplica
from wigeonford.errors import PeerError, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.messages.raft import ReplicaChange
from wigeonford.messages.steering import GroupMembers, JoinGroup
from wigeonford.peer import NotLeaderError, PeerClient, PeerServer
from wigeonford.settings import parse_address

JOIN_INTERVAL_S: Final = 0.5
"""Interval between join requests before jitter; a join takes two round
trips."""
LEADER_LOST_AFTER_S: Final = 2.0
"""The maximum election timeout; by then, a member of a group has normally
received a message from its leader."""
JOIN_TIMEOUT_S: Final = 1.0
"""Several round trips between regions."""


class GroupService:
    """Request membership in the group while no leader is known.

    Replicas are named by the address at which their peers reach them. If this
    replica has stopped for good, `on_failure` is called to end the process.
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
        self._learned_addresses: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(JoinGroup, self._on_join)

    async def start(self) -> None:
        """Start to maintain this replica's membership."""
        self._task = asyncio.create_task(
            run_supervised(self._maintain_membership, self._log)
        )

    async def stop(self) -> None:
        """Stop and close the connections."""
        await cancel_task(self._task)
        for client in self._clients.values():
            await client.close()

    def members(self) -> tuple[str, ...]:
        """Return the addresses of the replicas in the replica table."""
        return self._replica.members()

    def _addresses(self) -> list[str]:
        known = {*self.members(), *self._seeds(), *self._learned_addresses}
        addresses = sorted(known - {self._name})
        self._rng.shuffle(addresses)
        return addresses

    async def _maintain_membership(self) -> None:
        leader_seen_at_s = time.monotonic() - LEADER_LOST_AFTER_S
        while True:
            pause_s = JOIN_INTERVAL_S * self._rng.uniform(0.7, 1.3)
            await asyncio.sleep(pause_s)
            now_s = time.monotonic()
            if self._replica.has_stopped:
                self._on_failure()
                return
            if self._replica.failure is not None:
                # A replica that can't store anything joins no group.
                leader_seen_at_s = now_s
            elif self._replica.leader is not None:
                leader_seen_at_s = now_s
            elif now_s - leader_seen_at_s >= LEADER_LOST_AFTER_S:
                await self._request_membership(self._addresses())

    async def _request_membership(self, addresses: Iterable[str]) -> None:
        host, _, port = self._name.rpartition(":")
        join = JoinGroup(
            self._name, self._replica.incarnation, host, int(port)
        )
        results = await asyncio.gather(
            *(self._send_join(address, join) for address in addresses)
        )
        if not any(results):
            self._log.emit(Event.GROUP_NOT_FOUND, asked=len(results))

    async def _send_join(self, address: str, join: JoinGroup) -> bool:
        client = self._clients.get(address)
        if client is None:
            client = self._connect(parse_address(address))
            self._clients[address] = client
        try:
            reply = await client.request(join, JOIN_TIMEOUT_S)
        except NotLeaderError as exc:
            if exc.leader is not None:
                self._learned_addresses.add(exc.leader)
            return False
        except PeerError:
            del self._clients[address]
            await client.close()
            return False
        assert isinstance(reply, GroupMembers), (
            "unexpected reply to a join request"
        )
        self._learned_addresses.update(reply.addresses)
        return True

    async def _on_join(self, message: JoinGroup) -> GroupMembers:
        """Add a replica as a learner if this replica is the leader.

        A listed one with another incarnation has lost its data folder. Its
        replies to heartbeats tell the leader so, which makes it a learner.
        """
        if not self._replica.is_leader:
            raise NotLeaderError(self._replica.leader)
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
