"""The interface of a control replica, and a replica without peers."""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

import msgspec

from wigeonford.control._commands import CommandResult, COMMANDS
from wigeonford.control._raft_members import is_state_command
from wigeonford.control._raft_snapshot import pack_snapshot, unpack_snapshot
from wigeonford.control._state import State
from wigeonford.control._store import (
    LogEntry,
    Snapshot,
    StorageError,
    Store,
)
from wigeonford.errors import Code, PeerError, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.messages.raft import ReplicaChange
from wigeonford.peer import NotLeaderError

SNAPSHOT_INTERVAL_ENTRIES: Final = 2000
SNAPSHOT_INTERVAL_BYTES: Final = 4 << 20
SOLO_TERM: Final = 1


class ReplicaView(msgspec.Struct, frozen=True):
    """Describe one control replica; `lag` is in entries, None if unknown."""

    name: str
    voter: bool
    incarnation: str
    lag: int | None


class ReplicaStatus(msgspec.Struct, frozen=True):
    """Describe the status of a replica; positions are in the log.

    `failure` is why the replica stopped participating, or None.
    """

    name: str
    role: str
    term: int
    commit_position: int
    last_position: int
    failure: str | None
    replicas: tuple[ReplicaView, ...]


class Replica(Protocol):
    """Replicate commands to the other replicas and apply them."""

    @property
    def state(self) -> State:
        """Return the state after the entries applied so far."""

    @property
    def leader(self) -> str | None:
        """Return the leader's name, or None if no leader is known."""

    @property
    def is_leader(self) -> bool:
        """Return whether this replica believes that it is the leader."""

    @property
    def term(self) -> int:
        """Return the latest term that this replica knows."""

    def on_applied(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change of the state."""

    async def start(self) -> None:
        """Recover from the store and join the other replicas."""

    async def stop(self) -> None:
        """Stop participating and release the store."""

    async def propose(self, record: Any) -> CommandResult:
        """Return the result once a quorum has synced the command.

        Raise `PeerError` with `NO_QUORUM` if the outcome is unknown, and
        `WigeonfordError` if the command is skipped, as it can't be applied.
        """

    async def propose_in_term(self, record: Any, term: int) -> CommandResult:
        """Propose what this replica has decided as the leader of a term.

        Raise `NotLeaderError` if it doesn't lead that term any more: the
        decision may rest on what has changed since.
        """

    async def read_barrier(self) -> None:
        """Return once a quorum has confirmed that the state is current."""

    def confirmed_age_s(self) -> float | None:
        """Return how long ago a quorum confirmed the state, or None."""

    async def request_from_leader(self, record: Any) -> Any:
        """Return the leader's reply to a peer message.

        Raise `PeerError` on failure, and `NotLeaderError` if no leader is
        known or this replica is the leader.
        """

    async def change_replicas(self, change: ReplicaChange) -> None:
        """Add or remove a replica; return once a quorum stored the change."""

    def describe(self) -> ReplicaStatus:
        """Return the status of the replica."""


def raise_if_skipped(result: CommandResult) -> None:
    """Raise `WigeonfordError` if a command could not be applied at all."""
    if result.is_skipped:
        raise WigeonfordError(Code.INTERNAL, result.detail)


def apply_entry(state: State, entry: LogEntry, log: EventLog) -> CommandResult:
    """Apply the command in a log entry; log one that is skipped."""
    result = state.apply_entry(entry.content)
    if result.is_skipped:
        log.emit(
            Event.COMMAND_SKIPPED,
            position=entry.position,
            detail=result.detail,
        )
    return result


class SoloReplica:
    """Run as the only replica: its own disk is the quorum."""

    def __init__(self, name: str, store: Store, log: EventLog) -> None:
        self._name = name
        self._store = store
        self._log = log
        self._state = State()
        self._position = 0
        self._entries_since_snapshot = 0
        self._bytes_since_snapshot = 0
        self._write_lock = asyncio.Lock()
        self._listeners: list[Callable[[], None]] = []

    @property
    def state(self) -> State:
        """Return the state after the entries applied so far."""
        return self._state

    @property
    def leader(self) -> str | None:
        """Return this replica's name."""
        return self._name

    @property
    def is_leader(self) -> bool:
        """Return True: there is no other replica."""
        return True

    @property
    def term(self) -> int:
        """Return 1: there are no elections."""
        return SOLO_TERM

    def on_applied(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change of the state."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Recover the state from the snapshot and the log."""
        stored = self._store.read()
        if stored.snapshot is not None:
            _, state = unpack_snapshot(stored.snapshot.content)
            self._state = State.restore(state)
            self._position = stored.snapshot.position
        for entry in stored.entries:
            if is_state_command(entry.content):
                apply_entry(self._state, entry, self._log)
            self._count(entry)

    def _count(self, entry: LogEntry) -> None:
        self._position = entry.position
        self._entries_since_snapshot += 1
        self._bytes_since_snapshot += len(entry.content)

    async def stop(self) -> None:
        """Release the store."""
        async with self._write_lock:
            self._store.close()

    async def propose(self, record: Any) -> CommandResult:
        """Sync the command, then apply it."""
        async with self._write_lock:
            entry = LogEntry(
                self._position + 1, SOLO_TERM, COMMANDS.encode(record)
            )
            # An entry that can't be decoded must not get into the log.
            COMMANDS.decode(entry.content)
            try:
                await asyncio.to_thread(self._store.append, [entry])
            except StorageError as exc:
                self._log.emit(Event.STORAGE_FAILED, detail=exc.detail)
                if exc.may_be_stored:
                    raise PeerError(Code.NO_QUORUM, exc.detail) from exc
                raise
            self._count(entry)
            result = apply_entry(self._state, entry, self._log)
            for listener in self._listeners:
                listener()
            if (
                self._entries_since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES
                or self._bytes_since_snapshot >= SNAPSHOT_INTERVAL_BYTES
            ):
                await self._save_snapshot()
            raise_if_skipped(result)
            return result

    async def propose_in_term(self, record: Any, term: int) -> CommandResult:
        """Sync the command, then apply it: there is a single term."""
        assert term == SOLO_TERM, "there is a single term"
        return await self.propose(record)

    async def _save_snapshot(self) -> None:
        # One that fails is tried again after another interval.
        self._entries_since_snapshot = self._bytes_since_snapshot = 0
        content = pack_snapshot((), self._state.snapshot())
        snapshot = Snapshot(self._position, SOLO_TERM, content)
        try:
            await asyncio.to_thread(self._store.save_snapshot, snapshot)
        except StorageError as exc:
            # The log holds the state as well.
            self._log.emit(Event.SNAPSHOT_DELAYED, detail=exc.detail)

    async def read_barrier(self) -> None:
        """Return at once: no other replica has to confirm."""

    def confirmed_age_s(self) -> float | None:
        """Return 0: this replica is its own quorum."""
        return 0.0

    async def request_from_leader(self, record: Any) -> Any:
        """Raise `NotLeaderError`: this replica is the leader."""
        raise NotLeaderError(self._name)

    async def change_replicas(self, change: ReplicaChange) -> None:
        """Raise `NotLeaderError`: a sole replica adds no others."""
        raise NotLeaderError(None)

    def describe(self) -> ReplicaStatus:
        """Return the status of the replica."""
        return ReplicaStatus(
            self._name,
            "leader",
            SOLO_TERM,
            self._position,
            self._position,
            None,
            (ReplicaView(self._name, True, "", 0),),
        )
