"""Replicated control state: log, state machine, commands and queries."""

from wigeonford.control._budgets import BudgetService, Leadership
from wigeonford.control._commands import (
    ApplyChange,
    CloseClaim,
    CommandResult,
    COMMANDS,
    Edit,
    ExpireMember,
    IssueKey,
    OpenClaim,
    RegisterMember,
    WithdrawKey,
)
from wigeonford.control._daemon import ControlDaemon
from wigeonford.control._operator_api import OperatorApi
from wigeonford.control._replica import Replica, SoloReplica
from wigeonford.control._service import ControlService
from wigeonford.control._state import State
from wigeonford.control._store import (
    LogEntry,
    Snapshot,
    SqliteStore,
    StorageError,
    Store,
)

__all__ = [
    "COMMANDS",
    "ApplyChange",
    "BudgetService",
    "CloseClaim",
    "CommandResult",
    "ControlDaemon",
    "ControlService",
    "Edit",
    "ExpireMember",
    "IssueKey",
    "Leadership",
    "LogEntry",
    "OpenClaim",
    "OperatorApi",
    "RegisterMember",
    "Replica",
    "Snapshot",
    "SoloReplica",
    "SqliteStore",
    "State",
    "StorageError",
    "Store",
    "WithdrawKey",
]
