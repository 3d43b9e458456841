"""Follow the control replicas: watch all, stream updates from the nearest."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
import random
import time
from typing import Final

from wigeonford._tasks import (
    cancel_tasks,
    run_supervised,
    run_together,
)
from wigeonford.errors import Code, PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.steering import (
    EntryStatus,
    FetchView,
    FollowView,
    ReportStatus,
    ViewNotice,
    ViewUpdate,
    WatchView,
)
from wigeonford.peer import PeerClient
from wigeonford.settings import Address, parse_address
from wigeonford.steer._control_group import ControlGroup
from wigeonford.steer._hedged_queue import HedgedQueue
from wigeonford.steer._replica_link import (
    LATE_S,
    LINK_TIMEOUT_S,
    LinkReplaced,
    ReplicaLink,
    RetryPause,
)
from wigeonford.steer._report_exchange import ReportExchange
from wigeonford.steer._view import Roster, View, ViewBuilder

Connect = Callable[[Address], PeerClient]

STREAM_CHECK_INTERVAL_S: Final = 0.3
"""Pause between checks whether a replica is the nearest. Replicas that are
nearer reply to their first watch within this time."""
STREAM_WAIT_S: Final = 0.5
"""How long an update that the nearest replica is about to stream is not
fetched from others. The replica learns of a commit with the leader's next
heartbeat, and its messages may queue behind an upload on the VM's link."""
FIRST_FETCH_HEDGE_DELAY_S: Final = 2.0
"""Enough for a large deployment over a narrow link."""
FETCH_HEDGE_DELAY_S: Final = 0.5
"""How long to wait for one replica before another one is asked as well; it may
have died after its notice. A patch takes a round trip, and the shortest bound
for a change to be in force leaves time for three such waits."""
FIRST_VIEW_TIMEOUT_S: Final = 1.0
"""How long the first view waits until most replicas have announced their
revisions; several round trips between regions."""
REPORT_TIMEOUT_S: Final = 0.5
"""How long a graceful shutdown waits for control's acknowledgement."""


