"""The platform's HTTP API for operators and targets on control replicas."""

from collections.abc import Awaitable, Callable
import hashlib
from typing import Any, Final

import msgspec

from wigeonford.control import (
    PatchDeployment,
    ReplaceDeployment,
    Replica,
    SetEvacuation,
    SteeringState,
    TargetService,
)
from wigeonford.deployment import AnnouncementEffect
from wigeonford.errors import Code, RequestRejected, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    check_caller,
    json_response,
    Request,
    Response,
)
from wigeonford.platform._announcements import (
    AnnouncementInvalid,
    decode_announcement,
    MAX_CONTENT_BYTES,
)
from wigeonford.platform._documents import (
    decode_deployment,
    decode_patch,
    decode_version,
    DocumentInvalid,
    encode_deployment,
)

MAX_BODY_BYTES: Final = 1 << 24
MAX_HELD_BODY_BYTES: Final = 1 << 25
"""Of all bodies that are read at the same time, within a replica's memory."""
MAX_ORDER_ATTEMPTS: Final = 8
"""As many orders as operators have in progress at once."""
_HTTP_STATUSES: Final = {
    Code.OK.number: 200,
    Code.VERSION_CONFLICT.number: 412,
    Code.OBJECTS_INVALID.number: 400,
}

_Endpoint = Callable[["ControlApi", Request, str], Awaitable[Response]]
_ENDPOINTS: Final[dict[tuple[str, str], _Endpoint]] = {}


def _endpoint(method: str, path: str) -> Callable[[_Endpoint], _Endpoint]:
    def add(function: _Endpoint) -> _Endpoint:
        _ENDPOINTS[method, path] = function
        return function

    return add


