"""Compare strategies for sharing targets' slots, in virtual time.

The entry VMs of one region send requests to the same targets.
"""

import argparse
import collections
from collections.abc import Callable
from dataclasses import dataclass, field
import heapq
import itertools
import random
from typing import Any, Final

from wigeonford.bench._report import Report
from wigeonford.model import Side
from wigeonford.policy import (
    Candidate,
    choose_target,
    owner_of,
    slot_pool,
    SLOT_TERM_S,
    SlotGrantor,
    SlotHolder,
    TargetOffer,
)

LINK_DELAY_S: Final = 0.0006
SERVICE_TIME_S: Final = 0.012
TARGET_SLOTS: Final = (3, 4, 5, 6, 7)
ENTRY_WEIGHTS: Final = (0.4, 0.3, 0.2, 0.1)
LOADS: Final = (0.3, 0.6, 0.8, 0.9)
REASK_INTERVAL_S: Final = 0.02
RETRY_DELAY_S: Final = 0.02
FIRST_ARRIVAL_S: Final = 6.0
MEASURE_FROM_S: Final = 8.0
"""Requests that arrive earlier are left out of the latencies."""

POOL: Final = slot_pool("catalogue")


class EventScheduler:
    """Run callbacks in the order of virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule `callback` after `delay_s` seconds."""
        event = (self.now_s + delay_s, next(self._sequence), callback)
        heapq.heappush(self._heap, event)

    def run(self, until_s: float) -> None:
        """Run every event that is due by `until_s`."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()


@dataclass(slots=True)
class SimulatedRegion:
    """Simulate a region's targets and links, and count overruns.

    `running` and `slots` are by target. An overrun is a request sent to a
    target whose slots are all in use.
    """

    scheduler: EventScheduler
    rng: random.Random
    running: dict[str, int] = field(default_factory=dict)
    slots: dict[str, int] = field(default_factory=dict)
    latencies_s: list[float] = field(default_factory=list)
    queued_count: int = 0
    overruns: int = 0
    messages_sent: int = 0

    def try_start(self, target: str, done: Callable[[], None]) -> bool:
        """Start a request; return False if all slots are in use."""
        if self.running[target] >= self.slots[target]:
            self.overruns += 1
            return False
        self.running[target] += 1

        def finish() -> None:
            self.running[target] -= 1
            done()

        service_s = SERVICE_TIME_S / 2 + self.rng.expovariate(
            2 / SERVICE_TIME_S
        )
        self.scheduler.call_later(service_s, finish)
        return True

    def record_latency(self, arrived_s: float) -> None:
        """Record the latency of a response, except during the warm-up."""
        if arrived_s > MEASURE_FROM_S:
            self.latencies_s.append(self.scheduler.now_s - arrived_s)

    def send(self, src: int, dst: int, callback: Callable[[], None]) -> None:
        """Deliver a message to another entry VM after the link delay."""
        if src == dst:
            callback()
            return
        self.messages_sent += 1
        self.scheduler.call_later(LINK_DELAY_S, callback)


class Leased:
    """Lease each target's slots from the entry VM that owns the target."""

    def __init__(self, region: SimulatedRegion) -> None:
        self._region = region
        names = [f"e{number}" for number in range(len(ENTRY_WEIGHTS))]
        self._slot_books = [SlotGrantor() for _ in names]
        self._holders = [SlotHolder(name, SLOT_TERM_S) for name in names]
        self._entry_queues: list[collections.deque[float]] = [
            collections.deque() for _ in names
        ]
        self._pending_asks: set[tuple[int, int]] = set()
        self._reask_scheduled: set[int] = set()
        self._owners = {
            target: names.index(owner_of(target, names) or "")
            for target in region.slots
        }
        for target, slots in region.slots.items():
            offer = TargetOffer(target, "catalogue", Side.NEW, slots)
            self._slot_books[self._owners[target]].add_target(
                offer, 0.0, is_new=True
            )
        for entry in range(len(names)):
            self._ask_periodically(entry)

    def dispatch(self, entry: int, arrived_s: float) -> None:
        """Send a request to a target with a leased slot, or queue it."""
        now_s = self._region.scheduler.now_s
        self._holders[entry].add_demand(POOL, now_s)
        if self._entry_queues[entry] or not self._try_dispatch(
            entry, arrived_s
        ):
            self._region.queued_count += 1
            self._entry_queues[entry].append(arrived_s)
            if entry not in self._reask_scheduled:
                self._ask_all_owners(entry)
                self._schedule_reask(entry)

    def _try_dispatch(self, entry: int, arrived_s: float) -> bool:
        holder = self._holders[entry]
        offer = holder.acquire(POOL, (), self._region.scheduler.now_s)
        if offer is None:
            return False

        def done() -> None:
            holder.release(offer.target_id)
            holder.end_demand(POOL, self._region.scheduler.now_s)
            self._region.record_latency(arrived_s)
            self._serve_queue(entry)

        ran = self._region.try_start(offer.target_id, done)
        assert ran, "a leased slot is free"
        return True

    def _serve_queue(self, entry: int) -> None:
        queue = self._entry_queues[entry]
        while queue and self._try_dispatch(entry, queue[0]):
            queue.popleft()

    def _ask_periodically(self, entry: int) -> None:
        self._ask_all_owners(entry)
        self._region.scheduler.call_later(
            1.0, lambda: self._ask_periodically(entry)
        )

    def _ask_all_owners(self, entry: int) -> None:
        for owner in range(len(self._slot_books)):
            self._ask(entry, owner)

    def _ask(self, entry: int, owner: int, *, recalled: bool = False) -> None:
        if (entry, owner) in self._pending_asks:
            return
        self._pending_asks.add((entry, owner))
        now_s = self._region.scheduler.now_s
        ask = self._holders[entry].next_request(
            lambda target: self._owners[target] == owner,
            (),
            now_s,
            recalled=recalled,
        )

        def serve() -> None:
            book = self._slot_books[owner]
            now_s = self._region.scheduler.now_s
            answer = book.request(ask, now_s)
            for name in sorted(book.holders_to_notify(ask)):
                self._prompt_ask(owner, int(name[1:]), recalled=False)
            for name in sorted(book.holders_to_recall(ask, now_s)):
                self._prompt_ask(owner, int(name[1:]), recalled=True)
            self._region.send(owner, entry, lambda: accept(answer))

        def accept(answer: Any) -> None:
            self._pending_asks.discard((entry, owner))
            offered = self._holders[entry].accept(
                answer, self._region.scheduler.now_s
            )
            self._serve_queue(entry)
            if offered:
                self._ask(entry, owner)

        self._region.send(entry, owner, serve)

    def _prompt_ask(self, owner: int, entry: int, *, recalled: bool) -> None:
        """Send a holder a message that makes it ask the owner again."""

        def ask() -> None:
            self._ask(entry, owner, recalled=recalled)

        self._region.send(owner, entry, ask)

    def _schedule_reask(self, entry: int) -> None:
        self._reask_scheduled.add(entry)

        def reask() -> None:
            self._reask_scheduled.discard(entry)
            if self._entry_queues[entry]:
                self._ask_all_owners(entry)
                self._schedule_reask(entry)

        self._region.scheduler.call_later(REASK_INTERVAL_S, reask)


