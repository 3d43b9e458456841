"""Inputs to the task that runs a Raft core."""

import asyncio
from typing import Any

import msgspec

from wigeonford.control._commands import CommandResult
from wigeonford.messages.raft import ReplicaChange


class Received(msgspec.Struct, frozen=True):
    """Process a message from another replica."""

    record: Any


class Proposal(msgspec.Struct, frozen=True):
    """Append a command to the log; `fut` gets its result.

    With a `term`, it is appended only in that term.
    """

    content: bytes
    fut: asyncio.Future[CommandResult]
    term: int | None = None


class Read(msgspec.Struct, frozen=True):
    """Confirm that this replica still led at or after `asked_s`.

    `fut` then gets the position up to which a read must wait.
    """

    asked_s: float
    fut: asyncio.Future[int]


class TableChange(msgspec.Struct, frozen=True):
    """Change the replica table; `fut` gets the result."""

    change: ReplicaChange
    fut: asyncio.Future[CommandResult]


Input = Received | Proposal | Read | TableChange
