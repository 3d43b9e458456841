"""Numbered result codes and the exceptions that carry them."""

from collections.abc import Iterator
from enum import Enum, StrEnum
from typing import Final

import msgspec


class RunState(StrEnum):
    """Report whether a target has run the request that a result is about."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class CodeInfo(msgspec.Struct, frozen=True):
    """Describe one result code.

    `http_status` is 0 if no HTTP response carries the code.
    """

    number: int
    http_status: int
    run_state: RunState
    text: str


def _info(
    number: int,
    http_status: int,
    text: str,
    run_state: RunState = RunState.NOT_RUN,
) -> CodeInfo:
    return CodeInfo(number, http_status, run_state, text)


class Code(Enum):
    """List every result code; a number never changes its meaning."""

    OK = _info(0, 200, "done", RunState.RAN)
    FORWARDED = _info(1, 200, "answered by a target", RunState.RAN)
    REPLAYED = _info(
        2, 200, "answered from the recorded outcome", RunState.RAN
    )

    BAD_REQUEST = _info(1000, 400, "the request is not valid HTTP")
    HEAD_TOO_LARGE = _info(1001, 431, "the request head is too large")
    BODY_TOO_LARGE = _info(1002, 413, "the request body is too large")
    CONFLICTING_LENGTH = _info(
        1003, 400, "the request states more than one body length"
    )
    REQUEST_TRUNCATED = _info(
        1004, 400, "the request ended before its stated length"
    )
    REQUEST_TIMEOUT = _info(1005, 408, "the request arrived too slowly")
    TOO_MANY_CONNECTIONS = _info(
        1006, 503, "too many connections from this address"
    )
    NO_ROUTE = _info(1007, 404, "no route serves this path")
    METHOD_NOT_ALLOWED = _info(
        1008, 405, "the route does not take this method"
    )
    BAD_ARGUMENT = _info(1009, 400, "a parameter is missing or not valid")

    KEY_MISSING = _info(1100, 401, "the route needs a key")
    KEY_UNKNOWN = _info(1101, 401, "the key is not known")
    KEY_WITHDRAWN = _info(1102, 401, "the key has been withdrawn")
    ROUTE_NOT_GRANTED = _info(
        1103, 403, "the client account may not use this route"
    )
    CONFIG_STALE = _info(
        1104, 503, "this VM cannot confirm that its configuration is current"
    )

    RATE_EXCEEDED = _info(1200, 429, "the client account is over its rate")
    SHARE_UNAVAILABLE = _info(
        1201, 429, "no share of the client account's rate is free here"
    )
    QUEUE_FULL = _info(1202, 503, "the waiting queue is full")
    DEADLINE_EXCEEDED = _info(
        1203, 504, "the deadline passed before the request ran"
    )
    NO_CAPACITY = _info(1204, 503, "no target has a free slot")
    NO_TARGET = _info(1205, 503, "no target of the service is available")
    LINK_BUDGET = _info(
        1206, 503, "the link between the regions has no free budget"
    )
    DRAINING = _info(1207, 503, "this VM is about to stop")
    QUARANTINED = _info(
        1208,
        503,
        "the request was in flight when two targets failed",
    )
    RETRY_BUDGET = _info(1209, 503, "the retry budget is spent")
    CUT_BY_STOP = _info(
        1210,
        502,
        "this VM stopped before the request had ended",
        RunState.UNKNOWN,
    )
    CALLER_STALLED = _info(
        1240, 0, "the caller stopped reading its answer", RunState.UNKNOWN
    )
    BODY_TOO_SLOW = _info(1241, 408, "the request body arrives too slowly")
    HOP_REFUSED = _info(1242, 403, "the request did not come from a peer")
    HOP_NO_CAPACITY = _info(
        1243, 503, "no region has free capacity for the request"
    )
    HOP_TIMEOUT = _info(
        1244,
        504,
        "the peer in the other region did not answer in time",
        RunState.UNKNOWN,
    )
    HOP_BROKEN = _info(
        1245,
        502,
        "the answer from the other region broke off",
        RunState.UNKNOWN,
    )

    RELAY_UNREACHED = _info(
        1246, 503, "the other entry VM can't reach a target either"
    )

    NOT_OWNER = _info(
        1230,
        503,
        "another entry VM owns the target by this VM's roster",
    )

    TARGET_SHED = _info(1300, 503, "the target refused the request unrun")
    CONNECT_FAILED = _info(1301, 502, "no connection to a target")
    ANSWER_BROKEN = _info(
        1302, 502, "the target's answer broke off", RunState.UNKNOWN
    )
    ANSWER_TIMEOUT = _info(
        1303, 504, "the target did not answer in time", RunState.UNKNOWN
    )

    REQUEST_NOT_KEPT = _info(
        1311, 404, "no decision is kept of a request with this id"
    )
    CONNECTION_SILENT = _info(
        1310,
        504,
        "a connection to a target went silent",
        RunState.UNKNOWN,
    )

    CLAIM_IN_PROGRESS = _info(
        1400,
        409,
        "a request with this key is running",
        RunState.UNKNOWN,
    )
    CLAIM_MISMATCH = _info(
        1401,
        422,
        "the key was used for another request",
        RunState.UNKNOWN,
    )
    CLAIM_UNKNOWN = _info(
        1402, 409, "the first attempt's outcome is unknown", RunState.UNKNOWN
    )
    CLAIM_UNAVAILABLE = _info(1403, 503, "no quorum for the claim")
    OUTCOME_NOT_KEPT = _info(
        1404, 409, "the request ran; its answer was not kept", RunState.RAN
    )

    SETTINGS_INVALID = _info(2000, 400, "the settings are not valid")
    SETTINGS_UNREADABLE = _info(2001, 400, "the settings cannot be read")
    OBJECTS_INVALID = _info(2002, 422, "the object set is not valid")
    VERSION_CONFLICT = _info(
        2003, 409, "another change has moved the object's version"
    )
    OBJECT_UNKNOWN = _info(2004, 404, "there is no such object")
    CHANGE_ID_REUSED = _info(
        2005, 409, "the change id was used for another change"
    )
    EXTRA_MISSING = _info(
        2006, 501, "the command needs packages that are not installed"
    )
    CREDENTIAL_MISSING = _info(2100, 401, "the credential is missing")
    CREDENTIAL_WRONG = _info(2101, 403, "the credential is not accepted")
    ANNOUNCEMENT_STALE = _info(2102, 409, "a later announcement has been seen")
    NOT_LEADER = _info(2200, 503, "this replica does not lead")
    NO_QUORUM = _info(
        2201, 503, "no quorum answered in time", RunState.UNKNOWN
    )
    STORAGE_FAILED = _info(2202, 503, "the data folder cannot be written")
    PEER_REFUSED = _info(2300, 403, "the peer did not prove who it is")
    PEER_UNREACHABLE = _info(2301, 503, "the peer cannot be reached")
    PEER_TIMEOUT = _info(
        2302, 504, "the peer did not answer in time", RunState.UNKNOWN
    )
    MESSAGE_INVALID = _info(2303, 400, "the peer message is not valid")
    INVARIANT_BREACH = _info(
        2900, 500, "an internal check failed", RunState.UNKNOWN
    )
    INTERNAL = _info(2999, 500, "internal error", RunState.UNKNOWN)

    @property
    def number(self) -> int:
        """Return the code's number."""
        return self.value.number


