"""What the consensus core asks its driver to do, in this order."""

from enum import StrEnum
from typing import Any

import msgspec

from wigeonford.control._raft_members import ReplicaTable
from wigeonford.control._store import LogEntry


class Role(StrEnum):
    """Say what a replica does at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class HardState(msgspec.Struct, frozen=True):
    """Hold what must be durable before a message depends on it.

    `initiator` is the incarnation of the initiator that was last answered
    while the data folder was empty.
    """

    incarnation: str
    term: int = 0
    voted_for: str | None = None
    initiator: str | None = None


class Save(msgspec.Struct, frozen=True):
    """Make the hard state and the log's end durable, in one sync.

    Entries after `truncate_after` are dropped first; None keeps them all.
    """

    hard: HardState | None
    truncate_after: int | None
    entries: tuple[LogEntry, ...]


class SaveInstalled(msgspec.Struct, frozen=True):
    """Replace log and state by a snapshot, durably."""

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
    """Tell that the role or the term has changed."""

    role: Role
    term: int


Effect = Save | SaveInstalled | Send | SendSnapshot | Apply | ChangeRole
