"""A request to be steered, and what an answer of a target says."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import Protocol

import msgspec

from wigeonford.http import Headers, Response


class SteerRequest(msgspec.Struct, frozen=True):
    """Hold a caller's request.

    `request_id` names one try of the caller. `thing` names the object it
    is about, "" where that is not told. `time_left_s` is how long the
    caller waits, counted from `arrived_s`. `headers` are those to pass on.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    key: str | None
    thing: str
    time_left_s: float | None
    body: AsyncIterator[bytes]
    has_body: bool
    arrived_s: float


class RunState(Enum):
    """Say what an answer tells of the request's run."""

    RAN = "ran"
    NOT_RUN = "not-run"
    WRONG_TARGET = "wrong-target"


class AnswerFacts(msgspec.Struct, frozen=True):
    """Hold what the head of a target's answer says.

    `running` and `waiting` are the target's load, None where not told.
    `is_whole` says that a success bears what the caller needs of it. The
    target `is_leaving` says that it is about to end, and with `pause_s`
    above 0 that it wants nothing from this VM for so long.
    """

    run: RunState
    is_whole: bool
    running: int | None = None
    waiting: int | None = None
    is_leaving: bool = False
    pause_s: float = 0.0


class TargetWire(Protocol):
    """Translate between the product and what targets speak."""

    def head(
        self,
        req: SteerRequest,
        target_id: str,
        account: str | None,
        time_left_s: float,
    ) -> Headers:
        """Return the headers of one attempt."""

    def is_answer_to(self, req: SteerRequest, headers: Headers) -> bool:
        """Tell whether an answer belongs to a request."""

    def facts(self, response: Response) -> AnswerFacts:
        """Return what the head of an answer says."""
