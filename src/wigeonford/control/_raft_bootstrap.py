"""The first start: all members are empty, and the first name begins."""

from wigeonford.control._commands import COMMANDS
from wigeonford.control._raft_members import (
    ChangeReplicas,
    ReplicaEntry,
)
from wigeonford.control._raft_node import RaftNode
from wigeonford.control._store import LogEntry
from wigeonford.messages.raft import BootstrapProbe, BootstrapReply

BOOTSTRAP_TERM = 1


class Bootstrap:
    """Begin a log once every configured member says that it is empty.

    A member whose data folder was lost among others that kept theirs finds
    a member that is not empty, so it waits to be taken in as a learner.
    """

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._empty: dict[str, str] = {}

    def probe(self, now_s: float) -> bool:
        """Ask the others, as the first member by name; True if founded."""
        node = self._node
        node.delay_election(now_s)
        if node.name != min(node.identity.configured, default=None):
            return False
        for name in node.identity.configured:
            if name != node.name:
                probe = BootstrapProbe(node.name, node.hard.incarnation)
                node.send(name, probe)
        return self._found()

    def on_probe(self, probe: BootstrapProbe) -> None:
        """Answer; a new initiator gets a new incarnation of this replica.

        What an earlier initiator may have begun is then void here, even
        where its messages are still under way.
        """
        node = self._node
        if node.is_empty and node.hard.initiator != probe.incarnation:
            if node.hard.initiator is not None:
                node.set_hard(incarnation=new_incarnation(node))
            node.set_hard(initiator=probe.incarnation)
        reply = BootstrapReply(
            node.name, node.hard.incarnation, probe.incarnation, node.is_empty
        )
        node.send(probe.sender, reply)

    def on_reply(self, reply: BootstrapReply) -> bool:
        """Note an empty member; True if the log has been begun."""
        node = self._node
        if not node.is_empty or reply.initiator != node.hard.incarnation:
            return False
        if not reply.empty:
            self._empty.clear()
            return False
        self._empty[reply.sender] = reply.incarnation
        return self._found()

    def _found(self) -> bool:
        node = self._node
        found = {**self._empty, node.name: node.hard.incarnation}
        if not found.keys() >= node.identity.configured.keys():
            return False
        table = tuple(
            ReplicaEntry(name, found[name], True, host, port)
            for name, (host, port) in sorted(node.identity.configured.items())
        )
        vote = f"{node.name}/{node.hard.incarnation}"
        node.set_hard(term=BOOTSTRAP_TERM, voted_for=vote)
        content = COMMANDS.encode(ChangeReplicas(table))
        node.log.append([LogEntry(1, BOOTSTRAP_TERM, content)])
        return True


def new_incarnation(node: RaftNode) -> str:
    """Return a random name of an incarnation."""
    return f"{node.rng.getrandbits(64):016x}"
