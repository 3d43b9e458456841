"""An entry VM that steers a deployment: start and graceful shutdown."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Final, Protocol

from wigeonford._tasks import cancel_task, read_arrived, run_supervised
from wigeonford.deployment import Deployment
from wigeonford.events import Event, EventLog
from wigeonford.http import HttpServer
from wigeonford.messages.steering import EntryStatus
from wigeonford.settings import (
    Address,
    CallerLimits,
    SteerEntrySettings,
)
from wigeonford.steer._attempt import TargetConnections
from wigeonford.steer._follower import ViewFollower
from wigeonford.steer._forwarder import Forwarder
from wigeonford.steer._quota_reporter import QuotaReporter
from wigeonford.steer._shutdown import ShutdownPlan
from wigeonford.steer._target_records import TargetRecords
from wigeonford.steer._view import View

RELAY_HEAD_BYTES: Final = 4096
"""Room for the headers that an entry VM adds for another one."""
SWEEP_INTERVAL_S: Final = 0.5
"""Pause between searches for idle connections."""


class Readiness:
    """Hold whether this VM accepts callers' requests."""

    def __init__(self, describe: Callable[[bool], EntryStatus]) -> None:
        self._describe = describe
        self._deployment_known = False
        self._stopping = False

    @property
    def ready(self) -> bool:
        """Return whether callers may connect."""
        return self._deployment_known and not self._stopping

    @property
    def status(self) -> EntryStatus:
        """Return this VM's status as it is sent to control."""
        return self._describe(self.ready)

    def mark_deployment_known(self) -> None:
        """Record that a deployment is known."""
        self._deployment_known = True

    def mark_stopping(self) -> None:
        """Record that the shutdown has begun."""
        self._stopping = True


class Component(Protocol):
    """Run in the background beside the servers."""

    async def start(self) -> None:
        """Start the component."""

    async def stop(self) -> None:
        """Stop the component."""