class Forwarded:
    """Forward each request to the target's owner, which may queue it."""

    def __init__(self, region: SimulatedRegion) -> None:
        self._region = region
        names = [f"e{number}" for number in range(len(ENTRY_WEIGHTS))]
        self._owners = {
            target: names.index(owner_of(target, names) or "")
            for target in region.slots
        }
        self._in_flight = [dict.fromkeys(region.slots, 0) for _ in names]
        self._target_queues: dict[
            str, collections.deque[Callable[[], bool]]
        ] = {target: collections.deque() for target in region.slots}

    def dispatch(self, entry: int, arrived_s: float) -> None:
        """Forward to the owner of the target with the lowest local load."""
        region = self._region
        in_flight = self._in_flight[entry]
        target = min(
            in_flight,
            key=lambda t: (in_flight[t] / region.slots[t], t),
        )
        owner = self._owners[target]
        in_flight[target] += 1

        def receive_response() -> None:
            in_flight[target] -= 1
            region.record_latency(arrived_s)

        def done() -> None:
            region.send(owner, entry, receive_response)
            if self._target_queues[target]:
                self._target_queues[target].popleft()()

        def serve() -> None:
            if region.running[target] < region.slots[target]:
                region.try_start(target, done)
                return
            region.queued_count += 1
            self._target_queues[target].append(
                lambda: region.try_start(target, done)
            )

        region.send(entry, owner, serve)


