"""Control replicas need more memory to start than their limit allows."""

import asyncio
import contextlib
import json
from pathlib import Path
import random
import sys
import time

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from fleet import (  # noqa: E402
    call, CannotRun, configuration, find_leader, Fleet, main, Operator,
    route, service, wait_ready,
)

ZONES = {"south-a": "south", "south-b": "south", "north-a": "north",
         "north-b": "north", "northwest-a": "northwest"}
HOST, KEY = "jepu9.example", "tnfzs989anu6wsjnbanf"
MEMORY_MB = 296
ROUTES = 8 + 2 * 350
CHANGES = 950
MIN_CHANGES = 820
CHANGES_LIMIT_S = 80.0
DOWN_S = 0.8
RESTART_DELAY_S = 0.5
RECOVERY_S = 15.0
READ_BACK_S = 8.0


class Platform:
    """Kill a process over its memory limit, and start ended ones again."""

    def __init__(self, fleet):
        self.fleet, self.record = fleet, fleet.record
        self.ends = {}
        self.is_paused = False
        self.task = asyncio.create_task(self.watch())

    async def watch(self):
        while True:
            if not self.is_paused:
                for process in self.fleet.controls:
                    self.check(process)
            await asyncio.sleep(0.01)

    def check(self, process):
        if process.child.poll() is not None:
            if not hasattr(process, "ended_s"):
                process.ended_s = time.monotonic()
            if time.monotonic() - process.ended_s > RESTART_DELAY_S:
                del process.ended_s
                process.start()
            return
        used_mb = memory_mb(process.child.pid)
        if used_mb > MEMORY_MB:
            self.ends[process.name] = self.ends.get(process.name, 0) + 1
            self.record(f"{process.name} uses {used_mb} MB: killed")
            process.child.kill()
            process.child.wait()
            process.ended_s = time.monotonic()


def memory_mb(pid):
    """Return a process's own memory, without mapped files."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) // 1024
    return 0


async def run(record, trouble):
    fleet = Fleet(record, ZONES, list(ZONES), ["south-a", "north-a"])
    try:
        return await play(record, trouble, fleet)
    finally:
        fleet.end()


async def play(record, trouble, fleet):
    fleet.start()
    operator = Operator(fleet)
    document = configuration(
        "00000001", [service("ledger")], HOST,
        [route(f"r-{n:06x}", f"/lepu{n}/", "ledger") for n in range(ROUTES)],
        KEY,
    )
    answer = await operator.put_configuration(document, "00000000")
    if answer is None or answer.status != 200:
        raise CannotRun("the configuration was not accepted")
    await wait_ready(fleet)
    platform = Platform(fleet)
    try:
        version = await change_often(record, fleet, operator, document)
        if platform.ends:
            return [f"Fault: killed without a restart: {platform.ends}"]
        await show_sizes(record, fleet)
        if trouble:
            platform.is_paused = True
            for control in fleet.controls:
                control.kill()
            record("all processes of the core were killed")
            await asyncio.sleep(DOWN_S)
            for control in fleet.controls:
                control.start()
            platform.is_paused = False
        await asyncio.sleep(RECOVERY_S)
        read = await read_back(record, fleet)
        record(f"ends over the memory limit: {platform.ends}")
        if read is None:
            return [f"CONFIG: {version:08x} was acknowledged; read back at "
                    f"all nodes for {READ_BACK_S} s, later than "
                    f"{RECOVERY_S} s after the kill, it doesn't come"]
        if read < version:
            return [f"CONFIG: {read:08x} read back, {version:08x} was "
                    "acknowledged"]
        return []
    finally:
        platform.task.cancel()


async def change_often(record, fleet, operator, document):
    """Put changed configurations one after the other; return the last."""
    until_s = record.now() + CHANGES_LIMIT_S
    version = 1
    paths = document["hosts"][0]["paths"]
    leader = find_leader(fleet)
    for number in range(CHANGES):
        if record.now() > until_s:
            break
        path = paths[number % ROUTES]
        path["timeout_s"] = round(2 + random.random(), 3)
        document["version"] = f"{version + 1:08x}"
        answer = await operator.order(
            "PUT", "/configuration",
            [("If-Match", f"{version:08x}"),
             ("Content-Type", "application/json")],
            json.dumps(document).encode(), first=[leader],
        )
        if answer is None or answer.status != 200:
            raise CannotRun(f"version {version + 1} was not accepted")
        version += 1
    record(f"{version - 1} changes were acknowledged, {version:08x} last")
    if version - 1 < MIN_CHANGES:
        raise CannotRun("too few changes in the time")
    return version


async def show_sizes(record, fleet):
    for control in fleet.controls:
        size = (control.data / "control.log").stat().st_size
        record(f"{control.name}: {memory_mb(control.child.pid)} MB of memory,"
               f" {size >> 20} MB on disk")


async def read_back(record, fleet):
    """Return the version that a node answers, None if none comes."""
    until_s = record.now() + READ_BACK_S
    while record.now() < until_s:
        for control in fleet.controls:
            address = f"{control.address}:{fleet.control_port}"
            try:
                answer = await call(address, "GET", "/configuration")
            except (OSError, TimeoutError) as exc:
                record(f"read at {control.name}: {type(exc).__name__}")
                continue
            record(f"read at {control.name}: {answer.status}")
            if answer.status == 200:
                return int(json.loads(answer.body)["version"], 16)
        await asyncio.sleep(0.3)
    return None


if __name__ == "__main__":
    main(HERE, run)
