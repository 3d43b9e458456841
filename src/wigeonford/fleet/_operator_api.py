"""The HTTP API for operators on a control replica."""

from collections.abc import Awaitable, Callable
import hmac
import time
from typing import Any, Final, TypeVar
from urllib.parse import parse_qs

import msgspec

from wigeonford.control._commands import (
    ApplyChange,
    CommandResult,
    Edit,
    IssueKey,
    WithdrawKey,
)
from wigeonford.control._replica import Replica
from wigeonford.errors import ChangeRejected, Code
from wigeonford.events import Event, EventLog
from wigeonford.fleet._queries import find_objects, recent_history
from wigeonford.http import (
    check_caller,
    complete_response,
    json_response,
    Request,
    Response,
    result_headers,
)
from wigeonford.messages.raft import ReplicaChange
from wigeonford.metrics import Metrics
from wigeonford.model import hash_key, KEY_PREFIX

MAX_CHANGE_BYTES: Final = 1 << 26
HISTORY_LIMIT: Final = 1000
HEALTHY_AGE_S: Final = 4.0

BodyType = TypeVar("BodyType")

_Endpoint = Callable[["OperatorApi", Request], Awaitable[Response]]
_ENDPOINTS: Final[dict[tuple[str, str], _Endpoint]] = {}
_OPEN_PATHS: Final = frozenset({"/health", "/metrics"})


def _endpoint(method: str, path: str) -> Callable[[_Endpoint], _Endpoint]:
    def add(function: _Endpoint) -> _Endpoint:
        _ENDPOINTS[method, path] = function
        return function

    return add


class ChangeBody(msgspec.Struct, frozen=True):
    """The body of a request to change objects."""

    change_id: str
    author: str
    edits: tuple[Edit, ...]


class IssueBody(msgspec.Struct, frozen=True):
    """The body of a request to issue an API key made by the client."""

    change_id: str
    author: str
    account: str
    key_id: str
    key: str


class WithdrawBody(msgspec.Struct, frozen=True):
    """The body of a request to withdraw an API key."""

    change_id: str
    author: str
    key_id: str


