"""Replicated control state: log, state machine, commands and queries."""

from wigeonford.control._cold_clock import ColdClock
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
from wigeonford.control._daemon import ControlDaemon, Service
from wigeonford.control._group_service import GroupService
from wigeonford.control._limit_service import LimitService
from wigeonford.control._log_file import LogFileStore
from wigeonford.control._quota_service import QuotaService
from wigeonford.control._raft_node import ElectionTiming
from wigeonford.control._raft_replica import RaftReplica
from wigeonford.control._recovery import recover_as_only_replica
from wigeonford.control._replica import Replica, SoloReplica
from wigeonford.control._state import State
from wigeonford.control._steering import SteeringState
from wigeonford.control._steering_commands import (
    AnnounceTargets,
    PatchDeployment,
    RemoveTargets,
    ReplaceDeployment,
    SetEvacuation,
)
from wigeonford.control._store import (
    LogEntry,
    Snapshot,
    StorageError,
    Store,
)
from wigeonford.control._suspect_service import SuspectService
from wigeonford.control._target_service import TargetService
from wigeonford.control._view_service import ViewService

__all__ = [
    "AnnounceTargets",
    "ApplyChange",
    "COMMANDS",
    "ColdClock",
    "CommandResult",
    "ControlDaemon",
    "Edit",
    "ElectionTiming",
    "ExpireMember",
    "GroupService",
    "IssueKey",
    "LimitService",
    "SuspectService",
    "LogEntry",
    "LogFileStore",
    "QuotaService",
    "PatchDeployment",
    "RaftReplica",
    "RegisterMember",
    "RemoveTargets",
    "ReplaceDeployment",
    "Replica",
    "Service",
    "SetEvacuation",
    "Snapshot",
    "SoloReplica",
    "State",
    "SteeringState",
    "StorageError",
    "Store",
    "TargetService",
    "ViewService",
    "WithdrawKey",
    "recover_as_only_replica",
]
