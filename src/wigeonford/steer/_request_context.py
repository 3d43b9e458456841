"""The state of one request while it is served."""

from collections.abc import AsyncIterator

import msgspec

from wigeonford.deployment import Account, Route
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._view import View


class RequestContext(msgspec.Struct):
    """Hold what was decided for a request, and the state of its attempts.

    `sent` counts the attempts that reached a target, `unreached_count` those
    that did not. `may_have_run` is set when a target may have run the request
    without a complete response, `is_attempt_running` while a target may have
    a part of an attempt whose result is unknown.
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
    may_have_run: bool = False
    is_attempt_running: bool = False
    detail: str = ""

    def begin_sending(self) -> None:
        """Note that a target may get the first byte of an attempt now."""
        self.is_attempt_running = True

    @property
    def account_name(self) -> str | None:
        """Return the client account's name, None on an open route."""
        return self.account.name if self.account else None