class ViewFollower:
    """Watch every control replica and keep the newest view.

    The nearest replica streams all updates as they come, because each further
    message may queue behind uploads on the VM's link. All replicas are
    watched; one that announces a revision which the stream has not delivered
    is asked for the update. While no replica is reachable, the last view stays
    in force.
    """

    def __init__(
        self,
        seeds: Callable[[], tuple[str, ...]],
        status: Callable[[], EntryStatus],
        exchanges: Iterable[ReportExchange],
        connect: Connect,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._seeds = seeds
        self._status = status
        self._exchanges = tuple(exchanges)
        self._connect = connect
        self._log = log
        self._rng = rng
        self._builder = ViewBuilder()
        self._listeners: list[Callable[[View], None]] = []
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._links: dict[str, ReplicaLink] = {}
        self._group = ControlGroup()
        self.leader_changed = asyncio.Event()
        self._first_view_until_s = float("inf")
        self._update_noticed_at_s: float | None = None
        self._fetch_queue = HedgedQueue()
        self._open_streams = 0
        self._view_applied = asyncio.Event()
        self._members_changed = asyncio.Event()
        self._manager: asyncio.Task[None] | None = None
        self.roster = Roster()
        self.view: View | None = None
        self.view_applied_at_s = 0.0

    def add_view_listener(self, listener: Callable[[View], None]) -> None:
        """Add a function that is called with each new view."""
        self._listeners.append(listener)

    @property
    def connected_replicas(self) -> frozenset[str]:
        """Return the addresses of the connected replicas."""
        return self._group.connected

    @property
    def leader(self) -> str | None:
        """Return the address of the leader, None if none is known."""
        return self._group.leader

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the known addresses of control replicas, and the seeds."""
        return tuple(sorted({*self._group.members, *self._seeds()}))

    def running_entries(self) -> dict[str, EntryStatus]:
        """Return the entry VMs that run, by name."""
        return self.roster.entries(time.monotonic())

    async def start(self) -> None:
        """Start watching."""
        self._manager = asyncio.create_task(
            run_supervised(self._manage_watchers, self._log)
        )

    async def stop(self) -> None:
        """Stop watching."""
        tasks = list(self._watchers.values())
        if self._manager is not None:
            tasks.append(self._manager)
        await cancel_tasks(tasks)

    async def report_status(self) -> None:
        """Send this VM's status to every replica at once."""
        message = ReportStatus(self._status())
        await asyncio.gather(
            *(self._report_to(address, message) for address in self.addresses)
        )

    async def _report_to(self, address: str, message: ReportStatus) -> None:
        """Send a status, on the link that is open, if there is one.

        On a full link it takes several times as long to open another one.
        """
        link = self._links.get(address)
        client = (
            self._connect(parse_address(address))
            if link is None
            else link.client
        )
        try:
            await client.request(message, REPORT_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(
                Event.LEAVE_UNCONFIRMED, control=address, detail=str(exc)
            )
        finally:
            if link is None:
                await client.close()

    async def _manage_watchers(self) -> None:
        while True:
            self._drop_ended_watchers()
            if self.view is None:
                self._publish_view()
            addresses = set(self.addresses)
            for address in sorted(addresses - self._watchers.keys()):
                self._watchers[address] = asyncio.create_task(
                    self._watch(address)
                )
            for address in self._watchers.keys() - addresses:
                self._watchers.pop(address).cancel()
                self._group.remove(address)
            self._members_changed.clear()
            try:
                async with asyncio.timeout(1.0):
                    await self._members_changed.wait()
            except TimeoutError:
                continue

    def _drop_ended_watchers(self) -> None:
        """Drop watchers that ended on an error; they are started again."""
        for address, task in list(self._watchers.items()):
            if task.done():
                del self._watchers[address]
                self._group.mark_disconnected(address)
                exc = None if task.cancelled() else task.exception()
                self._log.emit(
                    Event.TASK_FAILED, control=address, detail=repr(exc)
                )

    async def _watch(self, address: str) -> None:
        pause = RetryPause(self._rng)
        link: ReplicaLink | None = None
        try:
            while True:
                link = link or await self._open_link(address)
                if link is not None:
                    ended = link
                    self._links[address] = link
                    try:
                        await self._use_link(address, ended)
                    finally:
                        link = ended.replacement
                        self._links.pop(address, None)
                        await ended.client.close()
                    if ended.has_replied:
                        pause.reset()
                if link is None:
                    await pause.wait()
        finally:
            if link is not None:
                await link.client.close()

    async def _open_link(self, address: str) -> ReplicaLink | None:
        """Return an open link to a replica, None if it doesn't open."""
        client = self._connect(parse_address(address))
        async with AsyncExitStack() as stack:
            stack.push_async_callback(client.close)
            try:
                await client.open(LATE_S)
            except PeerError:
                # That the replica was lost has been logged.
                return None
            stack.pop_all()
        return ReplicaLink(client)

    async def _use_link(self, address: str, link: ReplicaLink) -> None:
        """Follow a replica until the link ends or has a replacement."""
        try:
            await run_together(
                self._run_watches(address, link),
                self._run_stream(address, link),
                self._replace_late(address, link),
                *(
                    exchange.report(link.client)
                    for exchange in self._exchanges
                ),
                *(
                    exchange.follow(
                        link.client,
                        lambda: self._group.is_roster_source(address),
                    )
                    for exchange in self._exchanges
                ),
            )
        except* LinkReplaced:
            pass
        except* PeerError as exc_group:
            self._handle_disconnect(address, str(exc_group.exceptions[0]))

    async def _replace_late(self, address: str, link: ReplicaLink) -> None:
        """Open the replacement of a link while that is late.

        Raise `LinkReplaced` once it is open; the late one stays in use until
        then. If it is slow because this VM's own link is full, what it has
        yet to bring is on its way, and opening another one takes longer.
        """
        pause = RetryPause(self._rng)
        while True:
            await link.wait_until_late()
            self._handle_disconnect(address, f"no reply for {LATE_S} s")
            opened = await self._open_link(address)
            if opened is None:
                await pause.wait()
            elif link.is_late:
                link.replacement = opened
                raise LinkReplaced
            else:
                await opened.client.close()
                pause.reset()

    async def _run_watches(self, address: str, link: ReplicaLink) -> None:
        while True:
            await self._watch_once(address, link)

    async def _run_stream(self, address: str, link: ReplicaLink) -> None:
        """Apply a replica's updates as they come, once it is the nearest.

        Servers don't end streams: one lasts as long as its connection. The
        watch on the same connection detects that it went silent.
        """
        while not self._should_stream(address):
            await asyncio.sleep(STREAM_CHECK_INTERVAL_S)
        self._open_streams += 1
        try:
            request = FollowView(self._builder.revision)
            async for update in link.client.stream_replies(
                request, LINK_TIMEOUT_S
            ):
                assert isinstance(update, ViewUpdate), "the stream of a view"
                if update.since > self._builder.revision:
                    raise PeerError(
                        Code.MESSAGE_INVALID, "the update leaves a gap"
                    )
                self._apply_update(address, update)
                if update.revision > self._builder.revision:
                    # It patches a deployment that another replica's update
                    # has replaced.
                    await self._fetch_from(address, link)
        finally:
            self._open_streams -= 1

    def _should_stream(self, address: str) -> bool:
        """Return whether to stream all updates from a replica.

        The first view is fetched instead, so that a connection that fails
        transfers it only once.
        """
        return self._builder.revision > 0 and self._group.is_nearest(address)

    async def _watch_once(self, address: str, link: ReplicaLink) -> None:
        epoch, roster_revision = self.roster.position_of(address)
        roster_wanted = self._group.is_roster_source(address)
        status = self._status()
        status_known = self._group.knows_status(address, status)
        notice = await link.request(
            WatchView(
                self._builder.revision,
                status.name,
                None if status_known else status,
                epoch if roster_wanted else None,
                roster_revision,
                self._group.control_digest,
                self._group.leader_term,
            )
        )
        assert isinstance(notice, ViewNotice), "the reply to a watch"
        if self._group.apply(address, notice, status):
            self._log.emit(Event.CONTROL_REGAINED, control=address)
        if roster_wanted:
            self._log_unusable(
                address,
                self.roster.apply(address, notice.roster, time.monotonic()),
            )
        if self._group.update_leader(notice):
            self.leader_changed.set()
        if self._group.update_members(notice):
            self._members_changed.set()
            self._log_unusable(address, self._group.unusable_members)
        if notice.revision > self._builder.revision:
            if self._update_noticed_at_s is None:
                self._update_noticed_at_s = time.monotonic()
            await self._fetch(address, link, notice.revision)
        if self.view is None:
            self._publish_view()

    def _log_unusable(self, address: str, unusable: Iterable[str]) -> None:
        for stated in unusable:
            self._log.emit(
                Event.PEER_UNUSABLE, address=repr(stated), control=address
            )

    def _handle_disconnect(self, address: str, detail: str) -> None:
        """Record that a replica can't be heard, and log it once."""
        if not self._group.mark_disconnected(address):
            return
        self._log.emit(
            Event.CONTROL_LOST,
            control=address,
            detail=detail,
            left=len(self._group.connected),
            revision=self._builder.revision,
        )

    async def _fetch(
        self, address: str, link: ReplicaLink, revision: int
    ) -> None:
        """Fetch an update, unless the stream has just delivered it."""
        if self._open_streams:
            await self._wait_for(revision, STREAM_WAIT_S)
        # A full view is large, and a starting fleet requests many at once.
        # Hedging these requests would only slow them all down.
        has_view = self._builder.revision > 0
        await self._fetch_queue.run(
            lambda: revision > self._builder.revision,
            lambda: self._fetch_from(address, link),
            FETCH_HEDGE_DELAY_S if has_view else FIRST_FETCH_HEDGE_DELAY_S,
        )

    async def _wait_for(self, revision: int, timeout_s: float) -> None:
        """Return once a revision is applied, or after the time-out."""
        try:
            async with asyncio.timeout(timeout_s):
                while revision > self._builder.revision:
                    await self._view_applied.wait()
        except TimeoutError:
            return

    async def _fetch_from(self, address: str, link: ReplicaLink) -> None:
        since = self._builder.revision
        update = await link.request(FetchView(since))
        assert isinstance(update, ViewUpdate), "the reply to a fetch"
        self._apply_update(address, update)

    def _apply_update(self, address: str, update: ViewUpdate) -> None:
        before = self._builder.revision
        if not self._builder.apply(update):
            return
        self._view_applied.set()
        self._view_applied = asyncio.Event()
        for target_id, faults in self._builder.take_unusable().items():
            self._log.emit(
                Event.TARGET_UNUSABLE,
                target=target_id,
                detail=faults,
                control=address,
            )
        waited_s = 0.0
        if self._update_noticed_at_s is not None:
            waited_s = time.monotonic() - self._update_noticed_at_s
            self._update_noticed_at_s = None
        self._log.emit(
            Event.VIEW_TAKEN,
            revision=update.revision,
            version=self._builder.version,
            before=before,
            targets=self._builder.target_count,
            changed=len(update.targets),
            removed=len(update.removed),
            control=address,
            waited_s=round(waited_s, 3),
        )
        self._publish_view()

    def _publish_view(self) -> None:
        """Pass the view to the listeners, the first one once it is confirmed.

        A replica that was cut off may have replied first, with data that
        others have withdrawn.
        """
        if self.view is None and not self._is_confirmed():
            return
        view = self._builder.build()
        if view is None:
            return
        self.view = view
        self.view_applied_at_s = time.monotonic()
        for listener in self._listeners:
            try:
                listener(view)
            except Exception as exc:
                # A view is passed on once; the other listeners need it.
                self._log.emit(
                    Event.TASK_FAILED,
                    revision=view.revision,
                    detail=repr(exc),
                    exc_info=exc,
                )

    def _is_confirmed(self) -> bool:
        """Return whether most replicas have replied, and none has newer data.

        After `FIRST_VIEW_TIMEOUT_S` this counts as confirmed.
        """
        if not self._builder.version:
            return False
        now_s = time.monotonic()
        self._first_view_until_s = min(
            self._first_view_until_s, now_s + FIRST_VIEW_TIMEOUT_S
        )
        if now_s >= self._first_view_until_s:
            return True
        return self._group.confirms(self._builder.revision)
