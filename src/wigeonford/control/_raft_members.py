"""The table of control replicas, its quorums and its changes."""

from collections.abc import Iterable, Mapping
from typing import Any, Final, TypeVar

import msgspec
from msgspec.structs import replace

from wigeonford.control._commands import command, COMMANDS
from wigeonford.messages.raft import ReplicaChange


class ReplicaEntry(msgspec.Struct, frozen=True):
    """Describe one replica; a new incarnation joins as a learner."""

    name: str
    incarnation: str
    voter: bool
    host: str
    port: int


ReplicaTable = tuple[ReplicaEntry, ...]


@command(20)
class ChangeReplicas(msgspec.Struct, frozen=True):
    """Set the replica table; it applies as soon as it is in the log."""

    replicas: ReplicaTable


@command(21)
class StartTerm(msgspec.Struct, frozen=True):
    """Start a leader's term, so that earlier entries can be committed."""


_CHANGE_PREFIX: Final = COMMANDS.encode(ChangeReplicas(()))[:2]
START_TERM: Final = COMMANDS.encode(StartTerm())

Comparable = TypeVar("Comparable", int, float)


def decode_change(content: bytes) -> ReplicaTable | None:
    """Return the table that an entry sets, or None for other entries."""
    if content[:2] != _CHANGE_PREFIX:
        return None
    record = COMMANDS.decode(content)
    assert isinstance(record, ChangeReplicas), "unexpected command type"
    return record.replicas


def is_state_command(content: bytes) -> bool:
    """Return whether an entry is a command of the state machine."""
    return content != START_TERM and content[:2] != _CHANGE_PREFIX


def table_to_plain(table: ReplicaTable) -> Any:
    """Return a table as lists and dicts for encoding."""
    return msgspec.to_builtins(table)


def table_from_plain(plain: Any) -> ReplicaTable:
    """Return the table that `table_to_plain` converted."""
    return msgspec.convert(plain, tuple[ReplicaEntry, ...])


def find_entry(table: ReplicaTable, name: str) -> ReplicaEntry | None:
    """Return the entry of a replica, or None."""
    return next((entry for entry in table if entry.name == name), None)


def voters(table: ReplicaTable) -> tuple[ReplicaEntry, ...]:
    """Return the entries that count towards a quorum."""
    return tuple(entry for entry in table if entry.voter)


def quorum_size(table: ReplicaTable) -> int:
    """Return how many voters make a quorum."""
    return len(voters(table)) // 2 + 1


def is_quorum(table: ReplicaTable, names: Iterable[str]) -> bool:
    """Return whether the named replicas include a quorum of the voters."""
    name_set = set(names)
    count = sum(entry.name in name_set for entry in voters(table))
    return count >= quorum_size(table)


def quorum_value(
    table: ReplicaTable,
    values: Mapping[str, Comparable],
    default: Comparable,
) -> Comparable:
    """Return the greatest value that a quorum of voters has reached."""
    reached = sorted(
        (values.get(entry.name, default) for entry in voters(table)),
        reverse=True,
    )
    if not reached:
        return default
    return reached[quorum_size(table) - 1]


def with_entry(table: ReplicaTable, entry: ReplicaEntry) -> ReplicaTable:
    """Return the table with one entry added or replaced."""
    kept = tuple(other for other in table if other.name != entry.name)
    return tuple(sorted((*kept, entry), key=lambda item: item.name))


def without_entry(table: ReplicaTable, name: str) -> ReplicaTable:
    """Return the table without one replica."""
    return tuple(entry for entry in table if entry.name != name)


def as_learner(entry: ReplicaEntry, incarnation: str) -> ReplicaEntry:
    """Return a replica's entry as a learner with a new incarnation.

    Used for a replica whose data folder was lost.
    """
    return replace(entry, incarnation=incarnation, voter=False)


def apply_replica_change(
    table: ReplicaTable, change: ReplicaChange
) -> ReplicaTable:
    """Return the table after a replica is added, moved or removed.

    An added replica is a learner whose incarnation is not yet known.
    """
    if change.remove:
        return without_entry(table, change.name)
    known = find_entry(table, change.name)
    if known is not None:
        return with_entry(
            table, replace(known, host=change.host, port=change.port)
        )
    entry = ReplicaEntry(change.name, "", False, change.host, change.port)
    return with_entry(table, entry)


def count_changed_voters(old: ReplicaTable, new: ReplicaTable) -> int:
    """Return how many voters, by incarnation, are in only one table."""
    before = {(entry.name, entry.incarnation) for entry in voters(old)}
    after = {(entry.name, entry.incarnation) for entry in voters(new)}
    return len(before ^ after)
