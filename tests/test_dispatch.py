"""Attempts at targets that fail in each way that they can."""

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
from wigeonford.policy import Ejection

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SHED = b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n"
CUT = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"
UNFRAMED = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok"
STATED = b"wigeonford-run-state: not-run\r\n\r\n"
BIG = 1 << 20

_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)

Behaviour = Callable[["FakeTarget", bytes, asyncio.StreamWriter], Any]


class _Config:
    """Stand for a configuration that is always fresh."""

    def on_change(self, _listener: object) -> None:
        return

    def is_fresh(self, _now_s: float) -> bool:
        return True


class FakeTarget:
    """Answer each request head as a function says."""

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
        with contextlib.suppress(*_ENDS):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                result = self._behave(self, head, writer)
                if isinstance(result, Awaitable):
                    await result
                await writer.drain()
                if not self.read_bodies:
                    await asyncio.sleep(9)


def send(data: bytes) -> Behaviour:
    def behave(_t: FakeTarget, _h: bytes, w: asyncio.StreamWriter) -> None:
        w.write(data)
        if data in (CUT, UNFRAMED):
            w.close()

    return behave


def reset(_t: FakeTarget, _h: bytes, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def late(
    _t: FakeTarget, _h: bytes, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(0.4)
    writer.write(WHOLE)


class DispatchCase(unittest.IsolatedAsyncioTestCase):
    """Dispatch from one entry VM to fake targets."""

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
        ejection = Ejection()
        self.slots = SlotTable(self.peers, self.directory, checks, ejection)
        self.poison_requests = PoisonRequests(self.peers, log)
        self.decisions = DecisionRing()
        self.dispatcher = Dispatcher(
            self.slots,
            self.poison_requests,
            self.decisions,
            checks,
            metrics,
            log,
            ejection,
        )
        self.service = Service("catalogue", timeout_s=0.3)
        self.addAsyncCleanup(self.peers.stop)
        self.addCleanup(self.dispatcher.close)

    async def add(self, behave: Behaviour, slots: int = 4) -> FakeTarget:
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

    async def refused(self, **kwargs: Any) -> RequestRejected:
        with self.assertRaises(RequestRejected) as caught:
            await self.forward(**kwargs)
        return caught.exception


class RunStateTest(DispatchCase):
    """What an answer says of the run is true, and no more than is known."""

    async def test_states_of_a_non_idempotent_request(self) -> None:
        unknown, not_run = RunState.UNKNOWN, RunState.NOT_RUN
        cases: tuple[tuple[str, Behaviour, Code, RunState], ...] = (
            ("reset", reset, Code.ANSWER_BROKEN, unknown),
            ("cut", send(CUT), Code.ANSWER_BROKEN, unknown),
            ("unframed", send(UNFRAMED), Code.ANSWER_BROKEN, unknown),
            ("late", late, Code.ANSWER_TIMEOUT, unknown),
            ("shed", send(SHED + STATED), Code.TARGET_SHED, not_run),
        )
        for name, behave, code, state in cases:
            with self.subTest(name):
                await self.asyncSetUp()
                target = await self.add(behave)
                exc = await self.refused(idempotent=False, path=f"/{name}")
                self.assertEqual((exc.code, exc.run_state), (code, state))
                runs = 1 if state is unknown else len(target.heads)
                self.assertEqual(len(target.heads), runs)

    async def test_refused_connection_is_not_run(self) -> None:
        target = await self.add(send(WHOLE))
        target.crash()
        exc = await self.refused(idempotent=False)
        self.assertEqual(exc.code, Code.CONNECT_FAILED)
        self.assertEqual(exc.run_state, RunState.NOT_RUN)
        self.assertIsNotNone(exc.retry_after_s)

    async def test_plain_503_is_an_answer(self) -> None:
        await self.add(send(SHED + b"\r\n"))
        response = await self.forward(idempotent=False)
        self.assertEqual(response.status, 503)
        self.assertEqual(response.header(b"wigeonford-run-state"), "ran")

    async def test_refusal_after_a_broken_attempt_is_unknown(self) -> None:
        await self.add(send(CUT))
        await self.add(send(SHED + STATED))
        exc = await self.refused()
        self.assertEqual(exc.run_state, RunState.UNKNOWN)
        self.assertIsNone(exc.retry_after_s)

    async def test_idempotent_work_goes_elsewhere(self) -> None:
        for behave in (reset, send(CUT), late, send(SHED + STATED)):
            with self.subTest(behave):
                await self.asyncSetUp()
                await self.add(behave)
                await self.add(send(WHOLE))
                for number in range(4):
                    response = await self.forward(f"/{number}")
                    self.assertEqual(response.body, b"ok")

    async def test_no_slot_is_refused_in_time(self) -> None:
        target = await self.add(late, slots=1)
        first = asyncio.create_task(self.forward("/1"))
        await asyncio.sleep(0.05)
        with mock.patch("wigeonford.entry._slots.MAX_WAIT_S", 0.05):
            exc = await self.refused(path="/2")
        self.assertEqual(exc.code, Code.NO_CAPACITY)
        self.assertIsNotNone(exc.retry_after_s)
        self.assertEqual(len(target.heads), 1)
        await asyncio.gather(first, return_exceptions=True)

    async def test_leaving_target_gets_no_new_work(self) -> None:
        target = await self.add(send(WHOLE))
        port = target.server.sockets[0].getsockname()[1]
        await self.forward("/1")
        self.announce(port, sequence=5, leaving=True)
        with contextlib.suppress(RequestRejected):
            self.announce(port, sequence=4)
        exc = await self.refused(path="/2")
        self.assertIn(exc.code, (Code.NO_TARGET, Code.NO_CAPACITY))
        self.assertEqual(len(target.heads), 1)
        self.announce(port, sequence=6)
        self.assertEqual((await self.forward("/3")).body, b"ok")


class ConnectionTest(DispatchCase):
    """Connections and slots in doubt are let go."""

    async def _silent_target(self) -> FakeTarget:
        async def behave(
            target: FakeTarget, _h: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if len(target.heads) > 1 and target.connections == 1:
                await asyncio.sleep(9)
            writer.write(WHOLE)

        return await self.add(behave)

    async def test_silent_connection_is_left_before_its_target(self) -> None:
        self.service = Service("catalogue", timeout_s=1.5)
        elapsed_s = []
        for part in (0.05, 9.0):
            await self.asyncSetUp()
            self.service = Service("catalogue", timeout_s=1.0)
            name = "wigeonford.entry._attempt.DEFAULT_FIRST_BYTE_FRACTION"
            with mock.patch(name, part):
                await self._silent_target()
                await self.forward("/1")
                started_s = time.monotonic()
                with contextlib.suppress(RequestRejected):
                    await self.forward("/2")
                elapsed_s.append(time.monotonic() - started_s)
        self.assertLess(elapsed_s[0], elapsed_s[1] / 2)

    async def test_answers_that_would_come_too_late_are_not_run(self) -> None:
        self.service = Service("catalogue", timeout_s=0.5)
        target = await self.add(send(WHOLE))
        for _ in range(40):
            self.dispatcher._attempts.latency("catalogue").add(2.0)
        refused = 0
        for number in range(40):
            try:
                await self.forward(f"/{number}")
            except RequestRejected as exc:
                self.assertEqual(exc.code, Code.DEADLINE_EXCEEDED)
                self.assertEqual(exc.run_state, RunState.NOT_RUN)
                refused += 1
        self.assertEqual(len(target.heads), 40 - refused)
        self.assertIn(refused, range(36, 40))

    async def test_non_idempotent_work_takes_a_fresh_connection(self) -> None:
        target = await self.add(send(WHOLE))
        await self.forward("/1")
        await self.forward("/2", idempotent=False)
        self.assertEqual(target.connections, 2)

    async def test_abandoned_answer_gives_its_slot_back(self) -> None:
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % BIG
        target = await self.add(send(head + b"x" * BIG), slots=1)
        port = target.server.sockets[0].getsockname()[1]
        response = await self.forward()
        self.assertEqual(self.slots.in_use(f"127.0.0.1:{port}"), 1)
        del response
        self.assertEqual(self.slots.in_use(f"127.0.0.1:{port}"), 0)
        response = await self.forward()
        self.assertEqual(len(await read_body(response)), BIG)
        self.assertEqual(target.connections, 2)

    async def test_upload_waits_for_a_target_that_stops_reading(self) -> None:
        target = await self.add(send(b""))
        target.read_bodies = False
        sent = 0

        async def body() -> AsyncIterator[bytes]:
            nonlocal sent
            for _ in range(512):
                sent += 65536
                yield b"x" * 65536

        exc = await self.refused(idempotent=False, body=body())
        self.assertEqual(exc.run_state, RunState.UNKNOWN)
        self.assertLess(sent, 512 * 65536)

    async def test_hedge_passes_a_slow_target(self) -> None:
        slow = False

        async def behave(
            _t: FakeTarget, _h: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if slow:
                await asyncio.sleep(0.25)
            writer.write(WHOLE)

        first = await self.add(behave)
        second = await self.add(send(WHOLE))
        for number in range(40):
            await self.forward(f"/{number}")
        slow = True
        started_s = time.monotonic()
        response = await self.forward("/hedged")
        elapsed_s = time.monotonic() - started_s
        self.assertEqual(response.body, b"ok")
        steps = self.decisions.find("/hedged")
        assert steps is not None, "the decision is kept"
        if "hedged" in {step.what for step in steps.steps}:
            self.assertLess(elapsed_s, 0.25)
        self.assertTrue(first.heads or second.heads)


class PoisonTest(DispatchCase):
    """A request that fails its targets is barred before the third."""

    async def _targets(self) -> list[FakeTarget]:
        async def behave(
            target: FakeTarget, head: bytes, writer: asyncio.StreamWriter
        ) -> None:
            if b"/poison" in head:
                target.crash()
                return
            await asyncio.sleep(0.02)
            writer.write(WHOLE)

        return [await self.add(behave) for _ in range(4)]

    async def test_two_targets_fail_at_most(self) -> None:
        targets = await self._targets()
        bystanders = [
            asyncio.create_task(self.forward(f"/{n}")) for n in range(6)
        ]
        await asyncio.sleep(0.005)
        exc = await self.refused(path="/poison")
        self.assertEqual(exc.code, Code.QUARANTINED)
        self.assertEqual(exc.run_state, RunState.UNKNOWN)
        again = await self.refused(path="/poison")
        self.assertEqual(again.code, Code.QUARANTINED)
        self.assertEqual(again.run_state, RunState.NOT_RUN)
        for response in await asyncio.gather(*bystanders):
            self.assertEqual(response.body, b"ok")
        up = sum(target.server.is_serving() for target in targets)
        self.assertEqual(up, 2)
        for number in range(6):
            response = await self.forward(f"/{number}")
            self.assertEqual(response.body, b"ok")
