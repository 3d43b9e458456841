"""Requests that an entry VM of another region has passed on."""

from collections.abc import AsyncIterator
import dataclasses
import hashlib
import hmac
import time
from typing import Final, Protocol

from msgspec.structs import replace

from wigeonford.entry._admission import find_route
from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._dispatch import Dispatcher
from wigeonford.entry._hygiene import clean_request_headers
from wigeonford.entry._link_leases import LinkLeases
from wigeonford.entry._outbound import Outbound
from wigeonford.entry._slots import SlotTable
from wigeonford.errors import Code, RequestRefused, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    ACCOUNT_HEADER,
    AnswerBroken,
    DEADLINE_HEADER,
    Headers,
    Request,
    Response,
)
from wigeonford.model import RequestClass, Service, Share, Side
from wigeonford.policy import admits_remote

HOP_HEADER: Final = b"wigeonford-hop"
HOP_TIME_HEADER: Final = b"wigeonford-hop-time-ms"
HOP_PROOF_HEADER: Final = b"wigeonford-hop-proof"
MAX_AGE_S: Final = 30.0
BUFFERED_BODY_BYTES: Final = 65536
_NO_CAPACITY: Final = frozenset({Code.NO_CAPACITY, Code.NO_TARGET})
RETRY_AFTER_S: Final = 1.0


def hop_headers(
    secret: str, region: str, method: str, target: str, account: str
) -> Headers:
    """Return the headers by which a peer proves where a request is from."""
    time_ms = str(time.time_ns() // 1_000_000)
    proof = _proof(secret, region, time_ms, method, target, account)
    return (
        (HOP_HEADER, region.encode()),
        (HOP_TIME_HEADER, time_ms.encode()),
        (HOP_PROOF_HEADER, proof.encode()),
    )


def _proof(secret: str, *fields: str) -> str:
    text = "\n".join(("hop", *fields)).encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).hexdigest()


class Capacity(Protocol):
    """Tell what a region has free for the requests of others."""

    def admits_remote(
        self, service: str, side: Side | None, headroom: float
    ) -> bool:
        """Tell whether one more may run on a side of a service."""


class SlotCapacity:
    """Admit what this VM's leased slots can take after its own requests."""

    def __init__(self, slots: SlotTable) -> None:
        self._slots = slots

    def admits_remote(
        self, service: str, side: Side | None, headroom: float
    ) -> bool:
        """Tell whether one more may run on a side of a service.

        Where no slot is held, one that waits makes the owners grant some;
        others are refused at once, so that they can go elsewhere.
        """
        held = self._slots.held(service, side)
        if not held:
            return not self._slots.has_waiters(service, side)
        used = held - self._slots.available(service, side)
        return admits_remote(held, used, headroom)


def _no_capacity() -> RequestRefused:
    return RequestRefused(Code.HOP_NO_CAPACITY, retry_after_s=RETRY_AFTER_S)


