"""Messages about named objects, entry VMs, claims and targets."""

import msgspec

from wigeonford.model import KeyRecord
from wigeonford.peer import message


class Member(msgspec.Struct, frozen=True):
    """Describe a running entry VM; `generation` rises at each start.

    `load_level` is coarse and changes rarely; 0 means free capacity.
    """

    name: str
    availability_zone: str
    host: str
    port: int
    peer_port: int
    generation: int
    load_level: int = 0


class ObjectRow(msgspec.Struct, frozen=True):
    """Carry one object as plain data; `data` is None if it is deleted."""

    kind: str
    name: str
    version: int
    data: dict[str, object] | None


@message(2)
class PullConfig(msgspec.Struct, frozen=True):
    """Ask for the changes since a revision and to renew the lease."""

    revision: int
    member: Member | None


@message(3)
class ConfigUpdate(msgspec.Struct, frozen=True):
    """Carry the changes from `base` to `revision`.

    `base` is 0 for a full snapshot. `vouched_age_s` is how long ago a
    quorum confirmed that the revision was current; None if unknown.
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
    """Ask for the exclusive right to run a non-idempotent request.

    `claimant` identifies one attempt; each attempt has its own.
    """

    account: str
    idempotency_key: str
    fingerprint: bytes
    claimant: str


@message(5)
class Outcome(msgspec.Struct, frozen=True):
    """Hold the recorded response to a request that ran.

    `body` is None if the response was too large to record.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


@message(6)
class ClaimReply(msgspec.Struct, frozen=True):
    """Reply to `ClaimOpen`: a result code number and a recorded outcome.

    `ClaimClose` returns `opened_at_s` and `direct`; `direct` is set if the
    claim was won without a recovery.
    """

    code: int
    outcome: Outcome | None = None
    opened_at_s: float = 0.0
    direct: bool = False


@message(7)
class ClaimClose(msgspec.Struct, frozen=True):
    """Close a claim with its outcome, or release it as not run.

    If `ran` is true and `outcome` is None, the outcome stays unknown. `won`
    is false if the `ClaimReply` was lost; the claim is then released,
    since the request did not run.
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
    """Forward a target's announcement to the entry VM that owns the target.

    `first` is set if the target's process has sent no earlier announcement.
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
    """Remove an entry VM that is about to stop from look-up responses."""

    name: str
    generation: int
