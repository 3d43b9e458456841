"""Serve the entry VMs: configuration, roster and claims."""

import asyncio
import time
from typing import Final

from wigeonford.control._budgets import BudgetService
from wigeonford.control._commands import (
    CloseClaim,
    ExpireMember,
    OpenClaim,
    RegisterMember,
)
from wigeonford.control._replica import Replica
from wigeonford.errors import WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.peer import (
    ClaimAnswer,
    ClaimClose,
    ClaimOpen,
    ConfigUpdate,
    Done,
    LeaveRoster,
    Member,
    PeerServer,
    PullConfig,
)

MEMBER_LEASE_S: Final = 6.0
SWEEP_INTERVAL_S: Final = 1.0


class ControlService:
    """Answer the entry VMs' messages and keep the roster true."""

    def __init__(
        self, replica: Replica, budgets: BudgetService, log: EventLog
    ) -> None:
        self._replica = replica
        self._budgets = budgets
        self._log = log
        self._heard_at_s: dict[str, float] = {}
        self._sweeper: asyncio.Task[None] | None = None

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        self._budgets.attach(server)
        server.handle(PullConfig, self._pull_config)
        server.handle(LeaveRoster, self._leave)
        server.handle(ClaimOpen, self._open_claim)
        server.handle(ClaimClose, self._close_claim)

    async def start(self) -> None:
        """Begin to expire silent members."""
        self._budgets.observe(time.monotonic())
        self._sweeper = asyncio.create_task(self._sweep())

    async def stop(self) -> None:
        """Stop the sweeping."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            await asyncio.gather(self._sweeper, return_exceptions=True)

    async def _pull_config(self, message: PullConfig) -> ConfigUpdate:
        if message.member is not None:
            await self._hear(message.member)
        return self._replica.state.config.changes_since(
            message.revision, self._replica.vouched_age_s()
        )

    async def _leave(self, message: LeaveRoster) -> Done:
        await self._replica.propose(
            ExpireMember(message.name, message.generation)
        )
        return Done()

    async def _hear(self, member: Member) -> None:
        self._heard_at_s[member.name] = time.monotonic()
        held = self._replica.state.config.members.get(member.name)
        if held is None or held[1] != member:
            await self._replica.propose(RegisterMember(member))

    async def _sweep(self) -> None:
        started_at_s = time.monotonic()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            self._budgets.observe(now_s)
            try:
                await self._expire_silent(now_s, started_at_s)
            except WigeonfordError as exc:
                self._log.emit(Event.TASK_FAILED, detail=str(exc))

    async def _expire_silent(self, now_s: float, since_s: float) -> None:
        for name, (_, member) in list(
            self._replica.state.config.members.items()
        ):
            heard_s = self._heard_at_s.get(name, since_s)
            if now_s - heard_s > MEMBER_LEASE_S:
                await self._replica.propose(
                    ExpireMember(name, member.generation)
                )

    async def _open_claim(self, message: ClaimOpen) -> ClaimAnswer:
        result = await self._replica.propose(
            OpenClaim(
                message.account,
                message.idempotency_key,
                message.fingerprint,
                message.claimant,
                time.time(),
            )
        )
        return ClaimAnswer(result.code, result.outcome)

    async def _close_claim(self, message: ClaimClose) -> Done:
        await self._replica.propose(
            CloseClaim(
                message.account,
                message.idempotency_key,
                message.claimant,
                message.ran,
                message.outcome,
                time.time(),
            )
        )
        return Done()
