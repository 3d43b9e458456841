"""The Raft core of one replica; callers supply the time and the RNG."""

from collections.abc import Callable
import random
from typing import Any, Final

from wigeonford.control._raft_bootstrap import Bootstrap, new_incarnation
from wigeonford.control._raft_effects import Effect, HardState, Role
from wigeonford.control._raft_election import Election
from wigeonford.control._raft_follower import FollowerRole
from wigeonford.control._raft_leader import LeaderRole
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_members import ReplicaTable
from wigeonford.control._raft_node import Identity, RaftNode
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    BootstrapProbe,
    BootstrapReply,
    HandOver,
    InstallSnapshot,
    VoteReply,
    VoteRequest,
)

_Handler = Callable[["RaftCore", Any, float], None]
_HANDLERS: Final[dict[type[Any], _Handler]] = {}


def _handles(kind: type[Any]) -> Callable[[_Handler], _Handler]:
    def add(function: _Handler) -> _Handler:
        _HANDLERS[kind] = function
        return function

    return add


class RaftCore:
    """Run the Raft protocol for one replica without doing any I/O.

    The caller passes in messages, ticks and proposals. After one or several
    of them it performs the effects that `take_effects` returns, in order.
    If an effect that saves data fails, the caller must replace this core by
    one that is built from what is stored. All times are seconds of one
    monotonic clock.

    `hard_state` is None for an empty data folder. Entries up to
    `applied_position` are known to be committed.
    """

    def __init__(
        self,
        identity: Identity,
        hard_state: HardState | None,
        log: RaftLog,
        rng: random.Random,
        now_s: float,
        applied_position: int = 0,
    ) -> None:
        is_new = hard_state is None
        if hard_state is None:
            hard_state = HardState(new_incarnation(rng))
        if log.last_term > hard_state.term:
            hard_state = HardState(hard_state.incarnation, log.last_term)
        self._node = RaftNode(
            identity, hard_state, log, rng, now_s, applied_position
        )
        if is_new:
            self._node.set_hard_state()
        self._election = Election(self._node)
        self._follower_role = FollowerRole(self._node)
        self._bootstrap = Bootstrap(self._node)
        self._leader_role = LeaderRole(self._node)

    @property
    def role(self) -> Role:
        """Return the current Raft role."""
        return self._node.role

    @property
    def term(self) -> int:
        """Return the latest term known."""
        return self._node.term

    @property
    def hard_state(self) -> HardState:
        """Return the state that must survive a restart."""
        return self._node.hard_state

    @property
    def leader(self) -> str | None:
        """Return the leader's name, or None if no leader is known."""
        return self._node.leader

    @property
    def commit_position(self) -> int:
        """Return the position of the last committed entry."""
        return self._node.commit_position

    @property
    def log(self) -> RaftLog:
        """Return the log; callers must not modify it."""
        return self._node.log

    @property
    def may_change_table(self) -> bool:
        """Return whether `change_table` may be called."""
        return self.role is Role.LEADER and self._leader_role.may_change_table

    def lag(self) -> dict[str, int]:
        """Return each follower's lag in entries; empty unless leading."""
        return self._leader_role.lag() if self.role is Role.LEADER else {}

    def hand_over(self, now_s: float) -> dict[str, HandOver]:
        """Return a leader's last message to each other voter, by its name."""
        if self.role is not Role.LEADER:
            return {}
        return self._leader_role.hand_over(now_s)

    def step_down(self, now_s: float) -> None:
        """Follow whichever replica is elected next in a later term."""
        node = self._node
        if node.role is Role.LEADER:
            node.become_follower(node.term, None, now_s)

    def confirmed_at_s(self, now_s: float) -> float | None:
        """Return when a quorum last confirmed the local commit position.

        Return None if no quorum has confirmed it yet.
        """
        if self.role is Role.LEADER:
            return self._leader_role.confirmed_at_s(now_s)
        return self._node.confirmed_at_s

    def keep_leader_contact(self, previous: "RaftCore") -> None:
        """Deny votes for as long as the core that this one replaces would."""
        contact_s = previous._node.last_leader_contact_s
        self._node.last_leader_contact_s = contact_s

    def defer_election(self, now_s: float) -> None:
        """Restart the election timer, since a leader was heard."""
        self._node.reset_election_timer(now_s)

    def tick(self, now_s: float) -> None:
        """Send due heartbeats, or start an election if the timeout passed."""
        node = self._node
        if node.role is Role.LEADER:
            self._tick_leader(now_s)
        elif now_s >= node.election_at_s:
            if node.is_empty:
                if self._bootstrap.probe(now_s):
                    self._leader_role.start(now_s, bootstrapped=True)
            elif self._election.start_pre_vote(now_s):
                self._leader_role.start(now_s)

    def _tick_leader(self, now_s: float) -> None:
        if self._leader_role.lost_quorum(now_s):
            self.step_down(now_s)
            return
        self._leader_role.tick(now_s)
        if self._leader_role.is_removed():
            self._leader_role.heartbeat(now_s)
            self.step_down(now_s)

    def receive(self, record: Any, now_s: float) -> None:
        """Process a message from another replica.

        Raise `PeerError`, and change nothing, if no replica can have sent it
        in the present term.
        """
        _HANDLERS[type(record)](self, record, now_s)

    @_handles(VoteRequest)
    def _on_vote_request(self, record: VoteRequest, now_s: float) -> None:
        self._election.on_request(record, now_s)

    @_handles(VoteReply)
    def _on_vote_reply(self, record: VoteReply, now_s: float) -> None:
        if self._election.on_reply(record, now_s):
            self._leader_role.start(now_s)

    @_handles(AppendEntries)
    def _on_append_entries(self, record: AppendEntries, now_s: float) -> None:
        self._follower_role.on_append(record, now_s)

    @_handles(InstallSnapshot)
    def _on_install_snapshot(
        self, record: InstallSnapshot, now_s: float
    ) -> None:
        self._follower_role.on_snapshot(record, now_s)

    @_handles(AppendReply)
    def _on_append_reply(self, record: AppendReply, now_s: float) -> None:
        node = self._node
        if record.term > node.term:
            node.become_follower(record.term, None, now_s)
        elif node.role is Role.LEADER and record.term == node.term:
            self._leader_role.on_reply(record, now_s)

    @_handles(HandOver)
    def _on_hand_over(self, record: HandOver, now_s: float) -> None:
        self._follower_role.on_hand_over(record, now_s)

    @_handles(BootstrapProbe)
    def _on_bootstrap_probe(
        self, record: BootstrapProbe, _now_s: float
    ) -> None:
        self._bootstrap.on_probe(record)

    @_handles(BootstrapReply)
    def _on_bootstrap_reply(
        self, record: BootstrapReply, now_s: float
    ) -> None:
        if self._bootstrap.on_reply(record):
            self._leader_role.start(now_s, bootstrapped=True)

    def propose(self, contents: list[bytes]) -> int | None:
        """Append commands to the log.

        Return the position of the first, or None if not the leader.
        """
        if self.role is not Role.LEADER:
            return None
        return self._leader_role.append(contents)

    def change_table(self, table: ReplicaTable) -> int:
        """Append a replica table; return the position of its entry.

        At most one voter may differ from the table in force.
        """
        return self._leader_role.change_table(table)

    def request_confirmation(self, now_s: float) -> None:
        """Send heartbeats now, so that a quorum confirms leadership."""
        if self.role is Role.LEADER:
            self._leader_role.heartbeat(now_s)

    def compact(self, position: int) -> None:
        """Drop the log entries up to a position that a snapshot covers."""
        assert position <= self.commit_position, (
            "the position is not committed"
        )
        self._node.log.compact(position)

    def take_effects(self, now_s: float) -> list[Effect]:
        """Return the pending effects in the order to perform them."""
        if self.role is Role.LEADER:
            self._leader_role.replicate(now_s)
        return self._node.take_effects()
