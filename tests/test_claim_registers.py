"""At most one claimant runs, whatever is lost, late or repeated."""

from collections.abc import Callable
from dataclasses import dataclass
import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    initialize,
    invariant,
    precondition,
    rule,
    RuleBasedStateMachine,
)

from wigeonford.claims._claim_rounds import (
    close_round,
    make_closing_row,
    open_round,
    OutgoingRequest,
    RoundRunner,
    WinPath,
)
from wigeonford.claims._proposer import (
    CLAIM_TIMEOUT_S,
    decide_votes,
    majority_size,
    possible_winners,
)
from wigeonford.claims._registers import (
    EMPTY_REGISTER,
    merge_copy,
    OPEN_BALLOT,
    Register,
    RegisterRequest,
    to_copy,
    transition,
)
from wigeonford.errors import Code
from wigeonford.messages.claim import ClaimRow, RegisterReply
from wigeonford.messages.object import Outcome

KEY = b"key"
RUNS = 4000
STEPS = 90
OUTCOME = Outcome(200, (), b"done")


@dataclass
class Run:
    """Follow one claimant from its claim to its end."""

    row: ClaimRow
    opening: RoundRunner
    closing: RoundRunner | None = None
    ran: bool | None = None

    @property
    def current(self) -> RoundRunner:
        return self.closing or self.opening

    @property
    def won(self) -> bool:
        decision = self.opening.decision
        return decision is not None and decision.code is Code.OK


@dataclass(frozen=True)
class Wire:
    """Hold a request or a reply under way."""

    run: Run
    runner: RoundRunner
    phase: int
    replica: int
    content: RegisterRequest | RegisterReply


class ClaimMachine(RuleBasedStateMachine):
    """Race claimants over replicas that may lose their disks."""

    def __init__(self) -> None:
        super().__init__()
        self.registers: list[Register] = []
        self.runs: list[Run] = []
        self.wires: list[Wire] = []
        self.now_s = 0.0

    @initialize(count=st.sampled_from((3, 5)))
    def create(self, count: int) -> None:
        self.registers = [EMPTY_REGISTER] * count

    @property
    def count(self) -> int:
        return len(self.registers)

    def send(self, run: Run, outgoing: list[OutgoingRequest]) -> None:
        for item in outgoing:
            self.wires.extend(
                Wire(run, run.current, item.phase, replica, item.request)
                for replica in range(self.count)
            )

    @precondition(lambda self: len(self.runs) < 6)
    @rule()
    def claim(self) -> None:
        row = ClaimRow(b"same", f"c{len(self.runs)}", self.now_s, "open")
        runner = RoundRunner(open_round(KEY, row, self.count))
        run = Run(row, runner)
        self.runs.append(run)
        self.send(run, runner.start())

    def carry(self, index: int) -> None:
        wire = self.wires.pop(index)
        if isinstance(wire.content, RegisterReply):
            self.send(wire.run, wire.runner.on_reply(wire.phase, wire.content))
            return
        held = self.registers[wire.replica]
        self.registers[wire.replica], reply = transition(held, wire.content)
        self.wires.append(
            Wire(wire.run, wire.runner, wire.phase, wire.replica, reply)
        )

    @precondition(lambda self: self.wires)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        self.carry(data.draw(st.integers(0, len(self.wires) - 1)))

    @precondition(lambda self: self.wires)
    @rule(
        replicas=st.sets(st.integers(0, 4), min_size=1),
        loses=st.booleans(),
    )
    def deliver_among(self, replicas: set[int], loses: bool) -> None:
        """Carry requests and replies of some replicas, perhaps no others."""
        for _ in range(2):
            waiting = len(self.wires)
            index = 0
            for _ in range(waiting):
                if self.wires[index].replica in replicas:
                    self.carry(index)
                else:
                    index += 1
        if loses:
            self.wires = [w for w in self.wires if w.replica in replicas]

    @precondition(lambda self: self.wires)
    @rule(data=st.data())
    def lose(self, data: st.DataObject) -> None:
        self.wires.pop(data.draw(st.integers(0, len(self.wires) - 1)))

    @precondition(lambda self: self.runs)
    @rule(data=st.data())
    def time_out(self, data: st.DataObject) -> None:
        self.expire(data.draw(st.sampled_from(self.runs)))

    def expire(self, run: Run) -> None:
        self.send(run, run.current.on_timeout(run.current.phase))

    @rule()
    def wait(self) -> None:
        self.now_s += CLAIM_TIMEOUT_S + 1

    @precondition(
        lambda self: any(r.won and r.closing is None for r in self.runs)
    )
    @rule(data=st.data(), ran=st.booleans(), direct=st.booleans())
    def close(self, data: st.DataObject, ran: bool, direct: bool) -> None:
        open_runs = [r for r in self.runs if r.won and r.closing is None]
        self.end(data.draw(st.sampled_from(open_runs)), ran, direct)

    def end(self, run: Run, ran: bool, direct: bool) -> None:
        run.ran = ran
        row = make_closing_row(
            run.row, ran=ran, outcome=OUTCOME if ran else None
        )
        direct = direct and run.opening.phase == 1
        won = WinPath.OPEN_BALLOT if direct else WinPath.RECOVERY
        run.closing = RoundRunner(close_round(KEY, row, self.count, won))
        self.send(run, run.closing.start())

    def release(self, run: Run) -> None:
        """Free what a round that did not win may have written."""
        row = make_closing_row(run.row, ran=False, outcome=None)
        run.closing = RoundRunner(
            close_round(KEY, row, self.count, WinPath.NOT_WON)
        )
        self.send(run, run.closing.start())

    @rule(data=st.data())
    def lose_disk(self, data: st.DataObject) -> None:
        """Lose a disk, and copy once every earlier proposer has ended."""
        replica = data.draw(st.integers(0, self.count - 1))

        def choose(others: list[int], size: int) -> list[int]:
            return data.draw(st.permutations(others))[:size]

        self.replace_disk(replica, choose)

    def replace_disk(
        self, replica: int, choose: Callable[[list[int], int], list[int]]
    ) -> None:
        others = [n for n in range(self.count) if n != replica]
        sources = choose(others, majority_size(self.count))
        for run in self.runs:
            while run.current.decision is None:
                run.current.on_timeout(run.current.phase)
        self.wires.clear()
        register = EMPTY_REGISTER
        for source in sources:
            copy = to_copy(KEY, self.registers[source])
            if self.registers[source] != EMPTY_REGISTER:
                register = merge_copy(register, copy)
        self.registers[replica] = register

    @invariant()
    def runs_at_most_once(self) -> None:
        winners = [run for run in self.runs if run.won]
        running = [run for run in winners if run.ran is not False]
        assert len(running) <= 1, f"{len(running)} claimants may run"

    @invariant()
    def outcome_is_true(self) -> None:
        replayed = [
            run
            for run in self.runs
            if run.opening.decision is not None
            and run.opening.decision.code is Code.REPLAYED
        ]
        ran = any(run.ran for run in self.runs)
        assert ran or not replayed, "an outcome came from nowhere"


