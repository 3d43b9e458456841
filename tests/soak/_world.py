"""One soak: programs, stand-ins, faults, and what the ledger says."""

import asyncio
from collections.abc import Awaitable, Callable
import json
from pathlib import Path
import random
import signal
import time
from typing import Final

from tests.soak._ledger import Ledger, Stop
from tests.soak._plan import draw_faults, Fault, TARGETS
from tests.soak._processes import (
    API_PORT,
    FRONT_PORT,
    make_programs,
    Program,
    READY_PORT,
)
from tests.soak._stand_ins import (
    Caller,
    ControlCalls,
    HOST,
    Operator,
    Proxied,
    send,
    Target,
)
from wigeonford.events import EventLog
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    fetch,
)
from wigeonford.settings import Address

CALLERS: Final = 8
CALLER_PAUSE_S: Final = 0.1
FLOODERS: Final = 2
FLOOD_PAUSE_S: Final = 0.04
CHANGE_PAUSE_S: Final = 0.8
RECOVERY_S: Final = 15.0
"""Bound of the users' rules."""
REVOKE_S: Final = 5.0
START_S: Final = 30.0
RESOLVE_S: Final = 0.4
TORN_BYTES: Final = 40
AFTERMATH_S: Final = 1.0
"""How long a fault may still be felt on connections once it is over."""

Play = Callable[["World", Fault], Awaitable[None]]
_PLAYS: Final[dict[str, Play]] = {}


def _plays(kind: str) -> Callable[[Play], Play]:
    def add(function: Play) -> Play:
        _PLAYS[kind] = function
        return function

    return add


