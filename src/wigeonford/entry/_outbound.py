"""A request to be sent to a target, and the outcome of each attempt."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
import time
from typing import Final

from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.http import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    find_header,
    Headers,
)
from wigeonford.model import RequestClass, Service, Share
from wigeonford.suspects import request_fingerprint

RETRY_AFTER_S: Final = 1.0
_IDEMPOTENCY_HEADER: Final = b"idempotency-key"


class AttemptState(Enum):
    """Classify an attempt at a target by how far it got."""

    NOT_SENT = "not-sent"
    SENT = "sent"
    REFUSED = "refused"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class Outbound:
    """Hold a request in the form in which targets receive it."""

    service: Service
    share: Share | None
    method: str
    target: str
    headers: Headers
    body: bytes | AsyncIterator[bytes]
    idempotent: bool
    deadline_s: float

    @property
    def has_buffered_body(self) -> bool:
        """Return whether the body is buffered and can be sent again."""
        return isinstance(self.body, bytes)

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may be sent and run more than once."""
        return self.idempotent and self.has_buffered_body

    @property
    def is_hedgeable(self) -> bool:
        """Return whether a concurrent second attempt is allowed."""
        interactive = self.service.request_class is RequestClass.INTERACTIVE
        return self.is_retryable and interactive

    @property
    def account(self) -> str:
        """Return the client account's name; "" on an open route."""
        return find_header(self.headers, ACCOUNT_HEADER) or ""

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline, negative after it."""
        return self.deadline_s - time.monotonic()

    def fingerprint(self) -> bytes:
        """Return a digest that is equal for retries of the same request."""
        key = find_header(self.headers, _IDEMPOTENCY_HEADER)
        body = self.body if isinstance(self.body, bytes) else b""
        distinct = key.encode() if key is not None else body
        return request_fingerprint(
            self.account, self.method, self.target, distinct
        )

    def headers_for(self, target_id: str) -> Headers:
        """Return the headers for one attempt, with the remaining time."""
        changed = (b"host", DEADLINE_HEADER)
        other_headers = (h for h in self.headers if h[0] not in changed)
        remaining_ms = max(1, int(self.remaining_s * 1000))
        return (
            (b"host", target_id.encode()),
            (DEADLINE_HEADER, str(remaining_ms).encode()),
            *other_headers,
        )


@dataclass(frozen=True, slots=True)
class AttemptFailure(Exception):
    """Report a failed attempt and how far it got."""

    state: AttemptState
    code: Code
    detail: str


def may_retry(outbound: Outbound, failure: AttemptFailure) -> bool:
    """Return whether another attempt is safe.

    Any request is retried if the failed attempt was not sent. If the target
    rejected it without running it, the body must be buffered; if the target
    may have run it, the request must also be idempotent.
    """
    if failure.state is AttemptState.SENT:
        return outbound.is_retryable
    return outbound.has_buffered_body or failure.state is AttemptState.NOT_SENT


def build_rejection(failure: AttemptFailure, *, sent: bool) -> RequestRejected:
    """Return the error for the caller.

    `sent` says that a target may have received an attempt, so that the
    request may have run.
    """
    if sent:
        code = failure.code
        return RequestRejected(
            code, failure.detail, run_state=RunState.UNKNOWN
        )
    return RequestRejected(
        failure.code,
        failure.detail,
        run_state=RunState.NOT_RUN,
        retry_after_s=RETRY_AFTER_S,
    )
