"""Poison requests: those in flight at targets when these crash."""

import asyncio
from collections import Counter
import contextlib
import time
from typing import Final

from wigeonford.entry._region_peers import RegionPeers
from wigeonford.errors import Code, RequestRejected, RunState
from wigeonford.events import Event, EventLog
from wigeonford.http import ClientConnection, ConnectFailed
from wigeonford.messages.slot import SuspectCleared, TargetCrash
from wigeonford.peer import Done, PeerServer
from wigeonford.policy import Quarantine
from wigeonford.settings import parse_address

PROBE_TIMEOUT_S: Final = 0.2
BROADCAST_TIMEOUT_S: Final = 1.0
RETRY_AFTER_S: Final = 30.0
MAX_REPORTED_SUSPECTS: Final = 64


class PoisonRequests:
    """Reject requests that are suspected of crashing targets."""

    def __init__(self, peers: RegionPeers, log: EventLog) -> None:
        self._peers = peers
        self._log = log
        self._quarantine = Quarantine()
        self._in_flight: dict[str, Counter[bytes]] = {}
        self._probes: dict[str, asyncio.Task[bool]] = {}

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(TargetCrash, self._receive_death)
        server.handle(SuspectCleared, self._receive_cleared)

    def require_allowed(self, fingerprint: bytes, *, sent: bool) -> None:
        """Raise `RequestRejected` for a request in quarantine.

        `sent` says that a target may have received an earlier attempt.
        """
        if self._quarantine.is_quarantined(fingerprint, time.monotonic()):
            self._log.emit(
                Event.REQUEST_QUARANTINED, fingerprint=fingerprint.hex()
            )
            raise RequestRejected(
                Code.QUARANTINED,
                run_state=RunState.UNKNOWN if sent else RunState.NOT_RUN,
                retry_after_s=None if sent else RETRY_AFTER_S,
            )

    def add_in_flight(self, target_id: str, fingerprint: bytes) -> None:
        """Record that a request is in flight at a target."""
        self._in_flight.setdefault(target_id, Counter())[fingerprint] += 1

    def remove_in_flight(self, target_id: str, fingerprint: bytes) -> None:
        """Record that a target has finished a request."""
        in_flight = self._in_flight[target_id]
        in_flight[fingerprint] -= 1
        if not in_flight[fingerprint]:
            del in_flight[fingerprint]
        if not in_flight:
            del self._in_flight[target_id]

    def clear(self, fingerprint: bytes) -> None:
        """Clear a request, because a target completed its response."""
        if self._quarantine.clear(fingerprint):
            self._broadcast(SuspectCleared(fingerprint))

    async def check_crashed(self, target_id: str, fingerprint: bytes) -> bool:
        """Return whether a target whose response broke off has crashed.

        If it has, all requests in flight there become suspects. Requests
        whose connections broke at the same time share one probe.
        """
        probe = self._probes.get(target_id)
        if probe is None:
            suspects = {*self._in_flight.get(target_id, ()), fingerprint}
            probe = asyncio.create_task(self._probe(target_id, suspects))
            self._probes[target_id] = probe
            probe.add_done_callback(
                lambda _: self._probes.pop(target_id, None)
            )
        with contextlib.suppress(asyncio.CancelledError):
            return await asyncio.shield(probe)
        raise asyncio.CancelledError

    async def _probe(self, target_id: str, suspects: set[bytes]) -> bool:
        try:
            conn = await ClientConnection.open(
                parse_address(target_id), PROBE_TIMEOUT_S
            )
        except ConnectFailed:
            self._record_crash(target_id, suspects)
            return True
        conn.close()
        return False

    def _record_crash(self, target_id: str, suspects: set[bytes]) -> None:
        now_s = time.monotonic()
        self._quarantine.record_crash(target_id, suspects, now_s)
        self._log.emit(
            Event.TARGET_DIED, target=target_id, suspects=len(suspects)
        )
        reported = tuple(sorted(suspects)[:MAX_REPORTED_SUSPECTS])
        self._broadcast(TargetCrash(target_id, reported))

    def _broadcast(self, record: TargetCrash | SuspectCleared) -> None:
        for name in self._peers.names:
            if name != self._peers.name:
                self._peers.send(name, record, BROADCAST_TIMEOUT_S)

    async def _receive_death(self, record: TargetCrash) -> Done:
        self._quarantine.record_crash(
            record.target_id, record.fingerprints, time.monotonic()
        )
        return Done()

    async def _receive_cleared(self, record: SuspectCleared) -> Done:
        self._quarantine.clear(record.fingerprint)
        return Done()
