"""Messages between entry VMs and control replicas carry only changes."""

import asyncio
from typing import Any, Final
import unittest

from tests.control_links import make_follower, QuietLink
from tests.test_deployment import make_deployment
from tests.test_late_news import Handlers
from tests.test_view_patches import make_service, publish, StandInReplica
from tests.virtual_time import run_virtual
from wigeonford.control._view_service import ViewService
from wigeonford.errors import Code, PeerError
from wigeonford.peer._frames import encode_frame
from wigeonford.peer._messages import MESSAGES
from wigeonford.steer._suspects import DEATHS_TO_QUARANTINE, SuspectTable

NODE_BYTES_PER_S: Final = 3000.0
"""Bytes per second that an entry VM may exchange with all control replicas
in a fleet of the planned size."""
SUSPECTS: Final = 300
"""Requests whose connections break within some seconds of an incident."""
SETTLE_S: Final = 5.0
MEASURED_S: Final = 10.0


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

    async def close(self) -> None:
        """Return: there is nothing to close."""


async def start_service(handlers: Handlers, epoch: int) -> ViewService:
    """Start the view service of a replica that has one deployment."""
    replica = StandInReplica()
    loop = asyncio.get_running_loop()
    service = make_service(replica, loop.time, epoch)
    service.attach(handlers)  # type: ignore[arg-type]
    await service.start()
    publish(replica, make_deployment(version=1))
    return service


class WatchBytesTest(unittest.TestCase):
    """A VM watches five replicas, as in the users' deployments."""

    async def bytes_per_s(self) -> float:
        """Return the rate on the links once all suspicions are exchanged."""
        loop = asyncio.get_running_loop()
        handlers = Handlers()
        service = await start_service(handlers, 1)
        suspects = SuspectTable()
        follower = make_follower(
            lambda _: CountingLink(handlers), suspects=suspects
        )
        await follower.start()
        for number in range(SUSPECTS):
            fingerprint = number.to_bytes(12, "big")
            suspects.record(fingerprint, f"i-{number:010x}", loop.time())
        await asyncio.sleep(SETTLE_S)
        CountingLink.total_bytes = 0
        await asyncio.sleep(MEASURED_S)
        total_bytes = CountingLink.total_bytes
        await follower.stop()
        await service.stop()
        return total_bytes / MEASURED_S

    def test_suspicions_that_are_known_are_not_told_again(self) -> None:
        bytes_per_s = run_virtual(self.bytes_per_s())
        self.assertLess(bytes_per_s, NODE_BYTES_PER_S)


class SuspicionSpreadTest(unittest.TestCase):
    """Suspicions reach all entry VMs, also after a replica restarts."""

    async def check_quarantines(self, *, restarted: bool) -> list[bool]:
        """Return for each of two VMs whether it quarantines the request."""
        loop = asyncio.get_running_loop()
        handlers = Handlers()
        service = await start_service(handlers, 1)
        tables = [SuspectTable(), SuspectTable()]
        vms = [
            make_follower(
                lambda _: CountingLink(handlers), name=name, suspects=table
            )
            for name, table in zip("ab", tables, strict=True)
        ]
        await vms[0].start()
        for number in range(DEATHS_TO_QUARANTINE):
            tables[0].record(b"print", f"i-{number}", loop.time())
            await asyncio.sleep(1.0)
        if restarted:
            handlers.clear()
            await service.stop()
            await asyncio.sleep(1.0)
            service = await start_service(handlers, 2)
        await vms[1].start()
        await asyncio.sleep(SETTLE_S)
        quarantined = [
            table.is_quarantined(b"print", loop.time()) for table in tables
        ]
        for vm in vms:
            await vm.stop()
        await service.stop()
        return quarantined

    def test_another_vm_learns_it(self) -> None:
        quarantined = run_virtual(self.check_quarantines(restarted=False))
        self.assertEqual([True, True], quarantined)

    def test_a_replica_that_restarts_is_told_again(self) -> None:
        quarantined = run_virtual(self.check_quarantines(restarted=True))
        self.assertEqual([True, True], quarantined)
