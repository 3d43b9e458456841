"""Rounds of messages that open and close a claim, without I/O.

A round is a generator. It yields requests to broadcast, receives each reply
through `send` (None at a timeout) and returns its decision.
"""

from collections.abc import Callable, Collection, Generator
from enum import StrEnum
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonford.claims._proposer import (
    can_identify_winners,
    CLOSED,
    decide_votes,
    Decision,
    has_majority,
    majority_size,
    resolve_close,
    resolve_open,
    resolve_release,
    RowProposal,
    RowState,
    Step,
    UNAVAILABLE,
)
from wigeonford.claims._registers import (
    OPEN_BALLOT,
    RegisterRequest,
    WINNER_BALLOT_NUMBER,
)
from wigeonford.errors import Code
from wigeonford.messages.claim import (
    Ballot,
    ClaimRow,
    RegisterAbandon,
    RegisterAccept,
    RegisterPrepare,
    RegisterReply,
    RegisterVote,
)
from wigeonford.messages.object import Outcome

MAX_RECOVERIES: Final = 6


class Broadcast(msgspec.Struct, frozen=True):
    """Hold a request to every replica; None only waits for a reply.

    With `backs_off`, the sender first waits for a random time.
    """

    request: RegisterRequest | None
    backs_off: bool = False


_EnoughReplies = Callable[[Collection[RegisterReply], int], bool]
_Resolve = Callable[
    [ClaimRow, Collection[RegisterReply], int], Decision | RowProposal
]
Round = Generator[Broadcast, RegisterReply | None, Decision]


class _PhaseReplies(msgspec.Struct, frozen=True):
    """Hold the replies that granted a request and the highest promise."""

    granted: tuple[RegisterReply, ...]
    highest_ballot: Ballot


_PhaseSteps = Generator[Broadcast, RegisterReply | None, _PhaseReplies]


def open_round(key: bytes, row: ClaimRow, replica_count: int) -> Round:
    """Claim a key for `row.claimant` among `replica_count` replicas."""
    replies: list[RegisterReply] = []
    reply = yield Broadcast(RegisterVote(key, row))
    while True:
        if reply is None:
            decision: Decision | Step = UNAVAILABLE
        else:
            replies.append(reply)
            decision = decide_votes(row, replies, replica_count)
        if decision is not Step.WAIT:
            break
        reply = yield Broadcast(None)
    if decision is Step.RECOVER:
        decision = yield from _recover(
            key,
            row,
            replica_count,
            replies,
            resolve_open,
            can_identify_winners,
        )
    assert isinstance(decision, Decision), "an open round ends with a decision"
    if decision.code is not Code.OK:
        yield Broadcast(RegisterAbandon(key, row.claimant))
    return decision


class WinPath(StrEnum):
    """Name the kind of ballot by which a claimant won its claim."""

    OPEN_BALLOT = "open-ballot"
    RECOVERY = "recovery"
    NOT_WON = "not"


def close_round(
    key: bytes, row: ClaimRow, replica_count: int, won: WinPath
) -> Round:
    """Close a claim; the open ballot's winner needs one round trip."""
    if won is WinPath.OPEN_BALLOT:
        ballot = Ballot(WINNER_BALLOT_NUMBER, row.claimant)
        accepted = yield from _collect_replies(
            Broadcast(RegisterAccept(key, ballot, row)), replica_count
        )
        if len(accepted.granted) >= majority_size(replica_count):
            return CLOSED
    # A winner needs only a majority of promises. Another claimant must first
    # know who may have won, so that it does not overwrite the winner's row.
    has_enough = (
        can_identify_winners if won is WinPath.NOT_WON else has_majority
    )
    resolve = resolve_release if won is WinPath.NOT_WON else resolve_close
    return (
        yield from _recover(key, row, replica_count, [], resolve, has_enough)
    )


