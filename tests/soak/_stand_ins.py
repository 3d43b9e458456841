"""Callers, targets and the operator, each by the published protocol."""

import asyncio
from collections.abc import Callable
import json
import random
import time
from typing import Any, Final
import uuid

from tests.soak._ledger import BURST, DRAIN_S, Ledger, RATE_PER_S
from tests.soak._processes import ZONES
from wigeonford.bench._link import LinkState, StandInLink
from wigeonford.events import EventLog
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    fetch,
    HttpServer,
    read_body,
    Request,
    Response,
)
from wigeonford.settings import Address, CallerLimits

HOST: Final = "soak.example"
SERVICE: Final = "books"
HEARTBEAT_S: Final = 0.5
CALL_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 4.0
REUSES: Final = 8
"""Requests that a caller sends on one connection."""
FIRST_VERSION: Final = 1


class Proxied:
    """A server behind a loopback proxy whose faults are set from outside."""

    def __init__(self, address: Address) -> None:
        self.state = LinkState()
        self.link = StandInLink(address, self.state)
        self.address = address

    async def start(self) -> None:
        """Listen at an address of its own."""
        self.address = await self.link.start()

    async def disturb(self, how: str, for_s: float) -> None:
        """Bring a fault about for a while."""
        if how == "reset":
            self.link.reset()
            return
        if how == "silence":
            self.link.blackhole_open_connections()
        self.state.delay_s = 0.3 if how == "delay" else 0.0
        self.state.cut_backward = how == "one-way"
        await asyncio.sleep(for_s)
        self.state.delay_s = 0.0
        self.state.cut_backward = False


class ControlCalls:
    """Call control as everybody does: another replica after a failure."""

    def __init__(self, proxies: list[Proxied], rng: random.Random) -> None:
        self._proxies = proxies
        self._rng = rng

    async def once(
        self, method: str, path: str, body: Any = None, on: str = ""
    ) -> Response | None:
        """Return an answer of any replica, None if none came."""
        content = b"" if body is None else json.dumps(body).encode()
        headers = ((b"if-match", on.encode()),) if on else ()
        address = self._rng.choice(self._proxies).address
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await fetch(address, method, path, headers, content)
        except (ExchangeFailed, ConnectFailed, TimeoutError, OSError):
            return None

    async def until_clear(
        self, method: str, path: str, body: Any = None, on: str = ""
    ) -> int:
        """Send a call unchanged until an answer settles it."""
        while True:
            answer = await self.once(method, path, body, on)
            if answer is not None and answer.status < 500:
                return answer.status
            await asyncio.sleep(0.1)


