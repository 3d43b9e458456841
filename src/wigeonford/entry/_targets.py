"""Targets owned by this VM: announcements and grants of their slots."""

import asyncio
from collections.abc import Callable, Iterator
import time
from typing import Final

from wigeonford.entry._config import ConfigFollower, FRESH_LEASE_S
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._registry import Target, TargetRegistry
from wigeonford.errors import Code, PeerError, RequestRejected
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.object import TargetAnnounce
from wigeonford.messages.slot import SlotRecall, TargetGone, TargetHandover
from wigeonford.peer import Done, PeerServer
from wigeonford.policy import (
    SLOT_TERM_S,
    SlotGrantor,
    SlotReply,
    SlotRequest,
    TargetOffer,
)

PEER_TIMEOUT_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 0.5
MAX_HANDOVER_ATTEMPTS: Final = 8
HANDOVER_INTERVAL_S: Final = 0.25

CallListener = Callable[[SlotRecall | TargetGone], None]


class TargetDirectory:
    """Route announcements to owners; grant slots of owned targets."""

    def __init__(
        self,
        registry: TargetRegistry,
        peers: RegionPeers,
        config: ConfigFollower,
        checks: Checks,
        log: EventLog,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._config = config
        self._checks = checks
        self._log = log
        # A disconnected owner may grant slots until its configuration
        # lease expires.
        self._grants = SlotGrantor(SLOT_TERM_S, FRESH_LEASE_S)
        self._listener: CallListener = _ignore_message
        config.on_change(self._apply_config)

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(TargetAnnounce, self._receive_announcement)
        server.handle(SlotRequest, self._receive_request)
        server.handle(TargetHandover, self._receive_handover)

    async def start(self) -> None:
        """Start to expire targets periodically."""
        self._peers.spawn(self._expire_periodically())

    async def announce(self, message: TargetAnnounce) -> None:
        """Send an announcement to the target's owner, or record it here."""
        target_id = f"{message.host}:{message.port}"
        owner = self._peers.owner(target_id)
        if owner == self._peers.name:
            self._apply_announcement(message)
            return
        if owner is None:
            raise RequestRejected(Code.PEER_UNREACHABLE, retry_after_s=1.0)
        try:
            await self._peers.request(owner, message, PEER_TIMEOUT_S)
        except PeerError as exc:
            raise RequestRejected(
                exc.code, exc.detail, retry_after_s=1.0
            ) from exc

    def serve(self, request: SlotRequest) -> SlotReply:
        """Return the slots that a holder may use from now on.

        Raise `RequestRejected` if the configuration is not fresh.
        """
        now_s = time.monotonic()
        if not self._config.is_fresh(now_s):
            raise RequestRejected(Code.CONFIG_STALE)
        before = self._grants.granted(now_s)
        reply = self._grants.request(request, now_s)
        self._checks.require(
            self._grants.granted(now_s)
            <= max(before, self._grants.grantable_slots()),
            Invariant.REGION_NOT_OVERLOADED,
            "granted more than the bound of "
            f"{self._grants.grantable_slots()} slots",
        )
        for holder in self._grants.holders_to_notify(request):
            self._call_holder(holder, recalled=False)
        for holder in self._grants.holders_to_recall(request, now_s):
            self._call_holder(holder, recalled=True)
        return reply

    def on_slot_call(self, listener: CallListener) -> None:
        """Call `listener` with messages for this VM's own slot holder."""
        self._listener = listener

    async def _receive_announcement(self, message: TargetAnnounce) -> Done:
        owner = self._peers.owner(f"{message.host}:{message.port}")
        if owner != self._peers.name:
            raise PeerError(Code.NOT_OWNER, self._peers.name)
        self._apply_announcement(message)
        return Done()

    async def _receive_request(self, request: SlotRequest) -> SlotReply:
        return self.serve(request)

    async def hand_over_all(self) -> None:
        """Hand every owned target over, before a graceful shutdown."""
        self._peers.stop_owning()
        await asyncio.gather(
            *(self._hand_over(handover) for handover in self._pop_handovers())
        )

    def _pop_handovers(self) -> Iterator[TargetHandover]:
        """Remove targets that another VM owns now; yield their state."""
        now_s = time.monotonic()
        for target_id in self._grants.owned():
            if self._peers.owner(target_id) == self._peers.name:
                continue
            held = self._grants.release_target(target_id, now_s)
            target = self._registry.find(target_id)
            self._registry.forget(target_id)
            if held is not None and target is not None:
                yield TargetHandover(_build_announcement(target, now_s), held)

    async def _hand_over(self, handover: TargetHandover) -> None:
        """Send a target's state to its new owner.

        Retry, because the new owner may receive the roster later.
        """
        announcement = handover.announcement
        for _ in range(MAX_HANDOVER_ATTEMPTS):
            owner = self._peers.owner(
                f"{announcement.host}:{announcement.port}"
            )
            if owner is None or owner == self._peers.name:
                return
            try:
                await self._peers.request(owner, handover, PEER_TIMEOUT_S)
                return
            except PeerError:
                await asyncio.sleep(HANDOVER_INTERVAL_S)

    async def _receive_handover(self, message: TargetHandover) -> Done:
        announcement = message.announcement
        target_id = f"{announcement.host}:{announcement.port}"
        if self._peers.owner(target_id) != self._peers.name:
            raise PeerError(Code.NOT_OWNER, self._peers.name)
        now_s = time.monotonic()
        try:
            self._registry.announce(announcement, now_s)
        except RequestRejected as exc:
            if exc.code is not Code.ANNOUNCEMENT_STALE:
                self._log.emit(
                    Event.TARGET_REFUSED, target=target_id, detail=exc.detail
                )
        target = self._registry.find(target_id)
        if target is not None and not target.leaving:
            self._grants.adopt_target(
                _build_offer(target), message.held, now_s
            )
        return Done()

    def _apply_announcement(self, message: TargetAnnounce) -> None:
        now_s = time.monotonic()
        previous = self._registry.find(f"{message.host}:{message.port}")
        target = self._registry.announce(message, now_s)
        if target.leaving:
            self._remove_target(target, Event.TARGET_LEFT)
            return
        if previous is None or previous.leaving:
            self._log.emit(Event.TARGET_ANNOUNCED, target=target.target_id)
        self._grants.add_target(
            _build_offer(target), now_s, is_new=message.first
        )

    def _remove_target(self, target: Target, event: Event) -> None:
        self._log.emit(event, target=target.target_id)
        gone = TargetGone(target.target_id, target.sequence)
        for holder in self._grants.remove_target(target.target_id):
            self._send_to_holder(holder, gone)

    def _call_holder(self, holder: str, *, recalled: bool) -> None:
        self._send_to_holder(holder, SlotRecall(self._peers.name, recalled))

    def _send_to_holder(
        self, holder: str, record: SlotRecall | TargetGone
    ) -> None:
        name = holder.partition("#")[0]
        if name == self._peers.name:
            self._listener(record)
        else:
            self._peers.send(name, record, PEER_TIMEOUT_S)

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for target in self._registry.expire(time.monotonic()):
                self._remove_target(target, Event.TARGET_EXPIRED)

    def _apply_config(self, _config: object) -> None:
        """Apply the headroom; hand over targets that another VM owns now."""
        self._grants.headroom = self._peers.headroom
        for handover in self._pop_handovers():
            self._peers.spawn(self._hand_over(handover))


def _ignore_message(_message: SlotRecall | TargetGone) -> None:
    return


def _build_offer(target: Target) -> TargetOffer:
    return TargetOffer(
        target.target_id,
        target.service,
        target.side,
        target.slots,
        target.sequence,
    )


def _build_announcement(target: Target, now_s: float) -> TargetAnnounce:
    return TargetAnnounce(
        service=target.service,
        host=target.address.host,
        port=target.address.port,
        side=target.side.value,
        slots=target.slots,
        sequence=target.sequence,
        lease_s=target.expires_at_s - now_s,
        load=target.load,
        leaving=target.leaving,
    )
