"""The owner's side: announcements of targets and grants of their slots."""

import asyncio
from collections.abc import Callable, Iterator
import contextlib
import time
from typing import Final

from wigeonford.entry._config import ConfigFollower, FRESH_LEASE_S
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._registry import Target, TargetRegistry
from wigeonford.errors import Code, PeerError, RequestRefused
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.object import TargetAnnounce
from wigeonford.messages.slot import SlotCall, TargetGone, TargetHandover
from wigeonford.peer import Done, PeerServer
from wigeonford.policy import (
    SLOT_TERM_S,
    SlotAnswer,
    SlotAsk,
    SlotBook,
    TargetOffer,
)

SPREAD_TIMEOUT_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 0.5
HANDOVER_TRIES: Final = 8
HANDOVER_INTERVAL_S: Final = 0.25

CallListener = Callable[[SlotCall | TargetGone], None]


class TargetDirectory:
    """Pass announcements to their owners; grant slots of own targets."""

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
        # An owner that has been cut off grants until its lease on the
        # configuration runs out.
        self._book = SlotBook(SLOT_TERM_S, FRESH_LEASE_S)
        self._listener: CallListener = _ignore
        config.on_change(self._follow)

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(TargetAnnounce, self._take)
        server.handle(SlotAsk, self._serve)
        server.handle(TargetHandover, self._take_over)

    async def start(self) -> None:
        """Begin to expire targets."""
        self._peers.spawn(self._sweep())

    async def announce(self, message: TargetAnnounce) -> None:
        """Take an announcement of a target to the target's owner."""
        target_id = f"{message.host}:{message.port}"
        owner = self._peers.owner(target_id)
        if owner == self._peers.name:
            self._record(message)
            return
        if owner is None:
            raise RequestRefused(Code.PEER_UNREACHABLE, retry_after_s=1.0)
        try:
            await self._peers.request(owner, message, SPREAD_TIMEOUT_S)
        except PeerError as exc:
            raise RequestRefused(
                exc.code, exc.detail, retry_after_s=1.0
            ) from exc

    def serve(self, ask: SlotAsk) -> SlotAnswer:
        """Return the slots that a holder may use; raise when stale."""
        now_s = time.monotonic()
        if not self._config.is_fresh(now_s):
            raise RequestRefused(Code.CONFIG_STALE)
        before = self._book.granted(now_s)
        answer = self._book.ask(ask, now_s)
        self._checks.require(
            self._book.granted(now_s) <= max(before, self._book.bound()),
            Invariant.REGION_NOT_OVERLOADED,
            f"more than {self._book.bound()} slots granted",
        )
        for holder in self._book.under_part(ask):
            self._call(holder, recalled=False)
        for holder in self._book.over_part(ask, now_s):
            self._call(holder, recalled=True)
        return answer

    def on_call(self, listener: CallListener) -> None:
        """Call `listener` when this VM's own holder has to ask again."""
        self._listener = listener

    async def _take(self, message: TargetAnnounce) -> Done:
        owner = self._peers.owner(f"{message.host}:{message.port}")
        if owner != self._peers.name:
            raise PeerError(Code.NOT_OWNER, self._peers.name)
        self._record(message)
        return Done()

    async def _serve(self, ask: SlotAsk) -> SlotAnswer:
        return self.serve(ask)

    async def hand_over_all(self) -> None:
        """Make other VMs the owners of every target, before a stop."""
        self._peers.leave()
        await asyncio.gather(
            *(self._hand_over(handover) for handover in self._handovers())
        )

    def _handovers(self) -> Iterator[TargetHandover]:
        """Give up targets that another VM owns now; yield what it needs."""
        now_s = time.monotonic()
        for target_id in self._book.owned():
            if self._peers.owner(target_id) == self._peers.name:
                continue
            held = self._book.hand_over(target_id, now_s)
            target = self._registry.find(target_id)
            self._registry.forget(target_id)
            if held is not None and target is not None:
                yield TargetHandover(_announcement(target, now_s), held)

    async def _hand_over(self, handover: TargetHandover) -> None:
        """Tell the new owner, which may learn of the roster later."""
        known = handover.announcement
        for _ in range(HANDOVER_TRIES):
            owner = self._peers.owner(f"{known.host}:{known.port}")
            if owner is None or owner == self._peers.name:
                return
            try:
                await self._peers.request(owner, handover, SPREAD_TIMEOUT_S)
                return
            except PeerError:
                await asyncio.sleep(HANDOVER_INTERVAL_S)

    async def _take_over(self, message: TargetHandover) -> Done:
        known = message.announcement
        target_id = f"{known.host}:{known.port}"
        if self._peers.owner(target_id) != self._peers.name:
            raise PeerError(Code.NOT_OWNER, self._peers.name)
        now_s = time.monotonic()
        with contextlib.suppress(RequestRefused):
            self._registry.announce(known, now_s)
        target = self._registry.find(target_id)
        if target is not None and not target.leaving:
            self._book.take_over(_offer(target), message.held, now_s)
        return Done()

    def _record(self, message: TargetAnnounce) -> None:
        now_s = time.monotonic()
        known = self._registry.find(f"{message.host}:{message.port}")
        target = self._registry.announce(message, now_s)
        if target.leaving:
            self._leave(target, Event.TARGET_LEFT)
            return
        if known is None or known.leaving:
            self._log.emit(Event.TARGET_ANNOUNCED, target=target.target_id)
        self._book.put(_offer(target), now_s, is_new=message.first)

    def _leave(self, target: Target, event: Event) -> None:
        self._log.emit(event, target=target.target_id)
        gone = TargetGone(target.target_id, target.sequence)
        for holder in self._book.remove(target.target_id):
            self._tell(holder, gone)

    def _call(self, holder: str, *, recalled: bool) -> None:
        self._tell(holder, SlotCall(self._peers.name, recalled))

    def _tell(self, holder: str, record: SlotCall | TargetGone) -> None:
        name = holder.partition("#")[0]
        if name == self._peers.name:
            self._listener(record)
        else:
            self._peers.send(name, record, SPREAD_TIMEOUT_S)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for target in self._registry.expire(time.monotonic()):
                self._leave(target, Event.TARGET_EXPIRED)

    def _follow(self, _config: object) -> None:
        """Stop granting slots of targets that another VM owns now."""
        self._book.headroom = self._peers.headroom
        for handover in self._handovers():
            self._peers.spawn(self._hand_over(handover))


def _ignore(_record: SlotCall | TargetGone) -> None:
    return


def _offer(target: Target) -> TargetOffer:
    return TargetOffer(
        target.target_id,
        target.service,
        target.side,
        target.slots,
        target.sequence,
    )


def _announcement(target: Target, now_s: float) -> TargetAnnounce:
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
