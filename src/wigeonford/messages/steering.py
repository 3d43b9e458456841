"""Messages between entry VMs and control that carry what steers."""

from collections.abc import Iterable
import zlib

import msgspec

from wigeonford.deployment import Announcement, Deployment, DeploymentPatch
from wigeonford.peer import message


class EntryStatus(msgspec.Struct, frozen=True, array_like=True):
    """Describe a running entry VM; `incarnation` is new at each start.

    `address` takes requests and look-ups come in at `lookup_address`.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    region: str
    ready: bool


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Tell which incarnations of targets died under a request."""

    fingerprint: bytes
    deaths: tuple[str, ...]


class PartRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a part of an account's rate, 0 to 1.

    `number` orders the requests of one run of an entry VM.
    """

    account: str
    number: int
    held: float
    wanted: float


class PartGrant(msgspec.Struct, frozen=True, array_like=True):
    """Answer the request `number` of an account."""

    account: str
    number: int
    part: float


class RosterChange(msgspec.Struct, frozen=True, array_like=True):
    """Tell which entry VMs run, or what changed after a revision.

    Revisions count within an `epoch`, which is one run of a replica. If it
    is `whole`, entry VMs that are not named do not run.
    """

    epoch: int
    revision: int
    whole: bool
    running: tuple[EntryStatus, ...]
    gone: tuple[str, ...]


@message(190)
class WatchView(msgspec.Struct, frozen=True, array_like=True):
    """Wait until there is news after `revision`, and report for duty.

    `status` is None where it is as told before on this link. With
    `roster_epoch` and `roster_revision` go those of the roster last had
    from this replica; the epoch is None where none is wanted. `control`
    is the digest of the replicas known, `term` that of the leader known.
    `suspicions` are those of this VM that the replica was not told yet;
    `suspicion_revision` is that of the replica's own, in its epoch.
    """

    revision: int
    name: str
    status: EntryStatus | None
    roster_epoch: int | None
    roster_revision: int
    control: int
    term: int
    suspicions: tuple[Suspicion, ...] = ()
    suspicion_revision: int = 0


@message(191)
class ViewNotice(msgspec.Struct, frozen=True, array_like=True):
    """Answer `WatchView` with the revision that can be fetched.

    `roster` is None where it has not changed or is not wanted, `control`
    where the replicas are as known. `place` is the replica's own region
    and zone, told to who tells its status. An entry VM that is not `known`
    has to tell its status again. `leader` is told with its `term` where
    that is later than the one known.
    """

    revision: int
    roster: RosterChange | None
    control: tuple[str, ...] | None
    suspicions: tuple[Suspicion, ...] = ()
    place: tuple[str, str] | None = None
    known: bool = True
    leader: str | None = None
    term: int = 0
    suspicion_revision: int = 0


@message(192)
class FetchView(msgspec.Struct, frozen=True, array_like=True):
    """Ask for what changed after a revision."""

    revision: int


@message(202)
class FollowView(msgspec.Struct, frozen=True, array_like=True):
    """Ask for what changes after a revision, again and again."""

    revision: int


@message(193)
class ViewUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Tell what came after a revision; None where a part has not changed.

    A changed deployment comes whole, or as a `patch` of the one that was
    in force at the revision `since`. `cold_s` of an announcement is as of
    the answer.
    """

    since: int
    revision: int
    deployment: Deployment | None
    evacuated: tuple[str, ...] | None
    taken_back: dict[str, int] | None
    targets: tuple[Announcement, ...]
    removed: tuple[str, ...]
    patch: DeploymentPatch | None = None


@message(194)
class ReportStatus(msgspec.Struct, frozen=True, array_like=True):
    """Tell at once that an entry VM has become ready, or is not any more."""

    status: EntryStatus


@message(195)
class PartsReport(msgspec.Struct, frozen=True, array_like=True):
    """Ask the leader for parts of the accounts' rates."""

    entry: str
    incarnation: str
    requests: tuple[PartRequest, ...]


@message(196)
class PartsAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer `PartsReport`; `entries` counts the entry VMs that report."""

    entries: int
    grants: tuple[PartGrant, ...]


@message(200)
class BorrowTokens(msgspec.Struct, frozen=True, array_like=True):
    """Ask the leader for tokens that are to be spent at once, by account."""

    entry: str
    wanted: dict[str, int]


class TokenLoan(msgspec.Struct, frozen=True, array_like=True):
    """Lend tokens; `after_s` tells when the pool will have one more."""

    account: str
    tokens: int
    after_s: float


@message(201)
class TokensLent(msgspec.Struct, frozen=True, array_like=True):
    """Answer `BorrowTokens`."""

    loans: tuple[TokenLoan, ...]


@message(197)
class JoinGroup(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a place among the control replicas."""

    name: str
    incarnation: str
    host: str
    port: int


@message(198)
class GroupMembers(msgspec.Struct, frozen=True, array_like=True):
    """Answer `JoinGroup` with the addresses of the replicas known."""

    addresses: tuple[str, ...]


@message(199)
class HeardTargets(msgspec.Struct, frozen=True, array_like=True):
    """Tell the leader which targets announced themselves of late."""

    target_ids: tuple[str, ...]


def members_digest(addresses: Iterable[str]) -> int:
    """Return a number that changes with the control replicas."""
    return zlib.crc32(" ".join(sorted(addresses)).encode())
