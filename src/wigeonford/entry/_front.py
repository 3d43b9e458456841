"""HTTP front end of an entry VM: its own endpoints, callers' requests."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
import hmac
import time
from typing import Final
from urllib.parse import parse_qs

import msgspec

from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._decisions import DecisionRing
from wigeonford.entry._hop import HOP_HEADER, HopReceiver
from wigeonford.entry._lookup import LookupBuilder
from wigeonford.entry._pipeline import Pipeline
from wigeonford.entry._registry import check_target_announce
from wigeonford.entry._targets import TargetDirectory
from wigeonford.errors import Code, RequestRejected
from wigeonford.http import (
    complete_response,
    json_response,
    Request,
    Response,
    result_headers,
)
from wigeonford.messages.object import TargetAnnounce
from wigeonford.metrics import Metrics
from wigeonford.model import Side
from wigeonford.settings import Secrets

SYSTEM_PREFIX: Final = "/.wigeonford/"
MAX_ANNOUNCEMENT_BYTES: Final = 4096

_Endpoint = Callable[["FrontEnd", Request], Awaitable[Response]]
_ENDPOINTS: Final[dict[tuple[str, str], _Endpoint]] = {}


def _endpoint(method: str, path: str) -> Callable[[_Endpoint], _Endpoint]:
    def add(function: _Endpoint) -> _Endpoint:
        _ENDPOINTS[method, path] = function
        return function

    return add


@dataclass(frozen=True, slots=True)
class Announcement:
    """Describe a target, as sent by the target; `load` is 0 when idle.

    `sequence` increases with each announcement. It starts at the start time
    of the target's process in nanoseconds, so that announcements after a
    restart supersede earlier ones. `leaving` says that the target drains.
    `first` is true only in the first announcement of a process.
    """

    service: str
    host: str
    port: int
    slots: int
    sequence: int
    side: Side = Side.NEW
    lease_s: float = 3.0
    load: float = 0.0
    leaving: bool = False
    first: bool = False


class FrontEnd:
    """Serve look-ups, announcements, health, metrics and requests."""

    def __init__(
        self,
        config: ConfigFollower,
        pipeline: Pipeline,
        hops: HopReceiver,
        targets: TargetDirectory,
        decisions: DecisionRing,
        secrets: Secrets,
        metrics: Metrics,
    ) -> None:
        self._config = config
        self._pipeline = pipeline
        self._hops = hops
        self._targets = targets
        self._decisions = decisions
        self._secrets = secrets
        self._metrics = metrics
        self._lookup = LookupBuilder(config.current)
        self._draining_name: str | None = None
        config.on_change(self._lookup.follow)

    @property
    def draining(self) -> bool:
        """Return whether this VM is shutting down gracefully."""
        return self._draining_name is not None

    def drain(self, name: str) -> None:
        """Remove this VM from the look-up responses that it gives."""
        self._draining_name = name
        self._lookup.exclude(name)

    async def handle(self, request: Request) -> Response:
        """Serve one request."""
        endpoint = _ENDPOINTS.get((request.method, request.path))
        if endpoint is not None:
            return await endpoint(self, request)
        if request.path.startswith(SYSTEM_PREFIX):
            raise RequestRejected(Code.NO_ROUTE, request.path)
        if request.header(HOP_HEADER) is not None:
            return await self._hops.handle(request)
        return await self._pipeline.handle(request)

    @_endpoint("GET", "/.wigeonford/lookup")
    async def _answer_lookup(self, request: Request) -> Response:
        query = parse_qs(request.query)
        seed = query.get("account", [request.caller_host])[0]
        return _json_ok(self._lookup.current.answer(request.caller_host, seed))

    @_endpoint("POST", "/.wigeonford/targets")
    async def _announce(self, request: Request) -> Response:
        _require_secret(request, self._secrets.target)
        message = _to_message(await _read_announcement(request))
        faults = "; ".join(check_target_announce(message))
        if faults:
            raise RequestRejected(Code.BAD_ARGUMENT, faults)
        if message.service not in self._config.current.objects.services:
            raise RequestRejected(Code.OBJECT_UNKNOWN, message.service)
        await self._targets.announce(message)
        return _json_ok({"revision": self._config.current.revision})

    @_endpoint("GET", "/.wigeonford/explain")
    async def _explain(self, request: Request) -> Response:
        _require_secret(request, self._secrets.operator)
        request_id = parse_qs(request.query).get("id", [""])[0]
        decision = self._decisions.find(request_id)
        if decision is None:
            raise RequestRejected(Code.REQUEST_NOT_KEPT, request_id)
        return _json_ok(decision)

    @_endpoint("GET", "/health")
    async def _health(self, _request: Request) -> Response:
        fresh = self._config.is_fresh(time.monotonic())
        content = {
            "ok": fresh and not self.draining,
            "fresh": fresh,
            "draining": self.draining,
            "revision": self._config.current.revision,
        }
        return _json_ok(content)

    @_endpoint("GET", "/metrics")
    async def _metrics_page(self, _request: Request) -> Response:
        content, content_type = self._metrics.render()
        return complete_response(200, content, content_type)


def _require_secret(request: Request, secret: str) -> None:
    authorization = request.header(b"authorization")
    if authorization is None:
        raise RequestRejected(Code.CREDENTIAL_MISSING)
    expected = f"Bearer {secret}"
    if not hmac.compare_digest(authorization.encode(), expected.encode()):
        raise RequestRejected(Code.CREDENTIAL_WRONG)


async def _read_announcement(request: Request) -> Announcement:
    content = b""
    async for chunk in request.body:
        content += chunk
        if len(content) > MAX_ANNOUNCEMENT_BYTES:
            raise RequestRejected(Code.BODY_TOO_LARGE)
    try:
        announcement = msgspec.json.decode(content, type=Announcement)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        raise RequestRejected(Code.BAD_ARGUMENT, str(exc)) from exc
    if not announcement.lease_s > 0:
        raise RequestRejected(Code.BAD_ARGUMENT, "lease_s is not above 0")
    return announcement


def _to_message(announcement: Announcement) -> TargetAnnounce:
    return TargetAnnounce(
        service=announcement.service,
        host=announcement.host,
        port=announcement.port,
        side=announcement.side.value,
        slots=announcement.slots,
        sequence=announcement.sequence,
        lease_s=announcement.lease_s,
        load=announcement.load,
        leaving=announcement.leaving,
        first=announcement.first,
    )


def _json_ok(content: object) -> Response:
    headers = result_headers(Code.OK, Code.OK.value.run_state)
    return json_response(200, msgspec.json.encode(content), headers)
