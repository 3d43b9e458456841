"""Dispatch to targets that crash, stall, shed or send broken responses."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib
import io
import time
from typing import Any
import unittest
from unittest import mock

from wigeonford.entry import (
    DecisionRing,
    Dispatcher,
    PoisonRequests,
    RegionPeers,
    SlotTable,
    TargetDirectory,
    TargetRegistry,
)
from wigeonford.entry._outbound import Outbound
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import read_body, Response
from wigeonford.invariants import Checks, OnBreach
from wigeonford.messages.object import TargetAnnounce
from wigeonford.metrics import Metrics
from wigeonford.model import Service
from wigeonford.peer import PeerClient
from wigeonford.policy import OutlierEjector

WHOLE_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SHED_HEAD = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n"
TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"
UNFRAMED_RESPONSE = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok"
NOT_RUN_HEADER = b"wigeonford-run-state: not-run\r\n\r\n"
BIG_BODY_BYTES = 1 << 20

_DISCONNECT_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)

Behaviour = Callable[["FakeTarget", bytes, asyncio.StreamWriter], Any]


class _Config:
    """Stand in for a configuration that is always fresh."""

    def on_change(self, _listener: object) -> None:
        return

    def is_fresh(self, _now_s: float) -> bool:
        return True


class FakeTarget:
    """Run a function for each request head, which may send a response."""

    def __init__(self, behave: Behaviour) -> None:
        self._behave = behave
        self.heads: list[bytes] = []
        self.connections = 0
        self.read_bodies = True
        self._tasks: set[asyncio.Task[Any]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def crash(self) -> None:
        self.server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        task = asyncio.current_task()
        assert task is not None, "connections are served in tasks"
        if not self.read_bodies:
            self._tasks.add(task)
        with contextlib.suppress(*_DISCONNECT_ERRORS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                result = self._behave(self, head, writer)
                if isinstance(result, Awaitable):
                    await result
                await writer.drain()
                if not self.read_bodies:
                    await asyncio.sleep(9)


def respond_with(data: bytes) -> Behaviour:
    def behave(
        _target: FakeTarget, _head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(data)
        if data in (TRUNCATED_RESPONSE, UNFRAMED_RESPONSE):
            writer.close()

    return behave


def reset_connection(
    _target: FakeTarget, _head: bytes, writer: asyncio.StreamWriter
) -> None:
    writer.transport.abort()


async def respond_late(
    _target: FakeTarget, _head: bytes, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(0.4)
    writer.write(WHOLE_RESPONSE)


class DispatchCase(unittest.IsolatedAsyncioTestCase):
    """Run the dispatcher of one entry VM with fake targets."""

    async def asyncSetUp(self) -> None:
        patch = mock.patch("wigeonford.policy._slot_division.WARM_UP_S", 1e-6)
        patch.start()
        self.addCleanup(patch.stop)
        configure_logging(io.StringIO())
        log, metrics = EventLog(), Metrics()
        config: Any = _Config()
        checks = Checks(log, metrics, OnBreach.STOP)
        secret = "s" * 16
        self.peers = RegionPeers(
            "vm",
            "zone",
            config,
            lambda address: PeerClient("vm", address, secret, log),
            log,
        )
        self.peers.names = ("vm",)
        self.directory = TargetDirectory(
            TargetRegistry(),
            self.peers,
            config,
            checks,
            log,
        )
        ejector = OutlierEjector()
        self.slots = SlotTable(self.peers, self.directory, checks, ejector)
        self.poison_requests = PoisonRequests(self.peers, log)
        self.decisions = DecisionRing()
        self.dispatcher = Dispatcher(
            self.slots,
            self.poison_requests,
            self.decisions,
            checks,
            metrics,
            log,
            ejector,
        )
        self.service = Service("catalogue", timeout_s=0.3)
        self.addAsyncCleanup(self.peers.stop)
        self.addCleanup(self.dispatcher.close)

    async def add_target(
        self, behave: Behaviour, slots: int = 4
    ) -> FakeTarget:
        target = FakeTarget(behave)
        self.announce(await target.start(), slots)
        await asyncio.sleep(0.001)
        self.addCleanup(target.crash)
        return target

    def announce(self, port: int, slots: int = 4, **fields: Any) -> None:
        message = TargetAnnounce(
            "catalogue",
            "127.0.0.1",
            port,
            "new",
            slots,
            fields.pop("sequence", 1),
            9.0,
            0.0,
            fields.pop("leaving", False),
            True,
        )
        self.directory._apply_announcement(message)

    async def forward(
        self,
        path: str = "/x",
        *,
        idempotent: bool = True,
        body: bytes | AsyncIterator[bytes] = b"",
    ) -> Response:
        headers: tuple[tuple[bytes, bytes], ...] = (
            (b"x-request-id", path.encode()),
        )
        if not isinstance(body, bytes):
            headers += ((b"transfer-encoding", b"chunked"),)
        outbound = Outbound(
            self.service,
            None,
            "GET" if idempotent else "POST",
            path,
            headers,
            body,
            idempotent,
            time.monotonic() + 2.0,
        )
        return await self.dispatcher.forward(outbound)

    async def expect_rejection(self, **kwargs: Any) -> RequestRejected:
        with self.assertRaises(RequestRejected) as caught:
            await self.forward(**kwargs)
        return caught.exception


class RunStateTest(DispatchCase):
    """Report a run state only as far as it is known."""

    async def test_states_of_a_non_idempotent_request(self) -> None:
        unknown, not_run = RunState.UNKNOWN, RunState.NOT_RUN
        cases: tuple[tuple[str, Behaviour, Code, RunState], ...] = (
            ("reset", reset_connection, Code.ANSWER_BROKEN, unknown),
            (
                "cut",
                respond_with(TRUNCATED_RESPONSE),
                Code.ANSWER_BROKEN,
                unknown,
            ),
            (
                "unframed",
                respond_with(UNFRAMED_RESPONSE),
                Code.ANSWER_BROKEN,
                unknown,
            ),
            ("late", respond_late, Code.ANSWER_TIMEOUT, unknown),
            (
                "shed",
                respond_with(SHED_HEAD + NOT_RUN_HEADER),
                Code.TARGET_SHED,
                not_run,
            ),
        )
        for name, behave, code, state in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                target = await self.add_target(behave)
                exc = await self.expect_rejection(
                    idempotent=False, path=f"/{name}"
                )
                self.assertEqual((exc.code, exc.run_state), (code, state))
                attempts = 1 if state is unknown else len(target.heads)
                self.assertEqual(len(target.heads), attempts)

    async def test_refused_connection_is_not_run(self) -> None:
        target = await self.add_target(respond_with(WHOLE_RESPONSE))
        target.crash()
        exc = await self.expect_rejection(idempotent=False)
        self.assertEqual(exc.code, Code.CONNECT_FAILED)
        self.assertEqual(exc.run_state, RunState.NOT_RUN)
        self.assertIsNotNone(exc.retry_after_s)

    async def test_plain_503_is_an_answer(self) -> None:
        await self.add_target(respond_with(SHED_HEAD + b"\r\n"))
        response = await self.forward(idempotent=False)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.header(b"wigeonford-run-state"), "ran")

    async def test_refusal_after_a_broken_attempt_is_unknown(self) -> None:
        await self.add_target(respond_with(TRUNCATED_RESPONSE))
        await self.add_target(respond_with(SHED_HEAD + NOT_RUN_HEADER))
        exc = await self.expect_rejection()
        self.assertEqual(exc.run_state, RunState.UNKNOWN)
        self.assertIsNone(exc.retry_after_s)

    async def test_refusal_on_a_used_connection_is_unknown(self) -> None:
        shed = SHED_HEAD + NOT_RUN_HEADER
        responses = iter((WHOLE_RESPONSE, shed, shed, shed))

        def behave(
            _target: FakeTarget, _head: bytes, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(next(responses))

        target = await self.add_target(behave)
        await self.forward("/1")
        exc = await self.expect_rejection(path="/2")
        self.assertIs(Code.TARGET_SHED, exc.code)
        self.assertIs(RunState.UNKNOWN, exc.run_state)
        self.assertEqual(len(target.heads) - 1, target.connections)

    async def test_idempotent_work_goes_elsewhere(self) -> None:
        for behave in (
            reset_connection,
            respond_with(TRUNCATED_RESPONSE),
            respond_late,
            respond_with(SHED_HEAD + NOT_RUN_HEADER),
        ):
            with self.subTest(behave):
                await self.asyncSetUp()
                await self.add_target(behave)
                await self.add_target(respond_with(WHOLE_RESPONSE))
                for number in range(4):
                    response = await self.forward(f"/{number}")
                    self.assertEqual(response.body, b"ok")

    async def test_no_slot_is_refused_in_time(self) -> None:
        target = await self.add_target(respond_late, slots=1)
        first = asyncio.create_task(self.forward("/1"))
        await asyncio.sleep(0.05)
        with mock.patch("wigeonford.entry._slots.MAX_WAIT_S", 0.05):
            exc = await self.expect_rejection(path="/2")
        self.assertEqual(exc.code, Code.NO_CAPACITY)
        self.assertIsNotNone(exc.retry_after_s)
        self.assertEqual(len(target.heads), 1)
        await asyncio.gather(first, return_exceptions=True)

    async def test_leaving_target_gets_no_new_work(self) -> None:
        target = await self.add_target(respond_with(WHOLE_RESPONSE))
        port = target.server.sockets[0].getsockname()[1]
        await self.forward("/1")
        self.announce(port, sequence=5, leaving=True)
        with contextlib.suppress(RequestRejected):
            self.announce(port, sequence=4)
        exc = await self.expect_rejection(path="/2")
        self.assertIn(exc.code, (Code.NO_TARGET, Code.NO_CAPACITY))
        self.assertEqual(len(target.heads), 1)
        self.announce(port, sequence=6)
        self.assertEqual((await self.forward("/3")).body, b"ok")


class ConnectionTest(DispatchCase):
    """Replace unreliable connections and release unused slots."""

    async def _add_silent_target(self) -> FakeTarget:
        async def behave(
            target: FakeTarget, _head: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if len(target.heads) > 1 and target.connections == 1:
                await asyncio.sleep(9)
            writer.write(WHOLE_RESPONSE)

        return await self.add_target(behave)

    async def test_silent_connection_is_left_before_its_target(self) -> None:
        self.service = Service("catalogue", timeout_s=1.5)
        elapsed_s = []
        for fraction in (0.05, 9.0):
            await self.asyncSetUp()
            self.service = Service("catalogue", timeout_s=1.0)
            constant = "wigeonford.entry._attempt.DEFAULT_FIRST_BYTE_FRACTION"
            with mock.patch(constant, fraction):
                await self._add_silent_target()
                await self.forward("/1")
                started_s = time.monotonic()
                with contextlib.suppress(RequestRejected):
                    await self.forward("/2")
                elapsed_s.append(time.monotonic() - started_s)
        self.assertLess(elapsed_s[0], elapsed_s[1] / 2)

    async def test_answers_that_would_come_too_late_are_not_run(self) -> None:
        self.service = Service("catalogue", timeout_s=0.5)
        target = await self.add_target(respond_with(WHOLE_RESPONSE))
        for _ in range(40):
            self.dispatcher._attempts.latency("catalogue").add(2.0)
        rejected_count = 0
        for number in range(40):
            try:
                await self.forward(f"/{number}")
            except RequestRejected as exc:
                self.assertEqual(exc.code, Code.DEADLINE_EXCEEDED)
                self.assertEqual(exc.run_state, RunState.NOT_RUN)
                rejected_count += 1
        self.assertEqual(len(target.heads), 40 - rejected_count)
        self.assertIn(rejected_count, range(36, 40))

    async def test_non_idempotent_work_takes_a_fresh_connection(self) -> None:
        target = await self.add_target(respond_with(WHOLE_RESPONSE))
        await self.forward("/1")
        await self.forward("/2", idempotent=False)
        self.assertEqual(target.connections, 2)

    async def test_abandoned_answer_gives_its_slot_back(self) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % BIG_BODY_BYTES
        )
        target = await self.add_target(
            respond_with(head + b"x" * BIG_BODY_BYTES), slots=1
        )
        port = target.server.sockets[0].getsockname()[1]
        response = await self.forward()
        self.assertEqual(self.slots.in_use(f"127.0.0.1:{port}"), 1)
        del response
        self.assertEqual(self.slots.in_use(f"127.0.0.1:{port}"), 0)
        response = await self.forward()
        self.assertEqual(len(await read_body(response)), BIG_BODY_BYTES)
        self.assertEqual(target.connections, 2)

    async def test_upload_waits_for_a_target_that_stops_reading(self) -> None:
        target = await self.add_target(respond_with(b""))
        target.read_bodies = False
        sent_bytes = 0

        async def body() -> AsyncIterator[bytes]:
            nonlocal sent_bytes
            for _ in range(512):
                sent_bytes += 65536
                yield b"x" * 65536

        exc = await self.expect_rejection(idempotent=False, body=body())
        self.assertEqual(exc.run_state, RunState.UNKNOWN)
        self.assertLess(sent_bytes, 512 * 65536)

    async def test_hedge_passes_a_slow_target(self) -> None:
        is_slow = False

        async def behave(
            _target: FakeTarget, _head: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if is_slow:
                await asyncio.sleep(0.25)
            writer.write(WHOLE_RESPONSE)

        first = await self.add_target(behave)
        second = await self.add_target(respond_with(WHOLE_RESPONSE))
        for number in range(40):
            await self.forward(f"/{number}")
        is_slow = True
        started_s = time.monotonic()
        response = await self.forward("/hedged")
        elapsed_s = time.monotonic() - started_s
        self.assertEqual(response.body, b"ok")
        decision = self.decisions.find("/hedged")
        assert decision is not None, "the decision is recorded"
        if "hedged" in {step.what for step in decision.steps}:
            self.assertLess(elapsed_s, 0.25)
        self.assertTrue(first.heads or second.heads)


class LeavingCallerTest(DispatchCase):
    """Quarantine a request whose callers leave before each crash."""

    async def test_two_targets_fail_at_most(self) -> None:
        async def behave(
            target: FakeTarget, head: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if b"/poison" in head:
                asyncio.get_running_loop().call_later(0.04, target.crash)
                await asyncio.sleep(9)
            writer.write(WHOLE_RESPONSE)

        targets = [await self.add_target(behave) for _ in range(5)]
        for _ in range(4):
            with contextlib.suppress(TimeoutError, RequestRejected):
                async with asyncio.timeout(0.03):
                    await self.forward("/poison")
            await asyncio.sleep(0.7)
        serving_count = sum(target.server.is_serving() for target in targets)
        self.assertGreaterEqual(serving_count, 3)


class PoisonTest(DispatchCase):
    """Quarantine a request before it crashes a third target."""

    async def _add_targets(self) -> list[FakeTarget]:
        async def behave(
            target: FakeTarget, head: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if b"/poison" in head:
                target.crash()
                return
            await asyncio.sleep(0.02)
            writer.write(WHOLE_RESPONSE)

        return [await self.add_target(behave) for _ in range(4)]

    async def test_two_targets_fail_at_most(self) -> None:
        targets = await self._add_targets()
        other_requests = [
            asyncio.create_task(self.forward(f"/{index}"))
            for index in range(6)
        ]
        await asyncio.sleep(0.005)
        exc = await self.expect_rejection(path="/poison")
        self.assertEqual(exc.code, Code.QUARANTINED)
        self.assertEqual(exc.run_state, RunState.UNKNOWN)
        second_rejection = await self.expect_rejection(path="/poison")
        self.assertEqual(second_rejection.code, Code.QUARANTINED)
        self.assertEqual(second_rejection.run_state, RunState.NOT_RUN)
        for response in await asyncio.gather(*other_requests):
            self.assertEqual(response.body, b"ok")
        serving_count = sum(target.server.is_serving() for target in targets)
        self.assertEqual(serving_count, 2)
        for number in range(6):
            response = await self.forward(f"/{number}")
            self.assertEqual(response.body, b"ok")
