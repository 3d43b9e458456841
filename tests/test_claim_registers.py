"""At most one claimant runs despite lost or late messages and lost disks."""

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
SIMULATIONS = 4000
STEPS_PER_SIMULATION = 90
OUTCOME = Outcome(200, (), b"done")


@dataclass
class Claimant:
    """Hold a claimant's rounds and, once it closes, whether it ran."""

    row: ClaimRow
    opening_round: RoundRunner
    closing_round: RoundRunner | None = None
    ran: bool | None = None

    @property
    def current_round(self) -> RoundRunner:
        return self.closing_round or self.opening_round

    @property
    def won(self) -> bool:
        decision = self.opening_round.decision
        return decision is not None and decision.code is Code.OK


@dataclass(frozen=True)
class MessageInFlight:
    """Hold a request or a reply that is not delivered yet."""

    claimant: Claimant
    runner: RoundRunner
    phase: int
    replica: int
    content: RegisterRequest | RegisterReply


class ClaimMachine(RuleBasedStateMachine):
    """Run competing claimants on replicas that may lose their disks."""

    def __init__(self) -> None:
        super().__init__()
        self.registers: list[Register] = []
        self.claimants: list[Claimant] = []
        self.in_flight: list[MessageInFlight] = []
        self.now_s = 0.0

    @initialize(replica_count=st.sampled_from((3, 5)))
    def create_replicas(self, replica_count: int) -> None:
        self.registers = [EMPTY_REGISTER] * replica_count

    @property
    def replica_count(self) -> int:
        return len(self.registers)

    def send(
        self, claimant: Claimant, outgoing: list[OutgoingRequest]
    ) -> None:
        for item in outgoing:
            self.in_flight.extend(
                MessageInFlight(
                    claimant,
                    claimant.current_round,
                    item.phase,
                    replica,
                    item.request,
                )
                for replica in range(self.replica_count)
            )

    @precondition(lambda self: len(self.claimants) < 6)
    @rule()
    def claim(self) -> None:
        row = ClaimRow(b"same", f"c{len(self.claimants)}", self.now_s, "open")
        runner = RoundRunner(open_round(KEY, row, self.replica_count))
        claimant = Claimant(row, runner)
        self.claimants.append(claimant)
        self.send(claimant, runner.start())

    def process_message(self, index: int) -> None:
        message = self.in_flight.pop(index)
        if isinstance(message.content, RegisterReply):
            self.send(
                message.claimant,
                message.runner.on_reply(message.phase, message.content),
            )
            return
        register = self.registers[message.replica]
        self.registers[message.replica], reply = transition(
            register, message.content
        )
        self.in_flight.append(
            MessageInFlight(
                message.claimant,
                message.runner,
                message.phase,
                message.replica,
                reply,
            )
        )

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        self.process_message(
            data.draw(st.integers(0, len(self.in_flight) - 1))
        )

    @precondition(lambda self: self.in_flight)
    @rule(
        replicas=st.sets(st.integers(0, 4), min_size=1),
        drops_others=st.booleans(),
    )
    def deliver_for_replicas(
        self, replicas: set[int], drops_others: bool
    ) -> None:
        """Deliver some replicas' messages; perhaps drop all others.

        The second pass delivers the replies to requests of the first.
        """
        for _ in range(2):
            waiting = len(self.in_flight)
            index = 0
            for _ in range(waiting):
                if self.in_flight[index].replica in replicas:
                    self.process_message(index)
                else:
                    index += 1
        if drops_others:
            self.in_flight = [
                m for m in self.in_flight if m.replica in replicas
            ]

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data())
    def drop_message(self, data: st.DataObject) -> None:
        self.in_flight.pop(data.draw(st.integers(0, len(self.in_flight) - 1)))

    @precondition(lambda self: self.claimants)
    @rule(data=st.data())
    def time_out(self, data: st.DataObject) -> None:
        self.end_phase(data.draw(st.sampled_from(self.claimants)))

    def end_phase(self, claimant: Claimant) -> None:
        self.send(
            claimant,
            claimant.current_round.on_timeout(claimant.current_round.phase),
        )

    @rule()
    def advance_clock(self) -> None:
        self.now_s += CLAIM_TIMEOUT_S + 1

    @precondition(
        lambda self: any(
            c.won and c.closing_round is None for c in self.claimants
        )
    )
    @rule(data=st.data(), ran=st.booleans(), direct=st.booleans())
    def close(self, data: st.DataObject, ran: bool, direct: bool) -> None:
        open_claimants = [
            c for c in self.claimants if c.won and c.closing_round is None
        ]
        self.start_closing(
            data.draw(st.sampled_from(open_claimants)), ran, direct
        )

    def start_closing(
        self, claimant: Claimant, ran: bool, direct: bool
    ) -> None:
        claimant.ran = ran
        row = make_closing_row(
            claimant.row, ran=ran, outcome=OUTCOME if ran else None
        )
        direct = direct and claimant.opening_round.phase == 1
        win_path = WinPath.OPEN_BALLOT if direct else WinPath.RECOVERY
        claimant.closing_round = RoundRunner(
            close_round(KEY, row, self.replica_count, win_path)
        )
        self.send(claimant, claimant.closing_round.start())

    def start_release(self, claimant: Claimant) -> None:
        """Release the key that a lost round may have written."""
        row = make_closing_row(claimant.row, ran=False, outcome=None)
        claimant.closing_round = RoundRunner(
            close_round(KEY, row, self.replica_count, WinPath.NOT_WON)
        )
        self.send(claimant, claimant.closing_round.start())

    @rule(data=st.data())
    def lose_disk(self, data: st.DataObject) -> None:
        """Replace a disk after every earlier round has ended."""
        replica = data.draw(st.integers(0, self.replica_count - 1))

        def choose_sources(others: list[int], size: int) -> list[int]:
            return data.draw(st.permutations(others))[:size]

        self.replace_disk(replica, choose_sources)

    def replace_disk(
        self,
        replica: int,
        choose_sources: Callable[[list[int], int], list[int]],
    ) -> None:
        others = [n for n in range(self.replica_count) if n != replica]
        sources = choose_sources(others, majority_size(self.replica_count))
        for claimant in self.claimants:
            while claimant.current_round.decision is None:
                claimant.current_round.on_timeout(claimant.current_round.phase)
        self.in_flight.clear()
        register = EMPTY_REGISTER
        for source in sources:
            copy = to_copy(KEY, self.registers[source])
            if self.registers[source] != EMPTY_REGISTER:
                register = merge_copy(register, copy)
        self.registers[replica] = register

    @invariant()
    def runs_at_most_once(self) -> None:
        winners = [claimant for claimant in self.claimants if claimant.won]
        running = [
            claimant for claimant in winners if claimant.ran is not False
        ]
        assert len(running) <= 1, f"{len(running)} claimants may run"

    @invariant()
    def replays_follow_a_run(self) -> None:
        replayed = [
            claimant
            for claimant in self.claimants
            if claimant.opening_round.decision is not None
            and claimant.opening_round.decision.code is Code.REPLAYED
        ]
        ran = any(claimant.ran for claimant in self.claimants)
        assert ran or not replayed, (
            "an outcome was replayed, but no claimant ran"
        )