ClaimTest = ClaimMachine.TestCase
ClaimTest.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)


class RandomRunTest(unittest.TestCase):
    """Race claimants in many short seeded runs."""

    def test_runs(self) -> None:
        for seed in range(RUNS):
            with self.subTest(seed=seed):
                self._run(random.Random(seed))

    def _run(self, rng: random.Random) -> None:
        machine = ClaimMachine()
        machine.create(rng.choice((3, 3, 5)))
        for _ in range(rng.randint(2, 4)):
            machine.claim()
        for _ in range(STEPS):
            self._step(machine, rng)
            machine.runs_at_most_once()

    def _step(self, machine: ClaimMachine, rng: random.Random) -> None:
        draw = rng.random()
        ended = [
            r for r in machine.runs if r.opening.decision and not r.closing
        ]
        won = [r for r in ended if r.won]
        lost = [r for r in ended if not r.won]
        if draw < 0.85 and machine.wires:
            machine.carry(rng.randrange(len(machine.wires)))
        elif draw < 0.89 and machine.wires:
            machine.wires.pop(rng.randrange(len(machine.wires)))
        elif draw < 0.93:
            run = rng.choice(machine.runs)
            machine.expire(run)
        elif draw < 0.95:
            machine.wait()
        elif draw < 0.96 and lost:
            machine.release(rng.choice(lost))
        elif draw < 0.97 and won:
            machine.end(rng.choice(won), rng.random() < 0.5, True)
        elif draw < 0.99 and len(machine.runs) < 6:
            machine.claim()
        elif draw > 0.99:
            replica = rng.randrange(machine.count)
            machine.replace_disk(replica, rng.sample)


def _reply(claimant: str | None, *, granted: bool = False) -> RegisterReply:
    row = ClaimRow(b"f", claimant, 0.0, "open") if claimant else None
    accepted = OPEN_BALLOT if claimant else None
    return RegisterReply(granted, OPEN_BALLOT, accepted, row)


class VotesTest(unittest.TestCase):
    """Count votes of the open ballot."""

    def test_majority_wins(self) -> None:
        row = ClaimRow(b"f", "a", 0.0, "open")
        grant = _reply("a", granted=True)
        decision = decide_votes(row, [grant, grant], 3)
        self.assertEqual(getattr(decision, "code", None), Code.OK)

    def test_other_body_is_a_mismatch(self) -> None:
        row = ClaimRow(b"other", "b", 0.0, "open")
        decision = decide_votes(row, [_reply("a"), _reply("a")], 3)
        code = getattr(decision, "code", None)
        self.assertEqual(code, Code.CLAIM_MISMATCH)

    def test_unseen_replicas_may_have_voted(self) -> None:
        promises = [_reply("a"), _reply(None)]
        self.assertEqual(set(possible_winners(promises, 3)), {"a"})
        self.assertEqual(possible_winners([*promises, _reply(None)], 3), {})