class Target:
    """Serve, announce, leave and come back as another incarnation."""

    def __init__(
        self,
        number: int,
        calls: ControlCalls,
        ledger: Ledger,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        self._number = number
        self._calls = calls
        self._ledger = ledger
        self._rng = rng
        self._log = log
        self._life = 0
        self._sequence = 0
        self._state = "ready"
        self._beating: asyncio.Task[None] | None = None
        self.away = False

    async def start(self) -> None:
        """Begin a new life."""
        self._life += 1
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._state = "ready"
        self.name = f"i-{self._number}-{self._life}"
        self._http = HttpServer(self._handle, CallerLimits(), self._log)
        self.proxy = Proxied(await self._http.start(Address("127.0.0.1", 0)))
        await self.proxy.start()
        self._beating = asyncio.create_task(self._beat())
        self.away = False

    async def crash(self) -> None:
        """End amid whatever runs, and say nothing."""
        self.away = True
        await self._end()

    async def drain(self) -> None:
        """Leave as planned."""
        self.away = True
        name, self._state = self.name, "draining"
        while not await self._announce():
            await asyncio.sleep(0.1)
        self._ledger.left_at_s[name] = time.monotonic()
        await asyncio.sleep(DRAIN_S + self._rng.uniform(0.2, 2.0))
        await self._calls.once("DELETE", f"/instances/{name}")
        await self._end()

    async def _end(self) -> None:
        if self._beating is not None:
            self._beating.cancel()
        await self._http.stop(0.0)
        await self.proxy.link.stop()

    async def _beat(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _announce(self) -> bool:
        self._sequence += 1
        said = {
            "address": str(self.proxy.address),
            "born": self._born_ms,
            "information": {
                "service": SERVICE,
                "version": "v1",
                "zone": ZONES[self._number % len(ZONES)],
                "slots": 8,
            },
            "status": {
                "state": self._state,
                "sequence": self._sequence,
                "cold_remaining_s": 0,
            },
        }
        answer = await self._calls.once("PUT", f"/instances/{self.name}", said)
        return answer is not None and answer.status == 200

    async def _handle(self, request: Request) -> Response:
        async for _ in request.body:
            continue
        attempt = request.header(b"x-attempt-id") or ""
        echo = (b"x-attempt-id", attempt.encode())
        if request.header(b"x-expected-instance") != self.name:
            headers = (echo, (b"x-not-executed", b"1"))
            return Response(421, (*headers, (b"content-length", b"0")), b"")
        account = request.header(b"x-tenant") or ""
        self._ledger.run(attempt, self.name, account)
        await asyncio.sleep(self._rng.uniform(0.005, 0.08))
        body = attempt.encode()
        headers = (echo, (b"x-response-signature", body))
        length = (b"content-length", str(len(body)).encode())
        return Response(200, (*headers, length), body)


class Caller:
    """Send requests, several on a connection, to VMs that look-ups name."""

    def __init__(
        self,
        entries: list[Proxied],
        listed: Callable[[], list[int]],
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        self._entries = entries
        self._listed = listed
        self._ledger = ledger
        self._rng = rng

    async def run(self, key: str, pause_s: float) -> None:
        """Send until cancelled."""
        while True:
            listed = self._listed()
            if not listed:
                await asyncio.sleep(0.1)
                continue
            try:
                await self._use_connection(
                    self._rng.choice(listed), key, pause_s
                )
            except (ConnectFailed, ExchangeFailed, OSError):
                await asyncio.sleep(0.05)

    async def _use_connection(
        self, entry: int, key: str, pause_s: float
    ) -> None:
        conn = await ClientConnection.open(
            self._entries[entry].address, CALL_TIMEOUT_S
        )
        try:
            for _ in range(REUSES):
                await self._exchange(conn, entry, key)
                if not conn.is_reusable:
                    return
                await asyncio.sleep(self._rng.expovariate(1 / pause_s))
        finally:
            conn.close()

    async def _exchange(
        self, conn: ClientConnection, entry: int, key: str
    ) -> None:
        attempt = uuid.UUID(int=self._rng.getrandbits(128)).hex
        safe = self._rng.random() < 0.5
        if not safe:
            self._ledger.unsafe.add(attempt)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                answer = await send(conn, attempt, key, safe=safe)
        except TimeoutError:
            raise ExchangeFailed("no answer in time") from None
        except ExchangeFailed:
            self._ledger.broken.append((attempt, entry, time.monotonic()))
            raise
        body = answer.body if isinstance(answer.body, bytes) else b""
        signature = answer.header(b"x-response-signature")
        self._ledger.answer(attempt, answer.status, body, signature)


async def send(
    conn: ClientConnection, attempt: str, key: str, *, safe: bool
) -> Response:
    """Return the whole answer to one request."""
    headers = (
        (b"host", HOST.encode()),
        (b"x-attempt-id", attempt.encode()),
        (b"x-key", key.encode()),
        (b"x-affinity-key", attempt[:1].encode()),
        (b"x-deadline-remaining", b"3000"),
    )
    if safe:
        answer = await conn.exchange("GET", "/safe/x", headers)
    else:
        length = ((b"content-length", b"4"),)
        answer = await conn.exchange(
            "POST", "/unsafe/x", (*headers, *length), b"body"
        )
    return Response(answer.status, answer.headers, await read_body(answer))


class Operator:
    """Publish versions, each with another key, and read them back."""

    def __init__(
        self, calls: ControlCalls, ledger: Ledger, rng: random.Random
    ) -> None:
        self._calls = calls
        self._ledger = ledger
        self._rng = rng
        self._version = FIRST_VERSION

    @property
    def key(self) -> str:
        """Return the key that came with the newest version."""
        return f"k{self._version}"

    @property
    def withdrawn(self) -> str:
        """Return a key that the newest version has no more."""
        return f"k{FIRST_VERSION}"

    async def publish(self) -> None:
        """Publish the first configuration."""
        await self._order("PUT", configuration(FIRST_VERSION), "00000000")

    async def change(self) -> None:
        """Publish the next version."""
        on = f"{self._version:08x}"
        self._version += self._rng.choice((1, 2, 5))
        body = {
            "version": f"{self._version:08x}",
            "upsert": {"tenants": [account("big", self.key, 0, 0)]},
            "remove": {},
        }
        await self._order("PATCH", body, on)

    async def _order(self, method: str, body: Any, on: str) -> None:
        status = await self._calls.until_clear(
            method, "/configuration", body, on
        )
        if status != 200:
            self._ledger.findings.append(f"{method} on {on} got {status}")
        self._ledger.acknowledged = self._version

    async def read(self) -> int | None:
        """Return the version read; it has all that was acknowledged."""
        least = self._ledger.acknowledged
        answer = await self._calls.once("GET", "/configuration")
        if answer is None or answer.status != 200:
            return None
        assert isinstance(answer.body, bytes), "answers are read whole"
        version = int(json.loads(answer.body)["version"], 16)
        if version < least:
            self._ledger.findings.append(
                f"read {version} after {least} was acknowledged"
            )
        return version


def account(
    name: str, key: str, rate_per_s: float, burst: float
) -> dict[str, Any]:
    """Return a client account as operators send it."""
    return {
        "name": name,
        "api_keys": ["stable" if name == "big" else "few", key],
        "priority": 0,
        "requests_per_s": rate_per_s,
        "burst": burst,
        "home_regions": [],
    }


def configuration(version: int) -> dict[str, Any]:
    """Return a whole configuration."""
    paths: list[dict[str, Any]] = [
        {
            "name": kind,
            "path_prefix": f"/{kind}/",
            "kind": kind,
            "timeout_s": 3.0,
            "target_latency_s": 0.5,
            "priority": 0,
            "service": SERVICE,
            "attempts": 2,
            "anonymous_access": False,
            "cache_affinity": True,
            "home_regions": [],
        }
        for kind in ("safe", "unsafe")
    ]
    return {
        "version": f"{version:08x}",
        "services": [
            {
                "name": SERVICE,
                "health_check_path": "/health",
                "connection_limit": 300,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 1.0,
                "cold_per_s": 50.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "tenants": [
            account("big", f"k{version}", 0, 0),
            account("small", "other", RATE_PER_S, BURST),
        ],
        "hosts": [{"host": HOST, "paths": paths}],
    }
