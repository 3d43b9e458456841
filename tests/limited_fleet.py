"""A fleet of entry VMs in virtual time, with targets that state limits."""

import asyncio
from collections import Counter, OrderedDict
from collections.abc import AsyncIterator, Callable, Iterator
import contextlib
from dataclasses import dataclass, field
import itertools
import random
from typing import Any, cast, Final
from unittest import mock

from msgspec.structs import replace

from tests.control_links import make_follower, QuietLink
from tests.test_deployment import make_announcement, make_deployment
from tests.test_late_news import Handlers
from tests.test_view_patches import make_service, publish, StandInReplica
from wigeonford.control import LimitService, SuspectService
from wigeonford.control._steering_commands import AnnounceTargets
from wigeonford.control._view_service import ViewService
from wigeonford.deployment import Announcement, Route
from wigeonford.errors import Code, PeerError, RequestRejected
from wigeonford.events import EventLog
from wigeonford.http import Response
from wigeonford.messages.steering import EntryStatus
from wigeonford.metrics import Metrics
from wigeonford.platform._front import PlatformTargetWire
from wigeonford.settings import Address, RetryBounds
from wigeonford.steer import (
    AccountRates,
    Forwarder,
    LoanBatcher,
    RelaySender,
    SteerRequest,
    TargetConnections,
    TargetLimits,
    TargetRecords,
    TargetRunState,
    View,
)
from wigeonford.steer._attempt import Attempt, AttemptResult, Outcome
from wigeonford.steer._target_records import TargetRecord
from wigeonford.suspects import SuspectTable

REPLICA_ADDRESSES: Final = tuple(f"127.0.0.1:{port}" for port in (1, 2, 3))
LINK_DELAY_S: Final = 0.02
"""One way between an entry VM and a replica or a target."""
WARM_S: Final = 0.26
COLD_S: Final = 0.88
WARM_OBJECTS: Final = 20
SLOTS: Final = 4
QUEUE: Final = 12
OBJECTS: Final = 35
OBJECTIVE_S: Final = 0.6
"""As that of the deployment's route."""
WINDOW_S: Final = 4.0
TOLD_MARGIN_S: Final = 0.5
"""Time after the first response with a limit from which a VM's requests
count."""


class ReplicaLink(QuietLink):
    """Carry messages to a replica, each with `LINK_DELAY_S`."""

    def __init__(self, vm: "StandInVm", handlers: Handlers) -> None:
        self._vm = vm
        self._handlers = handlers

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Return the replica's reply; a cut link raises `PeerError`."""
        await self._delay(timeout_s)
        reply = await self._handlers[type(record)](record)
        await self._delay(timeout_s)
        return reply

    async def stream_replies(
        self, record: Any, timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield the replica's replies; while the link is cut, none comes."""
        await self._delay(timeout_s)
        async for reply in self._handlers[type(record)](record):
            await self._delay(timeout_s)
            yield reply

    async def _delay(self, timeout_s: float) -> None:
        if self._vm.is_cut:
            await asyncio.sleep(timeout_s)
            raise PeerError(Code.PEER_TIMEOUT, "cut off")
        await asyncio.sleep(LINK_DELAY_S)


@dataclass
class StandInTarget:
    """Serve requests with slots, a queue and a few warm objects.

    `limit` is the value of `Server-Limit` in its responses, None for none.
    `arrivals` holds the time and the entry VM of each request, `told_at_s`
    when each entry VM first got a response with a limit.
    """

    announcement: Announcement
    limit: str | None = None
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    told_at_s: dict[str, float] = field(default_factory=dict)
    running: int = 0
    waiting: int = 0
    _warm: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _slots: asyncio.Semaphore = field(
        default_factory=lambda: asyncio.Semaphore(SLOTS)
    )

    async def serve(self, object_id: str, vm_name: str) -> Response:
        """Return a response once a slot was free; 503 if the queue is full."""
        self.arrivals.append((asyncio.get_running_loop().time(), vm_name))
        if self.waiting >= QUEUE:
            return self._respond(503, (b"x-not-executed", b"1"))
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            work_s = WARM_S if object_id in self._warm else COLD_S
            self._warm[object_id] = None
            self._warm.move_to_end(object_id)
            if len(self._warm) > WARM_OBJECTS:
                self._warm.popitem(last=False)
            try:
                await asyncio.sleep(work_s)
            finally:
                self.running -= 1
        return self._respond(200, (b"x-response-signature", b"s"))

    def _respond(self, status: int, *headers: tuple[bytes, bytes]) -> Response:
        load = f"{self.running},{self.waiting},{SLOTS}".encode()
        head = [(b"x-attempt-id", b"a"), (b"x-server-load", load), *headers]
        if self.limit is not None:
            head.append((b"server-limit", self.limit.encode()))
        return Response(status, tuple(head), b"")

    def fullest_window(self, from_s: float, until_s: float) -> int:
        """Return the most arrivals in any 4 s from VMs that were told."""
        times_s = [
            at_s
            for at_s, vm_name in self.arrivals
            if from_s - WINDOW_S <= at_s <= until_s
            and at_s >= self.told_at_s.get(vm_name, at_s) + TOLD_MARGIN_S
        ]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
                for start_s in times_s
            ),
            default=0,
        )

    def count(self, from_s: float, until_s: float) -> int:
        """Return how many requests arrived in a period."""
        return sum(from_s <= at_s < until_s for at_s, _ in self.arrivals)


