"""Serve the entry VMs: configuration and roster."""

import asyncio
import time
from typing import Final

from wigeonford.control._commands import (
    ExpireMember,
    RegisterMember,
)
from wigeonford.control._replica import Replica
from wigeonford.errors import WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.messages.object import (
    ConfigUpdate,
    LeaveRoster,
    Member,
    PullConfig,
)
from wigeonford.messages.raft import HeardMembers
from wigeonford.messages.spread import RosterAnswer, RosterReport
from wigeonford.peer import Done, PeerServer

MEMBER_LEASE_S: Final = 6.0
SWEEP_INTERVAL_S: Final = 1.0


class ControlService:
    """Answer the entry VMs' messages and keep the roster true."""

    def __init__(self, replica: Replica, log: EventLog) -> None:
        self._replica = replica
        self._log = log
        self._heard_at_s: dict[str, float] = {}
        self._heard_here: set[str] = set()
        self._registering: dict[str, asyncio.Task[None]] = {}
        self._led_term: int | None = None
        self._led_since_s = 0.0
        self._sweeper: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(PullConfig, self._pull_config)
        server.handle(RosterReport, self._roster_report)
        server.handle(LeaveRoster, self._leave)
        server.handle(HeardMembers, self._hear_members)

    async def start(self) -> None:
        """Begin to expire silent members."""
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop the sweeping."""
        tasks = list(self._registering.values())
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _pull_config(self, message: PullConfig) -> ConfigUpdate:
        if message.member is not None:
            self._hear(message.member)
        return self._replica.state.config.changes_since(
            message.revision, self._replica.vouched_age_s()
        )

    async def _roster_report(self, message: RosterReport) -> RosterAnswer:
        for member in message.joined:
            self._hear(member)
        now_s = time.monotonic()
        for name in message.heard:
            self._heard_at_s[name] = now_s
        self._heard_here.update(message.heard)
        known = self._replica.state.config.members.keys()
        described = known | self._registering.keys()
        return RosterAnswer(
            tuple(name for name in message.heard if name not in described)
        )

    async def _leave(self, message: LeaveRoster) -> Done:
        await self._replica.propose(
            ExpireMember(message.name, message.generation)
        )
        return Done()

    async def _hear_members(self, message: HeardMembers) -> Done:
        now_s = time.monotonic()
        for name in message.names:
            self._heard_at_s[name] = now_s
        return Done()

    def _hear(self, member: Member) -> None:
        """Note that a member runs; the roster follows in the background.

        A member gets its configuration also while no leader is known.
        """
        self._heard_at_s[member.name] = time.monotonic()
        self._heard_here.add(member.name)
        held = self._replica.state.config.members.get(member.name)
        known = held is not None and held[1] == member
        if not known and member.name not in self._registering:
            task = asyncio.create_task(self._register(member))
            self._registering[member.name] = task

    async def _register(self, member: Member) -> None:
        try:
            await self._replica.propose(RegisterMember(member))
        except WigeonfordError as exc:
            self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))
        finally:
            del self._registering[member.name]

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                if self._replica.is_leader:
                    await self._expire_silent(time.monotonic())
                else:
                    await self._report_heard()
            except WigeonfordError as exc:
                self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))

    async def _report_heard(self) -> None:
        """Tell the leader in one message whom this replica has heard."""
        names = tuple(sorted(self._heard_here))
        if names:
            await self._replica.ask_leader(HeardMembers(names))
            self._heard_here.clear()

    async def _expire_silent(self, now_s: float) -> None:
        """Expire silent members; a new leader first waits a whole lease."""
        if self._led_term != self._replica.term:
            self._led_term = self._replica.term
            self._led_since_s = now_s
        self._heard_here.clear()
        for name, (_, member) in list(
            self._replica.state.config.members.items()
        ):
            heard_s = self._heard_at_s.get(name, self._led_since_s)
            silent_s = now_s - max(heard_s, self._led_since_s)
            if silent_s > MEMBER_LEASE_S:
                await self._replica.propose(
                    ExpireMember(name, member.generation)
                )
