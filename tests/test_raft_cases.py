"""Single hard cases of Raft, driven step by step in virtual time."""

import asyncio
from collections.abc import Callable
import unittest
from unittest import mock

from tests.raft_world import World
from tests.virtual_time import run_virtual, VirtualLoop
from wigeonford.control._commands import COMMANDS, ExpireMember
from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_effects import HardState, Role
from wigeonford.control._raft_members import (
    apply_replica_change,
    ChangeReplicas,
    find_entry,
    ReplicaEntry,
    without_entry,
)
from wigeonford.control._raft_node import DEFAULT_TIMING
from wigeonford.control._raft_replica import RaftReplica, REQUEST_TIMEOUT_S
from wigeonford.control._store import LogEntry
from wigeonford.messages.raft import AppendEntries, ReplicaChange


def command(number: int, size: int = 0) -> bytes:
    return COMMANDS.encode(ExpireMember("x" * size, number))


class StalledReplicaTest(unittest.TestCase):
    """A replica stands still while a command is committed."""

    def test_result_in_time_is_not_taken_for_a_lost_quorum(self) -> None:
        async def await_result() -> int:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            fut: asyncio.Future[int] = loop.create_future()
            loop.call_later(0.2, fut.set_result, 7)
            loop.call_later(0.1, loop.stall, REQUEST_TIMEOUT_S)
            return await RaftReplica._await_result(mock.Mock(), fut)

        self.assertEqual(7, run_virtual(await_result()))


