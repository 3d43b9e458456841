"""What a leader knows of each follower."""

from typing import Final

import msgspec

SNAPSHOT_TIMEOUT_S: Final = 5.0
MAX_AHEAD: Final = 4096


class Progress(msgspec.Struct):
    """Track replication to one incarnation of a follower.

    Entries that were lost need no timeout: the next heartbeat follows them,
    so that the follower refuses it and tells where to go on.

    `acked_sent_s` is when the newest acknowledged message was sent, by the
    leader's clock, as is `since_s`, when it came to follow; `replied_at_s` is
    the follower's clock.
    """

    incarnation: str
    next_position: int
    since_s: float
    match_position: int = 0
    acked_sent_s: float = float("-inf")
    replied_at_s: float | None = None
    snapshot_until_s: float = float("-inf")

    def accept(self, position: int) -> None:
        """Record that the logs match up to a position."""
        self.snapshot_until_s = float("-inf")
        if position > self.match_position:
            self.match_position = position
        self.next_position = max(self.next_position, position + 1)

    def reject(self, hint: int) -> None:
        """Back up to where the logs may match."""
        self.next_position = max(self.match_position, hint) + 1

    def may_send(self) -> bool:
        """Tell whether more entries may be under way."""
        return self.next_position - self.match_position <= MAX_AHEAD
