"""Compare claims in quorum registers with claims in a leader's log.

Messages are simulated in virtual time with the network delays of both
example deployments; only the register store writes to a real disk.
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
    OutgoingRequest,
    RoundRunner,
)
from wigeonford.claims._proposer import CLAIM_TIMEOUT_S, majority_size
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
"""Region of each replica."""
LEADER_REGION: Final = 0
DISK_SYNC_S: Final = 0.002
PHASE_TIMEOUT_S: Final = 0.6
JITTER: Final = 0.1
CLAIM_SAMPLES: Final = 500
RACE_SAMPLES: Final = 500
STORE_VOTES: Final = 2048
BATCH_SIZES: Final = (1, 16, 64)
ZONE_ROUND_TRIP_S: Final = {"guild": 0.0015, "authority": 0.001}
REGION_ROUND_TRIP_S: Final = {"guild": 0.055, "authority": 0.035}


@dataclass(slots=True)
class _Claimant:
    """Track one round from its start to its decision."""

    region: int
    runner: RoundRunner
    started_s: float
    ended_s: float = 0.0

    @property
    def code(self) -> str:
        """Return the name of the decision's code."""
        assert self.runner.decision is not None, "the round has ended"
        return self.runner.decision.code.name


class _RoundSimulation:
    """Simulate rounds for one key in virtual time."""

    def __init__(
        self, deployment: str, rng: random.Random, down: frozenset[int]
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._down_replicas = down
        self._registers: list[Register] = [EMPTY_REGISTER] * len(
            REPLICA_REGIONS
        )
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, _Claimant, Any]] = []

    def draw_one_way_delay_s(self, first: int, second: int) -> float:
        """Return a one-way delay between two regions, with jitter."""
        table = ZONE_ROUND_TRIP_S if first == second else REGION_ROUND_TRIP_S
        half_s = table[self._deployment] / 2
        return half_s * self._rng.uniform(1, 1 + JITTER)

    def claim(self, region: int, now_s: float, name: str) -> _Claimant:
        """Start a round whose proposer is in a region."""
        row = ClaimRow(b"request", name, now_s, "open")
        runner = RoundRunner(open_round(b"key", row, len(REPLICA_REGIONS)))
        claimant = _Claimant(region, runner, now_s)
        self._broadcast(claimant, runner.start(), now_s)
        return claimant

    def run(self) -> None:
        """Deliver messages and timeouts until none is left."""
        while self._events:
            now_s, _, claimant, event = heapq.heappop(self._events)
            outgoing = self._deliver(now_s, claimant, event)
            self._broadcast(claimant, outgoing, now_s)
            decided = claimant.runner.decision is not None
            if decided and not claimant.ended_s:
                claimant.ended_s = now_s

    def _deliver(
        self, now_s: float, claimant: _Claimant, event: Any
    ) -> list[OutgoingRequest]:
        phase, replica, content = event
        if content is None:
            return claimant.runner.on_timeout(phase)
        if isinstance(content, RegisterReply):
            return claimant.runner.on_reply(phase, content)
        self._handle_request(now_s, claimant, phase, replica, content)
        return []

    def _handle_request(
        self,
        now_s: float,
        claimant: _Claimant,
        phase: int,
        replica: int,
        request: RegisterRequest,
    ) -> None:
        register = self._registers[replica]
        self._registers[replica], reply = transition(register, request)
        reply_delay_s = self.draw_one_way_delay_s(
            REPLICA_REGIONS[replica], claimant.region
        )
        self._schedule(
            now_s + DISK_SYNC_S + reply_delay_s,
            claimant,
            phase,
            replica,
            reply,
        )

    def _broadcast(
        self,
        claimant: _Claimant,
        outgoing: list[OutgoingRequest],
        now_s: float,
    ) -> None:
        for message in outgoing:
            start_s = now_s
            if message.backs_off:
                start_s += self._rng.uniform(0, 0.05)
            for replica, region in enumerate(REPLICA_REGIONS):
                if replica not in self._down_replicas:
                    at_s = start_s + self.draw_one_way_delay_s(
                        claimant.region, region
                    )
                    self._schedule(
                        at_s, claimant, message.phase, replica, message.request
                    )
            timeout_s = start_s + PHASE_TIMEOUT_S
            self._schedule(timeout_s, claimant, message.phase, -1, None)

    def _schedule(
        self,
        at_s: float,
        claimant: _Claimant,
        phase: int,
        replica: int,
        content: object,
    ) -> None:
        event = (phase, replica, content)
        heapq.heappush(
            self._events, (at_s, next(self._event_numbers), claimant, event)
        )


