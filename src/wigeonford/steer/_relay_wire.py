"""Requests that one entry VM has another one send to targets.

The headers of such requests and responses, and the receiver's side.
"""

from collections.abc import Awaitable, Callable
import hmac
from typing import Final, TypeVar

import msgspec
from msgspec.structs import replace

from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    error_response,
    frame_response,
    Headers,
    Request,
    Response,
    ResponseOwner,
)
from wigeonford.peer import peer_proof
from wigeonford.steer._request import (
    RelayResult,
    ResponseFacts,
    SteerRequest,
    TargetRunState,
    TargetWire,
)

ORDER_HEADER: Final = b"wigeonford-relay-order"
PROOF_HEADER: Final = b"wigeonford-relay-proof"
RESULT_HEADER: Final = b"wigeonford-relay-result"
PROBE_HEADER: Final = b"wigeonford-relay-probe"
_OWN_HEADERS: Final = frozenset(
    {ORDER_HEADER, PROOF_HEADER, RESULT_HEADER, PROBE_HEADER}
)


_Signed = TypeVar("_Signed", "RelayOrder", "TargetProbe")
_Decoded = TypeVar("_Decoded")


class RelayOrder(msgspec.Struct, frozen=True):
    """Say what the entry VM of origin decided for a request.

    `origin` is its name, `sent` how many targets have got the request.
    """

    origin: str
    route: str
    service: str
    account: str | None
    sent: int


class TargetProbe(msgspec.Struct, frozen=True):
    """Ask whether a target accepts a connection of another entry VM."""

    origin: str
    target_id: str


def probe_headers(probe: TargetProbe, secret: str) -> Headers:
    """Return the headers that ask another entry VM for a probe."""
    return _sign(PROBE_HEADER, probe, secret)


def _sign(
    name: bytes, signed: RelayOrder | TargetProbe, secret: str
) -> Headers:
    return (
        (name, msgspec.json.encode(signed)),
        (PROOF_HEADER, peer_proof(secret, signed.origin).encode()),
    )


def _decode_header(
    message: Request | Response, name: bytes, kind: type[_Decoded]
) -> _Decoded:
    """Return the JSON value of a header; raise `msgspec.DecodeError`."""
    content = (message.header(name) or "").encode("latin-1")
    return msgspec.json.decode(content, type=kind)


def attach_order(
    req: SteerRequest, order: RelayOrder, secret: str
) -> SteerRequest:
    """Return a request with the headers of an order, signed by a peer."""
    headers = (
        *_without_own(req.headers),
        *_sign(ORDER_HEADER, order, secret),
    )
    return replace(req, headers=headers)


def read_order(request: Request, secret: str) -> RelayOrder:
    """Return the order of a request from a peer; raise `RequestRejected`."""
    return _read_signed(request, ORDER_HEADER, RelayOrder, secret)


def read_probe(request: Request, secret: str) -> TargetProbe:
    """Return the probe that a peer wants; raise `RequestRejected`."""
    return _read_signed(request, PROBE_HEADER, TargetProbe, secret)


def _read_signed(
    request: Request, name: bytes, kind: type[_Signed], secret: str
) -> _Signed:
    try:
        signed = _decode_header(request, name, kind)
    except msgspec.DecodeError as exc:
        raise RequestRejected(Code.HOP_REFUSED, str(exc)) from exc
    proof = request.header(PROOF_HEADER) or ""
    expected = peer_proof(secret, signed.origin)
    if not hmac.compare_digest(proof.encode(), expected.encode()):
        raise RequestRejected(Code.HOP_REFUSED, signed.origin)
    return signed


def detach_order(req: SteerRequest) -> SteerRequest:
    """Return a request without the headers of its order."""
    return replace(req, headers=_without_own(req.headers))


def attach_result(response: Response, result: RelayResult) -> Response:
    """Return a response that tells the VM of origin what came of a request.

    Headers of the same name that a target sent are left out.
    """
    headers = (
        *_without_own(response.headers),
        (RESULT_HEADER, msgspec.json.encode(result)),
    )
    return Response(response.status, headers, response.body)


