"""What callers, targets and operators saw, and the promises it must keep."""

import collections
from collections.abc import Iterator
from dataclasses import dataclass, field
import time
from typing import Final

DRAIN_S: Final = 2.5
LATE_S: Final = 0.2
"""A request may be under way to a target when it is told to leave."""
RATE_PER_S: Final = 5.0
BURST: Final = 5.0
WINDOW_S: Final = 5.0
OVERAGE: Final = 0.1
SLACK: Final = 20.0
"""The settings' bounds on the rate of an account."""
NOT_RUN: Final = frozenset((408, 421, 429, 503))
"""Answers that promise that a request has not run and never will."""


@dataclass(frozen=True, slots=True)
class Run:
    """A target began to run a request."""

    attempt: str
    target: str
    account: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """An entry VM stopped as planned; `code` is its exit code."""

    entry: int
    began_s: float
    ended_s: float
    code: int


@dataclass(slots=True)
class Ledger:
    """Collect what was seen."""

    runs: list[Run] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)
    unsafe: set[str] = field(default_factory=set)
    broken: list[tuple[str, int, float]] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    disturbed: list[tuple[int, float, float]] = field(default_factory=list)
    left_at_s: dict[str, float] = field(default_factory=dict)
    acknowledged: int = 0
    findings: list[str] = field(default_factory=list)

    def run(self, attempt: str, target: str, account: str) -> None:
        """Note that a target began to run a request."""
        self.runs.append(Run(attempt, target, account, time.monotonic()))

    def answer(
        self, attempt: str, status: int, body: bytes, signature: str | None
    ) -> None:
        """Note a caller's answer; a success has to be whole and its own."""
        self.statuses[attempt] = status
        if status == 200 and (body.decode(), signature) != (attempt, attempt):
            self.findings.append(f"answer of another request: {attempt}")

    def summary(self) -> str:
        """Return how much was asked and served."""
        served = sum(status == 200 for status in self.statuses.values())
        return (
            f"{len(self.statuses)} answers, {served} served, "
            f"{len(self.broken)} broken off, {len(self.stops)} stops"
        )

    def check(self) -> list[str]:
        """Return what contradicts the promises."""
        return [
            *self.findings,
            *self._at_most_once(),
            *self._not_run(),
            *self._left(),
            *self._rates(),
            *self._stops(),
        ]

    def _at_most_once(self) -> Iterator[str]:
        counts = collections.Counter(run.attempt for run in self.runs)
        for attempt, count in counts.items():
            if attempt in self.unsafe and count > 1:
                yield f"{attempt} ran {count} times"

    def _not_run(self) -> Iterator[str]:
        ran = {run.attempt for run in self.runs}
        for attempt, status in self.statuses.items():
            if status in NOT_RUN and attempt in ran:
                yield f"{attempt} got {status} and ran"

    def _left(self) -> Iterator[str]:
        for run in self.runs:
            left_s = self.left_at_s.get(run.target)
            if left_s is not None and run.at_s > left_s + DRAIN_S + LATE_S:
                late_s = run.at_s - left_s - DRAIN_S
                yield f"{run.attempt} ran {late_s:.2f} s late on {run.target}"

    def _rates(self) -> Iterator[str]:
        most = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
        window: collections.deque[float] = collections.deque()
        for run in self.runs:
            if run.account != "small":
                continue
            window.append(run.at_s)
            while window[0] < run.at_s - WINDOW_S:
                window.popleft()
            if len(window) > most:
                yield f"{len(window)} runs of an account within 5 s"
                return

    def _stops(self) -> Iterator[str]:
        ran = {run.attempt for run in self.runs}
        for stop in self.stops:
            if self._was_disturbed(stop):
                continue
            if stop.code != 0:
                yield f"entry {stop.entry} stopped with {stop.code}"
            for attempt, entry, at_s in self.broken:
                within = stop.began_s <= at_s <= stop.ended_s + LATE_S
                if entry == stop.entry and within and attempt in ran:
                    yield f"{attempt} was cut by a planned stop"

    def _was_disturbed(self, stop: Stop) -> bool:
        return any(
            entry in (stop.entry, -1)
            and began_s <= stop.ended_s
            and ended_s >= stop.began_s
            for entry, began_s, ended_s in self.disturbed
        )
