"""Wire a control replica that publishes a deployment."""

from collections.abc import Callable
import random
import secrets
import signal

from wigeonford._compose_shared import metrics_server, OPEN_SECRET, Seeds
from wigeonford._loop_watch import LoopWatch
from wigeonford.control import (
    ColdClock,
    ControlDaemon,
    ElectionTiming,
    GroupService,
    LogFileStore,
    PartService,
    RaftReplica,
    Replica,
    Service,
    TargetService,
    ViewService,
)
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    Handler,
    HttpServer,
)
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import (
    Address,
    CallerLimits,
    ControlMember,
    ControlSettings,
    parse_address,
    Secrets,
    SteerControlSettings,
)

ELECTION_MIN_S = 0.7
ELECTION_MAX_S = 1.7
"""Some round trips between regions beyond the heartbeat's 0.2 s: a VM of
its own runs each replica, and days are short."""

EPOCH_BITS = 48
"""Enough that two runs of a replica never have the same number."""
BuildControlApi = Callable[[Replica, TargetService, EventLog], Handler]


class MetricsService:
    """Serve a control replica's metrics beside its other services."""

    def __init__(self, server: HttpServer, address: Address) -> None:
        self._server = server
        self._address = address

    def attach(self, _server: PeerServer) -> None:
        """Return: peers ask for nothing here."""

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start(self._address)

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop(0.0)


def build_steer_control(
    cfg: SteerControlSettings,
    seeds: Seeds,
    build_api: BuildControlApi,
    log: EventLog,
) -> ControlDaemon:
    """Return a control replica that publishes a deployment."""
    name = str(cfg.peer_address)
    log = log.bind(vm=cfg.name)
    members = cfg.seeds if cfg.may_found and name in cfg.seeds else ()
    control = ControlSettings(
        name=name,
        region="",
        data_folder=cfg.data_folder,
        secrets=Secrets(*[OPEN_SECRET] * 4),
        members=tuple(
            ControlMember(seed, "", parse_address(seed)) for seed in members
        ),
        operator_address=cfg.api_address,
        peer_address=cfg.peer_address,
    )

    def connect(address: Address) -> PeerClient:
        return PeerClient(name, address, OPEN_SECRET, log)

    store = LogFileStore(cfg.data_folder)
    if store.dropped_bytes:
        log.emit(Event.LOG_TAIL_DROPPED, bytes=store.dropped_bytes)
    peers = PeerServer(OPEN_SECRET, log)
    replica = RaftReplica(
        control,
        store,
        connect,
        log,
        wanted_voters=cfg.wanted_voters,
        timing=ElectionTiming(ELECTION_MIN_S, ELECTION_MAX_S),
    )
    replica.attach(peers)
    cold = ColdClock()
    targets = TargetService(replica, cold, log)
    group = GroupService(
        name,
        replica,
        seeds,
        connect,
        log,
        random.Random(),
        lambda: signal.raise_signal(signal.SIGTERM),
    )
    metrics = Metrics()
    services: tuple[Service, ...] = (
        LoopWatch(metrics, log),
        ViewService(
            replica,
            cold,
            group.members,
            log,
            region=cfg.region,
            availability_zone=cfg.availability_zone,
            epoch=secrets.randbits(EPOCH_BITS),
        ),
        targets,
        PartService(replica, log),
        group,
    )
    if cfg.metrics_address is not None:
        server = metrics_server(metrics, log)
        services = (*services, MetricsService(server, cfg.metrics_address))
    http = HttpServer(
        build_api(replica, targets, log), CallerLimits(body_bytes=1 << 26), log
    )
    return ControlDaemon(control, replica, services, peers, http, log)