def detach_result(response: Response) -> Response:
    """Return a response as the target sent it, for the caller."""
    headers = _without_own(response.headers)
    return Response(response.status, headers, response.body)


def _without_own(headers: Headers) -> Headers:
    return tuple(
        (name, value) for name, value in headers if name not in _OWN_HEADERS
    )


class RelayWire:
    """Encode requests to other entry VMs as attempts at targets are."""

    def __init__(self, wire: TargetWire) -> None:
        self._wire = wire

    def decode_request(self, request: Request) -> SteerRequest:
        """Return a decoded request; raise `RequestRejected`."""
        return detach_order(self._wire.decode_request(request))

    def build_headers(
        self,
        req: SteerRequest,
        target_id: str,
        account: str | None,
        time_left_s: float,
    ) -> Headers:
        """Return the headers of a request whose order is attached."""
        return self._wire.build_headers(req, target_id, account, time_left_s)

    def find_owner(
        self, _req: SteerRequest, _headers: Headers
    ) -> ResponseOwner:
        """Return that a response is the request's: entry VMs send no other."""
        return ResponseOwner.OWN

    def find_request_id(self, headers: Headers) -> str:
        """Return the id of a caller's request, empty if it has none."""
        return self._wire.find_request_id(headers)

    def parse_facts(self, response: Response) -> ResponseFacts:
        """Return what the other entry VM says of the request."""
        try:
            result = _decode_header(response, RESULT_HEADER, RelayResult)
        except msgspec.DecodeError:
            return ResponseFacts(TargetRunState.RAN, is_complete=False)
        is_unrun = result.is_rejected and result.run_state is RunState.NOT_RUN
        return ResponseFacts(
            TargetRunState.NOT_RUN if is_unrun else TargetRunState.RAN,
            is_complete=True,
            relayed=result,
        )


MAX_RELAYED: Final = 64
"""Requests of other VMs that are served at the same time; their bodies may
take a third of the smallest VM's memory."""

ForwardRelayed = Callable[
    [SteerRequest, RelayOrder], Awaitable[tuple[Response, RelayResult]]
]
"""Return a target's response, and its target; raise `RequestRejected`."""
ProbeTarget = Callable[[str], Awaitable[bool]]
"""Return whether a target of an id accepts a connection."""


class RelayReceiver:
    """Serve requests of peers; refuse all others."""

    def __init__(
        self,
        forward: ForwardRelayed,
        probe: ProbeTarget,
        wire: TargetWire,
        secret: str,
        log: EventLog,
    ) -> None:
        self._forward = forward
        self._probe = probe
        self._wire = RelayWire(wire)
        self._secret = secret
        self._log = log
        self._running = 0

    async def handle(self, request: Request) -> Response:
        """Return the response with the result for the VM of origin.

        A probe is answered 204 if the target accepts a connection, else 404.
        """
        try:
            if request.header(PROBE_HEADER) is not None:
                probe = read_probe(request, self._secret)
                is_reached = await self._probe(probe.target_id)
                return Response(204 if is_reached else 404)
            order = read_order(request, self._secret)
        except RequestRejected as exc:
            self._log.emit(
                Event.HOP_REFUSED,
                client=request.caller_host,
                detail=exc.detail,
            )
            raise
        self._running += 1
        try:
            if self._running > MAX_RELAYED:
                raise RequestRejected(
                    Code.RELAY_UNREACHED, "it serves too many of them"
                )
            req = self._wire.decode_request(request)
            response, result = await self._forward(req, order)
        except RequestRejected as exc:
            return attach_result(
                error_response(exc),
                RelayResult(
                    exc.code.number,
                    exc.detail,
                    exc.run_state,
                    exc.retry_after_s,
                    sent=max(order.sent, exc.sent),
                ),
            )
        finally:
            self._running -= 1
        return attach_result(frame_response(request.method, response), result)
