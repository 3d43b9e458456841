"""Checks of the Raft messages of other replicas, before they are processed.

They refuse only what no replica sends, however late a message arrives.
"""

from collections.abc import Callable, Iterator
import math
from typing import Any, Final

from wigeonford.codec import CodecError
from wigeonford.control._raft_members import decode_change
from wigeonford.control._raft_snapshot import unpack_snapshot
from wigeonford.control._state import State
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    HandOver,
    InstallSnapshot,
    VoteRequest,
)

MAX_RAFT_COUNT: Final = 1 << 62
"""Largest term or position; what follows can still be stored."""
MAX_HAND_OVER_S: Final = 60.0
"""Far longer than the last of all voters waits."""

_COUNT_FIELDS: Final = (
    "term",
    "position",
    "previous_position",
    "previous_term",
    "commit_position",
    "snapshot_term",
    "last_position",
    "last_term",
)
_TIME_FIELDS: Final = (
    "sent_at_s",
    "replied_at_s",
    "echo_s",
    "confirmed_age_s",
    "delay_s",
)
_Check = Callable[[Any], Iterator[str]]
_CHECKS: Final[dict[type[Any], _Check]] = {}


def _checks(kind: type[Any]) -> Callable[[_Check], _Check]:
    def add(function: _Check) -> _Check:
        _CHECKS[kind] = function
        return function

    return add


def check_raft_message(name: str, record: Any) -> Iterator[str]:
    """Yield each reason for which a message can't be processed.

    `name` is the name of the replica that received it.
    """
    if record.sender == name:
        yield "sender is this replica"
    for field in _COUNT_FIELDS:
        if not 0 <= getattr(record, field, 0) <= MAX_RAFT_COUNT:
            yield f"{field} is not in the range 0 to {MAX_RAFT_COUNT}"
    for field in _TIME_FIELDS:
        value_s = getattr(record, field, None)
        if value_s is not None and not math.isfinite(value_s):
            yield f"{field} is not finite"
    check = _CHECKS.get(type(record))
    if check is not None:
        yield from check(record)


@_checks(VoteRequest)
def _check_vote_request(record: VoteRequest) -> Iterator[str]:
    if record.last_term > record.term:
        yield "last_term is above term"


@_checks(AppendEntries)
def _check_append(record: AppendEntries) -> Iterator[str]:
    terms = (
        record.previous_term,
        *(entry.term for entry in record.entries),
        record.term,
    )
    if sorted(terms) != list(terms):
        yield "the terms decrease"
    if record.confirmed_age_s is not None and record.confirmed_age_s < 0:
        yield "confirmed_age_s is negative"
    for entry in record.entries:
        try:
            decode_change(entry.content)
        except (CodecError, AssertionError) as exc:
            yield f"a replica table can't be decoded: {exc!r}"


@_checks(InstallSnapshot)
def _check_snapshot(record: InstallSnapshot) -> Iterator[str]:
    if record.snapshot_term > record.term:
        yield "snapshot_term is above term"
    try:
        unpack_snapshot(record.content)
    except Exception as exc:
        yield f"the snapshot can't be decoded: {exc!r}"


@_checks(HandOver)
def _check_hand_over(record: HandOver) -> Iterator[str]:
    if not 0 <= record.delay_s <= MAX_HAND_OVER_S:
        yield f"delay_s is not in the range 0 to {MAX_HAND_OVER_S:g}"


def check_state(record: InstallSnapshot) -> Iterator[str]:
    """Yield why the state in a snapshot can't be restored, if so."""
    try:
        State.restore(unpack_snapshot(record.content)[1])
    except Exception as exc:
        yield f"the state can't be restored: {exc!r}"


def check_reply(
    reply: AppendReply, last_position: int, now_s: float
) -> Iterator[str]:
    """Yield each reason for which a leader can't use a follower's reply.

    It must reply to a message that the leader sent in this term.
    """
    if reply.position > last_position:
        yield "position is beyond the log"
    if reply.sent_at_s > now_s:
        yield "sent_at_s is in the future"
