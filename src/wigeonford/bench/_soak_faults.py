"""Faults of the soak: each is injected and then repaired."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import random
from typing import Final
import uuid

import msgspec

from wigeonford.bench._fleet import LocalFleet
from wigeonford.cli._operator import OperatorClient
from wigeonford.control import Edit
from wigeonford.entry import DRAIN_LINGER_S
from wigeonford.errors import WigeonfordError
from wigeonford.settings import Address

CRASH_DURATION_S: Final = 2.0
SLOW_DURATION_S: Final = 4.0
SLOW_FACTOR: Final = 10
CONCURRENT_OPERATORS: Final = 3


@dataclass(slots=True)
class SoakContext:
    """Hold the fleet under test and the trace of its faults.

    `stopped_entries` are the entry VMs that were shut down gracefully;
    `reserved` names the components that a fault is working on.
    """

    fleet: LocalFleet
    rng: random.Random
    stopped_entries: set[Address] = field(default_factory=set)
    reserved: set[str] = field(default_factory=set)
    trace: list[tuple[float, str, str]] = field(default_factory=list)
    started_s: float = 0.0

    def record_fault(self, fault: str, detail: str) -> None:
        """Add a fault to the trace, with the seconds since the start."""
        at_s = asyncio.get_running_loop().time() - self.started_s
        self.trace.append((round(at_s, 2), fault, detail))

    def reserve(self, names: list[str]) -> str | None:
        """Reserve a random one of the names; None if none is free."""
        free = [name for name in names if name not in self.reserved]
        if not free:
            return None
        name = self.rng.choice(sorted(free))
        self.reserved.add(name)
        return name


SoakFault = Callable[[SoakContext], Awaitable[None]]
SOAK_FAULTS: Final[dict[str, SoakFault]] = {}


def _register(name: str) -> Callable[[SoakFault], SoakFault]:
    def add(function: SoakFault) -> SoakFault:
        SOAK_FAULTS[name] = function
        return function

    return add


@_register("entry-crash")
async def _entry_crash(context: SoakContext) -> None:
    """Kill an entry VM and restart it."""
    name = context.reserve(list(context.fleet.entries))
    if name is None:
        return
    context.record_fault("entry-crash", name)
    await context.fleet.crash_entry(name)
    await asyncio.sleep(CRASH_DURATION_S)
    await context.fleet.start_entry(name)
    context.reserved.discard(name)


@_register("entry-stop")
async def _entry_stop(context: SoakContext) -> None:
    """Shut an entry VM down gracefully and restart it."""
    name = context.reserve(list(context.fleet.entries))
    if name is None:
        return
    context.record_fault("entry-stop", name)
    context.stopped_entries.add(context.fleet.entries[name].address)
    await context.fleet.stop_entry(name, DRAIN_LINGER_S)
    await context.fleet.start_entry(name)
    context.reserved.discard(name)


@_register("control-crash")
async def _control_crash(context: SoakContext) -> None:
    """Kill a control replica, unless another one is down."""
    if any(name.startswith("control") for name in context.reserved):
        return
    name = context.reserve(list(context.fleet.controls))
    if name is None:
        return
    context.record_fault("control-crash", name)
    await context.fleet.crash_control(name)
    await asyncio.sleep(CRASH_DURATION_S)
    await context.fleet.start_control(name)
    context.reserved.discard(name)


@_register("target-crash")
async def _target_crash(context: SoakContext) -> None:
    """Kill a target while it serves requests, and restart it."""
    index = context.rng.randrange(len(context.fleet.targets))
    target = context.fleet.targets[index]
    if context.reserve([f"target-{index}"]) is None:
        return
    context.record_fault("target-crash", target.group.service)
    await target.crash()
    await asyncio.sleep(CRASH_DURATION_S)
    await target.start()
    context.reserved.discard(f"target-{index}")


@_register("silence")
async def _silence(context: SoakContext) -> None:
    """Drop all further data on the open connections of some targets."""
    silenced = context.rng.sample(context.fleet.targets, 5)
    context.record_fault("silence", f"{len(silenced)} targets")
    for target in silenced:
        assert target.link is not None, "targets are behind links"
        target.link.blackhole_open_connections()


@_register("slow-target")
async def _slow_target(context: SoakContext) -> None:
    """Slow a target down while it reports that it is idle."""
    target = context.rng.choice(context.fleet.targets)
    context.record_fault("slow-target", target.group.service)
    target.behavior.reports_idle = True
    target.behavior.extra_latency_s = target.group.latency_s * (
        SLOW_FACTOR - 1
    )
    await asyncio.sleep(SLOW_DURATION_S)
    target.behavior.reports_idle = False
    target.behavior.extra_latency_s = 0.0


@_register("operator-race")
async def _operator_race(context: SoakContext) -> None:
    """Race changes of one share at the same version; send each twice."""
    client = context.fleet.operator_client()
    shares = context.fleet.deployment.objects.shares
    share = context.rng.choice(sorted(shares.values(), key=lambda s: s.name))
    context.record_fault("operator-race", share.name)
    try:
        current = await client.objects("shares", share.name)
        edits = [
            Edit(
                "shares",
                share.name,
                current[0].version,
                {
                    **msgspec.to_builtins(share),
                    "part": share.cap * context.rng.random(),
                },
            )
            for _ in range(CONCURRENT_OPERATORS)
        ]
        await asyncio.gather(
            *(_change_twice(client, edit) for edit in edits),
            return_exceptions=True,
        )
    except WigeonfordError:
        return


async def _change_twice(client: OperatorClient, edit: Edit) -> None:
    change_id = uuid.uuid4().hex
    for _ in range(2):
        await client.change(change_id, (edit,))
