"""Manual recovery after the loss of a majority of data folders."""

from pathlib import Path

from msgspec.structs import replace

from wigeonford.control._commands import COMMANDS
from wigeonford.control._log_file import LogFileStore
from wigeonford.control._raft_disk import (
    encode_hard_state,
    HARD_STATE_NAME,
    load,
)
from wigeonford.control._raft_effects import HardState
from wigeonford.control._raft_members import ChangeReplicas, find_entry
from wigeonford.control._store import LogEntry
from wigeonford.errors import ChangeRejected, Code


def recover_as_only_replica(folder: Path, name: str) -> int:
    """Make a stopped replica the only voter; return its last position.

    Changes that only the lost replicas had stored are lost. Raise
    `ChangeRejected` if the folder does not belong to the replica, and
    `StorageError` if it can't be read or written.
    """
    if not (folder / "control.log").exists():
        raise ChangeRejected(Code.OBJECT_UNKNOWN, f"{folder}: has no log file")
    store = LogFileStore(folder)
    try:
        return _recover(store, name)
    finally:
        store.close()


def _recover(store: LogFileStore, name: str) -> int:
    stored = load(store)
    hard_state, log = stored.hard_state, stored.log
    entry = find_entry(log.table, name)
    if (
        hard_state is None
        or entry is None
        or entry.incarnation != hard_state.incarnation
    ):
        raise ChangeRejected(
            Code.OBJECT_UNKNOWN,
            f"{name}: the data folder belongs to another replica",
        )
    sole_entry = replace(entry, voter=True)
    content = COMMANDS.encode(ChangeReplicas((sole_entry,)))
    term = max(hard_state.term, log.last_term) + 1
    position = log.last_position + 1
    store.append(
        [LogEntry(position, term, content)],
        None,
        {
            HARD_STATE_NAME: encode_hard_state(
                HardState(hard_state.incarnation, term)
            )
        },
    )
    return position
