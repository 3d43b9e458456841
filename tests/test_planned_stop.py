"""A planned stop takes what it can finish, and answers all that it took."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
import itertools
import math
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any, cast, Final
import unittest
from unittest import mock

from msgspec.structs import replace

from tests.limited_fleet import SteadyConnections, virtual_clock
from tests.test_deployment import (
    make_announcement,
    make_deployment,
    make_route,
)
from tests.virtual_time import run_virtual, VirtualLoop
from wigeonford.daemon import EXIT_DONE, serve_until_signal
from wigeonford.deployment import RouteKind
from wigeonford.events import EventLog
from wigeonford.http import Handler, HttpServer, Request, Response
from wigeonford.messages.steering import EntryStatus, ViewUpdate
from wigeonford.metrics import Metrics
from wigeonford.platform._front import CallerApi
from wigeonford.settings import (
    Address,
    CallerLimits,
    RetryBounds,
    SteerEntrySettings,
)
from wigeonford.steer import (
    AccountRates,
    Forwarder,
    LoanBatcher,
    Readiness,
    ResponseFacts,
    SteerDaemon,
    TargetConnections,
    TargetLimits,
    TargetRecords,
    TargetRunState,
    ViewBuilder,
)
from wigeonford.steer._attempt import Attempt, AttemptResult, Outcome
from wigeonford.steer._route_stats import RouteStats
from wigeonford.steer._shutdown import (
    END_FRACTION,
    expected_s,
    FINISH_FRACTION,
    NO_SHUTDOWN,
    ShutdownPlan,
    SPREAD,
)
from wigeonford.suspects import SuspectTable

SLOTS: Final = 40
SLOW_RATIO: Final = 1.6
"""Work of slow requests, four deviations above the usual."""
MARGIN_S: Final = 0.01
QUIET_FROM_S: Final = 4.0
"""When a stop finds no caller that has sent something of late."""
READ: Final = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
READ_LONG: Final = b"GET /waits HTTP/1.1\r\nhost: a\r\n\r\n"
UPLOAD: Final = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n"
EXCUSED_S: Final = 3.0
"""The users excuse long work on requests sent sooner after the signal."""
NOT_RUN_STATUSES: Final = ("408", "421", "429", "503")
STATUS: Final = EntryStatus("vm", "i", "vm:1", "south-a", "south", True)


class WorkingTargets(SteadyConnections):
    """Stand in for targets: work for the time that `next_work_s` returns.

    The connections to them open after the time in `connect_s`. With
    `stream_s`, responses are streamed, and their bodies last so long. Each of
    `outcomes` replaces one result. `sent_at_s` and `sends` tell of requests by
    the ids that callers gave; `cut` lists those that were broken off before
    their deadline, `ran` those that may have run.
    """

    def __init__(self, next_work_s: Callable[[], float]) -> None:
        self.next_work_s = next_work_s
        self.connect_s: dict[str, float] = {}
        self.stream_s = 0.0
        self.outcomes: list[Outcome] = []
        self.sent_at_s: dict[str, float] = {}
        self.sends: Counter[str] = Counter()
        self.cut: list[str] = []
        self.ran: set[str] = set()

    def close(self) -> None:
        """Return: there is nothing to close."""

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Return the result of an attempt."""
        request_id = attempt.req.request_id
        await asyncio.sleep(self.connect_s.get(request_id, 0.0))
        attempt.on_send()
        self.sent_at_s[request_id] = asyncio.get_running_loop().time()
        self.sends[request_id] += 1
        outcome = self.outcomes.pop(0) if self.outcomes else Outcome.ANSWERED
        if outcome is not Outcome.NOT_RUN:
            self.ran.add(request_id)
        try:
            await asyncio.sleep(self.next_work_s())
        except asyncio.CancelledError:
            if attempt.left_s > 0:
                self.cut.append(request_id)
            raise
        if outcome is not Outcome.ANSWERED:
            return AttemptResult(outcome)
        facts = ResponseFacts(TargetRunState.RAN, True)
        response = Response(200)
        if self.stream_s:
            length = ((b"content-length", b"4"),)
            response = Response(200, length, self._stream_body())
        return AttemptResult(Outcome.ANSWERED, response, facts)

    async def _stream_body(self) -> AsyncIterator[bytes]:
        yield b"bo"
        await asyncio.sleep(self.stream_s)
        yield b"dy"


