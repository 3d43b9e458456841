"""A request while it is under way."""

from collections.abc import AsyncIterator

import msgspec

from wigeonford.deployment import Account, Route
from wigeonford.steer._request import SteerRequest
from wigeonford.steer._view import View


class Work(msgspec.Struct):
    """Hold what was decided for a request, and how far it has come.

    `print_` is its fingerprint; `sent` counts the attempts that reached a
    target, `unreached` those that did not. `broken` says that it may have
    run without an answer, `under_way` that an attempt is being made.
    """

    req: SteerRequest
    view: View
    route: Route
    account: Account | None
    service: str
    body: bytes | AsyncIterator[bytes]
    deadline_s: float
    print_: bytes
    tried: set[str] = msgspec.field(default_factory=set)
    sent: int = 0
    unreached: int = 0
    broken: bool = False
    under_way: bool = False
    detail: str = ""

    @property
    def account_name(self) -> str | None:
        """Return the client account's name, None on an open route."""
        return self.account.name if self.account else None
