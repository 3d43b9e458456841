"""Leader election; votes are bound to incarnations of replicas."""

from wigeonford.control._raft_effects import Role
from wigeonford.control._raft_members import find_entry, is_quorum, voters
from wigeonford.control._raft_node import RaftNode
from wigeonford.messages.raft import VoteReply, VoteRequest


class Election:
    """Request, grant and count votes, with a pre-vote round first."""

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._granted_by: set[str] = set()

    def start_pre_vote(self, now_s: float) -> bool:
        """Start a pre-vote round.

        Return True if the election is already won, as with a single voter.
        """
        node = self._node
        node.reset_election_timer(now_s)
        node.leader = None
        if not node.is_voter:
            return False
        node.role = Role.PRE_CANDIDATE
        self._granted_by = {node.name}
        self._request_votes(node.term + 1, pre_vote=True)
        return self._check_votes(now_s)

    def _start_candidacy(self, now_s: float) -> bool:
        node = self._node
        node.set_hard_state(term=node.term + 1, voted_for=self._own_vote())
        node.role = Role.CANDIDATE
        node.reset_election_timer(now_s)
        self._granted_by = {node.name}
        self._request_votes(node.term, pre_vote=False)
        return self._check_votes(now_s)

    def _own_vote(self) -> str:
        return _vote_for(self._node.name, self._node.hard_state.incarnation)

    def _request_votes(self, term: int, *, pre_vote: bool) -> None:
        node = self._node
        for entry in voters(node.log.table):
            if entry.name == node.name:
                continue
            request = VoteRequest(
                node.name,
                node.hard_state.incarnation,
                entry.incarnation,
                term,
                pre_vote,
                node.log.last_position,
                node.log.last_term,
            )
            node.send(entry.name, request)

    def _check_votes(self, now_s: float) -> bool:
        node = self._node
        if not is_quorum(node.log.table, self._granted_by):
            return False
        if node.role is Role.PRE_CANDIDATE:
            return self._start_candidacy(now_s)
        return node.role is Role.CANDIDATE

    def on_request(self, request: VoteRequest, now_s: float) -> None:
        """Grant or deny a vote.

        A request to another incarnation of this replica is ignored: a data
        folder that was lost may have recorded a vote in the same term.
        """
        node = self._node
        if request.recipient != node.hard_state.incarnation:
            return
        is_leader = node.role is Role.LEADER
        if request.term > node.term and (
            is_leader or node.has_live_leader(now_s)
        ):
            self._reply(request, granted=False)
            return
        if request.term > node.term and not request.pre_vote:
            node.become_follower(request.term, None, now_s)
        self._reply(request, granted=self._decide_vote(request, now_s))

    def _decide_vote(self, request: VoteRequest, now_s: float) -> bool:
        node = self._node
        if not node.log.is_covered_by(
            request.last_position, request.last_term
        ):
            return False
        if request.pre_vote:
            return request.term > node.term
        vote = _vote_for(request.sender, request.incarnation)
        if request.term < node.term or node.hard_state.voted_for not in (
            None,
            vote,
        ):
            return False
        node.set_hard_state(voted_for=vote)
        node.reset_election_timer(now_s)
        return True

    def _reply(self, request: VoteRequest, *, granted: bool) -> None:
        node = self._node
        reply = VoteReply(
            node.name,
            node.hard_state.incarnation,
            request.term if granted else node.term,
            request.pre_vote,
            granted,
        )
        node.send(request.sender, reply)

    def on_reply(self, reply: VoteReply, now_s: float) -> bool:
        """Count a vote; return True if it wins the election."""
        node = self._node
        if not reply.is_granted:
            if reply.term > node.term:
                node.become_follower(reply.term, None, now_s)
            return False
        expected = {
            Role.PRE_CANDIDATE: (True, node.term + 1),
            Role.CANDIDATE: (False, node.term),
        }
        if expected.get(node.role) != (reply.pre_vote, reply.term):
            return False
        entry = find_entry(node.log.table, reply.sender)
        if entry is None or entry.incarnation != reply.incarnation:
            return False
        self._granted_by.add(reply.sender)
        return self._check_votes(now_s)


def _vote_for(name: str, incarnation: str) -> str:
    return f"{name}/{incarnation}"
