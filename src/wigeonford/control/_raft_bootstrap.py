"""Creation of the log when all configured members start empty."""

import random

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
    """Create the log once every configured member reports an empty folder.

    The member whose name sorts first is the initiator. A member that lost its
    data folder finds others that are not empty. It creates no log and waits
    until the leader adds it as a learner.
    """

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._empty: dict[str, str] = {}

    def probe(self, now_s: float) -> bool:
        """Probe the other members if this replica is the initiator.

        Return True if the log has been created.
        """
        node = self._node
        node.reset_election_timer(now_s)
        if node.name != min(node.identity.configured, default=None):
            return False
        for name in node.identity.configured:
            if name != node.name:
                probe = BootstrapProbe(node.name, node.hard_state.incarnation)
                node.send(name, probe)
        return self._create_log_if_ready()

    def on_probe(self, probe: BootstrapProbe) -> None:
        """Reply to a probe.

        If an empty replica replied to another initiator before, it first
        gets a new incarnation. Messages that carry the old incarnation are
        ignored, so that a log which the earlier initiator created is not
        accepted here.
        """
        node = self._node
        if node.is_empty and node.hard_state.initiator != probe.incarnation:
            if node.hard_state.initiator is not None:
                node.set_hard_state(incarnation=new_incarnation(node.rng))
            node.set_hard_state(initiator=probe.incarnation)
        reply = BootstrapReply(
            node.name,
            node.hard_state.incarnation,
            probe.incarnation,
            node.is_empty,
        )
        node.send(probe.sender, reply)

    def on_reply(self, reply: BootstrapReply) -> bool:
        """Record an empty member; return True if the log was created."""
        node = self._node
        if (
            not node.is_empty
            or reply.initiator_incarnation != node.hard_state.incarnation
        ):
            return False
        if not reply.is_empty:
            self._empty.clear()
            return False
        self._empty[reply.sender] = reply.incarnation
        return self._create_log_if_ready()

    def _create_log_if_ready(self) -> bool:
        node = self._node
        found = {**self._empty, node.name: node.hard_state.incarnation}
        if not found.keys() >= node.identity.configured.keys():
            return False
        table = tuple(
            ReplicaEntry(name, found[name], True, host, port)
            for name, (host, port) in sorted(node.identity.configured.items())
        )
        vote = f"{node.name}/{node.hard_state.incarnation}"
        node.set_hard_state(term=BOOTSTRAP_TERM, voted_for=vote)
        content = COMMANDS.encode(ChangeReplicas(table))
        node.log.append([LogEntry(1, BOOTSTRAP_TERM, content)])
        return True


def new_incarnation(rng: random.Random) -> str:
    """Return a random incarnation id."""
    return f"{rng.getrandbits(64):016x}"