class Uncoordinated:
    """Choose by local counts; a target without a free slot rejects."""

    def __init__(self, region: SimulatedRegion) -> None:
        self._region = region
        self._in_flight = [
            dict.fromkeys(region.slots, 0) for _ in ENTRY_WEIGHTS
        ]

    def dispatch(self, entry: int, arrived_s: float) -> None:
        """Try targets chosen by local counts; retry later if all reject."""
        region, in_flight = self._region, self._in_flight[entry]
        candidates = {
            t: Candidate(t, Side.NEW, slots, in_flight[t], 0.0)
            for t, slots in region.slots.items()
        }
        while candidates:
            chosen = choose_target(candidates.values())
            if chosen is None:
                break
            target = chosen.target_id

            def done(target: str = target) -> None:
                in_flight[target] -= 1
                region.record_latency(arrived_s)

            if region.try_start(target, done):
                in_flight[target] += 1
                return
            del candidates[target]
        region.queued_count += 1
        region.scheduler.call_later(
            RETRY_DELAY_S, lambda: self.dispatch(entry, arrived_s)
        )


def _measure(
    strategy_class: Any, load: float, seed: int, seconds: float
) -> Any:
    rng = random.Random(seed)
    slots = {f"10.0.0.{n}:80": count for n, count in enumerate(TARGET_SLOTS)}
    region = SimulatedRegion(
        EventScheduler(), rng, dict.fromkeys(slots, 0), slots
    )
    strategy = strategy_class(region)
    rate_per_s = load * sum(TARGET_SLOTS) / SERVICE_TIME_S
    arrivals = 0

    def simulate_request() -> None:
        nonlocal arrivals
        arrivals += 1
        entry = rng.choices(range(len(ENTRY_WEIGHTS)), ENTRY_WEIGHTS)[0]
        strategy.dispatch(entry, region.scheduler.now_s)
        region.scheduler.call_later(
            rng.expovariate(rate_per_s), simulate_request
        )

    region.scheduler.call_later(FIRST_ARRIVAL_S, simulate_request)
    region.scheduler.run(MEASURE_FROM_S + seconds)
    latencies = sorted(region.latencies_s)
    return {
        "answered": len(latencies),
        "p50_ms": round(latencies[len(latencies) // 2] * 1e3, 2),
        "p99_ms": round(latencies[len(latencies) * 99 // 100] * 1e3, 2),
        "queued_part": round(region.queued_count / arrivals, 4),
        "slots_exceeded": region.overruns,
        "messages_per_request": round(region.messages_sent / arrivals, 4),
    }


async def run(args: argparse.Namespace) -> Report:
    """Measure each strategy at each load.

    Pass if the strategy with leases never exceeded a target's slots.
    """
    data: dict[str, Any] = {"seed": args.seed}
    for strategy_class in (Leased, Forwarded, Uncoordinated):
        data[strategy_class.__name__.lower()] = {
            str(load): _measure(strategy_class, load, args.seed, args.seconds)
            for load in LOADS
        }
    leased = data["leased"].values()
    passed = all(row["slots_exceeded"] == 0 for row in leased)
    return Report(data, passed)
