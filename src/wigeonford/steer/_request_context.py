"""The state of one request while it is served."""

from collections.abc import AsyncIterator

import msgspec

from wigeonford.deployment import Account, Route
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._view import View


class RequestContext(msgspec.Struct):
    """Hold what was decided for a request, and the state of its attempts.

    `sent` counts the attempts that reached a target, `unreached_count` those
    that did not, and `not_reached_count` those of them that got no connection.
    `relays` are the other entry VMs that were asked; `relay_origin` is the
    one that asked this VM, "" for a caller's request. `target_id` names the
    target that responded. `may_have_run` is set when a target may have run
    the request without a complete response, `is_attempt_running` while a
    target may have a part of an attempt whose result is unknown.
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
