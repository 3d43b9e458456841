"""Reference dispatcher: round robin, one retry, no coordination."""

import asyncio
from collections import deque
import itertools
import time
from typing import Final

import msgspec

from wigeonford.bench._books import TargetBooks
from wigeonford.bench._settings import BENCH_SECRETS, Deployment
from wigeonford.bench._target import StandInTarget
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
_DROPPED: Final = frozenset(
    {b"authorization", b"x-api-key", b"wigeonford-account", b"host"}
)


class BaselineEntry:
    """Forward requests to a region's targets in turn."""

    def __init__(self, fleet: "BaselineFleet", region: str) -> None:
        self._fleet = fleet
        self._region = region
        self._turns: dict[str, itertools.count[int]] = {}
        self._idle: dict[Address, deque[ClientConnection]] = {}
        self.http = HttpServer(self._handle, CallerLimits(), EventLog())
        self.address = Address()

    async def _handle(self, request: Request) -> Response:
        if request.path.startswith(_SYSTEM_PREFIX + "lookup"):
            return self._look_up(request)
        if request.path.startswith(_SYSTEM_PREFIX):
            return await self._announce(request)
        return await self._forward(request)

    def _look_up(self, request: Request) -> Response:
        number = int(request.client.split(".")[1])
        region = list(self._fleet.deployment.objects.regions)[number - 1]
        vms = [
            {"address": str(address)}
            for address in self._fleet.ranked(region, request.client)
        ]
        content = {"entry_vms": vms, "lifetime_s": LOOKUP_LIFETIME_S}
        return json_response(200, msgspec.json.encode(content))

    async def _announce(self, request: Request) -> Response:
        content = b"".join([chunk async for chunk in request.body])
        self._fleet.note(msgspec.json.decode(content, type=Announcement))
        return json_response(200, b"{}")

    async def _forward(self, request: Request) -> Response:
        body = b"".join([chunk async for chunk in request.body])
        service = request.path.split("/")[1]
        timeout_s = self._fleet.deployment.objects.services[service].timeout_s
        for _ in range(2):
            address = self._next(service)
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

    def _next(self, service: str) -> Address | None:
        found = self._fleet.targets_of(self._region, service)
        if not found:
            return None
        turn = self._turns.setdefault(service, itertools.count())
        return found[next(turn) % len(found)]

    async def _exchange(
        self, request: Request, body: bytes, address: Address
    ) -> Response:
        conn = await self._connect(address)
        try:
            response = await conn.exchange(
                request.method, request.path, _headers(request, address), body
            )
            content = await read_body(response)
        except BaseException:
            conn.close()
            raise
        if conn.reusable:
            self._idle.setdefault(address, deque()).append(conn)
        return Response(response.status, response.headers, content)

    async def _connect(self, address: Address) -> ClientConnection:
        idle = self._idle.get(address)
        while idle:
            conn = idle.pop()
            if conn.reusable:
                return conn
            conn.close()
        return await ClientConnection.open(address, CONNECT_TIMEOUT_S)

    def close(self) -> None:
        """Close idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()


def _headers(request: Request, address: Address) -> Headers:
    """Return the headers with the account that the request id states."""
    account = (request.header(b"x-request-id") or "").split("/")[0]
    kept = tuple(h for h in request.headers if h[0] not in _DROPPED)
    return (
        (b"host", str(address).encode()),
        (b"wigeonford-account", account.encode()),
        *kept,
    )


class BaselineFleet:
    """Run reference entry VMs before the deployment's stand-ins."""

    def __init__(
        self, deployment: Deployment, *, behind_links: bool, log: EventLog
    ) -> None:
        self.deployment = deployment
        self.books = TargetBooks()
        self.targets: list[StandInTarget] = []
        self._entries: dict[str, BaselineEntry] = {}
        self._announced: dict[Address, tuple[Announcement, float]] = {}
        self._behind_links = behind_links
        self._log = log

    def entry_addresses(self) -> dict[str, Address]:
        """Return the entry VMs that run."""
        return {name: entry.address for name, entry in self._entries.items()}

    def entries_of(self, region: str) -> list[str]:
        """Return the names of a region's entry VMs."""
        objects = self.deployment.objects
        return [
            vm.name
            for vm in objects.entry_vms.values()
            if objects.availability_zones[vm.availability_zone].region
            == region
        ]

    def ranked(self, region: str, seed: str) -> list[Address]:
        """Return the running entry VMs, a region's own first."""
        names = set(self.entries_of(region))
        own = [e.address for n, e in self._entries.items() if n in names]
        other = [e.address for n, e in self._entries.items() if n not in names]
        turn = sum(map(ord, seed)) % len(own) if own else 0
        return [*own[turn:], *own[:turn], *other][:4]

    def note(self, announcement: Announcement) -> None:
        """Take an announcement."""
        address = Address(announcement.host, announcement.port)
        if announcement.leaving:
            self._announced.pop(address, None)
        else:
            until_s = time.monotonic() + announcement.lease_s
            self._announced[address] = announcement, until_s

    def targets_of(self, region: str, service: str) -> list[Address]:
        """Return the announced targets of a region's service."""
        now_s = time.monotonic()
        regions = {t.address: t.group.region for t in self.targets}
        return [
            address
            for address, (announcement, until_s) in self._announced.items()
            if announcement.service == service
            and now_s < until_s
            and regions.get(address) == region
        ]

    async def start(self) -> None:
        """Start everything."""
        for name in self.deployment.objects.entry_vms:
            await self.start_entry(name)
        for group in self.deployment.stand_ins.targets:
            addresses = self.entry_addresses()
            entries = tuple(
                addresses[name] for name in self.entries_of(group.region)
            )
            for _ in range(group.count):
                target = StandInTarget(
                    group,
                    entries,
                    BENCH_SECRETS.target,
                    self.books,
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
        """Kill an entry VM."""
        entry = self._entries.pop(name)
        await entry.http.stop(0.0)
        entry.close()

    async def stop_entry(self, name: str, linger_s: float) -> None:
        """Stop an entry VM gracefully."""
        entry = self._entries.pop(name)
        await asyncio.sleep(linger_s)
        await entry.http.stop(GRACE_S)
        entry.close()

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(target.stop() for target in self.targets))
        for name in list(self._entries):
            await self.crash_entry(name)