def _recover(
    key: bytes,
    row: ClaimRow,
    replica_count: int,
    open_replies: list[RegisterReply],
    resolve: _Resolve,
    has_enough: _EnoughReplies,
) -> Round:
    highest_ballot = max(
        (reply.promised for reply in open_replies), default=OPEN_BALLOT
    )
    for _ in range(MAX_RECOVERIES):
        number = max(highest_ballot.number, WINNER_BALLOT_NUMBER) + 1
        ballot = Ballot(number, row.claimant)
        prepare = Broadcast(RegisterPrepare(key, ballot), backs_off=True)
        promises = yield from _collect_replies(
            prepare, replica_count, has_enough
        )
        highest_ballot = max(ballot, promises.highest_ballot)
        if not has_enough(promises.granted, replica_count):
            continue
        resolved = resolve(row, promises.granted, replica_count)
        if isinstance(resolved, Decision):
            return resolved
        accept = Broadcast(RegisterAccept(key, ballot, resolved.row))
        accepted = yield from _collect_replies(accept, replica_count)
        if len(accepted.granted) >= majority_size(replica_count):
            return resolved.decision
        highest_ballot = max(highest_ballot, accepted.highest_ballot)
    return UNAVAILABLE


def _collect_replies(
    broadcast: Broadcast,
    replica_count: int,
    has_enough: _EnoughReplies = has_majority,
) -> _PhaseSteps:
    """Return the replies to a request once they decide its phase."""
    granted: list[RegisterReply] = []
    rejected_count = 0
    highest_ballot = OPEN_BALLOT
    reply = yield broadcast
    while reply is not None:
        highest_ballot = max(highest_ballot, reply.promised)
        if reply.granted:
            granted.append(reply)
        else:
            rejected_count += 1
        if has_enough(granted, replica_count):
            break
        if rejected_count > replica_count - majority_size(replica_count):
            break
        reply = yield Broadcast(None)
    return _PhaseReplies(tuple(granted), highest_ballot)


def make_closing_row(
    row: ClaimRow, *, ran: bool, outcome: Outcome | None
) -> ClaimRow:
    """Return the row that ends a claim."""
    if not ran:
        state = RowState.RELEASED
    elif outcome is None:
        state = RowState.UNKNOWN
    else:
        state = RowState.RAN
    return replace(row, state=state.value, outcome=outcome)


class OutgoingRequest(msgspec.Struct, frozen=True):
    """Hold a request to broadcast and the phase its replies belong to."""

    phase: int
    request: RegisterRequest
    backs_off: bool


class RoundRunner:
    """Run a round and ignore late replies.

    Each replica replies at most once in a phase.
    """

    def __init__(self, claim_round: Round) -> None:
        self._round = claim_round
        self.phase = 0
        self.decision: Decision | None = None

    def start(self) -> list[OutgoingRequest]:
        """Start the round and return its first request."""
        return self._advance(None)

    def on_reply(
        self, phase: int, reply: RegisterReply
    ) -> list[OutgoingRequest]:
        """Apply a reply and return the next requests; ignore a late reply."""
        if phase != self.phase or self.decision is not None:
            return []
        return self._advance(reply)

    def on_timeout(self, phase: int) -> list[OutgoingRequest]:
        """End a phase that is undecided and return the next requests."""
        if phase != self.phase or self.decision is not None:
            return []
        return self._advance(None)

    def _advance(self, reply: RegisterReply | None) -> list[OutgoingRequest]:
        outgoing: list[OutgoingRequest] = []
        try:
            broadcast = self._round.send(reply)
            while broadcast.request is not None:
                self.phase += 1
                outgoing.append(
                    OutgoingRequest(
                        self.phase, broadcast.request, broadcast.backs_off
                    )
                )
                if not isinstance(broadcast.request, RegisterAbandon):
                    break
                broadcast = next(self._round)
        except StopIteration as stop:
            self.decision = stop.value
        return outgoing
