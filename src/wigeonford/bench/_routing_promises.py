"""Breaches of the promises, counted from books of callers and targets."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

from wigeonford.bench._books import RunRecord, TargetBooks
from wigeonford.bench._routing_books import CallLedger
from wigeonford.errors import RunState
from wigeonford.invariants import Invariant
from wigeonford.model import ObjectSet, Side
from wigeonford.settings import Address

LEAVING_S: Final = 3.0
WITHDRAWN_S: Final = 6.0


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold all that a run left in the books."""

    objects: ObjectSet
    ledger: CallLedger
    books: TargetBooks
    stopped: frozenset[Address]
    reverted: int
    asserted: Counter[Invariant]


Count = Callable[[Evidence], int]
_COUNTS: Final[dict[Invariant, Count]] = {}


def _promise(invariant: Invariant) -> Callable[[Count], Count]:
    def add(count: Count) -> Count:
        _COUNTS[invariant] = count
        return count

    return add


def count_breaches(evidence: Evidence) -> dict[str, int]:
    """Return the breaches of each promise, by its name."""
    return {
        invariant.name: _COUNTS[invariant](evidence)
        + evidence.asserted[invariant]
        for invariant in Invariant
    }


def _by_time(evidence: Evidence) -> list[RunRecord]:
    return sorted(evidence.books.records, key=lambda item: item.started_s)


def _runs(evidence: Evidence) -> Counter[str]:
    return Counter(record.request_id for record in evidence.books.records)


@_promise(Invariant.SHIFT_UNDER_CAP)
def _shift(evidence: Evidence) -> int:
    """Count the prefixes of what ran that lie over the cap."""
    caps = {s.service: s.cap for s in evidence.objects.shares.values()}
    total: Counter[str] = Counter()
    new: Counter[str] = Counter()
    over = 0
    for record in _by_time(evidence):
        if record.service not in caps:
            continue
        total[record.service] += 1
        if record.side != Side.NEW.value:
            continue
        new[record.service] += 1
        cap = caps[record.service]
        over += new[record.service] > cap * total[record.service]
    return over


@_promise(Invariant.REGION_NOT_OVERLOADED)
def _region(evidence: Evidence) -> int:
    return evidence.books.over_region


@_promise(Invariant.KEY_MATCHES_ACCOUNT)
def _account(evidence: Evidence) -> int:
    return evidence.books.wrong_accounts


@_promise(Invariant.NO_KEY_TO_TARGET)
def _key(evidence: Evidence) -> int:
    return evidence.books.keys_seen


@_promise(Invariant.WITHDRAWN_KEY_STOPS)
def _withdrawn(evidence: Evidence) -> int:
    ledger = evidence.ledger
    until_s = ledger.withdrawn_at_s + WITHDRAWN_S
    return sum(
        record.request_id in ledger.withdrawn and record.started_s > until_s
        for record in evidence.books.records
    )


@_promise(Invariant.RATE_NOT_EXCEEDED)
def _rate(evidence: Evidence) -> int:
    """Feed one exact bucket for each account with the targets' times."""
    accounts = evidence.objects.client_accounts
    tokens = {name: account.burst for name, account in accounts.items()}
    at_s: dict[str, float] = {}
    over = 0
    for record in _first_runs(evidence):
        account = accounts[record.request_id.split("/")[0]]
        since_s = record.started_s - at_s.get(account.name, record.started_s)
        at_s[account.name] = record.started_s
        grown = tokens[account.name] + since_s * account.rate_per_s
        tokens[account.name] = min(account.burst, grown)
        if tokens[account.name] < 1.0:
            over += 1
            continue
        tokens[account.name] -= 1.0
    return over


def _first_runs(evidence: Evidence) -> Iterator[RunRecord]:
    seen: set[str] = set()
    for record in _by_time(evidence):
        if record.request_id not in seen:
            seen.add(record.request_id)
            yield record


@_promise(Invariant.WHOLE_ANSWER)
def _whole(evidence: Evidence) -> int:
    return sum(call.wrong for call in evidence.ledger.calls)


@_promise(Invariant.NOT_RUN_IS_TRUE)
def _not_run(evidence: Evidence) -> int:
    runs = _runs(evidence)
    return sum(
        call.run_state == RunState.NOT_RUN.value and call.request_id in runs
        for call in evidence.ledger.calls
    )


@_promise(Invariant.AT_MOST_ONCE)
def _once(evidence: Evidence) -> int:
    return evidence.books.run_twice


@_promise(Invariant.LEAVING_TARGET_UNUSED)
def _leaving(evidence: Evidence) -> int:
    left = evidence.books.left_at_s
    return sum(
        record.started_s > left.get(record.target, float("inf")) + LEAVING_S
        for record in evidence.books.records
    )


@_promise(Invariant.STOP_CUTS_NOTHING)
def _stop(evidence: Evidence) -> int:
    """Count exchanges that failed at a VM that was stopped as planned."""
    return sum(
        call.status == 0 and call.entry in evidence.stopped
        for call in evidence.ledger.calls
    )


@_promise(Invariant.CONFIG_NEVER_REVERTS)
def _reverts(evidence: Evidence) -> int:
    return evidence.reverted
