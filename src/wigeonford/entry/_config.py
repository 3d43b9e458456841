"""Pull the published configuration and track whether it is fresh."""

import asyncio
from collections.abc import Callable
import math
import time
from typing import Final
import zlib

from wigeonford._tasks import cancel_task, read_arrived
from wigeonford.entry._published import ConfigPublisher, EntryConfig
from wigeonford.entry._spread import DownstreamMembers, HeartbeatBatch, Parents
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
"""Interval at which the relay of a zone pulls from control."""

MIN_PULL_INTERVAL_S: Final = 0.05
PULL_TIMEOUT_S: Final = 2.0
MAX_HOLD_S: Final = 1.2
"""Longest time for which the reply to a child's pull is delayed."""

PARENT_TIMEOUT_S: Final = 1.8
STALE_S: Final = 2.0
"""Age of a confirmation, or of a contact with control, above which this VM
tries another source."""

FRESH_LEASE_S: Final = 4.0
"""How long a revision may be used after a quorum confirmed it."""

REPORT_INTERVAL_S: Final = 2.0
DRIFT_MARGIN: Final = 0.01


class ConfigFollower:
    """Pull changes from a parent or control; publish each revision.

    Revisions are published atomically and never go back. The freshness
    lease starts when the pull was sent, not when the reply arrived, so that
    network delays only shorten it.
    """

    def __init__(
        self,
        sources: tuple[PeerClient, ...],
        build_description: Callable[[], Member | None],
        parents: Parents,
        checks: Checks,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._sources = sources
        self._build_description = build_description
        self._parents = parents
        self._checks = checks
        self._log = log
        self._downstream = DownstreamMembers()
        self._roster: frozenset[str] = frozenset()
        self._last_upstream: PeerClient | None = None
        self._report_due_s = 0.0
        self._published = ConfigPublisher(checks, metrics, log)
        self._published.on_change(self._follow_roster)
        self._confirmed_at_s: float | None = None
        self._control_contact_at_s: float | None = None
        self._updated = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        # Derived from the name, so that relays spread over the replicas.
        self._source_index = zlib.crc32(parents.name.encode())

    @property
    def current(self) -> EntryConfig:
        """Return the revision in use."""
        return self._published.current

    def on_change(self, listener: Callable[[EntryConfig], None]) -> None:
        """Call `listener` with each new revision."""
        self._published.on_change(listener)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether a quorum recently confirmed the revision."""
        return self.confirmed_age_s(now_s) < FRESH_LEASE_S

    async def is_fresh_by_now(self) -> bool:
        """Return whether the revision is fresh; read what has arrived.

        A process that stood still sees the end of the lease before the reply
        that extended it.
        """
        if not self.is_fresh(time.monotonic()):
            await read_arrived()
        return self.is_fresh(time.monotonic())

    def confirmed_age_s(self, now_s: float) -> float:
        """Return the time since a quorum last confirmed the revision."""
        if self._confirmed_at_s is None:
            return math.inf
        return now_s - self._confirmed_at_s

    async def wait_for_update(self) -> None:
        """Wait for the next reply from a parent or control."""
        await self._updated.wait()

    def attach(self, server: PeerServer) -> None:
        """Register the handler for the pulls of child VMs."""
        server.handle(SpreadPull, self.answer_pull)

    async def start(self) -> None:
        """Start pulling; return after the first successful pull."""
        while not await self._pull():
            await asyncio.sleep(PULL_INTERVAL_S)
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop pulling and close the connections."""
        await cancel_task(self._task)
        for client in (*self._sources, *self._parents.remove_all_clients()):
            await client.close()

    async def answer_pull(self, message: SpreadPull) -> SpreadUpdate:
        """Reply to the pull of a child VM.

        The reply is immediate if the child lacks the current revision or
        this VM lacks descriptions of members. Otherwise it waits for the
        next update of this VM, for at most `MAX_HOLD_S`.
        """
        received_at_s = time.monotonic()
        for member in message.joined:
            self._downstream.record_member(member)
        unknown = self._downstream.record_heartbeats(message.heard)
        if message.revision >= self.current.revision and not unknown:
            try:
                async with asyncio.timeout(MAX_HOLD_S):
                    await self.wait_for_update()
            except TimeoutError:
                pass
        return self._build_reply(message.revision, received_at_s, unknown)

    def _build_reply(
        self,
        child_revision: int,
        received_at_s: float,
        unknown: tuple[str, ...],
    ) -> SpreadUpdate:
        revision = self._published.table.revision
        update = None
        if child_revision < revision:
            update = self._published.table.changes_since(child_revision, None)
        return SpreadUpdate(
            revision,
            _age_s(self._confirmed_at_s, received_at_s),
            _age_s(self._control_contact_at_s, received_at_s),
            update,
            unknown,
        )

    async def _follow(self) -> None:
        succeeded = True
        while True:
            await asyncio.sleep(self._pull_interval_s(succeeded))
            try:
                succeeded = await self._pull()
            except WigeonfordError as exc:
                succeeded = False
                self._log.emit(Event.TASK_FAILED, detail=str(exc))
            for client in self._parents.remove_unused_clients():
                await client.close()

    def _pull_interval_s(self, succeeded: bool) -> float:
        if self._parents.is_flat:
            return PULL_INTERVAL_S
        if self._parents.choose(time.monotonic()) is not None or not succeeded:
            return MIN_PULL_INTERVAL_S
        return TREE_PULL_INTERVAL_S

    async def _pull(self) -> bool:
        parent = self._parents.choose(time.monotonic())
        if parent is None:
            return await self._pull_control()
        return await self._pull_parent(parent)

    async def _pull_control(self) -> bool:
        source = self._sources[self._source_index % len(self._sources)]
        requested_at_s = time.monotonic()
        message = PullConfig(
            self._published.table.revision, self._build_description()
        )
        try:
            update = await source.request(message, PULL_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
            self._source_index += 1
            return False
        if not self._published.accept(update):
            self._source_index += 1
            return False
        self._control_contact_at_s = requested_at_s
        if update.vouched_age_s is not None:
            self._renew_lease(requested_at_s - update.vouched_age_s)
        if self.confirmed_age_s(time.monotonic()) > STALE_S:
            # This replica may be partitioned from the quorum.
            self._source_index += 1
        self._notify_waiters()
        await self._report_members(source)
        return True

    async def _report_members(self, source: PeerClient) -> None:
        """Report the members below this VM in the tree to control."""
        now_s = time.monotonic()
        is_due = (
            now_s >= self._report_due_s or self._downstream.has_descriptions
        )
        if source is self._last_upstream and not is_due:
            return
        # A little less than the interval: otherwise jitter could make the
        # second pull from now too early to report.
        self._report_due_s = now_s + REPORT_INTERVAL_S * 0.9
        batch = self._take_batch(source)
        if not batch.names and not batch.joined:
            return
        message = RosterReport(tuple(sorted(batch.names)), batch.joined)
        try:
            reply = await source.request(message, PULL_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
            self._downstream.restore(batch)
            self._report_due_s = now_s
            self._source_index += 1
            return
        self._downstream.queue_descriptions(reply.unknown)

    def _take_batch(self, client: PeerClient) -> HeartbeatBatch:
        if client is not self._last_upstream:
            self._last_upstream = client
            self._downstream.queue_all_descriptions()
        return self._downstream.take()

    async def _pull_parent(self, parent: Member) -> bool:
        client = self._parents.client_for(parent)
        self._record_own_description()
        batch = self._take_batch(client)
        requested_at_s = time.monotonic()
        message = SpreadPull(
            self._published.table.revision,
            tuple(sorted(batch.names)),
            batch.joined,
        )
        try:
            reply = await client.request(message, PARENT_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
            self._downstream.restore(batch)
            self._suspect_parent(parent)
            return False
        self._downstream.queue_descriptions(reply.unknown)
        if self._apply_reply(reply, requested_at_s):
            return True
        # A parent without recent updates most likely has parents without
        # recent updates, so skip all of them.
        self._parents.suspect_all(time.monotonic())
        self._suspect_parent(parent)
        return False

    def _record_own_description(self) -> None:
        own = self._build_description()
        if own is None:
            self._downstream.forget(self._parents.name)
            return
        self._downstream.record_member(own)

    def _suspect_parent(self, parent: Member) -> None:
        self._parents.suspect(parent, time.monotonic())
        self._log.emit(Event.SPREAD_PARENT_PASSED_OVER, parent=parent.name)

    def _apply_reply(self, reply: SpreadUpdate, requested_at_s: float) -> bool:
        control_contact_at_s = _to_local_time_s(
            reply.reached_age_s, requested_at_s
        )
        oldest_s = time.monotonic() - STALE_S
        if control_contact_at_s is None or control_contact_at_s < oldest_s:
            return False
        if reply.revision < self.current.revision:
            # The parent may be about to catch up. Wait for that while the
            # last known contact with control is not stale.
            return (self._control_contact_at_s or 0.0) >= oldest_s
        if reply.update is not None and not self._published.accept(
            reply.update
        ):
            return False
        if reply.revision != self._published.table.revision:
            return False
        self._control_contact_at_s = control_contact_at_s
        confirmed_at_s = _to_local_time_s(reply.vouched_age_s, requested_at_s)
        if confirmed_at_s is not None:
            self._renew_lease(confirmed_at_s)
        self._notify_waiters()
        return True

    def _follow_roster(self, config: EntryConfig) -> None:
        self._parents.update_roster(config.members.values())
        # Forget members that left the roster. One that is still running
        # is asked for its description again.
        for name in self._roster - config.members.keys():
            self._downstream.forget(name)
        self._roster = frozenset(config.members)
        self._downstream.retain(self._roster)

    def _renew_lease(self, confirmed_at_s: float) -> None:
        now_s = time.monotonic()
        self._checks.require(
            confirmed_at_s <= now_s,
            Invariant.WITHDRAWN_KEY_STOPS,
            f"confirmation {confirmed_at_s - now_s:.3f} s in the future",
        )
        if (
            self._confirmed_at_s is None
            or confirmed_at_s > self._confirmed_at_s
        ):
            self._confirmed_at_s = confirmed_at_s

    def _notify_waiters(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()


def _age_s(instant_s: float | None, now_s: float) -> float | None:
    return None if instant_s is None else now_s - instant_s


def _to_local_time_s(
    age_s: float | None, requested_at_s: float
) -> float | None:
    """Convert an age sent by a parent to the earliest local time."""
    if age_s is None:
        return None
    # Assume the largest clock drift that the margin allows.
    return requested_at_s - age_s - abs(age_s) * DRIFT_MARGIN
