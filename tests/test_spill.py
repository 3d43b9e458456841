"""Spill-over to other regions: the choice of a region, and hops."""

import asyncio
import dataclasses
import io
import logging
from pathlib import Path
import tempfile
import time
import unittest

from tests.callers import fetch_when_leased
from wigeonford.bench import Deployment, load_deployment, LocalFleet
from wigeonford.bench._settings import BENCH_SECRETS
from wigeonford.entry._hop import hop_headers
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import CODE_HEADER, Headers, Response
from wigeonford.model import ObjectSet
from wigeonford.policy import admits_remote, SpillWindows

REGIONS = ("b", "c")
PATH = "/catalogue/items/1"


class SpillWindowsTest(unittest.TestCase):
    """Choose regions at simulated times."""

    def test_a_full_region_is_asked_seldom(self) -> None:
        windows = SpillWindows()
        sent_count = 0
        for step in range(6000):
            now_s = step / 100
            if windows.choose("s", ("b",), now_s) is not None:
                sent_count += 1
                windows.begin("b", "s")
                windows.end("b", "s", accepted=False, now_s=now_s)
        self.assertLess(sent_count, 25)

    def test_a_region_that_takes_work_gets_more_at_once(self) -> None:
        windows = SpillWindows()
        for _ in range(200):
            windows.begin("b", "s")
            windows.end("b", "s", accepted=True, now_s=0.0)
        in_flight = 0
        while windows.choose("s", ("b",), 0.0) is not None:
            windows.begin("b", "s")
            in_flight += 1
        self.assertGreater(in_flight, 15)
        self.assertLess(in_flight, 30)

    def test_another_region_serves_while_one_is_closed(self) -> None:
        windows = SpillWindows()
        windows.begin("c", "s")
        windows.end("c", "s", accepted=False, now_s=0.0)
        self.assertEqual(windows.choose("s", REGIONS, 0.1), "b")
        self.assertEqual(windows.choose("other", REGIONS, 0.1), "c")
        self.assertIsNone(windows.choose("s", ("c",), 0.1))
        self.assertAlmostEqual(windows.retry_after_s("s", ("c",), 0.1), 0.4)
        self.assertEqual(windows.choose("s", ("c",), 0.6), "c")

    def test_a_region_keeps_headroom_and_room_for_its_own(self) -> None:
        cases = (
            (20, 17, 0.0, True),
            (20, 18, 0.0, False),
            (20, 14, 0.3, False),
            (0, 0, 0.0, False),
        )
        for slots, in_flight, headroom, admitted in cases:
            with self.subTest(slots=slots, in_flight=in_flight):
                self.assertIs(
                    admits_remote(slots, in_flight, headroom), admitted
                )


def _without_links(deployment: Deployment) -> Deployment:
    objects = {
        key: item
        for key, item in deployment.objects.objects.items()
        if key[0] != "links"
    }
    return dataclasses.replace(deployment, objects=ObjectSet(objects))


class HopTest(unittest.IsolatedAsyncioTestCase):
    """Stop all targets of one region of a running fleet."""

    async def start(self, deployment: Deployment) -> None:
        configure_logging(io.StringIO(), logging.INFO)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(deployment, Path(folder.name), EventLog())
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.entry = self.fleet.entries["amman-a-1"].address
        await asyncio.gather(
            *(
                target.stop()
                for target in self.fleet.targets
                if target.group.region == "amman"
            )
        )

    async def send(
        self, method: str, path: str, headers: Headers = (), body: bytes = b""
    ) -> tuple[Response, int]:
        key = self.fleet.keys["guild-office"]
        all_headers = (
            (b"authorization", f"Bearer {key}".encode()),
            (b"x-request-id", b"guild-office/1/0"),
            *headers,
        )
        response = await fetch_when_leased(
            self.entry, method, path, all_headers, body
        )
        return response, int(response.header(CODE_HEADER) or -1)

    async def send_until_accepted(self, path: str) -> int:
        """Send until the VM has tokens and link bytes; return the code."""
        until_s = time.monotonic() + 20.0
        code = 0
        while code != 1 and time.monotonic() < until_s:
            _, code = await self.send("GET", path)
            await asyncio.sleep(0.2)
        return code

    async def test_only_a_proven_hop_brings_work_from_elsewhere(
        self,
    ) -> None:
        await self.start(_without_links(load_deployment("guild")))
        await self._check_hops_need_proof()
        await self._check_spill_over_hides_key()

    async def _check_spill_over_hides_key(self) -> None:
        self.assertEqual(await self.send_until_accepted(PATH), 1)
        upload = bytes(200_000)
        idempotency_header = ((b"idempotency-key", b"scan-1"),)
        for _ in range(2):
            _, code = await self.send(
                "POST", "/archive/scans/1", idempotency_header, upload
            )
        self.assertIn(code, (1, 2))
        target_records = self.fleet.target_records
        self.assertEqual(target_records.runs_by_operation, {"scan-1": 1})
        regions = {record.region for record in target_records.run_records}
        self.assertNotIn("amman", regions)
        self.assertEqual(
            {r.side for r in target_records.run_records[:1]}, {"old"}
        )
        self.assertEqual(target_records.wrong_accounts, 0)
        self.assertEqual(target_records.keys_seen, 0)
        self.assertEqual(
            {r.account for r in target_records.run_records}, {"guild-office"}
        )

    async def _check_hops_need_proof(self) -> None:
        account = (b"wigeonford-account", b"salt-studios")
        forged = hop_headers("wrong-secret", "salt", "GET", PATH, "x")
        for headers in (forged, ((b"wigeonford-hop", b"salt"),)):
            response, code = await self.send("GET", PATH, headers)
            self.assertEqual((response.status, code), (403, 1242))
        other_account = hop_headers(
            BENCH_SECRETS.peer, "salt", "GET", PATH, "guild-office"
        )
        _, code = await self.send("GET", PATH, (*other_account, account))
        self.assertEqual(code, 1242)
        proven = hop_headers(
            BENCH_SECRETS.peer, "salt", "GET", PATH, "salt-studios"
        )
        deadline = (b"wigeonford-deadline-ms", b"2000")
        response, code = await self.send(
            "GET", PATH, (*proven, account, deadline)
        )
        self.assertEqual(code, 1243)
        self.assertEqual(response.header(b"wigeonford-run-state"), "not-run")
        self.assertEqual(response.header(b"retry-after"), "1")
        self.assertFalse(self.fleet.target_records.run_records)

    async def test_a_hop_waits_for_its_share_of_the_link(self) -> None:
        await self.start(load_deployment("guild"))
        self.assertEqual(await self.send_until_accepted(PATH), 1)