ClaimTest = ClaimMachine.TestCase
ClaimTest.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)


class RandomRunTest(unittest.TestCase):
    """Run competing claimants in many short seeded simulations."""

    def test_runs(self) -> None:
        for seed in range(SIMULATIONS):
            with self.subTest(seed=seed):
                self._simulate(random.Random(seed))

    def _simulate(self, rng: random.Random) -> None:
        machine = ClaimMachine()
        machine.create_replicas(rng.choice((3, 3, 5)))
        for _ in range(rng.randint(2, 4)):
            machine.claim()
        for _ in range(STEPS_PER_SIMULATION):
            self._step(machine, rng)
            machine.runs_at_most_once()

    def _step(self, machine: ClaimMachine, rng: random.Random) -> None:
        draw = rng.random()
        ended = [
            c
            for c in machine.claimants
            if c.opening_round.decision and not c.closing_round
        ]
        won = [c for c in ended if c.won]
        lost = [c for c in ended if not c.won]
        if draw < 0.85 and machine.in_flight:
            machine.process_message(rng.randrange(len(machine.in_flight)))
        elif draw < 0.89 and machine.in_flight:
            machine.in_flight.pop(rng.randrange(len(machine.in_flight)))
        elif draw < 0.93:
            claimant = rng.choice(machine.claimants)
            machine.end_phase(claimant)
        elif draw < 0.95:
            machine.advance_clock()
        elif draw < 0.96 and lost:
            machine.start_release(rng.choice(lost))
        elif draw < 0.97 and won:
            machine.start_closing(rng.choice(won), rng.random() < 0.5, True)
        elif draw < 0.99 and len(machine.claimants) < 6:
            machine.claim()
        elif draw > 0.99:
            replica = rng.randrange(machine.replica_count)
            machine.replace_disk(replica, rng.sample)


def _make_reply(
    claimant: str | None, *, granted: bool = False
) -> RegisterReply:
    row = ClaimRow(b"f", claimant, 0.0, "open") if claimant else None
    accepted = OPEN_BALLOT if claimant else None
    return RegisterReply(granted, OPEN_BALLOT, accepted, row)


class VotesTest(unittest.TestCase):
    """Decide a round from the votes of the open ballot."""

    def test_majority_wins(self) -> None:
        row = ClaimRow(b"f", "a", 0.0, "open")
        grant = _make_reply("a", granted=True)
        decision = decide_votes(row, [grant, grant], 3)
        self.assertEqual(getattr(decision, "code", None), Code.OK)

    def test_other_body_is_a_mismatch(self) -> None:
        row = ClaimRow(b"other", "b", 0.0, "open")
        decision = decide_votes(row, [_make_reply("a"), _make_reply("a")], 3)
        code = getattr(decision, "code", None)
        self.assertEqual(code, Code.CLAIM_MISMATCH)

    def test_unseen_replicas_may_have_voted(self) -> None:
        promises = [_make_reply("a"), _make_reply(None)]
        self.assertEqual(set(possible_winners(promises, 3)), {"a"})
        self.assertEqual(
            possible_winners([*promises, _make_reply(None)], 3), {}
        )
