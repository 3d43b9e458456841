"""A fleet in virtual time, some of whose VMs lose their links to targets.

Control, callers and the other entry VMs still reach such a VM.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
import contextlib
from dataclasses import dataclass, field
import random
from typing import Any, Final
import weakref

from msgspec.structs import replace

from tests.crash_fleet import CrashCase, CrashFleet
from tests.limited_fleet import StandInVm, virtual_clock
from tests.test_deployment import make_route
from tests.virtual_time import run_virtual
from wigeonford.deployment import Route, RouteKind
from wigeonford.events import EventLog
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ConnectionPool,
    HttpServer,
)
from wigeonford.messages.steering import Reach
from wigeonford.metrics import Metrics
from wigeonford.platform._front import PlatformTargetWire
from wigeonford.settings import Address, CallerLimits
from wigeonford.steer import (
    ReachMonitor,
    ReachProber,
    ReachReporter,
    RelayReceiver,
    RelaySender,
    TargetConnections,
)

SECRET: Final = "peers"
RATE_PER_S: Final = 60.0
UNSAFE_FRACTION: Final = 0.3
POPULAR_PATHS: Final = 40
SETTLE_S: Final = 3.0
CUT_S: Final = 13.0
CONTACT_WINDOW_S: Final = 4.0
"""Time after the beginning of a cut from which its callers are counted."""
UNACKED_TIMEOUT_S: Final = 1.5
KEEPALIVE_TIMEOUT_S: Final = 2.5
"""When the kernel ends a silent connection on which nothing was sent."""


@dataclass(frozen=True)
class CutCase:
    """Say how which VMs are cut from all targets.

    With "hang" nothing passes in either direction. With "reset" connections
    are reset and new ones refused. With "half-open" connections live on while
    new ones are refused. A cut that flaps ends after each `flap_s`, and begins
    again after as long. `target_share` is the part of the targets that is cut.
    """

    how: str = "hang"
    cut: tuple[int, ...] = (0,)
    vm_count: int = 12
    target_count: int = 12
    cut_s: float = CUT_S
    rate_per_s: float = RATE_PER_S
    path_count: int = POPULAR_PATHS
    flap_s: float | None = None
    target_share: float = 1.0


class CutLinks(ConnectionPool):
    """A VM's connections to targets, which can be cut."""

    def __init__(self) -> None:
        super().__init__(UNACKED_TIMEOUT_S)
        self._how: str | None = None
        self._cut_addresses: frozenset[str] | None = None
        self._cut_count = 0
        self._opened: weakref.WeakSet[ClientConnection] = weakref.WeakSet()
        self._held: list[tuple[ClientConnection, Callable[..., Any]]] = []
        self._unsent: list[tuple[Callable[..., Any], bytes]] = []

    async def acquire(
        self, address: Address, **options: Any
    ) -> tuple[ClientConnection, bool]:
        """Return a connection, a known one during a cut."""
        self.close_idle()
        idle = self._idle.get(address)
        has_idle = idle and any(conn.is_reusable for conn in idle)
        if self._is_cut(address) and (
            options.get("new_connection") or not has_idle
        ):
            if self._how == "hang":
                await asyncio.sleep(options["connect_timeout_s"])
                raise ConnectFailed(f"{address}: TimeoutError()")
            raise ConnectFailed(f"{address}: ConnectionRefusedError()")
        conn, reused = await super().acquire(address, **options)
        self._opened.add(conn)
        return conn, reused

    def _is_cut(self, address: Address) -> bool:
        return self._how is not None and (
            self._cut_addresses is None or str(address) in self._cut_addresses
        )

    def cut(self, how: str, addresses: frozenset[str] | None = None) -> None:
        """Cut the connections to some addresses, None for all."""
        self._how = how
        self._cut_addresses = addresses
        self._cut_count += 1
        for conn in list(self._opened):
            if not self._is_cut(conn.address):
                continue
            if how == "hang":
                self._hold(conn)
            elif how == "reset":
                conn._reader.set_exception(ConnectionResetError())
                conn._writer.transport.abort()

    def _hold(self, conn: ClientConnection) -> None:
        """Let nothing pass; end the connection as the kernel would."""
        transport: Any = conn._writer.transport
        if transport.is_closing():
            return
        with contextlib.suppress(RuntimeError):
            transport.pause_reading()
        write = conn._writer.write
        self._held.append((conn, write))
        loop = asyncio.get_running_loop()
        cut_count = self._cut_count

        def end() -> None:
            is_same_cut = self._how and self._cut_count == cut_count
            if is_same_cut and not transport.is_closing():
                conn._break_off()

        def hold_back(data: bytes) -> None:
            self._unsent.append((write, data))
            loop.call_later(UNACKED_TIMEOUT_S, end)

        conn._writer.write = hold_back  # type: ignore
        loop.call_later(KEEPALIVE_TIMEOUT_S, end)

    def heal(self) -> None:
        """End the cut; what was held back arrives."""
        self._how = None
        for conn, write in self._held:
            conn._writer.write = write  # type: ignore
            if not conn._writer.is_closing():
                transport: Any = conn._writer.transport
                with contextlib.suppress(RuntimeError):
                    transport.resume_reading()
        for write, data in self._unsent:
            write(data)
        self._held.clear()
        self._unsent.clear()


