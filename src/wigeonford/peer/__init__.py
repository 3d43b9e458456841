"""Message links between processes, and the registry of message types."""

from wigeonford.peer._link import (
    LeaderElsewhere,
    peer_proof,
    PeerClient,
    PeerServer,
    to_peer_error,
)
from wigeonford.peer._messages import Done, Failure, message, MESSAGES

__all__ = [
    "Done",
    "Failure",
    "LeaderElsewhere",
    "MESSAGES",
    "PeerClient",
    "PeerServer",
    "to_peer_error",
    "message",
    "peer_proof",
]