class StoppingVm:
    """Run an entry VM's request path from a caller's socket to a target."""

    def __init__(
        self,
        grace_s: float,
        work_s: float,
        *,
        timeout_s: float | None = None,
        connections: TargetConnections | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"{grace_s} {work_s}")
        self.targets = WorkingTargets(
            lambda: work_s * self.rng.lognormvariate(0.0, 0.1)
        )
        self.grace_s = grace_s
        self.work_s = work_s
        self.component = mock.AsyncMock()
        self.writers: list[asyncio.StreamWriter] = []
        self.statuses: dict[str, str] = {}
        self.complete_at_s: dict[str, float] = {}
        self.timeout_s = timeout_s or 3 * work_s
        self.time_limits_s: dict[str, float] = {}
        self.heads: dict[str, bytes] = {}
        self.began_s = 0.0
        routes = [
            make_route(
                kind.name,
                f"/{kind.name.lower()}/",
                kind=kind,
                is_open=True,
                timeout_s=self.timeout_s,
                objective_s=work_s,
            )
            for kind in RouteKind
        ]
        self.builder = ViewBuilder()
        targets = tuple(
            make_announcement(
                target_id=f"t-{number}",
                address=f"10.0.0.{number}:80",
                slots=SLOTS,
            )
            for number in range(4)
        )
        deployment = replace(make_deployment(*routes), accounts=())
        self.builder.apply(ViewUpdate(0, 1, deployment, (), {}, targets, ()))
        self.view = self.builder.build()
        records = TargetRecords()
        records.apply_changes(targets, (), {"south-a": "south"}, 0.0)
        log = EventLog()
        connections = connections or cast(TargetConnections, self.targets)
        self.forwarder = Forwarder(
            lambda: STATUS,
            lambda: self.view,
            lambda: {STATUS.name: STATUS},
            records,
            TargetLimits(STATUS.name, dict),
            AccountRates(STATUS.name),
            LoanBatcher(mock.AsyncMock(), log, self.loop.time),
            SuspectTable(),
            connections,
            RetryBounds(),
            Metrics(),
            log,
            self.rng,
            self.loop.time,
        )
        self.front = HttpServer(
            CallerApi(self.forwarder).handle, CallerLimits(), log
        )
        self.daemon = self._make_daemon(grace_s, records, connections, log)

    def _make_daemon(
        self,
        grace_s: float,
        records: TargetRecords,
        connections: TargetConnections,
        log: EventLog,
    ) -> SteerDaemon:
        cfg = SteerEntrySettings(
            STATUS.name,
            STATUS.availability_zone,
            STATUS.region,
            Address(),
            Address(),
            (),
            {},
            grace_s=grace_s,
        )
        follower, component = mock.AsyncMock(), self.component
        follower.add_view_listener = mock.Mock()
        return SteerDaemon(
            cfg,
            Readiness(lambda _: STATUS),
            follower,
            component,
            records,
            (connections,),
            (),
            self.forwarder,
            ((self.front, Address()),),
            (component,),
            log,
        )

    def add_server(self, handler: Handler) -> HttpServer:
        """Return a further server of the VM, such as that of look-ups."""
        server = HttpServer(handler, CallerLimits(), EventLog())
        self.daemon._servers += ((server, Address()),)
        return server

    async def connect(self, server: HttpServer | None = None) -> "Caller":
        """Return a caller with a new connection."""
        server = server or self.front
        own, callers = socket.socketpair()
        own.setblocking(False)
        await self.loop.connect_accepted_socket(server._make_protocol, own)
        reader, writer = await asyncio.open_connection(sock=callers)
        self.writers.append(writer)
        return Caller(self, reader, writer)

    async def connect_to(self, address: Address) -> "Caller":
        """Return a caller that has connected to the VM's listener."""
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        self.writers.append(writer)
        return Caller(self, reader, writer)

    async def call(self, request_id: str, **options: Any) -> None:
        """Send one request on a new connection, and read the response."""
        caller = await self.connect()
        await caller.call(request_id, **options)

    async def learn(self, count: int = 24) -> None:
        """Serve some requests of each route before the stop."""
        async with asyncio.TaskGroup() as group:
            for kind in RouteKind:
                for number in range(count):
                    request_id = f"before-{kind.name}-{number}"
                    group.create_task(self.call(request_id, kind=kind))

    async def call_in_turn(self, count: int, interval_s: float) -> None:
        """Send requests at an interval; return when all have ended."""
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self.call(f"{number}"))
                await asyncio.sleep(interval_s)

    def begin_stop(self) -> asyncio.Task[None]:
        """Begin the planned stop."""
        self.began_s = self.loop.time()
        return asyncio.create_task(self.daemon.stop())

    def late_s(self, at_s: float) -> float:
        """Return how long after the signal a time is."""
        return at_s - self.began_s


