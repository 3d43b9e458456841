"""Requests spilled over from entry VMs of other regions."""

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
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    Headers,
    Request,
    Response,
    ResponseBroken,
)
from wigeonford.model import RequestClass, Service, Share, Side
from wigeonford.policy import admits_remote

HOP_HEADER: Final = b"wigeonford-hop"
HOP_TIME_HEADER: Final = b"wigeonford-hop-time-ms"
HOP_PROOF_HEADER: Final = b"wigeonford-hop-proof"
MAX_PROOF_AGE_S: Final = 30.0
MAX_BUFFERED_BODY_BYTES: Final = 65536
_NO_CAPACITY_CODES: Final = frozenset({Code.NO_CAPACITY, Code.NO_TARGET})
RETRY_AFTER_S: Final = 1.0


def hop_headers(
    secret: str, region: str, method: str, target: str, account: str
) -> Headers:
    """Return signed headers that prove the region of origin to a peer."""
    time_ms = str(time.time_ns() // 1_000_000)
    proof = _sign(secret, region, time_ms, method, target, account)
    return (
        (HOP_HEADER, region.encode()),
        (HOP_TIME_HEADER, time_ms.encode()),
        (HOP_PROOF_HEADER, proof.encode()),
    )


def _sign(secret: str, *fields: str) -> str:
    text = "\n".join(("hop", *fields)).encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).hexdigest()


class Capacity(Protocol):
    """Decide whether a region has capacity for spilled requests."""

    def admits_remote(
        self, service: str, side: Side | None, headroom: float
    ) -> bool:
        """Return whether one more request may run on a service's side."""


class SlotCapacity:
    """Admit spilled requests while enough leased slots are free."""

    def __init__(self, slots: SlotTable) -> None:
        self._slots = slots

    def admits_remote(
        self, service: str, side: Side | None, headroom: float
    ) -> bool:
        """Return whether one more request may run on a service's side.

        If this VM holds no slot, one request is admitted to wait, whose
        demand makes the owners grant slots. Further requests are rejected
        at once, so that they can use another region.
        """
        held_slots = self._slots.held_slots(service, side)
        if not held_slots:
            return not self._slots.has_waiters(service, side)
        used = held_slots - self._slots.free_slots(service, side)
        return admits_remote(held_slots, used, headroom)


def _no_capacity_error() -> RequestRejected:
    return RequestRejected(Code.HOP_NO_CAPACITY, retry_after_s=RETRY_AFTER_S)


class HopReceiver:
    """Run spilled requests on the free capacity of this region."""

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
        """Return a target's response; raise `RequestRejected`.

        The request is never forwarded to a third region.
        """
        region = self._verify_origin(request)
        outbound = await self._build_outbound(request)
        self._require_capacity(outbound)
        try:
            response = await self._dispatcher.forward(outbound)
        except RequestRejected as exc:
            if (
                exc.code in _NO_CAPACITY_CODES
                and exc.run_state is RunState.NOT_RUN
            ):
                raise _no_capacity_error() from exc
            raise
        return await self._pace_response(region, outbound, response)

    def _verify_origin(self, request: Request) -> str:
        """Return the region of origin; raise `RequestRejected` if unproven."""
        region = request.header(HOP_HEADER) or ""
        time_ms = request.header(HOP_TIME_HEADER) or ""
        expected = _sign(
            self._secret,
            region,
            time_ms,
            request.method,
            request.target,
            request.header(ACCOUNT_HEADER) or "",
        )
        received_proof = request.header(HOP_PROOF_HEADER) or ""
        is_authentic = hmac.compare_digest(
            received_proof.encode(), expected.encode()
        )
        if not is_authentic or not _is_recent(time_ms):
            self._log.emit(Event.HOP_REFUSED, client=request.caller_host)
            raise RequestRejected(Code.HOP_REFUSED)
        return region

    async def _build_outbound(self, request: Request) -> Outbound:
        config = self._config.current
        now_s = time.monotonic()
        if not self._config.is_fresh(now_s):
            raise RequestRejected(Code.CONFIG_STALE)
        route = find_route(config, request.method, request.path)
        service = config.objects.services[route.service]
        remaining_ms = int(request.header(DEADLINE_HEADER) or 0)
        if remaining_ms <= 0:
            raise RequestRejected(Code.DEADLINE_EXCEEDED)
        shares = config.objects.shares.values()
        share = next((s for s in shares if s.service == service.name), None)
        return Outbound(
            service=service,
            share=_old_side_only(share),
            method=request.method,
            target=request.target,
            headers=clean_request_headers(
                request.headers, request.header(ACCOUNT_HEADER), remaining_ms
            ),
            body=await _read_body(request),
            idempotent=route.idempotent,
            deadline_s=now_s + remaining_ms / 1000,
        )

    def _require_capacity(self, outbound: Outbound) -> None:
        """Raise `RequestRejected` unless the region has free capacity."""
        config = self._config.current
        zone = config.objects.availability_zones[self._zone]
        headroom = config.objects.regions[zone.region].headroom
        side = None if outbound.share is None else Side.OLD
        service = outbound.service.name
        if not self._capacity.admits_remote(service, side, headroom):
            raise _no_capacity_error()

    async def _pace_response(
        self, region: str, outbound: Outbound, response: Response
    ) -> Response:
        """Return the response, paced to this VM's lease on the link."""
        chunks = _iterate_body(response)
        body = self._pace(region, outbound.service, chunks, outbound)
        if not isinstance(response.body, bytes):
            return replace(response, body=body)
        try:
            content = b"".join([chunk async for chunk in body])
        except ResponseBroken as exc:
            raise RequestRejected(
                Code.LINK_BUDGET,
                "link budget exhausted during the response body",
                run_state=RunState.RAN,
            ) from exc
        return replace(response, body=content)

    async def _pace(
        self,
        region: str,
        service: Service,
        chunks: AsyncIterator[bytes],
        outbound: Outbound,
    ) -> AsyncIterator[bytes]:
        request_class: RequestClass = service.request_class
        async for chunk in chunks:
            try:
                await self._links.acquire_bytes(
                    region, request_class, len(chunk), outbound.deadline_s
                )
            except RequestRejected as exc:
                raise ResponseBroken(str(exc)) from exc
            yield chunk


def _old_side_only(share: Share | None) -> Share | None:
    """Return a share that sends nothing to the new side.

    The region of origin has already counted the request. If this region
    counted it again, the new side could receive more than its cap.
    """
    if share is None or share.cap >= 1.0:
        return None
    return dataclasses.replace(share, name=f"{share.name}@hop", part=0.0)


def _is_recent(time_ms: str) -> bool:
    if not time_ms.isdecimal():
        return False
    return abs(time.time() - int(time_ms) / 1000) <= MAX_PROOF_AGE_S


async def _read_body(request: Request) -> bytes | AsyncIterator[bytes]:
    """Return a body of small declared length as bytes, else its stream."""
    if not request.has_body:
        return b""
    length = request.header(b"content-length")
    if length is None or int(length) > MAX_BUFFERED_BODY_BYTES:
        return request.body
    return b"".join([chunk async for chunk in request.body])


async def _iterate_body(response: Response) -> AsyncIterator[bytes]:
    if isinstance(response.body, bytes):
        yield response.body
        return
    async for chunk in response.body:
        yield chunk
