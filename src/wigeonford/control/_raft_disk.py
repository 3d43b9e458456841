"""Load and save the consensus core's durable state in a thread."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

import cbor2
import msgspec

from wigeonford.control._raft_effects import HardState, Save, SaveInstalled
from wigeonford.control._raft_leader import MAX_BATCH_BYTES
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_snapshot import unpack_snapshot
from wigeonford.control._state import State
from wigeonford.control._store import Snapshot, Store

HARD_STATE_NAME: Final = "raft"


def encode_hard_state(hard_state: HardState) -> bytes:
    """Return the encoded hard state."""
    return cbor2.dumps(msgspec.to_builtins(hard_state))


class Stored(msgspec.Struct, frozen=True):
    """Hold what a data folder stores; `hard_state` is None if it is empty."""

    hard_state: HardState | None
    log: RaftLog
    state: State


def load(store: Store) -> Stored:
    """Return what a data folder stores, the state as of its snapshot."""
    stored = store.read()
    hard_state = _decode_hard_state(stored.meta.get(HARD_STATE_NAME))
    snapshot = stored.snapshot
    if snapshot is None:
        return Stored(hard_state, RaftLog(entries=stored.entries), State())
    table, state = unpack_snapshot(snapshot.content)
    log = RaftLog(snapshot.position, snapshot.term, table, stored.entries)
    return Stored(hard_state, log, State.restore(state))


def _decode_hard_state(content: bytes | None) -> HardState | None:
    if content is None:
        return None
    return msgspec.convert(cbor2.loads(content), HardState)


class RaftDisk:
    """Perform the effects that save; each call returns once synced."""

    def __init__(self, store: Store) -> None:
        self._store = store
        # A single thread runs the calls in order, even if a task that
        # waits for one is cancelled.
        self._pool = ThreadPoolExecutor(1, "store")

    async def _call(self, function: Callable[..., Any], *args: Any) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pool, function, *args)

    async def save(self, effect: Save) -> None:
        """Write the hard state and the entries with a single sync."""
        meta = None
        if effect.hard_state is not None:
            meta = {HARD_STATE_NAME: encode_hard_state(effect.hard_state)}
        await self._call(
            self._store.append, effect.entries, effect.truncate_after, meta
        )

    async def save_installed(self, effect: SaveInstalled) -> None:
        """Replace the log and the snapshot by an installed snapshot."""
        snapshot = Snapshot(effect.position, effect.term, effect.content)
        await self._call(self._store.save_snapshot, snapshot, effect.position)

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot and keep the log entries after it."""
        await self._call(self._store.save_snapshot, snapshot)

    async def read_snapshot(self) -> Snapshot | None:
        """Return the stored snapshot, or None."""
        snapshot: Snapshot | None = await self._call(self._store.read_snapshot)
        return snapshot

    @property
    def is_durable(self) -> bool:
        """Return whether all that can be read survives a power failure."""
        return self._store.is_durable

    async def load(self) -> Stored:
        """Return what the data folder stores."""
        stored: Stored = await self._call(load, self._store)
        return stored

    async def check_room(self) -> None:
        """Raise `StorageError` unless the largest batch can be written."""
        await self._call(self._store.check_room, MAX_BATCH_BYTES)

    async def close(self) -> None:
        """Release the data folder after all earlier calls."""
        await self._call(self._store.close)
        self._pool.shutdown()
