"""What the task that owns a consensus core is asked to do."""

import asyncio
from dataclasses import dataclass
from typing import Any

from wigeonford.control._commands import CommandResult
from wigeonford.peer import ReplicaChange


@dataclass(frozen=True, slots=True)
class Received:
    """Take a message from another replica."""

    record: Any


@dataclass(frozen=True, slots=True)
class Proposal:
    """Add a command to the log and answer with its result."""

    content: bytes
    fut: asyncio.Future[CommandResult]


@dataclass(frozen=True, slots=True)
class Read:
    """Answer with a position once the lead is confirmed after `asked_s`."""

    asked_s: float
    fut: asyncio.Future[int]


@dataclass(frozen=True, slots=True)
class TableChange:
    """Change the table of replicas."""

    change: ReplicaChange
    fut: asyncio.Future[CommandResult]


Input = Received | Proposal | Read | TableChange