@dataclass
class CutReport:
    """Hold the outcomes of callers' first tries, by time and VM.

    Times count from the beginning of the cut. `unsafe_repeats` counts the
    requests that arrived twice though they must not run twice.
    """

    case: CutCase
    tries: list[tuple[float, int, str]] = field(default_factory=list)
    unsafe_repeats: int = 0
    quarantined: int = 0

    def served_share(
        self, vms: Iterable[int], from_s: float, until_s: float
    ) -> float:
        """Return which share of tries sent in a period was served."""
        chosen = set(vms)
        outcomes = collections.Counter(
            outcome
            for at_s, vm, outcome in self.tries
            if vm in chosen and from_s <= at_s < until_s
        )
        return outcomes["served"] / max(1, outcomes.total())

    @property
    def sound(self) -> list[int]:
        """Return the numbers of the VMs that aren't cut."""
        return sorted(set(range(self.case.vm_count)) - set(self.case.cut))


class CutFleet(CrashFleet):
    """Run a fleet with real connections, and cut some of its VMs."""

    def __init__(self, case: CutCase, seed: int) -> None:
        self.cut_case = case
        self.links: dict[str, CutLinks] = {}
        self._reaches: dict[str, ReachMonitor] = {}
        self._probers: dict[str, ReachProber] = {}
        self._reporters: list[ReachReporter] = []
        self._relay_servers: list[HttpServer] = []
        super().__init__(
            CrashCase(vm_count=case.vm_count, target_count=case.target_count),
            seed,
        )
        self.cut_report = CutReport(case)
        self._unsafe_arrivals: collections.Counter[bytes] = (
            collections.Counter()
        )
        self._tries: set[asyncio.Task[None]] = set()

    def make_routes(self) -> tuple[Route, ...]:
        """Return a route of each kind."""
        return (
            make_route("r", "/a/"),
            make_route("u", "/u/", kind=RouteKind.UNSAFE),
        )

    def make_connections(self, vm: StandInVm) -> TargetConnections:
        """Return real connections that can be cut."""
        reach = ReachMonitor(
            vm.records,
            Metrics(),
            EventLog(),
            asyncio.get_running_loop().time,
        )
        vm.follower.add_view_listener(
            lambda view: reach.set_target_count(view.targets)
        )
        connections = TargetConnections(
            PlatformTargetWire(), reach.record_contact, reach.record_failure
        )
        connections._pool = self.links[vm.name] = CutLinks()
        self._connections.append(connections)

        def describe() -> None:
            vm.status = replace(vm.status, reach=reach.state)

        def repeat_unanswered() -> None:
            if reach.state is Reach.LOST:
                vm.forwarder.repeat_unanswered()

        reach.add_listener(describe)
        reach.add_listener(repeat_unanswered)
        self._reporters.append(
            ReachReporter(reach, vm.follower.report_status, EventLog())
        )
        self._reaches[vm.name] = reach
        self._probers[vm.name] = ReachProber(
            reach, vm.records, connections, EventLog(), random.Random(vm.name)
        )
        return connections

    def make_relay(self, vm: StandInVm) -> RelaySender:
        """Return a VM's way to targets over other VMs."""
        relay = RelaySender(
            lambda: vm.status,
            vm.follower.running_entries,
            PlatformTargetWire(),
            SECRET,
            self._reaches[vm.name],
            self._probers[vm.name],
            random.Random(vm.name),
            asyncio.get_running_loop().time,
        )
        self._connections.append(relay.connections)
        return relay

    async def start(self) -> None:
        """Start what relays requests, then everything else."""
        for vm in self.vms:
            receiver = RelayReceiver(
                vm.forwarder.forward_relayed,
                self._probers[vm.name].reaches,
                PlatformTargetWire(),
                SECRET,
                EventLog(),
            )
            server = HttpServer(receiver.handle, CallerLimits(), EventLog())
            address = await server.start(Address("127.0.0.1", 0))
            vm.status = replace(vm.status, relay_address=str(address))
            self._relay_servers.append(server)
            await self._probers[vm.name].start()
        for reporter in self._reporters:
            await reporter.start()
        await super().start()

    async def stop(self) -> None:
        """Stop everything."""
        for reporter in self._reporters:
            await reporter.stop()
        for prober in self._probers.values():
            await prober.stop()
        for server in self._relay_servers:
            await server.abort()
        await super().stop()

    def count_arrival(
        self, path: bytes, request_id: bytes, *, is_down: bool
    ) -> None:
        """Count a request that a target got."""
        if path.startswith(b"/u/"):
            self._unsafe_arrivals[request_id] += 1

    async def play_cut(self) -> CutReport:
        """Play the case; return what callers and targets saw."""
        case = self.cut_case
        loop = asyncio.get_running_loop()
        callers = asyncio.create_task(self._send_requests())
        await asyncio.sleep(SETTLE_S)
        began_s = loop.time()
        addresses = None
        if case.target_share < 1.0:
            servers = self._servers[
                : int(case.target_count * case.target_share)
            ]
            addresses = frozenset(
                server.announced.address for server in servers
            )
        cut_links = [self.links[self.vms[number].name] for number in case.cut]
        while (left_s := began_s + case.cut_s - loop.time()) > 0:
            for links in cut_links:
                links.cut(case.how, addresses)
            await asyncio.sleep(min(left_s, case.flap_s or left_s))
            for links in cut_links:
                links.heal()
            if case.flap_s:
                await asyncio.sleep(case.flap_s)
        await asyncio.sleep(3 * SETTLE_S)
        callers.cancel()
        await asyncio.gather(*self._tries)
        report = self.cut_report
        report.tries = [
            (at_s - began_s, vm, outcome) for at_s, vm, outcome in report.tries
        ]
        report.quarantined = len(self.report.suspected_s)
        report.unsafe_repeats = sum(
            count > 1 for count in self._unsafe_arrivals.values()
        )
        return report

    async def _send_requests(self) -> None:
        rate_per_s = self.cut_case.rate_per_s
        while True:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            task = asyncio.create_task(self._try_once())
            self._tries.add(task)
            task.add_done_callback(self._tries.discard)

    async def _try_once(self) -> None:
        number = self._rng.randrange(len(self.vms))
        kind = "u" if self._rng.random() < UNSAFE_FRACTION else "a"
        name = f"x{self._rng.randrange(self.cut_case.path_count)}"
        at_s = asyncio.get_running_loop().time()
        outcome = await self.exchange(
            self.vms[number], f"/{kind}/{name}", name
        )
        self.cut_report.tries.append((at_s, number, outcome))


def play_cut(case: CutCase, seed: int = 1) -> CutReport:
    """Play a case in virtual time; return what was seen."""

    async def run() -> CutReport:
        with virtual_clock():
            fleet = CutFleet(case, seed)
            await fleet.start()
            try:
                return await fleet.play_cut()
            finally:
                await fleet.stop()

    return run_virtual(run())
