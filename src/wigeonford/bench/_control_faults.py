"""Faults of control replicas and their links, drawn from a seed."""

import asyncio
import random
from typing import Final

from wigeonford.bench._control_books import ControlBooks
from wigeonford.bench._control_cluster import (
    CONTROL_NAMES,
    ControlCluster,
    ENTRY_NAMES,
)
from wigeonford.claims import ClaimService

MAX_DOWN: Final = 2
WHOLE_TIMEOUT_S: Final = 4.0
WHOLE_POLL_S: Final = 0.02
PAUSE_S: Final = (0.1, 0.6)
DOWN_S: Final = (0.1, 2.0)
CUT_S: Final = (0.3, 2.5)


class FaultDriver:
    """Break a cluster until cancelled."""

    def __init__(
        self, cluster: ControlCluster, books: ControlBooks, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._books = books
        self._rng = rng
        self._restarts: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Draw a fault, wait, and go on."""
        while True:
            draw = self._rng.random()
            if draw < 0.25:
                self._kill()
            elif draw < 0.45:
                await self._lose_folder()
            elif draw < 0.6:
                await self._cut_one_way()
            elif draw < 0.8:
                await self._isolate(self._rng.choice(CONTROL_NAMES))
            elif draw < 0.9:
                await self._isolate(self._rng.choice(ENTRY_NAMES))
            else:
                self._kill(leader=True)
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))

    def _kill(self, *, leader: bool = False) -> None:
        running = sorted(self._cluster.controls)
        if len(CONTROL_NAMES) - len(running) >= MAX_DOWN:
            return
        name = self._rng.choice(running)
        if leader:
            name = self._cluster.controls[name].replica.leader or name
        if name not in self._cluster.controls:
            return
        self._books.faults["kill"] += 1
        self._begin_restart(name, wipe=False)

    def _begin_restart(self, name: str, *, wipe: bool) -> None:
        task = asyncio.create_task(self._restart(name, wipe=wipe))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _lose_folder(self) -> None:
        """Lose a folder once the last repair is done; kill another soon."""
        try:
            async with asyncio.timeout(WHOLE_TIMEOUT_S):
                while not self._is_whole():
                    await asyncio.sleep(WHOLE_POLL_S)
        except TimeoutError:
            return
        self._books.faults["lose folder"] += 1
        self._begin_restart(self._rng.choice(CONTROL_NAMES), wipe=True)

    def _is_whole(self) -> bool:
        """Tell whether every replica runs and is a voter by its own log.

        A second folder is lost only after the first is repaired: more than
        a minority of the votes must never be forgotten at once.
        """
        views = [
            daemon.replica.describe()
            for daemon in self._cluster.controls.values()
        ]
        tables = {view.replicas and _incarnations(view) for view in views}
        claims_ready = all(
            service.is_ready
            for daemon in self._cluster.controls.values()
            for service in daemon.services
            if isinstance(service, ClaimService)
        )
        return (
            claims_ready
            and len(views) == len(CONTROL_NAMES)
            and len(tables) == 1
            and all(
                replica.voter for view in views for replica in view.replicas
            )
        )

    async def _restart(self, name: str, *, wipe: bool) -> None:
        await self._cluster.kill(name, self._rng.random())
        if wipe:
            self._cluster.wipe(name)
        await asyncio.sleep(self._rng.uniform(*DOWN_S))
        await self._cluster.start_control(name)

    async def _cut_one_way(self) -> None:
        self._books.faults["cut one way"] += 1
        source, target = self._rng.sample(CONTROL_NAMES, 2)
        self._cluster.cut(source, target)
        await asyncio.sleep(self._rng.uniform(*CUT_S))
        self._cluster.heal()

    async def _isolate(self, name: str) -> None:
        self._books.faults["isolate"] += 1
        self._cluster.isolate(name)
        await asyncio.sleep(self._rng.uniform(*CUT_S))
        self._cluster.heal()

    async def finish(self) -> None:
        """Heal the links and wait for the restarts."""
        self._cluster.heal()
        await asyncio.gather(*self._restarts)


def _incarnations(view: object) -> tuple[str, ...]:
    replicas = getattr(view, "replicas", ())
    return tuple(replica.incarnation for replica in replicas)
