"""A target whose start time can't be true costs no other target its place."""

from collections.abc import AsyncIterator
import json
from pathlib import Path
import tempfile
import unittest

from tests.test_deployment import make_deployment
from wigeonford.control import (
    ColdClock,
    LogFileStore,
    ReplaceDeployment,
    SoloReplica,
    TargetService,
)
from wigeonford.control._target_service import MAX_CLOCK_LEAD_S
from wigeonford.deployment import MAX_COUNT
from wigeonford.events import EventLog
from wigeonford.http import Request
from wigeonford.platform._control_api import ControlApi

NOW_S = 1_800_000_000
NOW_MS = 1000 * NOW_S
LEAD_MS = int(1000 * MAX_CLOCK_LEAD_S)


class StartTimeTest(unittest.IsolatedAsyncioTestCase):
    """Announce targets with start times in the future."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.now_s = float(NOW_S)
        self.replica = SoloReplica(
            "a", LogFileStore(Path(folder.name)), EventLog()
        )
        await self.replica.start()
        self.addAsyncCleanup(self.replica.stop)
        targets = TargetService(
            self.replica,
            ColdClock(),
            EventLog(),
            unix_clock=lambda: self.now_s,
        )
        self.api = ControlApi(
            self.replica, targets, {"south-a": "south"}, EventLog()
        )

    async def announce(
        self,
        target_id: str,
        born_ms: int,
        sequence: int,
        host: str,
        service: str = "s",
    ) -> int:
        document = {
            "address": f"{host}:80",
            "born": born_ms,
            "information": {
                "service": service,
                "version": "v1",
                "zone": "south-a",
                "slots": 4,
            },
            "status": {
                "state": "ready",
                "sequence": sequence,
                "cold_remaining_s": 0,
            },
        }

        async def body() -> AsyncIterator[bytes]:
            yield json.dumps(document).encode()

        request = Request(
            "PUT", f"/instances/{target_id}", "", (), "10.0.0.9", body()
        )
        return (await self.api.handle(request)).status

    def has(self, target_id: str) -> bool:
        targets = self.replica.state.steering.targets
        return targets.get(target_id) is not None

    async def test_far_future_takes_no_address_of_another(self) -> None:
        self.assertEqual(
            200, await self.announce("good", NOW_MS, 1, "10.0.0.1")
        )
        for born_ms in (NOW_MS + LEAD_MS + 1000, MAX_COUNT):
            with self.subTest(born_ms):
                status = await self.announce("odd", born_ms, 1, "10.0.0.1")
                self.assertEqual(400, status)
                self.assertTrue(self.has("good"))
                self.assertFalse(self.has("odd"))
        self.assertEqual(
            200, await self.announce("good", NOW_MS, 2, "10.0.0.1")
        )

    async def test_far_future_does_not_lock_out_its_own_id(self) -> None:
        self.assertEqual(
            400, await self.announce("a", MAX_COUNT, 1, "10.0.0.1")
        )
        self.assertEqual(200, await self.announce("a", NOW_MS, 1, "10.0.0.1"))

    # An announcement for an unknown service ousted a sound target.
    async def test_unknown_service_takes_no_address_of_another(self) -> None:
        deployment = make_deployment()
        self.replica.state.steering.apply(
            ReplaceDeployment(b"1", 0, deployment)
        )
        known = deployment.services[0].name
        self.assertEqual(
            200, await self.announce("good", NOW_MS, 1, "10.0.0.1", known)
        )
        for born_ms in (NOW_MS, NOW_MS + 1):
            status = await self.announce(
                "odd", born_ms, 1, "10.0.0.1", "unknown"
            )
            self.assertEqual(409, status)
        self.assertTrue(self.has("good"))
        self.assertEqual(
            200, await self.announce("good", NOW_MS, 2, "10.0.0.1", known)
        )
        self.assertEqual(
            200, await self.announce("early", NOW_MS, 1, "10.0.0.2", "later")
        )

    async def test_clock_steps_refuse_no_target(self) -> None:
        born_ms = NOW_MS + LEAD_MS - 1000
        self.assertEqual(
            200, await self.announce("ahead", born_ms, 1, "10.0.0.1")
        )
        self.now_s -= 2 * MAX_CLOCK_LEAD_S
        self.assertEqual(
            200, await self.announce("ahead", born_ms, 2, "10.0.0.1")
        )
