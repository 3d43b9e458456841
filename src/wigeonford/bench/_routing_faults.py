"""Faults that the routing bench injects, by name."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import random
from typing import Final, Protocol
import uuid

import msgspec

from wigeonford.bench._routing_load import LoadShape
from wigeonford.bench._settings import Deployment
from wigeonford.bench._target import StandInTarget
from wigeonford.bench._target_run_records import TargetRunRecords
from wigeonford.cli._operator import OperatorClient
from wigeonford.control import Edit
from wigeonford.entry import DRAIN_LINGER_S
from wigeonford.model import Side
from wigeonford.settings import Address

RESTART_S: Final = 1.5
SLOW_FACTOR: Final = 10
COLD_FACTOR: Final = 4
COLD_DURATION_S: Final = 3.0
POLL_INTERVAL_S: Final = 0.1


class Fleet(Protocol):
    """Define what a fault uses of a fleet."""

    deployment: Deployment
    target_records: TargetRunRecords
    targets: list[StandInTarget]

    def entry_addresses(self) -> dict[str, Address]:
        """Return the addresses of the running entry VMs by name."""

    def entry_names_in_region(self, region: str) -> list[str]:
        """Return the names of a region's entry VMs."""

    async def start_entry(self, name: str) -> None:
        """Start an entry VM, or start it again on another port."""

    async def crash_entry(self, name: str) -> None:
        """Crash an entry VM."""

    async def stop_entry(self, name: str, linger_s: float) -> None:
        """Stop an entry VM gracefully."""


@dataclass(slots=True)
class FaultContext:
    """Hold the fleet that a fault acts on and what the fault records."""

    fleet: Fleet
    operator: OperatorClient | None
    seconds: float
    rng: random.Random
    stopped_entries: set[Address] = field(default_factory=set)
    drain_s: float = 0.0
    loop_lag_ms_p99: float = 0.0

    async def sleep_fraction(self, fraction: float) -> None:
        """Sleep for a fraction of the run's length."""
        await asyncio.sleep(self.seconds * fraction)

    async def stop_entries(self, names: list[str]) -> None:
        """Stop entry VMs gracefully at once; record the time taken."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        addresses = self.fleet.entry_addresses()
        self.stopped_entries |= {addresses[name] for name in names}
        await asyncio.gather(
            *(self.fleet.stop_entry(name, DRAIN_LINGER_S) for name in names)
        )
        self.drain_s = max(self.drain_s, loop.time() - started_s)


FaultFunction = Callable[[FaultContext], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe a fault and the load under which it is injected.

    `part` is the load as a fraction of the read capacity; service times
    are scaled to reach it. Without it, they are those of the example. A
    run lasts at least `min_duration_s` seconds.
    """

    name: str
    inject: FaultFunction
    part: float | None
    shape: LoadShape
    behind_links: bool
    min_duration_s: float


FAULTS: Final[dict[str, Fault]] = {}


def register_fault(
    name: str,
    *,
    part: float | None = None,
    shape: LoadShape | None = None,
    behind_links: bool = False,
    min_duration_s: float = 0.0,
) -> Callable[[FaultFunction], FaultFunction]:
    """Register a fault under its name."""

    def register(inject: FaultFunction) -> FaultFunction:
        FAULTS[name] = Fault(
            name,
            inject,
            part,
            shape or LoadShape(),
            behind_links,
            min_duration_s,
        )
        return inject

    return register


@register_fault("none")
async def _none(_context: FaultContext) -> None:
    """Inject no fault."""


@register_fault("target-crash")
async def _target_crash(context: FaultContext) -> None:
    """Crash one old-side target of the first service in each region.

    Restart them later in the run.
    """
    await context.sleep_fraction(0.25)
    service = next(iter(context.fleet.deployment.objects.services))
    crashed = [
        next(t for t in context.fleet.targets if t.group == group)
        for group in context.fleet.deployment.stand_ins.targets
        if group.service == service and group.side is Side.OLD
    ]
    await asyncio.gather(*(target.crash() for target in crashed))
    await context.sleep_fraction(0.4)
    await asyncio.gather(*(target.start() for target in crashed))


