"""Baseline dispatcher: round robin, one retry, no coordination."""

import asyncio
from collections import deque
import itertools
import time
from typing import Final

import msgspec

from wigeonford.bench._settings import BENCH_SECRETS, Deployment
from wigeonford.bench._target import StandInTarget
from wigeonford.bench._target_run_records import TargetRunRecords
from wigeonford.entry import Announcement, LOOKUP_LIFETIME_S
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import EventLog
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    Headers,
    HttpServer,
    json_response,
    read_body,
    Request,
    Response,
)
from wigeonford.settings import Address, CallerLimits

CONNECT_TIMEOUT_S: Final = 1.0
GRACE_S: Final = 10.0
_SYSTEM_PREFIX: Final = "/.wigeonford/"
_REMOVED_HEADERS: Final = frozenset(
    {b"authorization", b"x-api-key", b"wigeonford-account", b"host"}
)


class BaselineEntry:
    """Forward requests to a region's targets round robin."""

    def __init__(self, fleet: "BaselineFleet", region: str) -> None:
        self._fleet = fleet
        self._region = region
        self._round_robin_counters: dict[str, itertools.count[int]] = {}
        self._idle: dict[Address, deque[ClientConnection]] = {}
        self.http = HttpServer(self._handle, CallerLimits(), EventLog())
        self.address = Address()

    async def _handle(self, request: Request) -> Response:
        if request.path.startswith(_SYSTEM_PREFIX + "lookup"):
            return self._look_up(request)
        if request.path.startswith(_SYSTEM_PREFIX):
            return await self._receive_announcement(request)
        return await self._forward(request)

    def _look_up(self, request: Request) -> Response:
        region_number = int(request.caller_host.split(".")[1])
        region = list(self._fleet.deployment.objects.regions)[
            region_number - 1
        ]
        vms = [
            {"address": str(address)}
            for address in self._fleet.rank_entries(
                region, request.caller_host
            )
        ]
        content = {"entry_vms": vms, "lifetime_s": LOOKUP_LIFETIME_S}
        return json_response(200, msgspec.json.encode(content))

    async def _receive_announcement(self, request: Request) -> Response:
        content = b"".join([chunk async for chunk in request.body])
        self._fleet.record_announcement(
            msgspec.json.decode(content, type=Announcement)
        )
        return json_response(200, b"{}")

    async def _forward(self, request: Request) -> Response:
        body = b"".join([chunk async for chunk in request.body])
        service = request.path.split("/")[1]
        timeout_s = self._fleet.deployment.objects.services[service].timeout_s
        for _ in range(2):
            address = self._next_target(service)
            if address is None:
                break
            try:
                async with asyncio.timeout(timeout_s):
                    response = await self._exchange(request, body, address)
            except (ConnectFailed, ExchangeFailed, TimeoutError):
                continue
            if response.status != 503:
                return response
        raise RequestRejected(Code.NO_CAPACITY, run_state=RunState.UNKNOWN)

    def _next_target(self, service: str) -> Address | None:
        addresses = self._fleet.target_addresses(self._region, service)
        if not addresses:
            return None
        counter = self._round_robin_counters.setdefault(
            service, itertools.count()
        )
        return addresses[next(counter) % len(addresses)]

    async def _exchange(
        self, request: Request, body: bytes, address: Address
    ) -> Response:
        conn = await self._connect(address)
        try:
            response = await conn.exchange(
                request.method,
                request.path,
                _forwarded_headers(request, address),
                body,
            )
            content = await read_body(response)
        except BaseException:
            conn.close()
            raise
        if conn.is_reusable:
            self._idle.setdefault(address, deque()).append(conn)
        return Response(response.status, response.headers, content)

    async def _connect(self, address: Address) -> ClientConnection:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if conn.is_reusable:
                return conn
            conn.close()
        return await ClientConnection.open(address, CONNECT_TIMEOUT_S)

    def close(self) -> None:
        """Close idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()


def _forwarded_headers(request: Request, address: Address) -> Headers:
    """Return the headers with the account named in the request id."""
    account = (request.header(b"x-request-id") or "").split("/")[0]
    forwarded = tuple(
        h for h in request.headers if h[0] not in _REMOVED_HEADERS
    )
    return (
        (b"host", str(address).encode()),
        (b"wigeonford-account", account.encode()),
        *forwarded,
    )


class BaselineFleet:
    """Run baseline entry VMs and the deployment's stand-in targets."""

    def __init__(
        self, deployment: Deployment, *, behind_links: bool, log: EventLog
    ) -> None:
        self.deployment = deployment
        self.target_records = TargetRunRecords()
        self.targets: list[StandInTarget] = []
        self._entries: dict[str, BaselineEntry] = {}
        self._announced: dict[Address, tuple[Announcement, float]] = {}
        self._behind_links = behind_links
        self._log = log

    def entry_addresses(self) -> dict[str, Address]:
        """Return the addresses of the running entry VMs by name."""
        return {name: entry.address for name, entry in self._entries.items()}

    def entry_names_in_region(self, region: str) -> list[str]:
        """Return the names of a region's entry VMs."""
        objects = self.deployment.objects
        return [
            vm.name
            for vm in objects.entry_vms.values()
            if objects.availability_zones[vm.availability_zone].region
            == region
        ]

    def rank_entries(self, region: str, seed: str) -> list[Address]:
        """Return up to four running entry VMs, those of the region first."""
        names = set(self.entry_names_in_region(region))
        own = [e.address for n, e in self._entries.items() if n in names]
        other = [e.address for n, e in self._entries.items() if n not in names]
        start = sum(map(ord, seed)) % len(own) if own else 0
        return [*own[start:], *own[:start], *other][:4]

    def record_announcement(self, announcement: Announcement) -> None:
        """Add, renew or remove the announced target."""
        address = Address(announcement.host, announcement.port)
        if announcement.leaving:
            self._announced.pop(address, None)
        else:
            expires_s = time.monotonic() + announcement.lease_s
            self._announced[address] = announcement, expires_s

    def target_addresses(self, region: str, service: str) -> list[Address]:
        """Return the addresses of a region's targets with a valid lease."""
        now_s = time.monotonic()
        regions = {t.address: t.group.region for t in self.targets}
        return [
            address
            for address, (announcement, expires_s) in self._announced.items()
            if announcement.service == service
            and now_s < expires_s
            and regions.get(address) == region
        ]

    async def start(self) -> None:
        """Start the entry VMs, then the targets."""
        for name in self.deployment.objects.entry_vms:
            await self.start_entry(name)
        for group in self.deployment.stand_ins.targets:
            addresses = self.entry_addresses()
            entries = tuple(
                addresses[name]
                for name in self.entry_names_in_region(group.region)
            )
            for _ in range(group.count):
                target = StandInTarget(
                    group,
                    entries,
                    BENCH_SECRETS.target,
                    self.target_records,
                    self._log,
                )
                await target.start(behind_link=self._behind_links)
                self.targets.append(target)

    async def start_entry(self, name: str) -> None:
        """Start an entry VM, or start it again on another port."""
        objects = self.deployment.objects
        zone = objects.entry_vms[name].availability_zone
        entry = BaselineEntry(self, objects.availability_zones[zone].region)
        entry.address = await entry.http.start(Address())
        self._entries[name] = entry

    async def crash_entry(self, name: str) -> None:
        """Crash an entry VM."""
        entry = self._entries.pop(name)
        await entry.http.abort()
        entry.close()

    async def stop_entry(self, name: str, linger_s: float) -> None:
        """Stop an entry VM gracefully."""
        entry = self._entries.pop(name)
        await asyncio.sleep(linger_s)
        await entry.http.stop(GRACE_S)
        entry.close()

    async def stop(self) -> None:
        """Stop the targets and crash the entry VMs."""
        await asyncio.gather(*(target.stop() for target in self.targets))
        for name in list(self._entries):
            await self.crash_entry(name)
