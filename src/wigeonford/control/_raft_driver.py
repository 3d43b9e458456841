"""Run a consensus core: feed it, and carry out its effects in order."""

import asyncio
from collections.abc import Callable
import random
from typing import Any, Final

from wigeonford._tasks import end_task
from wigeonford.control._commands import CommandResult, COMMANDS
from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_channel import Channels, PeerChannel
from wigeonford.control._raft_disk import RaftDisk
from wigeonford.control._raft_effects import (
    Apply,
    ChangeRole,
    Effect,
    Role,
    Save,
    SaveInstalled,
    Send,
    SendSnapshot,
)
from wigeonford.control._raft_inbox import (
    Input,
    Proposal,
    Read,
    Received,
    TableChange,
)
from wigeonford.control._raft_members import (
    changed_table,
    find_entry,
    is_command,
)
from wigeonford.control._raft_snapshot import pack_snapshot, unpack_snapshot
from wigeonford.control._raft_waiting import Waiting
from wigeonford.control._replica import ReplicaStatus, ReplicaView
from wigeonford.control._state import State
from wigeonford.control._store import Snapshot, StorageError, Store
from wigeonford.errors import Code
from wigeonford.events import Event, EventLog
from wigeonford.messages.raft import InstallSnapshot
from wigeonford.peer import LeaderElsewhere
from wigeonford.settings import Address, parse_address

TICK_S: Final = 0.05
SNAPSHOT_EVERY: Final = 2000
KEPT_ENTRIES: Final = 4000
SLOW_DISK_S: Final = 0.5
"""Far longer than a sync takes; a leader is given up soon after."""

_Performer = Callable[["RaftDriver", Any], Any]
_PERFORMERS: Final[dict[type[Any], _Performer]] = {}


def _performs(kind: type[Any]) -> Callable[[_Performer], _Performer]:
    def add(function: _Performer) -> _Performer:
        _PERFORMERS[kind] = function
        return function

    return add


