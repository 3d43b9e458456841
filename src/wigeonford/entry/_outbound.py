"""A request on its way to targets, and how far each attempt came."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
import time
from typing import Final

from wigeonford.errors import Code, RequestRefused, RunState
from wigeonford.http import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    find_header,
    Headers,
)
from wigeonford.model import RequestClass, Service, Share
from wigeonford.policy import request_fingerprint

RETRY_AFTER_S: Final = 1.0
_IDEMPOTENCY_HEADER: Final = b"idempotency-key"


class AttemptState(Enum):
    """Say how far an attempt at a target came."""

    NOT_SENT = "not-sent"
    SENT = "sent"
    REFUSED = "refused"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class Outbound:
    """Hold a request as it goes to a target."""

    service: Service
    share: Share | None
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes]
    idempotent: bool
    deadline_s: float

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent once more."""
        return isinstance(self.body, bytes)

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run twice."""
        return self.idempotent and self.replayable

    @property
    def hedgeable(self) -> bool:
        """Tell whether a second attempt may run beside the first."""
        interactive = self.service.request_class is RequestClass.INTERACTIVE
        return self.repeatable and interactive

    @property
    def account(self) -> str:
        """Return the client account's name; "" on an open route."""
        return find_header(self.headers, ACCOUNT_HEADER) or ""

    @property
    def left_s(self) -> float:
        """Return how long until the deadline."""
        return self.deadline_s - time.monotonic()

    def fingerprint(self) -> bytes:
        """Return what tells this request from others when it comes again."""
        key = find_header(self.headers, _IDEMPOTENCY_HEADER)
        body = self.body if isinstance(self.body, bytes) else b""
        distinct = key.encode() if key is not None else body
        return request_fingerprint(
            self.account, self.method, self.target, distinct
        )

    def headers_for(self, target_id: str) -> Headers:
        """Return the headers for one attempt, with the time that is left."""
        changed = (b"host", DEADLINE_HEADER)
        kept = (h for h in self.headers if h[0] not in changed)
        left_ms = max(1, int(self.left_s * 1000))
        return (
            (b"host", target_id.encode()),
            (DEADLINE_HEADER, str(left_ms).encode()),
            *kept,
        )


@dataclass(frozen=True, slots=True)
class AttemptFailure(Exception):
    """Report a failed attempt and how far it came."""

    state: AttemptState
    code: Code
    detail: str


def may_retry(outbound: Outbound, failure: AttemptFailure) -> bool:
    """Tell whether another attempt can't make the request run twice."""
    if failure.state is AttemptState.SENT:
        return outbound.repeatable
    return outbound.replayable or failure.state is AttemptState.NOT_SENT


def refusal(failure: AttemptFailure, *, sent: bool) -> RequestRefused:
    """Return the error for the caller; `sent` if any attempt left."""
    if sent:
        code = failure.code
        return RequestRefused(code, failure.detail, run_state=RunState.UNKNOWN)
    return RequestRefused(
        failure.code,
        failure.detail,
        run_state=RunState.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
