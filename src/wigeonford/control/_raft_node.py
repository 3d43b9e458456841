"""What one replica knows, and the transitions that its parts share."""

import random
from typing import Any, Final

import msgspec
from msgspec.structs import replace

from wigeonford.control._raft_effects import (
    Apply,
    ChangeRole,
    Effect,
    HardState,
    Role,
    Save,
    SaveInstalled,
    Send,
    SendSnapshot,
)
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_members import find_entry

HEARTBEAT_S: Final = 0.2
_STAMP_RANGE_S: Final = 1e9


class ElectionTiming(msgspec.Struct, frozen=True):
    """Bound the time without a leader after which a replica stands.

    The defaults bear a busy machine that many processes share.
    """

    min_s: float = 1.0
    max_s: float = 2.0


FIRST_MIN_S: Final = 0.1
"""Least time until a replica that has just started stands: after a loss of
power nobody leads, and where somebody does, others say so. A wide draw keeps
those that start together from standing together."""
USUAL_TIMING: Final = ElectionTiming()


class Identity(msgspec.Struct, frozen=True):
    """Name a replica and the members that its settings list.

    With `wanted_voters` set, a leader removes silent voters beyond or in
    exchange for that number by itself; 0 leaves that to the operators.
    """

    name: str
    configured: dict[str, tuple[str, int]]
    wanted_voters: int = 0
    timing: ElectionTiming = USUAL_TIMING


class RaftNode:
    """Hold the state of a replica and collect its effects."""

    def __init__(
        self,
        identity: Identity,
        hard: HardState,
        log: RaftLog,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self.identity = identity
        self.hard = hard
        self.log = log
        self.rng = rng
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_position = log.base_position
        self.heard_leader_s = float("-inf")
        self.vouched_at_s: float | None = None
        self.started_at_s = now_s
        # A random offset keeps stamps of an earlier run of this process
        # from being taken for stamps of this one.
        self.stamp_offset_s = rng.random() * _STAMP_RANGE_S
        self._hard_unsaved = False
        self._installed: SaveInstalled | None = None
        self._sends: list[Send | SendSnapshot] = []
        self._applied_position = log.base_position
        self._reported = (self.role, hard.term)
        self.election_at_s = now_s + rng.uniform(
            FIRST_MIN_S, identity.timing.max_s
        )

    @property
    def name(self) -> str:
        """Return the replica's name."""
        return self.identity.name

    @property
    def term(self) -> int:
        """Return the latest term known."""
        return self.hard.term

    @property
    def is_voter(self) -> bool:
        """Tell whether this incarnation may ask for votes."""
        entry = find_entry(self.log.table, self.name)
        return (
            entry is not None
            and entry.voter
            and entry.incarnation == self.hard.incarnation
        )

    @property
    def is_empty(self) -> bool:
        """Tell whether the data folder has never held a log."""
        return self.log.last_position == 0

    def set_hard(self, **changes: Any) -> None:
        """Change what must be durable before any later message leaves."""
        self.hard = replace(self.hard, **changes)
        self._hard_unsaved = True

    def delay_election(self, now_s: float) -> None:
        """Draw a new election timeout."""
        timing = self.identity.timing
        self.election_at_s = now_s + self.rng.uniform(
            timing.min_s, timing.max_s
        )

    def hears_leader(self, now_s: float) -> bool:
        """Tell whether a leader was heard within the least timeout."""
        return now_s - self.heard_leader_s < self.identity.timing.min_s

    def become_follower(
        self, term: int, leader: str | None, now_s: float
    ) -> None:
        """Follow in a term at least as new as the one known."""
        assert term >= self.term, "terms never go back"
        if term > self.term:
            self.set_hard(term=term, voted_for=None)
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self.delay_election(now_s)
        self.leader = leader

    def commit(self, position: int) -> None:
        """Advance the commit position."""
        assert position >= self.commit_position, "commits never go back"
        assert position <= self.log.last_position, "commits are held"
        self.commit_position = position

    def send(self, to: str, record: Any) -> None:
        """Queue a message."""
        self._sends.append(Send(to, record))

    def send_snapshot(self, to: str, recipient: str, now_s: float) -> None:
        """Queue the stored snapshot."""
        self._sends.append(SendSnapshot(to, recipient, self.term, now_s))

    def install(self, snapshot: SaveInstalled) -> None:
        """Replace log and state by a snapshot."""
        self.log.reset(snapshot.position, snapshot.term, snapshot.table)
        self.commit_position = snapshot.position
        self._applied_position = snapshot.position
        self._installed = snapshot

    def take_effects(self) -> list[Effect]:
        """Return what is to be done, in order: save, send, apply."""
        effects: list[Effect] = []
        if self._installed is not None:
            effects.append(self._installed)
            self._installed = None
        unsaved = self.log.take_unsaved()
        if self._hard_unsaved or unsaved is not None:
            after, entries = unsaved or (None, ())
            hard = self.hard if self._hard_unsaved else None
            effects.append(Save(hard, after, entries))
            self._hard_unsaved = False
        effects.extend(self._sends)
        self._sends = []
        if self.commit_position > self._applied_position:
            entries = self.log.between(
                self._applied_position, self.commit_position
            )
            effects.append(Apply(entries))
            self._applied_position = self.commit_position
        if self._reported != (self.role, self.term):
            self._reported = (self.role, self.term)
            effects.append(ChangeRole(self.role, self.term))
        return effects
