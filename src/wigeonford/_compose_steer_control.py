"""Wire a control replica that publishes a deployment."""

from collections.abc import Callable
from pathlib import Path
import random
import secrets
import signal

from wigeonford._compose_shared import (
    DEFAULT_PEER_SECRET,
    metrics_server,
    SeedsProvider,
)
from wigeonford._loop_watch import LoopWatch
from wigeonford.control import (
    ColdClock,
    ControlDaemon,
    ElectionTiming,
    GroupService,
    LimitService,
    LogFileStore,
    QuotaService,
    RaftReplica,
    Replica,
    Service,
    SuspectService,
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
"""Several round trips between regions above the heartbeat's 0.2 s. Each
replica runs on a VM of its own, so other load seldom delays it, and a long
election would take a large part of a short run."""

EPOCH_BITS = 48
"""Random bits of a replica's epoch; enough that two runs don't collide."""
BuildControlApi = Callable[[Replica, TargetService, EventLog], Handler]


class MetricsService:
    """Serve a control replica's metrics at an address of their own."""

    def __init__(self, server: HttpServer, address: Address) -> None:
        self._server = server
        self._address = address

    def attach(self, _server: PeerServer) -> None:
        """Do nothing: this service handles no peer messages."""

    async def start(self) -> None:
        """Start the HTTP server."""
        await self._server.start(self._address)

    async def stop(self) -> None:
        """Stop the HTTP server."""
        await self._server.stop(0.0)


def build_steer_control(
    cfg: SteerControlSettings,
    seeds: SeedsProvider,
    build_api: BuildControlApi,
    log: EventLog,
    open_store: Callable[[Path], LogFileStore] = LogFileStore,
) -> ControlDaemon:
    """Return a control replica that publishes a deployment.

    The replica bootstraps the group if the settings allow it and list its
    own address among the seeds; otherwise it joins an existing group.
    """
    name = str(cfg.peer_address)
    log = log.bind(vm=cfg.name)
    initial_members = (
        cfg.seeds if cfg.may_bootstrap and name in cfg.seeds else ()
    )
    control_cfg = ControlSettings(
        name=name,
        region="",
        data_folder=cfg.data_folder,
        secrets=Secrets(*[DEFAULT_PEER_SECRET] * 4),
        members=tuple(
            ControlMember(seed, "", parse_address(seed))
            for seed in initial_members
        ),
        operator_address=cfg.api_address,
        peer_address=cfg.peer_address,
    )

    def connect(address: Address) -> PeerClient:
        return PeerClient(name, address, DEFAULT_PEER_SECRET, log)

    store = open_store(cfg.data_folder)
    if store.dropped_bytes:
        log.emit(Event.LOG_TAIL_DROPPED, bytes=store.dropped_bytes)
    peers = PeerServer(DEFAULT_PEER_SECRET, log)
    replica = RaftReplica(
        control_cfg,
        store,
        connect,
        log,
        desired_voters=cfg.desired_voters,
        timing=ElectionTiming(ELECTION_MIN_S, ELECTION_MAX_S),
    )
    replica.attach(peers)
    cold_clock = ColdClock()
    targets = TargetService(replica, cold_clock, log)
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
    replica.on_storage_change(metrics.record_storage)
    services: tuple[Service, ...] = (
        LoopWatch(metrics, log),
        ViewService(
            replica,
            cold_clock,
            group.members,
            log,
            region=cfg.region,
            availability_zone=cfg.availability_zone,
            epoch=secrets.randbits(EPOCH_BITS),
        ),
        targets,
        LimitService(log=log),
        SuspectService(),
        QuotaService(replica, log),
        group,
    )
    if cfg.metrics_address is not None:
        server = metrics_server(metrics, log)
        services = (*services, MetricsService(server, cfg.metrics_address))
    http = HttpServer(
        build_api(replica, targets, log), CallerLimits(body_bytes=1 << 26), log
    )
    return ControlDaemon(control_cfg, replica, services, peers, http, log)
