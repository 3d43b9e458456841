"""Decisions over replies for a claim register: pure."""

from collections import Counter
from collections.abc import Collection, Iterable
from enum import StrEnum
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonford.claims._registers import OPEN_BALLOT
from wigeonford.errors import Code
from wigeonford.messages.claim import ClaimRow, RegisterReply
from wigeonford.messages.object import Outcome

CLAIM_TIMEOUT_S: Final = 60.0


class RowState(StrEnum):
    """Say how far a claim has come."""

    OPEN = "open"
    RAN = "ran"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Decision(msgspec.Struct, frozen=True):
    """Say what became of a claim; OK lets the claimant run."""

    code: Code
    outcome: Outcome | None = None


class Step(StrEnum):
    """Say what a proposer does next where nothing is decided yet."""

    WAIT = "wait"
    RECOVER = "recover"


class Write(msgspec.Struct, frozen=True):
    """Ask for a row to be accepted, and say what that will mean."""

    row: ClaimRow
    decision: Decision


IN_PROGRESS: Final = Decision(Code.CLAIM_IN_PROGRESS)
UNKNOWN: Final = Decision(Code.CLAIM_UNKNOWN)
UNAVAILABLE: Final = Decision(Code.CLAIM_UNAVAILABLE)
WON: Final = Decision(Code.OK)
CLOSED: Final = Decision(Code.OK)


def majority(count: int) -> int:
    """Return the size of a majority of `count` replicas."""
    return count // 2 + 1


def decide_votes(
    row: ClaimRow, replies: Collection[RegisterReply], count: int
) -> Decision | Step:
    """Return what the replies to votes for `row` amount to so far."""
    granted = sum(reply.granted for reply in replies)
    if granted >= majority(count):
        return WON
    held = [reply.row for reply in replies if reply.row is not None]
    settled = _settled(row, held)
    if settled is not None:
        return settled
    pending = count - len(replies)
    if granted + pending >= majority(count):
        return Step.WAIT
    others = [other for other in held if other.claimant != row.claimant]
    votes = Counter(
        reply.row.claimant
        for reply in replies
        if reply.row is not None and reply.accepted == OPEN_BALLOT
    )
    leads = max(votes.values(), default=0) >= majority(count)
    fresh = all(_is_fresh(other, row.opened_at_s) for other in others)
    if leads and fresh:
        return _refusal(row, others)
    if pending and len(replies) < majority(count):
        return Step.WAIT
    return Step.RECOVER


def _settled(row: ClaimRow, held: Iterable[ClaimRow]) -> Decision | None:
    """Return the outcome if one is recorded: only its claimant writes it."""
    for other in held:
        if other.state == RowState.RAN:
            if other.fingerprint != row.fingerprint:
                return Decision(Code.CLAIM_MISMATCH)
            return Decision(Code.REPLAYED, other.outcome)
    return None


def _refusal(row: ClaimRow, others: Iterable[ClaimRow]) -> Decision:
    same = all(other.fingerprint == row.fingerprint for other in others)
    return IN_PROGRESS if same else Decision(Code.CLAIM_MISMATCH)


def _is_fresh(row: ClaimRow, now_s: float) -> bool:
    return now_s - row.opened_at_s <= CLAIM_TIMEOUT_S


def is_majority(replies: Collection[RegisterReply], count: int) -> bool:
    """Tell whether a majority of the replicas has replied."""
    return len(replies) >= majority(count)


def _unseen(promises: Collection[RegisterReply], count: int) -> int:
    """Return how many replicas may have given a vote not told of.

    Those are the ones that did not answer or may have lost a vote.
    """
    forgot = sum(promise.forgot for promise in promises)
    return count - len(promises) + forgot


def are_enough(promises: Collection[RegisterReply], count: int) -> bool:
    """Tell whether promises show who may have won the open ballot."""
    if not is_majority(promises, count):
        return False
    if _latest(promises) is not None:
        return True
    return _unseen(promises, count) < majority(count)


def possible_winners(
    promises: Collection[RegisterReply], count: int
) -> dict[str, ClaimRow]:
    """Return the claimants that may have won the open ballot, by name.

    The promises are enough, so that whoever won has a vote among them.
    """
    unseen = _unseen(promises, count)
    rows: dict[str, ClaimRow] = {}
    votes: Counter[str] = Counter()
    for promise in promises:
        if promise.row is not None and promise.accepted == OPEN_BALLOT:
            rows[promise.row.claimant] = promise.row
            votes[promise.row.claimant] += 1
    return {
        claimant: rows[claimant]
        for claimant, given in votes.items()
        if given + unseen >= majority(count)
    }


def _latest(promises: Iterable[RegisterReply]) -> ClaimRow | None:
    """Return the row of the highest ballot above the open one."""
    accepted = [
        (promise.accepted, promise.row)
        for promise in promises
        if promise.accepted is not None
        and promise.row is not None
        and promise.accepted > OPEN_BALLOT
    ]
    return max(accepted, key=lambda pair: pair[0])[1] if accepted else None


def resolve_open(
    row: ClaimRow, promises: Collection[RegisterReply], count: int
) -> Decision | Write:
    """Return what a claimant may write once a majority has promised."""
    latest = _latest(promises)
    if latest is not None:
        return _resolve_latest(row, latest)
    winners = possible_winners(promises, count)
    winners.pop(row.claimant, None)
    if not winners:
        return Write(row, WON)
    holders = list(winners.values())
    if any(_is_fresh(holder, row.opened_at_s) for holder in holders):
        return _refusal(row, holders)
    lost = replace(holders[0], state=RowState.UNKNOWN.value)
    return Write(lost, UNKNOWN)


def _resolve_latest(row: ClaimRow, latest: ClaimRow) -> Decision | Write:
    if latest.state == RowState.RELEASED:
        return Write(row, WON)
    if latest.claimant == row.claimant:
        return Write(row, WON)
    if latest.fingerprint != row.fingerprint:
        return Decision(Code.CLAIM_MISMATCH)
    if latest.state == RowState.RAN:
        return Decision(Code.REPLAYED, latest.outcome)
    if latest.state == RowState.UNKNOWN:
        return UNKNOWN
    if _is_fresh(latest, row.opened_at_s):
        return IN_PROGRESS
    return Write(replace(latest, state=RowState.UNKNOWN.value), UNKNOWN)


def resolve_close(
    row: ClaimRow, promises: Collection[RegisterReply], _count: int
) -> Decision | Write:
    """Return what a claimant that has won may write at its end."""
    latest = _latest(promises)
    if latest is not None and latest.claimant != row.claimant:
        return CLOSED
    return Write(row, CLOSED)


def resolve_release(
    row: ClaimRow, promises: Collection[RegisterReply], count: int
) -> Decision | Write:
    """Return what a claimant that has not won may write to free a key.

    A release never hides another claimant that may have won.
    """
    winners = possible_winners(promises, count)
    winners.pop(row.claimant, None)
    if winners and _latest(promises) is None:
        return CLOSED
    return resolve_close(row, promises, count)
