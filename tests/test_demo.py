"""Requests from caller to target on loopback, and invalid requests."""

import asyncio
import io
import logging
from pathlib import Path
import tempfile
import unittest

from wigeonford.bench import load_deployment, LocalFleet, run_demo
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import CODE_HEADER, fetch, Headers, Response


class DemoTest(unittest.TestCase):
    """Run a short demo of each deployment."""

    def test_demo_answers_everything(self) -> None:
        for name in ("guild", "authority"):
            with self.subTest(deployment=name):
                report = asyncio.run(run_demo(name, 60, 7, quiet=True))
                self.assertTrue(report.passed, report.data)


def _bearer_headers(key: str) -> Headers:
    return ((b"authorization", f"Bearer {key}".encode()),)


class FrontTest(unittest.IsolatedAsyncioTestCase):
    """Send invalid and valid requests to a running entry VM."""

    async def asyncSetUp(self) -> None:
        self.log_output = io.StringIO()
        configure_logging(self.log_output, logging.INFO)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = LocalFleet(
            load_deployment("guild"), Path(folder.name), EventLog()
        )
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.entry = self.fleet.entries["amman-a-1"].address

    async def send(
        self, method: str, path: str, headers: Headers = ()
    ) -> tuple[Response, int]:
        response = await fetch(self.entry, method, path, headers)
        return response, int(response.header(CODE_HEADER) or -1)

    async def test_refusals_carry_their_numbers(self) -> None:
        key = self.fleet.keys["guild-office"]
        unknown_key = "wfk_0123456789ab_never-issued"
        cases = (
            ("GET", "/catalogue/1", (), 1100),
            ("GET", "/catalogue/1", _bearer_headers(unknown_key), 1101),
            ("GET", "/nowhere", _bearer_headers(key), 1007),
            ("DELETE", "/catalogue/1", _bearer_headers(key), 1008),
            ("POST", "/.wigeonford/targets", (), 2100),
            ("POST", "/.wigeonford/targets", _bearer_headers("wrong"), 2101),
            ("GET", "/.wigeonford/nothing", (), 1007),
        )
        for method, path, headers, number in cases:
            with self.subTest(path=path, number=number):
                _, code = await self.send(method, path, headers)
                self.assertEqual(code, number)
        self.assertNotIn(key, self.log_output.getvalue())
        self.assertNotIn(unknown_key, self.log_output.getvalue())

    async def test_withdrawn_key_stops(self) -> None:
        key = self.fleet.keys["guild-office"]
        await self.fleet.operator_client().withdraw_key("w", key.split("_")[1])
        code = 0
        for _ in range(60):
            await asyncio.sleep(0.1)
            _, code = await self.send(
                "GET", "/catalogue/1", _bearer_headers(key)
            )
            if code == 1102:
                break
        self.assertEqual(code, 1102)

    async def test_metrics_and_health(self) -> None:
        await self.send(
            "GET",
            "/catalogue/1",
            _bearer_headers(self.fleet.keys["guild-office"]),
        )
        metrics, _ = await self.send("GET", "/metrics")
        assert isinstance(metrics.body, bytes), "the body is not bytes"
        self.assertIn(b'account="guild-office"', metrics.body)
        self.assertIn(b'class="interactive"', metrics.body)
        health, _ = await self.send("GET", "/health")
        self.assertEqual(health.status, 200)
