"""Messages between entry VMs and control replicas carry only changes."""

import asyncio
from collections.abc import AsyncIterator, Awaitable
import time
from typing import Any, Final, TypeVar
import unittest

import msgspec

from tests.control_links import make_follower, QuietLink
from tests.limited_fleet import virtual_clock
from tests.test_deployment import make_deployment
from tests.test_late_news import Handlers
from tests.test_view_patches import make_service, publish, StandInReplica
from tests.virtual_time import run_virtual
from wigeonford.control._suspect_service import SuspectService
from wigeonford.control._view_service import ViewService
from wigeonford.errors import Code, PeerError
from wigeonford.messages.steering import ViewNotice, WatchView
from wigeonford.peer._frames import encode_frame
from wigeonford.peer._messages import MESSAGES
from wigeonford.steer import ViewFollower
from wigeonford.suspects import SuspectTable

T = TypeVar("T")

NODE_BYTES_PER_S: Final = 3000.0
"""Bytes per second that an entry VM may exchange with all control replicas
in a fleet of the planned size."""
SUSPECTS: Final = 300
"""Requests whose connections break within some seconds of an incident."""
CRASHES: Final = 4
SETTLE_S: Final = 5.0
MEASURED_S: Final = 10.0


async def in_virtual_clock(coroutine: Awaitable[T]) -> T:
    """Await a coroutine with all clocks on virtual time."""
    with virtual_clock():
        return await coroutine


def count_crash(table: SuspectTable, fingerprint: bytes, number: int) -> None:
    """Count the crash of a target against a request."""
    now_s = time.monotonic()
    incarnation = f"i-{number:010x}/{number}"
    table.begin(incarnation, fingerprint, now_s)
    table.record_crash(incarnation, now_s, now_s)


