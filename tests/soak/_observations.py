"""Record what callers, targets and operators observe, and check it."""

import collections
from collections.abc import Iterator
from dataclasses import dataclass, field
import time
from typing import Final

from tests.soak._breaks import Break, Window
from tests.soak._requests import HEAD_TIMEOUT_S, IDLE_TIMEOUTS_S

DRAIN_S: Final = 2.5
IN_FLIGHT_MARGIN_S: Final = 0.2
"""Margin for what is still in flight: a request to a target whose drain period
has ended, or a failure to a caller whose entry VM has exited."""
RATE_PER_S: Final = 5.0
BURST: Final = 5.0
WINDOW_S: Final = 5.0
OVERAGE_FRACTION: Final = 0.1
QUOTA_SLACK: Final = 20.0
"""An account's rate limit and its tolerance: a fraction of the limit plus
`quota_slack` of the settings."""
LIMIT_WINDOW_S: Final = 4.0
LIMIT_SPREAD_S: Final = 1.0
"""Time after its first statement from which the requests at a limited target
count; the users' rule counts those of VMs that have known it for 0.5 s."""
CONTACT_WINDOW_S: Final = 4.0
"""Time after a fault from which entry VMs are in touch again."""
LIMIT_FACTOR: Final = 1.5
LIMIT_SLACK: Final = 5.0
"""How far the requests in a window may exceed a target's limit."""
LATE_REQUEST_S: Final = 3.0
"""A VM that takes a request later than this in its stop has to finish it."""
WORK_END_S: Final = 5.0
"""Time from the start of a stop in which the answers of all targets that end
their work are delivered: five sixths of the grace period."""
USUAL_SENDING_FRACTION: Final = 0.8
"""Fraction of the time limit on heads in which requests are sent."""
OWN_FAILURES: Final = frozenset((502, 504))
"""Statuses of entry VMs for requests that may have run."""
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
"""Statuses that say that a request has not run and never will."""


@dataclass(frozen=True, slots=True)
class Run:
    """Record when a target began to run a request."""

    attempt: str
    target: str
    account: str
    at_s: float


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """Record from when to when a target stated a limit of its rate."""

    target: str
    per_s: float
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Record the graceful shutdown of an entry VM and its exit code."""

    entry: int
    began_s: float
    ended_s: float
    code: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Record a response to a request on a direct connection.

    `sending_s` is the time from its first byte to its last one.
    """

    status: int
    entry: int
    sent_s: float
    answered_s: float
    time_limit_s: float
    sending_s: float = 0.0


