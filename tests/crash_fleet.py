"""A fleet in virtual time whose targets crash under one caller's requests.

Targets are servers on loopback sockets, so that connections are kept, reset
and refused as in a deployment.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass, field
import itertools
import random
from typing import Final

from msgspec.structs import replace

from tests.limited_fleet import LimitedFleet, StandInVm, virtual_clock, ZONES
from tests.test_deployment import make_announcement
from tests.virtual_time import run_virtual
from wigeonford.control._steering_commands import (
    AnnounceTargets,
    RemoveTargets,
)
from wigeonford.deployment import Announcement
from wigeonford.errors import Code, RequestRejected
from wigeonford.platform._front import PlatformTargetWire
from wigeonford.steer import SteerRequest, TargetConnections

SLOTS: Final = 4
WORK_S: Final = 0.2
INNOCENT_RATE_PER_S: Final = 50.0
CRASH_DELAY_S: Final = 0.05
"""Time from the beginning of the work until the target crashes."""
LEAVE_DELAY_S: Final = 0.04
"""Time after which a caller leaves; the target has begun by then."""
DOWN_S: Final = 2.0
"""Time until a crashed target is back."""
SILENT_S: Final = 3.0
"""Time after which control removes a target that announces nothing."""
CONTACT_WINDOW_S: Final = 4.0
"""Time after the third crash from which arrivals count as late."""
SETTLE_S: Final = 3.0
UPLOAD_BYTES: Final = 3 << 20
"""More than an entry VM buffers."""


@dataclass(frozen=True)
class CrashCase:
    """Say how targets crash, and how callers send the request.

    The request comes `count` times, each `gap_s`. `crash` is how the target
    ends: "close" resets all connections, "body" does so amid a response,
    "silent" leaves them open without another byte. With `returns_as_before`
    it is back under its id and address. `path_count` is how many paths the
    other requests have, None for one each; they take `work_s`. Targets crash
    `crash_delay_s` after the request's work began.
    """

    gap_s: float = 0.35
    count: int = 43
    crash: str = "close"
    keeps_connections: bool = True
    returns_as_before: bool = False
    is_upload: bool = False
    caller_leaves: bool = False
    path_count: int | None = None
    work_s: float = WORK_S
    crash_delay_s: float = CRASH_DELAY_S
    vm_count: int = 6
    target_count: int = 12


@dataclass
class CrashReport:
    """Hold what targets and callers saw.

    `arrivals` are the times at which a target got the request that crashes
    it. `suspected_s` holds, for each other request that was rejected as a
    suspect, how long its caller would have had to wait.
    """

    arrivals: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    innocents: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    suspected_s: list[float] = field(default_factory=list)
    repeats: int = 0

    @property
    def late_arrivals(self) -> int:
        """Return how many arrivals came too late after the third crash."""
        if len(self.crashes) < 3:
            return 0
        limit_s = self.crashes[2] + CONTACT_WINDOW_S
        return sum(at_s > limit_s for at_s in self.arrivals)

    @property
    def served_share(self) -> float:
        """Return which share of the other requests were served."""
        return self.innocents["served"] / max(1, self.innocents.total())


class CrashingTarget:
    """Serve requests on loopback; crash under those for `/a/crash`."""

    def __init__(
        self, fleet: "CrashFleet", announced: Announcement, port: int = 0
    ) -> None:
        self.announced = announced
        self._fleet = fleet
        self._port = port
        self._slots = asyncio.Semaphore(SLOTS)
        self._writers: set[asyncio.StreamWriter] = set()
        self._handlers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.is_down = False

    async def start(self) -> None:
        """Listen, and set the address of the announcement."""
        self._server = await asyncio.start_server(
            self._handle, "127.0.0.1", self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.announced = replace(
            self.announced, address=f"127.0.0.1:{self._port}"
        )

    def stop(self) -> None:
        """Close the server and all connections."""
        assert self._server is not None, "the target was started"
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._handlers:
            task.cancel()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None, "a connection has a task"
        self._handlers.add(task)
        task.add_done_callback(self._handlers.discard)
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                continue
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve a request; return whether to read another one."""
        lines = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
        path = lines[0].split(b" ")[1]
        fields = dict(line.lower().split(b": ", 1) for line in lines[1:-2])
        await reader.readexactly(int(fields.get(b"content-length", b"0")))
        self._fleet.count_arrival(
            path, fields[b"x-attempt-id"], is_down=self.is_down
        )
        await self._hang_if_down()
        async with self._slots:
            if reader.at_eof() or self.is_down:
                return False
            if path == b"/a/crash":
                await self._crash_amid(fields, writer)
                return False
            await asyncio.sleep(self._fleet.case.work_s)
        await self._hang_if_down()
        writer.write(self._head(fields, 2) + b"ok")
        return self._fleet.case.keeps_connections

    def _head(self, fields: dict[bytes, bytes], length: int) -> bytes:
        keeps = self._fleet.case.keeps_connections
        closing = b"" if keeps else b"Connection: close\r\n"
        return (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s"
            b"X-Response-Signature: s\r\nContent-Length: %d\r\n\r\n"
            % (fields[b"x-attempt-id"], closing, length)
        )

    async def _hang_if_down(self) -> None:
        if self.is_down:
            await asyncio.Event().wait()

    async def _crash_amid(
        self, fields: dict[bytes, bytes], writer: asyncio.StreamWriter
    ) -> None:
        if self._fleet.case.crash == "body":
            writer.write(self._head(fields, 1000) + b"part")
        await asyncio.sleep(self._fleet.case.crash_delay_s)
        if self.is_down:
            return
        self.is_down = True
        self._fleet.restart(self)
        if self._fleet.case.crash == "silent":
            await asyncio.Event().wait()
        asyncio.get_running_loop().call_soon(self.stop)