class CountingLink(QuietLink):
    """Carry messages to a replica, and count their bytes both ways."""

    total_bytes = 0

    def __init__(self, handlers: Handlers) -> None:
        self._handlers = handlers

    async def request(self, record: Any, _timeout_s: float) -> Any:
        """Return the replica's reply; fail while the replica restarts."""
        if not self._handlers:
            raise PeerError(Code.PEER_UNREACHABLE, "restarting")
        reply = await self._handlers[type(record)](record)
        for message in (record, reply):
            CountingLink.total_bytes += len(
                encode_frame(1, MESSAGES.to_tagged_list(message))
            )
        await asyncio.sleep(0.001)
        return reply

    async def stream_replies(
        self, record: Any, _timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield the replica's replies; fail once the replica restarts."""
        if not self._handlers:
            raise PeerError(Code.PEER_UNREACHABLE, "restarting")
        if type(record) not in self._handlers:
            await asyncio.Event().wait()
        handler = self._handlers[type(record)]
        replies = handler(record)
        task = asyncio.ensure_future(anext(replies))
        try:
            while self._handlers.get(type(record)) is handler:
                await asyncio.wait({task}, timeout=0.1)
                if task.done():
                    reply = task.result()
                    CountingLink.total_bytes += len(
                        encode_frame(1, MESSAGES.to_tagged_list(reply))
                    )
                    yield reply
                    task = asyncio.ensure_future(anext(replies))
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        raise PeerError(Code.PEER_UNREACHABLE, "restarting")

    async def close(self) -> None:
        """Return: there is nothing to close."""


async def start_service(handlers: Handlers, epoch: int) -> ViewService:
    """Start the view service of a replica that has one deployment."""
    replica = StandInReplica()
    loop = asyncio.get_running_loop()
    service = make_service(replica, loop.time, epoch)
    service.attach(handlers)  # type: ignore[arg-type]
    SuspectService(loop.time).attach(handlers)  # type: ignore[arg-type]
    await service.start()
    publish(replica, make_deployment(version=1))
    return service


class WatchBytesTest(unittest.TestCase):
    """A VM watches five replicas, as in the users' deployments."""

    async def bytes_per_s(self) -> float:
        """Return the rate on the links once all suspicions are exchanged."""
        handlers = Handlers()
        service = await start_service(handlers, 1)
        suspects = SuspectTable()
        follower = make_follower(
            lambda _: CountingLink(handlers), suspects=suspects
        )
        await follower.start()
        for number in range(SUSPECTS):
            count_crash(suspects, number.to_bytes(12, "big"), number)
        await asyncio.sleep(SETTLE_S)
        CountingLink.total_bytes = 0
        await asyncio.sleep(MEASURED_S)
        total_bytes = CountingLink.total_bytes
        await follower.stop()
        await service.stop()
        return total_bytes / MEASURED_S

    def test_suspicions_that_are_known_are_not_told_again(self) -> None:
        bytes_per_s = run_virtual(in_virtual_clock(self.bytes_per_s()))
        self.assertLess(bytes_per_s, NODE_BYTES_PER_S)


class SuspicionSpreadTest(unittest.TestCase):
    """Suspicions reach all entry VMs, also after a replica restarts."""

    async def check_quarantines(
        self, *, restarted: bool, is_reporter_gone: bool = False
    ) -> list[bool]:
        """Return for each of two VMs whether it quarantines the request."""
        loop = asyncio.get_running_loop()
        handlers = Handlers()
        service = await start_service(handlers, 1)
        tables = [SuspectTable("a"), SuspectTable("b")]

        def make_vm(name: str, table: SuspectTable) -> ViewFollower:
            return make_follower(
                lambda _: CountingLink(handlers), name=name, suspects=table
            )

        vms = [
            make_vm(name, table)
            for name, table in zip("ab", tables, strict=True)
        ]
        await vms[0].start()
        for number in range(CRASHES):
            count_crash(tables[0], b"print", number)
            await asyncio.sleep(1.0)
        if is_reporter_gone:
            await vms[1].start()
            await asyncio.sleep(SETTLE_S)
            await vms[0].stop()
            tables[0] = SuspectTable("a")
        if restarted:
            handlers.clear()
            await service.stop()
            await asyncio.sleep(1.0)
            service = await start_service(handlers, 2)
        if is_reporter_gone:
            vms[0] = make_vm("a", tables[0])
            await vms[0].start()
        else:
            await vms[1].start()
        await asyncio.sleep(SETTLE_S)
        standings = [table.standing(b"print", loop.time()) for table in tables]
        for standing in standings:
            self.assertEqual(CRASHES, len(standing.crashes))
        quarantined = [standing.wait_s > 0 for standing in standings]
        for vm in vms:
            await vm.stop()
        await service.stop()
        return quarantined

    def test_another_vm_learns_it(self) -> None:
        quarantined = run_virtual(
            in_virtual_clock(self.check_quarantines(restarted=False))
        )
        self.assertEqual([True, True], quarantined)

    def test_a_replica_that_restarts_is_told_again(self) -> None:
        quarantined = run_virtual(
            in_virtual_clock(self.check_quarantines(restarted=True))
        )
        self.assertEqual([True, True], quarantined)

    def test_another_vm_tells_it_once_the_reporter_has_restarted(self) -> None:
        quarantined = run_virtual(
            in_virtual_clock(
                self.check_quarantines(restarted=True, is_reporter_gone=True)
            )
        )
        self.assertEqual([True, True], quarantined)


class EarlierBuildTest(unittest.TestCase):
    """Watches of the build before suspicions had a stream of their own."""

    def test_notice_is_read_in_both_directions(self) -> None:
        sent = [7, None, None, [[b"print", ["i-1"]]], ["r", "z"]]
        notice = msgspec.convert([*sent, True, "a:1", 3, 9], ViewNotice)
        self.assertEqual(("r", "z"), notice.location)
        self.assertEqual(("a:1", 3), (notice.leader, notice.term))
        fields = msgspec.to_builtins(
            ViewNotice(7, None, None, location=("r", "z"), term=3)
        )
        self.assertEqual([7, None, None, (), ("r", "z")], fields[:5])

    def test_watch_is_read(self) -> None:
        sent = [7, "vm", None, 1, 2, 3, 4, [[b"print", ["i-1"]]], 9]
        self.assertEqual(4, msgspec.convert(sent, WatchView).term)
