"""Serve the platform's callers, and speak to its targets."""

import math
import time
from typing import Final
from urllib.parse import parse_qs

import msgspec

from wigeonford.errors import Code, RequestRefused, RunState
from wigeonford.http import (
    error_response,
    find_header,
    Headers,
    json_response,
    Request,
    Response,
)
from wigeonford.messages.steering import EntryStatus
from wigeonford.steer import (
    AnswerFacts,
    Forwarder,
    LIFETIME_S,
    rank_entries,
    Readiness,
    SteerRequest,
    ViewFollower,
)
from wigeonford.steer import RunState as TargetRun

# Names one try of a caller; targets echo it.
_REQUEST_ID: Final = b"x-attempt-id"
_THING: Final = b"x-affinity-key"
# Milliseconds that the caller waits, or that a target may take.
_TIME_LEFT: Final = b"x-deadline-remaining"
_KEY: Final = b"x-key"
_ACCOUNT: Final = b"x-tenant"
_TARGET_ID: Final = b"x-expected-instance"
_NOT_RUN: Final = b"x-not-executed"
# "running,waiting,slots" of a target.
_LOAD: Final = b"x-server-load"
_SIGNATURE: Final = b"x-response-signature"
# "1" in all answers of a target that is about to end.
_LEAVING: Final = b"server-leaving"
# Seconds for which a target that answers 503 wants nothing from this VM.
_PAUSE: Final = b"retry-after"

_ONE_HOP: Final = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_SET_HERE: Final = frozenset({_ACCOUNT, _TARGET_ID, _TIME_LEFT, _KEY})
# What targets tell entry VMs of themselves.
_TO_VMS: Final = frozenset({_LOAD, _LEAVING})
# Statuses that promise that a request has not run and never will.
_PROMISES: Final = frozenset({408, 421, 429, 503})


class PlatformTargetWire:
    """Write the heads of attempts and read those of answers."""

    def head(
        self,
        req: SteerRequest,
        target_id: str,
        account: str | None,
        time_left_s: float,
    ) -> Headers:
        """Return the headers of one attempt."""
        headers = [
            *req.headers,
            (_TIME_LEFT, str(max(1, int(time_left_s * 1000))).encode()),
            (_TARGET_ID, target_id.encode()),
        ]
        if account is not None:
            headers.append((_ACCOUNT, account.encode()))
        return tuple(headers)

    def is_answer_to(self, req: SteerRequest, headers: Headers) -> bool:
        """Tell whether an answer belongs to a request."""
        echoed = find_header(headers, _REQUEST_ID)
        return echoed is None or echoed == req.request_id

    def facts(self, response: Response) -> AnswerFacts:
        """Return what the head of an answer says."""
        status = response.status
        if status == 421:
            return AnswerFacts(TargetRun.WRONG_TARGET, False)
        running, waiting = _decode_load(response.header(_LOAD))
        not_run = response.header(_NOT_RUN) is not None
        whole = status not in _PROMISES and not not_run
        if 200 <= status < 300:
            whole = whole and (
                response.header(_SIGNATURE) is not None
                and response.header(_REQUEST_ID) is not None
                and response.header(b"content-encoding") is None
            )
        return AnswerFacts(
            TargetRun.NOT_RUN if not_run else TargetRun.RAN,
            whole,
            running,
            waiting,
            response.header(_LEAVING) == "1",
            _decode_pause(response.header(_PAUSE)) if status == 503 else 0.0,
        )


def _decode_pause(text: str | None) -> float:
    """Return a stated pause in seconds, 0 for none or what is no figure."""
    try:
        pause_s = float(text or "0")
    except ValueError:
        return 0.0
    return pause_s if 0 < pause_s < math.inf else 0.0


def _decode_load(text: str | None) -> tuple[int | None, int | None]:
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None, None
    return int(parts[0]), int(parts[1])


