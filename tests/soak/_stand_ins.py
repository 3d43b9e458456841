"""Stand-ins for callers, targets and the operator.

They use the published protocol.
"""

import asyncio
from collections.abc import Callable
import json
import random
import time
from typing import Any, Final
import uuid

from tests.soak._breaks import Break, Ending, Window
from tests.soak._observations import (
    BURST,
    DRAIN_S,
    LimitPeriod,
    Observations,
    RATE_PER_S,
)
from tests.soak._processes import ZONES
from tests.soak._requests import (
    BODY,
    HOST,
    IDLE_TIMEOUTS_S,
    make_headers,
    make_limits,
    PATHS,
    RequestPath,
    SERVICE,
    SHORT_PATHS,
)
from tests.soak._target_server import (
    make_response,
    TargetConnection,
    TargetServer,
)
from wigeonford.bench._link import LinkState, StandInLink
from wigeonford.http import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    fetch,
    read_body,
    Response,
)
from wigeonford.settings import Address

HEARTBEAT_S: Final = 0.5
CALL_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 10.0
"""It exceeds the longest stall and the time limit of a request."""
REQUESTS_PER_CONNECTION: Final = 8
"""How many requests a caller sends on one connection."""
FIRST_VERSION: Final = 1
LIMITS_CHANGE_FRACTION: Final = 0.3
"""Fraction of the changes that also change the idle timeout."""
REFUSAL_FRACTION: Final = 0.3
REPEAT_FRACTION: Final = 0.5
BREAK_OFF_FRACTION: Final = 0.3
"""Fractions of what a misbehaving target does; the rest is answered."""


class ProxiedServer:
    """A server behind a loopback proxy that injects network faults."""

    def __init__(self, address: Address) -> None:
        self.state = LinkState()
        self.link = StandInLink(address, self.state)
        self.address = address

    async def start(self) -> None:
        """Start the proxy; `address` becomes its address."""
        self.address = await self.link.start()

    async def disturb(self, disturbance: str, length_s: float) -> None:
        """Inject a network fault.

        "delay" and "one-way" last for `length_s`. "reset" closes the open
        connections; "silence" drops their data until they are closed.
        """
        if disturbance == "reset":
            self.link.reset()
            return
        if disturbance == "silence":
            self.link.blackhole_open_connections()
        self.state.delay_s = 0.3 if disturbance == "delay" else 0.0
        self.state.cut_backward = disturbance == "one-way"
        await asyncio.sleep(length_s)
        self.state.delay_s = 0.0
        self.state.cut_backward = False


class ControlClient:
    """Call the control API; each call goes to a random replica."""

    def __init__(
        self, proxies: list[ProxiedServer], rng: random.Random
    ) -> None:
        self._proxies = proxies
        self._rng = rng

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        expected_version: str = "",
    ) -> Response | None:
        """Call a random replica; return its response, or None if none came."""
        content = b"" if body is None else json.dumps(body).encode()
        headers = (
            ((b"if-match", expected_version.encode()),)
            if expected_version
            else ()
        )
        address = self._rng.choice(self._proxies).address
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await fetch(address, method, path, headers, content)
        except (ExchangeFailed, ConnectFailed, TimeoutError, OSError):
            return None

    async def call_until_settled(
        self,
        method: str,
        path: str,
        body: Any = None,
        expected_version: str = "",
    ) -> int:
        """Retry a call until a replica responds with a status below 500."""
        while True:
            response = await self.call(method, path, body, expected_version)
            if response is not None and response.status < 500:
                return response.status
            await asyncio.sleep(0.1)


