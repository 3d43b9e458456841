"""A client of the operators' HTTP API."""

from dataclasses import dataclass
import ssl
from typing import Any, Final
from urllib.parse import urlencode

import msgspec

from wigeonford.control import Edit
from wigeonford.errors import ChangeRejected, Code, PeerError
from wigeonford.http import ConnectFailed, ExchangeFailed, fetch, Response
from wigeonford.messages.raft import ReplicaChange
from wigeonford.model import derive_key, ObjectSet
from wigeonford.settings import Address

TIMEOUT_S: Final = 10.0
_CODES_BY_NUMBER: Final = {code.number: code for code in Code}


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object stored on control."""

    kind: str
    name: str
    version: int
    revision: int
    data: dict[str, Any]


class OperatorClient:
    """Send requests to the control replicas, in order, until one responds."""

    def __init__(
        self,
        addresses: tuple[Address, ...],
        secret: str,
        author: str,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._addresses = addresses
        self._secret = secret
        self._author = author
        self._context = context

    async def status(self) -> dict[str, Any]:
        """Return the state of a control replica and the roster."""
        return await self._call("GET", "/v1/status")

    async def history(self) -> list[dict[str, Any]]:
        """Return the latest changes, newest first."""
        content = await self._call("GET", "/v1/history")
        return list(content["history"])

    async def objects(
        self, kind: str | None = None, name: str | None = None
    ) -> tuple[StoredObject, ...]:
        """Return the objects of a kind and a name; None matches every one."""
        query = urlencode(
            {
                key: value
                for key, value in (("kind", kind), ("name", name))
                if value is not None
            }
        )
        path = f"/v1/objects?{query}" if query else "/v1/objects"
        content = await self._call("GET", path)
        return msgspec.convert(content["objects"], tuple[StoredObject, ...])

    async def change(
        self, change_id: str, edits: tuple[Edit, ...]
    ) -> dict[str, Any]:
        """Apply edits atomically; a retry by id gets the first result."""
        body = {
            "change_id": change_id,
            "author": self._author,
            "edits": edits,
        }
        return await self._call("POST", "/v1/changes", body)

    async def issue_key(self, change_id: str, account: str) -> str:
        """Issue an API key for a client account and return it."""
        key_id, key = derive_key(self._secret, change_id)
        body = {
            "change_id": change_id,
            "author": self._author,
            "account": account,
            "key_id": key_id,
            "key": key,
        }
        await self._call("POST", "/v1/keys/issue", body)
        return key

    async def withdraw_key(
        self, change_id: str, key_id: str
    ) -> dict[str, Any]:
        """Withdraw an API key."""
        body = {
            "change_id": change_id,
            "author": self._author,
            "key_id": key_id,
        }
        return await self._call("POST", "/v1/keys/withdraw", body)

    async def change_replica(
        self, name: str, address: Address | None
    ) -> dict[str, Any]:
        """Add a control replica with a peer address; None removes it."""
        endpoint = address or Address()
        body = ReplicaChange(
            name, endpoint.host, endpoint.port, remove=address is None
        )
        return await self._call("POST", "/v1/replicas", body)

    async def _call(
        self, method: str, target: str, body: object = None
    ) -> dict[str, Any]:
        content = b"" if body is None else msgspec.json.encode(body)
        failure = "the settings list no control address"
        for address in self._addresses:
            try:
                response = await self._fetch(address, method, target, content)
            except ConnectFailed as exc:
                failure = str(exc)
                continue
            except ExchangeFailed as exc:
                raise PeerError(Code.NO_QUORUM, str(exc)) from exc
            return _decode(response)
        raise PeerError(Code.PEER_UNREACHABLE, failure)

    async def _fetch(
        self, address: Address, method: str, target: str, content: bytes
    ) -> Response:
        headers = (
            (b"authorization", f"Bearer {self._secret}".encode()),
            (b"content-type", b"application/json"),
        )
        return await fetch(
            address,
            method,
            target,
            headers,
            content,
            timeout_s=TIMEOUT_S,
            context=self._context,
        )


def _decode(response: Response) -> dict[str, Any]:
    assert isinstance(response.body, bytes), "the response body is complete"
    content: dict[str, Any] = msgspec.json.decode(response.body)
    if response.status == 200:
        return content
    code = _CODES_BY_NUMBER.get(content.get("code", 0), Code.INTERNAL)
    if code in (Code.NO_QUORUM, Code.NOT_LEADER):
        raise PeerError(code, content.get("detail", ""))
    raise ChangeRejected(code, content.get("detail", ""))


def edits_between(
    stored: tuple[StoredObject, ...], desired: ObjectSet, *, prune: bool
) -> tuple[Edit, ...]:
    """Return the edits that turn the stored objects into the desired ones.

    `prune` deletes stored objects that are not among the desired ones.
    """
    stored_by_key = {(item.kind, item.name): item for item in stored}
    edits = []
    for (kind, name), item in desired.objects.items():
        data = msgspec.to_builtins(item)
        current = stored_by_key.get((kind, name))
        if current is None:
            edits.append(Edit(kind, name, 0, data))
        elif not _is_equal(current.data, data):
            edits.append(Edit(kind, name, current.version, data))
    if prune:
        edits.extend(
            Edit(item.kind, item.name, item.version, None)
            for key, item in stored_by_key.items()
            if key not in desired.objects
        )
    return tuple(edits)


def _is_equal(stored: dict[str, Any], desired: dict[str, Any]) -> bool:
    return msgspec.json.encode(stored, order="sorted") == msgspec.json.encode(
        desired, order="sorted"
    )
