"""Exchanges that ended without a complete response, and what explains them."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

USUAL_IDLE_FRACTION: Final = 0.8
"""Fraction of the idle timeout up to which callers reuse a connection."""
CROSSING_S: Final = 0.3
"""A request that waits unread for longer has not crossed the close."""


class Ending(Enum):
    """Say how an exchange without a complete response ended.

    Only a direct connection tells `READ`, `UNREAD` and `CROSSED` apart.
    """

    READ = "was read and not answered"
    UNREAD = "arrived before the close and was not read"
    CROSSED = "was sent when the connection had been closed"
    TRUNCATED = "got a part of a response"
    CLOSED = "got no response before the connection closed"
    SILENT = "got no response in time"


@dataclass(frozen=True, slots=True)
class Window:
    """Record from when to when something lasted at an entry VM or target."""

    on: int
    began_s: float
    ended_s: float

    def overlaps(self, on: int, began_s: float, ended_s: float) -> bool:
        """Return whether it lasted there at some time of a span."""
        return (
            self.on == on
            and self.began_s <= ended_s
            and self.ended_s >= began_s
        )


@dataclass(frozen=True, slots=True)
class Break:
    """Record an exchange that ended without a complete response.

    `idle_s` is the time since the caller sent the previous request on the
    connection. Exchanges over a proxy also meet the faults of the links.
    """

    attempt: str
    entry: int
    opened_s: float
    sent_s: float
    ended_s: float
    ending: Ending
    idle_s: float = 0.0
    is_proxied: bool = False

    def explanation(
        self,
        *,
        ran: bool,
        idle_timeout_s: float,
        kills: list[Window],
        link_faults: list[Window],
        stops: list[Window],
    ) -> str | None:
        """Return what explains the break, or None.

        `stops` last from a stop or kill until the VM listens again.
        """
        span = (self.entry, self.sent_s, self.ended_s)
        if any(kill.overlaps(*span) for kill in kills):
            return "the VM was killed"
        if self.is_proxied and any(
            fault.overlaps(self.entry, self.opened_s, self.ended_s)
            for fault in link_faults
        ):
            return "a link fault"
        may_be_closed = self.idle_s > USUAL_IDLE_FRACTION * (
            idle_timeout_s
        ) or any(stop.overlaps(*span) for stop in stops)
        if ran or not may_be_closed:
            return None
        has_crossed = self.ending in (Ending.CROSSED, Ending.CLOSED) or (
            self.ending is Ending.UNREAD
            and self.ended_s - self.sent_s <= CROSSING_S
        )
        return "it crossed the close" if has_crossed else None
