"""Ways to share targets' slots in a region, in virtual time."""

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
    SlotBook,
    SlotHolder,
    TargetOffer,
)

LINK_S: Final = 0.0006
SERVICE_S: Final = 0.012
SLOTS: Final = (3, 4, 5, 6, 7)
ENTRY_WEIGHTS: Final = (0.4, 0.3, 0.2, 0.1)
LOADS: Final = (0.3, 0.6, 0.8, 0.9)
ASK_INTERVAL_S: Final = 0.02
RETRY_S: Final = 0.02
START_S: Final = 6.0
WARM_S: Final = 8.0
POOL: Final = slot_pool("catalogue")


class Clock:
    """Run callbacks in the order of virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, work: Callable[[], None]) -> None:
        """Call `work` once `delay_s` seconds have passed."""
        event = (self.now_s + delay_s, next(self._numbers), work)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run every event up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self._events)
            work()


@dataclass(slots=True)
class Region:
    """Hold the targets of a run and what was seen."""

    clock: Clock
    rng: random.Random
    running: dict[str, int] = field(default_factory=dict)
    slots: dict[str, int] = field(default_factory=dict)
    waits_s: list[float] = field(default_factory=list)
    queued: int = 0
    exceeded: int = 0
    messages: int = 0

    def start(self, target: str, done: Callable[[], None]) -> bool:
        """Run a request unless all slots are in use; tell whether it ran."""
        if self.running[target] >= self.slots[target]:
            self.exceeded += 1
            return False
        self.running[target] += 1

        def finish() -> None:
            self.running[target] -= 1
            done()

        service_s = SERVICE_S / 2 + self.rng.expovariate(2 / SERVICE_S)
        self.clock.after(service_s, finish)
        return True

    def answered(self, arrived_s: float) -> None:
        """Record an answer's latency."""
        if arrived_s > WARM_S:
            self.waits_s.append(self.clock.now_s - arrived_s)

    def send(self, here: int, there: int, work: Callable[[], None]) -> None:
        """Carry a message between entry VMs."""
        if here == there:
            work()
            return
        self.messages += 1
        self.clock.after(LINK_S, work)


class Leased:
    """Lease slots from the owner of each target."""

    def __init__(self, region: Region) -> None:
        self._region = region
        names = [f"e{number}" for number in range(len(ENTRY_WEIGHTS))]
        self._books = [SlotBook() for _ in names]
        self._holders = [SlotHolder(name, SLOT_TERM_S) for name in names]
        self._waiting: list[collections.deque[float]] = [
            collections.deque() for _ in names
        ]
        self._asking: set[tuple[int, int]] = set()
        self._timed: set[int] = set()
        self._owner = {
            target: names.index(owner_of(target, names) or "")
            for target in region.slots
        }
        for target, slots in region.slots.items():
            offer = TargetOffer(target, "catalogue", Side.NEW, slots)
            self._books[self._owner[target]].put(offer, 0.0, is_new=True)
        for entry in range(len(names)):
            self._tick(entry)

    def arrive(self, entry: int, arrived_s: float) -> None:
        """Send a request out, or let it wait."""
        now_s = self._region.clock.now_s
        self._holders[entry].want(POOL, now_s)
        if self._waiting[entry] or not self._try(entry, arrived_s):
            self._region.queued += 1
            self._waiting[entry].append(arrived_s)
            if entry not in self._timed:
                self._ask_all(entry)
                self._ask_later(entry)

    def _try(self, entry: int, arrived_s: float) -> bool:
        holder = self._holders[entry]
        offer = holder.take(POOL, (), self._region.clock.now_s)
        if offer is None:
            return False

        def done() -> None:
            holder.give_back(offer.target_id)
            holder.done(POOL, self._region.clock.now_s)
            self._region.answered(arrived_s)
            self._drain(entry)

        ran = self._region.start(offer.target_id, done)
        assert ran, "leased slots are there"
        return True

    def _drain(self, entry: int) -> None:
        waiting = self._waiting[entry]
        while waiting and self._try(entry, waiting[0]):
            waiting.popleft()

    def _tick(self, entry: int) -> None:
        self._ask_all(entry)
        self._region.clock.after(1.0, lambda: self._tick(entry))

    def _ask_all(self, entry: int) -> None:
        for owner in range(len(self._books)):
            self._ask(entry, owner)

    def _ask(self, entry: int, owner: int, *, recalled: bool = False) -> None:
        if (entry, owner) in self._asking:
            return
        self._asking.add((entry, owner))
        now_s = self._region.clock.now_s
        ask = self._holders[entry].ask(
            lambda target: self._owner[target] == owner,
            (),
            now_s,
            recalled=recalled,
        )

        def serve() -> None:
            book = self._books[owner]
            now_s = self._region.clock.now_s
            answer = book.ask(ask, now_s)
            for name in sorted(book.under_part(ask)):
                self._call(owner, int(name[1:]), recalled=False)
            for name in sorted(book.over_part(ask, now_s)):
                self._call(owner, int(name[1:]), recalled=True)
            self._region.send(owner, entry, lambda: accept(answer))

        def accept(answer: Any) -> None:
            self._asking.discard((entry, owner))
            offered = self._holders[entry].accept(
                answer, self._region.clock.now_s
            )
            self._drain(entry)
            if offered:
                self._ask(entry, owner)

        self._region.send(entry, owner, serve)

    def _call(self, owner: int, entry: int, *, recalled: bool) -> None:
        def answer() -> None:
            self._ask(entry, owner, recalled=recalled)

        self._region.send(owner, entry, answer)

    def _ask_later(self, entry: int) -> None:
        self._timed.add(entry)

        def again() -> None:
            self._timed.discard(entry)
            if self._waiting[entry]:
                self._ask_all(entry)
                self._ask_later(entry)

        self._region.clock.after(ASK_INTERVAL_S, again)


