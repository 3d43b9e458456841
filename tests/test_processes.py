"""The daemons run as separate processes on loopback."""

import asyncio
import gc
import io
import json
from pathlib import Path
import signal
import sys
import tempfile
from typing import Any
import unittest

import msgspec

from wigeonford.bench import load_deployment
from wigeonford.cli import edits_between, OperatorClient
from wigeonford.daemon import EXIT_FAILED, serve_until_signal
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import CODE_HEADER, fetch, RUN_STATE_HEADER
from wigeonford.settings import Address

SECRETS = {
    "peer": "a-secret-of-the-peers",
    "key_hash": "a-secret-of-the-keys",
    "operator": "a-secret-of-operators",
    "target": "a-secret-of-the-targets",
}
STARTED_EVENT_NUMBER = 100
NOT_SERVED_CODES = ("1200", "1201", "1204", "1205")


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Start a control replica and an entry VM, send requests, stop both."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    async def start(
        self, program: str, settings: dict[str, Any]
    ) -> tuple[asyncio.subprocess.Process, dict[str, Any]]:
        """Start a daemon; return it and the fields of its STARTED event."""
        path = self.folder / f"{program}.jsonc"
        path.write_text(f"// settings\n{json.dumps(settings)}")
        daemon = await asyncio.create_subprocess_exec(
            str(Path(sys.executable).parent / program),
            "--settings",
            str(path),
            stderr=asyncio.subprocess.PIPE,
        )
        assert daemon.stderr is not None, "stderr is not a pipe"
        while True:
            event = json.loads(await daemon.stderr.readline())
            if event.get("number") == STARTED_EVENT_NUMBER:
                return daemon, event

    async def stop(self, daemon: asyncio.subprocess.Process) -> None:
        daemon.send_signal(signal.SIGTERM)
        await daemon.communicate()
        self.assertEqual(daemon.returncode, 0)

    async def test_look_up_and_refusal_through_processes(self) -> None:
        control, ready = await self.start(
            "wigeonford-control",
            {
                "name": "control-1",
                "region": "amman",
                "data_folder": str(self.folder / "data"),
                "secrets": SECRETS,
            },
        )
        operator = OperatorClient(
            (_parse_address(ready["operator"]),),
            SECRETS["operator"],
            "operator",
        )
        objects = load_deployment("guild").objects
        await operator.change("c", edits_between((), objects, prune=False))
        key = await operator.issue_key("k", "guild-office")
        peer = _parse_address(ready["peer"])
        entry, ready = await self.start(
            "wigeonford-entry",
            {
                "name": "amman-a-1",
                "availability_zone": "amman-a",
                "secrets": SECRETS,
                "control": [{"host": peer.host, "port": peer.port}],
            },
        )
        await self.check_responses(_parse_address(ready["address"]), key)
        await self.stop(entry)
        await self.stop(control)

    async def check_responses(self, entry: Address, key: str) -> None:
        lookup = await fetch(entry, "GET", "/.wigeonford/lookup")
        assert isinstance(lookup.body, bytes), "the body is not bytes"
        self.assertEqual(lookup.status, 200)
        msgspec.json.decode(lookup.body)
        headers = ((b"authorization", f"Bearer {key}".encode()),)
        refused = await fetch(entry, "GET", "/catalogue/1", headers)
        # The key is accepted, but there is no target or no token yet.
        self.assertIn(refused.header(CODE_HEADER), NOT_SERVED_CODES)
        self.assertEqual(refused.header(RUN_STATE_HEADER), "not-run")
        unknown = await fetch(entry, "GET", "/catalogue/1")
        self.assertEqual(unknown.header(CODE_HEADER), "1100")


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


class StartTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that fails to start logs the reason and exits with a code."""

    async def test_start_without_its_address(self) -> None:
        class Daemon:
            """Fail to start because the address is in use."""

            async def start(self) -> None:
                raise OSError(98, "address already in use")

            async def stop(self) -> None:
                raise AssertionError(
                    "stop() was called on a daemon that did not start"
                )

        log_output = io.StringIO()
        configure_logging(log_output)
        code = await serve_until_signal(Daemon(), EventLog())
        self.assertEqual(EXIT_FAILED, code)
        fields = json.loads(log_output.getvalue())
        self.assertEqual(107, fields["number"])
        self.assertIn("address already in use", fields["detail"])

    async def test_collector_skips_what_a_daemon_is_built_of(self) -> None:
        class Daemon:
            """Count the objects that a full collection visits at start."""

            visited = 0

            async def start(self) -> None:
                self.visited = len(gc.get_objects())
                raise OSError(98, "address already in use")

            async def stop(self) -> None:
                """Do nothing."""

        self.addCleanup(gc.unfreeze)
        configure_logging(io.StringIO())
        before = len(gc.get_objects())
        daemon = Daemon()
        await serve_until_signal(daemon, EventLog())
        self.assertLess(daemon.visited, before / 10)
