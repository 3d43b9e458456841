"""Elections: who may lead, decided by incarnations of voters."""

from wigeonford.control._raft_effects import Role
from wigeonford.control._raft_members import find_entry, is_quorum, voters
from wigeonford.control._raft_node import RaftNode
from wigeonford.messages.raft import VoteReply, VoteRequest


class Election:
    """Ask for votes and give them."""

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._granted: set[str] = set()

    def start(self, now_s: float) -> bool:
        """Ask whether an election could be won; True if it is won."""
        node = self._node
        node.delay_election(now_s)
        node.leader = None
        if not node.is_voter:
            return False
        node.role = Role.PRE_CANDIDATE
        self._granted = {node.name}
        self._ask(node.term + 1, pre_vote=True)
        return self._count(now_s)

    def _stand(self, now_s: float) -> bool:
        node = self._node
        node.set_hard(term=node.term + 1, voted_for=self._own_vote())
        node.role = Role.CANDIDATE
        node.delay_election(now_s)
        self._granted = {node.name}
        self._ask(node.term, pre_vote=False)
        return self._count(now_s)

    def _own_vote(self) -> str:
        return _vote_for(self._node.name, self._node.hard.incarnation)

    def _ask(self, term: int, *, pre_vote: bool) -> None:
        node = self._node
        for entry in voters(node.log.table):
            if entry.name == node.name:
                continue
            request = VoteRequest(
                node.name,
                node.hard.incarnation,
                entry.incarnation,
                term,
                pre_vote,
                node.log.last_position,
                node.log.last_term,
            )
            node.send(entry.name, request)

    def _count(self, now_s: float) -> bool:
        node = self._node
        if not is_quorum(node.log.table, self._granted):
            return False
        if node.role is Role.PRE_CANDIDATE:
            return self._stand(now_s)
        return node.role is Role.CANDIDATE

    def on_request(self, request: VoteRequest, now_s: float) -> None:
        """Give or refuse a vote.

        Another incarnation's vote is not this one's to give: a data folder
        that was lost may have held a vote for this very term.
        """
        node = self._node
        if request.recipient != node.hard.incarnation:
            return
        leads = node.role is Role.LEADER
        if request.term > node.term and (leads or node.hears_leader(now_s)):
            self._reply(request, granted=False)
            return
        if request.term > node.term and not request.pre_vote:
            node.become_follower(request.term, None, now_s)
        self._reply(request, granted=self._grants(request, now_s))

    def _grants(self, request: VoteRequest, now_s: float) -> bool:
        node = self._node
        if not node.log.is_covered_by(
            request.last_position, request.last_term
        ):
            return False
        if request.pre_vote:
            return request.term > node.term
        vote = _vote_for(request.sender, request.incarnation)
        if request.term < node.term or node.hard.voted_for not in (None, vote):
            return False
        node.set_hard(voted_for=vote)
        node.delay_election(now_s)
        return True

    def _reply(self, request: VoteRequest, *, granted: bool) -> None:
        node = self._node
        reply = VoteReply(
            node.name,
            node.hard.incarnation,
            request.term if granted else node.term,
            request.pre_vote,
            granted,
        )
        node.send(request.sender, reply)

    def on_reply(self, reply: VoteReply, now_s: float) -> bool:
        """Count a vote; True if the election is won by it."""
        node = self._node
        if not reply.granted:
            if reply.term > node.term:
                node.become_follower(reply.term, None, now_s)
            return False
        asked = {
            Role.PRE_CANDIDATE: (True, node.term + 1),
            Role.CANDIDATE: (False, node.term),
        }
        if asked.get(node.role) != (reply.pre_vote, reply.term):
            return False
        entry = find_entry(node.log.table, reply.sender)
        if entry is None or entry.incarnation != reply.incarnation:
            return False
        self._granted.add(reply.sender)
        return self._count(now_s)


def _vote_for(name: str, incarnation: str) -> str:
    return f"{name}/{incarnation}"