class ControlApi:
    """Translate each HTTP request into a command or a query."""

    def __init__(
        self,
        replica: Replica,
        targets: TargetService,
        zones: dict[str, str],
        log: EventLog,
    ) -> None:
        self._replica = replica
        self._targets = targets
        self._zones = zones
        self._log = log
        self._held_body_bytes = 0

    @property
    def _steering(self) -> SteeringState:
        return self._replica.state.steering

    async def handle(self, request: Request) -> Response:
        """Serve one HTTP request."""
        _, _, resource_path = request.path.partition("/")
        resource, _, name = resource_path.partition("/")
        endpoint = _ENDPOINTS.get((request.method, resource))
        if endpoint is None:
            return _respond(404, "there is no such call")
        try:
            return await endpoint(self, request, name)
        except WigeonfordError as exc:
            self._log.emit(
                Event.DEPLOYMENT_ORDER,
                call=f"{request.method} {request.path}",
                outcome=exc.code.name,
                detail=exc.detail,
                leader=self._replica.leader,
                term=self._replica.term,
            )
            too_large = exc.code is Code.BODY_TOO_LARGE
            return _respond(413 if too_large else 503, str(exc))

    async def _read_body(
        self, request: Request, max_bytes: int = MAX_BODY_BYTES
    ) -> bytes:
        """Return the body; raise `WigeonfordError` if it is too large."""
        parts: list[bytes] = []
        size = 0
        try:
            async for chunk in request.body:
                parts.append(chunk)
                size += len(chunk)
                self._held_body_bytes += len(chunk)
                if size > max_bytes:
                    raise WigeonfordError(
                        Code.BODY_TOO_LARGE, f"over {max_bytes} bytes"
                    )
                if self._held_body_bytes > MAX_HELD_BODY_BYTES:
                    raise WigeonfordError(
                        Code.QUEUE_FULL, "too many large bodies at once"
                    )
        finally:
            self._held_body_bytes -= size
        return b"".join(parts)

    @_endpoint("PUT", "configuration")
    async def _replace_configuration(
        self, request: Request, _name: str
    ) -> Response:
        return await self._change_configuration(
            request,
            lambda order_id, expected, body: ReplaceDeployment(
                order_id, expected, decode_deployment(body)
            ),
        )

    @_endpoint("PATCH", "configuration")
    async def _patch_configuration(
        self, request: Request, _name: str
    ) -> Response:
        return await self._change_configuration(
            request,
            lambda order_id, expected, body: PatchDeployment(
                order_id, expected, decode_patch(body)
            ),
        )

    async def _change_configuration(
        self,
        request: Request,
        build_command: Callable[[bytes, int, bytes], Any],
    ) -> Response:
        body = await self._read_body(request)
        if_match = request.header(b"if-match") or ""
        try:
            expected = decode_version(if_match.strip('"'))
            order_id = hashlib.blake2b(
                f"{request.method} {expected}\n".encode() + body,
                digest_size=16,
            ).digest()
            command = build_command(order_id, expected, body)
        except DocumentInvalid as exc:
            self._log_outcome(request, if_match, 400, str(exc))
            return _respond(400, str(exc))
        result = await self._replica.propose(command)
        status = _HTTP_STATUSES.get(result.code, 400)
        self._log_outcome(request, if_match, status, result.detail)
        return _respond(status, result.detail)

    def _log_outcome(
        self, request: Request, if_match: str, status: int, detail: str
    ) -> None:
        self._log.emit(
            Event.DEPLOYMENT_ORDER,
            call=f"{request.method} {request.path}",
            on=if_match,
            version=self._steering.deployment_version,
            revision=self._steering.revision,
            outcome=status,
            detail=detail,
            term=self._replica.term,
        )

    @_endpoint("GET", "configuration")
    async def _get_configuration(
        self, _request: Request, _name: str
    ) -> Response:
        try:
            await self._replica.read_barrier()
        except WigeonfordError as exc:
            self._log.emit(
                Event.READ_UNCONFIRMED,
                detail=str(exc),
                leader=self._replica.leader,
                term=self._replica.term,
            )
            return _respond(503, str(exc))
        deployment = self._steering.deployment
        if deployment is None:
            return _respond(503, "no configuration is known yet")
        return json_response(200, encode_deployment(deployment))

    @_endpoint("POST", "evacuation")
    async def _start_evacuation(self, request: Request, zone: str) -> Response:
        return await self._set_evacuation(request, zone, active=True)

    @_endpoint("DELETE", "evacuation")
    async def _end_evacuation(self, request: Request, zone: str) -> Response:
        return await self._set_evacuation(request, zone, active=False)

    async def _set_evacuation(
        self, request: Request, zone: str, *, active: bool
    ) -> Response:
        if zone not in self._zones:
            return _respond(400, f"unknown zone {zone}")
        for _ in range(MAX_ORDER_ATTEMPTS):
            await self._replica.read_barrier()
            revision = self._steering.evacuation_revision
            await check_caller(request.has_caller_left)
            result = await self._replica.propose(
                SetEvacuation(zone, active, revision)
            )
            if result.accepted:
                break
        status = 200 if result.accepted else 503
        self._log_outcome(request, str(revision), status, result.detail)
        return _respond(status, result.detail)

    @_endpoint("PUT", "instances")
    async def _announce_target(
        self, request: Request, target_id: str
    ) -> Response:
        try:
            body = await self._read_body(request, MAX_CONTENT_BYTES)
            announcement = decode_announcement(target_id, body, self._zones)
            applied = await self._targets.announce(announcement)
        except (AnnouncementInvalid, RequestRejected) as exc:
            self._log.emit(
                Event.TARGET_REFUSED, target=target_id, detail=str(exc)
            )
            return _respond(400, str(exc))
        if applied in (AnnouncementEffect.CHANGED, AnnouncementEffect.SAME):
            return _respond(200, "")
        return _respond(409, applied.value)

    @_endpoint("DELETE", "instances")
    async def _withdraw_target(
        self, request: Request, target_id: str
    ) -> Response:
        await self._targets.withdraw(
            target_id, lambda: check_caller(request.has_caller_left)
        )
        return _respond(200, "")


def _respond(status: int, detail: str) -> Response:
    content = {"error": detail} if detail else {}
    return json_response(status, msgspec.json.encode(content))
