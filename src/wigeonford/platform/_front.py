"""The platform's HTTP interface to callers and targets on entry VMs."""

import re
import time
from typing import Final
from urllib.parse import parse_qs

import msgspec

from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.http import (
    end_to_end_headers,
    error_response,
    find_header,
    frame_response,
    Headers,
    json_response,
    Request,
    Response,
    ResponseOwner,
)
from wigeonford.messages.steering import EntryStatus
from wigeonford.steer import (
    Forwarder,
    LOOKUP_TTL_S,
    Readiness,
    ResponseFacts,
    select_entries,
    SteerRequest,
    TargetRunState,
    ViewFollower,
)

# Id of one attempt of a caller; targets echo it.
_REQUEST_ID: Final = b"x-attempt-id"
_OBJECT_ID: Final = b"x-affinity-key"
# Milliseconds that the caller still waits, or that the target has left.
_REMAINING_TIME: Final = b"x-deadline-remaining"
_KEY: Final = b"x-key"
_ACCOUNT: Final = b"x-tenant"
_TARGET_ID: Final = b"x-expected-instance"
_NOT_RUN: Final = b"x-not-executed"
# A target's load as "running,waiting,slots".
_LOAD: Final = b"x-server-load"
_SIGNATURE: Final = b"x-response-signature"
# "1" in all responses of a draining target.
_DRAINING: Final = b"server-leaving"
# Pause in seconds that a target requests from this VM with status 503.
_RETRY_AFTER: Final = b"retry-after"
MAX_PAUSE_S: Final = 600.0
"""Longest pause that a target is granted; after it, a request asks again."""
# Requests per second that a target accepts from all entry VMs together.
_LIMIT: Final = b"server-limit"
# At most a billion; a decimal number has no sign, exponent or other digits.
_DECIMAL: Final = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")
# Larger counts would exceed a float or the digits that int() accepts.
_COUNT: Final = re.compile(r"[0-9]{1,18}")

_SET_BY_ENTRY_VM: Final = frozenset(
    {_ACCOUNT, _TARGET_ID, _REMAINING_TIME, _KEY}
)
# Headers in which targets report their own state to entry VMs.
_FOR_ENTRY_VMS: Final = frozenset({_LOAD, _DRAINING, _LIMIT})
# Statuses that guarantee that a request has not run and never will.
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


class PlatformTargetWire:
    """Encode the headers of attempts and decode those of responses."""

    def decode_request(self, request: Request) -> SteerRequest:
        """Return a decoded request; raise `RequestRejected`."""
        return decode_request(request)

    def build_headers(
        self,
        req: SteerRequest,
        target_id: str,
        account: str | None,
        time_left_s: float,
    ) -> Headers:
        """Return the headers of one attempt."""
        headers = [
            *req.headers,
            (_REMAINING_TIME, str(max(1, int(time_left_s * 1000))).encode()),
            (_TARGET_ID, target_id.encode()),
        ]
        if account is not None:
            headers.append((_ACCOUNT, account.encode()))
        return tuple(headers)

    def find_owner(self, req: SteerRequest, headers: Headers) -> ResponseOwner:
        """Return whether the id that a response echoes is that of a request.

        Several ids come from heads that ran into each other.
        """
        echoed = {value for name, value in headers if name == _REQUEST_ID}
        if len(echoed) != 1 or echoed == {b""}:
            return ResponseOwner.UNSTATED
        if echoed == {req.request_id.encode("latin-1")}:
            return ResponseOwner.OWN
        return ResponseOwner.OTHER

    def find_request_id(self, headers: Headers) -> str:
        """Return the id of a caller's request, empty if it has none."""
        return find_header(headers, _REQUEST_ID) or ""

    def parse_facts(self, response: Response) -> ResponseFacts:
        """Return the facts stated by the head of a response."""
        status = response.status
        if status == 421:
            return ResponseFacts(TargetRunState.WRONG_TARGET, False)
        running, waiting = _decode_load(response.header(_LOAD))
        not_run = response.header(_NOT_RUN) is not None
        is_complete = status not in _NOT_RUN_STATUSES and not not_run
        if 200 <= status < 300:
            is_complete = is_complete and (
                response.header(_SIGNATURE) is not None
                and response.header(_REQUEST_ID) is not None
                and response.header(b"content-encoding") is None
            )
        limit_per_s, unreadable_limit = _decode_limit(response)
        return ResponseFacts(
            TargetRunState.NOT_RUN if not_run else TargetRunState.RAN,
            is_complete,
            running,
            waiting,
            response.header(_DRAINING) == "1",
            _decode_retry_after(response.header(_RETRY_AFTER))
            if status == 503
            else 0.0,
            limit_per_s,
            unreadable_limit,
        )