@dataclass(slots=True)
class Observations:
    """Collect observations and find those that contradict a guarantee.

    `unsafe` holds the attempts that must run at most once. `broken` holds
    each exchange that ended without a complete response. `kills` and
    `link_faults` may break exchanges with an entry VM; `absences` last from
    its stop or kill until it listens again. `target_faults` may break runs.
    `disturbances` holds the entry VM, start and end of each fault that may
    fail a planned stop; -1 means every entry VM. `drain_began_s` maps a
    target to the time at which control acknowledged that it is draining.
    `interruptions` holds the start and end of each fault of an entry VM, and
    `stalls` those in which it stood still. `sent_to` maps an attempt to the
    entry VM to which its caller sent it.
    `finished_s` maps an attempt to the end of its run.
    """

    runs: list[Run] = field(default_factory=list)
    statuses: dict[str, int] = field(default_factory=dict)
    unsafe: set[str] = field(default_factory=set)
    broken: list[Break] = field(default_factory=list)
    answers: dict[str, Answer] = field(default_factory=dict)
    finished_s: dict[str, float] = field(default_factory=dict)
    kills: list[Window] = field(default_factory=list)
    link_faults: list[Window] = field(default_factory=list)
    sent_to: dict[str, int] = field(default_factory=dict)
    stalls: list[Window] = field(default_factory=list)
    absences: list[Window] = field(default_factory=list)
    target_faults: list[Window] = field(default_factory=list)
    shutdowns: list[Shutdown] = field(default_factory=list)
    disturbances: list[tuple[int, float, float]] = field(default_factory=list)
    drain_began_s: dict[str, float] = field(default_factory=dict)
    limits: list[LimitPeriod] = field(default_factory=list)
    interruptions: list[tuple[float, float]] = field(default_factory=list)
    acknowledged_version: int = 0
    findings: list[str] = field(default_factory=list)

    def record_run(self, attempt: str, target: str, account: str) -> None:
        """Record that a target began to run a request."""
        self.runs.append(Run(attempt, target, account, time.monotonic()))

    def record_response(
        self, attempt: str, status: int, body: bytes, signature: str | None
    ) -> None:
        """Record a response; a success must echo its own attempt id."""
        self.statuses[attempt] = status
        if status == 200 and (body.decode(), signature) != (attempt, attempt):
            self.findings.append(f"answer of another request: {attempt}")

    def summary(self) -> str:
        """Return counts of responses, failed exchanges and shutdowns."""
        served = sum(status == 200 for status in self.statuses.values())
        return (
            f"{len(self.statuses)} answers, {served} served, "
            f"{len(self.broken)} broken off, {len(self.shutdowns)} stops"
        )

    def find_violations(self) -> list[str]:
        """Return a finding for each violated guarantee."""
        return [
            *self.findings,
            *self._find_repeated_runs(),
            *self._find_runs_despite_not_run_status(),
            *self._find_runs_after_drain(),
            *self._find_rate_excess(),
            *self._find_limit_excess(),
            *self._find_failed_shutdowns(),
            *self._find_unexplained_breaks(),
            *self._find_work_cut_by_stops(),
            *self._find_false_timeouts(),
            *self._find_undelivered_answers(),
        ]

    def _find_repeated_runs(self) -> Iterator[str]:
        counts = collections.Counter(run.attempt for run in self.runs)
        for attempt, count in counts.items():
            if attempt in self.unsafe and count > 1:
                yield f"{attempt} ran {count} times"

    def _find_runs_despite_not_run_status(self) -> Iterator[str]:
        ran = {run.attempt for run in self.runs}
        for attempt, status in self.statuses.items():
            if status in NOT_RUN_STATUSES and attempt in ran:
                yield f"{attempt} got {status} and ran"

    def _find_runs_after_drain(self) -> Iterator[str]:
        """Yield late runs that an entry VM in touch sent."""
        for run in self.runs:
            began_s = self.drain_began_s.get(run.target)
            if (
                began_s is not None
                and run.at_s > began_s + DRAIN_S + IN_FLIGHT_MARGIN_S
                and not self._stood_still(run)
            ):
                late_s = run.at_s - began_s - DRAIN_S
                yield f"{run.attempt} ran {late_s:.2f} s late on {run.target}"

    def _stood_still(self, run: Run) -> bool:
        """Return whether the VM that sent it stood still shortly before."""
        entry = self.sent_to.get(run.attempt, -1)
        return any(
            stall.overlaps(entry, run.at_s - CONTACT_WINDOW_S, run.at_s)
            for stall in self.stalls
        )

    def _find_rate_excess(self) -> Iterator[str]:
        max_runs = (RATE_PER_S * WINDOW_S + BURST) * (
            1 + OVERAGE_FRACTION
        ) + QUOTA_SLACK
        window: collections.deque[float] = collections.deque()
        for run in self.runs:
            if run.account != "small":
                continue
            window.append(run.at_s)
            while window[0] < run.at_s - WINDOW_S:
                window.popleft()
            if len(window) > max_runs:
                yield f"{len(window)} runs of an account within 5 s"
                return

    def _find_limit_excess(self) -> Iterator[str]:
        """Yield limits that were exceeded in a window without interruption."""
        for limit in self.limits:
            max_runs = (
                LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
            )
            times_s = [
                run.at_s
                for run in self.runs
                if run.target == limit.target
                and run.at_s >= limit.began_s + LIMIT_SPREAD_S
            ]
            for began_s in times_s:
                ended_s = began_s + LIMIT_WINDOW_S
                if ended_s > limit.ended_s or self._was_interrupted(
                    began_s - CONTACT_WINDOW_S, ended_s
                ):
                    continue
                count = sum(began_s <= at_s < ended_s for at_s in times_s)
                if count > max_runs:
                    yield (
                        f"{count} runs within 4 s on {limit.target}, "
                        f"which stated {limit.per_s} a second"
                    )
                    break

    def _was_interrupted(self, from_s: float, until_s: float) -> bool:
        return any(
            began_s <= until_s and ended_s >= from_s
            for began_s, ended_s in self.interruptions
        )

    def _find_failed_shutdowns(self) -> Iterator[str]:
        ran = {run.attempt for run in self.runs}
        for shutdown in self.shutdowns:
            if self._was_disturbed(shutdown):
                continue
            if shutdown.code != 0:
                yield f"entry {shutdown.entry} stopped with {shutdown.code}"
            for brk in self.broken:
                is_during_shutdown = (
                    shutdown.began_s
                    <= brk.ended_s
                    <= shutdown.ended_s + IN_FLIGHT_MARGIN_S
                )
                if (
                    brk.entry == shutdown.entry
                    and is_during_shutdown
                    and brk.attempt in ran
                    and not self._was_lost_before(brk, shutdown.began_s)
                ):
                    yield f"{brk.attempt} was cut by a planned stop"

    def _was_lost_before(self, brk: Break, stop_began_s: float) -> bool:
        """Return whether a link fault may have taken the response before."""
        return brk.is_proxied and any(
            fault.overlaps(brk.entry, brk.sent_s, stop_began_s)
            for fault in self.link_faults
        )

    def _was_disturbed(self, shutdown: Shutdown) -> bool:
        return any(
            entry in (shutdown.entry, -1)
            and began_s <= shutdown.ended_s
            and ended_s >= shutdown.began_s
            for entry, began_s, ended_s in self.disturbances
        )

    def _find_unexplained_breaks(self) -> Iterator[str]:
        """Yield requests without a response that no fault explains."""
        ran = {run.attempt for run in self.runs}
        for brk in self.broken:
            if brk.explanation(
                ran=brk.attempt in ran,
                idle_timeout_s=min(IDLE_TIMEOUTS_S),
                kills=self.kills,
                link_faults=self.link_faults,
                stops=self.absences,
            ):
                continue
            waited_s = brk.ended_s - brk.sent_s
            yield (
                f"{brk.attempt} at entry {brk.entry} {brk.ending.value} "
                f"after {waited_s:.2f} s, idle for {brk.idle_s:.2f} s, "
                f"{'ran' if brk.attempt in ran else 'not run'}"
                f"{self._describe_stop(brk.entry, brk.sent_s)}"
            )

    def _describe_stop(self, entry: int, at_s: float) -> str:
        for shutdown in self.shutdowns:
            if entry == shutdown.entry and (
                shutdown.began_s <= at_s <= shutdown.ended_s
            ):
                return f", {at_s - shutdown.began_s:.2f} s into a stop"
        return ""

    def _find_work_cut_by_stops(self) -> Iterator[str]:
        """Yield runs that a stop took and whose answers it didn't deliver."""
        ran_on = collections.defaultdict(list)
        for run in self.runs:
            ran_on[run.attempt].append(run)
        for shutdown in self.shutdowns:
            if self._was_disturbed(shutdown):
                continue
            for attempt, answer in self.answers.items():
                if (
                    answer.entry != shutdown.entry
                    or answer.status == 200
                    or not ran_on[attempt]
                    or not (
                        shutdown.began_s
                        <= answer.answered_s
                        <= shutdown.ended_s + IN_FLIGHT_MARGIN_S
                    )
                    or answer.answered_s >= answer.sent_s + answer.time_limit_s
                    or self._broke_off(ran_on[attempt], answer)
                ):
                    continue
                sent_s = answer.sent_s - shutdown.began_s
                finished_s = self.finished_s.get(attempt, answer.answered_s)
                if (
                    sent_s > LATE_REQUEST_S
                    or finished_s <= shutdown.began_s + WORK_END_S
                ):
                    yield (
                        f"{attempt} ran, sent {sent_s:.2f} s into a stop of "
                        f"entry {shutdown.entry}, and got {answer.status}"
                    )

    def _find_false_timeouts(self) -> Iterator[str]:
        """Yield requests that were sent in time and got a 408."""
        for attempt, answer in self.answers.items():
            took_s = answer.answered_s - answer.sent_s
            if (
                answer.status == 408
                and answer.sending_s < USUAL_SENDING_FRACTION * HEAD_TIMEOUT_S
                and took_s < answer.time_limit_s
            ):
                yield (
                    f"{attempt} was sent within {answer.sending_s:.2f} s and "
                    f"got 408 at entry {answer.entry} after {took_s:.2f} s"
                )

    def _find_undelivered_answers(self) -> Iterator[str]:
        """Yield requests that failed though a target's answer was ready.

        `_find_work_cut_by_stops` judges those that end in a stop.
        """
        ran_on = collections.defaultdict(list)
        for run in self.runs:
            ran_on[run.attempt].append(run)
        for attempt, answer in self.answers.items():
            ended_s = answer.sent_s + answer.time_limit_s
            finished_s = self.finished_s.get(attempt, ended_s)
            if (
                answer.status in OWN_FAILURES
                and finished_s + IN_FLIGHT_MARGIN_S < ended_s
                and not self._describe_stop(answer.entry, answer.answered_s)
                and not self._broke_off(ran_on[attempt], answer)
            ):
                yield (
                    f"{attempt} got {answer.status} at entry {answer.entry} "
                    f"though its answer was ready "
                    f"{ended_s - finished_s:.2f} s before its time limit"
                )

    def _broke_off(self, runs: list[Run], answer: Answer) -> bool:
        """Return whether a fault of a target may have broken its run."""
        return any(
            fault.overlaps(
                int(run.target.split("-")[1]), run.at_s, answer.answered_s
            )
            for run in runs
            for fault in self.target_faults
        )
