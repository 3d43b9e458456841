"""Follow control: hear of news from every replica, get it from one."""

import asyncio
from collections.abc import Callable
import random
import time
from typing import Final

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
from wigeonford.steer._suspects import SuspectBook
from wigeonford.steer._turns import Turns
from wigeonford.steer._view import Roster, View, ViewBuilder

Connect = Callable[[Address], PeerClient]

WATCH_TIMEOUT_S: Final = 2.4
"""A watch is held for 0.7 to 1.5 s; the rest covers a slow link and a
turn."""
STREAM_CHECK_S: Final = 0.3
"""Pause between looks whether a replica is the nearest; others that are
nearer answer their first watch within."""
STREAM_LATE_S: Final = 0.5
"""How long replicas are not asked for news that the nearest one is about to
tell: it hears of a commit with the next heartbeat, and what it tells may wait
behind an upload on the VM's link."""
FETCH_TIMEOUT_S: Final = 2.0
"""A large deployment over a narrow link."""
FETCH_TURN_S: Final = 0.5
"""How long one replica is waited for before the next one is asked too: it
may have died after its notice. A patch takes a round trip, and the users'
shortest bound leaves time for three such waits."""
RETRY_S: Final = 0.25
"""Pause after a failed watch, doubled up to `MAX_RETRY_S`."""
MAX_RETRY_S: Final = 1.0
"""Well within the time in which a regained replica has to be heard."""
FIRST_VIEW_S: Final = 1.0
"""How long the first view waits for most replicas to have told what they
have; several round trips between regions."""
REPORT_TIMEOUT_S: Final = 0.5
"""A planned stop waits no longer for control to know of it."""


