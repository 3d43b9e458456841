"""Follow the published configuration and hold its freshness lease."""

import asyncio
from collections.abc import Callable
import math
import time
from typing import Final
import zlib

from wigeonford._tasks import end_task
from wigeonford.entry._published import EntryConfig, Published
from wigeonford.entry._spread import HeardBatch, MembersBelow, Parents
from wigeonford.errors import PeerError, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.object import Member, PullConfig
from wigeonford.messages.spread import (
    RosterReport,
    SpreadPull,
    SpreadUpdate,
)
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerClient, PeerServer

PULL_INTERVAL_S: Final = 0.5
TREE_PULL_INTERVAL_S: Final = 1.0
MIN_PULL_INTERVAL_S: Final = 0.05
PULL_TIMEOUT_S: Final = 2.0
HOLD_S: Final = 1.2
PARENT_TIMEOUT_S: Final = 1.8
STALE_S: Final = 2.0
FRESH_LEASE_S: Final = 4.0
REPORT_INTERVAL_S: Final = 2.0
DRIFT_MARGIN: Final = 0.01


class ConfigFollower:
    """Pull changes from a parent or control; publish each revision.

    A revision is published atomically and never an older one. The lease
    counts from when the pull was sent, so that however long the answer
    and the vouch in it travelled, it ends in time.
    """

    def __init__(
        self,
        sources: tuple[PeerClient, ...],
        describe: Callable[[], Member | None],
        parents: Parents,
        checks: Checks,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._sources = sources
        self._describe = describe
        self._parents = parents
        self._checks = checks
        self._log = log
        self._heard = MembersBelow()
        self._roster: frozenset[str] = frozenset()
        self._above: PeerClient | None = None
        self._report_due_s = 0.0
        self._published = Published(checks, metrics, log)
        self._published.on_change(self._follow_roster)
        self._vouched_at_s: float | None = None
        self._reached_at_s: float | None = None
        self._renewed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        # By name, so that relays divide themselves among the replicas.
        self._source = zlib.crc32(parents.name.encode())

    @property
    def current(self) -> EntryConfig:
        """Return the revision in force."""
        return self._published.current

    def on_change(self, listener: Callable[[EntryConfig], None]) -> None:
        """Call `listener` with each new revision."""
        self._published.on_change(listener)

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether a quorum has vouched for the revision lately."""
        return self.vouch_age_s(now_s) < FRESH_LEASE_S

    def vouch_age_s(self, now_s: float) -> float:
        """Return how long ago a quorum vouched at the latest."""
        if self._vouched_at_s is None:
            return math.inf
        return now_s - self._vouched_at_s

    async def renewed(self) -> None:
        """Return at the next word from above."""
        await self._renewed.wait()

    def attach(self, server: PeerServer) -> None:
        """Register the handler of the pulls of VMs below."""
        server.handle(SpreadPull, self.answer_pull)

    async def start(self) -> None:
        """Begin to follow; return after the first pull that worked."""
        while not await self._pull():
            await asyncio.sleep(PULL_INTERVAL_S)
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following."""
        await end_task(self._task)
        for link in (*self._sources, *self._parents.all_links()):
            await link.close()

    async def answer_pull(self, message: SpreadPull) -> SpreadUpdate:
        """Answer a VM below once there is word from above."""
        arrived_at_s = time.monotonic()
        for member in message.joined:
            self._heard.describe(member)
        unknown = self._heard.hear(message.heard)
        if message.revision >= self.current.revision and not unknown:
            try:
                async with asyncio.timeout(HOLD_S):
                    await self.renewed()
            except TimeoutError:
                pass
        return self._spread_update(message.revision, arrived_at_s, unknown)

    def _spread_update(
        self, held: int, arrived_at_s: float, unknown: tuple[str, ...]
    ) -> SpreadUpdate:
        revision = self._published.table.revision
        update = None
        if held < revision:
            update = self._published.table.changes_since(held, None)
        return SpreadUpdate(
            revision,
            _age_s(self._vouched_at_s, arrived_at_s),
            _age_s(self._reached_at_s, arrived_at_s),
            update,
            unknown,
        )

    async def _follow(self) -> None:
        worked = True
        while True:
            await asyncio.sleep(self._interval_s(worked))
            try:
                worked = await self._pull()
            except WigeonfordError as exc:
                worked = False
                self._log.emit(Event.TASK_FAILED, detail=str(exc))
            for link in self._parents.unused():
                await link.close()

    def _interval_s(self, worked: bool) -> float:
        if self._parents.is_flat:
            return PULL_INTERVAL_S
        if self._parents.choose(time.monotonic()) is not None or not worked:
            return MIN_PULL_INTERVAL_S
        return TREE_PULL_INTERVAL_S

    async def _pull(self) -> bool:
        parent = self._parents.choose(time.monotonic())
        if parent is None:
            return await self._pull_control()
        return await self._pull_parent(parent)

    async def _pull_control(self) -> bool:
        source = self._sources[self._source % len(self._sources)]
        asked_at_s = time.monotonic()
        message = PullConfig(self._published.table.revision, self._describe())
        try:
            update = await source.request(message, PULL_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
            self._source += 1
            return False
        if not self._published.accept(update):
            self._source += 1
            return False
        self._reached_at_s = asked_at_s
        if update.vouched_age_s is not None:
            self._renew(asked_at_s - update.vouched_age_s)
        if self.vouch_age_s(time.monotonic()) > STALE_S:
            # This replica may be cut off from the others.
            self._source += 1
        self._wake()
        await self._report(source)
        return True

    async def _report(self, source: PeerClient) -> None:
        """Tell control of the members that were heard below."""
        now_s = time.monotonic()
        is_due = now_s >= self._report_due_s or self._heard.must_describe
        if source is self._above and not is_due:
            return
        # With slack, so that every second round reports.
        self._report_due_s = now_s + REPORT_INTERVAL_S * 0.9
        batch = self._take_heard(source)
        if not batch.names and not batch.joined:
            return
        message = RosterReport(tuple(sorted(batch.names)), batch.joined)
        try:
            answer = await source.request(message, PULL_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
            self._heard.put_back(batch)
            self._report_due_s = now_s
            self._source += 1
            return
        self._heard.wanted(answer.unknown)

    def _take_heard(self, link: PeerClient) -> HeardBatch:
        if link is not self._above:
            self._above = link
            self._heard.everything()
        return self._heard.take()

    async def _pull_parent(self, parent: Member) -> bool:
        link = self._parents.link(parent)
        self._describe_self()
        batch = self._take_heard(link)
        asked_at_s = time.monotonic()
        message = SpreadPull(
            self._published.table.revision,
            tuple(sorted(batch.names)),
            batch.joined,
        )
        try:
            answer = await link.request(message, PARENT_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
            self._heard.put_back(batch)
            self._pass_over(parent)
            return False
        self._heard.wanted(answer.unknown)
        if self._take_answer(answer, asked_at_s):
            return True
        # What starves this parent most likely starves those above it.
        self._parents.suspect_all(time.monotonic())
        self._pass_over(parent)
        return False

    def _describe_self(self) -> None:
        own = self._describe()
        if own is None:
            self._heard.forget(self._parents.name)
            return
        self._heard.describe(own)

    def _pass_over(self, parent: Member) -> None:
        self._parents.suspect(parent, time.monotonic())
        self._log.emit(Event.SPREAD_PARENT_PASSED_OVER, parent=parent.name)

    def _take_answer(self, answer: SpreadUpdate, asked_at_s: float) -> bool:
        reached_at_s = _instant_s(answer.reached_age_s, asked_at_s)
        oldest_s = time.monotonic() - STALE_S
        if reached_at_s is None or reached_at_s < oldest_s:
            return False
        if answer.revision < self.current.revision:
            # It may be about to catch up; when this VM itself last had
            # word of control sets how long there is to wait for that.
            return (self._reached_at_s or 0.0) >= oldest_s
        if answer.update is not None and not self._published.accept(
            answer.update
        ):
            return False
        if answer.revision != self._published.table.revision:
            return False
        self._reached_at_s = reached_at_s
        vouched_at_s = _instant_s(answer.vouched_age_s, asked_at_s)
        if vouched_at_s is not None:
            self._renew(vouched_at_s)
        self._wake()
        return True

    def _follow_roster(self, config: EntryConfig) -> None:
        self._parents.follow(config.members.values())
        # Those that left are forgotten; a live one is asked for its
        # description again.
        for name in self._roster - config.members.keys():
            self._heard.forget(name)
        self._roster = frozenset(config.members)
        self._heard.keep(self._roster)

    def _renew(self, vouched_at_s: float) -> None:
        now_s = time.monotonic()
        self._checks.require(
            vouched_at_s <= now_s,
            Invariant.WITHDRAWN_KEY_STOPS,
            f"a vouch from {vouched_at_s - now_s:.3f} s ahead",
        )
        if self._vouched_at_s is None or vouched_at_s > self._vouched_at_s:
            self._vouched_at_s = vouched_at_s

    def _wake(self) -> None:
        self._renewed.set()
        self._renewed = asyncio.Event()


def _age_s(instant_s: float | None, now_s: float) -> float | None:
    return None if instant_s is None else now_s - instant_s


def _instant_s(age_s: float | None, asked_at_s: float) -> float | None:
    """Return when a parent's age began, at the earliest."""
    if age_s is None:
        return None
    # As if the parent's clock ran as much off as the margin allows.
    return asked_at_s - age_s - abs(age_s) * DRIFT_MARGIN
