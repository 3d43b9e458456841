"""Find out whether targets crash under this VM's requests.

An attempt that breaks off may be the end of an idle connection, of one
response or of the target. Only a target that accepts no further connection
has crashed, so it is asked for one.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from typing import Final

from wigeonford._tasks import cancel_tasks
from wigeonford.events import Event, EventLog
from wigeonford.http import ResponseBroken
from wigeonford.metrics import Metrics
from wigeonford.steer._attempt import (
    AttemptResult,
    Outcome,
    TargetConnections,
)
from wigeonford.steer._target_records import TargetRecord
from wigeonford.suspects import (
    ABANDONED_S,
    CLAIM_S,
    Flight,
    Standing,
    SuspectTable,
)

SERVER_ERROR: Final = 500
WATCH_PAUSE_S: Final = 0.5
"""Pause before a target that ended a watched connection gets another one; it
may accept no more than it has."""


class CrashWatch:
    """Follow attempts to their end, and count the targets' crashes."""

    def __init__(
        self,
        suspects: SuspectTable,
        target_connections: TargetConnections,
        metrics: Metrics,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._suspects = suspects
        self._target_connections = target_connections
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """End the probes and the watches of given-up attempts."""
        await cancel_tasks([*self._probes.values(), *self._watches.values()])

    def standing(self, fingerprint: bytes) -> Standing:
        """Return what counts against a request."""
        return self._suspects.standing(fingerprint, self._clock())

    async def may_try(self, fingerprint: bytes) -> bool:
        """Return whether this VM may send a request that needs no pause.

        Of several VMs that ask at the same time, one gets a request that has
        crashed several targets.
        """
        if not self.standing(fingerprint).needs_claim:
            return True
        self._suspects.claim(fingerprint, self._clock())
        await asyncio.sleep(CLAIM_S)
        if not self.standing(fingerprint).needs_claim:
            return True
        return self._suspects.holds_claim(fingerprint, self._clock())

    def begin(self, record: TargetRecord, fingerprint: bytes) -> Flight:
        """Record that an attempt is about to be sent."""
        return self._suspects.begin(
            record.incarnation, fingerprint, self._clock()
        )

    def withdraw(self, flight: Flight) -> None:
        """Record that an attempt ended before anything was sent."""
        self._suspects.end(flight, self._clock())

    async def settle(
        self, flight: Flight, record: TargetRecord, result: AttemptResult
    ) -> None:
        """Record how an attempt ended, once that is known.

        An attempt whose response is still streamed goes on.
        """
        now_s = self._clock()
        if result.outcome is Outcome.BROKEN:
            await self._settle_broken(flight, record, result.opened_at_s)
        elif result.outcome is Outcome.NOT_SENT:
            self._suspects.end(flight, now_s)
            if self._suspects.has_flights(record.incarnation, now_s):
                self._record_crash(record, flight.began_s)
        elif result.response is None:
            self._suspects.end(flight, now_s)
        elif isinstance(result.response.body, bytes):
            self._settle_answered(flight, result.response.status)

    def _settle_answered(self, flight: Flight, status: int) -> None:
        if status < SERVER_ERROR:
            self._suspects.clear(flight, self._clock())
        else:
            self._suspects.end(flight, self._clock())

    async def _settle_broken(
        self, flight: Flight, record: TargetRecord, opened_at_s: float
    ) -> None:
        try:
            accepts = await self._probe(record)
        except BaseException:
            self.abandon(flight, record)
            raise
        if accepts:
            self._suspects.end(flight, self._clock())
        else:
            self._record_crash(record, opened_at_s)

    async def watch_stream(
        self,
        flight: Flight,
        record: TargetRecord,
        status: int,
        body: AsyncIterator[bytes],
    ) -> AsyncIterator[bytes]:
        """Yield a streamed body; record how the attempt ended."""
        try:
            async for chunk in body:
                yield chunk
        except ResponseBroken:
            await self._settle_broken(flight, record, flight.began_s)
            raise
        except BaseException:
            self.abandon(flight, record)
            raise
        finally:
            if isinstance(body, AsyncGenerator):
                await body.aclose()
        self._settle_answered(flight, status)

    def abandon(self, flight: Flight, record: TargetRecord) -> None:
        """Record that an attempt was given up before its result.

        The target may be running it, so its end is waited for.
        """
        self._suspects.abandon(flight, self._clock())
        if record.incarnation not in self._watches:
            task = asyncio.create_task(self._watch(record))
            self._watches[record.incarnation] = task
            task.add_done_callback(
                lambda _: self._watches.pop(record.incarnation, None)
            )

    async def _watch(self, record: TargetRecord) -> None:
        try:
            await self._watch_connection(record)
        except Exception as exc:
            self._log.emit(
                Event.TASK_FAILED,
                target=record.target_id,
                detail=repr(exc),
                exc_info=exc,
            )

    async def _watch_connection(self, record: TargetRecord) -> None:
        """Watch a connection while given-up attempts may be running."""
        incarnation = record.incarnation
        while self._suspects.has_abandoned(incarnation, self._clock()):
            opened_at_s = self._clock()
            ended = await self._target_connections.wait_for_end(
                record, ABANDONED_S
            )
            if ended and not await self._probe(record):
                self._record_crash(record, opened_at_s)
            elif ended:
                await asyncio.sleep(WATCH_PAUSE_S)

    async def _probe(self, record: TargetRecord) -> bool:
        """Return whether a target accepts connections.

        Attempts that broke at the same time share one probe.
        """
        probe = self._probes.get(record.incarnation)
        if probe is None:
            probe = asyncio.create_task(
                self._target_connections.accepts_connections(record)
            )
            self._probes[record.incarnation] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(record.incarnation, None)
            )
        return await asyncio.shield(probe)

    def _record_crash(self, record: TargetRecord, opened_at_s: float) -> None:
        crash = self._suspects.record_crash(
            record.incarnation, opened_at_s, self._clock()
        )
        if crash is None:
            return
        self._metrics.target_crashes.inc({"service": record.announced.service})
        self._log.emit(
            Event.CRASH_COUNTED,
            target=record.target_id,
            crash=crash.name,
            fingerprints=[key.hex() for key in sorted(crash.fingerprints)],
        )
