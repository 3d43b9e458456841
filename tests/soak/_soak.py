"""One run of the soak: daemons, stand-ins, faults and final checks."""

import asyncio
from collections.abc import Awaitable, Callable
import json
from pathlib import Path
import random
import signal
import time
from typing import Final

from tests.soak._breaks import Window
from tests.soak._direct_callers import DirectCaller
from tests.soak._observations import Observations, Shutdown
from tests.soak._plan import (
    draw_faults,
    draw_limits,
    draw_overlaps,
    ENTRIES,
    Fault,
    TARGET_LIMIT,
    TARGETS,
)
from tests.soak._processes import (
    API_PORT,
    FRONT_PORT,
    make_programs,
    Program,
    READY_PORT,
)
from tests.soak._requests import HOST, LONG_PATHS, SHORT_PATHS
from tests.soak._stand_ins import (
    Caller,
    ControlClient,
    Operator,
    ProxiedServer,
    send_request,
    Target,
)
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    fetch,
)
from wigeonford.settings import Address

CALLERS: Final = 8
CALLER_PAUSE_S: Final = 0.1
OVER_RATE_CALLERS: Final = 2
OVER_RATE_PAUSE_S: Final = 0.04
CHANGE_PAUSE_S: Final = 0.8
RECOVERY_TIMEOUT_S: Final = 15.0
"""The users' limit for the time from the last fault until all VMs serve."""
LIMITS_PER_S: Final = (0.5, 1.2, 3.0)
KEY_WITHDRAWAL_S: Final = 5.0
START_TIMEOUT_S: Final = 30.0
RESOLVE_INTERVAL_S: Final = 0.4
TORN_BYTES: Final = 40
AFTEREFFECT_S: Final = 1.0
"""How long a fault may affect connections after it has ended."""
DIRECT_CALLERS: Final = 3
LONG_CALLERS: Final = 2
"""Callers of each entry VM without a proxy, by the paths they request."""
LISTEN_TIMEOUT_S: Final = 8.0
"""Time from the start of a process until it listens."""
STOP_OFFSET_RANGE_S: Final = (0.0, 0.4)
"""Time between a stop, and the change and reload beside it."""

Injector = Callable[["Soak", Fault], Awaitable[None]]
_INJECTORS: Final[dict[str, Injector]] = {}


def _injects(kind: str) -> Callable[[Injector], Injector]:
    def add(function: Injector) -> Injector:
        _INJECTORS[kind] = function
        return function

    return add


