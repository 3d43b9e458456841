"""The task that feeds inputs to a Raft core and performs its effects."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
import random
from typing import Any, Final, TypeVar

from wigeonford._tasks import cancel_task
from wigeonford.control._commands import CommandResult
from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_channel import Channels, PeerChannel
from wigeonford.control._raft_disk import RaftDisk, Stored
from wigeonford.control._raft_effects import (
    Apply,
    ChangeRole,
    Effect,
    HardState,
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
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_members import (
    apply_replica_change,
    find_entry,
    is_state_command,
)
from wigeonford.control._raft_outage import StorageOutage
from wigeonford.control._raft_pending import PendingRequests
from wigeonford.control._raft_snapshot import pack_snapshot, unpack_snapshot
from wigeonford.control._replica import (
    apply_entry,
    ReplicaStatus,
    ReplicaView,
)
from wigeonford.control._state import State
from wigeonford.control._store import (
    Snapshot,
    StorageDamagedError,
    StorageError,
    Store,
)
from wigeonford.errors import Code, PeerError
from wigeonford.events import Event, EventLog
from wigeonford.messages.raft import AppendEntries, InstallSnapshot
from wigeonford.peer import NotLeaderError
from wigeonford.settings import Address, is_address, parse_address

TICK_S: Final = 0.05
SNAPSHOT_INTERVAL_ENTRIES: Final = 2000
SNAPSHOT_INTERVAL_BYTES: Final = 4 << 20
RETAINED_LOG_ENTRIES: Final = 4000
RETAINED_LOG_BYTES: Final = 4 << 20
SNAPSHOT_RETRY_ENTRIES: Final = 200
SNAPSHOT_RETRY_BYTES: Final = 1 << 20
STORAGE_RETRY_S: Final = 0.25
"""About a heartbeat interval, so that a follower soon catches up again."""
SLOW_SYNC_S: Final = 0.5
"""Far longer than a usual sync. A replica whose disk takes longer for one call
counts as one whose disk takes no writes."""

T = TypeVar("T")

BuildCore = Callable[[HardState | None, RaftLog, int], RaftCore]
"""Build a core from the stored data and the position that is applied."""

_Performer = Callable[["RaftDriver", Any], Any]
_PERFORMERS: Final[dict[type[Any], _Performer]] = {}


def _performs(kind: type[Any]) -> Callable[[_Performer], _Performer]:
    def add(function: _Performer) -> _Performer:
        _PERFORMERS[kind] = function
        return function

    return add


class RaftDriver:
    """Own the core, the state machine and the store.

    Inputs that are queued together share one sync. While the disk is stalled
    or takes no writes, the replica does only what needs none. After a failed
    save the core is built again from what is stored, since it may already
    have advanced.
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
        self._pending = PendingRequests()
        self._failure: str | None = None
        self._outage: StorageOutage | None = None
        self._is_stalled = False
        self._handed_over_term: int | None = None
        self._has_stopped = False
        self._build_core: BuildCore | None = None
        self._applied_position = 0
        self._next_snapshot_position = 0
        self._snapshot_position = 0
        self._next_snapshot_bytes = 0
        self._was_leader = False
        self._listeners: list[Callable[[], None]] = []
        self._storage_listeners: list[Callable[[bool], None]] = []
        self.state = State()
        self.confirmed_at_s: float | None = None

    @property
    def core(self) -> RaftCore:
        """Return the core."""
        assert self._core is not None, "the driver has not been started"
        return self._core

    @property
    def leader(self) -> str | None:
        """Return the leader's name, or None if it is unknown."""
        if self._core is None or self._has_stopped:
            return None
        if self._outage is not None:
            return self._outage.leader
        return self._core.leader

    @property
    def term(self) -> int:
        """Return the latest term known."""
        if self._core is None:
            return 0
        heard = self._outage.term if self._outage is not None else 0
        return max(self._core.term, heard)

    @property
    def failure(self) -> str | None:
        """Return why this replica can't store anything, or None."""
        return self._failure

    @property
    def is_stalled(self) -> bool:
        """Return whether the disk hasn't answered the present call yet."""
        return self._is_stalled

    @property
    def has_stopped(self) -> bool:
        """Return whether this replica takes no part until a restart."""
        return self._has_stopped

    def start(self, stored: Stored, build_core: BuildCore) -> None:
        """Start the task that runs the core."""
        self._build_core = build_core
        self.state = stored.state
        self._applied_position = stored.log.base_position
        self._restart_core(stored)
        self._schedule_snapshot()
        log = stored.log
        self._log.emit(
            Event.LOG_LOADED,
            position=log.base_position,
            entries=log.last_position - log.base_position,
            log_bytes=log.bytes_between(log.base_position, log.last_position),
        )
        self._task = asyncio.create_task(self._run())
        self._open_channels()

    def _open_channels(self) -> None:
        for entry in self.core.log.table:
            channel = self.channel(entry.name)
            if channel is not None and entry.name != self._name:
                channel.open()

    def _schedule_snapshot(self) -> None:
        # A random offset keeps replicas from saving at the same time, which
        # would make them miss heartbeats.
        offset = random.random()
        self._snapshot_position = self._applied_position
        self._next_snapshot_position = self._applied_position + round(
            SNAPSHOT_INTERVAL_ENTRIES * (1 + offset)
        )
        self._next_snapshot_bytes = round(
            SNAPSHOT_INTERVAL_BYTES * (1 + offset)
        )

    def on_storage_change(self, listener: Callable[[bool], None]) -> None:
        """Call a function with whether the disk takes writes."""
        self._storage_listeners.append(listener)
        listener(self._failure is None)

    def on_applied(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change of the state."""
        self._listeners.append(listener)

    async def stop(self) -> None:
        """Stop the task and release the store."""
        await cancel_task(self._task)
        self._pending.fail_all(Code.NO_QUORUM, "the replica is stopping")
        await self._channels.close()
        await self._disk.close()

    def enqueue(self, item: Input) -> None:
        """Queue an input for the core."""
        self._inbox.put_nowait(item)

    def raise_if_stopped(self) -> None:
        """Raise `StorageError` if this replica needs a restart."""
        if self._has_stopped:
            raise StorageError(str(self._failure))

    def when_applied(self, position: int) -> asyncio.Future[Any]:
        """Return a future that is done once a position is applied.

        Raise `StorageError` if the entry can't be stored at present.
        """
        if self._failure is not None:
            last_position = (
                self._applied_position
                if self._is_stalled
                else self.core.log.last_position
            )
            if position > last_position:
                raise StorageError(self._failure)
        return self._pending.when_applied(position, self._applied_position)

    def channel(self, name: str) -> PeerChannel | None:
        """Return the channel to a replica, or None if it has no address."""
        address = self._find_address(name)
        return (
            None
            if address is None
            else self._channels.get_or_create(name, address)
        )

    def _find_address(self, name: str) -> Address | None:
        """Return the address of a replica, or None.

        A replica that joined through `JoinGroup` is named by its address, so
        that it can be reached before this replica has received a replica
        table that lists it.
        """
        address = self._members.get(name)
        if address is not None:
            return address
        entry = find_entry(self.core.log.table, name)
        if entry is not None:
            return Address(entry.host, entry.port)
        return parse_address(name) if is_address(name) else None

    async def _run(self) -> None:
        try:
            if not self._disk.is_durable:
                await self._wait_for_storage("the data folder can't be synced")
            while True:
                try:
                    await self._step()
                except StorageDamagedError:
                    raise
                except StorageError as exc:
                    await self._wait_for_storage(exc.detail)
        except StorageError as exc:
            self._stop_taking_part(Event.STORAGE_DAMAGED, exc.detail)
        except Exception as exc:
            self._stop_taking_part(Event.REPLICA_STOPPED, repr(exc))
            raise

    def _stop_taking_part(self, event: Event, detail: str) -> None:
        self._has_stopped = True
        self._failure = detail
        self.confirmed_at_s = None
        self._log.emit(event, detail=detail)
        # The other replicas may still commit entries already sent to them.
        self._pending.fail_all(Code.NO_QUORUM, detail)
        while not self._inbox.empty():
            item = self._inbox.get_nowait()
            if not isinstance(item, Received) and not item.fut.done():
                item.fut.set_exception(StorageError(detail))

    async def _wait_for_storage(self, detail: str) -> None:
        """Follow the leader without storing until the disk takes writes."""
        started_s = self._clock()
        last_messages = self.core.hand_over(started_s)
        self._begin_outage(detail)
        for name, message in last_messages.items():
            self._send_to(name, message)
        while not await self._check_storage():
            continue
        self._end_outage()
        took_s = round(self._clock() - started_s, 2)
        self._log.emit(Event.STORAGE_WORKS, took_s=took_s)

    def _begin_outage(self, detail: str) -> None:
        self._fail_storage(detail)
        self._log.emit(Event.STORAGE_FAILED, detail=detail)
        if self._was_leader:
            self._was_leader = False
            self._log.emit(
                Event.LEADER_LOST, role=str(Role.FOLLOWER), term=self.core.term
            )
        # The other replicas may still commit entries already sent to them.
        self._pending.fail_all(Code.NO_QUORUM, detail)

    def _fail_storage(self, detail: str) -> None:
        self._failure = detail
        self._outage = StorageOutage(self._clock)
        for listener in self._storage_listeners:
            listener(False)
        self._pending.reject_reads(StorageError(detail))

    async def _reload(self, outage: StorageOutage) -> None:
        """Build the core from what is stored, unless that was done."""
        if outage.may_reply:
            return
        stored = await self._disk.load()
        self._restart_core(stored)
        outage.may_follow = stored.hard_state is not None
        outage.may_reply = outage.may_follow and self._disk.is_durable

    def _restart_core(self, stored: Stored) -> None:
        if stored.log.last_position < self._applied_position:
            raise StorageDamagedError("entries that were applied are missing")
        if stored.log.base_position > self._applied_position:
            self.state = stored.state
            self._applied_position = stored.log.base_position
            self._notify()
        assert self._build_core is not None, "the driver has been started"
        previous = self._core
        self._core = self._build_core(
            stored.hard_state, stored.log, self._applied_position
        )
        if previous is not None:
            self._core.keep_leader_contact(previous)

    async def _check_storage(self) -> bool:
        """Return whether the disk takes writes, after a pause."""
        assert self._outage is not None, "storage works"
        checking = asyncio.create_task(self._write_after_pause(self._outage))
        try:
            while not checking.done():
                await self._step_without_storage()
            return checking.result()
        finally:
            checking.cancel()

    async def _write_after_pause(self, outage: StorageOutage) -> bool:
        await self._succeeds(self._reload(outage))
        await asyncio.sleep(STORAGE_RETRY_S)
        return await self._succeeds(
            self._disk.check_room()
        ) and await self._succeeds(self._reload(outage))

    async def _succeeds(self, call: Coroutine[Any, Any, None]) -> bool:
        """Return whether a call finds the disk working."""
        try:
            await call
        except StorageDamagedError:
            raise
        except StorageError as exc:
            self._failure = exc.detail
            return False
        return True

    async def _step_without_storage(self) -> None:
        assert self._outage is not None, "storage works"
        now_s = self._clock()
        for item in await self._next_inputs():
            if not isinstance(item, Received):
                if not item.fut.done():
                    item.fut.set_exception(NotLeaderError(self.leader))
                continue
            reduced = self._outage.reduce(item.record, self.core)
            if reduced is not None:
                self._receive(reduced, now_s)
        if not self._outage.may_follow:
            return
        for effect in self.core.take_effects(now_s):
            assert not isinstance(effect, Save | SaveInstalled), (
                "a step without storage saves"
            )
            if self._outage.may_reply or not isinstance(effect, Send):
                await self._perform(effect)
        self._record_confirmation()

    async def _step(self) -> None:
        items = await self._next_inputs()
        now_s = self._clock()
        proposals = [item for item in items if isinstance(item, Proposal)]
        for item in items:
            self._feed(item, now_s)
        self._propose(proposals)
        self.core.tick(now_s)
        for effect in self.core.take_effects(now_s):
            await self._perform(effect)
        self._record_confirmation()
        await self._snapshot_if_due()

    async def _next_inputs(self) -> list[Input]:
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
            self._receive(item.record, now_s)
        elif isinstance(item, Read):
            self._feed_read(item, now_s)
        elif isinstance(item, TableChange):
            self._feed_change(item)

    def _receive(self, record: Any, now_s: float) -> None:
        try:
            self.core.receive(record, now_s)
        except PeerError as exc:
            self._log.emit(Event.RAFT_MESSAGE_REFUSED, detail=exc.detail)

    def _feed_read(self, item: Read, now_s: float) -> None:
        if self.core.role is not Role.LEADER:
            self._reject_not_leader(item.fut)
            return
        self._pending.add_read(item)
        self.core.request_confirmation(now_s)

    def _feed_change(self, item: TableChange) -> None:
        if not self.core.may_change_table:
            self._reject_not_leader(item.fut)
            return
        table = apply_replica_change(self.core.log.table, item.change)
        position = self.core.change_table(table)
        self._pending.add_entry(position, self.core.term, item.fut)

    def _propose(self, proposals: list[Proposal]) -> None:
        current: list[Proposal] = []
        for item in proposals:
            if item.term in (None, self.core.term):
                current.append(item)
            else:
                self._reject_not_leader(item.fut)
        if not current:
            return
        first = self.core.propose([item.content for item in current])
        for offset, item in enumerate(current):
            if first is None:
                self._reject_not_leader(item.fut)
            else:
                term = self.core.term
                self._pending.add_entry(first + offset, term, item.fut)

    def _reject_not_leader(self, fut: asyncio.Future[Any]) -> None:
        if not fut.done():
            fut.set_exception(NotLeaderError(self.core.leader))

    async def _perform(self, effect: Effect) -> None:
        await _PERFORMERS[type(effect)](self, effect)

    @_performs(Save)
    async def _save(self, effect: Save) -> None:
        term = self.core.term
        try:
            await self._call_disk(self._disk.save(effect), effect)
        except StorageError as exc:
            if not exc.may_be_stored and effect.truncate_after is not None:
                self._pending.reject_after(effect.truncate_after, term)
            raise

    async def _call_disk(
        self, call: Awaitable[T], save: Save | None = None
    ) -> T:
        """Return a call's result; hand the lead over if the disk stalls.

        `save` is what the call saves before it is sent to anyone.
        """
        calling = asyncio.ensure_future(call)
        started_s = self._clock()
        # Time in which the process was suspended isn't the disk's.
        for timeout_s in (SLOW_SYNC_S, TICK_S):
            done, _ = await asyncio.wait({calling}, timeout=timeout_s)
            if done:
                return await calling
        await self._step_until_done(calling, save)
        took_s = round(self._clock() - started_s, 2)
        self._log.emit(Event.STORAGE_BACK, took_s=took_s)
        return await calling

    async def _step_until_done(
        self, calling: asyncio.Future[Any], save: Save | None
    ) -> None:
        """Pass requests on while the disk is stalled."""
        last_messages = self.core.hand_over(self._clock())
        self._is_stalled = True
        self._fail_storage(f"the disk hasn't responded for {SLOW_SYNC_S} s")
        self._log.emit(
            Event.STORAGE_SLOW,
            entries=0 if save is None else len(save.entries),
        )
        if last_messages:
            self._handed_over_term = self.core.term
        for name, message in last_messages.items():
            self._send_to(name, message)
        assert self._outage is not None, "storage works"
        try:
            while not calling.done():
                await self._step_without_storage()
                if self._outage.is_overtaken:
                    self._give_up_entries(save)
        finally:
            self._is_stalled = False
            self._end_outage()
        if last_messages:
            self.core.step_down(self._clock())

    def _give_up_entries(self, save: Save | None) -> None:
        """Have unsaved proposals made again, and tell of no others' outcome.

        To be called once a later leader has committed an entry.
        """
        if save is not None and save.truncate_after is not None:
            self._pending.reject_after(save.truncate_after, self.core.term)
        self._pending.fail_all(Code.NO_QUORUM, str(self._failure))

    def _end_outage(self) -> None:
        if self.leader is not None:
            self.core.defer_election(self._clock())
        self._failure = None
        self._outage = None
        for listener in self._storage_listeners:
            listener(True)

    @_performs(SaveInstalled)
    async def _install(self, effect: SaveInstalled) -> None:
        await self._call_disk(self._disk.save_installed(effect))
        # The snapshot doesn't tell which of their entries it holds.
        self._pending.fail_all(Code.NO_QUORUM, "a snapshot was installed")
        _, content = unpack_snapshot(effect.content)
        self.state = State.restore(content)
        self._applied_position = effect.position
        self._schedule_snapshot()
        self._log.emit(Event.SNAPSHOT_INSTALLED, position=effect.position)
        self._notify()

    @_performs(Send)
    async def _send(self, effect: Send) -> None:
        record = effect.record
        if (
            isinstance(record, AppendEntries)
            and record.term == self._handed_over_term
        ):
            return
        self._send_to(effect.to, record)

    def _send_to(self, name: str, record: Any) -> None:
        channel = self.channel(name)
        if channel is None:
            self._log.emit(Event.PEER_UNKNOWN, peer=name)
            return
        channel.send(record)

    @_performs(SendSnapshot)
    async def _send_snapshot(self, effect: SendSnapshot) -> None:
        snapshot = await self._call_disk(self._disk.read_snapshot())
        assert snapshot is not None, (
            "no snapshot is stored for the compacted log"
        )
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
            if is_state_command(entry.content):
                result = apply_entry(self.state, entry, self._log)
            self._applied_position = entry.position
            self._pending.resolve(entry.position, entry.term, result)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    @_performs(ChangeRole)
    async def _change_role(self, effect: ChangeRole) -> None:
        is_leader = effect.role is Role.LEADER
        event = Event.LEADER_ELECTED if is_leader else Event.ROLE_CHANGED
        if self._was_leader and not is_leader:
            event = Event.LEADER_LOST
        self._was_leader = is_leader
        self._log.emit(event, role=str(effect.role), term=effect.term)
        if is_leader and effect.term != self._handed_over_term:
            self._handed_over_term = None
        elif not is_leader and self._handed_over_term is None:
            self._pending.fail_all(
                Code.NO_QUORUM, "this replica is no longer the leader"
            )

    def _record_confirmation(self) -> None:
        """Update `confirmed_at_s` and complete the reads it confirms.

        All committed entries have been applied at this point.
        """
        confirmed_at_s = self.core.confirmed_at_s(self._clock())
        if confirmed_at_s is None:
            return
        if self.confirmed_at_s is None or confirmed_at_s > self.confirmed_at_s:
            self.confirmed_at_s = confirmed_at_s
        if self.core.role is Role.LEADER:
            self._pending.confirm_reads(confirmed_at_s, self._applied_position)

    def _bytes_since_snapshot(self) -> int:
        """Return the size of the entries applied since the last snapshot."""
        return self.core.log.bytes_between(
            self._snapshot_position, self._applied_position
        )

    async def _snapshot_if_due(self) -> None:
        position = self._applied_position
        size = self._bytes_since_snapshot()
        if (
            position < self._next_snapshot_position
            and size < self._next_snapshot_bytes
        ):
            return
        log = self.core.log
        term = log.term_at(position)
        assert term is not None, "an applied entry is not in the log"
        content = pack_snapshot(log.table_at(position), self.state.snapshot())
        entries = position - self._snapshot_position
        try:
            await self._call_disk(
                self._disk.save_snapshot(Snapshot(position, term, content))
            )
        except StorageDamagedError:
            raise
        except StorageError as exc:
            # It takes more room than an entry; the log is kept meanwhile.
            self._log.emit(Event.SNAPSHOT_DELAYED, detail=exc.detail)
            self._next_snapshot_position = position + SNAPSHOT_RETRY_ENTRIES
            self._next_snapshot_bytes = size + SNAPSHOT_RETRY_BYTES
            return
        self._log.emit(
            Event.SNAPSHOT_SAVED,
            position=position,
            entries=entries,
            log_bytes=size,
            snapshot_bytes=len(content),
        )
        self._schedule_snapshot()
        self.core.compact(
            max(
                position - RETAINED_LOG_ENTRIES,
                log.position_with_bytes_after(position, RETAINED_LOG_BYTES),
                log.base_position,
            )
        )

    def describe(self) -> ReplicaStatus:
        """Return the status of the replica."""
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
