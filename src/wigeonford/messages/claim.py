"""Messages between control replicas about claim registers."""

import msgspec

from wigeonford.messages.object import Outcome
from wigeonford.peer import message


class Ballot(msgspec.Struct, frozen=True, order=True):
    """Order proposals for one register; the proposer's name breaks ties."""

    number: int
    proposer: str


class ClaimRow(msgspec.Struct, frozen=True):
    """Hold the value of a register; `opened_at_s` is wall-clock time.

    `state` is open, ran, unknown or released.
    """

    fingerprint: bytes
    claimant: str
    opened_at_s: float
    state: str
    outcome: Outcome | None = None


@message(40)
class RegisterVote(msgspec.Struct, frozen=True):
    """Ask a replica for its only vote in the open ballot."""

    key: bytes
    row: ClaimRow


@message(41)
class RegisterPrepare(msgspec.Struct, frozen=True):
    """Ask a replica to promise that it accepts no lower ballot."""

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
    """Ask a replica to withdraw its vote for a claimant that didn't win.

    The claimant will never run its request.
    """

    key: bytes
    claimant: str


@message(43)
class RegisterReply(msgspec.Struct, frozen=True):
    """Reply to each of the four requests above.

    `granted` says whether the replica did what it was asked. The other
    fields are the register after the request. `forgot` is set if the
    replica may have lost a vote that it gave.
    """

    granted: bool
    promised: Ballot
    accepted: Ballot | None
    row: ClaimRow | None
    forgot: bool = False


@message(44)
class RegisterScan(msgspec.Struct, frozen=True):
    """Ask for at most `limit` registers that follow a key, in order."""

    after: bytes
    limit: int


class RegisterCopy(msgspec.Struct, frozen=True):
    """Copy one register to a replica that has lost its registers."""

    key: bytes
    promised: Ballot
    accepted: Ballot | None
    row: ClaimRow | None
    forgot: bool


@message(45)
class RegisterPage(msgspec.Struct, frozen=True):
    """Reply to `RegisterScan`; an empty page ends the scan."""

    registers: tuple[RegisterCopy, ...]
