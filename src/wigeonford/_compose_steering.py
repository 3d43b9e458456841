"""Wire the daemons that steer one deployment."""

from collections.abc import Callable
import random
import secrets
import signal

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
    Request,
    Response,
    whole_response,
)
from wigeonford.metrics import Metrics
from wigeonford.peer import EntryStatus, PeerClient, PeerServer
from wigeonford.settings import (
    Address,
    CallerLimits,
    ControlMember,
    ControlSettings,
    parse_address,
    Secrets,
    SteerControlSettings,
    SteerEntrySettings,
)
from wigeonford.steer import (
    AccountRates,
    Forwarder,
    Loans,
    PartReporter,
    Readiness,
    SteerDaemon,
    SuspectBook,
    TargetBook,
    TargetLinks,
    TargetWire,
    ViewFollower,
)

OPEN_SECRET = "peers-share-a-network-of-their-own"
"""Used where settings hold no secret: only own processes reach peers."""

ELECTION_MIN_S = 0.7
ELECTION_MAX_S = 1.7
"""Some round trips between regions beyond the heartbeat's 0.2 s: a VM of
its own runs each replica, and days are short."""

Seeds = Callable[[], tuple[str, ...]]
BuildControlApi = Callable[[Replica, TargetService, EventLog], Handler]
BuildCallerApi = Callable[[Forwarder], Handler]
BuildLookupApi = Callable[[ViewFollower, Readiness], Handler]


def metrics_server(metrics: Metrics, log: EventLog) -> HttpServer:
    """Return a server of a daemon's metrics as text."""

    async def handle(_request: Request) -> Response:
        content, content_type = metrics.render()
        return whole_response(200, content, content_type)

    return HttpServer(handle, CallerLimits(), log)


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
    services: tuple[Service, ...] = (
        ViewService(replica, cold, group.members, log),
        targets,
        PartService(replica, log),
        group,
    )
    if cfg.metrics_address is not None:
        server = metrics_server(Metrics(), log)
        services = (*services, MetricsService(server, cfg.metrics_address))
    http = HttpServer(
        build_api(replica, targets, log), CallerLimits(body_bytes=1 << 26), log
    )
    return ControlDaemon(control, replica, services, peers, http, log)


def build_steer_entry(
    cfg: SteerEntrySettings,
    seeds: Seeds,
    wire: TargetWire,
    build_caller_api: BuildCallerApi,
    build_lookup_api: BuildLookupApi,
    log: EventLog,
) -> SteerDaemon:
    """Return an entry VM that steers a deployment."""
    log = log.bind(vm=cfg.name)
    incarnation = secrets.token_hex(6)

    def describe(ready: bool) -> EntryStatus:
        return EntryStatus(
            cfg.name,
            incarnation,
            str(cfg.address),
            cfg.availability_zone,
            cfg.region,
            ready,
        )

    def connect(address: Address) -> PeerClient:
        return PeerClient(cfg.name, address, OPEN_SECRET, log)

    rng = random.Random()
    metrics = Metrics()
    readiness = Readiness(describe)
    suspects = SuspectBook()
    follower = ViewFollower(
        seeds, lambda: readiness.status, suspects, connect, log, rng
    )
    rates = AccountRates(cfg.name, cfg.rate_slack)
    reporter = PartReporter(
        follower, rates, lambda: readiness.status, connect, log
    )
    book = TargetBook()
    links = TargetLinks(wire)
    forwarder = Forwarder(
        lambda: readiness.status,
        lambda: follower.view,
        follower.running_entries,
        book,
        rates,
        Loans(reporter.borrow, log),
        suspects,
        links,
        cfg.repeats,
        metrics,
        log,
        rng,
    )
    follower.on_view(forwarder.follow)
    front = HttpServer(build_caller_api(forwarder), CallerLimits(), log)
    lookups = HttpServer(
        build_lookup_api(follower, readiness), CallerLimits(), log
    )
    servers = [(lookups, cfg.ready_address)]
    if cfg.lookup_address is not None:
        also = HttpServer(lookups.handler, CallerLimits(), log)
        servers.append((also, cfg.lookup_address))
    if cfg.metrics_address is not None:
        servers.append((metrics_server(metrics, log), cfg.metrics_address))
    return SteerDaemon(
        cfg,
        readiness,
        follower,
        reporter,
        book,
        links,
        tuple(servers),
        front,
        log,
    )
