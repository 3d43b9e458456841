"""Orders that are read or delivered after their caller has left."""

import asyncio
from collections.abc import Awaitable
import contextlib
import socket
from typing import Any
import unittest

from tests.test_deployment import make_announcement
from tests.test_full_disk import GroupTestCase, NAMES
from tests.virtual_time import run_virtual
from wigeonford.bench import find_free_address
from wigeonford.control import ColdClock, TargetService
from wigeonford.control._commands import ExpireMember
from wigeonford.events import EventLog
from wigeonford.http import (
    check_caller,
    HttpServer,
    json_response,
    Request,
    Response,
)
from wigeonford.messages.raft import SubmitCommand
from wigeonford.peer import NotLeaderError
from wigeonford.platform._control_api import ControlApi
from wigeonford.settings import Address, CallerLimits

ZONE = "south-a"
PATIENCE_S = 1.0
DELAYS_S = (0.5, 0.9, 1.5, 4.0, 10.0)
START, END = "POST", "DELETE"


class LateOrderTest(GroupTestCase):
    """Hold an order up on its way, beside orders that come later."""

    def setUp(self) -> None:
        super().setUp()
        self.hold_s = 0.0
        self.held: set[asyncio.Task[Any]] = set()

    async def start_group(self) -> list[str]:
        """Start the group; return its names, the leader's first."""
        leader = await self.start_all()
        self.apis = {}
        self.targets = {}
        for name, replica in self.group.replicas.items():
            self.targets[name] = TargetService(
                replica, ColdClock(), EventLog()
            )
            self.apis[name] = ControlApi(
                replica, self.targets[name], {ZONE: "south"}, EventLog()
            )
        network = self.group._network
        deliver = network.deliver

        async def deliver_late(address: Address, record: Any) -> Any:
            """Deliver a command late, also once its sender has given up."""
            if not isinstance(record, SubmitCommand) or not self.hold_s:
                return await deliver(address, record)
            delay_s, self.hold_s = self.hold_s, 0.0

            async def work() -> Any:
                await asyncio.sleep(delay_s)
                return await deliver(address, record)

            task = asyncio.create_task(work())
            self.held.add(task)
            return await asyncio.shield(task)

        network.deliver = deliver_late  # type: ignore[method-assign]
        return [leader, *(name for name in NAMES if name != leader)]

    def evacuate(
        self, name: str, method: str, *, has_left: bool = False
    ) -> Awaitable[Response]:
        """Order at a replica that the zone's evacuation starts or ends."""
        return self.apis[name].handle(
            Request(
                method,
                f"/evacuation/{ZONE}",
                "",
                (),
                "",
                has_caller_left=lambda: has_left,
            )
        )

    async def order(self, method: str, *names: str) -> None:
        """Send an order to one replica after the other until it answers."""
        for name in names:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PATIENCE_S):
                    response = await self.evacuate(name, method)
                    if response.status == 200:
                        return
        self.fail("the order is not acknowledged")

    async def finish(self) -> None:
        """Let held commands arrive, and stop the group."""
        if self.held:
            await asyncio.wait(self.held)
            for task in self.held:
                task.exception()
        self.held.clear()
        await asyncio.sleep(PATIENCE_S)

    def assert_evacuated(self, expected: bool) -> None:
        for replica in self.group.replicas.values():
            zones = replica.state.steering.evacuations.zones
            self.assertEqual(ZONE in zones, expected)

    # A frozen replica ended an evacuation acknowledged later (review/2).
    def test_order_whose_caller_has_left_is_not_carried_out(self) -> None:
        async def run() -> None:
            leader, other, frozen, *_ = await self.start_group()
            for late_at in (leader, frozen):
                for first, last in ((END, START), (START, END)):
                    with self.subTest(late_at=late_at, last=last):
                        await self.order(last, other)
                        with contextlib.suppress(ConnectionResetError):
                            await self.evacuate(late_at, first, has_left=True)
                        await self.finish()
                        self.assert_evacuated(last == START)
            await self.stop_all()

        run_virtual(run())

    # The same where the command waits on its way to the leader.
    def test_command_that_arrives_late_undoes_no_later_order(self) -> None:
        async def run() -> None:
            _, other, origin, *_ = await self.start_group()
            for delay_s in DELAYS_S:
                for first, last in ((END, START), (START, END)):
                    with self.subTest(delay_s=delay_s, last=last):
                        await self.order(last, other)
                        self.hold_s = delay_s
                        await self.order(first, origin, other)
                        await asyncio.sleep(0.2)
                        await self.order(last, other)
                        await self.finish()
                        self.assert_evacuated(last == START)
            await self.stop_all()

        run_virtual(run())

    def test_given_up_command_undoes_no_order_that_changed_nothing(
        self,
    ) -> None:
        async def run() -> None:
            _, other, origin, *_ = await self.start_group()
            await self.order(START, other)
            self.hold_s = 4.0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PATIENCE_S):
                    await self.evacuate(origin, END)
            await self.order(START, other)
            await self.finish()
            self.assert_evacuated(True)
            await self.stop_all()

        run_virtual(run())

    def test_orders_at_once_and_resent_ones_are_all_acknowledged(self) -> None:
        async def run() -> None:
            names = await self.start_group()
            orders = [(name, START) for name in names] * 2
            for method in (START, END):
                responses = await asyncio.gather(
                    *(self.evacuate(name, method) for name, _ in orders[:8])
                )
                self.assertEqual([200] * 8, [r.status for r in responses])
                await self.finish()
                self.assert_evacuated(method == START)
            await self.stop_all()

        run_virtual(run())

    async def withdraw(self, name: str, *, has_left: bool = False) -> Response:
        return await self.apis[name].handle(
            Request(
                "DELETE",
                "/instances/t-1",
                "",
                (),
                "",
                has_caller_left=lambda: has_left,
            )
        )

    # A late DELETE removed a target that had started again (review/4).
    def test_late_withdrawal_leaves_the_next_incarnation(self) -> None:
        async def run() -> None:
            leader, other, origin, *_ = await self.start_group()
            born_ms = 1000
            for late_at in (leader, origin):
                for delay_s in (0.0, *DELAYS_S):
                    born_ms += 10
                    await self.check_withdrawal(
                        late_at, other, born_ms, delay_s
                    )
            await self.stop_all()

        run_virtual(run())

    async def check_withdrawal(
        self, late_at: str, other: str, born_ms: int, delay_s: float
    ) -> None:
        """Withdraw a target, let it start again, then withdraw it late."""
        targets = self.targets[other]
        await targets.announce(make_announcement(born_ms=born_ms))
        if delay_s:
            self.hold_s = delay_s
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PATIENCE_S):
                    await self.withdraw(late_at)
            self.hold_s = 0.0
        self.assertEqual(200, (await self.withdraw(other)).status)
        await targets.announce(make_announcement(born_ms=born_ms + 1))
        if not delay_s:
            with contextlib.suppress(ConnectionResetError):
                await self.withdraw(late_at, has_left=True)
        await self.finish()
        for replica in self.group.replicas.values():
            known = replica.state.steering.targets.get("t-1")
            assert known is not None, f"removed at {late_at}, {delay_s} s late"
            self.assertEqual(born_ms + 1, known.announced.born_ms)

    # What an earlier leader had decided was passed on to its successor.
    def test_decision_of_an_earlier_term_is_not_proposed(self) -> None:
        async def run() -> None:
            leader, other, *_ = await self.start_group()
            replica = self.group.replicas[leader]
            term = replica.term
            await replica.propose_in_term(ExpireMember("vm", 1), term)
            for name, in_term in ((leader, term - 1), (other, term)):
                with self.assertRaises(NotLeaderError):
                    await self.group.replicas[name].propose_in_term(
                        ExpireMember("vm", 2), in_term
                    )
            await self.stop_all()

        run_virtual(run())


class LeftCallerTest(unittest.IsolatedAsyncioTestCase):
    """Read a request and the close of its connection together."""

    async def test_handler_learns_that_its_caller_has_left(self) -> None:
        reached: list[str] = []

        async def handle(request: Request) -> Response:
            reached.append(request.path)
            await check_caller(request.has_caller_left)
            reached.append("carried out")
            return json_response(200, b"{}")

        server = HttpServer(handle, CallerLimits(), EventLog())
        address = find_free_address("127.0.0.1")
        await server.start(address)
        self.addAsyncCleanup(server.stop, 0.0)
        heads = {
            "/bodiless": b"",
            "/empty-body": b"Content-Length: 0\r\n",
            "/chunked": b"Transfer-Encoding: chunked\r\n",
        }
        for path, header in heads.items():
            # The event loop stands still until the caller has closed.
            with socket.create_connection((address.host, address.port)) as s:
                s.sendall(
                    f"DELETE {path} HTTP/1.1\r\nHost: a\r\n".encode()
                    + header
                    + b"\r\n"
                )
        await asyncio.sleep(0.2)
        self.assertNotIn("carried out", reached)
