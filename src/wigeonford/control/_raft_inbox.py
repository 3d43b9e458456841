"""What the task that owns a consensus core is asked to do."""

import asyncio
from typing import Any

import msgspec

from wigeonford.control._commands import CommandResult
from wigeonford.messages.raft import ReplicaChange


class Received(msgspec.Struct, frozen=True):
    """Take a message from another replica."""

    record: Any


class Proposal(msgspec.Struct, frozen=True):
    """Add a command to the log and answer with its result."""

    content: bytes
    fut: asyncio.Future[CommandResult]


class Read(msgspec.Struct, frozen=True):
    """Answer with a position once the lead is confirmed after `asked_s`."""

    asked_s: float
    fut: asyncio.Future[int]


class TableChange(msgspec.Struct, frozen=True):
    """Change the table of replicas."""

    change: ReplicaChange
    fut: asyncio.Future[CommandResult]


Input = Received | Proposal | Read | TableChange
