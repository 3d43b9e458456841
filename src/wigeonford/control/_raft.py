"""The consensus core of one replica: no I/O, no clock, no randomness."""

from collections.abc import Callable
import random
from typing import Any, Final

from wigeonford.control._raft_bootstrap import Bootstrap
from wigeonford.control._raft_effects import Effect, HardState, Role
from wigeonford.control._raft_election import Election
from wigeonford.control._raft_follower import Following
from wigeonford.control._raft_leader import Leading
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_members import ReplicaTable
from wigeonford.control._raft_node import Identity, RaftNode
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    BootstrapProbe,
    BootstrapReply,
    InstallSnapshot,
    VoteReply,
    VoteRequest,
)

_Receiver = Callable[["RaftCore", Any, float], None]
_RECEIVERS: Final[dict[type[Any], _Receiver]] = {}


def _receives(kind: type[Any]) -> Callable[[_Receiver], _Receiver]:
    def add(function: _Receiver) -> _Receiver:
        _RECEIVERS[kind] = function
        return function

    return add


class RaftCore:
    """Agree on one log with the other replicas.

    Feed it messages, ticks and proposals; after each, or after several,
    carry out `take_effects` in order, and stop for good if one that saves
    fails. All times are seconds of one monotonic clock.
    """

    def __init__(
        self,
        identity: Identity,
        hard: HardState,
        log: RaftLog,
        rng: random.Random,
        now_s: float,
    ) -> None:
        if log.last_term > hard.term:
            hard = HardState(hard.incarnation, log.last_term)
        self._node = RaftNode(identity, hard, log, rng, now_s)
        self._election = Election(self._node)
        self._following = Following(self._node)
        self._bootstrap = Bootstrap(self._node)
        self._leading = Leading(self._node)

    @property
    def role(self) -> Role:
        """Return what the replica does at present."""
        return self._node.role

    @property
    def term(self) -> int:
        """Return the latest term known."""
        return self._node.term

    @property
    def hard(self) -> HardState:
        """Return the hard state."""
        return self._node.hard

    @property
    def leader(self) -> str | None:
        """Return the name of the leader, where one is known."""
        return self._node.leader

    @property
    def commit_position(self) -> int:
        """Return the position up to which entries are committed."""
        return self._node.commit_position

    @property
    def log(self) -> RaftLog:
        """Return the log; only the core changes its entries."""
        return self._node.log

    @property
    def may_change_table(self) -> bool:
        """Tell whether `change_table` may be called."""
        return self.role is Role.LEADER and self._leading.may_change_table

    def lag(self) -> dict[str, int]:
        """Return how far followers are behind, in entries; leader only."""
        return self._leading.lag() if self.role is Role.LEADER else {}

    def vouched_at_s(self, now_s: float) -> float | None:
        """Return as of when a quorum confirmed what is committed here."""
        if self.role is Role.LEADER:
            return self._leading.vouched_at_s(now_s)
        return self._node.vouched_at_s

    def tick(self, now_s: float) -> None:
        """Let time pass."""
        node = self._node
        if node.role is Role.LEADER:
            self._tick_leader(now_s)
        elif now_s >= node.election_at_s:
            if node.is_empty:
                if self._bootstrap.probe(now_s):
                    self._leading.start(now_s, founded=True)
            elif self._election.start(now_s):
                self._leading.start(now_s)

    def _tick_leader(self, now_s: float) -> None:
        node = self._node
        if self._leading.lost_quorum(now_s):
            node.become_follower(node.term, None, now_s)
            return
        self._leading.tick(now_s)
        if self._leading.is_removed():
            self._leading.heartbeat(now_s)
            node.become_follower(node.term, None, now_s)

    def receive(self, record: Any, now_s: float) -> None:
        """Take a message from another replica."""
        _RECEIVERS[type(record)](self, record, now_s)

    @_receives(VoteRequest)
    def _vote_request(self, record: VoteRequest, now_s: float) -> None:
        self._election.on_request(record, now_s)

    @_receives(VoteReply)
    def _vote_reply(self, record: VoteReply, now_s: float) -> None:
        if self._election.on_reply(record, now_s):
            self._leading.start(now_s)

    @_receives(AppendEntries)
    def _append(self, record: AppendEntries, now_s: float) -> None:
        self._following.on_append(record, now_s)

    @_receives(InstallSnapshot)
    def _snapshot(self, record: InstallSnapshot, now_s: float) -> None:
        self._following.on_snapshot(record, now_s)

    @_receives(AppendReply)
    def _append_reply(self, record: AppendReply, now_s: float) -> None:
        node = self._node
        if record.term > node.term:
            node.become_follower(record.term, None, now_s)
        elif node.role is Role.LEADER and record.term == node.term:
            self._leading.on_reply(record, now_s)

    @_receives(BootstrapProbe)
    def _bootstrap_probe(self, record: BootstrapProbe, _now_s: float) -> None:
        self._bootstrap.on_probe(record)

    @_receives(BootstrapReply)
    def _bootstrap_reply(self, record: BootstrapReply, now_s: float) -> None:
        if self._bootstrap.on_reply(record):
            self._leading.start(now_s, founded=True)

    def propose(self, contents: list[bytes]) -> int | None:
        """Add commands; return the first's position, None if not leading."""
        if self.role is not Role.LEADER:
            return None
        return self._leading.append(contents)

    def change_table(self, table: ReplicaTable) -> int:
        """Change the table of replicas by at most one voter."""
        return self._leading.change_table(table)

    def request_confirmation(self, now_s: float) -> None:
        """Ask the followers at once to confirm the lead."""
        if self.role is Role.LEADER:
            self._leading.heartbeat(now_s)

    def compact(self, position: int) -> None:
        """Drop log entries that a stored snapshot covers."""
        assert position <= self.commit_position, "only committed entries"
        self._node.log.compact(position)

    def take_effects(self, now_s: float) -> list[Effect]:
        """Return what must be done now, in this order."""
        if self.role is Role.LEADER:
            self._leading.replicate(now_s)
        return self._node.take_effects()
