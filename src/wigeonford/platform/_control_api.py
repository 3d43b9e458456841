"""Serve the platform's operators and targets on a control replica."""

from collections.abc import Awaitable, Callable
import hashlib
from typing import Any, Final

import msgspec

from wigeonford.control import (
    PatchDeployment,
    ReplaceDeployment,
    Replica,
    SetEvacuation,
    Steering,
    TargetService,
)
from wigeonford.deployment import Applied
from wigeonford.errors import Code, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.http import json_response, Request, Response
from wigeonford.platform._announcements import (
    AnnouncementInvalid,
    decode_announcement,
)
from wigeonford.platform._documents import (
    decode_deployment,
    decode_patch,
    decode_version,
    DocumentInvalid,
    encode_deployment,
)

MAX_ORDER_BYTES: Final = 1 << 26
"""As much as a peer message carries."""
_STATUSES: Final = {
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
    """Translate each call into a command or a query."""

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

    @property
    def _steering(self) -> Steering:
        return self._replica.state.steering

    async def handle(self, request: Request) -> Response:
        """Serve one call."""
        _, _, rest = request.path.partition("/")
        head, _, name = rest.partition("/")
        endpoint = _ENDPOINTS.get((request.method, head))
        if endpoint is None:
            return _reply(404, "there is no such call")
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
            return _reply(503, str(exc))

    @_endpoint("PUT", "configuration")
    async def _put(self, request: Request, _name: str) -> Response:
        return await self._order(
            request,
            lambda order_id, expected, body: ReplaceDeployment(
                order_id, expected, decode_deployment(body)
            ),
        )

    @_endpoint("PATCH", "configuration")
    async def _patch(self, request: Request, _name: str) -> Response:
        return await self._order(
            request,
            lambda order_id, expected, body: PatchDeployment(
                order_id, expected, decode_patch(body)
            ),
        )

    async def _order(
        self,
        request: Request,
        build: Callable[[bytes, int, bytes], Any],
    ) -> Response:
        body = await _read(request)
        match = request.header(b"if-match") or ""
        try:
            expected = decode_version(match.strip('"'))
            order_id = hashlib.blake2b(
                f"{request.method} {expected}\n".encode() + body,
                digest_size=16,
            ).digest()
            record = build(order_id, expected, body)
        except DocumentInvalid as exc:
            self._note(request, match, 400, str(exc))
            return _reply(400, str(exc))
        result = await self._replica.propose(record)
        status = _STATUSES.get(result.code, 400)
        self._note(request, match, status, result.detail)
        return _reply(status, result.detail)

    def _note(
        self, request: Request, match: str, status: int, detail: str
    ) -> None:
        self._log.emit(
            Event.DEPLOYMENT_ORDER,
            call=f"{request.method} {request.path}",
            on=match,
            version=self._steering.version,
            revision=self._steering.revision,
            outcome=status,
            detail=detail,
            term=self._replica.term,
        )

    @_endpoint("GET", "configuration")
    async def _get(self, _request: Request, _name: str) -> Response:
        try:
            await self._replica.confirm()
        except WigeonfordError as exc:
            self._log.emit(
                Event.READ_UNCONFIRMED,
                detail=str(exc),
                leader=self._replica.leader,
                term=self._replica.term,
            )
            return _reply(503, str(exc))
        deployment = self._steering.deployment
        if deployment is None:
            return _reply(503, "no configuration is known yet")
        return json_response(200, encode_deployment(deployment))

    @_endpoint("POST", "evacuation")
    async def _evacuate(self, request: Request, zone: str) -> Response:
        return await self._set_evacuation(request, zone, active=True)

    @_endpoint("DELETE", "evacuation")
    async def _take_back(self, request: Request, zone: str) -> Response:
        return await self._set_evacuation(request, zone, active=False)

    async def _set_evacuation(
        self, request: Request, zone: str, *, active: bool
    ) -> Response:
        if zone not in self._zones:
            return _reply(400, f"unknown zone {zone}")
        await self._replica.propose(SetEvacuation(zone, active))
        self._note(request, "", 200, "")
        return _reply(200, "")

    @_endpoint("PUT", "instances")
    async def _announce(self, request: Request, target_id: str) -> Response:
        body = await _read(request)
        try:
            said = decode_announcement(target_id, body, self._zones)
        except AnnouncementInvalid as exc:
            self._log.emit(
                Event.TARGET_REFUSED, target=target_id, detail=str(exc)
            )
            return _reply(400, str(exc))
        applied = await self._targets.announce(said)
        if applied in (Applied.CHANGED, Applied.SAME):
            return _reply(200, "")
        return _reply(409, applied.value)

    @_endpoint("DELETE", "instances")
    async def _withdraw(self, _request: Request, target_id: str) -> Response:
        await self._targets.withdraw(target_id)
        return _reply(200, "")


async def _read(request: Request) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for chunk in request.body:
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_ORDER_BYTES:
            raise WigeonfordError(Code.BODY_TOO_LARGE, f"{size} bytes")
    return b"".join(parts)


def _reply(status: int, detail: str) -> Response:
    plain = {"error": detail} if detail else {}
    return json_response(status, msgspec.json.encode(plain))
