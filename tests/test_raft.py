"""Raft under random faults, in virtual time."""

import random
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    precondition,
    rule,
    RuleBasedStateMachine,
)

from tests.raft_world import World
from wigeonford.control._commands import COMMANDS, ExpireMember
from wigeonford.control._raft_effects import Role

INDEXES = st.integers(0, 4)


class RaftMachine(RuleBasedStateMachine):
    """Break a cluster in any order; the world checks as it goes."""

    world: World
    number = 0

    @initialize(count=st.sampled_from([3, 5]), seed=st.integers(0, 2**32))
    def begin(self, count: int, seed: int) -> None:
        self.world = World(count, seed)
        self.world.advance(4.0)

    def name(self, index: int) -> str:
        return self.world.names[index % len(self.world.names)]

    @rule(seconds=st.sampled_from([0.04, 0.2, 0.6, 1.5, 4.0]))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(count=st.integers(1, 6))
    def propose(self, count: int) -> None:
        for _ in range(count):
            self.number += 1
            content = COMMANDS.encode(ExpireMember("vm", self.number))
            for name, core in self.world.live().items():
                if core.role is Role.LEADER:
                    self.world.propose(name, content)

    @rule(one=INDEXES, other=INDEXES)
    def cut_one_way(self, one: int, other: int) -> None:
        self.world.cuts.add((self.name(one), self.name(other)))

    @rule(index=INDEXES)
    def isolate(self, index: int) -> None:
        for name in self.world.names:
            self.world.cuts.add((self.name(index), name))
            self.world.cuts.add((name, self.name(index)))

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def heal(self, loss: float) -> None:
        self.world.cuts.clear()
        self.world.loss = loss

    @rule(index=INDEXES, effects=st.integers(0, 5))
    def crash_soon(self, index: int, effects: int) -> None:
        self.world.nodes[self.name(index)].crash_in = effects

    @rule()
    def crash_leader(self) -> None:
        leader = self.world.leader()
        if leader is not None:
            self.world.crash(leader)

    @rule(index=INDEXES)
    def restart(self, index: int) -> None:
        self.world.crash(self.name(index))
        self.world.start(self.name(index))

    @precondition(lambda self: self.world.whole())
    @rule(index=INDEXES)
    def lose_folder(self, index: int) -> None:
        self.world.wipe(self.name(index))
        self.world.start(self.name(index))

    @rule(index=INDEXES)
    def fill_disk(self, index: int) -> None:
        self.world.set_full(self.name(index), True)

    @rule(index=INDEXES)
    def make_room(self, index: int) -> None:
        self.world.set_full(self.name(index), False)

    @rule(index=INDEXES)
    def take_snapshot(self, index: int) -> None:
        self.world.take_snapshot(self.name(index))

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.settle()


RaftMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


RaftMachineTest = RaftMachine.TestCase


class SoakTest(unittest.TestCase):
    """Run long random sequences of faults from fixed seeds."""

    def test_random_faults(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                run_random_steps(seed, 250)


def run_random_steps(seed: int, steps: int) -> World:
    """Apply `steps` random steps to a cluster, then check its recovery."""
    rng = random.Random(seed)
    machine = RaftMachine()
    machine.begin(rng.choice([3, 5]), seed)
    for _ in range(steps):
        draw = rng.random()
        index = rng.randrange(5)
        if draw < 0.35:
            machine.advance(rng.choice([0.04, 0.2, 0.6, 1.5, 3.0]))
        elif draw < 0.6:
            machine.propose(rng.randint(1, 6))
        elif draw < 0.66:
            machine.cut_one_way(index, rng.randrange(5))
        elif draw < 0.69:
            machine.isolate(index)
        elif draw < 0.77:
            machine.heal(rng.choice([0.0, 0.1, 0.4]))
        elif draw < 0.82:
            machine.crash_soon(index, rng.randrange(6))
        elif draw < 0.84:
            machine.crash_leader()
        elif draw < 0.92:
            machine.restart(index)
        elif draw < 0.96:
            machine.take_snapshot(index)
        elif machine.world.whole():
            machine.lose_folder(index)
    machine.world.settle()
    return machine.world
