"""Messages between entry VMs and control that carry what steers."""

from dataclasses import dataclass

from wigeonford.deployment import Announcement, Deployment
from wigeonford.peer._messages import message


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Describe a running entry VM; `incarnation` is new at each start.

    `address` takes requests and look-ups come in at `lookup_address`.
    """

    name: str
    incarnation: str
    address: str
    availability_zone: str
    region: str
    ready: bool


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Tell which incarnations of targets died under a request."""

    fingerprint: bytes
    deaths: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PartRequest:
    """Ask for a part of an account's rate, 0 to 1.

    `number` orders the requests of one run of an entry VM.
    """

    account: str
    number: int
    held: float
    wanted: float


@dataclass(frozen=True, slots=True)
class PartGrant:
    """Answer the request `number` of an account."""

    account: str
    number: int
    part: float


@message(190)
@dataclass(frozen=True, slots=True)
class WatchView:
    """Wait until there is news after `revision`, and report for duty.

    `roster_digest` is that of the roster last received.
    """

    revision: int
    status: EntryStatus
    roster_digest: int
    suspicions: tuple[Suspicion, ...] = ()


@message(191)
@dataclass(frozen=True, slots=True)
class ViewNotice:
    """Answer `WatchView` with the revision that can be fetched.

    `roster` is None where it has not changed. `silent` names targets that
    this replica has heard before, but not lately.
    """

    revision: int
    roster: tuple[EntryStatus, ...] | None
    roster_digest: int
    control: tuple[str, ...]
    suspicions: tuple[Suspicion, ...] = ()


@message(192)
@dataclass(frozen=True, slots=True)
class FetchView:
    """Ask for what changed after a revision."""

    revision: int


@message(193)
@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """Answer `FetchView`; None where a part has not changed.

    `cold_s` of an announcement is as of the answer.
    """

    revision: int
    deployment: Deployment | None
    evacuated: tuple[str, ...] | None
    taken_back: dict[str, int] | None
    targets: tuple[Announcement, ...]
    removed: tuple[str, ...]


@message(194)
@dataclass(frozen=True, slots=True)
class ReportStatus:
    """Tell at once that an entry VM has become ready, or is not any more."""

    status: EntryStatus


@message(195)
@dataclass(frozen=True, slots=True)
class PartsReport:
    """Ask the leader for parts of the accounts' rates."""

    entry: str
    incarnation: str
    requests: tuple[PartRequest, ...]


@message(196)
@dataclass(frozen=True, slots=True)
class PartsAnswer:
    """Answer `PartsReport`; `entries` counts the entry VMs that report."""

    entries: int
    grants: tuple[PartGrant, ...]


@message(200)
@dataclass(frozen=True, slots=True)
class BorrowTokens:
    """Ask the leader for tokens that are to be spent at once, by account."""

    entry: str
    wanted: dict[str, int]


@dataclass(frozen=True, slots=True)
class TokenLoan:
    """Lend tokens; `after_s` tells when the pool will have one more."""

    account: str
    tokens: int
    after_s: float


@message(201)
@dataclass(frozen=True, slots=True)
class TokensLent:
    """Answer `BorrowTokens`."""

    loans: tuple[TokenLoan, ...]


@message(197)
@dataclass(frozen=True, slots=True)
class JoinGroup:
    """Ask for a place among the control replicas."""

    name: str
    incarnation: str
    host: str
    port: int


@message(198)
@dataclass(frozen=True, slots=True)
class GroupMembers:
    """Answer `JoinGroup` with the addresses of the replicas known."""

    addresses: tuple[str, ...]


@message(199)
@dataclass(frozen=True, slots=True)
class HeardTargets:
    """Tell the leader which targets announced themselves of late."""

    target_ids: tuple[str, ...]
