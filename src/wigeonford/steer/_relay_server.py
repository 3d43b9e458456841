"""Send requests of other entry VMs to targets that these can't reach."""

from collections.abc import Awaitable, Callable
from typing import Final

from wigeonford.errors import Code, RequestRejected
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    error_response,
    frame_response,
    Request,
    Response,
)
from wigeonford.steer._relay_wire import (
    attach_result,
    read_order,
    RelayOrder,
    RelayWire,
)
from wigeonford.steer._request import (
    RelayResult,
    SteerRequest,
    TargetWire,
)

MAX_RELAYED: Final = 64
"""Requests of other VMs that are served at the same time; their bodies may
take a third of the smallest VM's memory."""

ForwardRelayed = Callable[
    [SteerRequest, RelayOrder], Awaitable[tuple[Response, RelayResult]]
]
"""Return a target's response, and its target; raise `RequestRejected`."""


class RelayReceiver:
    """Serve requests of peers; refuse all others."""

    def __init__(
        self,
        forward: ForwardRelayed,
        wire: TargetWire,
        secret: str,
        log: EventLog,
    ) -> None:
        self._forward = forward
        self._wire = RelayWire(wire)
        self._secret = secret
        self._log = log
        self._running = 0

    async def handle(self, request: Request) -> Response:
        """Return the response with the result for the VM of origin."""
        try:
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
