"""Follow the published configuration and hold its freshness lease."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import time
from typing import Final

from wigeonford.config_table import ConfigTable
from wigeonford.errors import PeerError
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.metrics import Metrics
from wigeonford.model import KeyRecord, ObjectSet
from wigeonford.peer import ConfigUpdate, Member, PeerClient, PullConfig

PULL_INTERVAL_S: Final = 0.5
PULL_TIMEOUT_S: Final = 2.0
FRESH_LEASE_S: Final = 4.0
STALE_SOURCE_S: Final = 1.5


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Hold one revision as an entry VM uses it."""

    revision: int
    objects: ObjectSet
    keys_by_digest: dict[bytes, KeyRecord]
    members: dict[str, Member]


EMPTY_CONFIG: Final = EntryConfig(0, ObjectSet({}), {}, {})


class ConfigFollower:
    """Pull changes from control; publish each revision atomically."""

    def __init__(
        self,
        sources: tuple[PeerClient, ...],
        describe: Callable[[], Member | None],
        checks: Checks,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._sources = sources
        self._describe = describe
        self._checks = checks
        self._metrics = metrics
        self._log = log
        self._table = ConfigTable()
        self._fresh_until_s = 0.0
        self._task: asyncio.Task[None] | None = None
        self._source = 0
        self._listeners: list[Callable[[EntryConfig], None]] = []
        self.current = EMPTY_CONFIG

    def on_change(self, listener: Callable[[EntryConfig], None]) -> None:
        """Call `listener` with each new revision."""
        self._listeners.append(listener)

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether a quorum has vouched for the revision lately."""
        return now_s < self._fresh_until_s

    async def start(self) -> None:
        """Begin to follow; return after the first pull that worked."""
        while not await self._pull():
            await asyncio.sleep(PULL_INTERVAL_S)
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for source in self._sources:
            await source.close()

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(PULL_INTERVAL_S)
            await self._pull()

    async def _pull(self) -> bool:
        source = self._sources[self._source % len(self._sources)]
        asked_at_s = time.monotonic()
        message = PullConfig(self._table.revision, self._describe())
        try:
            update = await source.request(message, PULL_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
            self._source += 1
            return False
        return self._accept(update, asked_at_s)

    def _accept(self, update: ConfigUpdate, asked_at_s: float) -> bool:
        if update.revision < self._table.revision:
            self._log.emit(
                Event.CONFIG_OLDER_IGNORED,
                held=self._table.revision,
                offered=update.revision,
            )
            self._source += 1
            return False
        if update.revision > self._table.revision:
            table = self._table.updated(update)
            if table is None:
                self._table = ConfigTable()
                return False
            self._publish(table)
        if update.vouched_age_s is not None:
            vouched_at_s = asked_at_s - update.vouched_age_s
            until_s = vouched_at_s + FRESH_LEASE_S
            self._fresh_until_s = max(self._fresh_until_s, until_s)
        age_s = update.vouched_age_s
        if age_s is None or age_s > STALE_SOURCE_S:
            # This replica is cut off from the others; another may not be.
            self._source += 1
        return True

    def _publish(self, table: ConfigTable) -> None:
        self._checks.require(
            table.revision >= self.current.revision,
            Invariant.CONFIG_NEVER_REVERTS,
            f"{self.current.revision} to {table.revision}",
        )
        self._table = table
        self.current = EntryConfig(
            table.revision,
            table.objects,
            {key.digest: key for _, key in table.keys.values()},
            {name: member for name, (_, member) in table.members.items()},
        )
        self._metrics.revision.set({}, table.revision)
        self._log.emit(Event.CONFIG_APPLIED, revision=table.revision)
        for listener in self._listeners:
            listener(self.current)