class RaftCasesTest(unittest.TestCase):
    """Set up one hard case in each test."""

    def make_cluster(self, count: int) -> tuple[World, str]:
        world = World(count, 7)
        world.advance(5.0)
        leader = world.leader()
        assert leader is not None, "no leader was elected within 5 s"
        return world, leader

    def core(self, world: World, name: str) -> RaftCore:
        core = world.nodes[name].core
        assert core is not None, "the replica is down"
        return core

    def elect(self, world: World, name: str, peers: set[str]) -> None:
        """Make a replica the leader with the votes of `peers`."""
        for _ in range(40):
            world.now_s += 3.0
            self.core(world, name).tick(world.now_s)
            world.perform_effects(name)
            for _ in range(4):
                self.deliver(world, lambda s, t: {s, t} <= peers | {name})
            if self.core(world, name).role is Role.LEADER:
                return
        self.fail(f"{name} was not elected")

    def deliver(
        self, world: World, is_connected: Callable[[str, str], bool]
    ) -> None:
        """Deliver the messages in flight between connected replicas.

        AppendEntries that would extend a log beyond entry 2 are dropped.
        """
        messages, world.in_flight = world.in_flight, []
        for _, _, sender, to, record in sorted(messages, key=lambda m: m[1]):
            core = world.nodes[to].core
            if core is None or not is_connected(sender, to):
                continue
            is_dropped = isinstance(record, AppendEntries) and (
                record.entries
                and record.previous_position == core.log.last_position > 1
            )
            if not is_dropped:
                core.receive(record, world.now_s)
                world.perform_effects(to)

    def test_entries_of_earlier_terms_are_not_counted(self) -> None:
        """Guard against committing an earlier term's entry by counting.

        An entry of an earlier term on a majority is not committed yet: a
        replica whose last entry has a later term can still be elected and
        overwrite it.
        """
        world = World(5, 3)
        table = tuple(
            ReplicaEntry(
                n, world.nodes[n].disk.hard_state.incarnation, True, "", 0
            )
            for n in world.names
        )
        table_entry = LogEntry(1, 1, COMMANDS.encode(ChangeReplicas(table)))
        for name in world.names:
            disk = world.nodes[name].disk
            old = LogEntry(2, 2, command(1, 300_000))
            newer = LogEntry(2, 3, command(2))
            disk.entries = [table_entry]
            disk.entries += {"c0": [old], "c4": [newer]}.get(name, [])
            disk.hard_state = HardState(disk.hard_state.incarnation, 3)
            world.start(name)
        self.elect(world, "c0", {"c1", "c2"})
        for _ in range(4):
            self.deliver(world, lambda s, t: {s, t} <= {"c0", "c1", "c2"})
            world.perform_effects("c0")
        term = self.core(world, "c2").log.term_at(2)
        self.assertEqual(term, 2, "the old entry is not on a majority")
        world.crash("c0")
        world.in_flight.clear()
        self.elect(world, "c4", {"c1", "c2", "c3"})
        world.settle()

    def test_lost_folder_neither_acknowledges_nor_vouches(self) -> None:
        world, leader = self.make_cluster(3)
        one, other = (name for name in world.names if name != leader)
        world.propose(leader, command(1))
        world.advance(1.0)
        committed = len(world.committed)
        world.crash(one)
        world.wipe(other)
        world.start(other)
        lost_at_s = world.now_s
        world.propose(leader, command(2))
        world.advance(6.0)
        self.assertEqual(len(world.committed), committed)
        for core in world.live().values():
            confirmed_at_s = core.confirmed_at_s(world.now_s)
            self.assertLessEqual(confirmed_at_s or 0.0, lost_at_s)
        world.settle()
        world.advance(3.0)
        self.assertTrue(world.whole())

    def test_removed_leader_steps_down(self) -> None:
        world, leader = self.make_cluster(5)
        core = self.core(world, leader)
        core.change_table(without_entry(core.log.table, leader))
        world.perform_effects(leader)
        world.advance(6.0)
        self.assertIsNot(core.role, Role.LEADER)
        new_leader = world.leader()
        assert new_leader is not None, "the other replicas elected no leader"
        self.assertNotEqual(new_leader, leader)
        table = self.core(world, new_leader).log.table
        self.assertIsNone(find_entry(table, leader))
        world.nodes.pop(leader)
        world.settle()

    def test_added_replica_learns_then_votes(self) -> None:
        world, leader = self.make_cluster(3)
        core = self.core(world, leader)
        for number in range(5):
            world.propose(leader, command(number))
        world.advance(0.5)
        world.take_snapshot(leader)
        removed = next(n for n in world.names if n != leader)
        core.change_table(without_entry(core.log.table, removed))
        world.perform_effects(leader)
        world.advance(1.0)
        world.wipe(removed)
        world.start(removed)
        change = ReplicaChange(removed, "", 0, remove=False)
        core.change_table(apply_replica_change(core.log.table, change))
        world.perform_effects(leader)
        world.advance(3.0)
        self.assertTrue(world.whole())
        world.settle()

    def test_new_leader_changes_no_table_before_its_term(self) -> None:
        world, leader = self.make_cluster(3)
        world.propose(leader, command(1))
        world.advance(1.0)
        world.crash(leader)
        while world.leader() is None:
            world.advance(0.02)
        core = self.core(world, str(world.leader()))
        self.assertLess(core.commit_position, core.log.last_position)
        self.assertLessEqual(core.log.table_position, core.commit_position)
        self.assertFalse(core.may_change_table)
        world.advance(1.0)
        self.assertTrue(core.may_change_table)

    def test_follower_commits_only_what_matches(self) -> None:
        world = World(3, 5)
        node = world.nodes["c0"]
        node.disk.entries = [
            LogEntry(1, 1, COMMANDS.encode(ChangeReplicas(()))),
            LogEntry(2, 1, command(1)),
            LogEntry(3, 1, command(2)),
        ]
        node.disk.hard_state = HardState("here", 1)
        world.start("c0")
        core = self.core(world, "c0")
        heartbeat = AppendEntries("c1", "here", 2, 2, 1, (), 3, 0.0, None, 0.0)
        core.receive(heartbeat, world.now_s)
        self.assertEqual(
            core.commit_position,
            2,
            "entry 3 may differ from the leader's",
        )

    def test_half_deaf_follower_disturbs_nobody(self) -> None:
        world, leader = self.make_cluster(5)
        cut_off = next(name for name in world.names if name != leader)
        world.cuts.add((leader, cut_off))
        world.advance(15.0)
        self.assertEqual(set(world.leaders.values()), {leader})
        self.assertEqual(self.core(world, leader).term, max(world.leaders))

    def test_leader_without_quorum_steps_down(self) -> None:
        world, leader = self.make_cluster(5)
        world.cuts.update((name, leader) for name in world.names)
        world.advance(1.5)
        self.assertIsNot(self.core(world, leader).role, Role.LEADER)
        world.advance(4.0)
        self.assertNotEqual(world.leader(), leader)
        latest_term = max(world.leaders)
        world.advance(10.0)
        self.assertEqual(
            max(world.leaders), latest_term, "further elections took place"
        )


RUNS = 60


class PowerLossTest(unittest.TestCase):
    """Check the time to a leader after all replicas start together."""

    def measure_time_to_leader(self, seed: int) -> float:
        """Return the seconds from a power loss of all replicas to a leader."""
        world = World(5, seed)
        world.delay_s = 0.11
        world.advance(6.0)
        for name in world.names:
            world.crash(name)
        world.in_flight.clear()
        for name in world.names:
            world.start(name)
        began_s = world.now_s
        while world.leader() is None and world.now_s < began_s + 20.0:
            world.advance(0.05)
        return world.now_s - began_s

    def test_somebody_leads_before_a_timeout_is_over(self) -> None:
        """Guard against long or colliding first elections.

        Replicas that waited a full election timeout for the lost leader,
        or became candidates at the same time, would elect a leader later.
        """
        times = sorted(
            self.measure_time_to_leader(seed) for seed in range(RUNS)
        )
        min_timeout_s = DEFAULT_TIMING.min_s
        self.assertLess(sum(times) / RUNS, min_timeout_s)
        self.assertLess(times[int(0.9 * RUNS)], 2 * min_timeout_s)
