"""What a replica may do while its disk takes no writes."""

from collections.abc import Callable
from typing import Any, Final

from msgspec.structs import replace

from wigeonford.control._raft import RaftCore
from wigeonford.messages.raft import AppendEntries, HandOver, InstallSnapshot

LEADER_KNOWN_S: Final = 2.0
"""Several heartbeats and the maximum election timeout."""


class StorageOutage:
    """Follow the leader without anything that needs to be stored.

    The replica acknowledges what it stores already and learns that stored
    entries are committed. It does not vote, and it only passes requests on to
    a leader of a term that it can't store.

    `may_follow` is False until the core holds no more than what is stored,
    `may_reply` as long as it isn't known what a power failure would leave.
    `is_overtaken` tells that a later leader has committed an entry: what this
    replica has sent to nobody will never be committed.
    """

    def __init__(
        self, clock: Callable[[], float], *, may_reply: bool = False
    ) -> None:
        self._clock = clock
        self._leader: str | None = None
        self._heard_at_s = float("-inf")
        self.may_follow = may_reply
        self.may_reply = may_reply
        self.is_overtaken = False
        self.term = 0

    @property
    def leader(self) -> str | None:
        """Return the leader's name; None if none was heard lately."""
        age_s = self._clock() - self._heard_at_s
        return self._leader if age_s < LEADER_KNOWN_S else None

    def reduce(self, record: Any, core: RaftCore) -> AppendEntries | None:
        """Return the part of a message to process, or None."""
        if isinstance(record, HandOver) and record.sender == self._leader:
            self._leader = None
        if not isinstance(record, AppendEntries | InstallSnapshot):
            return None
        if record.term >= max(core.term, self.term):
            self._leader = record.sender
            self._heard_at_s = self._clock()
            self.term = record.term
        if record.term > core.term and _has_committed(record):
            self.is_overtaken = True
        if (
            isinstance(record, InstallSnapshot)
            or record.term != core.term
            or not self.may_follow
        ):
            return None
        previous = record.previous_position
        if previous > core.log.last_position == core.commit_position:
            # A reply that entries are missing would have them sent again with
            # each heartbeat.
            previous = core.commit_position
        return replace(record, previous_position=previous, entries=())


def _has_committed(record: AppendEntries | InstallSnapshot) -> bool:
    """Return whether the sender has committed an entry of its own term."""
    if isinstance(record, InstallSnapshot):
        return record.snapshot_term == record.term
    terms = (record.previous_term, *(item.term for item in record.entries))
    return any(
        term == record.term and position <= record.commit_position
        for position, term in enumerate(terms, record.previous_position)
    )
