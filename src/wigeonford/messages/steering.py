"""Messages between entry VMs and control about the routing state."""

from collections.abc import Iterable
from enum import Enum
from typing import Any
import zlib

import msgspec

from wigeonford.deployment import Announcement, Deployment, DeploymentPatch
from wigeonford.peer import message


class Reach(Enum):
    """Say whether an entry VM reaches targets over its own links.

    `LOST` means that it reached none lately, for a reason that is unknown;
    `CUT` means that other entry VMs reach them.
    """

    DIRECT = "direct"
    LOST = "lost"
    CUT = "cut"


class EntryStatus(msgspec.Struct, frozen=True, array_like=True):
    """Describe a running entry VM; `incarnation` is new at each start.

    `address` is where it accepts callers' requests, and `relay_address` those
    of other entry VMs, empty if it accepts none.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    region: str
    is_ready: bool
    relay_address: str = ""
    reach: Reach = Reach.DIRECT


class QuotaLeaseRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a fraction of an account's rate, 0 to 1.

    `number` orders the requests that one run of an entry VM sends.
    """

    account: str
    number: int
    held: float
    wanted: float


class QuotaLeaseGrant(msgspec.Struct, frozen=True, array_like=True):
    """Reply to the request `number` of an account; `fraction` is 0 to 1."""

    account: str
    number: int
    fraction: float


class RosterChange(msgspec.Struct, frozen=True, array_like=True):
    """Report which entry VMs run, or what changed after a revision.

    Revisions count within an `epoch`, which is one run of a replica. With
    `is_full`, entry VMs that the roster does not list don't run.
    """

    epoch: int
    revision: int
    is_full: bool
    running_entries: tuple[EntryStatus, ...]
    stopped_names: tuple[str, ...]


@message(190)
class WatchView(msgspec.Struct, frozen=True, array_like=True):
    """Wait for changes after `revision`, and report the entry VM as running.

    `status` is None if it is unchanged since the last report on this link.
    `roster_epoch` and `roster_revision` are those of the last roster from
    this replica; the epoch is None if no roster is wanted. `control` is the
    digest of the known replicas, and `term` the term of the known leader.
    """

    revision: int
    name: str
    status: EntryStatus | None
    roster_epoch: int | None
    roster_revision: int
    control: int
    term: int


@message(191)
class ViewNotice(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `WatchView` with the revision that can be fetched.

    `roster` is None if it is unchanged or not wanted, and `control` if the
    entry VM knows all replicas. `location` is the replica's own region and
    zone; it is sent if the request had a status. Without `is_known`, the
    entry VM must send its status again. `leader` is sent if its `term` is
    later than the known one. `reserved` keeps the fields behind it where
    earlier builds read them.
    """

    revision: int
    roster: RosterChange | None
    control: tuple[str, ...] | None
    reserved: tuple[Any, ...] = ()
    location: tuple[str, str] | None = None
    is_known: bool = True
    leader: str | None = None
    term: int = 0


@message(192)
class FetchView(msgspec.Struct, frozen=True, array_like=True):
    """Ask for the changes after a revision."""

    revision: int


@message(202)
class FollowView(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a stream of the changes after a revision."""

    revision: int


@message(193)
class ViewUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Report the changes after the revision `since`.

    A field that is None is unchanged. A changed deployment is sent in full,
    or as a `patch` of the one in force at the revision `since`.
    `taken_back` counts the ended evacuations of each zone. The `cold_s` of
    an announcement is the time that remains when the reply is made.
    """

    since: int
    revision: int
    deployment: Deployment | None
    evacuated: tuple[str, ...] | None
    taken_back: dict[str, int] | None
    targets: tuple[Announcement, ...]
    removed: tuple[str, ...]
    patch: DeploymentPatch | None = None


class TargetLimit(msgspec.Struct, frozen=True, array_like=True):
    """Report what a target stated as the limit of its request rate.

    `per_s` counts the requests of all entry VMs together; None means that the
    target stated no limit. `born_ms` names its incarnation. `age_ms` is how
    long ago a response said so, since clocks of VMs differ.
    """

    target_id: str
    born_ms: int
    per_s: float | None
    age_ms: int


@message(203)
class ReportTargetLimits(msgspec.Struct, frozen=True, array_like=True):
    """Report limits that an entry VM read in targets' responses."""

    limits: tuple[TargetLimit, ...]


@message(204)
class FollowTargetLimits(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a stream of the limits that entry VMs report."""


@message(205)
class TargetLimitsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Report the limits that are known, or that entry VMs reported since."""

    limits: tuple[TargetLimit, ...]


class SuspectKind(Enum):
    """Say what an entry VM observed of a request."""

    CRASH = "crash"
    CLEARANCE = "clearance"
    TRIAL = "trial"


class SuspectRecord(msgspec.Struct, frozen=True, array_like=True):
    """Report an observation of requests, which `fingerprints` name.

    `name` is that of a target's crash, or of the entry VM that makes a trial.
    `age_ms` is how long ago it was made, since clocks of VMs differ;
    `left_ms` is how much longer a trial may last, 0 if it has ended.
    """

    kind: SuspectKind
    name: str
    fingerprints: tuple[bytes, ...]
    age_ms: int
    left_ms: int = 0


@message(206)
class ReportSuspects(msgspec.Struct, frozen=True, array_like=True):
    """Report what an entry VM observed of requests that crash targets."""

    records: tuple[SuspectRecord, ...]


@message(207)
class FollowSuspects(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a stream of what entry VMs report of such requests."""


@message(208)
class SuspectsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Report what is known of such requests, or was reported since."""

    records: tuple[SuspectRecord, ...]


@message(194)
class ReportStatus(msgspec.Struct, frozen=True, array_like=True):
    """Report at once that an entry VM became ready or is no longer ready."""

    status: EntryStatus


@message(195)
class QuotaLeaseReport(msgspec.Struct, frozen=True, array_like=True):
    """Ask the leader for quota fractions of accounts' rates."""

    entry_name: str
    incarnation: str
    requests: tuple[QuotaLeaseRequest, ...]


@message(196)
class QuotaLeaseReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `QuotaLeaseReport`; `entries` counts the reporting VMs."""

    entries: int
    grants: tuple[QuotaLeaseGrant, ...]


@message(200)
class TokenLoanRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask the leader for tokens to be spent at once, by account."""

    entry_name: str
    wanted: dict[str, int]


class TokenLoan(msgspec.Struct, frozen=True, array_like=True):
    """Lend tokens; `next_token_s` is the time until the pool has one more."""

    account: str
    tokens: int
    next_token_s: float


@message(201)
class TokenLoanReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `TokenLoanRequest`."""

    loans: tuple[TokenLoan, ...]


@message(197)
class JoinGroup(msgspec.Struct, frozen=True, array_like=True):
    """Ask to join the group of control replicas."""

    name: str
    incarnation: str
    host: str
    port: int


@message(198)
class GroupMembers(msgspec.Struct, frozen=True, array_like=True):
    """Reply to `JoinGroup` with the addresses of the known replicas."""

    addresses: tuple[str, ...]


@message(199)
class ActiveTargets(msgspec.Struct, frozen=True, array_like=True):
    """Report to the leader which targets recently announced themselves."""

    target_ids: tuple[str, ...]


def control_digest(addresses: Iterable[str]) -> int:
    """Return a checksum of the control replicas' addresses."""
    return zlib.crc32(" ".join(sorted(addresses)).encode())
