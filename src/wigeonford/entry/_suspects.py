"""Poison requests: those in flight at targets when these crash."""

import asyncio
import contextlib
import time
from typing import Final

from wigeonford.entry._region_peers import RegionPeers
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import ClientConnection, ConnectFailed
from wigeonford.messages.steering import ReportSuspects
from wigeonford.peer import Done, PeerServer
from wigeonford.settings import parse_address
from wigeonford.suspects import Flight, SuspectTable

PROBE_TIMEOUT_S: Final = 0.2
BROADCAST_TIMEOUT_S: Final = 1.0
SAME_CRASH_S: Final = 1.0
"""Time within which crashes at one address are the same one: targets take
longer to start again."""
LATE_CHECK_DELAY_S: Final = 0.5
"""Time after which a target is checked whose caller has left."""


class PoisonRequests:
    """Reject requests that are suspected of crashing targets."""

    def __init__(self, peers: RegionPeers, log: EventLog) -> None:
        self._peers = peers
        self._log = log
        self._suspects = SuspectTable(peers.name)
        self._suspects.on_report = self._broadcast
        self._sent_sequence = 0
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._late_checks: set[str] = set()

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(ReportSuspects, self._receive)

    def require_allowed(self, fingerprint: bytes, *, sent: bool) -> None:
        """Raise `RequestRejected` for a request in quarantine.

        `sent` says that a target may have received an earlier attempt.
        """
        now_s = time.monotonic()
        standing = self._suspects.standing(fingerprint, now_s)
        if standing.wait_s > 0:
            self._log.emit(
                Event.REQUEST_QUARANTINED,
                fingerprint=fingerprint.hex(),
                crashes=standing.describe_crashes(now_s),
            )
            raise RequestRejected(
                Code.QUARANTINED,
                run_state=RunState.UNKNOWN if sent else RunState.NOT_RUN,
                retry_after_s=None if sent else standing.wait_s,
            )

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a target crashed during a request."""
        standing = self._suspects.standing(fingerprint, time.monotonic())
        return bool(standing.crashes)

    def begin(self, target_id: str, fingerprint: bytes) -> Flight:
        """Record that a request is sent to a target."""
        return self._suspects.begin(target_id, fingerprint, time.monotonic())

    def end(self, flight: Flight) -> None:
        """Record that a target has finished a request."""
        self._suspects.end(flight, time.monotonic())

    def clear(self, fingerprint: bytes) -> None:
        """Clear a request, because a target completed its response."""
        self._suspects.clear_request(fingerprint, time.monotonic())

    async def check_crashed(self, target_id: str, fingerprint: bytes) -> bool:
        """Return whether a target whose response broke off has crashed.

        If it has, all requests in flight there become suspects. Requests
        whose connections broke at the same time share one probe.
        """
        probe = self._probes.get(target_id)
        if probe is None:
            probe = asyncio.create_task(self._probe(target_id, fingerprint))
            self._probes[target_id] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(target_id, None)
            )
        with contextlib.suppress(asyncio.CancelledError):
            crashed = await asyncio.shield(probe)
            if crashed:
                self._record_crash(target_id, fingerprint)
            return crashed
        raise asyncio.CancelledError

    def check_later(self, target_id: str, fingerprint: bytes) -> None:
        """Check a target that may go on with a request given up here."""
        if target_id not in self._late_checks:
            self._late_checks.add(target_id)
            self._peers.spawn(self._check_late(target_id, fingerprint))

    async def _check_late(self, target_id: str, fingerprint: bytes) -> None:
        try:
            await asyncio.sleep(LATE_CHECK_DELAY_S)
            await self.check_crashed(target_id, fingerprint)
        finally:
            self._late_checks.discard(target_id)

    async def _probe(self, target_id: str, fingerprint: bytes) -> bool:
        try:
            conn = await ClientConnection.open(
                parse_address(target_id), PROBE_TIMEOUT_S
            )
        except ConnectFailed:
            self._record_crash(target_id, fingerprint)
            return True
        conn.close()
        return False

    def _record_crash(self, target_id: str, fingerprint: bytes) -> None:
        now_s = time.monotonic()
        crash = self._suspects.record_crash(
            target_id, now_s - SAME_CRASH_S, now_s, frozenset({fingerprint})
        )
        if crash is not None:
            self._log.emit(
                Event.TARGET_DIED,
                target=target_id,
                suspects=len(crash.fingerprints),
            )

    def _broadcast(self) -> None:
        sequence = self._suspects.sequence
        records = self._suspects.own_records_since(
            self._sent_sequence, time.monotonic()
        )
        self._sent_sequence = sequence
        for name in self._peers.names:
            if name != self._peers.name:
                self._peers.send(
                    name, ReportSuspects(records), BROADCAST_TIMEOUT_S
                )

    async def _receive(self, report: ReportSuspects) -> Done:
        self._suspects.merge(report.records, time.monotonic())
        return Done()