class SteerDaemon:
    """Serve callers' requests, look-ups and the readiness check.

    The first of `fronts` serves callers, the others serve entry VMs.
    """

    def __init__(
        self,
        cfg: SteerEntrySettings,
        readiness: Readiness,
        follower: ViewFollower,
        reporter: QuotaReporter,
        target_records: TargetRecords,
        connections: tuple[TargetConnections, ...],
        servers: tuple[tuple[HttpServer, Address], ...],
        forwarder: Forwarder,
        fronts: tuple[tuple[HttpServer, Address], ...],
        components: tuple[Component, ...],
        log: EventLog,
    ) -> None:
        self._cfg = cfg
        self._readiness = readiness
        self._follower = follower
        self._components: tuple[Component, ...] = (
            follower,
            reporter,
            *components,
        )
        self._target_records = target_records
        self._connections = connections
        self._servers = servers
        self._forwarder = forwarder
        self._fronts = tuple(server for server, _ in fronts)
        self._front_addresses = tuple(address for _, address in fronts)
        self._log = log
        self._sweeper: asyncio.Task[None] | None = None
        follower.add_view_listener(self._apply_view)

    async def start(self) -> None:
        """Start serving; look-ups name this VM once it knows a deployment."""
        for server, address in self._servers:
            await server.start(address)
        for front, address in zip(
            self._fronts, self._front_addresses, strict=True
        ):
            await front.start(address)
        try:
            for component in self._components:
                await component.start()
        except asyncio.CancelledError:
            # Callers may have connected.
            await self._stop_fronts(0.0)
            raise
        self._sweeper = asyncio.create_task(
            run_supervised(self._sweep, self._log)
        )
        self._log.emit(
            Event.STARTED,
            address=str(self._cfg.address),
            zone=self._cfg.availability_zone,
            seeds=list(self._cfg.seeds),
        )

    async def stop(self) -> None:
        """Disappear from look-ups, finish running requests, then end."""
        plan = ShutdownPlan(time.monotonic(), self._cfg.grace_s)
        self._readiness.mark_stopping()
        self._forwarder.begin_shutdown(plan)
        for front in self._fronts:
            front.drain()
        await self._report_stop(_until(plan.unlisted_at_s))
        await asyncio.sleep(_until(plan.unlisted_at_s))
        # Where links are full, requests arrive seconds after they were sent.
        await asyncio.gather(
            *(
                front.wait_until_deserted(_until(plan.finish_by_s))
                for front in self._fronts
            )
        )
        # Callers that seemed quiet may have sent requests meanwhile.
        await asyncio.gather(
            *(front.close(_until(plan.finish_by_s)) for front in self._fronts)
        )
        await read_arrived()
        closing = asyncio.create_task(
            self._stop_fronts(_until(plan.close_at_s))
        )
        ended_count = self._forwarder.end_unfinished()
        self._log.emit(
            Event.FRONT_CLOSED, ended=ended_count, cut=await closing
        )
        await cancel_task(self._sweeper)
        timeout_s = _until(plan.end_by_s)
        await asyncio.gather(
            self._stop_components(timeout_s), self._stop_servers(timeout_s)
        )
        await self._forwarder.close()
        for connections in self._connections:
            connections.close()

    async def _stop_fronts(self, timeout_s: float) -> int:
        """Stop serving requests; return how many were cut off."""
        return sum(
            await asyncio.gather(
                *(front.stop(timeout_s) for front in self._fronts)
            )
        )

    async def _report_stop(self, timeout_s: float) -> None:
        """Tell control of the stop, which goes on whatever comes of that."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._follower.report_status()
        except Exception as exc:
            self._log.emit(
                Event.TASK_FAILED,
                detail="control was not told of the stop",
                exc_info=exc,
            )

    async def _stop_components(self, timeout_s: float) -> None:
        """Stop what runs in the background; control may not answer it."""
        try:
            async with asyncio.timeout(timeout_s):
                results = await asyncio.gather(
                    *(component.stop() for component in self._components),
                    return_exceptions=True,
                )
            for result in results:
                if isinstance(result, Exception):
                    self._log.emit(Event.TASK_FAILED, exc_info=result)
        except TimeoutError:
            self._log.emit(
                Event.TASK_FAILED, detail="control did not take leases back"
            )

    async def _stop_servers(self, timeout_s: float) -> None:
        """Stop the servers beside the front; their callers may linger."""
        servers = [server for server, _ in self._servers]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.gather(*(server.stop(0.0) for server in servers))
        except TimeoutError:
            self._log.emit(
                Event.CONNECTIONS_ABORTED,
                count=sum(server.connection_count for server in servers),
            )
            await asyncio.gather(*(server.abort() for server in servers))

    def _apply_view(self, view: View) -> None:
        now_s = time.monotonic()
        for address in self._target_records.apply_changes(
            view.changed, view.removed, self._cfg.zones, now_s
        ):
            for connections in self._connections:
                connections.close_idle_to(address)
        self._target_records.apply_evacuations(
            view.taken_back, view.services, now_s
        )
        limits = caller_limits(view.deployment, self._cfg.max_file_descriptors)
        front, *peer_fronts = self._fronts
        front.limits = limits
        for peer_front in peer_fronts:
            peer_front.limits = dataclasses.replace(
                limits, head_bytes=limits.head_bytes + RELAY_HEAD_BYTES
            )
        if not self._readiness.ready:
            self._readiness.mark_deployment_known()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for connections in self._connections:
                connections.close_idle()


def _until(at_s: float) -> float:
    """Return the time until a moment, 0 if it has passed."""
    return max(0.0, at_s - time.monotonic())


CALLER_DESCRIPTOR_FRACTION: Final = 0.6
"""Fraction of the file descriptors that callers' connections may use."""
CHANGE_LAG_S: Final = 6.0
"""Time within which a change is in force everywhere. Callers may go by a
raised idle timeout before this VM does."""


def caller_limits(
    deployment: Deployment, max_file_descriptors: int
) -> CallerLimits:
    """Return the limits of callers' requests and connections."""
    limits = deployment.limits
    connections = int(max_file_descriptors * CALLER_DESCRIPTOR_FRACTION)
    return CallerLimits(
        head_bytes=limits.head_bytes,
        body_bytes=limits.body_bytes,
        head_timeout_s=limits.head_timeout_s,
        keep_alive_s=limits.idle_timeout_s + CHANGE_LAG_S,
        connections=connections,
        connections_per_address=connections,
    )
