"""The entry daemon: listeners and tasks of one entry VM."""

import asyncio
import time
from typing import Final

from wigeonford.entry._claims import ControlClaims
from wigeonford.entry._config import ConfigFollower, FRESH_LEASE_S
from wigeonford.entry._dispatch import Dispatcher
from wigeonford.entry._front import Front
from wigeonford.entry._limiter import LeasedShareLimiter
from wigeonford.entry._link_leases import LinkLeases
from wigeonford.entry._lookup import LOOKUP_LIFETIME_S
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._slots import SlotTable
from wigeonford.entry._suspects import Suspects
from wigeonford.entry._targets import TargetDirectory
from wigeonford.errors import PeerError
from wigeonford.events import Event, EventLog
from wigeonford.http import HttpServer
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.object import LeaveRoster, Member
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import EntrySettings
from wigeonford.tls import server_context

LINGER_S: Final = LOOKUP_LIFETIME_S + FRESH_LEASE_S
"""How long a VM serves on; others may list it until their lease ends."""

STOP_GRACE_MARGIN_S: Final = 10.0
LEAVE_TIMEOUT_S: Final = 2.0
LEAVE_RETRY_S: Final = 0.5


class Announcer:
    """Describe this VM to control, once its listeners are bound."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg = cfg
        self._generation = time.time_ns()
        self._member: Member | None = None

    def describe(self) -> Member | None:
        """Return this VM's place on the roster; None while it stops."""
        return self._member

    def listen(self, host: str, port: int, peer_port: int) -> None:
        """Begin to announce the listeners."""
        self._member = Member(
            self._cfg.name,
            self._cfg.availability_zone,
            host,
            port,
            peer_port,
            self._generation,
        )

    def leave(self) -> LeaveRoster:
        """Stop announcing; return the message that says so."""
        self._member = None
        return LeaveRoster(self._cfg.name, self._generation)


class EntryDaemon:
    """Run an entry VM."""

    def __init__(
        self,
        cfg: EntrySettings,
        announcer: Announcer,
        config: ConfigFollower,
        region_peers: RegionPeers,
        targets: TargetDirectory,
        slots: SlotTable,
        suspects: Suspects,
        limiter: LeasedShareLimiter,
        links: LinkLeases,
        dispatcher: Dispatcher,
        front: Front,
        http: HttpServer,
        peers: PeerServer,
        control: tuple[PeerClient, ...],
        checks: Checks,
        claims: ControlClaims,
        log: EventLog,
    ) -> None:
        self._cfg = cfg
        self._checks = checks
        self._announcer = announcer
        self._config = config
        self._region_peers = region_peers
        self._targets = targets
        self._slots = slots
        self._suspects = suspects
        self._limiter = limiter
        self._links = links
        self._dispatcher = dispatcher
        self._front = front
        self._http = http
        self._peers = peers
        self._control = control
        self._claims = claims
        self._log = log
        self.address = cfg.address
        self.peer_address = cfg.peer_address

    @property
    def config(self) -> ConfigFollower:
        """Return the follower of the configuration."""
        return self._config

    async def start(self) -> None:
        """Serve; return once the configuration is there."""
        self._targets.attach(self._peers)
        self._slots.attach(self._peers)
        self._suspects.attach(self._peers)
        self._config.attach(self._peers)
        self._limiter.attach(self._peers)
        self._links.attach(self._peers)
        self.peer_address = await self._peers.start(
            self._cfg.peer_address,
            server_context(self._cfg.tls, require_peer=True),
        )
        self.address = await self._http.start(
            self._cfg.address, server_context(self._cfg.tls)
        )
        self._announcer.listen(
            self.address.host, self.address.port, self.peer_address.port
        )
        await self._config.start()
        await self._targets.start()
        await self._slots.start()
        await self._limiter.start()
        await self._links.start()
        self._log.emit(
            Event.STARTED,
            address=str(self.address),
            peer=str(self.peer_address),
        )

    async def stop(self, linger_s: float = LINGER_S) -> None:
        """Leave the look-ups, serve on for a while, finish, then stop."""
        self._front.drain(self._cfg.name)
        self._http.drain()
        leaving = asyncio.create_task(self._leave_roster())
        await asyncio.sleep(linger_s)
        cut = await self._http.stop(self._grace_s())
        await self._slots.return_unused()
        await self._targets.hand_over_all()
        if not leaving.done():
            await asyncio.wait([leaving], timeout=LEAVE_TIMEOUT_S)
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        await self._claims.stop()
        await self._close_links()
        self._checks.require(
            cut == 0, Invariant.STOP_CUTS_NOTHING, f"{cut} requests"
        )

    def _grace_s(self) -> float:
        """Return how long the longest request may still take."""
        services = self._config.current.objects.services.values()
        longest_s = max((s.timeout_s for s in services), default=0.0)
        return longest_s + STOP_GRACE_MARGIN_S

    async def crash(self) -> None:
        """Drop everything at once, as a process does that is killed."""
        self._announcer.leave()
        await self._http.stop(0.0)
        await self._close_links()

    async def _close_links(self) -> None:
        await self._config.stop()
        await self._limiter.stop()
        await self._links.stop()
        await self._region_peers.stop()
        await self._peers.stop()
        self._dispatcher.close()
        for link in self._control:
            await link.close()

    async def _leave_roster(self) -> None:
        """Tell control until it has confirmed."""
        message = self._announcer.leave()
        while not await self._tell_control(message):
            self._log.emit(Event.LEAVE_UNCONFIRMED)
            await asyncio.sleep(LEAVE_RETRY_S)

    async def _tell_control(self, message: LeaveRoster) -> bool:
        for link in self._control:
            try:
                await link.request(message, LEAVE_TIMEOUT_S)
                return True
            except PeerError as exc:
                self._log.emit(Event.PEER_LOST, detail=exc.detail)
        return False
