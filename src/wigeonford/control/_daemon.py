"""The control daemon: a replica, its peer server and the operator API."""

from typing import Protocol

from wigeonford.control._replica import Replica
from wigeonford.events import Event, EventLog
from wigeonford.http import HttpServer
from wigeonford.peer import PeerServer
from wigeonford.settings import ControlSettings
from wigeonford.tls import server_context

STOP_GRACE_S = 5.0


class Service(Protocol):
    """Handle peer messages that arrive at the daemon."""

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Stop serving."""


class ControlDaemon:
    """Run a control replica."""

    def __init__(
        self,
        cfg: ControlSettings,
        replica: Replica,
        services: tuple[Service, ...],
        peers: PeerServer,
        http: HttpServer,
        log: EventLog,
    ) -> None:
        self._cfg = cfg
        self._replica = replica
        self._services = services
        self._peers = peers
        self._http = http
        self._log = log
        self.operator_address = cfg.operator_address
        self.peer_address = cfg.peer_address

    @property
    def replica(self) -> Replica:
        """Return the replica that this daemon runs."""
        return self._replica

    @property
    def services(self) -> tuple[Service, ...]:
        """Return the services that this daemon runs."""
        return self._services

    async def start(self) -> None:
        """Recover the state and start serving."""
        for service in self._services:
            service.attach(self._peers)
        self.peer_address = await self._peers.start(
            self._cfg.peer_address,
            server_context(self._cfg.tls, require_peer=True),
        )
        await self._replica.start()
        for service in self._services:
            await service.start()
        self.operator_address = await self._http.start(
            self._cfg.operator_address, server_context(self._cfg.tls)
        )
        self._log.emit(
            Event.STARTED,
            operator=str(self.operator_address),
            peer=str(self.peer_address),
        )

    async def crash(self) -> None:
        """Stop without finishing any work, like a process that is killed."""
        await self._peers.abort()
        await self._http.abort()
        await self._replica.stop()
        await self._stop_services()

    async def stop(self) -> None:
        """Finish the requests in flight, then release the data folder."""
        await self._http.stop(STOP_GRACE_S)
        await self._stop_services()
        await self._peers.stop()
        await self._replica.stop()

    async def _stop_services(self) -> None:
        for service in self._services:
            await service.stop()
