"""Faults that the routing bench brings about, by name."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import random
from typing import Final, Protocol
import uuid

import msgspec

from wigeonford.bench._books import TargetBooks
from wigeonford.bench._routing_load import LoadShape
from wigeonford.bench._settings import Deployment
from wigeonford.bench._target import StandInTarget
from wigeonford.cli._operator import OperatorClient
from wigeonford.control import Edit
from wigeonford.entry import LINGER_S
from wigeonford.model import Side
from wigeonford.settings import Address

RESTART_S: Final = 1.5
SLOW_FACTOR: Final = 10
COLD_FACTOR: Final = 4
COLD_S: Final = 3.0
WATCH_S: Final = 0.1


class Fleet(Protocol):
    """Say what a fault needs of the fleet that it strikes."""

    deployment: Deployment
    books: TargetBooks
    targets: list[StandInTarget]

    def entry_addresses(self) -> dict[str, Address]:
        """Return the entry VMs that run."""

    def entries_of(self, region: str) -> list[str]:
        """Return the names of a region's entry VMs."""

    async def start_entry(self, name: str) -> None:
        """Start an entry VM, or start it again on another port."""

    async def crash_entry(self, name: str) -> None:
        """Kill an entry VM."""

    async def stop_entry(self, name: str, linger_s: float) -> None:
        """Stop an entry VM gracefully."""


@dataclass(slots=True)
class Stage:
    """Hold what a fault works on, and what it notes."""

    fleet: Fleet
    operator: OperatorClient | None
    seconds: float
    rng: random.Random
    stopped: set[Address] = field(default_factory=set)
    drain_s: float = 0.0
    loop_lag_ms_p99: float = 0.0

    async def reach(self, part: float) -> None:
        """Wait for a part of the run, from its start."""
        await asyncio.sleep(self.seconds * part)

    async def stop_entries(self, names: list[str]) -> None:
        """Stop entry VMs gracefully, all at once."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        addresses = self.fleet.entry_addresses()
        self.stopped |= {addresses[name] for name in names}
        await asyncio.gather(
            *(self.fleet.stop_entry(name, LINGER_S) for name in names)
        )
        self.drain_s = max(self.drain_s, loop.time() - started_s)


Act = Callable[[Stage], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Fault:
    """Describe a fault; `part` is the load's part of read capacity.

    Without a part targets take the time that the example states. A run
    lasts `least_s` seconds at the least.
    """

    name: str
    act: Act
    part: float | None
    shape: LoadShape
    behind_links: bool
    least_s: float


FAULTS: Final[dict[str, Fault]] = {}


def fault(
    name: str,
    *,
    part: float | None = None,
    shape: LoadShape | None = None,
    behind_links: bool = False,
    least_s: float = 0.0,
) -> Callable[[Act], Act]:
    """Register a fault under its name."""

    def add(act: Act) -> Act:
        FAULTS[name] = Fault(
            name, act, part, shape or LoadShape(), behind_links, least_s
        )
        return act

    return add


@fault("none")
async def _none(_stage: Stage) -> None:
    """Leave everything whole."""


@fault("target-crash")
async def _target_crash(stage: Stage) -> None:
    """Kill one target of each region's first service, then restart."""
    await stage.reach(0.25)
    service = next(iter(stage.fleet.deployment.objects.services))
    struck = [
        next(t for t in stage.fleet.targets if t.group == group)
        for group in stage.fleet.deployment.stand_ins.targets
        if group.service == service and group.side is Side.OLD
    ]
    await asyncio.gather(*(target.crash() for target in struck))
    await stage.reach(0.4)
    await asyncio.gather(*(target.start() for target in struck))


@fault("poison", shape=LoadShape(poison=True))
async def _poison(stage: Stage) -> None:
    """Restart the targets that the poisonous request kills."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + stage.seconds
    while loop.time() < until_s:
        await asyncio.sleep(WATCH_S)
        dead = [t for t in stage.fleet.targets if not t.alive]
        if dead:
            await asyncio.sleep(RESTART_S)
            await asyncio.gather(*(target.start() for target in dead))


@fault("silent", behind_links=True)
async def _silent(stage: Stage) -> None:
    """Lose the open connections of half of the targets, twice."""
    for _ in range(2):
        await stage.reach(0.25)
        for target in stage.fleet.targets[::2]:
            assert target.link is not None, "targets are behind links"
            target.link.silence()


@fault("region-loss", part=0.4)
async def _region_loss(stage: Stage) -> None:
    """Kill every entry VM and target of the last region."""
    await stage.reach(0.25)
    region = list(stage.fleet.deployment.objects.regions)[-1]
    targets = [t for t in stage.fleet.targets if t.group.region == region]
    await asyncio.gather(
        *(stage.fleet.crash_entry(n) for n in stage.fleet.entries_of(region)),
        *(target.crash() for target in targets),
    )


@fault("drain", part=0.4, least_s=2 * LINGER_S)
async def _drain(stage: Stage) -> None:
    """Stop one entry VM in each region at once; a target leaves."""
    await stage.reach(0.1)
    regions = stage.fleet.deployment.objects.regions
    names = [stage.fleet.entries_of(region)[0] for region in regions]
    await asyncio.gather(
        stage.stop_entries(names), stage.fleet.targets[0].stop()
    )


@fault("rolling-restart", least_s=3 * LINGER_S)
async def _rolling_restart(stage: Stage) -> None:
    """Restart two entry VMs, one after the other."""
    region = next(iter(stage.fleet.deployment.objects.regions))
    for name in stage.fleet.entries_of(region)[:2]:
        await stage.stop_entries([name])
        await stage.fleet.start_entry(name)


@fault("lagging-health", part=0.3)
async def _lagging_health(stage: Stage) -> None:
    """Slow a third of the targets down while they report no load."""
    await stage.reach(0.2)
    for target in stage.fleet.targets[::3]:
        target.conduct.reports_idle = True
        target.conduct.extra_s = target.group.latency_s * (SLOW_FACTOR - 1)


@fault("shift", part=0.3)
async def _shift(stage: Stage) -> None:
    """Raise the first share to its cap while its new side is cold."""
    await stage.reach(0.3)
    share = next(iter(stage.fleet.deployment.objects.shares.values()))
    cold = [
        target
        for target in stage.fleet.targets
        if target.group.service == share.service
        and target.group.side is Side.NEW
    ]
    for target in cold:
        extra_s = target.group.latency_s * (COLD_FACTOR - 1)
        target.conduct.extra_s = extra_s
    if stage.operator is not None:
        held = await stage.operator.objects("shares", share.name)
        data = msgspec.to_builtins(share)
        edit = Edit(
            "shares",
            share.name,
            held[0].version,
            {**data, "part": share.cap, "ramp_s": 0.0},
        )
        await stage.operator.change(uuid.uuid4().hex, (edit,))
    await asyncio.sleep(COLD_S)
    for target in cold:
        target.conduct.extra_s = 0.0


@fault("late-answers", shape=LoadShape(late_part=0.05))
async def _late_answers(_stage: Stage) -> None:
    """Leave it to the load, which asks for answers past the deadline."""


@fault("overload", part=1.5, shape=LoadShape(excess_factor=5.0))
async def _overload(_stage: Stage) -> None:
    """Leave it to the load, in which one account sends five times."""