def _percentiles(seconds: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(seconds, n=100)
    return {
        "p50": round(cuts[49] * 1000, 2),
        "p99": round(cuts[98] * 1000, 2),
    }


def _simulate_register_latency(
    deployment: str, region: int, rng: random.Random
) -> dict[str, float]:
    seconds = []
    for _ in range(CLAIM_SAMPLES):
        simulation = _RoundSimulation(deployment, rng, frozenset())
        local_round_trip_s = 2 * simulation.draw_one_way_delay_s(
            region, region
        )
        claimant = simulation.claim(region, 0.0, "a")
        simulation.run()
        seconds.append(local_round_trip_s + claimant.ended_s)
    return _percentiles(seconds)


def _simulate_log_latency(
    deployment: str, region: int, rng: random.Random
) -> dict[str, float]:
    """Simulate claims that are forwarded to the leader and logged there."""
    simulation = _RoundSimulation(deployment, rng, frozenset())
    seconds = []
    for _ in range(CLAIM_SAMPLES):
        to_leader_s = simulation.draw_one_way_delay_s(region, LEADER_REGION)
        from_leader_s = simulation.draw_one_way_delay_s(LEADER_REGION, region)
        acknowledged_s = [DISK_SYNC_S]
        for follower in REPLICA_REGIONS[1:]:
            round_trip_s = simulation.draw_one_way_delay_s(
                LEADER_REGION, follower
            )
            round_trip_s += simulation.draw_one_way_delay_s(
                follower, LEADER_REGION
            )
            acknowledged_s.append(round_trip_s + DISK_SYNC_S)
        committed_s = sorted(acknowledged_s)[
            majority_size(len(REPLICA_REGIONS)) - 1
        ]
        seconds.append(to_leader_s + committed_s + from_leader_s)
    return _percentiles(seconds)


def _run_races(
    deployment: str, rng: random.Random, down: frozenset[int]
) -> dict[str, Any]:
    """Claim one key from two regions at nearly the same time.

    If neither claim wins, a third claim follows after 1 s.
    """
    first_outcomes: Counter[str] = Counter()
    retry_outcomes: Counter[str] = Counter()
    claims_run_twice = 0
    for _ in range(RACE_SAMPLES):
        simulation = _RoundSimulation(deployment, rng, down)
        regions = rng.sample(range(REGIONS), 2)
        gap_s = rng.uniform(0, 0.03)
        claimants = [
            simulation.claim(regions[0], 0.0, "a"),
            simulation.claim(regions[1], gap_s, "b"),
        ]
        simulation.run()
        codes = sorted(claimant.code for claimant in claimants)
        first_outcomes[" and ".join(codes)] += 1
        won = codes.count("OK")
        if not won:
            retry = simulation.claim(regions[0], 1.0, "c")
            simulation.run()
            retry_outcomes[retry.code] += 1
            won = int(retry.code == "OK")
        claims_run_twice += won > 1
    return {
        "outcomes": dict(first_outcomes),
        "resent_after_no_winner": dict(retry_outcomes),
        "run_twice": claims_run_twice,
    }


def _claim_after_crash(deployment: str, rng: random.Random) -> dict[str, str]:
    """Claim a key whose first claimant never closed its claim."""
    simulation = _RoundSimulation(deployment, rng, frozenset())
    simulation.claim(0, 0.0, "dead")
    simulation.run()
    early_claim = simulation.claim(1, 1.0, "soon")
    simulation.run()
    late_claim = simulation.claim(1, CLAIM_TIMEOUT_S + 2, "late")
    simulation.run()
    return {
        "after_1_s": early_claim.code,
        "after_the_timeout": late_claim.code,
    }


def _measure_store_rates(folder: Path) -> dict[str, float]:
    """Return the votes per second synced to this disk, by batch size."""
    rates: dict[str, float] = {}
    for batch in BATCH_SIZES:
        store = RegisterStore(folder / str(batch))
        votes = [
            RegisterVote(number.to_bytes(16), ClaimRow(b"f", "a", 0.0, "open"))
            for number in range(STORE_VOTES if batch > 1 else 256)
        ]
        started_s = time.perf_counter()
        for start in range(0, len(votes), batch):
            store.apply_requests(votes[start : start + batch], 0.0)
        elapsed_s = time.perf_counter() - started_s
        store.close()
        rates[str(batch)] = round(len(votes) / elapsed_s, 1)
    return rates


async def run(args: argparse.Namespace) -> Report:
    """Measure both strategies for both example deployments.

    The run fails if any request was claimed by two claimants.
    """
    rng = random.Random(args.seed)
    data: dict[str, Any] = {"seed": args.seed}
    for deployment in REGION_ROUND_TRIP_S:
        data[deployment] = {
            "registers_ms_by_region": [
                _simulate_register_latency(deployment, region, rng)
                for region in range(REGIONS)
            ],
            "leader_log_ms_by_region": [
                _simulate_log_latency(deployment, region, rng)
                for region in range(REGIONS)
            ],
            "race": _run_races(deployment, rng, frozenset()),
            "race_with_one_replica_down": _run_races(
                deployment, rng, frozenset({4})
            ),
            "dead_claimant": _claim_after_crash(deployment, rng),
        }
    with tempfile.TemporaryDirectory() as folder:
        data["votes_per_s_by_batch"] = _measure_store_rates(Path(folder))
    claims_run_twice = sum(
        data[deployment][race]["run_twice"]
        for deployment in REGION_ROUND_TRIP_S
        for race in ("race", "race_with_one_replica_down")
    )
    data["run_twice"] = claims_run_twice
    return Report(data, claims_run_twice == 0)
