"""Effects: the actions that the Raft core returns to its driver."""

from enum import StrEnum
from typing import Any

import msgspec

from wigeonford.control._raft_members import ReplicaTable
from wigeonford.control._store import LogEntry


class Role(StrEnum):
    """Name the Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True):
    """Hold the state that must be durable before a message relies on it.

    `incarnation` identifies the data folder. `initiator` is the incarnation
    of the bootstrap initiator to which this replica last replied while its
    data folder was empty.
    """

    incarnation: str
    term: int = 0
    voted_for: str | None = None
    initiator: str | None = None


class Save(msgspec.Struct, frozen=True):
    """Make the hard state and new entries durable with a single sync.

    Entries after `truncate_after` are dropped first; None keeps them all.
    `hard_state` is None if it has not changed.
    """

    hard_state: HardState | None
    truncate_after: int | None
    entries: tuple[LogEntry, ...]


class SaveInstalled(msgspec.Struct, frozen=True):
    """Replace the log and the state by a snapshot, durably."""

    position: int
    term: int
    table: ReplicaTable
    content: bytes


class Send(msgspec.Struct, frozen=True):
    """Send a message to a replica; it may be lost."""

    to: str
    record: Any


class SendSnapshot(msgspec.Struct, frozen=True):
    """Send the stored snapshot to a replica; it may be lost."""

    to: str
    recipient: str
    term: int
    sent_at_s: float


class Apply(msgspec.Struct, frozen=True):
    """Apply committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


class ChangeRole(msgspec.Struct, frozen=True):
    """Report that the role or the term has changed."""

    role: Role
    term: int


Effect = Save | SaveInstalled | Send | SendSnapshot | Apply | ChangeRole
