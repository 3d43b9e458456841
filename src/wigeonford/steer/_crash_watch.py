"""Find out whether targets crash under this VM's requests.

An attempt that breaks off may be the end of an idle connection, of one
response or of the target. Only a target that accepts no further connection
has crashed, so it is asked for one. If no other target near it accepts one
either, the links or the zone have failed, and no request is to blame. Nor is
one if another entry VM connects to it.
"""

import asyncio
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
    Coroutine,
)
from typing import Any, Final

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


FindWitnesses = Callable[[TargetRecord], Collection[TargetRecord]]
"""Return targets near a target that fail with it only if their common links or
zone do; none if there is no other target."""


AskPeer = Callable[[TargetRecord], Awaitable[bool]]
"""Return whether another entry VM connects to a target."""


async def _ask_nobody(_record: TargetRecord) -> bool:
    return False


class CrashWatch:
    """Follow attempts to their end, and count the targets' crashes."""

    def __init__(
        self,
        suspects: SuspectTable,
        target_connections: TargetConnections,
        metrics: Metrics,
        log: EventLog,
        clock: Callable[[], float],
        find_witnesses: FindWitnesses = lambda _: (),
        ask_peer: AskPeer = _ask_nobody,
    ) -> None:
        self._ask_peer = ask_peer
        self._find_witnesses = find_witnesses
        self._suspects = suspects
        self._target_connections = target_connections
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._proofs: dict[str, asyncio.Task[bool]] = {}
        self._watches: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """End the probes and the watches of given-up attempts."""
        await cancel_tasks(
            [
                *self._probes.values(),
                *self._proofs.values(),
                *self._watches.values(),
            ]
        )

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
            if self._suspects.has_flights(
                record.incarnation, now_s
            ) and await self._has_crashed(record):
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
            has_crashed = await self._has_crashed(record)
        except BaseException:
            self.abandon(flight, record)
            raise
        if has_crashed:
            self._record_crash(record, opened_at_s)
        else:
            self._suspects.end(flight, self._clock())

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
            if ended and await self._has_crashed(record):
                self._record_crash(record, opened_at_s)
            elif ended:
                await asyncio.sleep(WATCH_PAUSE_S)

    async def _has_crashed(self, record: TargetRecord) -> bool:
        """Return whether a target is gone, and others near it aren't."""
        if await self._probe(record):
            return False
        return await self._is_proven(record)

    async def _is_proven(self, record: TargetRecord) -> bool:
        """Return whether a target that accepts no connection has crashed.

        Attempts that broke at the same time share one answer.
        """
        return await _share(
            self._proofs,
            record.incarnation,
            lambda: self._ask_witnesses(record),
        )

    async def _ask_witnesses(self, record: TargetRecord) -> bool:
        """Return whether targets near another one still accept connections.

        The only target has no witness; its end counts as it is.
        """
        witnesses = self._find_witnesses(record)
        if not witnesses:
            return True
        if any(await asyncio.gather(*map(self._probe, witnesses))):
            # Links that were lost may have come back in between.
            return not (
                await self._probe(record) or await self._ask_peer(record)
            )
        self._log.emit(
            Event.CRASH_UNPROVEN,
            target=record.target_id,
            zone=record.zone,
            witnesses=[witness.target_id for witness in witnesses],
        )
        return False

    async def _probe(self, record: TargetRecord) -> bool:
        """Return whether a target accepts connections.

        Those who ask at the same time share one probe.
        """
        return await _share(
            self._probes,
            record.incarnation,
            lambda: self._target_connections.accepts_connections(record),
        )

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


async def _share(
    tasks: dict[str, asyncio.Task[bool]],
    key: str,
    start: Callable[[], Coroutine[Any, Any, bool]],
) -> bool:
    """Return the result of a task that all who ask meanwhile share."""
    task = tasks.get(key)
    if task is None:
        task = tasks[key] = asyncio.create_task(start())
        task.add_done_callback(lambda _: tasks.pop(key, None))
    return await asyncio.shield(task)
