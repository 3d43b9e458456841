"""Messages between control replicas about claim registers."""

import msgspec

from wigeonford.messages.object import Outcome
from wigeonford.peer import message


class Ballot(msgspec.Struct, frozen=True, order=True):
    """Order proposals for one register; the proposer breaks ties."""

    number: int
    proposer: str


class ClaimRow(msgspec.Struct, frozen=True):
    """Hold the value of a register; times are of the wall clock.

    `state` is open, ran, unknown or released.
    """

    fingerprint: bytes
    claimant: str
    opened_at_s: float
    state: str
    outcome: Outcome | None = None


@message(40)
class RegisterVote(msgspec.Struct, frozen=True):
    """Ask for the one vote of the open ballot that a replica has."""

    key: bytes
    row: ClaimRow


@message(41)
class RegisterPrepare(msgspec.Struct, frozen=True):
    """Ask a replica to promise that it takes no lower ballot."""

    key: bytes
    ballot: Ballot


@message(42)
class RegisterAccept(msgspec.Struct, frozen=True):
    """Ask a replica to accept a value."""

    key: bytes
    ballot: Ballot
    row: ClaimRow


@message(46)
class RegisterAbandon(msgspec.Struct, frozen=True):
    """Tell that a claimant that did not win will never run its request."""

    key: bytes
    claimant: str


@message(43)
class RegisterReply(msgspec.Struct, frozen=True):
    """Answer each of the four.

    `granted` tells whether the vote, promise or acceptance was given. The
    rest is the register as it is now. `forgot` tells that the replica may
    have lost a vote that it gave.
    """

    granted: bool
    promised: Ballot
    accepted: Ballot | None
    row: ClaimRow | None
    forgot: bool = False


@message(44)
class RegisterScan(msgspec.Struct, frozen=True):
    """Ask for the registers that follow a key, in order."""

    after: bytes
    limit: int


class RegisterCopy(msgspec.Struct, frozen=True):
    """Carry one register to a replica that has lost its own."""

    key: bytes
    promised: Ballot
    accepted: Ballot | None
    row: ClaimRow | None
    forgot: bool


@message(45)
class RegisterPage(msgspec.Struct, frozen=True):
    """Answer `RegisterScan`; an empty page ends the scan."""

    registers: tuple[RegisterCopy, ...]
