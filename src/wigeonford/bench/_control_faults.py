"""Faults of control replicas and their links, drawn from a seed."""

import asyncio
import random
from typing import Final

from wigeonford.bench._control_cluster import (
    CONTROL_NAMES,
    ControlCluster,
    ENTRY_NAMES,
)
from wigeonford.bench._control_records import ControlRecords
from wigeonford.claims import ClaimService

MAX_DOWN: Final = 2
REPAIR_TIMEOUT_S: Final = 4.0
REPAIR_POLL_S: Final = 0.02
PAUSE_RANGE_S: Final = (0.1, 0.6)
DOWN_RANGE_S: Final = (0.1, 2.0)
PARTITION_RANGE_S: Final = (0.3, 2.5)


class FaultDriver:
    """Inject random faults into a cluster until cancelled."""

    def __init__(
        self,
        cluster: ControlCluster,
        records: ControlRecords,
        rng: random.Random,
    ) -> None:
        self._cluster = cluster
        self._records = records
        self._rng = rng
        self._restarts: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Inject a random fault, pause and repeat, until cancelled."""
        while True:
            draw = self._rng.random()
            if draw < 0.25:
                self._kill()
            elif draw < 0.45:
                await self._wipe_replica()
            elif draw < 0.6:
                await self._partition_one_way()
            elif draw < 0.8:
                await self._isolate(self._rng.choice(CONTROL_NAMES))
            elif draw < 0.9:
                await self._isolate(self._rng.choice(ENTRY_NAMES))
            else:
                self._kill(leader=True)
            await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))

    def _kill(self, *, leader: bool = False) -> None:
        running = sorted(self._cluster.controls)
        if len(CONTROL_NAMES) - len(running) >= MAX_DOWN:
            return
        name = self._rng.choice(running)
        if leader:
            name = self._cluster.controls[name].replica.leader or name
        if name not in self._cluster.controls:
            return
        self._records.faults["kill"] += 1
        self._begin_restart(name, wipe=False)

    def _begin_restart(self, name: str, *, wipe: bool) -> None:
        task = asyncio.create_task(self._restart(name, wipe=wipe))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _wipe_replica(self) -> None:
        """Crash a replica, delete its data folder and restart it.

        Wait first until earlier repairs are complete; give up after a
        timeout. Other faults may follow during the restart.
        """
        try:
            async with asyncio.timeout(REPAIR_TIMEOUT_S):
                while not self._is_repaired():
                    await asyncio.sleep(REPAIR_POLL_S)
        except TimeoutError:
            return
        self._records.faults["lose folder"] += 1
        self._begin_restart(self._rng.choice(CONTROL_NAMES), wipe=True)

    def _is_repaired(self) -> bool:
        """Return whether every replica runs and is a voter by its own log.

        A second data folder is deleted only after the first replica is
        repaired, so that never more than a minority of the replicas has
        lost its votes.
        """
        statuses = [
            daemon.replica.describe()
            for daemon in self._cluster.controls.values()
        ]
        incarnation_tables = {
            status.replicas and _incarnations(status) for status in statuses
        }
        claims_ready = all(
            service.is_ready
            for daemon in self._cluster.controls.values()
            for service in daemon.services
            if isinstance(service, ClaimService)
        )
        return (
            claims_ready
            and len(statuses) == len(CONTROL_NAMES)
            and len(incarnation_tables) == 1
            and all(
                replica.voter
                for status in statuses
                for replica in status.replicas
            )
        )

    async def _restart(self, name: str, *, wipe: bool) -> None:
        await self._cluster.kill(name, self._rng.random())
        if wipe:
            self._cluster.wipe(name)
        await asyncio.sleep(self._rng.uniform(*DOWN_RANGE_S))
        await self._cluster.start_control(name)

    async def _partition_one_way(self) -> None:
        self._records.faults["cut one way"] += 1
        source, target = self._rng.sample(CONTROL_NAMES, 2)
        self._cluster.drop_traffic(source, target)
        await asyncio.sleep(self._rng.uniform(*PARTITION_RANGE_S))
        self._cluster.heal()

    async def _isolate(self, name: str) -> None:
        self._records.faults["isolate"] += 1
        self._cluster.isolate(name)
        await asyncio.sleep(self._rng.uniform(*PARTITION_RANGE_S))
        self._cluster.heal()

    async def finish(self) -> None:
        """Stop dropping data on the links and wait for the restarts."""
        self._cluster.heal()
        await asyncio.gather(*self._restarts)


def _incarnations(status: object) -> tuple[str, ...]:
    replicas = getattr(status, "replicas", ())
    return tuple(replica.incarnation for replica in replicas)