class Caller:
    """Send requests on one connection; record what comes of each."""

    def __init__(
        self,
        vm: StoppingVm,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._vm = vm
        self._reader = reader
        self._writer = writer

    def send(self, data: bytes) -> None:
        """Send bytes; read no response."""
        self._writer.write(data)

    async def call(
        self,
        request_id: str,
        *,
        kind: RouteKind = RouteKind.UNSAFE,
        left_s: float | None = None,
        body_after_s: float | None = None,
    ) -> None:
        """Send a request; its status is "" if no complete response comes."""
        lines = [
            f"POST /{kind.name.lower()}/x HTTP/1.1",
            "host: old.example",
            f"x-attempt-id: {request_id}",
            f"content-length: {0 if body_after_s is None else 4}",
        ]
        if left_s is not None:
            lines.append(f"x-deadline-remaining: {int(left_s * 1000)}")
        self._vm.statuses[request_id] = ""
        self._vm.time_limits_s[request_id] = min(
            self._vm.timeout_s, left_s or math.inf
        ) - (body_after_s or 0.0)
        self._vm.complete_at_s[request_id] = self._vm.loop.time() + (
            body_after_s or 0.0
        )
        try:
            self._writer.write("\r\n".join([*lines, "", ""]).encode())
            if body_after_s is not None:
                self._vm.loop.call_later(
                    body_after_s, self._writer.write, b"body"
                )
            head = await self._reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2]
            await self._reader.readexactly(int(length.split()[0]))
        except (OSError, asyncio.IncompleteReadError):
            return
        self._vm.statuses[request_id] = head[9:12].decode()
        self._vm.heads[request_id] = head.lower()


class ShutdownPlanTest(unittest.TestCase):
    """The decision whether a request can still be finished."""

    def test_what_can_be_finished_at_each_moment(self) -> None:
        far_s = 1000.0
        for grace_s, late_s, needed_s, deadline_s, can_finish in (
            (6.0, 0.0, 5.2, far_s, True),
            (6.0, 0.0, 5.4, far_s, False),
            (10.0, 0.0, 5.4, far_s, True),
            (10.0, 3.0, 5.4, far_s, True),
            (10.0, 3.7, 5.4, far_s, False),
            (10.0, 3.7, 5.4, 108.8, True),
            (10.0, 8.8, 0.0, far_s, False),
            (10.0, 2.9, 0.1, far_s, True),
            (10.0, 3.1, 0.1, far_s, False),
            (10.0, 3.1, 9.0, 108.8, True),
            (10.0, 3.1, 0.1, 109.0, False),
            (10.0, 9.1, 0.0, far_s, False),
            (0.0, 0.0, 0.0, far_s, False),
        ):
            with self.subTest((grace_s, late_s, needed_s)):
                plan = ShutdownPlan(100.0, grace_s)
                now_s = 100.0 + late_s
                self.assertIs(
                    can_finish, plan.can_finish(now_s, needed_s, deadline_s)
                )
                due_s = plan.send_by_s(needed_s, deadline_s)
                self.assertIs(can_finish, now_s <= due_s)

    def test_without_a_stop_all_can_be_finished(self) -> None:
        self.assertTrue(NO_SHUTDOWN.can_finish(1e9, 600.0, math.inf))
        self.assertEqual(math.inf, NO_SHUTDOWN.send_by_s(600.0, math.inf))

    def test_the_slowest_of_late_counts_not_the_average(self) -> None:
        stats = RouteStats.initial(make_route("r", "/", timeout_s=9.0))
        for time_limit_s in (9.0, 30.0):
            self.assertEqual(
                SPREAD * time_limit_s, expected_s(stats, time_limit_s, 0.0)
            )
        for duration_s in [0.1] * 20 + [0.5] + [0.1] * 20:
            stats.record_response(duration_s)
        self.assertEqual(SPREAD * 0.5, expected_s(stats, 9.0, 0.0))
        self.assertEqual(
            SPREAD * (0.6 + 0.3), expected_s(stats, 9.0, 0.0, 0.6, 0.3)
        )
        for _ in range(100):
            stats.record_response(0.1)
        self.assertEqual(SPREAD * 0.1, expected_s(stats, 9.0, 0.0))

    def test_work_that_mostly_takes_longer_than_of_late_counts(self) -> None:
        stats = RouteStats.initial(make_route("r", "/", timeout_s=9.0))
        for _ in range(64):
            stats.record_response(0.1)
        usual_s = SPREAD * 0.1
        for ages_s, expected in (
            ((), usual_s),
            ((0.1,), usual_s),
            ((0.2,), 9.0),
            ((5.0, 0.1), 9.0),
            ((5.0, 0.1, 0.0), usual_s),
            ((5.0, 0.2, 0.0), 9.0),
            ((5.0, 4.0, 0.1, 0.1, 0.0), usual_s),
        ):
            with self.subTest(ages_s):
                stats.running_since_s = {
                    key: 50.0 - age_s for key, age_s in enumerate(ages_s)
                }
                self.assertAlmostEqual(expected, expected_s(stats, 9.0, 50.0))


