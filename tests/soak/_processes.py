"""Run the daemons as local processes."""

import asyncio
import os
from pathlib import Path
import shutil
import signal
import sys
import time
from typing import Final

from tests.soak._plan import CONTROLS, ENTRIES

API_PORT: Final = 8383
READY_PORT: Final = 8384
FRONT_PORT: Final = 8389
PEER_PORT: Final = 7460
GRACE_S: Final = 6.0
EXIT_MARGIN_S: Final = 2.0
"""How long after `GRACE_S` a process that has not exited is killed."""
ZONES: Final = ("zone-a", "zone-b", "zone-c")

_SETTINGS: Final = """
node = "{name}"
ip_address = "{host}"
zone = "{zone}"
region = "region-{zone}"
internal_port_range = [{peer_port}, {last_port}]
seeds = [{seeds}]
bootstrap = {bootstrap}
data_directory = "{data}"
[zones]
zone-a = "region-zone-a"
zone-b = "region-zone-b"
zone-c = "region-zone-c"
[listen]
control = "{host}:{api}"
front = "{host}:{front}"
ready = "{host}:{ready}"
[fault_tolerance]
machines = 1
[bounds]
drain_s = 2.5
grace_s = {grace_s}
retry_budget_ratio = 0.2
budget_slack = 50
quota_slack = 20
"""


class Program:
    """Run one daemon; a restart uses the same data folder."""

    def __init__(
        self, role: str, host: str, zone: str, seeds: str, folder: Path
    ) -> None:
        self.host = host
        self.data = folder / "data"
        self._role = role
        self._zone = zone
        self._seeds = seeds
        self._folder = folder
        self._settings = folder / "settings.toml"
        self._proc: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()
        self.killed_at_s = float("-inf")
        self.data.mkdir(parents=True)

    async def start(self, *, bootstrap: bool = False) -> None:
        """Start the process unless it is running.

        An overlapping fault may have restarted it already. With
        `bootstrap`, a control replica may form a new group.
        """
        async with self._starting:
            if self._proc is None or self._proc.returncode is not None:
                await self._start(bootstrap)

    async def _start(self, bootstrap: bool) -> None:
        self._settings.write_text(
            _SETTINGS.format(
                name=self._folder.name,
                host=self.host,
                zone=self._zone,
                peer_port=PEER_PORT,
                last_port=PEER_PORT + 15,
                seeds=self._seeds,
                bootstrap=str(bootstrap).lower(),
                data=self.data if self._role == "control" else "",
                api=API_PORT,
                front=FRONT_PORT,
                ready=READY_PORT,
                grace_s=GRACE_S,
            )
        )
        with (self._folder / "log.jsonl").open("ab") as log:
            self._proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "wigeonford.platform.daemon",
                self._role,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
                    "WIGEONFORD_CONFIG": str(self._settings),
                },
            )

    def reload(self) -> None:
        """Change the settings file and have the process reload it."""
        with self._settings.open("a") as settings:
            settings.write("# reloaded\n")
        self.send_signal(signal.SIGHUP)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._proc is not None and self._proc.returncode is None:
            self._proc.send_signal(signal_number)

    async def stop(self) -> int:
        """Shut the process down gracefully; return its exit code."""
        self.send_signal(signal.SIGTERM)
        return await self._wait_for_exit(GRACE_S)

    async def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)
        await self._wait_for_exit(GRACE_S)

    async def _wait_for_exit(self, grace_s: float) -> int:
        proc = self._proc
        if proc is None:
            return 0
        try:
            async with asyncio.timeout(grace_s + EXIT_MARGIN_S):
                return await proc.wait()
        except TimeoutError:
            self.killed_at_s = time.monotonic()
            proc.kill()
            return await proc.wait()

    def append_torn_record(self, garbage: bytes) -> None:
        """Append an incomplete record, as after a power loss in a write."""
        with (self.data / "control.log").open("ab") as log:
            log.write(garbage)

    def lose_disk(self) -> None:
        """Delete everything in the data folder."""
        shutil.rmtree(self.data)
        self.data.mkdir()


def make_programs(
    network_prefix: str, folder: Path
) -> tuple[list[Program], list[Program]]:
    """Return control replicas and entry VMs with addresses in 127.x."""
    hosts = [f"{network_prefix}.1.{number + 1}" for number in range(CONTROLS)]
    seeds = ", ".join(f'"{host}:{API_PORT}"' for host in hosts)
    controls = [
        Program(
            "control", host, ZONES[number], seeds, folder / f"core-{number}"
        )
        for number, host in enumerate(hosts)
    ]
    entries = [
        Program(
            "entry",
            f"{network_prefix}.2.{number + 1}",
            ZONES[number],
            seeds,
            folder / f"front-{number}",
        )
        for number in range(ENTRIES)
    ]
    return controls, entries
