"""Typed messages between processes and the links that carry them."""

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
from wigeonford.peer._slot_messages import (
    SlotCall,
    SuspectCleared,
    TargetDeath,
    TargetGone,
    TargetHandover,
)

__all__ = [
    "MESSAGES",
    "ClaimAnswer",
    "ClaimClose",
    "ClaimOpen",
    "ConfigUpdate",
    "Done",
    "Failure",
    "LeaderElsewhere",
    "LeaveRoster",
    "Member",
    "ObjectRow",
    "Outcome",
    "PeerClient",
    "PeerServer",
    "PullConfig",
    "SlotCall",
    "SuspectCleared",
    "TargetAnnounce",
    "TargetDeath",
    "TargetGone",
    "TargetHandover",
    "failure_error",
    "message",
]
