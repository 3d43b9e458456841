"""The entry daemon: listeners and tasks of one entry VM."""

import asyncio
import time
from typing import Final

from wigeonford._tasks import cancel_task
from wigeonford.entry._claims import ControlClaims
from wigeonford.entry._config import ConfigFollower, FRESH_LEASE_S
from wigeonford.entry._dispatch import Dispatcher
from wigeonford.entry._front import FrontEnd
from wigeonford.entry._limiter import LeasedQuotaLimiter
from wigeonford.entry._link_leases import LinkLeases
from wigeonford.entry._lookup import LOOKUP_LIFETIME_S
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._slots import SlotTable
from wigeonford.entry._suspects import PoisonRequests
from wigeonford.entry._targets import TargetDirectory
from wigeonford.errors import PeerError
from wigeonford.events import Event, EventLog
from wigeonford.http import HttpServer
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.object import LeaveRoster, Member
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import EntrySettings
from wigeonford.tls import server_context

DRAIN_LINGER_S: Final = LOOKUP_LIFETIME_S + FRESH_LEASE_S
"""How long a VM keeps serving after it leaves the roster.

Other VMs may list it in look-ups until their configuration lease ends, and
callers may use a look-up for its lifetime.
"""

STOP_GRACE_MARGIN_S: Final = 10.0
LEAVE_TIMEOUT_S: Final = 2.0
LEAVE_RETRY_S: Final = 0.5


class Announcer:
    """Build the description of this VM for the roster."""

    def __init__(self, cfg: EntrySettings) -> None:
        self._cfg = cfg
        self._generation = time.time_ns()
        self._member: Member | None = None

    def describe(self) -> Member | None:
        """Return the roster entry; None before `listen`, after `leave`."""
        return self._member

    def listen(self, host: str, port: int, peer_port: int) -> None:
        """Set the addresses to announce, after the listeners are bound."""
        self._member = Member(
            self._cfg.name,
            self._cfg.availability_zone,
            host,
            port,
            peer_port,
            self._generation,
        )

    def leave(self) -> LeaveRoster:
        """Stop announcing; return the message that leaves the roster."""
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
        poison_requests: PoisonRequests,
        limiter: LeasedQuotaLimiter,
        links: LinkLeases,
        dispatcher: Dispatcher,
        front: FrontEnd,
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
        self._poison_requests = poison_requests
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
        """Return the configuration follower."""
        return self._config

    async def start(self) -> None:
        """Start all parts; return once a configuration is loaded."""
        self._targets.attach(self._peers)
        self._slots.attach(self._peers)
        self._poison_requests.attach(self._peers)
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

    async def stop(self, linger_s: float = DRAIN_LINGER_S) -> None:
        """Shut down gracefully.

        Leave the roster and the look-ups, serve for `linger_s` longer, let
        running requests finish and hand the owned targets over.
        """
        self._front.drain(self._cfg.name)
        self._http.drain()
        leave_task = asyncio.create_task(self._leave_roster_until_confirmed())
        await asyncio.sleep(linger_s)
        cut_off_count = await self._http.stop(self._stop_grace_s())
        await self._slots.return_unused()
        await self._targets.hand_over_all()
        if not leave_task.done():
            await asyncio.wait([leave_task], timeout=LEAVE_TIMEOUT_S)
        await cancel_task(leave_task)
        await self._claims.stop()
        await self._close_connections()
        self._checks.require(
            cut_off_count == 0,
            Invariant.STOP_CUTS_NOTHING,
            f"{cut_off_count} requests cut off",
        )

    def _stop_grace_s(self) -> float:
        """Return how long running requests may take to finish."""
        services = self._config.current.objects.services.values()
        longest_s = max((s.timeout_s for s in services), default=0.0)
        return longest_s + STOP_GRACE_MARGIN_S

    async def crash(self) -> None:
        """Stop abruptly, as if the process had been killed."""
        self._announcer.leave()
        await self._http.abort()
        await self._close_connections()

    async def _close_connections(self) -> None:
        await self._config.stop()
        await self._limiter.stop()
        await self._links.stop()
        await self._region_peers.stop()
        await self._peers.stop()
        self._dispatcher.close()
        for link in self._control:
            await link.close()

    async def _leave_roster_until_confirmed(self) -> None:
        """Send the message until a control replica confirms it."""
        message = self._announcer.leave()
        while not await self._notify_control(message):
            self._log.emit(Event.LEAVE_UNCONFIRMED)
            await asyncio.sleep(LEAVE_RETRY_S)

    async def _notify_control(self, message: LeaveRoster) -> bool:
        for link in self._control:
            try:
                await link.request(message, LEAVE_TIMEOUT_S)
                return True
            except PeerError as exc:
                self._log.emit(Event.PEER_LOST, detail=exc.detail)
        return False