class Forwarded:
    """Forward each request through the owner of a target, which queues."""

    def __init__(self, region: Region) -> None:
        self._region = region
        names = [f"e{number}" for number in range(len(ENTRY_WEIGHTS))]
        self._owner = {
            target: names.index(owner_of(target, names) or "")
            for target in region.slots
        }
        self._sent = [dict.fromkeys(region.slots, 0) for _ in names]
        self._queues: dict[str, collections.deque[Callable[[], bool]]] = {
            target: collections.deque() for target in region.slots
        }

    def arrive(self, entry: int, arrived_s: float) -> None:
        """Forward to the owner of the least loaded target."""
        region = self._region
        sent = self._sent[entry]
        target = min(sent, key=lambda t: (sent[t] / region.slots[t], t))
        owner = self._owner[target]
        sent[target] += 1

        def back() -> None:
            sent[target] -= 1
            region.answered(arrived_s)

        def done() -> None:
            region.send(owner, entry, back)
            if self._queues[target]:
                self._queues[target].popleft()()

        def serve() -> None:
            if region.running[target] < region.slots[target]:
                region.start(target, done)
                return
            region.queued += 1
            self._queues[target].append(lambda: region.start(target, done))

        region.send(entry, owner, serve)


class Uncoordinated:
    """Choose by own counts; a target without a free slot sheds."""

    def __init__(self, region: Region) -> None:
        self._region = region
        self._sent = [dict.fromkeys(region.slots, 0) for _ in ENTRY_WEIGHTS]

    def arrive(self, entry: int, arrived_s: float) -> None:
        """Try targets by the requests sent from here, then wait."""
        region, sent = self._region, self._sent[entry]
        candidates = {
            t: Candidate(t, Side.NEW, slots, sent[t], 0.0)
            for t, slots in region.slots.items()
        }
        while candidates:
            chosen = choose_target(candidates.values())
            if chosen is None:
                break
            target = chosen.target_id

            def done(target: str = target) -> None:
                sent[target] -= 1
                region.answered(arrived_s)

            if region.start(target, done):
                sent[target] += 1
                return
            del candidates[target]
        region.queued += 1
        region.clock.after(RETRY_S, lambda: self.arrive(entry, arrived_s))


def _measure(kind: Any, load: float, seed: int, seconds: float) -> Any:
    rng = random.Random(seed)
    slots = {f"10.0.0.{n}:80": count for n, count in enumerate(SLOTS)}
    region = Region(Clock(), rng, dict.fromkeys(slots, 0), slots)
    strategy = kind(region)
    rate_per_s = load * sum(SLOTS) / SERVICE_S
    arrivals = 0

    def arrive() -> None:
        nonlocal arrivals
        arrivals += 1
        entry = rng.choices(range(len(ENTRY_WEIGHTS)), ENTRY_WEIGHTS)[0]
        strategy.arrive(entry, region.clock.now_s)
        region.clock.after(rng.expovariate(rate_per_s), arrive)

    region.clock.after(START_S, arrive)
    region.clock.run(WARM_S + seconds)
    waits = sorted(region.waits_s)
    return {
        "answered": len(waits),
        "p50_ms": round(waits[len(waits) // 2] * 1e3, 2),
        "p99_ms": round(waits[len(waits) * 99 // 100] * 1e3, 2),
        "queued_part": round(region.queued / arrivals, 4),
        "slots_exceeded": region.exceeded,
        "messages_per_request": round(region.messages / arrivals, 4),
    }


async def run(args: argparse.Namespace) -> Report:
    """Measure each way at each load; leased slots are never exceeded."""
    data: dict[str, Any] = {"seed": args.seed}
    for kind in (Leased, Forwarded, Uncoordinated):
        data[kind.__name__.lower()] = {
            str(load): _measure(kind, load, args.seed, args.seconds)
            for load in LOADS
        }
    leased = data["leased"].values()
    passed = all(row["slots_exceeded"] == 0 for row in leased)
    return Report(data, passed)