class SteadyConnections:
    """Stand in for connections to targets that don't crash."""

    def close_idle_to(self, _address: str) -> None:
        """Return: there is nothing to close."""

    async def accepts_connections(self, _record: TargetRecord) -> bool:
        """Return that the targets run."""
        return True

    async def wait_for_end(
        self, _record: TargetRecord, timeout_s: float
    ) -> bool:
        """Return that the targets keep connections open."""
        await asyncio.sleep(timeout_s)
        return False


class StandInConnections(SteadyConnections):
    """Pass attempts on to stand-ins for targets."""

    def __init__(self, vm: "StandInVm", fleet: "LimitedFleet") -> None:
        self._vm = vm
        self._fleet = fleet
        self._wire = PlatformTargetWire()

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt."""
        loop = asyncio.get_running_loop()
        target = self._fleet.targets[attempt.record.target_id]
        await asyncio.sleep(self._vm.connect_s)
        if attempt.is_withdrawn:
            return AttemptResult(Outcome.WITHDRAWN)
        attempt.on_send()
        await asyncio.sleep(LINK_DELAY_S)
        response = await target.serve(attempt.req.object_id, self._vm.name)
        await asyncio.sleep(LINK_DELAY_S)
        if response.header(b"server-limit") is not None:
            target.told_at_s.setdefault(self._vm.name, loop.time())
        facts = self._wire.parse_facts(response)
        if facts.run is not TargetRunState.RAN:
            return AttemptResult(Outcome.NOT_RUN, None, facts)
        return AttemptResult(Outcome.ANSWERED, response, facts)


class StandInVm:
    """Run an entry VM's steering: follower, records and forwarder.

    `connect_s` is how long its connections to targets take. While `is_cut`,
    no message between it and the replicas arrives. `rejections` holds how long
    each rejection took and the time after which its caller may return,
    `durations_s` how long the requests took that were served.
    """

    def __init__(self, name: str, zone: str, fleet: "LimitedFleet") -> None:
        self.name = name
        self.zone = zone
        self.is_cut = False
        self.connect_s = 0.002
        self.outcomes: Counter[str] = Counter()
        self.rejections: list[tuple[float, float]] = []
        self.durations_s: list[float] = []
        loop = asyncio.get_running_loop()
        log = EventLog()
        region = zone.partition("-")[0]
        self.status = EntryStatus(name, "i", f"{name}:1", zone, region, True)
        self.records = TargetRecords()
        self.suspects = SuspectTable(name)
        self.limits = TargetLimits(
            name,
            lambda: self.follower.running_entries(),
            lambda: bool(self.follower.connected_replicas),
        )
        self.follower = make_follower(
            lambda address: ReplicaLink(self, fleet.handlers_of(address)),
            status=lambda: self.status,
            seeds=REPLICA_ADDRESSES,
            suspects=self.suspects,
            limits=self.limits,
        )
        rng = random.Random(name)

        async def refuse_loans(_counts: object) -> Any:
            raise PeerError(Code.NOT_LEADER, "accounts have no rate here")

        self.forwarder = Forwarder(
            lambda: self.status,
            lambda: self.follower.view,
            self.follower.running_entries,
            self.records,
            self.limits,
            AccountRates(name),
            LoanBatcher(refuse_loans, log, loop.time),
            self.suspects,
            fleet.make_connections(self),
            RetryBounds(),
            Metrics(),
            log,
            rng,
            loop.time,
            relay=fleet.make_relay(self),
        )
        self.follower.add_view_listener(self._apply_view)
        self.follower.add_view_listener(self.forwarder.drop_removed_targets)

    def _apply_view(self, view: View) -> None:
        now_s = asyncio.get_running_loop().time()
        zones = {zone: zone.partition("-")[0] for zone in ZONES}
        self.records.apply_changes(view.changed, view.removed, zones, now_s)

    async def request(self, number: int, object_id: str) -> None:
        """Send a caller's request; count what came of it."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        req = SteerRequest(
            f"{self.name}-{number}",
            "GET",
            "old.example",
            "/a/x",
            "/a/x",
            (),
            "key-1",
            object_id,
            2.5,
            _no_body(),
            False,
            began_s,
        )
        try:
            response = await self.forwarder.forward(req)
        except RequestRejected as exc:
            self.outcomes["rejected"] += 1
            self.rejections.append(
                (loop.time() - began_s, exc.retry_after_s or 0.0)
            )
            return
        self.outcomes["served" if response.status == 200 else "failed"] += 1
        self.durations_s.append(loop.time() - began_s)