class RaftDriver:
    """Own the core, the state and the store.

    Inputs that wait together share one sync. Once storage has failed, the
    replica takes no further part, since it can't keep what it would say.
    """

    def __init__(
        self,
        name: str,
        members: dict[str, Address],
        store: Store,
        channels: Channels,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._members = members
        self._disk = RaftDisk(store)
        self._channels = channels
        self._log = log
        self._clock = clock
        self._inbox: asyncio.Queue[Input] = asyncio.Queue()
        self._core: RaftCore | None = None
        self._task: asyncio.Task[None] | None = None
        self._waiting = Waiting()
        self._failure: str | None = None
        self._position = 0
        self._snapshot_at = 0
        self._led = False
        self._listeners: list[Callable[[], None]] = []
        self.state = State()
        self.vouched_at_s: float | None = None

    @property
    def core(self) -> RaftCore:
        """Return the core."""
        assert self._core is not None, "the driver has been started"
        return self._core

    @property
    def leader(self) -> str | None:
        """Return the leader's name, None too where storage has failed."""
        if self._core is None or self._failure is not None:
            return None
        return self._core.leader

    @property
    def term(self) -> int:
        """Return the latest term known."""
        return self._core.term if self._core is not None else 0

    @property
    def failure(self) -> str | None:
        """Return why this replica takes no part any more, if so."""
        return self._failure

    def start(self, core: RaftCore, state: State) -> None:
        """Begin to run."""
        self._core = core
        self.state = state
        self._position = core.log.base_position
        self._plan_snapshot()
        self._task = asyncio.create_task(self._run())
        self._open_links()

    def _open_links(self) -> None:
        for entry in self.core.log.table:
            channel = self.channel(entry.name)
            if channel is not None and entry.name != self._name:
                channel.open()

    def _plan_snapshot(self) -> None:
        # Replicas that all stopped to save at once would miss heartbeats.
        spread = random.randrange(SNAPSHOT_EVERY)
        self._snapshot_at = self._position + SNAPSHOT_EVERY + spread

    def on_applied(self, listener: Callable[[], None]) -> None:
        """Call a function after each change of the state."""
        self._listeners.append(listener)

    async def stop(self) -> None:
        """Stop running and release the store."""
        await end_task(self._task)
        self._waiting.fail_all(Code.NO_QUORUM, "the replica stops")
        await self._channels.close()
        await self._disk.close()

    def put(self, item: Input) -> None:
        """Hand over something to do."""
        self._inbox.put_nowait(item)

    def require_sound(self) -> None:
        """Raise `StorageError` once storage has failed."""
        if self._failure is not None:
            raise StorageError(self._failure)

    def applied(self, position: int) -> asyncio.Future[Any]:
        """Return a future that is done once a position is applied."""
        return self._waiting.applied(position, self._position)

    def channel(self, name: str) -> PeerChannel | None:
        """Return the channel to a replica, None where it can't be found."""
        address = self._find_address(name)
        return None if address is None else self._channels.to(name, address)

    def _find_address(self, name: str) -> Address | None:
        """Return where a replica is reached.

        One that takes itself into a group is named by its address, so that
        it is found before a table that lists it has arrived.
        """
        address = self._members.get(name)
        if address is not None:
            return address
        entry = find_entry(self.core.log.table, name)
        if entry is not None:
            return Address(entry.host, entry.port)
        return parse_address(name) if ":" in name else None

    async def _run(self) -> None:
        try:
            while True:
                await self._step()
        except StorageError as exc:
            self._fail(Event.STORAGE_FAILED, exc.detail)
        except Exception as exc:
            self._fail(Event.REPLICA_STOPPED, repr(exc))
            raise

    def _fail(self, event: Event, detail: str) -> None:
        self._failure = detail
        self.vouched_at_s = None
        self._log.emit(event, detail=detail)
        # Entries that were under way may yet be committed by the others.
        self._waiting.fail_all(Code.NO_QUORUM, detail)
        while not self._inbox.empty():
            item = self._inbox.get_nowait()
            if not isinstance(item, Received) and not item.fut.done():
                item.fut.set_exception(StorageError(detail))

    async def _step(self) -> None:
        items = await self._take_inputs()
        now_s = self._clock()
        proposals = [item for item in items if isinstance(item, Proposal)]
        for item in items:
            self._feed(item, now_s)
        self._propose(proposals)
        self.core.tick(now_s)
        for effect in self.core.take_effects(now_s):
            await self._perform(effect)
        self._settle()
        await self._maybe_snapshot()

    async def _take_inputs(self) -> list[Input]:
        items: list[Input] = []
        try:
            async with asyncio.timeout(TICK_S):
                items.append(await self._inbox.get())
        except TimeoutError:
            return items
        while not self._inbox.empty():
            items.append(self._inbox.get_nowait())
        return items

    def _feed(self, item: Input, now_s: float) -> None:
        if isinstance(item, Received):
            self.core.receive(item.record, now_s)
        elif isinstance(item, Read):
            self._feed_read(item, now_s)
        elif isinstance(item, TableChange):
            self._feed_change(item)

    def _feed_read(self, item: Read, now_s: float) -> None:
        if self.core.role is not Role.LEADER:
            self._refuse(item.fut)
            return
        self._waiting.add_read(item)
        self.core.request_confirmation(now_s)

    def _feed_change(self, item: TableChange) -> None:
        if not self.core.may_change_table:
            self._refuse(item.fut)
            return
        table = changed_table(self.core.log.table, item.change)
        position = self.core.change_table(table)
        self._waiting.add_entry(position, self.core.term, item.fut)

    def _propose(self, proposals: list[Proposal]) -> None:
        if not proposals:
            return
        first = self.core.propose([item.content for item in proposals])
        for offset, item in enumerate(proposals):
            if first is None:
                self._refuse(item.fut)
            else:
                term = self.core.term
                self._waiting.add_entry(first + offset, term, item.fut)

    def _refuse(self, fut: asyncio.Future[Any]) -> None:
        if not fut.done():
            fut.set_exception(LeaderElsewhere(self.core.leader))

    async def _perform(self, effect: Effect) -> None:
        await _PERFORMERS[type(effect)](self, effect)

    @_performs(Save)
    async def _save(self, effect: Save) -> None:
        saving = asyncio.ensure_future(self._disk.save(effect))
        began_s = self._clock()
        done, _ = await asyncio.wait({saving}, timeout=SLOW_DISK_S)
        if not done:
            self._log.emit(Event.STORAGE_SLOW, entries=len(effect.entries))
        await saving
        if not done:
            took_s = round(self._clock() - began_s, 2)
            self._log.emit(Event.STORAGE_BACK, took_s=took_s)

    @_performs(SaveInstalled)
    async def _install(self, effect: SaveInstalled) -> None:
        await self._disk.save_installed(effect)
        _, content = unpack_snapshot(effect.content)
        self.state = State.restore(content)
        self._position = effect.position
        self._plan_snapshot()
        self._log.emit(Event.SNAPSHOT_INSTALLED, position=effect.position)
        self._notify()

    @_performs(Send)
    async def _send(self, effect: Send) -> None:
        self._send_to(effect.to, effect.record)

    def _send_to(self, name: str, record: Any) -> None:
        channel = self.channel(name)
        if channel is None:
            self._log.emit(Event.PEER_UNKNOWN, peer=name)
            return
        channel.send(record)

    @_performs(SendSnapshot)
    async def _send_snapshot(self, effect: SendSnapshot) -> None:
        snapshot = await self._disk.read_snapshot()
        assert snapshot is not None, "a compacted log has a snapshot"
        message = InstallSnapshot(
            self._name,
            effect.recipient,
            effect.term,
            snapshot.position,
            snapshot.term,
            snapshot.content,
            effect.sent_at_s,
        )
        self._send_to(effect.to, message)

    @_performs(Apply)
    async def _apply(self, effect: Apply) -> None:
        for entry in effect.entries:
            result = CommandResult(Code.OK.number, self.state.revision)
            if is_command(entry.content):
                result = self.state.apply(COMMANDS.decode(entry.content))
            self._position = entry.position
            self._waiting.resolve(entry.position, entry.term, result)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    @_performs(ChangeRole)
    async def _change_role(self, effect: ChangeRole) -> None:
        leads = effect.role is Role.LEADER
        event = Event.LEADER_ELECTED if leads else Event.ROLE_CHANGED
        if self._led and not leads:
            event = Event.LEADER_LOST
        self._led = leads
        self._log.emit(event, role=str(effect.role), term=effect.term)
        if not leads:
            self._waiting.fail_all(Code.NO_QUORUM, "the lead was lost")

    def _settle(self) -> None:
        """Take over what holds now that everything is applied."""
        vouched_at_s = self.core.vouched_at_s(self._clock())
        if vouched_at_s is None:
            return
        if self.vouched_at_s is None or vouched_at_s > self.vouched_at_s:
            self.vouched_at_s = vouched_at_s
        if self.core.role is Role.LEADER:
            self._waiting.confirm_reads(vouched_at_s, self._position)

    async def _maybe_snapshot(self) -> None:
        if self._position < self._snapshot_at:
            return
        position = self._position
        log = self.core.log
        term = log.term_at(position)
        assert term is not None, "applied entries are held"
        content = pack_snapshot(log.table_at(position), self.state.snapshot())
        await self._disk.save_snapshot(Snapshot(position, term, content))
        self._plan_snapshot()
        kept_from = max(position - KEPT_ENTRIES, log.base_position)
        self.core.compact(kept_from)

    def describe(self) -> ReplicaStatus:
        """Return how the replica stands."""
        core = self.core
        lag = {**core.lag(), self._name: 0}
        failed = self._failure is not None
        return ReplicaStatus(
            self._name,
            "failed" if failed else str(core.role),
            core.term,
            core.commit_position,
            core.log.last_position,
            self._failure,
            tuple(
                ReplicaView(
                    entry.name,
                    entry.voter,
                    entry.incarnation,
                    lag.get(entry.name),
                )
                for entry in core.log.table
            ),
        )
