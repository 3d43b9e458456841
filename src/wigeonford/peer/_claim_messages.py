"""Messages between control replicas about claim registers."""

from dataclasses import dataclass

from wigeonford.peer._messages import message, Outcome


@dataclass(frozen=True, slots=True, order=True)
class Ballot:
    """Order proposals for one register; the proposer breaks ties."""

    number: int
    proposer: str


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Hold the value of a register; times are of the wall clock.

    `state` is open, ran, unknown or released.
    """

    fingerprint: bytes
    claimant: str
    opened_at_s: float
    state: str
    outcome: Outcome | None = None


@message(40)
@dataclass(frozen=True, slots=True)
class RegisterVote:
    """Ask for the one vote of the open ballot that a replica has."""

    key: bytes
    row: ClaimRow


@message(41)
@dataclass(frozen=True, slots=True)
class RegisterPrepare:
    """Ask a replica to promise that it takes no lower ballot."""

    key: bytes
    ballot: Ballot


@message(42)
@dataclass(frozen=True, slots=True)
class RegisterAccept:
    """Ask a replica to accept a value."""

    key: bytes
    ballot: Ballot
    row: ClaimRow


@message(46)
@dataclass(frozen=True, slots=True)
class RegisterAbandon:
    """Tell that a claimant that did not win will never run its request."""

    key: bytes
    claimant: str


@message(43)
@dataclass(frozen=True, slots=True)
class RegisterReply:
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
@dataclass(frozen=True, slots=True)
class RegisterScan:
    """Ask for the registers that follow a key, in order."""

    after: bytes
    limit: int


@dataclass(frozen=True, slots=True)
class RegisterCopy:
    """Carry one register to a replica that has lost its own."""

    key: bytes
    promised: Ballot
    accepted: Ballot | None
    row: ClaimRow | None
    forgot: bool


@message(45)
@dataclass(frozen=True, slots=True)
class RegisterPage:
    """Answer `RegisterScan`; an empty page ends the scan."""

    registers: tuple[RegisterCopy, ...]
