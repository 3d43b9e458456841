"""Typed messages between processes and the links that carry them."""

from wigeonford.peer._budget_messages import (
    GrantRow,
    LoanReply,
    LoanRequest,
    ShareReply,
    ShareReport,
    ShareRow,
)
from wigeonford.peer._link import (
    failure_error,
    LeaderElsewhere,
    PeerClient,
    PeerServer,
)
from wigeonford.peer._messages import (
    ClaimAnswer,
    ClaimClose,
    ClaimOpen,
    ConfigUpdate,
    Done,
    Failure,
    LeaveRoster,
    Member,
    message,
    MESSAGES,
    ObjectRow,
    Outcome,
    PullConfig,
    TargetAnnounce,
)

__all__ = [
    "MESSAGES",
    "ClaimAnswer",
    "ClaimClose",
    "ClaimOpen",
    "ConfigUpdate",
    "Done",
    "Failure",
    "GrantRow",
    "LeaderElsewhere",
    "LeaveRoster",
    "LoanReply",
    "LoanRequest",
    "Member",
    "ObjectRow",
    "Outcome",
    "PeerClient",
    "PeerServer",
    "PullConfig",
    "ShareReply",
    "ShareReport",
    "ShareRow",
    "TargetAnnounce",
    "failure_error",
    "message",
]