class ViewFollower:
    """Watch every control replica and keep the newest view.

    The nearest replica tells all that is new as it comes, since each
    message may wait behind uploads on the VM's link. All replicas are
    watched; one that has news which were not told is asked for them. Without
    control the last view stays in force.
    """

    def __init__(
        self,
        seeds: Callable[[], tuple[str, ...]],
        status: Callable[[], EntryStatus],
        suspects: SuspectBook,
        connect: Connect,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._seeds = seeds
        self._status = status
        self._suspects = suspects
        self._connect = connect
        self._log = log
        self._rng = rng
        self._builder = ViewBuilder()
        self._listeners: list[Callable[[View], None]] = []
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._group = ControlGroup()
        self.leader_news = asyncio.Event()
        self._first_until_s = float("inf")
        self._news_since_s: float | None = None
        self._turns = Turns()
        self._streams = 0
        self._taken = asyncio.Event()
        self._wanted = asyncio.Event()
        self._keeper: asyncio.Task[None] | None = None
        self.roster = Roster()
        self.view: View | None = None
        self.taken_at_s = 0.0

    def on_view(self, listener: Callable[[View], None]) -> None:
        """Call a function with each new view."""
        self._listeners.append(listener)

    @property
    def in_touch(self) -> frozenset[str]:
        """Return the addresses of the replicas in touch."""
        return self._group.in_touch

    @property
    def leader(self) -> str | None:
        """Return the address of the leader, where one was announced."""
        return self._group.leader

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses at which control may be found."""
        return tuple(sorted({*self._group.members, *self._seeds()}))

    def running_entries(self) -> dict[str, EntryStatus]:
        """Return the entry VMs that run, by name."""
        return self.roster.entries(time.monotonic())

    async def start(self) -> None:
        """Begin to follow."""
        self._keeper = asyncio.create_task(self._keep_watchers())

    async def stop(self) -> None:
        """Stop following."""
        tasks = list(self._watchers.values())
        if self._keeper is not None:
            tasks.append(self._keeper)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def report(self) -> None:
        """Tell every replica at once how this VM stands."""
        message = ReportStatus(self._status())
        await asyncio.gather(
            *(self._send(address, message) for address in self.addresses)
        )

    async def _send(self, address: str, message: ReportStatus) -> None:
        client = self._connect(parse_address(address))
        try:
            await client.request(message, REPORT_TIMEOUT_S)
        except PeerError as exc:
            self._log.emit(
                Event.LEAVE_UNCONFIRMED, control=address, detail=str(exc)
            )
        finally:
            await client.close()

    async def _keep_watchers(self) -> None:
        while True:
            self._drop_ended()
            if self.view is None:
                self._publish()
            wanted = set(self.addresses)
            for address in sorted(wanted - self._watchers.keys()):
                self._watchers[address] = asyncio.create_task(
                    self._watch(address)
                )
            for address in self._watchers.keys() - wanted:
                self._watchers.pop(address).cancel()
                self._group.forget(address)
            self._wanted.clear()
            try:
                async with asyncio.timeout(1.0):
                    await self._wanted.wait()
            except TimeoutError:
                continue

    def _drop_ended(self) -> None:
        """Forget watches that ended on an error, so that they begin anew."""
        for address, task in list(self._watchers.items()):
            if task.done():
                del self._watchers[address]
                self._group.lose(address)
                exc = None if task.cancelled() else task.exception()
                self._log.emit(
                    Event.TASK_FAILED, control=address, detail=repr(exc)
                )

    async def _watch(self, address: str) -> None:
        pause_s = RETRY_S
        while True:
            client = self._connect(parse_address(address))
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._watch_on(address, client))
                    group.create_task(self._stream_on(address, client))
            except* PeerError as failed:
                if self._note_lost(address, failed):
                    pause_s = RETRY_S
            finally:
                await client.close()
            await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.3))
            pause_s = min(2 * pause_s, MAX_RETRY_S)

    async def _watch_on(self, address: str, client: PeerClient) -> None:
        while True:
            await self._watch_once(address, client)

    async def _stream_on(self, address: str, client: PeerClient) -> None:
        """Take a replica's news as they come, once it is the nearest.

        Servers end no streams: one lasts as long as its link. The watch on
        the same link finds out if that goes silent.
        """
        while not self._may_stream(address):
            await asyncio.sleep(STREAM_CHECK_S)
        self._streams += 1
        try:
            request = FollowView(self._builder.revision)
            async for update in client.follow(request, FETCH_TIMEOUT_S):
                assert isinstance(update, ViewUpdate), "followed a view"
                self._take(address, update)
                if update.revision > self._builder.revision:
                    # It rests on what another replica has changed since.
                    raise PeerError(Code.MESSAGE_INVALID, "news do not fit")
        finally:
            self._streams -= 1

    def _may_stream(self, address: str) -> bool:
        """Tell whether to be told all that is new by a replica.

        A first view is fetched, so that a link that fails costs it once.
        """
        return self._builder.revision > 0 and self._group.is_nearest(address)

    async def _watch_once(self, address: str, client: PeerClient) -> None:
        epoch, roster_revision = self.roster.known_of(address)
        wanted = self._group.wants_roster(address)
        status = self._status()
        known = self._group.knows_status(address, status)
        told, suspicion_revision = self._group.suspicions_of(address)
        sequence = self._suspects.sequence
        notice = await client.request(
            WatchView(
                self._builder.revision,
                status.name,
                None if known else status,
                epoch if wanted else None,
                roster_revision,
                self._group.members_digest,
                self._group.leader_term,
                self._suspects.own_suspicions_since(told),
                suspicion_revision,
            ),
            WATCH_TIMEOUT_S,
        )
        assert isinstance(notice, ViewNotice), "the answer to a watch"
        if self._group.take(address, notice, status):
            self._log.emit(Event.CONTROL_REGAINED, control=address)
        self._group.note_told(address, sequence)
        if wanted:
            self.roster.take(address, notice.roster, time.monotonic())
        self._suspects.merge(notice.suspicions, time.monotonic())
        if self._group.take_leader(notice):
            self.leader_news.set()
        if self._group.take_members(notice):
            self._wanted.set()
        is_news = notice.revision > self._builder.revision
        if is_news and self._news_since_s is None:
            self._news_since_s = time.monotonic()
        if notice.revision > self._builder.revision:
            await self._fetch(address, client, notice.revision)
        if self.view is None:
            self._publish()

    def _note_lost(
        self, address: str, failed: ExceptionGroup[PeerError]
    ) -> bool:
        """Take note of a lost replica; tell whether it was in touch."""
        if not self._group.lose(address):
            return False
        self._log.emit(
            Event.CONTROL_LOST,
            control=address,
            detail=str(failed.exceptions[0]),
            left=len(self._group.in_touch),
            revision=self._builder.revision,
        )
        return True

    async def _fetch(
        self, address: str, client: PeerClient, revision: int
    ) -> None:
        """Fetch what is new, unless a replica has just given it."""
        if self._streams:
            await self._wait_for(revision, STREAM_LATE_S)
        # A whole view is large, and a fleet that starts asks for many: to
        # ask for it again would only slow them all.
        known = self._builder.revision > 0
        await self._turns.ask(
            lambda: revision > self._builder.revision,
            lambda: self._fetch_from(address, client),
            FETCH_TURN_S if known else FETCH_TIMEOUT_S,
        )

    async def _wait_for(self, revision: int, timeout_s: float) -> None:
        """Return once a revision is taken, or after the time-out."""
        try:
            async with asyncio.timeout(timeout_s):
                while revision > self._builder.revision:
                    await self._taken.wait()
        except TimeoutError:
            return

    async def _fetch_from(self, address: str, client: PeerClient) -> None:
        since = self._builder.revision
        update = await client.request(FetchView(since), FETCH_TIMEOUT_S)
        assert isinstance(update, ViewUpdate), "the answer to a fetch"
        self._take(address, update)

    def _take(self, address: str, update: ViewUpdate) -> None:
        before = self._builder.revision
        if not self._builder.take(update):
            return
        self._taken.set()
        self._taken = asyncio.Event()
        waited_s = 0.0
        if self._news_since_s is not None:
            waited_s = time.monotonic() - self._news_since_s
            self._news_since_s = None
        self._log.emit(
            Event.VIEW_TAKEN,
            revision=update.revision,
            version=self._builder.version,
            before=before,
            targets=self._builder.targets,
            changed=len(update.targets),
            removed=len(update.removed),
            control=address,
            waited_s=round(waited_s, 3),
        )
        self._publish()

    def _publish(self) -> None:
        """Tell the listeners of the view, the first one once it is sure.

        A replica that was cut off may have answered first, with what others
        have withdrawn.
        """
        if self.view is None and not self._is_sure():
            return
        view = self._builder.build()
        if view is None:
            return
        self.view = view
        self.taken_at_s = time.monotonic()
        for listener in self._listeners:
            listener(view)

    def _is_sure(self) -> bool:
        """Tell whether most replicas have told, and none something newer."""
        if not self._builder.version:
            return False
        now_s = time.monotonic()
        self._first_until_s = min(self._first_until_s, now_s + FIRST_VIEW_S)
        if now_s >= self._first_until_s:
            return True
        return self._group.vouches_for(self._builder.revision)