class CallerApi:
    """Translate callers' requests and the answers to them."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    async def handle(self, request: Request) -> Response:
        """Serve one request."""
        try:
            answer = await self._forwarder.forward(to_steer(request))
        except RequestRefused as exc:
            return encode_refusal(exc)
        return encode_answer(request, answer)


def to_steer(request: Request) -> SteerRequest:
    """Return a caller's request; raise `RequestRefused`."""
    time_left = request.header(_TIME_LEFT)
    has_body = request.has_body
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in _ONE_HOP
        and name not in _SET_HERE
        and name not in _named_by(request)
    ]
    chunked = request.header(b"transfer-encoding") is not None
    if has_body and chunked:
        headers.append((b"transfer-encoding", b"chunked"))
    target = request.path + (f"?{request.query}" if request.query else "")
    return SteerRequest(
        request_id=request.header(_REQUEST_ID) or "",
        method=request.method,
        host=request.header(b"host") or "",
        path=request.path,
        target=target,
        headers=tuple(headers),
        key=request.header(_KEY),
        thing=request.header(_THING) or "",
        time_left_s=_decode_time(time_left),
        body=request.body,
        has_body=has_body,
        arrived_s=time.monotonic(),
    )


def _named_by(request: Request) -> frozenset[bytes]:
    """Return the headers that the caller marks as for one hop."""
    named = request.header(b"connection") or ""
    return frozenset(
        name.strip().lower().encode("latin-1") for name in named.split(",")
    )


def _decode_time(text: str | None) -> float | None:
    if text is None:
        return None
    if not text.strip().isdigit():
        raise RequestRefused(Code.BAD_ARGUMENT, f"time left {text!r}")
    return int(text) / 1000


def encode_answer(request: Request, answer: Response) -> Response:
    """Return a target's answer as a caller gets it."""
    headers = [
        (name, value)
        for name, value in answer.headers
        if name not in _ONE_HOP and name not in _TO_VMS
    ]
    body = answer.body
    framed = any(name == b"content-length" for name, _ in headers)
    bodiless = request.method == "HEAD" or answer.status in (204, 304)
    if isinstance(body, bytes) and not framed and not bodiless:
        headers.append((b"content-length", str(len(body)).encode()))
    return Response(answer.status, tuple(headers), body)


def encode_refusal(exc: RequestRefused) -> Response:
    """Return a refusal; times to come back are in seconds and fractions."""
    plain = RequestRefused(exc.code, exc.detail, run_state=exc.run_state)
    response = error_response(plain)
    promised = response.status in _PROMISES
    if promised and exc.run_state is not RunState.NOT_RUN:
        response = Response(502, response.headers, response.body)
    if exc.retry_after_s is None:
        return response
    after = (b"retry-after", f"{exc.retry_after_s:.2f}".encode())
    return Response(response.status, (*response.headers, after), response.body)


class LookupApi:
    """Tell the platform's callers where to connect."""

    def __init__(self, follower: ViewFollower, readiness: Readiness) -> None:
        self._follower = follower
        self._readiness = readiness

    async def handle(self, request: Request) -> Response:
        """Serve one look-up, or the check of readiness."""
        if request.path == "/ready":
            return _plain(200 if self._readiness.ready else 503)
        if request.path != "/resolve":
            return _plain(404)
        query = parse_qs(request.query)
        region = query.get("region", [""])[0]
        zone = query.get("zone", [""])[0]
        entries = self._entries()
        addresses = [
            status.address for status in rank_entries(entries, region, zone)
        ]
        if not addresses:
            return _plain(503)
        return json_response(
            200,
            msgspec.json.encode({"addresses": addresses, "ttl_s": LIFETIME_S}),
        )

    def _entries(self) -> list[EntryStatus]:
        """Return the entry VMs known, this one as it stands now."""
        own = self._readiness.status
        known = self._follower.roster.entries(time.monotonic())
        return list({**known, own.name: own}.values())


def _plain(status: int) -> Response:
    return json_response(status, b"{}")
