"""A caller's request, and what the head of a target's response says."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import Protocol

import msgspec

from wigeonford.deployment import Account, Route
from wigeonford.errors import RunState
from wigeonford.http import Headers, Request, Response, ResponseOwner
from wigeonford.steer._view import View


class SteerRequest(msgspec.Struct, frozen=True):
    """Hold a caller's request.

    `request_id` identifies one try of the caller. `object_id` is the id of the
    object that the request is about, "" if the caller names none.
    `time_left_s` is how long the caller waits, counted from `arrived_at_s`.
    `headers` are those to pass on.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    key: str | None
    object_id: str
    time_left_s: float | None
    body: AsyncIterator[bytes]
    has_body: bool
    arrived_at_s: float


class TargetRunState(Enum):
    """Say whether the target that responded has run the request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"


class RelayResult(msgspec.Struct, frozen=True):
    """Say what came of a request that another entry VM was to send.

    `code` is the number of a result code, `sent` counts the targets that got
    the request, and `target_id` names the one that responded.
    """

    code: int = 0
    detail: str = ""
    run_state: RunState = RunState.RAN
    retry_after_s: float | None = None
    sent: int = 0
    target_id: str = ""

    @property
    def is_rejected(self) -> bool:
        """Return whether no target's response came."""
        return self.code != 0


class ResponseFacts(msgspec.Struct, frozen=True):
    """Hold what the head of a target's response says.

    `running` and `waiting` are the target's load, None if not reported.
    `is_complete` says whether a successful response has all headers that the
    caller needs. `is_draining` is set by a target that is about to end. With
    `pause_s` above 0, the target requests that this VM send nothing for so
    long. `limit_per_s` is the rate of requests that the target accepts from
    all entry VMs together, None if it states none. `unreadable_limit` is the
    text of a limit that could not be decoded. `relayed` is set if another
    entry VM sent the response.
    """

    run: TargetRunState
    is_complete: bool
    running: int | None = None
    waiting: int | None = None
    is_draining: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    unreadable_limit: str | None = None
    relayed: RelayResult | None = None


class TargetWire(Protocol):
    """Translate between this package and the HTTP headers that targets use."""

    def decode_request(self, request: Request) -> SteerRequest:
        """Return a decoded request; raise `RequestRejected`."""

    def build_headers(
        self,
        req: SteerRequest,
        target_id: str,
        account: str | None,
        time_left_s: float,
    ) -> Headers:
        """Return the headers of one attempt."""

    def find_owner(self, req: SteerRequest, headers: Headers) -> ResponseOwner:
        """Return whether the headers of a response name a request."""

    def find_request_id(self, headers: Headers) -> str:
        """Return the id of a caller's request, empty if it has none."""

    def parse_facts(self, response: Response) -> ResponseFacts:
        """Return what the head of a response says."""


class RequestContext(msgspec.Struct):
    """Hold what was decided for a request, and the state of its attempts.

    `sent` counts the attempts that reached a target, `unreached_count` those
    that did not, and `not_reached_count` those of them that got no connection.
    `relays` are the other entry VMs that were asked; `relay_origin` is the
    one that asked this VM, "" for a caller's request. `target_id` names the
    target that responded. `may_have_run` is set when a target may have run
    the request without a complete response, `is_attempt_running` while a
    target may have a part of an attempt whose result is unknown.
    `has_paid_retry` is set while the retry budget has paid for the next one.
    """

    req: SteerRequest
    view: View
    route: Route
    account: Account | None
    service: str
    body: bytes | AsyncIterator[bytes]
    deadline_s: float
    request_fingerprint: bytes
    tried: set[str] = msgspec.field(default_factory=set)
    sent: int = 0
    unreached_count: int = 0
    not_reached_count: int = 0
    relays: set[str] = msgspec.field(default_factory=set)
    relay_origin: str = ""
    target_id: str = ""
    may_have_run: bool = False
    is_attempt_running: bool = False
    has_paid_retry: bool = False
    detail: str = ""

    def begin_sending(self) -> None:
        """Note that a target may get the first byte of an attempt now."""
        self.is_attempt_running = True

    @property
    def account_name(self) -> str | None:
        """Return the client account's name, None on an open route."""
        return self.account.name if self.account else None

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Return the regions that route and account both allow; None for any.

        They bind targets as well as entry VMs that the request is sent to.
        """
        account_regions = self.account.home_regions if self.account else ()
        regions = [
            set(names)
            for names in (self.route.home_regions, account_regions)
            if names
        ]
        return frozenset(set.intersection(*regions)) if regions else None
