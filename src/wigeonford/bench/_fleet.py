"""A complete deployment on loopback in this process."""

import asyncio
import collections
from collections.abc import Callable
from pathlib import Path
import socket
from typing import Final
import uuid

from wigeonford.bench._settings import BENCH_SECRETS, Deployment
from wigeonford.bench._target import StandInTarget
from wigeonford.bench._target_run_records import TargetRunRecords
from wigeonford.cli._operator import edits_between, OperatorClient
from wigeonford.compose import build_control, build_entry
from wigeonford.control import ControlDaemon
from wigeonford.entry import EntryDaemon
from wigeonford.events import EventLog
from wigeonford.invariants import Invariant, InvariantBreach
from wigeonford.settings import (
    Address,
    ControlMember,
    ControlSettings,
    EntrySettings,
)

SETTLE_POLL_S: Final = 0.05
SETTLE_TIMEOUT_S: Final = 20.0


class LocalFleet:
    """Run the control replicas, entry VMs and targets of a deployment.

    `keys` maps each account to its API key; `breaches` counts the invariant
    breaches raised in `stop_entry`. With `behind_links`, each target is
    reached through a simulated link, which can delay and drop data.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        log: EventLog,
        control_replicas: int = 1,
        *,
        behind_links: bool = False,
    ) -> None:
        self.deployment = deployment
        self.target_records = TargetRunRecords()
        self.entries: dict[str, EntryDaemon] = {}
        self.targets: list[StandInTarget] = []
        self.keys: dict[str, str] = {}
        self.breaches: collections.Counter[Invariant] = collections.Counter()
        self._behind_links = behind_links
        self._folder = folder
        self._log = log
        self._control_members = _make_control_members(
            deployment, control_replicas
        )
        self.controls: dict[str, ControlDaemon] = {}

    @property
    def control(self) -> ControlDaemon:
        """Return the first running control replica."""
        assert self.controls, "no control replica is running"
        return next(iter(self.controls.values()))

    def operator_client(self) -> OperatorClient:
        """Return a client of the operator API."""
        return OperatorClient(
            tuple(
                daemon.operator_address for daemon in self.controls.values()
            ),
            BENCH_SECRETS.operator,
            "bench",
        )

    async def start(self) -> None:
        """Start all daemons and targets.

        Targets start once the entry VMs have received the complete roster.
        """
        await asyncio.gather(
            *(
                self.start_control(member.name)
                for member in self._control_members
            )
        )
        await self._publish_objects_and_issue_keys()
        for vm in self.deployment.objects.entry_vms.values():
            await self.start_entry(vm.name)
        await self._wait_until(self._is_roster_complete)
        await self._start_targets()

    async def start_control(self, name: str) -> None:
        """Start a control replica on its existing data folder, if any."""
        member = next(m for m in self._control_members if m.name == name)
        has_peers = len(self._control_members) > 1
        cfg = ControlSettings(
            name,
            member.region,
            self._folder / name,
            BENCH_SECRETS,
            members=self._control_members if has_peers else (),
            peer_address=member.peer_address,
        )
        daemon = build_control(cfg, self._log)
        await daemon.start()
        self.controls[name] = daemon

    async def crash_control(self, name: str) -> None:
        """Crash a control replica."""
        await self.controls.pop(name).crash()

    async def _publish_objects_and_issue_keys(self) -> None:
        client = self.operator_client()
        edits = edits_between((), self.deployment.objects, prune=False)
        await client.change(uuid.uuid4().hex, edits)
        for account in self.deployment.objects.client_accounts:
            key = await client.issue_key(uuid.uuid4().hex, account)
            self.keys[account] = key

    async def start_entry(self, name: str) -> None:
        """Start or restart an entry VM (a free port is chosen each time)."""
        zone = self.deployment.objects.entry_vms[name].availability_zone
        cfg = EntrySettings(
            name,
            zone,
            BENCH_SECRETS,
            tuple(member.peer_address for member in self._control_members),
        )
        entry = build_entry(cfg, self._log)
        await entry.start()
        self.entries[name] = entry

    def _is_roster_complete(self) -> bool:
        return all(
            self.entries.keys() <= entry.config.current.members.keys()
            for entry in self.entries.values()
        )

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(SETTLE_POLL_S)

    async def _start_targets(self) -> None:
        for group in self.deployment.stand_ins.targets:
            entries = tuple(
                self.entries[name].address
                for name in self.entry_names_in_region(group.region)
            )
            for _ in range(group.count):
                target = StandInTarget(
                    group,
                    entries,
                    BENCH_SECRETS.target,
                    self.target_records,
                    self._log,
                )
                await target.start(behind_link=self._behind_links)
                self.targets.append(target)

    async def crash_entry(self, name: str) -> None:
        """Crash an entry VM."""
        await self.entries.pop(name).crash()

    async def stop_entry(self, name: str, linger_s: float) -> None:
        """Stop an entry VM gracefully.

        The VM starts to leave the roster and serves requests for `linger_s`
        longer. Count the invariant breach that it raises, if any.
        """
        try:
            await self.entries.pop(name).stop(linger_s)
        except InvariantBreach as exc:
            self.breaches[exc.invariant] += 1

    def entry_addresses(self) -> dict[str, Address]:
        """Return the addresses of the running entry VMs by name."""
        return {name: entry.address for name, entry in self.entries.items()}

    def entry_names_in_region(self, region: str) -> list[str]:
        """Return the names of a region's entry VMs."""
        objects = self.deployment.objects
        return [
            vm.name
            for vm in objects.entry_vms.values()
            if objects.availability_zones[vm.availability_zone].region
            == region
        ]

    async def stop(self) -> None:
        """Stop the targets, then the entry VMs, then the control replicas."""
        await asyncio.gather(*(target.stop() for target in self.targets))
        await asyncio.gather(
            *(entry.stop(0.0) for entry in self.entries.values())
        )
        await asyncio.gather(
            *(daemon.stop() for daemon in self.controls.values())
        )


def _make_control_members(
    deployment: Deployment, count: int
) -> tuple[ControlMember, ...]:
    """Return settings of control replicas spread over the regions."""
    regions = list(deployment.objects.regions)
    return tuple(
        ControlMember(
            f"control-{number}",
            regions[(number - 1) % len(regions)],
            find_free_address(f"127.9.0.{number}"),
        )
        for number in range(1, count + 1)
    )


def find_free_address(host: str) -> Address:
    """Return an address on `host` with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return Address(host, probe.getsockname()[1])
