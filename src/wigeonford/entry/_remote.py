"""Spill-over: send requests without local capacity to other regions."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import random
import ssl
import time
from typing import Final, Protocol

from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._dispatch import Dispatcher
from wigeonford.entry._hop import hop_headers
from wigeonford.entry._hygiene import clean_response_headers
from wigeonford.entry._link_leases import LinkLeases
from wigeonford.entry._outbound import Outbound
from wigeonford.entry._published import EntryConfig
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    ACCOUNT_HEADER,
    ClientConnection,
    CODE_HEADER,
    ConnectFailed,
    DEADLINE_HEADER,
    ExchangeFailed,
    ExchangeTimedOut,
    find_header,
    Headers,
    Response,
    ResponseBroken,
    result_headers,
    RUN_STATE_HEADER,
)
from wigeonford.messages.object import Member
from wigeonford.model import RequestClass
from wigeonford.policy import SpillWindows
from wigeonford.settings import Address

MAX_REGIONS: Final = 2
MAX_IN_FLIGHT_WITHOUT_TARGET: Final = 16
"""Requests of a service in flight while its region has no target."""

CONNECT_TIMEOUT_S: Final = 1.0
MAX_LINK_WAIT_S: Final = 0.5
RETURN_MARGIN_S: Final = 0.1
MAX_BUFFERED_RESPONSE_BYTES: Final = 65536
ASSUMED_HEAD_BYTES: Final = 512
MIN_RETRY_AFTER_S: Final = 1.0

_SPILL_CODES: Final = frozenset(
    {
        Code.NO_CAPACITY,
        Code.NO_TARGET,
        Code.TARGET_SHED,
        Code.CONNECT_FAILED,
        Code.QUEUE_FULL,
    }
)
_CODES: Final = {code.number: code for code in Code}


class Forwarder(Protocol):
    """Forward a request to a target."""

    async def forward(self, outbound: Outbound) -> Response:
        """Return the response; raise `RequestRejected`."""


class _TrackedBody:
    """Track whether a body was partly read and can't be resent."""

    def __init__(self, body: AsyncIterator[bytes]) -> None:
        self._body = body
        self.is_started = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        self.is_started = True
        return await anext(self._body)


