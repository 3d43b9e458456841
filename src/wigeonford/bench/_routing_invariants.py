"""Count invariant breaches in the records of callers and targets."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from wigeonford.bench._routing_records import CallerRecords
from wigeonford.bench._target_run_records import RunRecord, TargetRunRecords
from wigeonford.errors import RunState
from wigeonford.invariants import Invariant
from wigeonford.model import ObjectSet, Side
from wigeonford.settings import Address

MAX_DRAIN_DELAY_S: Final = 3.0
"""Time within which a draining target stops receiving requests."""
MAX_WITHDRAWAL_DELAY_S: Final = 6.0
"""Time within which a withdrawn key stops being accepted."""


@dataclass(frozen=True, slots=True)
class RunObservations:
    """Hold the records of a run from which breaches are counted.

    `stopped_entries` were stopped gracefully, `reverted` counts decreases
    of a config revision, and `asserted_breaches` were raised by entry VMs
    during their graceful shutdown.
    """

    objects: ObjectSet
    caller_records: CallerRecords
    target_records: TargetRunRecords
    stopped_entries: frozenset[Address]
    reverted: int
    asserted_breaches: Counter[Invariant]


BreachCounter = Callable[[RunObservations], int]
_BREACH_COUNTERS: Final[dict[Invariant, BreachCounter]] = {}


def _counts_breaches_of(
    invariant: Invariant,
) -> Callable[[BreachCounter], BreachCounter]:
    def register(count: BreachCounter) -> BreachCounter:
        _BREACH_COUNTERS[invariant] = count
        return count

    return register


def count_breaches(observations: RunObservations) -> dict[str, int]:
    """Return the number of breaches of each invariant by name."""
    return {
        invariant.name: _BREACH_COUNTERS[invariant](observations)
        + observations.asserted_breaches[invariant]
        for invariant in Invariant
    }


def _runs_by_start_time(observations: RunObservations) -> list[RunRecord]:
    return sorted(
        observations.target_records.run_records,
        key=lambda item: item.started_s,
    )


def _runs_by_request_id(observations: RunObservations) -> Counter[str]:
    return Counter(
        record.request_id for record in observations.target_records.run_records
    )


@_counts_breaches_of(Invariant.SHIFT_UNDER_CAP)
def _count_shift_over_cap(observations: RunObservations) -> int:
    """Count the new-side runs that exceed the cap at the time they start.

    The cap applies to the new side's fraction of the runs so far.
    """
    caps = {s.service: s.cap for s in observations.objects.shares.values()}
    total_runs: Counter[str] = Counter()
    new_side_runs: Counter[str] = Counter()
    breaches = 0
    for record in _runs_by_start_time(observations):
        if record.service not in caps:
            continue
        total_runs[record.service] += 1
        if record.side != Side.NEW.value:
            continue
        new_side_runs[record.service] += 1
        cap = caps[record.service]
        breaches += (
            new_side_runs[record.service] > cap * total_runs[record.service]
        )
    return breaches


@_counts_breaches_of(Invariant.REGION_NOT_OVERLOADED)
def _count_region_overloads(observations: RunObservations) -> int:
    return observations.target_records.over_region_capacity


@_counts_breaches_of(Invariant.KEY_MATCHES_ACCOUNT)
def _count_wrong_accounts(observations: RunObservations) -> int:
    return observations.target_records.wrong_accounts


@_counts_breaches_of(Invariant.NO_KEY_TO_TARGET)
def _count_keys_at_targets(observations: RunObservations) -> int:
    return observations.target_records.keys_seen


@_counts_breaches_of(Invariant.WITHDRAWN_KEY_STOPS)
def _count_withdrawn_key_runs(observations: RunObservations) -> int:
    caller_records = observations.caller_records
    deadline_s = caller_records.key_withdrawn_at_s + MAX_WITHDRAWAL_DELAY_S
    return sum(
        record.request_id in caller_records.withdrawn
        and record.started_s > deadline_s
        for record in observations.target_records.run_records
    )


@_counts_breaches_of(Invariant.RATE_NOT_EXCEEDED)
def _count_runs_over_rate(observations: RunObservations) -> int:
    """Count the runs that exceed an exact token bucket per account.

    Retries with the same request id count once; times are those of the
    targets.
    """
    accounts = observations.objects.client_accounts
    tokens = {name: account.burst for name, account in accounts.items()}
    last_run_s: dict[str, float] = {}
    breaches = 0
    for record in _first_runs(observations):
        account = accounts[record.request_id.split("/")[0]]
        elapsed_s = record.started_s - last_run_s.get(
            account.name, record.started_s
        )
        last_run_s[account.name] = record.started_s
        refilled = tokens[account.name] + elapsed_s * account.rate_per_s
        tokens[account.name] = min(account.burst, refilled)
        if tokens[account.name] < 1.0:
            breaches += 1
            continue
        tokens[account.name] -= 1.0
    return breaches


def _first_runs(observations: RunObservations) -> Iterator[RunRecord]:
    seen_request_ids: set[str] = set()
    for record in _runs_by_start_time(observations):
        if record.request_id not in seen_request_ids:
            seen_request_ids.add(record.request_id)
            yield record


@_counts_breaches_of(Invariant.WHOLE_ANSWER)
def _count_wrong_bodies(observations: RunObservations) -> int:
    return sum(
        call.has_wrong_body for call in observations.caller_records.calls
    )


@_counts_breaches_of(Invariant.NOT_RUN_IS_TRUE)
def _count_runs_despite_not_run(observations: RunObservations) -> int:
    runs = _runs_by_request_id(observations)
    return sum(
        call.run_state == RunState.NOT_RUN.value and call.request_id in runs
        for call in observations.caller_records.calls
    )


@_counts_breaches_of(Invariant.AT_MOST_ONCE)
def _count_repeated_operations(observations: RunObservations) -> int:
    return observations.target_records.run_twice


@_counts_breaches_of(Invariant.LEAVING_TARGET_UNUSED)
def _count_runs_on_draining_targets(observations: RunObservations) -> int:
    draining_since_s = observations.target_records.draining_since_s
    return sum(
        record.started_s
        > draining_since_s.get(record.target, float("inf")) + MAX_DRAIN_DELAY_S
        for record in observations.target_records.run_records
    )


@_counts_breaches_of(Invariant.STOP_CUTS_NOTHING)
def _count_exchanges_cut_by_shutdown(observations: RunObservations) -> int:
    """Count exchanges that failed at a gracefully stopped entry VM."""
    return sum(
        call.status == 0 and call.entry in observations.stopped_entries
        for call in observations.caller_records.calls
    )


@_counts_breaches_of(Invariant.CONFIG_NEVER_REVERTS)
def _count_config_reversions(observations: RunObservations) -> int:
    return observations.reverted
