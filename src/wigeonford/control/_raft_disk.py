"""Load and save the consensus core's durable state in a thread."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
import random
from typing import Any, Final

import cbor2
import msgspec

from wigeonford.control._raft_effects import HardState, Save, SaveInstalled
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_snapshot import unpack_snapshot
from wigeonford.control._state import State
from wigeonford.control._store import Snapshot, Store

HARD_STATE_NAME: Final = "raft"


def encode_hard(hard: HardState) -> bytes:
    """Return a hard state as bytes."""
    return cbor2.dumps(msgspec.to_builtins(hard))


def load_hard(store: Store) -> HardState | None:
    """Return the hard state, or None in an empty folder."""
    content = store.read_meta(HARD_STATE_NAME)
    if content is None:
        return None
    return msgspec.convert(cbor2.loads(content), HardState)


def create_hard(store: Store, rng: random.Random) -> HardState:
    """Give an empty folder a new incarnation."""
    hard = HardState(f"{rng.getrandbits(64):016x}")
    store.save_meta(HARD_STATE_NAME, encode_hard(hard))
    return hard


def load_log(store: Store) -> tuple[RaftLog, State]:
    """Return the log and the state as of the snapshot."""
    snapshot = store.read_snapshot()
    entries = store.read_log()
    if snapshot is None:
        return RaftLog(entries=entries), State()
    table, state = unpack_snapshot(snapshot.content)
    log = RaftLog(snapshot.position, snapshot.term, table, entries)
    return log, State.restore(state)


class RaftDisk:
    """Carry out the effects that save; each returns once synced."""

    def __init__(self, store: Store) -> None:
        self._store = store
        # One thread keeps calls in order, also those of a cancelled task.
        self._pool = ThreadPoolExecutor(1, "store")

    async def _call(self, function: Callable[..., Any], *args: Any) -> Any:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pool, function, *args)

    async def save(self, effect: Save) -> None:
        """Sync hard state and entries, in one sync."""
        meta = None
        if effect.hard is not None:
            meta = {HARD_STATE_NAME: encode_hard(effect.hard)}
        await self._call(
            self._store.append, effect.entries, effect.truncate_after, meta
        )

    async def save_installed(self, effect: SaveInstalled) -> None:
        """Replace log and snapshot."""
        snapshot = Snapshot(effect.position, effect.term, effect.content)
        await self._call(self._store.save_snapshot, snapshot, effect.position)

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Keep a snapshot of committed state and the log after it."""
        await self._call(self._store.save_snapshot, snapshot)

    async def read_snapshot(self) -> Snapshot | None:
        """Return the stored snapshot."""
        held: Snapshot | None = await self._call(self._store.read_snapshot)
        return held

    async def close(self) -> None:
        """Release the data folder once all earlier calls have ended."""
        await self._call(self._store.close)
        self._pool.shutdown()
