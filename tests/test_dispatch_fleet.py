"""Dispatch in a full fleet: slots, `explain` and a graceful shutdown."""

import asyncio
import io
import json
from pathlib import Path
import tempfile
import unittest

from tests.callers import fetch_when_leased
from wigeonford.bench import load_deployment, LocalFleet
from wigeonford.bench._settings import BENCH_SECRETS
from wigeonford.cli._commands import build_parser
from wigeonford.errors import ChangeRejected, Code
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import Headers, Response


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Send requests to the entry VMs of one region."""

    async def asyncSetUp(self) -> None:
        configure_logging(io.StringIO())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fleet = LocalFleet(
            load_deployment("guild"), self.folder, EventLog()
        )
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.names = self.fleet.entry_names_in_region("amman")

    async def send(self, name: str, request_id: str) -> Response:
        key = self.fleet.keys["guild-office"]
        headers: Headers = (
            (b"authorization", f"Bearer {key}".encode()),
            (b"x-request-id", request_id.encode()),
        )
        address = self.fleet.entries[name].address
        return await fetch_when_leased(address, "GET", "/catalogue/1", headers)

    async def test_slots_hold_over_all_entry_vms(self) -> None:
        responses = await asyncio.gather(
            *(
                self.send(name, f"guild-office/{name}-{number}")
                for number in range(12)
                for name in self.names
            )
        )
        self.assertIn(200, {response.status for response in responses})
        self.assertEqual(self.fleet.target_records.over_slots, 0)

    async def test_explain_shows_the_attempt(self) -> None:
        await self.send(self.names[0], "guild-office/1")
        settings_path = self.folder / "operator.jsonc"
        fields = {
            "author": "test",
            "operator_secret": BENCH_SECRETS.operator,
        }
        settings_path.write_text(json.dumps(fields))
        address = str(self.fleet.entries[self.names[0]].address)
        options = ["--entry", address, "--settings", str(settings_path)]
        parser = build_parser()
        args = parser.parse_args(["explain", "guild-office/1", *options])
        result = await args.run(args)
        steps = [step["what"] for step in result.data["steps"]]
        self.assertEqual(steps[-2:], ["attempt", "answered"])
        args = parser.parse_args(["explain", "other", *options])
        with self.assertRaises(ChangeRejected) as caught:
            await args.run(args)
        self.assertEqual(caught.exception.code, Code.REQUEST_NOT_KEPT)
        key = self.fleet.keys["guild-office"]
        self.assertNotIn(key, json.dumps(result.data))

    async def test_requests_go_on_after_a_planned_stop(self) -> None:
        await self.fleet.stop_entry(self.names[0], 0.0)
        for number in range(20):
            name = self.names[1 + number % 3]
            response = await self.send(name, f"guild-office/{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(self.fleet.target_records.over_slots, 0)
