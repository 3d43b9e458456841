"""Messages that carry the product's objects, claims and targets."""

import msgspec

from wigeonford.model import KeyRecord
from wigeonford.peer import message


class Member(msgspec.Struct, frozen=True):
    """Describe a running entry VM; `generation` rises at each start.

    `load_level` is coarse and rarely changed, 0 for a VM with room.
    """

    name: str
    availability_zone: str
    host: str
    port: int
    peer_port: int
    generation: int
    load_level: int = 0


class ObjectRow(msgspec.Struct, frozen=True):
    """Carry one object as plain data; `data` is None once deleted."""

    kind: str
    name: str
    version: int
    data: dict[str, object] | None


@message(2)
class PullConfig(msgspec.Struct, frozen=True):
    """Ask for what changed since a revision and for a fresh lease."""

    revision: int
    member: Member | None


@message(3)
class ConfigUpdate(msgspec.Struct, frozen=True):
    """Carry the changes from `base` to `revision`.

    `base` is 0 for a whole snapshot. `vouched_age_s` tells how long ago a
    quorum confirmed that the revision was current; None if it can't tell.
    """

    revision: int
    base: int
    objects: tuple[ObjectRow, ...]
    keys: tuple[KeyRecord, ...]
    members: tuple[Member, ...]
    gone_members: tuple[str, ...]
    digest: bytes
    vouched_age_s: float | None


@message(4)
class ClaimOpen(msgspec.Struct, frozen=True):
    """Ask to be the only one to run a non-idempotent request.

    `claimant` names this one try: another try is another claimant.
    """

    account: str
    idempotency_key: str
    fingerprint: bytes
    claimant: str


@message(5)
class Outcome(msgspec.Struct, frozen=True):
    """Hold the recorded answer of a request that ran.

    `body` is None where the answer was too large to keep.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


@message(6)
class ClaimAnswer(msgspec.Struct, frozen=True):
    """Answer `ClaimOpen`: a result code number and a recorded outcome.

    `opened_at_s` and `direct` go back with `ClaimClose`; `direct` tells
    that the claim was won without a recovery.
    """

    code: int
    outcome: Outcome | None = None
    opened_at_s: float = 0.0
    direct: bool = False


@message(7)
class ClaimClose(msgspec.Struct, frozen=True):
    """Complete a claim with its outcome, or release it as not run.

    With `ran` true and no outcome, what happened stays unknown. `won` is
    false for a claim whose answer was lost: it is released, unrun.
    """

    account: str
    idempotency_key: str
    claimant: str
    fingerprint: bytes
    opened_at_s: float
    won: bool
    direct: bool
    ran: bool
    outcome: Outcome | None


@message(8)
class TargetAnnounce(msgspec.Struct, frozen=True):
    """Pass a target's announcement on to the entry VM that owns it.

    `first` says that no earlier announcement of this process has left it.
    """

    service: str
    host: str
    port: int
    side: str
    slots: int
    sequence: int
    lease_s: float
    load: float
    leaving: bool
    first: bool = False


@message(10)
class LeaveRoster(msgspec.Struct, frozen=True):
    """Ask that look-ups stop naming an entry VM that is about to stop."""

    name: str
    generation: int
