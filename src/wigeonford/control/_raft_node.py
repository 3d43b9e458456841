"""The Raft state of one replica, shared by all roles."""

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
    """Bound the random election timeout, in seconds.

    The defaults tolerate the delays of a busy machine that many processes
    share.
    """

    min_s: float = 1.0
    max_s: float = 2.0


FIRST_ELECTION_MIN_S: Final = 0.1
"""Minimum election timeout after a start. It is short because after a power
loss there is no leader, and if there is one, the other replicas deny the
pre-vote. The wide range up to the usual maximum keeps replicas that start
together from becoming candidates at the same time."""
DEFAULT_TIMING: Final = ElectionTiming()


class Identity(msgspec.Struct, frozen=True):
    """Name a replica and the members that its settings list.

    `configured` maps member names to host and port. If `desired_voters` is
    set, a leader removes silent replicas by itself while there are more
    voters than that or a learner can replace them; 0 leaves removal to the
    operators.
    """

    name: str
    configured: dict[str, tuple[str, int]]
    desired_voters: int = 0
    timing: ElectionTiming = DEFAULT_TIMING


class RaftNode:
    """Hold the Raft state of a replica and collect its effects."""

    def __init__(
        self,
        identity: Identity,
        hard_state: HardState,
        log: RaftLog,
        rng: random.Random,
        now_s: float,
        applied_position: int,
    ) -> None:
        self.identity = identity
        self.hard_state = hard_state
        self.log = log
        self.rng = rng
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_position = max(log.base_position, applied_position)
        self.last_leader_contact_s = float("-inf")
        self.confirmed_at_s: float | None = None
        self.started_at_s = now_s
        # With a random offset, echoed timestamps of an earlier run of this
        # process are not mistaken for timestamps of this run.
        self.stamp_offset_s = rng.random() * _STAMP_RANGE_S
        self._hard_state_unsaved = False
        self._installed: SaveInstalled | None = None
        self._sends: list[Send | SendSnapshot] = []
        self._applied_position = self.commit_position
        self._reported_role_and_term = (self.role, hard_state.term)
        self.election_at_s = now_s + rng.uniform(
            FIRST_ELECTION_MIN_S, identity.timing.max_s
        )

    @property
    def name(self) -> str:
        """Return the replica's name."""
        return self.identity.name

    @property
    def term(self) -> int:
        """Return the latest term known."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Return whether this incarnation may ask for votes."""
        entry = find_entry(self.log.table, self.name)
        return (
            entry is not None
            and entry.voter
            and entry.incarnation == self.hard_state.incarnation
        )

    @property
    def is_empty(self) -> bool:
        """Return whether the data folder has never held a log."""
        return self.log.last_position == 0

    def set_hard_state(self, **changes: Any) -> None:
        """Change the hard state; it is saved before later messages."""
        self.hard_state = replace(self.hard_state, **changes)
        self._hard_state_unsaved = True

    def reset_election_timer(self, now_s: float) -> None:
        """Restart the election timer with a new random timeout."""
        timing = self.identity.timing
        self.election_at_s = now_s + self.rng.uniform(
            timing.min_s, timing.max_s
        )

    def has_live_leader(self, now_s: float) -> bool:
        """Return whether a leader made contact within the minimum timeout."""
        return now_s - self.last_leader_contact_s < self.identity.timing.min_s

    def become_follower(
        self, term: int, leader: str | None, now_s: float
    ) -> None:
        """Become a follower in the current term or a later one."""
        assert term >= self.term, "the term would decrease"
        if term > self.term:
            self.set_hard_state(term=term, voted_for=None)
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self.reset_election_timer(now_s)
        self.leader = leader

    def commit(self, position: int) -> None:
        """Advance the commit position."""
        assert position >= self.commit_position, (
            "the commit position would decrease"
        )
        assert position <= self.log.last_position, (
            "the commit position is beyond the log"
        )
        self.commit_position = position

    def send(self, to: str, record: Any) -> None:
        """Queue a message."""
        self._sends.append(Send(to, record))

    def send_snapshot(self, to: str, recipient: str, now_s: float) -> None:
        """Queue a message with the stored snapshot."""
        self._sends.append(SendSnapshot(to, recipient, self.term, now_s))

    def install(self, snapshot: SaveInstalled) -> None:
        """Replace the log and the state by a snapshot."""
        self.log.reset(snapshot.position, snapshot.term, snapshot.table)
        self.commit_position = snapshot.position
        self._applied_position = snapshot.position
        self._installed = snapshot

    def take_effects(self) -> list[Effect]:
        """Return the pending effects, in order: save, send, apply."""
        effects: list[Effect] = []
        if self._installed is not None:
            effects.append(self._installed)
            self._installed = None
        unsaved = self.log.take_unsaved()
        if self._hard_state_unsaved or unsaved is not None:
            after, entries = unsaved or (None, ())
            hard_state = self.hard_state if self._hard_state_unsaved else None
            effects.append(Save(hard_state, after, entries))
            self._hard_state_unsaved = False
        effects.extend(self._sends)
        self._sends = []
        if self.commit_position > self._applied_position:
            entries = self.log.entries_between(
                self._applied_position, self.commit_position
            )
            effects.append(Apply(entries))
            self._applied_position = self.commit_position
        if self._reported_role_and_term != (self.role, self.term):
            self._reported_role_and_term = (self.role, self.term)
            effects.append(ChangeRole(self.role, self.term))
        return effects