def _decode_retry_after(text: str | None) -> float:
    """Return a pause in seconds, 0 if it is missing or not a number."""
    stated = (text or "").strip()
    if not _DECIMAL.fullmatch(stated):
        return 0.0
    return min(float(stated), MAX_PAUSE_S)


def _decode_limit(response: Response) -> tuple[float | None, str | None]:
    """Return the smallest limit stated, and the text of an unreadable one."""
    texts = [
        text.strip()
        for name, value in response.headers
        if name == _LIMIT
        for text in value.decode("latin-1").split(",")
    ]
    limits = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    unreadable = (text for text in texts if not _DECIMAL.fullmatch(text))
    return min(limits, default=None), next(unreadable, None)


def _decode_load(text: str | None) -> tuple[int | None, int | None]:
    parts = [part.strip() for part in (text or "").split(",")]
    if len(parts) != 3 or not all(map(_COUNT.fullmatch, parts)):
        return None, None
    return int(parts[0]), int(parts[1])


class CallerApi:
    """Translate callers' requests and the responses to them."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    async def handle(self, request: Request) -> Response:
        """Serve one request; raise `RequestRejected` for an invalid one."""
        req = decode_request(request)
        try:
            response = await self._forwarder.forward(req)
        except RequestRejected as exc:
            return encode_rejection(exc)
        return encode_response(request, response)


def decode_request(request: Request) -> SteerRequest:
    """Return the decoded request of a caller; raise `RequestRejected`."""
    remaining_time = request.header(_REMAINING_TIME)
    headers = tuple(
        (name, value)
        for name, value in end_to_end_headers(request)
        if name not in _SET_BY_ENTRY_VM
    )
    return SteerRequest(
        request_id=request.header(_REQUEST_ID) or "",
        method=request.method,
        host=request.header(b"host") or "",
        path=request.path,
        target=request.target,
        headers=headers,
        key=request.header(_KEY),
        object_id=request.header(_OBJECT_ID) or "",
        time_left_s=_decode_remaining_time(remaining_time),
        body=request.body,
        has_body=request.has_body,
        arrived_at_s=time.monotonic(),
    )


def _decode_remaining_time(text: str | None) -> float | None:
    if text is None:
        return None
    if not _COUNT.fullmatch(text.strip()):
        raise RequestRejected(
            Code.BAD_ARGUMENT,
            f"remaining time {text!r} is not a count of milliseconds",
        )
    return int(text) / 1000


def encode_response(request: Request, response: Response) -> Response:
    """Return a target's response in the form sent to the caller."""
    framed = frame_response(request.method, response)
    headers = tuple(
        (name, value)
        for name, value in framed.headers
        if name not in _FOR_ENTRY_VMS
    )
    return Response(framed.status, headers, framed.body)


def encode_rejection(exc: RequestRejected) -> Response:
    """Return the response to a rejected request.

    Retry-After is in seconds with two decimals. A request that may have run
    never gets a status that guarantees that it has not: it gets a 502.
    """
    rejection = RequestRejected(exc.code, exc.detail, run_state=exc.run_state)
    response = error_response(rejection)
    states_not_run = response.status in _NOT_RUN_STATUSES
    if states_not_run and exc.run_state is not RunState.NOT_RUN:
        response = Response(502, response.headers, response.body)
    if exc.retry_after_s is None:
        return response
    retry_after = (b"retry-after", f"{exc.retry_after_s:.2f}".encode())
    return Response(
        response.status, (*response.headers, retry_after), response.body
    )


class LookupApi:
    """Serve look-ups of entry VMs and the readiness check."""

    def __init__(self, follower: ViewFollower, readiness: Readiness) -> None:
        self._follower = follower
        self._readiness = readiness

    async def handle(self, request: Request) -> Response:
        """Serve one look-up or readiness check."""
        if request.path == "/ready":
            return _empty_response(200 if self._readiness.ready else 503)
        if request.path != "/resolve":
            return _empty_response(404)
        query = parse_qs(request.query)
        region = query.get("region", [""])[0]
        zone = query.get("zone", [""])[0]
        entries = self._entries()
        addresses = [
            status.address for status in select_entries(entries, region, zone)
        ]
        if not addresses:
            return _empty_response(503)
        return json_response(
            200,
            msgspec.json.encode(
                {"addresses": addresses, "ttl_s": LOOKUP_TTL_S}
            ),
        )

    def _entries(self) -> list[EntryStatus]:
        """Return the known entry VMs, this one with its current status."""
        own_status = self._readiness.status
        known = self._follower.roster.entries(time.monotonic())
        return list({**known, own_status.name: own_status}.values())


def _empty_response(status: int) -> Response:
    return json_response(status, b"{}")
