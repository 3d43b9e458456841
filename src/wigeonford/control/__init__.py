"""Replicated control state: log, state machine, commands and queries."""

from wigeonford.control._budgets import BudgetService
from wigeonford.control._claim_service import ClaimService
from wigeonford.control._commands import (
    ApplyChange,
    CommandResult,
    COMMANDS,
    Edit,
    ExpireMember,
    IssueKey,
    RegisterMember,
    WithdrawKey,
)
from wigeonford.control._daemon import ControlDaemon
from wigeonford.control._log_file import LogFileStore
from wigeonford.control._operator_api import OperatorApi
from wigeonford.control._raft_replica import RaftReplica
from wigeonford.control._recovery import recover_alone
from wigeonford.control._register_store import RegisterStore
from wigeonford.control._replica import Replica, SoloReplica
from wigeonford.control._service import ControlService
from wigeonford.control._state import State
from wigeonford.control._store import (
    LogEntry,
    Snapshot,
    StorageError,
    Store,
)

__all__ = [
    "ClaimService",
    "RegisterStore",
    "COMMANDS",
    "ApplyChange",
    "BudgetService",
    "CommandResult",
    "ControlDaemon",
    "ControlService",
    "Edit",
    "ExpireMember",
    "IssueKey",
    "LogEntry",
    "LogFileStore",
    "OperatorApi",
    "RaftReplica",
    "RegisterMember",
    "Replica",
    "Snapshot",
    "SoloReplica",
    "State",
    "StorageError",
    "Store",
    "WithdrawKey",
    "recover_alone",
]