class Target:
    """Serve requests and send announcements; restart as new incarnations.

    Resets reach entry VMs only from a target without a proxy.
    """

    def __init__(
        self,
        number: int,
        control: ControlClient,
        observations: Observations,
        rng: random.Random,
        *,
        is_proxied: bool = True,
    ) -> None:
        self._number = number
        self._is_proxied = is_proxied
        self._control = control
        self._observations = observations
        self._rng = rng
        self._incarnation = 0
        self._sequence = 0
        self._state = "ready"
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.is_unavailable = False
        self.is_misbehaving = False
        self._limit: str | None = None

    async def start(self) -> None:
        """Start a new incarnation."""
        self._incarnation += 1
        self._sequence = 0
        self._started_at_ms = int(time.time() * 1000)
        self._state = "ready"
        self.name = f"i-{self._number}-{self._incarnation}"
        self._server = TargetServer(self._handle)
        address = await self._server.start()
        self.proxy = ProxiedServer(address)
        await self.proxy.start()
        self._address = self.proxy.address if self._is_proxied else address
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        self.is_unavailable = False

    async def crash(self) -> None:
        """Stop without an announcement while requests may be running."""
        self.is_unavailable = True
        await self._stop()

    async def drain(self) -> None:
        """Announce draining, drain, and deregister."""
        self.is_unavailable = True
        name, self._state = self.name, "draining"
        while not await self._announce():
            await asyncio.sleep(0.1)
        self._observations.drain_began_s[name] = time.monotonic()
        await asyncio.sleep(DRAIN_S + self._rng.uniform(0.2, 2.0))
        await self._control.call("DELETE", f"/instances/{name}")
        await self._stop()

    async def state_limit(self, limit_per_s: float, length_s: float) -> None:
        """State a limit in each response for some time."""
        if self._limit is not None:
            return
        name, began_s = self.name, time.monotonic()
        self._limit = str(limit_per_s)
        await asyncio.sleep(length_s)
        self._limit = None
        self._observations.limits.append(
            LimitPeriod(name, limit_per_s, began_s, time.monotonic())
        )

    async def _stop(self) -> None:
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await self._server.stop()
        await self.proxy.link.stop()

    async def _send_heartbeats(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _announce(self) -> bool:
        self._sequence += 1
        announcement = {
            "address": str(self._address),
            "born": self._started_at_ms,
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
        response = await self._control.call(
            "PUT", f"/instances/{self.name}", announcement
        )
        return response is not None and response.status == 200

    async def _handle(
        self, path: str, headers: dict[str, str], conn: TargetConnection
    ) -> bool:
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance") != self.name:
            self._refuse(421, attempt, conn)
            return True
        if self.is_misbehaving and self._rng.random() < REFUSAL_FRACTION:
            self._refuse(self._rng.choice((421, 429, 503)), attempt, conn)
            return True
        account = headers.get("x-tenant", "")
        self._observations.record_run(attempt, self.name, account)
        if conn.refusals and self._rng.random() < REPEAT_FRACTION:
            conn.writer.write(self._rng.choice(conn.refusals).encode())
            now_s = time.monotonic()
            self._observations.target_faults.append(
                Window(self._number, now_s, now_s)
            )
        work_range_s = PATHS[path.split("/")[1]].work_range_s
        await asyncio.sleep(self._rng.uniform(*work_range_s))
        if self.is_misbehaving and self._rng.random() < BREAK_OFF_FRACTION:
            self._break_off(attempt, conn)
            return False
        if not conn.is_closed:
            self._observations.finished_s[attempt] = time.monotonic()
        head = [
            ("x-attempt-id", attempt),
            ("x-response-signature", attempt),
        ]
        if self._limit is not None:
            head.append(("server-limit", self._limit))
        conn.writer.write(make_response(200, head, attempt))
        return True

    def _refuse(
        self, status: int, attempt: str, conn: TargetConnection
    ) -> None:
        """Refuse a request.

        A misbehaving target may repeat it later, also without the id.
        """
        not_run = ("x-not-executed", "1")
        refusal = make_response(
            status, [("x-attempt-id", attempt), not_run], ""
        )
        if self.is_misbehaving:
            without_id = make_response(status, [not_run], "")
            conn.refusals += [refusal.decode(), without_id.decode()]
        conn.writer.write(refusal)

    def _break_off(self, attempt: str, conn: TargetConnection) -> None:
        """Write a part of a response and close the connection."""
        head = [
            ("x-attempt-id", attempt),
            ("x-response-signature", attempt),
        ]
        response = make_response(200, head, attempt)
        body_at = len(response) - len(attempt)
        match self._rng.choice(("head", "between", "body", "no length")):
            case "head":
                conn.writer.write(response[: self._rng.randrange(1, body_at)])
            case "between":
                conn.writer.write(response[:body_at])
            case "body":
                conn.writer.write(response[:-1])
            case _:
                part = attempt[: self._rng.randrange(len(attempt))]
                conn.writer.write(make_response(200, head) + part.encode())
                conn.reset()
                return
        if self._rng.random() < 0.5:
            conn.reset()


class Caller:
    """Send requests to entry VMs that the look-up returned.

    Several requests use the same connection.
    """

    def __init__(
        self,
        entries: list[ProxiedServer],
        listed_entries: Callable[[], list[int]],
        observations: Observations,
        rng: random.Random,
    ) -> None:
        self._entries = entries
        self._list_entries = listed_entries
        self._observations = observations
        self._rng = rng

    async def run(self, key: str, pause_s: float) -> None:
        """Send requests until cancelled."""
        while True:
            listed_entries = self._list_entries()
            if not listed_entries:
                await asyncio.sleep(0.1)
                continue
            try:
                await self._use_connection(
                    self._rng.choice(listed_entries), key, pause_s
                )
            except (ConnectFailed, ExchangeFailed, OSError):
                await asyncio.sleep(0.05)

    async def _use_connection(
        self, entry: int, key: str, pause_s: float
    ) -> None:
        conn = await ClientConnection.open(
            self._entries[entry].address, CALL_TIMEOUT_S
        )
        opened_s = previous_s = time.monotonic()
        try:
            for _ in range(REQUESTS_PER_CONNECTION):
                sent_s = time.monotonic()
                idle_s, previous_s = sent_s - previous_s, sent_s
                await self._exchange(conn, entry, key, opened_s, idle_s)
                if not conn.is_reusable:
                    return
                await asyncio.sleep(self._rng.expovariate(1 / pause_s))
        finally:
            conn.close()

    async def _exchange(
        self,
        conn: ClientConnection,
        entry: int,
        key: str,
        opened_s: float,
        idle_s: float,
    ) -> None:
        attempt = uuid.UUID(int=self._rng.getrandbits(128)).hex
        self._observations.sent_to[attempt] = entry
        path = self._rng.choice(SHORT_PATHS)
        if not path.is_idempotent:
            self._observations.unsafe.add(attempt)
        sent_s = time.monotonic()
        ending = Ending.CLOSED
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                response = await send_request(conn, attempt, key, path)
        except (ExchangeFailed, TimeoutError) as exc:
            if isinstance(exc, TimeoutError):
                ending = Ending.SILENT
            self._observations.broken.append(
                Break(
                    attempt,
                    entry,
                    opened_s,
                    sent_s,
                    time.monotonic(),
                    ending,
                    idle_s,
                    is_proxied=True,
                )
            )
            raise ExchangeFailed(ending.value) from exc
        body = response.body if isinstance(response.body, bytes) else b""
        signature = response.header(b"x-response-signature")
        self._observations.record_response(
            attempt, response.status, body, signature
        )


async def send_request(
    conn: ClientConnection, attempt: str, key: str, path: RequestPath
) -> Response:
    """Send one request; return the response with its complete body."""
    headers = make_headers(path, attempt, key)
    method, body = ("GET", b"") if path.is_idempotent else ("POST", BODY)
    response = await conn.exchange(method, f"/{path.name}/x", headers, body)
    return Response(
        response.status, response.headers, await read_body(response)
    )


class Operator:
    """Publish versions of the configuration and read them back.

    Each version replaces a key of one account; some change the idle timeout.
    """

    def __init__(
        self,
        control: ControlClient,
        observations: Observations,
        rng: random.Random,
    ) -> None:
        self._control = control
        self._observations = observations
        self._rng = rng
        self._version = FIRST_VERSION
        self._changing = asyncio.Lock()

    @property
    def key(self) -> str:
        """Return the key that the newest version added."""
        return f"k{self._version}"

    @property
    def withdrawn_key(self) -> str:
        """Return the key of the first version, which later ones withdrew."""
        return f"k{FIRST_VERSION}"

    async def publish(self) -> None:
        """Publish the first configuration."""
        await self._send_configuration(
            "PUT", make_configuration(FIRST_VERSION), "00000000"
        )

    async def change(self) -> None:
        """Publish the next version."""
        async with self._changing:
            await self._change()

    async def _change(self) -> None:
        expected_version = f"{self._version:08x}"
        self._version += self._rng.choice((1, 2, 5))
        upsert: dict[str, Any] = {
            "tenants": [make_account("big", self.key, 0, 0)]
        }
        if self._rng.random() < LIMITS_CHANGE_FRACTION:
            upsert["limits"] = make_limits(self._rng.choice(IDLE_TIMEOUTS_S))
        body = {
            "version": f"{self._version:08x}",
            "upsert": upsert,
            "remove": {},
        }
        await self._send_configuration("PATCH", body, expected_version)

    async def _send_configuration(
        self, method: str, body: Any, expected_version: str
    ) -> None:
        status = await self._control.call_until_settled(
            method, "/configuration", body, expected_version
        )
        if status != 200:
            self._observations.findings.append(
                f"{method} on {expected_version} got {status}"
            )
        self._observations.acknowledged_version = self._version

    async def read(self) -> int | None:
        """Read the configuration; return its version, or None on failure.

        An acknowledged version must not be missing from a later read.
        """
        acknowledged_version = self._observations.acknowledged_version
        response = await self._control.call("GET", "/configuration")
        if response is None or response.status != 200:
            return None
        assert isinstance(response.body, bytes), "the body is not bytes"
        version = int(json.loads(response.body)["version"], 16)
        if version < acknowledged_version:
            self._observations.findings.append(
                f"read {version} after {acknowledged_version} was acknowledged"
            )
        return version


def make_account(
    name: str, key: str, rate_per_s: float, burst: float
) -> dict[str, Any]:
    """Return a client account as JSON data of the control API."""
    return {
        "name": name,
        "api_keys": ["stable" if name == "big" else "few", key],
        "priority": 0,
        "requests_per_s": rate_per_s,
        "burst": burst,
        "home_regions": [],
    }


def make_configuration(version: int) -> dict[str, Any]:
    """Return a complete configuration."""
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
        "limits": make_limits(max(IDLE_TIMEOUTS_S)),
        "tenants": [
            make_account("big", f"k{version}", 0, 0),
            make_account("small", "other", RATE_PER_S, BURST),
        ],
        "hosts": [
            {
                "host": HOST,
                "paths": [path.as_json() for path in PATHS.values()],
            }
        ],
    }
