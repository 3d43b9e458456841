"""Replication progress of each follower, kept by the leader."""

from typing import Final

import msgspec

from wigeonford.control._raft_log import RaftLog

SNAPSHOT_TIMEOUT_S: Final = 5.0
MAX_IN_FLIGHT_ENTRIES: Final = 4096
MAX_IN_FLIGHT_BYTES: Final = 2 << 20
"""Several batches, and little beside a replica's memory."""


class Progress(msgspec.Struct):
    """Track replication to one incarnation of a follower.

    Lost entries need no timeout: the follower rejects the next heartbeat,
    since entries before it are missing, and replies with the position to
    resume from.

    `acked_sent_s` is when the leader sent the newest acknowledged message,
    and `tracked_since_s` when it began to track this follower, both by the
    leader's clock. `replied_at_s` is by the follower's clock. No snapshot is
    sent before `next_snapshot_at_s`. Entries after `sent_after` that aren't
    acknowledged are in flight.
    """

    incarnation: str
    next_position: int
    tracked_since_s: float
    match_position: int = 0
    acked_sent_s: float = float("-inf")
    replied_at_s: float | None = None
    next_snapshot_at_s: float = float("-inf")
    sent_after: int = -1

    def __post_init__(self) -> None:
        self.sent_after = self.next_position - 1

    def accept(self, position: int) -> None:
        """Record that the logs match up to a position."""
        self.next_snapshot_at_s = float("-inf")
        if position > self.match_position:
            self.match_position = position
        self.next_position = max(self.next_position, position + 1)

    def reject(self, hint: int) -> None:
        """Resume after a position where the logs may match."""
        self.next_position = max(self.match_position, hint) + 1
        self.sent_after = self.next_position - 1

    def may_send(self, log: RaftLog) -> bool:
        """Return whether more entries of the log may be in flight."""
        sent = self.next_position - 1
        acked = max(self.match_position, self.sent_after)
        return (
            sent - acked < MAX_IN_FLIGHT_ENTRIES
            and log.bytes_between(acked, sent) < MAX_IN_FLIGHT_BYTES
        )
