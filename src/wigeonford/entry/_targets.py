"""The owner's side: announcements of targets and grants of their slots."""

import asyncio
from collections.abc import Callable
import time
from typing import Final

from wigeonford.entry._config import ConfigFollower, FRESH_LEASE_S
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._registry import Target, TargetRegistry
from wigeonford.errors import Code, PeerError, RequestRefused
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.peer import (
    Done,
    PeerServer,
    SlotCall,
    TargetAnnounce,
    TargetGone,
)
from wigeonford.policy import (
    SLOT_TERM_S,
    SlotAnswer,
    SlotAsk,
    SlotBook,
    TargetOffer,
)

SPREAD_TIMEOUT_S: Final = 1.0
SWEEP_INTERVAL_S: Final = 0.5

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

    def _record(self, message: TargetAnnounce) -> None:
        now_s = time.monotonic()
        known = self._registry.find(f"{message.host}:{message.port}")
        target = self._registry.announce(message, now_s)
        if target.leaving:
            self._leave(target, Event.TARGET_LEFT)
            return
        if known is None or known.leaving:
            self._log.emit(Event.TARGET_ANNOUNCED, target=target.target_id)
        offer = TargetOffer(
            target.target_id,
            target.service,
            target.side,
            target.slots,
            target.sequence,
        )
        self._book.put(offer, now_s, is_new=message.first)

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
        for target_id in self._book.owned():
            if self._peers.owner(target_id) != self._peers.name:
                self._book.remove(target_id)
                self._registry.forget(target_id)


def _ignore(_record: SlotCall | TargetGone) -> None:
    return
