"""What a leader knows of each follower."""

from dataclasses import dataclass
from typing import Final

RESEND_AFTER_S: Final = 0.6
SNAPSHOT_TIMEOUT_S: Final = 5.0
MAX_AHEAD: Final = 4096


@dataclass(slots=True)
class Progress:
    """Track replication to one incarnation of a follower.

    `acked_sent_s` is when the newest acknowledged message was sent, by the
    leader's clock; `replied_at_s` is the follower's clock.
    """

    incarnation: str
    next_position: int
    match_position: int = 0
    acked_sent_s: float = float("-inf")
    replied_at_s: float | None = None
    progressed_at_s: float = float("-inf")
    snapshot_until_s: float = float("-inf")

    def accept(self, position: int, now_s: float) -> None:
        """Record that the logs match up to a position."""
        self.snapshot_until_s = float("-inf")
        if position > self.match_position:
            self.match_position = position
            self.progressed_at_s = now_s
        self.next_position = max(self.next_position, position + 1)

    def reject(self, hint: int) -> None:
        """Back up to where the logs may match."""
        self.next_position = max(self.match_position, hint) + 1

    def resend_lost(self, now_s: float) -> None:
        """Begin again after the match when nothing came back in time."""
        waiting = self.next_position > self.match_position + 1
        if waiting and now_s - self.progressed_at_s > RESEND_AFTER_S:
            self.next_position = self.match_position + 1
            self.progressed_at_s = now_s

    def may_send(self) -> bool:
        """Tell whether more entries may be under way."""
        return self.next_position - self.match_position <= MAX_AHEAD