class OperatorApi:
    """Check the operator's credential and serve the endpoints."""

    def __init__(
        self,
        replica: Replica,
        operator_secret: str,
        key_hash_secret: str,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._replica = replica
        self._operator_secret = operator_secret
        self._key_hash_secret = key_hash_secret
        self._metrics = metrics
        self._log = log

    async def handle(self, request: Request) -> Response:
        """Serve one request; raise `ChangeRejected` if it is rejected."""
        endpoint = _ENDPOINTS.get((request.method, request.path))
        if endpoint is None:
            raise ChangeRejected(Code.NO_ROUTE, request.path)
        if request.path not in _OPEN_PATHS:
            self._authenticate(request)
        return await endpoint(self, request)

    def _authenticate(self, request: Request) -> None:
        authorization = request.header(b"authorization")
        if authorization is None:
            raise ChangeRejected(Code.CREDENTIAL_MISSING)
        expected = f"Bearer {self._operator_secret}"
        if not hmac.compare_digest(authorization.encode(), expected.encode()):
            raise ChangeRejected(Code.CREDENTIAL_WRONG)

    @_endpoint("GET", "/health")
    async def _health(self, _request: Request) -> Response:
        confirmed_age_s = self._replica.confirmed_age_s()
        is_current = (
            confirmed_age_s is not None and confirmed_age_s < HEALTHY_AGE_S
        )
        content = {"ok": is_current, "leader": self._replica.leader}
        return json_response(200, msgspec.json.encode(content))

    @_endpoint("GET", "/metrics")
    async def _metrics_page(self, _request: Request) -> Response:
        content, content_type = self._metrics.render()
        return complete_response(200, content, content_type)

    @_endpoint("GET", "/v1/objects")
    async def _objects(self, request: Request) -> Response:
        await self._replica.read_barrier()
        query = parse_qs(request.query)
        objects = find_objects(
            self._replica.state,
            query.get("kind", [None])[0],
            query.get("name", [None])[0],
        )
        return _ok_response(
            {"revision": self._replica.state.revision, "objects": objects}
        )

    @_endpoint("GET", "/v1/history")
    async def _history(self, _request: Request) -> Response:
        await self._replica.read_barrier()
        entries = recent_history(self._replica.state, HISTORY_LIMIT)
        return _ok_response({"history": entries})

    @_endpoint("GET", "/v1/status")
    async def _status(self, _request: Request) -> Response:
        state = self._replica.state
        members = [member for _, member in state.config.members.values()]
        return _ok_response(
            {
                "leader": self._replica.leader,
                "replica": self._replica.describe(),
                "revision": state.revision,
                "vouched_age_s": self._replica.confirmed_age_s(),
                "entry_vms": members,
            }
        )

    @_endpoint("POST", "/v1/check")
    async def _check(self, request: Request) -> Response:
        body = await _read_body(request, ChangeBody)
        faults = self._replica.state.check_edits(body.edits)
        return _ok_response({"faults": faults})

    @_endpoint("POST", "/v1/changes")
    async def _change(self, request: Request) -> Response:
        body = await _read_body(request, ChangeBody)
        change = ApplyChange(
            body.change_id, body.author, time.time(), body.edits
        )
        return await self._propose(change, body.author)

    @_endpoint("POST", "/v1/keys/issue")
    async def _issue(self, request: Request) -> Response:
        body = await _read_body(request, IssueBody)
        if not body.key.startswith(f"{KEY_PREFIX}{body.key_id}_"):
            raise ChangeRejected(
                Code.BAD_ARGUMENT, "key_id does not match the key"
            )
        change = IssueKey(
            body.change_id,
            body.author,
            time.time(),
            body.key_id,
            body.account,
            hash_key(self._key_hash_secret, body.key),
        )
        return await self._propose(change, body.author)

    @_endpoint("POST", "/v1/keys/withdraw")
    async def _withdraw(self, request: Request) -> Response:
        body = await _read_body(request, WithdrawBody)
        change = WithdrawKey(
            body.change_id, body.author, time.time(), body.key_id
        )
        return await self._propose(change, body.author)

    @_endpoint("POST", "/v1/replicas")
    async def _replicas(self, request: Request) -> Response:
        change = await _read_body(request, ReplicaChange)
        await self._replica.read_barrier()
        await check_caller(request.has_caller_left)
        await self._replica.change_replicas(change)
        return _ok_response({"name": change.name, "remove": change.remove})

    async def _propose(self, change: Any, author: str) -> Response:
        result = await self._replica.propose(change)
        event = (
            Event.CHANGE_ACCEPTED if result.accepted else Event.CHANGE_REFUSED
        )
        self._log.emit(
            event,
            author=author,
            change_id=change.change_id,
            revision=result.revision,
            code=result.code,
        )
        return _result_response(result)


_CODES_BY_NUMBER: Final = {code.number: code for code in Code}


def _result_response(result: CommandResult) -> Response:
    code = _CODES_BY_NUMBER[result.code]
    headers = result_headers(code, code.value.run_state)
    content = msgspec.json.encode(
        {
            "code": result.code,
            "error": "" if result.accepted else code.value.text,
            "revision": result.revision,
            "detail": result.detail,
            "faults": result.faults,
        }
    )
    return json_response(code.value.http_status, content, headers)


def _ok_response(content: object) -> Response:
    headers = result_headers(Code.OK, Code.OK.value.run_state)
    return json_response(200, msgspec.json.encode(content), headers)


async def _read_body(request: Request, cls: type[BodyType]) -> BodyType:
    chunks = [chunk async for chunk in request.body]
    try:
        return msgspec.json.decode(b"".join(chunks), type=cls)
    except msgspec.DecodeError as exc:
        raise ChangeRejected(Code.BAD_ARGUMENT, str(exc)) from exc
