"""Claim registers as one replica keeps them: pure transitions.

Ballot number 0 is open to every claimant, and a replica gives its vote in
it once. A claimant with the votes of a majority has won, since two
majorities share a replica. Number 1 belongs to that winner alone. Higher
numbers are for recovery, with a promise before each acceptance.
"""

from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonford.messages.claim import (
    Ballot,
    ClaimRow,
    RegisterAbandon,
    RegisterAccept,
    RegisterCopy,
    RegisterPrepare,
    RegisterReply,
    RegisterVote,
)

OPEN_NUMBER: Final = 0
OWNER_NUMBER: Final = 1
OPEN_BALLOT: Final = Ballot(OPEN_NUMBER, "")

RegisterRequest = (
    RegisterVote | RegisterPrepare | RegisterAccept | RegisterAbandon
)


class Register(msgspec.Struct, frozen=True):
    """Hold what a replica has promised and accepted for one key."""

    promised: Ballot = OPEN_BALLOT
    accepted: Ballot | None = None
    row: ClaimRow | None = None
    forgot: bool = False


EMPTY_REGISTER: Final = Register()


def transition(
    register: Register, request: RegisterRequest
) -> tuple[Register, RegisterReply]:
    """Return the register after a request, and the reply to it."""
    if isinstance(request, RegisterVote):
        granted, after = _vote(register, request.row)
    elif isinstance(request, RegisterPrepare):
        granted, after = _promise(register, request.ballot)
    elif isinstance(request, RegisterAccept):
        granted, after = _accept(register, request)
    else:
        granted, after = _abandon(register, request.claimant)
    return after, _reply(granted, after)


def _vote(register: Register, row: ClaimRow) -> tuple[bool, Register]:
    if register.row is not None:
        again = (
            register.accepted == OPEN_BALLOT
            and register.promised == OPEN_BALLOT
            and register.row.claimant == row.claimant
        )
        return again, register
    if register.forgot or register.promised != OPEN_BALLOT:
        return False, register
    return True, Register(OPEN_BALLOT, OPEN_BALLOT, row)


def _promise(register: Register, ballot: Ballot) -> tuple[bool, Register]:
    if ballot <= register.promised:
        return False, register
    return True, replace(register, promised=ballot)


def _accept(
    register: Register, request: RegisterAccept
) -> tuple[bool, Register]:
    if request.ballot < register.promised:
        return False, register
    ballot = request.ballot
    return True, Register(ballot, ballot, request.row, register.forgot)


def _abandon(register: Register, claimant: str) -> tuple[bool, Register]:
    """Free a vote: its claimant never counts it, so it can be given anew."""
    if register.accepted != OPEN_BALLOT or register.row is None:
        return False, register
    if register.row.claimant != claimant:
        return False, register
    return True, replace(register, accepted=None, row=None)


def _reply(granted: bool, register: Register) -> RegisterReply:
    return RegisterReply(
        granted,
        register.promised,
        register.accepted,
        register.row,
        register.forgot,
    )


def to_copy(key: bytes, register: Register) -> RegisterCopy:
    """Return a register as it travels to another replica."""
    return RegisterCopy(
        key,
        register.promised,
        register.accepted,
        register.row,
        register.forgot,
    )


def merge_copy(register: Register, copy: RegisterCopy) -> Register:
    """Return a lost register after one more replica's copy of it.

    The lost vote of the open ballot may have been anybody's, so that it is
    never given again; the register counts as one that forgot.
    """
    promised = max(register.promised, copy.promised)
    newer = copy.accepted is not None and (
        register.accepted is None or copy.accepted > register.accepted
    )
    if newer and copy.accepted is not None and copy.accepted > OPEN_BALLOT:
        return Register(promised, copy.accepted, copy.row, True)
    return Register(promised, register.accepted, register.row, True)
