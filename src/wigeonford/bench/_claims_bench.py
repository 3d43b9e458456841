"""Compare claims by registers with claims by a leader's log.

Rounds run in virtual time over the delays of both deployments; only the
replica's store is real.
"""

import argparse
from collections import Counter
from dataclasses import dataclass
import heapq
import itertools
from pathlib import Path
import random
import statistics
import tempfile
import time
from typing import Any, Final

from wigeonford.bench._report import Report
from wigeonford.claims._claim_rounds import (
    open_round,
    Outgoing,
    RoundRunner,
)
from wigeonford.claims._proposer import CLAIM_TIMEOUT_S, majority
from wigeonford.claims._register_store import RegisterStore
from wigeonford.claims._registers import (
    EMPTY_REGISTER,
    Register,
    RegisterRequest,
    transition,
)
from wigeonford.messages.claim import (
    ClaimRow,
    RegisterReply,
    RegisterVote,
)

REGIONS: Final = 3
REPLICA_REGIONS: Final = (0, 0, 1, 1, 2)
LEADER_REGION: Final = 0
SYNC_S: Final = 0.002
PHASE_TIMEOUT_S: Final = 0.6
JITTER: Final = 0.1
CLAIMS: Final = 500
RACES: Final = 500
STORE_VOTES: Final = 2048
BATCHES: Final = (1, 16, 64)
BETWEEN_ZONES_S: Final = {"guild": 0.0015, "authority": 0.001}
BETWEEN_REGIONS_S: Final = {"guild": 0.055, "authority": 0.035}


@dataclass(slots=True)
class _Claimant:
    """Follow one round from its start to its decision."""

    region: int
    runner: RoundRunner
    started_s: float
    ended_s: float = 0.0

    @property
    def code(self) -> str:
        """Return the name of the decision's code."""
        assert self.runner.decision is not None, "the round has ended"
        return self.runner.decision.code.name


