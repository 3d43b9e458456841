"""Faults of the soak: each strikes a running fleet and repairs it."""

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
from wigeonford.entry import LINGER_S
from wigeonford.errors import WigeonfordError
from wigeonford.settings import Address

DOWN_S: Final = 2.0
SLOW_S: Final = 4.0
SLOW_FACTOR: Final = 10
RACERS: Final = 3


@dataclass(slots=True)
class SoakStage:
    """Hold the fleet, what is down and what struck it, by time."""

    fleet: LocalFleet
    rng: random.Random
    stopped: set[Address] = field(default_factory=set)
    busy: set[str] = field(default_factory=set)
    trace: list[tuple[float, str, str]] = field(default_factory=list)
    started_s: float = 0.0

    def note(self, fault: str, detail: str) -> None:
        """Add a line to the trace."""
        at_s = asyncio.get_running_loop().time() - self.started_s
        self.trace.append((round(at_s, 2), fault, detail))

    def claim(self, names: list[str]) -> str | None:
        """Return one of the names that no other fault works on."""
        free = [name for name in names if name not in self.busy]
        if not free:
            return None
        name = self.rng.choice(sorted(free))
        self.busy.add(name)
        return name


SoakFault = Callable[[SoakStage], Awaitable[None]]
SOAK_FAULTS: Final[dict[str, SoakFault]] = {}


def _soak_fault(name: str) -> Callable[[SoakFault], SoakFault]:
    def add(function: SoakFault) -> SoakFault:
        SOAK_FAULTS[name] = function
        return function

    return add


@_soak_fault("entry-crash")
async def _entry_crash(stage: SoakStage) -> None:
    """Kill an entry VM and start it anew."""
    name = stage.claim(list(stage.fleet.entries))
    if name is None:
        return
    stage.note("entry-crash", name)
    await stage.fleet.crash_entry(name)
    await asyncio.sleep(DOWN_S)
    await stage.fleet.start_entry(name)
    stage.busy.discard(name)


@_soak_fault("entry-stop")
async def _entry_stop(stage: SoakStage) -> None:
    """Stop an entry VM gracefully and start it anew."""
    name = stage.claim(list(stage.fleet.entries))
    if name is None:
        return
    stage.note("entry-stop", name)
    stage.stopped.add(stage.fleet.entries[name].address)
    await stage.fleet.stop_entry(name, LINGER_S)
    await stage.fleet.start_entry(name)
    stage.busy.discard(name)


@_soak_fault("control-crash")
async def _control_crash(stage: SoakStage) -> None:
    """Kill a control replica while the others are whole."""
    if any(name.startswith("control") for name in stage.busy):
        return
    name = stage.claim(list(stage.fleet.controls))
    if name is None:
        return
    stage.note("control-crash", name)
    await stage.fleet.crash_control(name)
    await asyncio.sleep(DOWN_S)
    await stage.fleet.start_control(name)
    stage.busy.discard(name)


@_soak_fault("target-crash")
async def _target_crash(stage: SoakStage) -> None:
    """Kill a target amid its work and start it anew."""
    index = stage.rng.randrange(len(stage.fleet.targets))
    target = stage.fleet.targets[index]
    if stage.claim([f"target-{index}"]) is None:
        return
    stage.note("target-crash", target.group.service)
    await target.crash()
    await asyncio.sleep(DOWN_S)
    await target.start()
    stage.busy.discard(f"target-{index}")


@_soak_fault("silence")
async def _silence(stage: SoakStage) -> None:
    """Let the open connections of some targets go silent for good."""
    struck = stage.rng.sample(stage.fleet.targets, 5)
    stage.note("silence", f"{len(struck)} targets")
    for target in struck:
        assert target.link is not None, "targets are behind links"
        target.link.silence()


@_soak_fault("slow-target")
async def _slow_target(stage: SoakStage) -> None:
    """Slow a target down while it reports no load."""
    target = stage.rng.choice(stage.fleet.targets)
    stage.note("slow-target", target.group.service)
    target.conduct.reports_idle = True
    target.conduct.extra_s = target.group.latency_s * (SLOW_FACTOR - 1)
    await asyncio.sleep(SLOW_S)
    target.conduct.reports_idle = False
    target.conduct.extra_s = 0.0


@_soak_fault("operator-race")
async def _operator_race(stage: SoakStage) -> None:
    """Let operators change one share with equal versions, and resend."""
    client = stage.fleet.operator()
    shares = stage.fleet.deployment.objects.shares
    share = stage.rng.choice(sorted(shares.values(), key=lambda s: s.name))
    stage.note("operator-race", share.name)
    try:
        held = await client.objects("shares", share.name)
        edits = [
            Edit(
                "shares",
                share.name,
                held[0].version,
                {
                    **msgspec.to_builtins(share),
                    "part": share.cap * stage.rng.random(),
                },
            )
            for _ in range(RACERS)
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
