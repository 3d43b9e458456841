"""A proposer's decisions from replies for a register, without I/O."""

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
    """List the states of a claim."""

    OPEN = "open"
    RAN = "ran"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Decision(msgspec.Struct, frozen=True):
    """Hold the result of a round; OK for an opened or closed claim."""

    code: Code
    outcome: Outcome | None = None


class Step(StrEnum):
    """Name what a proposer does next while a round is undecided."""

    WAIT = "wait"
    RECOVER = "recover"


class RowProposal(msgspec.Struct, frozen=True):
    """Propose a row, and hold the decision if a majority accepts it."""

    row: ClaimRow
    decision: Decision


IN_PROGRESS: Final = Decision(Code.CLAIM_IN_PROGRESS)
UNKNOWN: Final = Decision(Code.CLAIM_UNKNOWN)
UNAVAILABLE: Final = Decision(Code.CLAIM_UNAVAILABLE)
WON: Final = Decision(Code.OK)
CLOSED: Final = Decision(Code.OK)


def majority_size(replica_count: int) -> int:
    """Return the size of a majority of `replica_count` replicas."""
    return replica_count // 2 + 1


def decide_votes(
    row: ClaimRow, replies: Collection[RegisterReply], replica_count: int
) -> Decision | Step:
    """Return the decision, or next step, from the replies to a vote."""
    granted = sum(reply.granted for reply in replies)
    if granted >= majority_size(replica_count):
        return WON
    stored_rows = [reply.row for reply in replies if reply.row is not None]
    recorded = _recorded_outcome(row, stored_rows)
    if recorded is not None:
        return recorded
    pending_count = replica_count - len(replies)
    if granted + pending_count >= majority_size(replica_count):
        return Step.WAIT
    others = [other for other in stored_rows if other.claimant != row.claimant]
    votes = Counter(
        reply.row.claimant
        for reply in replies
        if reply.row is not None and reply.accepted == OPEN_BALLOT
    )
    other_has_majority = max(votes.values(), default=0) >= majority_size(
        replica_count
    )
    others_are_fresh = all(
        _is_fresh(other, row.opened_at_s) for other in others
    )
    if other_has_majority and others_are_fresh:
        return _rejection(row, others)
    if pending_count and len(replies) < majority_size(replica_count):
        return Step.WAIT
    return Step.RECOVER


def _recorded_outcome(
    row: ClaimRow, stored_rows: Iterable[ClaimRow]
) -> Decision | None:
    """Return the recorded outcome, or None.

    One reply suffices, since only the winning claimant records an outcome.
    """
    for other in stored_rows:
        if other.state == RowState.RAN:
            if other.fingerprint != row.fingerprint:
                return Decision(Code.CLAIM_MISMATCH)
            return Decision(Code.REPLAYED, other.outcome)
    return None


def _rejection(row: ClaimRow, others: Iterable[ClaimRow]) -> Decision:
    same = all(other.fingerprint == row.fingerprint for other in others)
    return IN_PROGRESS if same else Decision(Code.CLAIM_MISMATCH)


def _is_fresh(row: ClaimRow, now_s: float) -> bool:
    return now_s - row.opened_at_s <= CLAIM_TIMEOUT_S


def has_majority(
    replies: Collection[RegisterReply], replica_count: int
) -> bool:
    """Return whether a majority of the replicas has replied."""
    return len(replies) >= majority_size(replica_count)


def _count_unknown_votes(
    promises: Collection[RegisterReply], replica_count: int
) -> int:
    """Return how many replicas may have given a vote that is not reported.

    These replicas did not reply, or may have lost a vote that they gave.
    """
    forgot = sum(promise.forgot for promise in promises)
    return replica_count - len(promises) + forgot


def can_identify_winners(
    promises: Collection[RegisterReply], replica_count: int
) -> bool:
    """Return whether the promises show who may have won the open ballot."""
    if not has_majority(promises, replica_count):
        return False
    if _highest_accepted_row(promises) is not None:
        return True
    return _count_unknown_votes(promises, replica_count) < majority_size(
        replica_count
    )


def possible_winners(
    promises: Collection[RegisterReply], replica_count: int
) -> dict[str, ClaimRow]:
    """Return the claimants that may have won the open ballot, by name.

    Requires `can_identify_winners`, so that a winner has a vote among the
    promises.
    """
    unknown_vote_count = _count_unknown_votes(promises, replica_count)
    rows: dict[str, ClaimRow] = {}
    votes: Counter[str] = Counter()
    for promise in promises:
        if promise.row is not None and promise.accepted == OPEN_BALLOT:
            rows[promise.row.claimant] = promise.row
            votes[promise.row.claimant] += 1
    return {
        claimant: rows[claimant]
        for claimant, vote_count in votes.items()
        if vote_count + unknown_vote_count >= majority_size(replica_count)
    }


def _highest_accepted_row(
    promises: Iterable[RegisterReply],
) -> ClaimRow | None:
    """Return the accepted row of the highest ballot above the open one."""
    accepted = [
        (promise.accepted, promise.row)
        for promise in promises
        if promise.accepted is not None
        and promise.row is not None
        and promise.accepted > OPEN_BALLOT
    ]
    return max(accepted, key=lambda pair: pair[0])[1] if accepted else None


def resolve_open(
    row: ClaimRow, promises: Collection[RegisterReply], replica_count: int
) -> Decision | RowProposal:
    """Return the decision or proposal of a claimant that opens a claim."""
    accepted_row = _highest_accepted_row(promises)
    if accepted_row is not None:
        return _resolve_accepted(row, accepted_row)
    other_winners = possible_winners(promises, replica_count)
    other_winners.pop(row.claimant, None)
    if not other_winners:
        return RowProposal(row, WON)
    holders = list(other_winners.values())
    if any(_is_fresh(holder, row.opened_at_s) for holder in holders):
        return _rejection(row, holders)
    unknown_row = replace(holders[0], state=RowState.UNKNOWN.value)
    return RowProposal(unknown_row, UNKNOWN)


def _resolve_accepted(
    row: ClaimRow, accepted_row: ClaimRow
) -> Decision | RowProposal:
    if accepted_row.state == RowState.RELEASED:
        return RowProposal(row, WON)
    if accepted_row.claimant == row.claimant:
        return RowProposal(row, WON)
    if accepted_row.fingerprint != row.fingerprint:
        return Decision(Code.CLAIM_MISMATCH)
    if accepted_row.state == RowState.RAN:
        return Decision(Code.REPLAYED, accepted_row.outcome)
    if accepted_row.state == RowState.UNKNOWN:
        return UNKNOWN
    if _is_fresh(accepted_row, row.opened_at_s):
        return IN_PROGRESS
    return RowProposal(
        replace(accepted_row, state=RowState.UNKNOWN.value), UNKNOWN
    )


def resolve_close(
    row: ClaimRow, promises: Collection[RegisterReply], _count: int
) -> Decision | RowProposal:
    """Return the decision or proposal of a winner that closes a claim."""
    accepted_row = _highest_accepted_row(promises)
    if accepted_row is not None and accepted_row.claimant != row.claimant:
        return CLOSED
    return RowProposal(row, CLOSED)


def resolve_release(
    row: ClaimRow, promises: Collection[RegisterReply], replica_count: int
) -> Decision | RowProposal:
    """Return the decision or proposal to release a key that isn't won.

    A release never overwrites another claimant that may have won.
    """
    other_winners = possible_winners(promises, replica_count)
    other_winners.pop(row.claimant, None)
    if other_winners and _highest_accepted_row(promises) is None:
        return CLOSED
    return resolve_close(row, promises, replica_count)
