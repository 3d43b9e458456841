"""Raft messages between control replicas."""

import msgspec

from wigeonford.peer import message


class EntryRecord(msgspec.Struct, frozen=True, array_like=True):
    """Carry one log entry; its index in the message gives its position."""

    term: int
    content: bytes


@message(20)
class VoteRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask one incarnation of a replica for its vote.

    With `pre_vote` set, ask only whether it would vote; the reply does not
    bind it.
    """

    sender: str
    incarnation: str
    recipient: str
    term: int
    pre_vote: bool
    last_position: int
    last_term: int


@message(21)
class VoteReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `VoteRequest`; if granted, with the term of the request."""

    sender: str
    incarnation: str
    term: int
    pre_vote: bool
    is_granted: bool


@message(22)
class AppendEntries(msgspec.Struct, frozen=True, array_like=True):
    """Replicate entries that follow `previous_position`; also a heartbeat.

    `sent_at_s` is the leader's clock; the reply returns it. `echo_s` is the
    latest `replied_at_s` that the leader received from this follower, so
    that the follower can bound how long the message was in transit.
    `confirmed_age_s` is the time since a quorum last confirmed the leader,
    None if unknown.
    """

    sender: str
    recipient: str
    term: int
    previous_position: int
    previous_term: int
    entries: tuple[EntryRecord, ...]
    commit_position: int
    sent_at_s: float
    echo_s: float | None
    confirmed_age_s: float | None


@message(23)
class AppendReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `AppendEntries` and `InstallSnapshot`.

    If accepted, `position` is the last one at which the logs match;
    otherwise it is the highest one from which the leader should retry.
    """

    sender: str
    incarnation: str
    term: int
    accepted: bool
    position: int
    sent_at_s: float
    replied_at_s: float


@message(24)
class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """Replace the state of a follower that is too far behind."""

    sender: str
    recipient: str
    term: int
    position: int
    snapshot_term: int
    content: bytes
    sent_at_s: float


@message(25)
class BootstrapProbe(msgspec.Struct, frozen=True, array_like=True):
    """Ask whether a replica has an empty data folder."""

    sender: str
    incarnation: str


@message(26)
class BootstrapReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `BootstrapProbe`; `initiator_incarnation` is the prober's."""

    sender: str
    incarnation: str
    initiator_incarnation: str
    is_empty: bool


@message(27)
class SubmitCommand(msgspec.Struct, frozen=True, array_like=True):
    """Forward an encoded command to the leader."""

    content: bytes


@message(28)
class CommandOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `SubmitCommand` with the encoded result."""

    content: bytes


@message(29)
class ConfirmRead(msgspec.Struct, frozen=True, array_like=True):
    """Ask the leader for a position that a quorum confirms as current."""


@message(30)
class ReadConfirmed(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `ConfirmRead`; reads at `position` or later are current."""

    position: int


@message(31)
class ActiveMembers(msgspec.Struct, frozen=True, array_like=True):
    """Report to the leader which entry VMs recently contacted a follower."""

    names: tuple[str, ...]


@message(32)
class ReplicaChange(msgspec.Struct, frozen=True, array_like=True):
    """Ask the leader to add a replica at an address, or to remove it."""

    name: str
    host: str
    port: int
    remove: bool


@message(33)
class HandOver(msgspec.Struct, frozen=True, array_like=True):
    """Tell a follower that the leader of a term has stepped down.

    The follower stands for election after `delay_s` unless it hears of a
    leader or votes for another one before.
    """

    sender: str
    term: int
    delay_s: float
