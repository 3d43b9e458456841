"""A whole deployment on loopback in this process."""

import asyncio
from collections.abc import Callable
from pathlib import Path
import socket
from typing import Final
import uuid

from wigeonford.bench._books import TargetBooks
from wigeonford.bench._settings import BENCH_SECRETS, Deployment
from wigeonford.bench._target import StandInTarget
from wigeonford.cli._operator import edits_between, OperatorClient
from wigeonford.compose import build_control, build_entry
from wigeonford.control import ControlDaemon
from wigeonford.entry import EntryDaemon
from wigeonford.events import EventLog
from wigeonford.settings import (
    Address,
    ControlMember,
    ControlSettings,
    EntrySettings,
)

SETTLE_POLL_S: Final = 0.05
SETTLE_TIMEOUT_S: Final = 20.0


class LocalFleet:
    """Run control, the entry VMs and the targets of a deployment."""

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        log: EventLog,
        control_replicas: int = 1,
    ) -> None:
        self.deployment = deployment
        self.books = TargetBooks()
        self.entries: dict[str, EntryDaemon] = {}
        self.targets: list[StandInTarget] = []
        self.keys: dict[str, str] = {}
        self._folder = folder
        self._log = log
        self._members = _control_members(deployment, control_replicas)
        self.controls: dict[str, ControlDaemon] = {}

    @property
    def control(self) -> ControlDaemon:
        """Return the first control replica that runs."""
        assert self.controls, "the fleet has been started"
        return next(iter(self.controls.values()))

    def operator(self) -> OperatorClient:
        """Return a client of the operators' API."""
        return OperatorClient(
            tuple(
                daemon.operator_address for daemon in self.controls.values()
            ),
            BENCH_SECRETS.operator,
            "bench",
        )

    async def start(self) -> None:
        """Start everything and wait until entry VMs know of it all."""
        await asyncio.gather(
            *(self.start_control(member.name) for member in self._members)
        )
        await self._publish()
        for vm in self.deployment.objects.entry_vms.values():
            await self.start_entry(vm.name)
        await self._settle(self._roster_complete)
        await self._start_targets()

    async def start_control(self, name: str) -> None:
        """Start a control replica on its data folder."""
        member = next(held for held in self._members if held.name == name)
        several = len(self._members) > 1
        cfg = ControlSettings(
            name,
            member.region,
            self._folder / name,
            BENCH_SECRETS,
            members=self._members if several else (),
            peer_address=member.peer_address,
        )
        daemon = build_control(cfg, self._log)
        await daemon.start()
        self.controls[name] = daemon

    async def crash_control(self, name: str) -> None:
        """Kill a control replica."""
        await self.controls.pop(name).crash()

    async def _publish(self) -> None:
        client = self.operator()
        edits = edits_between((), self.deployment.objects, prune=False)
        await client.change(uuid.uuid4().hex, edits)
        for account in self.deployment.objects.client_accounts:
            key = await client.issue_key(uuid.uuid4().hex, account)
            self.keys[account] = key

    async def start_entry(self, name: str) -> None:
        """Start an entry VM, or start it again on another port."""
        zone = self.deployment.objects.entry_vms[name].availability_zone
        cfg = EntrySettings(
            name,
            zone,
            BENCH_SECRETS,
            tuple(member.peer_address for member in self._members),
        )
        entry = build_entry(cfg, self._log)
        await entry.start()
        self.entries[name] = entry

    def _roster_complete(self) -> bool:
        return all(
            self.entries.keys() <= entry.config.current.members.keys()
            for entry in self.entries.values()
        )

    async def _settle(self, done: Callable[[], bool]) -> None:
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not done():
                await asyncio.sleep(SETTLE_POLL_S)

    async def _start_targets(self) -> None:
        for group in self.deployment.stand_ins.targets:
            entries = tuple(
                self.entries[name].address
                for name in self.entries_of(group.region)
            )
            for _ in range(group.count):
                target = StandInTarget(
                    group,
                    entries,
                    BENCH_SECRETS.target,
                    self.books,
                    self._log,
                )
                await target.start()
                self.targets.append(target)

    async def crash_entry(self, name: str) -> None:
        """Kill an entry VM."""
        await self.entries.pop(name).crash()

    async def stop_entry(self, name: str, lifetime_s: float) -> None:
        """Stop an entry VM gracefully."""
        await self.entries.pop(name).stop(lifetime_s)

    def entries_of(self, region: str) -> list[str]:
        """Return the names of a region's entry VMs."""
        objects = self.deployment.objects
        return [
            vm.name
            for vm in objects.entry_vms.values()
            if objects.availability_zones[vm.availability_zone].region
            == region
        ]

    async def stop(self) -> None:
        """Stop everything, entry VMs gracefully."""
        await asyncio.gather(*(target.stop() for target in self.targets))
        await asyncio.gather(
            *(entry.stop(0.0) for entry in self.entries.values())
        )
        await asyncio.gather(
            *(daemon.stop() for daemon in self.controls.values())
        )


def _control_members(
    deployment: Deployment, count: int
) -> tuple[ControlMember, ...]:
    """Return control replicas spread over the regions."""
    regions = list(deployment.objects.regions)
    return tuple(
        ControlMember(
            f"control-{number}",
            regions[(number - 1) % len(regions)],
            free_address(f"127.9.0.{number}"),
        )
        for number in range(1, count + 1)
    )


def free_address(host: str) -> Address:
    """Return a loopback address whose port is free at present."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return Address(host, probe.getsockname()[1])