class CrashFleet(LimitedFleet):
    """Run a fleet, its callers, and one whose request crashes targets."""

    def __init__(self, case: CrashCase, seed: int) -> None:
        self.case = case
        self._connections: list[TargetConnections] = []
        super().__init__(
            case.vm_count, case.target_count, INNOCENT_RATE_PER_S, seed
        )
        self.report = CrashReport()
        self._crash_rng = random.Random(seed)
        self._servers: list[CrashingTarget] = []
        self._restarts: set[asyncio.Task[None]] = set()
        self._births = itertools.count(2000)
        self._seen_ids: set[bytes] = set()

    def make_connections(self, _vm: StandInVm) -> TargetConnections:
        """Return real connections; the targets are real servers."""
        connections = TargetConnections(PlatformTargetWire())
        self._connections.append(connections)
        return connections

    async def start(self) -> None:
        """Start the targets, then everything else."""
        for number, target in enumerate(self.targets.values()):
            server = CrashingTarget(
                self,
                make_announcement(
                    target_id=target.announcement.target_id,
                    availability_zone=ZONES[number % len(ZONES)],
                    slots=SLOTS,
                ),
            )
            await server.start()
            self._servers.append(server)
            target.announcement = server.announced
        await super().start()

    async def stop(self) -> None:
        """Stop everything."""
        for task in self._restarts:
            task.cancel()
        await super().stop()
        for connections in self._connections:
            connections.close()
        for server in self._servers:
            server.stop()
        await asyncio.sleep(0.1)

    def count_arrival(
        self, path: bytes, request_id: bytes, *, is_down: bool
    ) -> None:
        """Count a request that a target got."""
        if path == b"/a/crash" and not is_down:
            self.report.arrivals.append(asyncio.get_running_loop().time())
        self.report.repeats += request_id in self._seen_ids
        self._seen_ids.add(request_id)

    def restart(self, target: CrashingTarget) -> None:
        """Count a crash, and bring the target back after a while."""
        self.report.crashes.append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._restart(target))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, target: CrashingTarget) -> None:
        await asyncio.sleep(DOWN_S)
        born_ms = next(self._births)
        port = 0
        announced = replace(target.announced, born_ms=born_ms)
        if self.case.returns_as_before:
            port = int(announced.address.rpartition(":")[2])
        else:
            announced = replace(announced, target_id=f"t-{born_ms}")
        started = CrashingTarget(self, announced, port)
        await started.start()
        self._servers.append(started)
        self._apply(AnnounceTargets((started.announced,)))
        if not self.case.returns_as_before:
            await asyncio.sleep(SILENT_S - DOWN_S)
            old = target.announced
            self._apply(RemoveTargets(((old.target_id, old.born_ms),)))

    def _apply(self, command: AnnounceTargets | RemoveTargets) -> None:
        for replica in self.replicas:
            replica.state.steering.apply(command)
            for listener in replica.listeners:
                listener()

    def _send(self, vm: StandInVm, name: str, body: bytes = b"") -> None:
        task = asyncio.create_task(self._forward(vm, name, body))
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)
        if name == "crash" and self.case.caller_leaves:
            loop = asyncio.get_running_loop()
            loop.call_later(LEAVE_DELAY_S, task.cancel)

    async def _forward(self, vm: StandInVm, name: str, body: bytes) -> None:
        outcome = await self.exchange(vm, f"/a/{name}", name, body)
        if name != "crash":
            self.report.innocents[outcome] += 1

    async def exchange(
        self, vm: StandInVm, path: str, name: str, body: bytes = b""
    ) -> str:
        """Send a request; return "served", or else "failed"."""
        request_id = f"id-{next(self._numbers)}"
        headers = [(b"x-attempt-id", request_id.encode())]
        if body:
            headers.append((b"content-length", b"%d" % len(body)))
        req = SteerRequest(
            request_id,
            "POST" if body else "GET",
            "old.example",
            path,
            path,
            ((b"host", b"old.example"), *headers),
            "key-1",
            name,
            2.5,
            _stream(body),
            bool(body),
            asyncio.get_running_loop().time(),
        )
        try:
            response = await vm.forwarder.forward(req)
        except RequestRejected as exc:
            if exc.code is Code.QUARANTINED and name != "crash":
                self.report.suspected_s.append(exc.retry_after_s or 60.0)
            return "failed"
        except ConnectionResetError:
            assert name == "crash", "a response breaks off in a crash only"
            return "failed"
        if not isinstance(response.body, bytes):
            with contextlib.suppress(Exception):
                async for _ in response.body:
                    continue
        return "served" if response.status == 200 else "failed"

    async def play(self) -> CrashReport:
        """Play the case; return what was seen."""
        innocents = asyncio.create_task(self._send_innocents())
        await asyncio.sleep(SETTLE_S)
        body = b"b" * UPLOAD_BYTES if self.case.is_upload else b""
        for _ in range(self.case.count):
            vm = self._crash_rng.choice(self.vms)
            self._send(vm, "crash", body)
            await asyncio.sleep(self.case.gap_s)
        innocents.cancel()
        await asyncio.sleep(SETTLE_S)
        return self.report

    async def _send_innocents(self) -> None:
        for number in itertools.count():
            gap_s = self._rng.expovariate(self._rate_per_s)
            await asyncio.sleep(gap_s)
            path = number % (self.case.path_count or number + 1)
            self._send(self._rng.choice(self.vms), f"x{path}")


async def _stream(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), 1 << 18):
        yield body[start : start + (1 << 18)]


def play(case: CrashCase, seed: int = 1) -> CrashReport:
    """Play a case in virtual time; return what was seen."""

    async def run() -> CrashReport:
        with virtual_clock():
            fleet = CrashFleet(case, seed)
            await fleet.start()
            try:
                return await fleet.play()
            finally:
                await fleet.stop()

    return run_virtual(run())