class HopReceiver:
    """Run requests of other regions on what this region has free."""

    def __init__(
        self,
        availability_zone: str,
        config: ConfigFollower,
        capacity: Capacity,
        dispatcher: Dispatcher,
        links: LinkLeases,
        secret: str,
        log: EventLog,
    ) -> None:
        self._zone = availability_zone
        self._config = config
        self._capacity = capacity
        self._dispatcher = dispatcher
        self._links = links
        self._secret = secret
        self._log = log

    async def handle(self, request: Request) -> Response:
        """Return a target's answer; raise `RequestRefused`.

        The request never goes on to a third region.
        """
        region = self._origin(request)
        outbound = await self._outbound(request)
        self._admit(outbound)
        try:
            response = await self._dispatcher.forward(outbound)
        except RequestRefused as exc:
            if exc.code in _NO_CAPACITY and exc.run_state is RunState.NOT_RUN:
                raise _no_capacity() from exc
            raise
        return await self._carried(region, outbound, response)

    def _origin(self, request: Request) -> str:
        """Return the region that proved to have sent the request."""
        region = request.header(HOP_HEADER) or ""
        time_ms = request.header(HOP_TIME_HEADER) or ""
        expected = _proof(
            self._secret,
            region,
            time_ms,
            request.method,
            _target(request),
            request.header(ACCOUNT_HEADER) or "",
        )
        given = request.header(HOP_PROOF_HEADER) or ""
        proven = hmac.compare_digest(given.encode(), expected.encode())
        if not proven or not _is_recent(time_ms):
            self._log.emit(Event.HOP_REFUSED, client=request.client)
            raise RequestRefused(Code.HOP_REFUSED)
        return region

    async def _outbound(self, request: Request) -> Outbound:
        config = self._config.current
        now_s = time.monotonic()
        if not self._config.is_fresh(now_s):
            raise RequestRefused(Code.CONFIG_STALE)
        route = find_route(config, request.method, request.path)
        service = config.objects.services[route.service]
        remaining_ms = int(request.header(DEADLINE_HEADER) or 0)
        if remaining_ms <= 0:
            raise RequestRefused(Code.DEADLINE_EXCEEDED)
        shares = config.objects.shares.values()
        share = next((s for s in shares if s.service == service.name), None)
        return Outbound(
            service=service,
            share=_old_side_only(share),
            method=request.method,
            target=_target(request),
            headers=clean_request_headers(
                request.headers, request.header(ACCOUNT_HEADER), remaining_ms
            ),
            body=await _body(request),
            idempotent=route.idempotent,
            deadline_s=now_s + remaining_ms / 1000,
        )

    def _admit(self, outbound: Outbound) -> None:
        """Raise `RequestRefused` unless the region has capacity to spare."""
        config = self._config.current
        zone = config.objects.availability_zones[self._zone]
        headroom = config.objects.regions[zone.region].headroom
        side = None if outbound.share is None else Side.OLD
        service = outbound.service.name
        if not self._capacity.admits_remote(service, side, headroom):
            raise _no_capacity()

    async def _carried(
        self, region: str, outbound: Outbound, response: Response
    ) -> Response:
        """Return the answer paced by the link that it goes over."""
        chunks = _chunks(response)
        body = self._paced(region, outbound.service, chunks, outbound)
        if not isinstance(response.body, bytes):
            return replace(response, body=body)
        try:
            whole = b"".join([chunk async for chunk in body])
        except AnswerBroken as exc:
            raise RequestRefused(
                Code.LINK_BUDGET, "amid the answer", run_state=RunState.RAN
            ) from exc
        return replace(response, body=whole)

    async def _paced(
        self,
        region: str,
        service: Service,
        chunks: AsyncIterator[bytes],
        outbound: Outbound,
    ) -> AsyncIterator[bytes]:
        kind: RequestClass = service.request_class
        async for chunk in chunks:
            try:
                await self._links.carry(
                    region, kind, len(chunk), outbound.deadline_s
                )
            except RequestRefused as exc:
                raise AnswerBroken(str(exc)) from exc
            yield chunk


def _old_side_only(share: Share | None) -> Share | None:
    """Return a share that sends nothing to the new side.

    The region that a request is from has counted it, so that another
    count here would let more than the cap through.
    """
    if share is None or share.cap >= 1.0:
        return None
    return dataclasses.replace(share, name=f"{share.name}@hop", part=0.0)


def _is_recent(time_ms: str) -> bool:
    if not time_ms.isdecimal():
        return False
    return abs(time.time() - int(time_ms) / 1000) <= MAX_AGE_S


def _target(request: Request) -> str:
    if request.query:
        return f"{request.path}?{request.query}"
    return request.path


async def _body(request: Request) -> bytes | AsyncIterator[bytes]:
    """Return a body of small stated length whole, else its stream."""
    if not request.has_body:
        return b""
    length = request.header(b"content-length")
    if length is None or int(length) > BUFFERED_BODY_BYTES:
        return request.body
    return b"".join([chunk async for chunk in request.body])


async def _chunks(response: Response) -> AsyncIterator[bytes]:
    if isinstance(response.body, bytes):
        yield response.body
        return
    async for chunk in response.body:
        yield chunk