class Soak:
    """Run the daemons, the stand-ins and the faults of one seed."""

    def __init__(self, seed: int, folder: Path, scale: int = 1) -> None:
        self._scale = scale
        self.rng = random.Random(f"stand-ins {seed}")
        self.observations = Observations()
        network_prefix = f"127.{20 + seed % 200}"
        self.controls, self.entries = make_programs(network_prefix, folder)
        self.apis = [
            ProxiedServer(Address(program.host, API_PORT))
            for program in self.controls
        ]
        self.fronts = [
            ProxiedServer(Address(program.host, FRONT_PORT))
            for program in self.entries
        ]
        control = ControlClient(self.apis, self.rng)
        self.operator = Operator(control, self.observations, self.rng)
        self.targets = [
            Target(
                number,
                control,
                self.observations,
                self.rng,
                is_proxied=number < TARGETS,
            )
            for number in range(TARGETS + 1)
        ]
        self.listed_entries: list[int] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, awaitable: Awaitable[None]) -> asyncio.Task[None]:
        """Run an awaitable as a task that ends with the soak."""
        task = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        return task

    async def run(self, seed: int, faults_s: float) -> list[str]:
        """Run one seed; return its findings."""
        try:
            await self._start()
            faults = [
                self.spawn(self._inject_fault(fault))
                for fault in (
                    *draw_faults(seed, faults_s),
                    *draw_limits(seed, faults_s),
                    *draw_overlaps(seed, faults_s),
                )
            ]
            await asyncio.gather(*faults)
            await self._check_recovery()
        except Exception as exc:
            self.observations.findings.append(f"soak: {exc!r}")
        finally:
            for task in self._tasks:
                if task.done() and not task.cancelled() and task.exception():
                    self.observations.findings.append(
                        f"soak: {task.exception()!r}"
                    )
            await self._stop_all()
        return self.observations.find_violations()

    async def _start(self) -> None:
        for proxy in (*self.apis, *self.fronts):
            await proxy.start()
        await asyncio.gather(
            *(program.start(bootstrap=True) for program in self.controls),
            *(program.start() for program in self.entries),
            *(target.start() for target in self.targets),
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.operator.publish()
            while not await self._all_serve():
                await asyncio.sleep(0.1)
        self.spawn(self._resolve_periodically())
        self.spawn(self._publish_periodically())
        self.spawn(self._read_periodically())
        for key, count, pause_s in (
            ("stable", CALLERS, CALLER_PAUSE_S),
            ("few", OVER_RATE_CALLERS, OVER_RATE_PAUSE_S),
        ):
            for _ in range(count * self._scale):
                caller = Caller(
                    self.fronts,
                    lambda: self.listed_entries,
                    self.observations,
                    self.rng,
                )
                self.spawn(caller.run(key, pause_s))
        for paths, count in (
            (SHORT_PATHS, DIRECT_CALLERS),
            (LONG_PATHS, LONG_CALLERS),
        ):
            for number in range(ENTRIES * count * self._scale):
                entry = number % ENTRIES
                address = Address(self.entries[entry].host, FRONT_PORT)
                direct_caller = DirectCaller(
                    entry, address, paths, self.observations, self.rng
                )
                self.spawn(direct_caller.run())

    async def _inject_fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        began_s = time.monotonic()
        await _INJECTORS[fault.kind](self, fault)
        component = fault.kind.split("-")[0]
        ended_s = time.monotonic() + AFTEREFFECT_S
        window = Window(fault.on, began_s, ended_s)
        if component == "target":
            if fault.kind != TARGET_LIMIT:
                self.observations.target_faults.append(window)
            return
        if fault.kind == "entry-reload":
            return
        if component == "entry":
            self.observations.interruptions.append((began_s, time.monotonic()))
        if fault.kind == "entry-pause":
            self.observations.stalls.append(
                Window(fault.on, began_s, time.monotonic())
            )
        if component == "callers":
            self.observations.link_faults.append(window)
        if fault.kind not in ("entry-stop", "entry-rolling-stop"):
            # A control fault can affect requests at every entry VM: -1.
            entry = -1 if component == "control" else fault.on
            self.observations.disturbances.append((entry, began_s, ended_s))

    async def stop_entry(self, entry: int, away_s: float) -> None:
        """Stop an entry VM gracefully, and start it again."""
        program = self.entries[entry]
        began_s = time.monotonic()
        code = await program.stop()
        ended_s = time.monotonic()
        self.observations.shutdowns.append(
            Shutdown(entry, began_s, ended_s, code)
        )
        if code == -signal.SIGKILL:
            # Callers may see the end before the parent process does.
            self.observations.kills.append(
                Window(entry, program.killed_at_s, ended_s)
            )
        await asyncio.sleep(away_s)
        await program.start()
        self._record_absence(entry, began_s)

    async def kill_entry(self, entry: int, away_s: float) -> None:
        """Kill an entry VM, and start it again."""
        began_s = time.monotonic()
        await _kill(self.entries[entry], away_s)
        self.observations.kills.append(
            Window(entry, began_s, time.monotonic())
        )
        self._record_absence(entry, began_s)

    def _record_absence(self, entry: int, began_s: float) -> None:
        listens_s = time.monotonic() + LISTEN_TIMEOUT_S
        self.observations.absences.append(Window(entry, began_s, listens_s))

    async def wait_until_ready(self, entry: int) -> None:
        """Wait until an entry VM says that it is ready."""
        ready = Address(self.entries[entry].host, READY_PORT)
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while True:
                try:
                    response = await fetch(
                        ready, "GET", "/ready", timeout_s=1.0
                    )
                except (ConnectFailed, ExchangeFailed):
                    response = None
                if response is not None and response.status == 200:
                    return
                await asyncio.sleep(0.1)

    async def _resolve_periodically(self) -> None:
        while True:
            self.listed_entries = await self._resolve_entries()
            await asyncio.sleep(RESOLVE_INTERVAL_S)

    async def _resolve_entries(self) -> list[int]:
        """Return the entry VMs that the first successful look-up lists."""
        fronts = {
            f"{program.host}:{FRONT_PORT}": number
            for number, program in enumerate(self.entries)
        }
        programs = list(self.entries)
        self.rng.shuffle(programs)
        for program in programs:
            ready = Address(program.host, READY_PORT)
            path = f"/resolve?name={HOST}&region=region-zone-a&zone=zone-a"
            try:
                async with asyncio.timeout(1.0):
                    response = await fetch(ready, "GET", path)
            except (ConnectFailed, ExchangeFailed, TimeoutError, OSError):
                continue
            if response.status == 200 and isinstance(response.body, bytes):
                names = json.loads(response.body)["addresses"]
                return [fronts[name] for name in names if name in fronts]
        return self.listed_entries

    async def _publish_periodically(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / CHANGE_PAUSE_S))
            await self.operator.change()

    async def _read_periodically(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            await self.operator.read()

    async def _probe_status(self, entry: int, key: str) -> int:
        """Send a request to an entry VM; return the status, 0 on failure."""
        try:
            async with asyncio.timeout(2.0):
                conn = await ClientConnection.open(
                    Address(self.entries[entry].host, FRONT_PORT), 1.0
                )
                try:
                    attempt = f"probe-{self.rng.getrandbits(64):x}"
                    response = await send_request(
                        conn, attempt, key, SHORT_PATHS[0]
                    )
                finally:
                    conn.close()
        except (ConnectFailed, ExchangeFailed, TimeoutError, OSError):
            return 0
        return response.status

    async def _all_serve(self) -> bool:
        """Return whether every entry VM serves and control can be read."""
        statuses = [
            await self._probe_status(entry, "stable")
            for entry in range(len(self.entries))
        ]
        version = await self.operator.read()
        return set(statuses) == {200} and version is not None

    async def _check_recovery(self) -> None:
        """Check that all VMs serve in time and reject the withdrawn key."""
        try:
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                while not await self._all_serve():
                    await asyncio.sleep(0.1)
        except TimeoutError:
            self.observations.findings.append(
                "not all served in time afterwards"
            )
        await asyncio.sleep(KEY_WITHDRAWAL_S)
        for entry in range(len(self.entries)):
            status = await self._probe_status(
                entry, self.operator.withdrawn_key
            )
            if status != 401:
                self.observations.findings.append(
                    f"a withdrawn key got {status} at entry {entry}"
                )

    async def _stop_all(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for target in self.targets:
            if not target.is_unavailable:
                await target.crash()
        for program in (*self.entries, *self.controls):
            program.send_signal(signal.SIGCONT)
        await asyncio.gather(
            *(program.kill() for program in (*self.entries, *self.controls))
        )
        for proxy in (*self.apis, *self.fronts):
            await proxy.link.stop()


@_injects("entry-stop")
async def _stop_entry(soak: Soak, fault: Fault) -> None:
    await soak.stop_entry(fault.on, fault.length_s)


@_injects("entry-rolling-stop")
async def _stop_entries_in_turn(soak: Soak, fault: Fault) -> None:
    """Stop two VMs in turn, each beside a change and a reload."""
    for entry in (fault.on, (fault.on + 1) % ENTRIES):
        try:
            await soak.wait_until_ready(entry)
        except TimeoutError:
            # Another fault keeps it away.
            continue
        stop = asyncio.create_task(soak.stop_entry(entry, 0.0))
        await asyncio.sleep(soak.rng.uniform(*STOP_OFFSET_RANGE_S))
        soak.entries[entry].reload()
        await soak.operator.change()
        await stop


@_injects("entry-kill")
async def _kill_entry(soak: Soak, fault: Fault) -> None:
    await soak.kill_entry(fault.on, fault.length_s)


@_injects("control-kill")
async def _kill_control(soak: Soak, fault: Fault) -> None:
    await _kill(soak.controls[fault.on], fault.length_s)


async def _kill(
    program: Program,
    length_s: float,
    damage: Callable[[], None] | None = None,
) -> None:
    """Kill a program, damage its data if wanted, and start it again."""
    await program.kill()
    if damage is not None:
        damage()
    await asyncio.sleep(length_s)
    await program.start()


@_injects("entry-pause")
async def _pause_entry(soak: Soak, fault: Fault) -> None:
    await _pause(soak.entries[fault.on], fault.length_s)


@_injects("control-pause")
async def _pause_control(soak: Soak, fault: Fault) -> None:
    await _pause(soak.controls[fault.on], fault.length_s)


async def _pause(program: Program, length_s: float) -> None:
    program.send_signal(signal.SIGSTOP)
    await asyncio.sleep(length_s)
    program.send_signal(signal.SIGCONT)


@_injects("entry-reload")
async def _reload_entry(soak: Soak, fault: Fault) -> None:
    soak.entries[fault.on].reload()


@_injects("control-stop")
async def _stop_control(soak: Soak, fault: Fault) -> None:
    await soak.controls[fault.on].stop()
    await asyncio.sleep(fault.length_s)
    await soak.controls[fault.on].start()


@_injects("control-torn-tail")
async def _tear_control_log(soak: Soak, fault: Fault) -> None:
    program = soak.controls[fault.on]
    garbage = soak.rng.randbytes(TORN_BYTES)
    await _kill(
        program, fault.length_s, lambda: program.append_torn_record(garbage)
    )


@_injects("control-lost-disk")
async def _lose_control_disk(soak: Soak, fault: Fault) -> None:
    program = soak.controls[fault.on]
    await _kill(program, fault.length_s, program.lose_disk)


@_injects("control-power")
async def _kill_all_controls(soak: Soak, fault: Fault) -> None:
    await asyncio.gather(*(program.kill() for program in soak.controls))
    await asyncio.sleep(fault.length_s)
    await asyncio.gather(*(program.start() for program in soak.controls))


def _register_disturbances(
    prefix: str, select: Callable[[Soak, int], ProxiedServer]
) -> None:
    for disturbance in ("delay", "reset", "one-way", "silence"):

        @_injects(f"{prefix}-{disturbance}")
        async def _disturb(
            soak: Soak, fault: Fault, disturbance: str = disturbance
        ) -> None:
            await select(soak, fault.on).disturb(disturbance, fault.length_s)


_register_disturbances("callers", lambda soak, on: soak.fronts[on])
_register_disturbances("control-api", lambda soak, on: soak.apis[on])
_register_disturbances("target", lambda soak, on: soak.targets[on].proxy)


@_injects("target-drain")
async def _drain_target(soak: Soak, fault: Fault) -> None:
    target = soak.targets[fault.on]
    if not target.is_unavailable:
        await target.drain()
        await asyncio.sleep(fault.length_s)
        await target.start()


@_injects("target-crash")
async def _crash_target(soak: Soak, fault: Fault) -> None:
    target = soak.targets[fault.on]
    if not target.is_unavailable:
        await target.crash()
        await asyncio.sleep(fault.length_s)
        await target.start()


@_injects(TARGET_LIMIT)
async def _limit_target(soak: Soak, fault: Fault) -> None:
    limit_per_s = soak.rng.choice(LIMITS_PER_S)
    await soak.targets[fault.on].state_limit(limit_per_s, fault.length_s)


@_injects("target-misbehave")
async def _let_target_misbehave(soak: Soak, fault: Fault) -> None:
    target = soak.targets[fault.on]
    target.is_misbehaving = True
    await asyncio.sleep(fault.length_s)
    target.is_misbehaving = False