class PlannedStopTest(unittest.TestCase):
    """Callers send requests to a VM that stops, in virtual time."""

    def run_stop(
        self, scenario: Callable[[], Coroutine[Any, Any, StoppingVm]]
    ) -> StoppingVm:
        """Run a scenario; check what holds for each request of a stop."""

        async def run() -> StoppingVm:
            with virtual_clock():
                vm = await scenario()
            for writer in vm.writers:
                writer.close()
            await asyncio.sleep(0)
            return vm

        vm = run_virtual(run())
        unanswered = [
            name for name, status in vm.statuses.items() if not status
        ]
        self.assertEqual([], unanswered, "without an answer")
        for request_id, status in vm.statuses.items():
            if status in NOT_RUN_STATUSES:
                self.assertNotIn(request_id, vm.targets.ran)
        return vm

    def assert_no_late_one_is_cut(self, vm: StoppingVm) -> None:
        cut_late_s = [
            (request_id, round(vm.late_s(sent_at_s), 2))
            for request_id, sent_at_s in vm.targets.sent_at_s.items()
            if request_id in vm.targets.cut
            and vm.late_s(sent_at_s) > EXCUSED_S
        ]
        self.assertEqual([], cut_late_s)

    def assert_refused_truly_and_only_late(self, vm: StoppingVm) -> None:
        for request_id, complete_at_s in vm.complete_at_s.items():
            if vm.statuses[request_id] != "503":
                continue
            late_s = vm.late_s(complete_at_s)
            # Later ones are refused unless their time limits end in time.
            work_s = SLOW_RATIO * vm.work_s
            if late_s > EXCUSED_S:
                work_s = max(work_s, vm.time_limits_s[request_id])
            self.assertGreater(late_s + work_s, 0.85 * vm.grace_s, request_id)
            head = vm.heads[request_id]
            self.assertIn(b"wigeonford-code: 1207", head)
            self.assertIn(b"wigeonford-run-state: not-run", head)
            self.assertIn(b"connection: close", head)
            retry_after = head.partition(b"retry-after: ")[2].split()[0]
            self.assertLessEqual(float(retry_after), 0.1)

    def test_requests_late_in_a_stop_are_not_passed_on_and_cut(self) -> None:
        for grace_s, work_s in ((10, 6.2), (10, 4.4), (6, 2.0), (6, 0.6)):

            async def scenario(
                grace_s: float = grace_s, work_s: float = work_s
            ) -> StoppingVm:
                vm = StoppingVm(grace_s, work_s)
                await vm.learn()
                kept = [await vm.connect() for _ in range(40)]
                stop = vm.begin_stop()
                async with asyncio.TaskGroup() as group:
                    for number in range(40):
                        if vm.front.closing:
                            break
                        name = f"{number * 0.1:.1f} s"
                        group.create_task(vm.call(f"new, {name}"))
                        group.create_task(kept[number].call(f"kept, {name}"))
                        await asyncio.sleep(0.1)
                await stop
                return vm

            with self.subTest(grace_s=grace_s, work_s=work_s):
                vm = self.run_stop(scenario)
                self.assert_no_late_one_is_cut(vm)
                self.assert_refused_truly_and_only_late(vm)

    def test_work_that_has_become_slower_is_not_cut(self) -> None:
        for grace_s, work_s in ((10, 6.2), (10, 4.0), (6, 3.5)):

            async def scenario(
                grace_s: float = grace_s, work_s: float = work_s
            ) -> StoppingVm:
                vm = StoppingVm(grace_s, 0.2, timeout_s=30.0)
                await vm.learn(64)
                vm.targets.next_work_s = lambda: work_s
                stop = vm.begin_stop()
                await vm.call_in_turn(int(9 * grace_s), 0.1)
                await stop
                return vm

            with self.subTest(grace_s=grace_s, work_s=work_s):
                vm = self.run_stop(scenario)
                self.assertEqual([], vm.targets.cut)
                self.assertGreater(len(vm.targets.sent_at_s), 3 * 64)

    def test_late_requests_are_not_cut_however_long_they_work(self) -> None:
        for seed in range(8):

            async def scenario(seed: int = seed) -> StoppingVm:
                rng = random.Random(seed)
                grace_s = rng.choice((6, 10))
                vm = StoppingVm(grace_s, 0.2, timeout_s=rng.uniform(4.0, 13.0))
                await vm.learn()
                works_s = (0.05, 0.2, 2.0, 6.2, 20.0)
                vm.targets.next_work_s = lambda: rng.choice(works_s)
                stop = vm.begin_stop()
                async with asyncio.TaskGroup() as group:
                    for number in range(9 * grace_s):
                        left_s = rng.choice((None, 0.5, 3.0, 9.0))
                        group.create_task(vm.call(f"{number}", left_s=left_s))
                        await asyncio.sleep(0.1)
                await stop
                return vm

            with self.subTest(seed=seed):
                self.assert_no_late_one_is_cut(self.run_stop(scenario))

    def test_callers_that_go_by_an_old_look_up_are_answered(self) -> None:
        for grace_s in (6, 10):

            async def scenario(grace_s: int = grace_s) -> StoppingVm:
                vm = StoppingVm(grace_s, 0.2, timeout_s=30.0)
                await vm.learn()
                address = await vm.front.start(Address())
                count = int(8.5 * grace_s)
                kept = [await vm.connect() for _ in range(count)]
                stop = vm.begin_stop()
                async with asyncio.TaskGroup() as group:
                    for number in range(count):
                        late = f"{number * 0.1:.1f} s"
                        caller = await vm.connect_to(address)
                        group.create_task(caller.call(f"new, {late}"))
                        group.create_task(kept[number].call(f"kept, {late}"))
                        await asyncio.sleep(0.1)
                await stop
                return vm

            with self.subTest(grace_s=grace_s):
                self.run_stop(scenario)

    def test_a_stop_ends_once_no_look_up_names_it_and_callers_are_quiet(
        self,
    ) -> None:
        for last_at_s, ends_s in ((3.0, 4.0), (3.6, 4.0), (3.9, 4.4)):

            async def scenario(
                last_at_s: float = last_at_s, ends_s: float = ends_s
            ) -> StoppingVm:
                vm = StoppingVm(10, 0.2)
                address = await vm.front.start(Address())
                kept = [await vm.connect() for _ in range(3)]
                stop = vm.begin_stop()
                await asyncio.sleep(last_at_s - 0.1)
                await kept[0].call("kept")
                new = await vm.connect_to(address)
                await new.call("new")
                for writer in vm.writers[-1], vm.writers[0]:
                    writer.close()
                await stop
                ended_s = vm.late_s(vm.loop.time())
                self.assertGreater(ended_s, ends_s)
                self.assertLess(ended_s, ends_s + 1.2)
                return vm

            with self.subTest(last_at_s=last_at_s):
                self.run_stop(scenario)

    def test_requests_that_come_as_callers_seem_quiet_are_finished(
        self,
    ) -> None:
        for grace_s in (6, 10):

            async def scenario(grace_s: int = grace_s) -> StoppingVm:
                vm = StoppingVm(grace_s, 0.5)
                address = await vm.front.start(Address())
                stop = vm.begin_stop()
                await asyncio.sleep(QUIET_FROM_S - MARGIN_S)
                # Both are due once the loop goes on.
                connecting = asyncio.create_task(vm.connect_to(address))
                cast(VirtualLoop, vm.loop).stall(2 * MARGIN_S)
                caller = await connecting
                await caller.call("a", left_s=1.0)
                await stop
                return vm

            with self.subTest(grace_s=grace_s):
                vm = self.run_stop(scenario)
                self.assertEqual({"a": "200"}, vm.statuses)

    def test_callers_that_keep_no_connection_hold_a_stop_open(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(10, 0.05)
            address = await vm.front.start(Address())
            stop = vm.begin_stop()
            for number in range(16):
                await asyncio.sleep(0.4)
                vm.statuses[f"{number}"] = ""
                caller = await vm.connect_to(address)
                await caller.call(f"{number}", left_s=0.4)
                caller._writer.close()
            await stop
            self.assertLess(vm.late_s(vm.loop.time()), 8.5)
            return vm

        vm = self.run_stop(scenario)
        self.assertEqual({"200"}, set(vm.statuses.values()))

    def test_few_are_refused_where_work_takes_a_third_of_the_grace(
        self,
    ) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 2.0, timeout_s=60.0)
            await vm.learn(60)
            stop = vm.begin_stop()
            await vm.call_in_turn(48, 0.05)
            await stop
            return vm

        vm = self.run_stop(scenario)
        self.assertLessEqual(list(vm.statuses.values()).count("503"), 4)
        self.assertEqual([], vm.targets.cut)

    def test_all_that_a_stop_cannot_finish_are_answered(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 20.0)
            calls = [
                asyncio.create_task(vm.call(f"sent-{kind.name}", kind=kind))
                for kind in RouteKind
            ]
            upload = vm.call("unsent", body_after_s=30.0)
            calls.append(asyncio.create_task(upload))
            await asyncio.sleep(0.1)
            await vm.begin_stop()
            await asyncio.wait(calls)
            return vm

        vm = self.run_stop(scenario)
        self.assertEqual(
            {
                "sent-SAFE": "504",
                "sent-UNSAFE": "504",
                "sent-UPLOAD": "504",
                "unsent": "503",
            },
            vm.statuses,
        )

    def test_what_no_target_got_yet_at_the_end_is_told_as_not_run(
        self,
    ) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 20.0)
            vm.targets.connect_s = {kind.name: 30.0 for kind in RouteKind}
            calls = [
                asyncio.create_task(vm.call(kind.name, kind=kind))
                for kind in RouteKind
            ]
            await asyncio.sleep(0.1)
            await vm.begin_stop()
            await asyncio.wait(calls)
            return vm

        self.assertEqual(
            {kind.name: "503" for kind in RouteKind},
            self.run_stop(scenario).statuses,
        )

    def test_an_answer_that_is_ready_at_the_end_is_delivered(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 5.0)
            vm.targets.next_work_s = lambda: 5.4
            call = asyncio.create_task(vm.call("a"))
            await asyncio.sleep(0.05)
            await vm.begin_stop()
            await call
            return vm

        self.assertEqual({"a": "200"}, self.run_stop(scenario).statuses)

    def test_a_process_that_stands_still_past_the_end_answers_all(
        self,
    ) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 5.0)
            works_s = iter((5.1, 9.0))
            vm.targets.next_work_s = lambda: next(works_s)
            calls = [
                asyncio.create_task(vm.call("ready")),
                asyncio.create_task(vm.call("at work")),
                asyncio.create_task(vm.call("unsent", body_after_s=30.0)),
            ]
            await asyncio.sleep(0.05)
            stop = vm.begin_stop()
            await asyncio.sleep(5.0)
            cast(VirtualLoop, vm.loop).stall(0.7)
            await stop
            await asyncio.wait(calls)
            return vm

        self.assertEqual(
            {"ready": "200", "at work": "504", "unsent": "503"},
            self.run_stop(scenario).statuses,
        )

    def test_a_stop_ends_in_the_grace_though_control_is_silent(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 1.0)
            vm.component.stop = lambda: asyncio.sleep(30.0)
            await vm.begin_stop()
            self.assertLess(vm.late_s(vm.loop.time()), vm.grace_s)
            return vm

        self.run_stop(scenario)

    def test_a_stop_goes_on_whatever_comes_of_its_report_to_control(
        self,
    ) -> None:
        async def fail() -> None:
            raise RuntimeError("an odd reply")

        async def hang() -> None:
            await asyncio.sleep(100.0)

        for report, grace_s in itertools.product((fail, hang), (6, 10)):

            async def scenario(
                report: Callable[[], Coroutine[Any, Any, None]] = report,
                grace_s: float = grace_s,
            ) -> StoppingVm:
                vm = StoppingVm(grace_s, 0.2)
                vm.daemon._follower = mock.Mock(report_status=report)
                call = asyncio.create_task(vm.call("a"))
                await asyncio.sleep(0.1)
                await vm.begin_stop()
                ended_s = vm.late_s(vm.loop.time())
                self.assertLess(ended_s, END_FRACTION * grace_s + MARGIN_S)
                await call
                return vm

            with self.subTest((report.__name__, grace_s)):
                vm = self.run_stop(scenario)
                self.assertEqual({"a": "200"}, vm.statuses)

    def test_a_stop_ends_though_a_part_fails_to_stop(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 0.2)
            vm.component.stop = mock.AsyncMock(side_effect=RuntimeError)
            await vm.begin_stop()
            return vm

        self.run_stop(scenario)

    def test_a_stop_ends_in_the_grace_though_others_keep_connections(
        self,
    ) -> None:
        async def respond(request: Request) -> Response:
            if request.path == "/waits":
                await asyncio.sleep(60.0)
            return Response(200, ((b"content-length", b"0"),))

        for grace_s, is_control_silent, data in itertools.product(
            (6, 10), (False, True), (b"", READ, READ_LONG, UPLOAD, b"G")
        ):

            async def scenario(
                grace_s: int = grace_s,
                is_control_silent: bool = is_control_silent,
                data: bytes = data,
            ) -> StoppingVm:
                vm = StoppingVm(grace_s, 0.2)
                if is_control_silent:
                    vm.component.stop = lambda: asyncio.sleep(30.0)
                servers = [vm.add_server(respond) for _ in range(3)]
                kept = [await vm.connect(server) for server in servers]
                upload = await vm.connect()
                # Keeps the VM serving to the last moment.
                calls = asyncio.create_task(
                    vm.call_in_turn(int(4.4 * grace_s), 0.2)
                )
                stop = vm.begin_stop()
                await asyncio.sleep(0.85 * grace_s)
                upload.send(UPLOAD)
                for caller in kept:
                    caller.send(data)
                await stop
                ended_s = vm.late_s(vm.loop.time())
                self.assertLess(ended_s, END_FRACTION * grace_s + MARGIN_S)
                self.assertFalse(any(server._tasks for server in servers))
                await calls
                return vm

            with self.subTest((grace_s, is_control_silent, data)):
                self.run_stop(scenario)

    def test_requests_that_cross_the_end_of_a_stop_are_not_dropped(
        self,
    ) -> None:
        """They are answered or reset unread, not read and dropped."""

        async def send(vm: StoppingVm, caller: Caller, at_s: float) -> bytes:
            await asyncio.sleep(vm.began_s + at_s - vm.loop.time())
            try:
                caller._writer.write(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
                await caller._writer.drain()
                return await caller._reader.read(12)
            except ConnectionError:
                return b"reset"

        for grace_s in (6, 10):

            async def scenario(grace_s: int = grace_s) -> StoppingVm:
                vm = StoppingVm(grace_s, 0.05)
                stop = vm.begin_stop()
                steps = range(20)
                callers = [await vm.connect() for _ in steps]
                until_s = FINISH_FRACTION * grace_s
                calls = vm.call_in_turn(int(until_s / 0.2), 0.2)
                *outcomes, _, _ = await asyncio.gather(
                    *(
                        send(vm, caller, until_s + step * 0.02)
                        for step, caller in zip(steps, callers, strict=True)
                    ),
                    calls,
                    stop,
                )
                self.assertNotIn(b"", outcomes)
                return vm

            with self.subTest(grace_s=grace_s):
                self.run_stop(scenario)

    def test_before_anything_is_learned_the_time_limit_decides(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 1.0, timeout_s=7.0)
            stop = vm.begin_stop()
            await asyncio.sleep(0.5)
            await vm.call("without a limit")
            await vm.call("with a limit", left_s=3.0)
            await stop
            return vm

        self.assertEqual(
            {"without a limit": "503", "with a limit": "200"},
            self.run_stop(scenario).statuses,
        )

    def test_streamed_answers_late_in_a_stop_are_not_cut(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(6, 0.2, timeout_s=30.0)
            vm.targets.stream_s = 4.0
            await vm.learn()
            stop = vm.begin_stop()
            await vm.call_in_turn(20, 0.1)
            await stop
            return vm

        statuses = Counter(self.run_stop(scenario).statuses.values())
        self.assertGreaterEqual(statuses["503"], 6)

    def test_a_body_that_ends_too_late_in_a_stop_is_refused(self) -> None:
        async def scenario() -> StoppingVm:
            vm = StoppingVm(10, 3.0, timeout_s=30.0)
            await vm.learn()
            kind = RouteKind.UPLOAD
            calls = [
                asyncio.create_task(
                    vm.call(f"{late_s}", kind=kind, body_after_s=late_s)
                )
                for late_s in (0.5, 3.0, 6.5, 7.5, 8.5)
            ]
            await asyncio.sleep(0.1)
            await vm.begin_stop()
            await asyncio.wait(calls)
            return vm

        vm = self.run_stop(scenario)
        self.assert_no_late_one_is_cut(vm)
        self.assertEqual(
            ["200", "200", "503", "503", "503"],
            [
                vm.statuses[late]
                for late in ("0.5", "3.0", "6.5", "7.5", "8.5")
            ],
        )

    def test_a_retry_late_in_a_stop_is_not_sent(self) -> None:
        for outcome, status in (
            (Outcome.NOT_RUN, "503"),
            (Outcome.BROKEN, "502"),
        ):

            async def scenario(outcome: Outcome = outcome) -> StoppingVm:
                vm = StoppingVm(6, 3.5)
                await vm.learn()
                vm.targets.outcomes = [outcome]
                call = asyncio.create_task(vm.call("a", kind=RouteKind.SAFE))
                await asyncio.sleep(0.1)
                await vm.begin_stop()
                await call
                return vm

            with self.subTest(outcome):
                vm = self.run_stop(scenario)
                self.assertEqual(status, vm.statuses["a"])
                self.assertEqual(1, vm.targets.sends["a"])

    def test_each_request_of_a_load_across_a_stop_has_one_outcome(
        self,
    ) -> None:
        for seed in range(8):

            async def scenario(seed: int = seed) -> StoppingVm:
                rng = random.Random(seed)
                vm = StoppingVm(rng.choice((6, 10)), rng.uniform(0.3, 4.0))
                await vm.learn()
                stop: asyncio.Task[None] | None = None
                async with asyncio.TaskGroup() as group:
                    for number in range(120):
                        if number == 40:
                            stop = vm.begin_stop()
                        if vm.front.closing:
                            break
                        late_s = rng.choice((None, None, 0.0, 1.5, 4.0))
                        options: dict[str, Any] = {
                            "kind": rng.choice(list(RouteKind)),
                            "left_s": rng.choice((None, None, 2.0, 9.0)),
                            "body_after_s": late_s,
                        }
                        group.create_task(vm.call(f"{number}", **options))
                        await asyncio.sleep(rng.expovariate(10.0))
                assert stop is not None, "the stop began"
                await stop
                return vm

            with self.subTest(seed=seed):
                vm = self.run_stop(scenario)
                self.assert_no_late_one_is_cut(vm)
                self.assert_refused_truly_and_only_late(vm)


SIGNALS_AMID_IMPORTS: Final = """
import os, signal, sys
for name in {signals}:
    os.kill(os.getpid(), getattr(signal, name))
sys.path.remove(os.path.dirname(__file__))
del sys.modules["structlog"]
import structlog
"""
"""Stands in for a library, so that signals come amid the imports."""


SIGNALS_AFTER_THE_STOP: Final = """
import asyncio, os, signal, sys
from wigeonford._stop_request import StopRequest
from wigeonford.daemon import serve_process
from wigeonford.events import EventLog

class Daemon:
    async def start(self):
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self):
        return

code = asyncio.run(serve_process(Daemon(), EventLog(), StopRequest()))
for name in ("SIGTERM", "SIGINT", "SIGHUP"):
    os.kill(os.getpid(), getattr(signal, name))
sys.exit(code)
"""


class StopAmidStartTest(unittest.IsolatedAsyncioTestCase):
    """A stop signal arrives before a daemon has started."""

    def test_a_stop_amid_the_imports_ends_with_exit_code_0(self) -> None:
        self.check_signals_amid_imports("SIGTERM", "SIGTERM")

    def test_a_reload_amid_the_imports_ends_nothing(self) -> None:
        self.check_signals_amid_imports("SIGHUP", "SIGTERM")

    def check_signals_amid_imports(self, *signals: str) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        Path(folder.name, "structlog.py").write_text(
            SIGNALS_AMID_IMPORTS.format(signals=signals)
        )
        settings = Path(folder.name, "settings.toml")
        settings.write_text(
            'node = "a"\nip_address = "127.0.0.1"\nzone = "z"\n'
            'region = "r"\ninternal_port_range = [1, 2]\nseeds = []\n'
            '[listen]\nfront = "127.0.0.1:0"\nready = "127.0.0.1:0"\n'
            "[bounds]\ngrace_s = 0.1\n"
        )
        paths = (folder.name, os.environ.get("PYTHONPATH", ""))
        result = subprocess.run(
            [sys.executable, "-m", "wigeonford.platform.daemon", "entry"],
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(paths),
                "WIGEONFORD_CONFIG": str(settings),
            },
            capture_output=True,
            timeout=60.0,
        )
        self.assertEqual(0, result.returncode, result)

    def test_signals_after_the_stop_do_not_end_the_process(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", SIGNALS_AFTER_THE_STOP],
            capture_output=True,
            timeout=60.0,
        )
        self.assertEqual(0, result.returncode, result)

    def test_callers_amid_a_start_that_a_stop_ends_are_answered(self) -> None:
        async def scenario() -> bytes:
            vm = StoppingVm(6, 0.2)
            listening = asyncio.Event()

            async def start_component() -> None:
                listening.set()
                await asyncio.Event().wait()

            vm.component.start = start_component
            start = asyncio.create_task(vm.daemon.start())
            await listening.wait()
            server = vm.front._server
            assert server is not None, "the VM listens"
            with socket.create_connection(
                server.sockets[0].getsockname()
            ) as caller:
                caller.sendall(b"GET /safe/x HTTP/1.1\r\nhost: a\r\n\r\n")
                start.cancel()
                await asyncio.wait((start,))
                caller.settimeout(10.0)
                return caller.recv(65536)

        self.assertRegex(run_virtual(scenario()), rb"^HTTP/1.1 404 ")

    async def test_a_stop_amid_a_start_that_waits_ends_it(self) -> None:
        class Daemon:
            """Wait for a configuration that never comes."""

            async def start(self) -> None:
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.Event().wait()

            async def stop(self) -> None:
                return

        async with asyncio.timeout(10.0):
            code = await serve_until_signal(Daemon(), EventLog())
        self.assertEqual(EXIT_DONE, code)

    async def test_more_stop_signals_amid_a_stop_change_nothing(self) -> None:
        has_ended = False

        class Daemon:
            """Get a stop signal once it has started, and amid the stop."""

            async def start(self) -> None:
                asyncio.get_running_loop().call_later(
                    0.01, os.kill, os.getpid(), signal.SIGTERM
                )

            async def stop(self) -> None:
                nonlocal has_ended
                os.kill(os.getpid(), signal.SIGTERM)
                await asyncio.sleep(0.01)
                has_ended = True

        async with asyncio.timeout(10.0):
            code = await serve_until_signal(Daemon(), EventLog())
        self.assertEqual((EXIT_DONE, True), (code, has_ended))
