"""State transitions of one replica's claim registers, without I/O.

Ballot 0 is open to every claimant, and a replica votes in it once. A
claimant with the votes of a majority has won: any two majorities share a
replica, so there is no second winner. Only that winner may use ballot 1.
Higher ballots are for recovery and need a promise before each acceptance.
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

OPEN_BALLOT_NUMBER: Final = 0
WINNER_BALLOT_NUMBER: Final = 1
OPEN_BALLOT: Final = Ballot(OPEN_BALLOT_NUMBER, "")

RegisterRequest = (
    RegisterVote | RegisterPrepare | RegisterAccept | RegisterAbandon
)


class Register(msgspec.Struct, frozen=True):
    """Hold what a replica has promised and accepted for one key.

    `forgot` is set if the replica may have lost a vote that it gave.
    """

    promised: Ballot = OPEN_BALLOT
    accepted: Ballot | None = None
    row: ClaimRow | None = None
    forgot: bool = False


EMPTY_REGISTER: Final = Register()


def transition(
    register: Register, request: RegisterRequest
) -> tuple[Register, RegisterReply]:
    """Return the register after a request, and the reply to the request."""
    if isinstance(request, RegisterVote):
        granted, after = _vote(register, request.row)
    elif isinstance(request, RegisterPrepare):
        granted, after = _promise(register, request.ballot)
    elif isinstance(request, RegisterAccept):
        granted, after = _accept(register, request)
    else:
        granted, after = _abandon(register, request.claimant)
    return after, _make_reply(granted, after)


def _vote(register: Register, row: ClaimRow) -> tuple[bool, Register]:
    if register.row is not None:
        is_repeated = (
            register.accepted == OPEN_BALLOT
            and register.promised == OPEN_BALLOT
            and register.row.claimant == row.claimant
        )
        return is_repeated, register
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
    """Withdraw a vote that its claimant won't count, so it can be reused."""
    if register.accepted != OPEN_BALLOT or register.row is None:
        return False, register
    if register.row.claimant != claimant:
        return False, register
    return True, replace(register, accepted=None, row=None)


def _make_reply(granted: bool, register: Register) -> RegisterReply:
    return RegisterReply(
        granted,
        register.promised,
        register.accepted,
        register.row,
        register.forgot,
    )


def to_copy(key: bytes, register: Register) -> RegisterCopy:
    """Return the copy of a register that is sent to another replica."""
    return RegisterCopy(
        key,
        register.promised,
        register.accepted,
        register.row,
        register.forgot,
    )


def merge_copy(register: Register, copy: RegisterCopy) -> Register:
    """Merge another replica's copy into a register that was lost.

    The lost vote in the open ballot may have gone to any claimant. The
    replica therefore never votes in that ballot again, and `forgot` is set.
    """
    promised = max(register.promised, copy.promised)
    is_newer = copy.accepted is not None and (
        register.accepted is None or copy.accepted > register.accepted
    )
    if is_newer and copy.accepted is not None and copy.accepted > OPEN_BALLOT:
        return Register(promised, copy.accepted, copy.row, True)
    return Register(promised, register.accepted, register.row, True)