async def _no_body() -> AsyncIterator[bytes]:
    return
    yield b""


ZONES: Final = ("south-a", "south-b")


class LimitedFleet:
    """Run entry VMs, replicas, targets and callers.

    Callers are spread over the VMs at random; `rate_per_s` is that of all.
    """

    def __init__(
        self, vm_count: int, target_count: int, rate_per_s: float, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self._rate_per_s = rate_per_s
        self.replicas = [StandInReplica() for _ in REPLICA_ADDRESSES]
        self._handlers = [Handlers() for _ in self.replicas]
        self._services: list[ViewService] = []
        self._numbers = itertools.count()
        self.requests: set[asyncio.Task[None]] = set()
        self.targets = {
            f"t-{number}": StandInTarget(
                make_announcement(
                    target_id=f"t-{number}",
                    address=f"10.0.0.{number}:80",
                    availability_zone=ZONES[number % len(ZONES)],
                    slots=SLOTS,
                )
            )
            for number in range(target_count)
        }
        self.vms = [
            StandInVm(f"vm-{number}", ZONES[number % len(ZONES)], self)
            for number in range(vm_count)
        ]

    def make_connections(self, vm: StandInVm) -> TargetConnections:
        """Return the connections of an entry VM to the targets."""
        return cast(TargetConnections, StandInConnections(vm, self))

    def make_relay(self, _vm: StandInVm) -> RelaySender | None:
        """Return a VM's way to targets over other VMs, None for none."""
        return None

    def make_routes(self) -> tuple[Route, ...]:
        """Return the routes of the deployment, none for the usual one."""
        return ()

    def handlers_of(self, address: Address) -> Handlers:
        """Return the message handlers of the replica at an address."""
        return self._handlers[REPLICA_ADDRESSES.index(str(address))]

    async def start(self) -> None:
        """Start everything; return once each VM knows the deployment."""
        loop = asyncio.get_running_loop()
        deployment = make_deployment(*self.make_routes())
        accounts = (replace(deployment.accounts[0], rate_per_s=0.0),)
        announcements = tuple(
            target.announcement for target in self.targets.values()
        )
        for number, replica in enumerate(self.replicas):
            service = make_service(replica, loop.time, number + 1)
            service.attach(self._handlers[number])  # type: ignore[arg-type]
            limits = LimitService(loop.time)
            limits.attach(self._handlers[number])  # type: ignore[arg-type]
            suspects = SuspectService(loop.time)
            suspects.attach(self._handlers[number])  # type: ignore[arg-type]
            await service.start()
            self._services.append(service)
            replica.state.steering.apply(AnnounceTargets(announcements))
            publish(replica, replace(deployment, accounts=accounts))
        for vm in self.vms:
            await vm.follower.start()
        async with asyncio.timeout(20.0):
            while not all(self._is_ready(vm) for vm in self.vms):
                await asyncio.sleep(0.05)

    def _is_ready(self, vm: StandInVm) -> bool:
        has_roster = len(vm.follower.running_entries()) == len(self.vms)
        return has_roster and vm.follower.view is not None

    async def stop(self) -> None:
        """Stop everything, requests in flight included."""
        for task in self.requests:
            task.cancel()
        for vm in self.vms:
            await vm.follower.stop()
        for service in self._services:
            await service.stop()

    async def restart_vm(self, number: int) -> None:
        """Replace an entry VM by one that knows nothing."""
        stopped = self.vms[number]
        await stopped.follower.stop()
        started = StandInVm(stopped.name, stopped.zone, self)
        started.outcomes = stopped.outcomes
        started.durations_s = stopped.durations_s
        self.vms[number] = started
        await started.follower.start()

    async def run(self, seconds: float) -> None:
        """Let callers send requests for some time."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while True:
            gap_s = self._rng.expovariate(self._rate_per_s)
            if loop.time() + gap_s >= until_s:
                await asyncio.sleep(until_s - loop.time())
                return
            await asyncio.sleep(gap_s)
            vm = self._rng.choice(self.vms)
            object_id = f"object-{self._rng.randrange(OBJECTS)}"
            task = asyncio.create_task(
                vm.request(next(self._numbers), object_id)
            )
            self.requests.add(task)
            task.add_done_callback(self.requests.discard)

    def outcomes(self) -> Counter[str]:
        """Return the outcomes of all requests until now."""
        total: Counter[str] = Counter()
        for vm in self.vms:
            total += vm.outcomes
        return total


@contextlib.contextmanager
def virtual_clock() -> Iterator[Callable[[], float]]:
    """Let the clocks return the running loop's virtual time."""
    loop = asyncio.get_running_loop()
    with (
        mock.patch("time.monotonic", loop.time),
        mock.patch("time.clock_gettime", lambda _: loop.time()),
    ):
        yield loop.time
