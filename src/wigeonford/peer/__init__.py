"""Message links between processes, and the registry of message types."""

from wigeonford.peer._link import (
    NotLeaderError,
    peer_proof,
    PeerClient,
    PeerServer,
    to_peer_error,
)
from wigeonford.peer._messages import Done, Failure, message, MESSAGES

__all__ = [
    "Done",
    "Failure",
    "NotLeaderError",
    "MESSAGES",
    "PeerClient",
    "PeerServer",
    "to_peer_error",
    "message",
    "peer_proof",
]
