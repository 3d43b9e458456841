"""Rounds of messages that open and close a claim, without I/O.

A round is a generator: it yields requests to broadcast, is sent each reply
as it comes (None at a timeout) and returns its decision.
"""

from collections.abc import Callable, Collection, Generator
from enum import StrEnum
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonford.claims._proposer import (
    are_enough,
    CLOSED,
    decide_votes,
    Decision,
    is_majority,
    majority,
    resolve_close,
    resolve_open,
    resolve_release,
    RowState,
    Step,
    UNAVAILABLE,
    Write,
)
from wigeonford.claims._registers import (
    OPEN_BALLOT,
    OWNER_NUMBER,
    RegisterRequest,
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
    """Ask to send a request to every replica; None is only awaited."""

    request: RegisterRequest | None
    backs_off: bool = False


_Predicate = Callable[[Collection[RegisterReply], int], bool]
_Resolve = Callable[
    [ClaimRow, Collection[RegisterReply], int], Decision | Write
]
Round = Generator[Broadcast, RegisterReply | None, Decision]


class _Collected(msgspec.Struct, frozen=True):
    """Hold the replies that granted, and the highest promise seen."""

    granted: tuple[RegisterReply, ...]
    highest: Ballot


_Phase = Generator[Broadcast, RegisterReply | None, _Collected]


def open_round(key: bytes, row: ClaimRow, count: int) -> Round:
    """Claim a key for `row.claimant` among `count` replicas."""
    replies: list[RegisterReply] = []
    reply = yield Broadcast(RegisterVote(key, row))
    while True:
        if reply is None:
            decision: Decision | Step = UNAVAILABLE
        else:
            replies.append(reply)
            decision = decide_votes(row, replies, count)
        if decision is not Step.WAIT:
            break
        reply = yield Broadcast(None)
    if decision is Step.RECOVER:
        decision = yield from _recover(
            key, row, count, replies, resolve_open, are_enough
        )
    assert isinstance(decision, Decision), "a round ends with a decision"
    if decision.code is not Code.OK:
        yield Broadcast(RegisterAbandon(key, row.claimant))
    return decision


class Won(StrEnum):
    """Say how a claimant that ends its claim had won it."""

    OPEN_BALLOT = "open-ballot"
    RECOVERY = "recovery"
    NOT = "not"


def close_round(key: bytes, row: ClaimRow, count: int, won: Won) -> Round:
    """Record the end of a claim; the open ballot's winner needs one trip."""
    if won is Won.OPEN_BALLOT:
        ballot = Ballot(OWNER_NUMBER, row.claimant)
        accepted = yield from _collect(
            Broadcast(RegisterAccept(key, ballot, row)), count
        )
        if len(accepted.granted) >= majority(count):
            return CLOSED
    # A winner needs no proof that nobody else has won.
    proof = are_enough if won is Won.NOT else is_majority
    resolve = resolve_release if won is Won.NOT else resolve_close
    return (yield from _recover(key, row, count, [], resolve, proof))


def _recover(
    key: bytes,
    row: ClaimRow,
    count: int,
    seen: list[RegisterReply],
    resolve: _Resolve,
    is_enough: _Predicate,
) -> Round:
    highest = max((reply.promised for reply in seen), default=OPEN_BALLOT)
    for _ in range(MAX_RECOVERIES):
        number = max(highest.number, OWNER_NUMBER) + 1
        ballot = Ballot(number, row.claimant)
        prepare = Broadcast(RegisterPrepare(key, ballot), backs_off=True)
        promises = yield from _collect(prepare, count, is_enough)
        highest = max(ballot, promises.highest)
        if not is_enough(promises.granted, count):
            continue
        found = resolve(row, promises.granted, count)
        if isinstance(found, Decision):
            return found
        accept = Broadcast(RegisterAccept(key, ballot, found.row))
        accepted = yield from _collect(accept, count)
        if len(accepted.granted) >= majority(count):
            return found.decision
        highest = max(highest, accepted.highest)
    return UNAVAILABLE


def _collect(
    broadcast: Broadcast,
    count: int,
    is_done: _Predicate = is_majority,
) -> _Phase:
    """Return the replies to a request, once they decide its phase."""
    granted: list[RegisterReply] = []
    refused = 0
    highest = OPEN_BALLOT
    reply = yield broadcast
    while reply is not None:
        highest = max(highest, reply.promised)
        if reply.granted:
            granted.append(reply)
        else:
            refused += 1
        if is_done(granted, count):
            break
        if refused > count - majority(count):
            break
        reply = yield Broadcast(None)
    return _Collected(tuple(granted), highest)


def closing_row(
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


class Outgoing(msgspec.Struct, frozen=True):
    """Hold a request to broadcast and the phase that its replies carry."""

    phase: int
    request: RegisterRequest
    backs_off: bool


class RoundRunner:
    """Run a round over replies that may be late; one reply a replica."""

    def __init__(self, round_: Round) -> None:
        self._round = round_
        self.phase = 0
        self.decision: Decision | None = None

    def start(self) -> list[Outgoing]:
        """Return the first request."""
        return self._advance(None)

    def on_reply(self, phase: int, reply: RegisterReply) -> list[Outgoing]:
        """Take a reply; ignore one to an earlier phase."""
        if phase != self.phase or self.decision is not None:
            return []
        return self._advance(reply)

    def on_timeout(self, phase: int) -> list[Outgoing]:
        """End a phase that has not been decided in time."""
        if phase != self.phase or self.decision is not None:
            return []
        return self._advance(None)

    def _advance(self, reply: RegisterReply | None) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        try:
            step = self._round.send(reply)
            while step.request is not None:
                self.phase += 1
                outgoing.append(
                    Outgoing(self.phase, step.request, step.backs_off)
                )
                if not isinstance(step.request, RegisterAbandon):
                    break
                step = next(self._round)
        except StopIteration as stop:
            self.decision = stop.value
        return outgoing