class _Rounds:
    """Carry the messages of rounds for one key in virtual time."""

    def __init__(
        self, deployment: str, rng: random.Random, down: frozenset[int]
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._down = down
        self._registers: list[Register] = [EMPTY_REGISTER] * len(
            REPLICA_REGIONS
        )
        self._order = itertools.count()
        self._events: list[tuple[float, int, _Claimant, Any]] = []

    def trip_s(self, first: int, second: int) -> float:
        """Return the time of one way between two regions."""
        table = BETWEEN_ZONES_S if first == second else BETWEEN_REGIONS_S
        half_s = table[self._deployment] / 2
        return half_s * self._rng.uniform(1, 1 + JITTER)

    def claim(self, region: int, now_s: float, name: str) -> _Claimant:
        """Start a round at a replica of a region."""
        row = ClaimRow(b"request", name, now_s, "open")
        runner = RoundRunner(open_round(b"key", row, len(REPLICA_REGIONS)))
        claimant = _Claimant(region, runner, now_s)
        self._broadcast(claimant, runner.start(), now_s)
        return claimant

    def run(self) -> None:
        """Carry messages until none is left."""
        while self._events:
            now_s, _, claimant, event = heapq.heappop(self._events)
            outgoing = self._handle(now_s, claimant, event)
            self._broadcast(claimant, outgoing, now_s)
            decided = claimant.runner.decision is not None
            if decided and not claimant.ended_s:
                claimant.ended_s = now_s

    def _handle(
        self, now_s: float, claimant: _Claimant, event: Any
    ) -> list[Outgoing]:
        phase, replica, content = event
        if content is None:
            return claimant.runner.on_timeout(phase)
        if isinstance(content, RegisterReply):
            return claimant.runner.on_reply(phase, content)
        self._answer(now_s, claimant, phase, replica, content)
        return []

    def _answer(
        self,
        now_s: float,
        claimant: _Claimant,
        phase: int,
        replica: int,
        request: RegisterRequest,
    ) -> None:
        held = self._registers[replica]
        self._registers[replica], reply = transition(held, request)
        back_s = self.trip_s(REPLICA_REGIONS[replica], claimant.region)
        self._post(now_s + SYNC_S + back_s, claimant, phase, replica, reply)

    def _broadcast(
        self, claimant: _Claimant, outgoing: list[Outgoing], now_s: float
    ) -> None:
        for item in outgoing:
            start_s = now_s
            if item.backs_off:
                start_s += self._rng.uniform(0, 0.05)
            for replica, region in enumerate(REPLICA_REGIONS):
                if replica not in self._down:
                    at_s = start_s + self.trip_s(claimant.region, region)
                    self._post(
                        at_s, claimant, item.phase, replica, item.request
                    )
            timeout_s = start_s + PHASE_TIMEOUT_S
            self._post(timeout_s, claimant, item.phase, -1, None)

    def _post(
        self,
        at_s: float,
        claimant: _Claimant,
        phase: int,
        replica: int,
        content: object,
    ) -> None:
        event = (phase, replica, content)
        heapq.heappush(
            self._events, (at_s, next(self._order), claimant, event)
        )


def _percentiles(seconds: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(seconds, n=100)
    return {
        "p50": round(cuts[49] * 1000, 2),
        "p99": round(cuts[98] * 1000, 2),
    }


def _register_latency(
    deployment: str, region: int, rng: random.Random
) -> dict[str, float]:
    seconds = []
    for _ in range(CLAIMS):
        rounds = _Rounds(deployment, rng, frozenset())
        near_s = 2 * rounds.trip_s(region, region)
        claimant = rounds.claim(region, 0.0, "a")
        rounds.run()
        seconds.append(near_s + claimant.ended_s)
    return _percentiles(seconds)


def _log_latency(
    deployment: str, region: int, rng: random.Random
) -> dict[str, float]:
    """Time a claim that is forwarded to the leader and put in its log."""
    rounds = _Rounds(deployment, rng, frozenset())
    seconds = []
    for _ in range(CLAIMS):
        there_s = rounds.trip_s(region, LEADER_REGION)
        back_s = rounds.trip_s(LEADER_REGION, region)
        synced = [SYNC_S]
        for follower in REPLICA_REGIONS[1:]:
            ways_s = rounds.trip_s(LEADER_REGION, follower)
            ways_s += rounds.trip_s(follower, LEADER_REGION)
            synced.append(ways_s + SYNC_S)
        committed_s = sorted(synced)[majority(len(REPLICA_REGIONS)) - 1]
        seconds.append(there_s + committed_s + back_s)
    return _percentiles(seconds)


def _race(
    deployment: str, rng: random.Random, down: frozenset[int]
) -> dict[str, Any]:
    """Claim one key twice at once; the loser resends after a second."""
    first: Counter[str] = Counter()
    resent: Counter[str] = Counter()
    twice = 0
    for _ in range(RACES):
        rounds = _Rounds(deployment, rng, down)
        regions = rng.sample(range(REGIONS), 2)
        gap_s = rng.uniform(0, 0.03)
        claimants = [
            rounds.claim(regions[0], 0.0, "a"),
            rounds.claim(regions[1], gap_s, "b"),
        ]
        rounds.run()
        codes = sorted(claimant.code for claimant in claimants)
        first[" and ".join(codes)] += 1
        won = codes.count("OK")
        if not won:
            again = rounds.claim(regions[0], 1.0, "c")
            rounds.run()
            resent[again.code] += 1
            won = int(again.code == "OK")
        twice += won > 1
    return {
        "outcomes": dict(first),
        "resent_after_no_winner": dict(resent),
        "run_twice": twice,
    }


def _dead_claimant(deployment: str, rng: random.Random) -> dict[str, str]:
    rounds = _Rounds(deployment, rng, frozenset())
    rounds.claim(0, 0.0, "dead")
    rounds.run()
    soon = rounds.claim(1, 1.0, "soon")
    rounds.run()
    late = rounds.claim(1, CLAIM_TIMEOUT_S + 2, "late")
    rounds.run()
    return {"after_1_s": soon.code, "after_the_timeout": late.code}


def _store_rates(folder: Path) -> dict[str, float]:
    """Return votes synced a second on this disk, by batch size."""
    rates: dict[str, float] = {}
    for batch in BATCHES:
        store = RegisterStore(folder / str(batch))
        votes = [
            RegisterVote(number.to_bytes(16), ClaimRow(b"f", "a", 0.0, "open"))
            for number in range(STORE_VOTES if batch > 1 else 256)
        ]
        started_s = time.perf_counter()
        for start in range(0, len(votes), batch):
            store.apply(votes[start : start + batch], 0.0)
        elapsed_s = time.perf_counter() - started_s
        store.close()
        rates[str(batch)] = round(len(votes) / elapsed_s, 1)
    return rates


async def run(args: argparse.Namespace) -> Report:
    """Measure both ways for both deployments."""
    rng = random.Random(args.seed)
    data: dict[str, Any] = {"seed": args.seed}
    for deployment in BETWEEN_REGIONS_S:
        data[deployment] = {
            "registers_ms_by_region": [
                _register_latency(deployment, region, rng)
                for region in range(REGIONS)
            ],
            "leader_log_ms_by_region": [
                _log_latency(deployment, region, rng)
                for region in range(REGIONS)
            ],
            "race": _race(deployment, rng, frozenset()),
            "race_with_one_replica_down": _race(
                deployment, rng, frozenset({4})
            ),
            "dead_claimant": _dead_claimant(deployment, rng),
        }
    with tempfile.TemporaryDirectory() as folder:
        data["votes_per_s_by_batch"] = _store_rates(Path(folder))
    twice = sum(
        data[deployment][race]["run_twice"]
        for deployment in BETWEEN_REGIONS_S
        for race in ("race", "race_with_one_replica_down")
    )
    data["run_twice"] = twice
    return Report(data, twice == 0)
