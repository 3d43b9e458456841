"""Typed messages between processes and the links that carry them."""

from wigeonford.peer._link import (
    failure_error,
    LeaderElsewhere,
    peer_proof,
    PeerClient,
    PeerServer,
)
from wigeonford.peer._link_messages import LinkLeaseAnswer, LinkLeaseAsk
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
    "LeaderElsewhere",
    "LeaveRoster",
    "LinkLeaseAnswer",
    "LinkLeaseAsk",
    "Member",
    "ObjectRow",
    "Outcome",
    "PeerClient",
    "PeerServer",
    "PullConfig",
    "TargetAnnounce",
    "failure_error",
    "message",
    "peer_proof",
]
