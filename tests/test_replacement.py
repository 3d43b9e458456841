"""Control replicas that are lost for good are replaced automatically."""

import random
import unittest

from tests.raft_world import Node, World
from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_members import (
    apply_replica_change,
    find_entry,
    voters,
)
from wigeonford.control._raft_node import Identity
from wigeonford.messages.raft import ReplicaChange

DESIRED_VOTERS = 3


class ReplacingWorld(World):
    """Simulate replicas whose leader keeps the group at three voters."""

    def start(self, name: str) -> None:
        node = self.nodes[name]
        log, node.state = node.disk.load()
        node.position = log.base_position
        node.crash_in = None
        initial_names = ["c0", "c1", "c2"]
        configured = dict.fromkeys(
            initial_names if name in initial_names else (), ("", 0)
        )
        node.core = RaftCore(
            Identity(name, configured, DESIRED_VOTERS),
            node.disk.hard_state,
            log,
            random.Random(self.rng.random()),
            self.now_s,
        )

    def join(self, name: str) -> None:
        """Start an empty replica and have the leader add it to the table."""
        if name not in self.nodes:
            self.names.append(name)
            self.nodes[name] = Node(self._new_disk())
            self.start(name)
        for _ in range(40):
            leader = self.leader()
            core = self.live().get(leader or "")
            if core is not None and core.may_change_table:
                if find_entry(core.log.table, name) is not None:
                    return
                change = ReplicaChange(name, "", 0, remove=False)
                core.change_table(apply_replica_change(core.log.table, change))
                self.perform_effects(leader or "")
                return
            self.advance(0.25)
        raise AssertionError("no leader added the replica to the table")


class ReplacementTest(unittest.TestCase):
    """Check that the group returns to three voters after each change."""

    def setUp(self) -> None:
        self.world = ReplacingWorld(3, 11)
        self.world.advance(6.0)

    def voter_names(self) -> set[str]:
        return {entry.name for entry in voters(self.world.committed_table())}

    def test_lost_one_gives_way_to_a_new_one(self) -> None:
        lost = next(
            name for name in self.world.names if name != self.world.leader()
        )
        self.world.crash(lost)
        self.world.advance(5.0)
        self.assertIn(lost, self.voter_names())
        self.world.join("c3")
        self.world.advance(5.0)
        expected = {"c0", "c1", "c2", "c3"} - {lost}
        self.assertEqual(expected, self.voter_names())

    def test_planned_exchange_drops_the_one_that_left(self) -> None:
        self.world.join("c3")
        self.world.advance(3.0)
        self.assertEqual({"c0", "c1", "c2", "c3"}, self.voter_names())
        self.world.crash("c1")
        self.world.advance(8.0)
        self.assertEqual({"c0", "c2", "c3"}, self.voter_names())

    def test_lost_leader_gives_way_too(self) -> None:
        leader = self.world.leader() or ""
        self.world.crash(leader)
        self.world.advance(6.0)
        self.world.join("c3")
        self.world.advance(6.0)
        self.assertNotIn(leader, self.voter_names())
        self.assertEqual(3, len(self.voter_names()))

    def test_short_silence_costs_no_place(self) -> None:
        self.world.crash("c1")
        self.world.advance(1.5)
        self.world.start("c1")
        self.world.advance(5.0)
        self.assertEqual({"c0", "c1", "c2"}, self.voter_names())

    def test_removed_one_that_returns_is_taken_in_again(self) -> None:
        lost = next(
            name for name in self.world.names if name != self.world.leader()
        )
        self.world.crash(lost)
        self.world.advance(5.0)
        self.world.join("c3")
        self.world.advance(5.0)
        self.world.start(lost)
        self.world.join(lost)
        self.world.advance(6.0)
        self.assertEqual({"c0", "c1", "c2", "c3"}, self.voter_names())