@register_fault("poison", shape=LoadShape(poison=True))
async def _poison(context: FaultContext) -> None:
    """Restart each target that the poison request has crashed."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + context.seconds
    while loop.time() < end_s:
        await asyncio.sleep(POLL_INTERVAL_S)
        crashed = [t for t in context.fleet.targets if not t.is_alive]
        if crashed:
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(target.start() for target in crashed))


@register_fault("silent", behind_links=True)
async def _silent(context: FaultContext) -> None:
    """Drop all data on open connections of half of the targets, twice."""
    for _ in range(2):
        await context.sleep_fraction(0.25)
        for target in context.fleet.targets[::2]:
            assert target.link is not None, "targets are behind links"
            target.link.blackhole_open_connections()


@register_fault("region-loss", part=0.4)
async def _region_loss(context: FaultContext) -> None:
    """Crash every entry VM and target of the last region."""
    await context.sleep_fraction(0.25)
    region = list(context.fleet.deployment.objects.regions)[-1]
    targets = [t for t in context.fleet.targets if t.group.region == region]
    await asyncio.gather(
        *(
            context.fleet.crash_entry(n)
            for n in context.fleet.entry_names_in_region(region)
        ),
        *(target.crash() for target in targets),
    )


@register_fault("drain", part=0.4, min_duration_s=2 * DRAIN_LINGER_S)
async def _drain(context: FaultContext) -> None:
    """Stop one entry VM per region and one target gracefully."""
    await context.sleep_fraction(0.1)
    regions = context.fleet.deployment.objects.regions
    names = [
        context.fleet.entry_names_in_region(region)[0] for region in regions
    ]
    await asyncio.gather(
        context.stop_entries(names), context.fleet.targets[0].stop()
    )


@register_fault("rolling-restart", min_duration_s=3 * DRAIN_LINGER_S)
async def _rolling_restart(context: FaultContext) -> None:
    """Restart two entry VMs, one after the other."""
    region = next(iter(context.fleet.deployment.objects.regions))
    for name in context.fleet.entry_names_in_region(region)[:2]:
        await context.stop_entries([name])
        await context.fleet.start_entry(name)


@register_fault("lagging-health", part=0.3)
async def _lagging_health(context: FaultContext) -> None:
    """Slow down a third of the targets, which report no load."""
    await context.sleep_fraction(0.2)
    for target in context.fleet.targets[::3]:
        target.behavior.reports_idle = True
        target.behavior.extra_latency_s = target.group.latency_s * (
            SLOW_FACTOR - 1
        )


@register_fault("shift", part=0.3)
async def _shift(context: FaultContext) -> None:
    """Raise the first share to its cap while its new targets are slow."""
    await context.sleep_fraction(0.3)
    share = next(iter(context.fleet.deployment.objects.shares.values()))
    cold_targets = [
        target
        for target in context.fleet.targets
        if target.group.service == share.service
        and target.group.side is Side.NEW
    ]
    for target in cold_targets:
        extra_latency_s = target.group.latency_s * (COLD_FACTOR - 1)
        target.behavior.extra_latency_s = extra_latency_s
    if context.operator is not None:
        stored = await context.operator.objects("shares", share.name)
        data = msgspec.to_builtins(share)
        edit = Edit(
            "shares",
            share.name,
            stored[0].version,
            {**data, "part": share.cap, "ramp_s": 0.0},
        )
        await context.operator.change(uuid.uuid4().hex, (edit,))
    await asyncio.sleep(COLD_DURATION_S)
    for target in cold_targets:
        target.behavior.extra_latency_s = 0.0


@register_fault("late-answers", shape=LoadShape(late_fraction=0.05))
async def _late_answers(_context: FaultContext) -> None:
    """Inject nothing: the load requests responses after the deadline."""


@register_fault("overload", part=1.5, shape=LoadShape(excess_factor=5.0))
async def _overload(_context: FaultContext) -> None:
    """Inject nothing: one account adds five times its rate to the load."""
