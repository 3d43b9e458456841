"""Serve the configuration to entry VMs and maintain their roster."""

import asyncio
import time
from typing import Final

from wigeonford._tasks import cancel_tasks
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
from wigeonford.messages.raft import ActiveMembers
from wigeonford.messages.spread import RosterReply, RosterReport
from wigeonford.peer import Done, PeerServer

MEMBER_LEASE_S: Final = 6.0
SWEEP_INTERVAL_S: Final = 1.0


class ControlService:
    """Reply to entry VMs' messages and keep the roster up to date."""

    def __init__(self, replica: Replica, log: EventLog) -> None:
        self._replica = replica
        self._log = log
        self._last_seen_at_s: dict[str, float] = {}
        self._unreported_names: set[str] = set()
        self._registering: dict[str, asyncio.Task[None]] = {}
        self._leader_term: int | None = None
        self._leader_since_s = 0.0
        self._sweeper: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(PullConfig, self._handle_pull)
        server.handle(RosterReport, self._handle_roster_report)
        server.handle(LeaveRoster, self._handle_leave)
        server.handle(ActiveMembers, self._handle_active_members)

    async def start(self) -> None:
        """Start expiring members that have stopped reporting."""
        self._sweeper = asyncio.create_task(self._sweep_members())

    async def stop(self) -> None:
        """Stop expiring members and cancel registrations in progress."""
        tasks = list(self._registering.values())
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        await cancel_tasks(tasks)

    async def _handle_pull(self, message: PullConfig) -> ConfigUpdate:
        if message.member is not None:
            self._record_member(message.member)
        return self._replica.state.config.changes_since(
            message.revision, self._replica.confirmed_age_s()
        )

    async def _handle_roster_report(
        self, message: RosterReport
    ) -> RosterReply:
        for member in message.joined:
            self._record_member(member)
        now_s = time.monotonic()
        for name in message.heard:
            self._last_seen_at_s[name] = now_s
        self._unreported_names.update(message.heard)
        registered_names = self._replica.state.config.members.keys()
        known_names = registered_names | self._registering.keys()
        return RosterReply(
            tuple(name for name in message.heard if name not in known_names)
        )

    async def _handle_leave(self, message: LeaveRoster) -> Done:
        await self._replica.propose(
            ExpireMember(message.name, message.generation)
        )
        return Done()

    async def _handle_active_members(self, message: ActiveMembers) -> Done:
        now_s = time.monotonic()
        for name in message.names:
            self._last_seen_at_s[name] = now_s
        return Done()

    def _record_member(self, member: Member) -> None:
        """Record that a member is active; register it in the background.

        The registration needs a leader. It does not delay the reply, so
        members get their configuration also while there is no leader.
        """
        self._last_seen_at_s[member.name] = time.monotonic()
        self._unreported_names.add(member.name)
        current_entry = self._replica.state.config.members.get(member.name)
        is_registered = (
            current_entry is not None and current_entry[1] == member
        )
        if not is_registered and member.name not in self._registering:
            task = asyncio.create_task(self._register(member))
            self._registering[member.name] = task

    async def _register(self, member: Member) -> None:
        try:
            await self._replica.propose(RegisterMember(member))
        except WigeonfordError as exc:
            self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))
        finally:
            del self._registering[member.name]

    async def _sweep_members(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                if self._replica.is_leader:
                    await self._expire_inactive_members(time.monotonic())
                else:
                    await self._report_active_members()
            except WigeonfordError as exc:
                self._log.emit(Event.ROSTER_UPDATE_FAILED, detail=str(exc))

    async def _report_active_members(self) -> None:
        """Send the leader the members seen since the last report."""
        names = tuple(sorted(self._unreported_names))
        if names:
            await self._replica.request_from_leader(ActiveMembers(names))
            self._unreported_names.clear()

    async def _expire_inactive_members(self, now_s: float) -> None:
        """Expire members that stopped reporting.

        A new leader first waits for a full lease, since members may have
        reported to its predecessor.
        """
        if self._leader_term != self._replica.term:
            self._leader_term = self._replica.term
            self._leader_since_s = now_s
        self._unreported_names.clear()
        for name, (_, member) in list(
            self._replica.state.config.members.items()
        ):
            last_seen_at_s = self._last_seen_at_s.get(
                name, self._leader_since_s
            )
            inactive_s = now_s - max(last_seen_at_s, self._leader_since_s)
            if inactive_s > MEMBER_LEASE_S:
                await self._replica.propose_in_term(
                    ExpireMember(name, member.generation), self._leader_term
                )
