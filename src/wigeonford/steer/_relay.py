"""Have other entry VMs send requests to targets that this VM can't reach."""

import asyncio
from collections.abc import Callable, Mapping
import random
import time
from typing import Final

from msgspec.structs import replace

from wigeonford.deployment import Announcement
from wigeonford.http import ConnectFailed, ExchangeFailed, fetch
from wigeonford.messages.steering import EntryStatus, Reach
from wigeonford.settings import parse_address
from wigeonford.steer._attempt import (
    Attempt,
    AttemptResult,
    Outcome,
    TargetConnections,
)
from wigeonford.steer._entries import rank_relays
from wigeonford.steer._reach import ReachMonitor, ReachProber
from wigeonford.steer._relay_wire import (
    attach_order,
    detach_result,
    probe_headers,
    RelayOrder,
    RelayWire,
    TargetProbe,
)
from wigeonford.steer._request import RequestContext, TargetWire
from wigeonford.steer._target_records import TargetRecord

MAX_RELAYS: Final = 3
"""Other entry VMs that are asked for one request."""
RELAY_AFTER_UNREACHED: Final = 2
"""Targets that a request doesn't reach before another entry VM is asked."""
PROBING_PEERS: Final = 3
"""Other VMs that are asked for a probe; some may have lost the same links."""
PEER_PROBE_TIMEOUT_S: Final = 0.5
"""Time limit of another VM's probe of a target, and the way there."""
UNREACHED_PAUSE_S: Final = 1.0
"""How long no other VM is asked for a service whose targets none reaches."""


class RelaySender:
    """Choose other entry VMs, and send requests through them.

    `connections` are those to other entry VMs.
    """

    def __init__(
        self,
        status: Callable[[], EntryStatus],
        entries: Callable[[], Mapping[str, EntryStatus]],
        wire: TargetWire,
        secret: str,
        reach: ReachMonitor,
        prober: ReachProber,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._status = status
        self._entries = entries
        self._secret = secret
        self._reach = reach
        self._prober = prober
        self._rng = rng
        self._clock = clock
        self.connections = TargetConnections(RelayWire(wire))
        self._records: dict[str, TargetRecord] = {}
        self._paused_until_s: dict[str, float] = {}

    def should_relay(self, ctx: RequestContext) -> bool:
        """Return whether a request needs another entry VM."""
        return not ctx.relay_origin and (
            self._reach.state is not Reach.DIRECT
            or ctx.not_reached_count >= RELAY_AFTER_UNREACHED
        )

    def needs_proof(self, ctx: RequestContext) -> bool:
        """Return whether a request needs proof that its target is reached.

        One that must not run twice can't be sent again once its first byte is
        out.
        """
        return not ctx.route.kind.is_idempotent and self._reach.is_uncertain()

    def choose(self, ctx: RequestContext) -> TargetRecord | None:
        """Return the record of an entry VM to ask, None if there is none."""
        now_s = self._clock()
        if ctx.relay_origin or len(ctx.relays) >= MAX_RELAYS:
            return None
        if now_s < self._paused_until_s.get(ctx.service, now_s):
            return None
        ranked = rank_relays(
            self._entries().values(),
            self._status(),
            ctx.allowed_regions,
            ctx.relays,
            lambda name: (
                self._records[name].in_flight if name in self._records else 0
            ),
            self._rng,
        )
        for entry in ranked:
            record = self._record_of(entry)
            if not record.is_down(now_s):
                return record
        return None

    def _record_of(self, entry: EntryStatus) -> TargetRecord:
        record = self._records.get(entry.name)
        if record is None or record.announced.address != entry.relay_address:
            announced = Announcement(
                entry.name,
                born_ms=0,
                sequence=0,
                service="",
                address=entry.relay_address,
                availability_zone=entry.availability_zone,
                software="",
                slots=0,
                is_draining=False,
                cold_s=0.0,
            )
            record = TargetRecord(announced, entry.region, self._clock())
            self._records[entry.name] = record
        return record

    async def send(
        self, ctx: RequestContext, record: TargetRecord
    ) -> AttemptResult:
        """Return the result of a request that another entry VM sends.

        Raise `TimeoutError` if the time limit passes before the response.
        """
        order = RelayOrder(
            self._status().name,
            ctx.route.name,
            ctx.service,
            ctx.account_name,
            ctx.sent,
        )
        ctx.relays.add(record.target_id)
        record.in_flight += 1
        try:
            result = await self.connections.send(
                Attempt(
                    attach_order(ctx.req, order, self._secret),
                    record,
                    ctx.account_name,
                    ctx.body,
                    ctx.deadline_s,
                    on_send=ctx.begin_sending,
                )
            )
        finally:
            record.in_flight -= 1
        if result.outcome in (Outcome.NOT_SENT, Outcome.BROKEN):
            record.mark_down(self._clock(), 0.0)
        else:
            record.mark_up(self._clock(), 0.0)
        if result.response is None:
            return result
        return replace(result, response=detach_result(result.response))

    def record_served(self, target_id: str) -> None:
        """Record that another VM got a response of a target.

        If this VM can't connect to that target, its own links are cut.
        """
        if self._reach.state is Reach.LOST:
            self._prober.compare(target_id)

    async def is_reached_elsewhere(self, record: TargetRecord) -> bool:
        """Return whether one of some other entry VMs connects to a target."""
        own = self._status()
        ranked = rank_relays(
            self._entries().values(), own, None, (), lambda _: 0, self._rng
        )
        probe = TargetProbe(own.name, record.target_id)
        return any(
            await asyncio.gather(
                *(self._ask(entry, probe) for entry in ranked[:PROBING_PEERS])
            )
        )

    async def _ask(self, entry: EntryStatus, probe: TargetProbe) -> bool:
        try:
            response = await fetch(
                parse_address(entry.relay_address),
                "GET",
                "/",
                probe_headers(probe, self._secret),
                timeout_s=PEER_PROBE_TIMEOUT_S,
            )
        except (ConnectFailed, ExchangeFailed, ValueError):
            return False
        return response.status == 204

    def record_unreached(
        self, ctx: RequestContext, record: TargetRecord
    ) -> None:
        """Record that another VM doesn't reach a request's targets either.

        Once several don't, asking more would only keep callers waiting.
        """
        now_s = self._clock()
        record.mark_down(now_s, 0.0)
        if len(ctx.relays) >= MAX_RELAYS:
            self._paused_until_s[ctx.service] = now_s + UNREACHED_PAUSE_S