_CODES_BY_NUMBER: Final = {code.number: code for code in Code}


def code_of(number: int) -> Code:
    """Return the code of a number that a peer sent."""
    return _CODES_BY_NUMBER.get(number, Code.INTERNAL)


class WigeonfordError(Exception):
    """Carry a result code, a readable detail and the run state.

    `retry_after_s` is set where the caller may retry after that time.
    """

    def __init__(
        self,
        code: Code,
        detail: str = "",
        *,
        run_state: RunState | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{code.number} {code.value.text}: {detail}")
        self.code = code
        self.detail = detail
        self.run_state = run_state or code.value.run_state
        self.retry_after_s = retry_after_s


class RequestRejected(WigeonfordError):
    """Report that a caller's request was rejected.

    `sent` counts the targets that had got it.
    """

    sent = 0


class PeerError(WigeonfordError):
    """Report that a peer did not process a message."""


class ChangeRejected(WigeonfordError):
    """Report that an operator's change was rejected."""


class Fault(msgspec.Struct, frozen=True):
    """Describe one invalid value in settings or objects."""

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value} is not {self.expected}"


class SettingsError(WigeonfordError):
    """Report every invalid value in a settings file or object set."""

    def __init__(self, code: Code, faults: tuple[Fault, ...]) -> None:
        assert faults, "a settings error lists at least one fault"
        super().__init__(code, "; ".join(str(fault) for fault in faults))
        self.faults = faults


def result_code_rows() -> Iterator[str]:
    """Yield the lines of the table in docs/RESULT-CODES.md."""
    yield "| number | name | HTTP | run state | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    for code in Code:
        info = code.value
        yield (
            f"| {info.number} | {code.name} | {info.http_status} "
            f"| {info.run_state} | {info.text} |"
        )