class World:
    """Hold everything that runs."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(f"stand-ins {seed}")
        self.ledger = Ledger()
        net = f"127.{20 + seed % 200}"
        self.controls, self.entries = make_programs(net, folder)
        self.apis = [
            Proxied(Address(program.host, API_PORT))
            for program in self.controls
        ]
        self.fronts = [
            Proxied(Address(program.host, FRONT_PORT))
            for program in self.entries
        ]
        calls = ControlCalls(self.apis, self.rng)
        self.operator = Operator(calls, self.ledger, self.rng)
        log = EventLog()
        self.targets = [
            Target(number, calls, self.ledger, self.rng, log)
            for number in range(TARGETS)
        ]
        self.listed: list[int] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        """Run something beside the rest."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        return task

    async def play(self, seed: int, faults_s: float) -> list[str]:
        """Return what contradicted the promises."""
        try:
            await self._start()
            faults = [
                self.spawn(self._bring_about(fault))
                for fault in draw_faults(seed, faults_s)
            ]
            await asyncio.gather(*faults)
            await self._recover()
        except Exception as exc:
            self.ledger.findings.append(f"soak: {exc!r}")
        finally:
            for task in self._tasks:
                if task.done() and not task.cancelled() and task.exception():
                    self.ledger.findings.append(f"soak: {task.exception()!r}")
            await self._end()
        return self.ledger.check()

    async def _start(self) -> None:
        for proxy in (*self.apis, *self.fronts):
            await proxy.start()
        await asyncio.gather(
            *(program.start(founds=True) for program in self.controls),
            *(program.start() for program in self.entries),
            *(target.start() for target in self.targets),
        )
        async with asyncio.timeout(START_S):
            await self.operator.publish()
            while not await self._all_serve():
                await asyncio.sleep(0.1)
        self.spawn(self._keep_resolving())
        self.spawn(self._keep_changing())
        self.spawn(self._keep_reading())
        for key, count, pause_s in (
            ("stable", CALLERS, CALLER_PAUSE_S),
            ("few", FLOODERS, FLOOD_PAUSE_S),
        ):
            for _ in range(count):
                caller = Caller(
                    self.fronts, lambda: self.listed, self.ledger, self.rng
                )
                self.spawn(caller.run(key, pause_s))

    async def _bring_about(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        began_s = time.monotonic()
        await _PLAYS[fault.kind](self, fault)
        part = fault.kind.split("-")[0]
        if part == "target" or fault.kind == "entry-reload":
            return
        if fault.kind != "entry-stop":
            # Control is behind all of them; -1 stands for every VM.
            on = -1 if part == "control" else fault.on
            ended_s = time.monotonic() + AFTERMATH_S
            self.ledger.disturbed.append((on, began_s, ended_s))

    async def _keep_resolving(self) -> None:
        while True:
            self.listed = await self._resolve()
            await asyncio.sleep(RESOLVE_S)

    async def _resolve(self) -> list[int]:
        """Return the VMs that the first look-up answered names."""
        fronts = {
            f"{program.host}:{FRONT_PORT}": number
            for number, program in enumerate(self.entries)
        }
        order = list(self.entries)
        self.rng.shuffle(order)
        for program in order:
            ready = Address(program.host, READY_PORT)
            path = f"/resolve?name={HOST}&region=region-zone-a&zone=zone-a"
            try:
                async with asyncio.timeout(1.0):
                    answer = await fetch(ready, "GET", path)
            except (ConnectFailed, ExchangeFailed, TimeoutError, OSError):
                continue
            if answer.status == 200 and isinstance(answer.body, bytes):
                names = json.loads(answer.body)["addresses"]
                return [fronts[name] for name in names if name in fronts]
        return self.listed

    async def _keep_changing(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / CHANGE_PAUSE_S))
            await self.operator.change()

    async def _keep_reading(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            await self.operator.read()

    async def _status(self, entry: int, key: str) -> int:
        """Return the status of a request to an entry VM, 0 if none came."""
        try:
            async with asyncio.timeout(2.0):
                conn = await ClientConnection.open(
                    Address(self.entries[entry].host, FRONT_PORT), 1.0
                )
                try:
                    attempt = f"probe-{self.rng.getrandbits(64):x}"
                    answer = await send(conn, attempt, key, safe=True)
                finally:
                    conn.close()
        except (ConnectFailed, ExchangeFailed, TimeoutError, OSError):
            return 0
        return answer.status

    async def _all_serve(self) -> bool:
        """Tell whether every VM serves and every read is answered."""
        statuses = [
            await self._status(entry, "stable")
            for entry in range(len(self.entries))
        ]
        version = await self.operator.read()
        return set(statuses) == {200} and version is not None

    async def _recover(self) -> None:
        """Wait for calm; what does not come back by then is a finding."""
        try:
            async with asyncio.timeout(RECOVERY_S):
                while not await self._all_serve():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.ledger.findings.append("not all served in time afterwards")
        await asyncio.sleep(REVOKE_S)
        for entry in range(len(self.entries)):
            status = await self._status(entry, self.operator.withdrawn)
            if status != 401:
                self.ledger.findings.append(
                    f"a withdrawn key got {status} at entry {entry}"
                )

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for target in self.targets:
            if not target.away:
                await target.crash()
        for program in (*self.entries, *self.controls):
            program.send(signal.SIGCONT)
        await asyncio.gather(
            *(program.kill() for program in (*self.entries, *self.controls))
        )
        for proxy in (*self.apis, *self.fronts):
            await proxy.link.stop()


@_plays("entry-stop")
async def _stop_entry(world: World, fault: Fault) -> None:
    began_s = time.monotonic()
    code = await world.entries[fault.on].stop()
    stop = Stop(fault.on, began_s, time.monotonic(), code)
    world.ledger.stops.append(stop)
    await asyncio.sleep(fault.for_s)
    await world.entries[fault.on].start()


@_plays("entry-kill")
async def _kill_entry(world: World, fault: Fault) -> None:
    await _kill(world.entries[fault.on], fault.for_s)


@_plays("control-kill")
async def _kill_control(world: World, fault: Fault) -> None:
    await _kill(world.controls[fault.on], fault.for_s)


async def _kill(
    program: Program, for_s: float, damage: Callable[[], None] | None = None
) -> None:
    """Kill a program; start it again once its disk has been damaged."""
    await program.kill()
    if damage is not None:
        damage()
    await asyncio.sleep(for_s)
    await program.start()


@_plays("entry-pause")
async def _pause_entry(world: World, fault: Fault) -> None:
    await _pause(world.entries[fault.on], fault.for_s)


@_plays("control-pause")
async def _pause_control(world: World, fault: Fault) -> None:
    await _pause(world.controls[fault.on], fault.for_s)


async def _pause(program: Program, for_s: float) -> None:
    program.send(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    program.send(signal.SIGCONT)


@_plays("entry-reload")
async def _reload(world: World, fault: Fault) -> None:
    world.entries[fault.on].send(signal.SIGHUP)


@_plays("control-stop")
async def _stop_control(world: World, fault: Fault) -> None:
    await world.controls[fault.on].stop()
    await asyncio.sleep(fault.for_s)
    await world.controls[fault.on].start()


@_plays("control-torn-tail")
async def _tear_tail(world: World, fault: Fault) -> None:
    program = world.controls[fault.on]
    garbage = world.rng.randbytes(TORN_BYTES)
    await _kill(program, fault.for_s, lambda: program.tear_tail(garbage))


@_plays("control-lost-disk")
async def _lose_disk(world: World, fault: Fault) -> None:
    program = world.controls[fault.on]
    await _kill(program, fault.for_s, program.lose_disk)


@_plays("control-power")
async def _cut_power(world: World, fault: Fault) -> None:
    await asyncio.gather(*(program.kill() for program in world.controls))
    await asyncio.sleep(fault.for_s)
    await asyncio.gather(*(program.start() for program in world.controls))


def _disturbs(prefix: str, of: Callable[[World, int], Proxied]) -> None:
    for how in ("delay", "reset", "one-way", "silence"):

        @_plays(f"{prefix}-{how}")
        async def _disturb(world: World, fault: Fault, how: str = how) -> None:
            await of(world, fault.on).disturb(how, fault.for_s)


_disturbs("callers", lambda world, on: world.fronts[on])
_disturbs("control-api", lambda world, on: world.apis[on])
_disturbs("target", lambda world, on: world.targets[on].proxy)


@_plays("target-drain")
async def _drain(world: World, fault: Fault) -> None:
    target = world.targets[fault.on]
    if not target.away:
        await target.drain()
        await asyncio.sleep(fault.for_s)
        await target.start()


@_plays("target-crash")
async def _crash(world: World, fault: Fault) -> None:
    target = world.targets[fault.on]
    if not target.away:
        await target.crash()
        await asyncio.sleep(fault.for_s)
        await target.start()
