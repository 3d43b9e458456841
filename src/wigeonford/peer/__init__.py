"""Links between processes, and the registry of their messages."""

from wigeonford.peer._link import (
    failure_error,
    LeaderElsewhere,
    peer_proof,
    PeerClient,
    PeerServer,
)
from wigeonford.peer._messages import Done, Failure, message, MESSAGES

__all__ = [
    "Done",
    "Failure",
    "LeaderElsewhere",
    "MESSAGES",
    "PeerClient",
    "PeerServer",
    "failure_error",
    "message",
    "peer_proof",
]