class RegionalDispatcher:
    """Try the region's own targets first, then other regions."""

    def __init__(
        self,
        availability_zone: str,
        dispatcher: Dispatcher,
        config: ConfigFollower,
        links: LinkLeases,
        secret: str,
        context: ssl.SSLContext | None,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._zone = availability_zone
        self._dispatcher = dispatcher
        self._config = config
        self._links = links
        self._secret = secret
        self._context = context
        self._rng = rng
        self._log = log
        self._windows = SpillWindows()

    async def forward(self, outbound: Outbound) -> Response:
        """Return the response; raise `RequestRejected`.

        Only a request that is known not to have run, or that may run more
        than once, is spilled over.
        """
        tracked_body: _TrackedBody | None = None
        if not isinstance(outbound.body, bytes):
            tracked_body = _TrackedBody(outbound.body)
            outbound = dataclasses.replace(outbound, body=tracked_body)
        try:
            return await self._dispatcher.forward(outbound)
        except RequestRejected as exc:
            is_started = tracked_body is not None and tracked_body.is_started
            if is_started or not _may_spill(outbound, exc):
                raise
            rejection = exc
        return await self._spill(outbound, tracked_body, rejection)

    async def _spill(
        self,
        outbound: Outbound,
        tracked_body: _TrackedBody | None,
        rejection: RequestRejected,
    ) -> Response:
        service = outbound.service.name
        home_region, peers = _peers_by_region(self._config.current, self._zone)
        untried = set(peers)
        for _ in range(MAX_REGIONS):
            now_s = time.monotonic()
            region = self._windows.choose(service, untried, now_s)
            if region is None or (
                tracked_body is not None and tracked_body.is_started
            ):
                break
            untried.discard(region)
            peer = self._rng.choice(peers[region])
            response = await self._spill_to_region(
                home_region, region, peer, outbound
            )
            if response is not None:
                return response
        wait_s = self._windows.retry_after_s(service, peers, time.monotonic())
        raise RequestRejected(
            rejection.code,
            rejection.detail,
            run_state=rejection.run_state,
            retry_after_s=max(wait_s, MIN_RETRY_AFTER_S),
        )

    async def _spill_to_region(
        self, home_region: str, region: str, peer: Member, outbound: Outbound
    ) -> Response | None:
        """Return the response, or None if the region did not run it."""
        service = outbound.service.name
        self._windows.begin(region, service)
        was_accepted = False
        try:
            response = await self._exchange(
                home_region, region, peer, outbound
            )
            was_accepted = response is not None
        except RequestRejected as exc:
            was_accepted = exc.run_state is not RunState.NOT_RUN
            if was_accepted:
                raise
            response = None
        finally:
            self._windows.end(
                region, service, accepted=was_accepted, now_s=time.monotonic()
            )
        event = Event.SPILL_REFUSED if response is None else Event.SPILLED
        self._log.emit(event, region=region, service=service)
        return response

    async def _exchange(
        self, home_region: str, region: str, peer: Member, outbound: Outbound
    ) -> Response | None:
        request_class = outbound.service.request_class
        body = outbound.body
        size_bytes = len(body) if isinstance(body, bytes) else 0
        link_deadline_s = min(
            outbound.deadline_s, time.monotonic() + MAX_LINK_WAIT_S
        )
        await self._links.acquire_bytes(
            region,
            request_class,
            size_bytes + ASSUMED_HEAD_BYTES,
            link_deadline_s,
        )
        address = Address(peer.host, peer.port)
        try:
            conn = await ClientConnection.open(
                address, CONNECT_TIMEOUT_S, self._context
            )
        except ConnectFailed:
            return None
        if not isinstance(body, bytes):
            body = self._pace(region, request_class, body, outbound.deadline_s)
        response = await self._send(conn, home_region, outbound, body)
        return await self._classify(conn, response, outbound)

    async def _pace(
        self,
        region: str,
        request_class: RequestClass,
        body: AsyncIterator[bytes],
        deadline_s: float,
    ) -> AsyncIterator[bytes]:
        async for chunk in body:
            await self._links.acquire_bytes(
                region, request_class, len(chunk), deadline_s
            )
            yield chunk

    async def _send(
        self,
        conn: ClientConnection,
        home_region: str,
        outbound: Outbound,
        body: bytes | AsyncIterator[bytes],
    ) -> Response:
        headers = self._headers(conn.address, home_region, outbound)
        try:
            return await conn.exchange(
                outbound.method,
                outbound.target,
                headers,
                body,
                until_s=_read_until_s(outbound),
            )
        except ExchangeTimedOut as exc:
            raise RequestRejected(Code.HOP_TIMEOUT) from exc
        except ExchangeFailed as exc:
            raise RequestRejected(Code.HOP_BROKEN, str(exc)) from exc
        except RequestRejected as exc:
            # Some of the body was sent, so the peer may have acted on it.
            raise RequestRejected(
                exc.code, exc.detail, run_state=RunState.UNKNOWN
            ) from exc

    def _headers(
        self, address: Address, home_region: str, outbound: Outbound
    ) -> Headers:
        remaining_ms = int((_remaining_s(outbound) - RETURN_MARGIN_S) * 1000)
        account = find_header(outbound.headers, ACCOUNT_HEADER) or ""
        other_headers = tuple(
            (name, value)
            for name, value in outbound.headers
            if name not in (b"host", DEADLINE_HEADER)
        )
        return (
            (b"host", str(address).encode()),
            (DEADLINE_HEADER, str(max(1, remaining_ms)).encode()),
            *other_headers,
            *hop_headers(
                self._secret,
                home_region,
                outbound.method,
                outbound.target,
                account,
            ),
        )

    async def _classify(
        self, conn: ClientConnection, response: Response, outbound: Outbound
    ) -> Response | None:
        """Return the response if the request ran, else None."""
        number = int(response.header(CODE_HEADER) or -1)
        if number != Code.FORWARDED.number:
            conn.close()
            _require_not_run(number, response.header(RUN_STATE_HEADER))
            return None
        headers = (
            *clean_response_headers(response.headers),
            *result_headers(Code.FORWARDED, RunState.RAN),
        )
        conn.limit_reads(None)
        stream = _stream_and_close(conn, response)
        length = response.header(b"content-length")
        if length is None or int(length) > MAX_BUFFERED_RESPONSE_BYTES:
            return Response(response.status, headers, stream)
        conn.limit_reads(_read_until_s(outbound))
        try:
            body = b"".join([chunk async for chunk in stream])
        except ResponseBroken as exc:
            has_timed_out = isinstance(exc.__cause__, ExchangeTimedOut)
            code = Code.HOP_TIMEOUT if has_timed_out else Code.HOP_BROKEN
            raise RequestRejected(code, str(exc)) from exc
        return Response(response.status, headers, body)


def _may_spill(outbound: Outbound, rejection: RequestRejected) -> bool:
    is_safe = rejection.run_state is RunState.NOT_RUN or outbound.is_retryable
    return (
        outbound.service.spill_over
        and is_safe
        and rejection.code in _SPILL_CODES
        and _remaining_s(outbound) > RETURN_MARGIN_S
    )


def _require_not_run(number: int, run_state: str | None) -> None:
    """Raise `RequestRejected` unless the peer reports that nothing ran."""
    if run_state == RunState.NOT_RUN.value:
        return
    code = _CODES.get(number, Code.HOP_BROKEN)
    state = RunState.RAN if run_state == "ran" else RunState.UNKNOWN
    raise RequestRejected(code, "failed in another region", run_state=state)


async def _stream_and_close(
    conn: ClientConnection, response: Response
) -> AsyncIterator[bytes]:
    assert not isinstance(response.body, bytes), (
        "ClientConnection streams each body"
    )
    try:
        async for chunk in response.body:
            yield chunk
    except ExchangeFailed as exc:
        raise ResponseBroken(str(exc)) from exc
    finally:
        conn.close()


def _read_until_s(outbound: Outbound) -> float:
    """Return the deadline on the clock of the event loop."""
    return asyncio.get_running_loop().time() + _remaining_s(outbound)


def _remaining_s(outbound: Outbound) -> float:
    return outbound.deadline_s - time.monotonic()


def _peers_by_region(
    config: EntryConfig, zone: str
) -> tuple[str, dict[str, list[Member]]]:
    """Return the home region and the entry VMs of all other regions."""
    zones = config.objects.availability_zones
    home_region = zones[zone].region
    peers: dict[str, list[Member]] = {}
    for member in config.members.values():
        zone_object = zones.get(member.availability_zone)
        if zone_object is not None and zone_object.region != home_region:
            peers.setdefault(zone_object.region, []).append(member)
    return home_region, peers
