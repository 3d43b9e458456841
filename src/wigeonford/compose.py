"""Composition root: build each daemon from its parts."""

from collections.abc import Callable
from pathlib import Path
import random

from wigeonford._compose_steer_control import build_steer_control
from wigeonford._compose_steer_entry import build_steer_entry
from wigeonford.claims import ClaimService, RegisterStore
from wigeonford.control import (
    ControlDaemon,
    LogFileStore,
    RaftReplica,
    Replica,
    SoloReplica,
)
from wigeonford.entry import (
    Announcer,
    ConfigFollower,
    ControlClaims,
    DecisionRing,
    Dispatcher,
    DispatchGate,
    EntryDaemon,
    FrontEnd,
    HopReceiver,
    LeasedQuotaLimiter,
    LinkLeases,
    MAX_IN_FLIGHT_WITHOUT_TARGET,
    Parents,
    Pipeline,
    PoisonRequests,
    QuotaClient,
    RegionalDispatcher,
    RegionPeers,
    REQUEST_ID_HEADER,
    SlotCapacity,
    SlotTable,
    SpreadShape,
    TargetDirectory,
    TargetRegistry,
)
from wigeonford.events import Event, EventLog
from wigeonford.fleet import BudgetService, ControlService, OperatorApi
from wigeonford.http import find_header, HttpServer
from wigeonford.invariants import Checks
from wigeonford.messages.object import Member
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.policy import OutlierEjector
from wigeonford.settings import (
    Address,
    CallerLimits,
    ControlSettings,
    EntrySettings,
)
from wigeonford.tls import client_context

__all__ = [
    "build_control",
    "build_entry",
    "build_steer_control",
    "build_steer_entry",
]


def build_control(
    cfg: ControlSettings,
    log: EventLog,
    open_store: Callable[[Path], LogFileStore] = LogFileStore,
) -> ControlDaemon:
    """Return a control replica that is ready to start."""
    log = log.bind(vm=cfg.name)
    peers = PeerServer(cfg.secrets.peer, log)
    metrics = Metrics()
    replica = _build_replica(
        cfg, peers, open_store(cfg.data_folder), metrics, log
    )
    api = OperatorApi(
        replica, cfg.secrets.operator, cfg.secrets.key_hash, metrics, log
    )
    budgets = BudgetService(replica, Checks(log, metrics, cfg.on_breach), log)
    return ControlDaemon(
        cfg,
        replica,
        (
            ControlService(replica, log),
            _build_claims(cfg, log),
            budgets,
        ),
        peers,
        HttpServer(api.handle, CallerLimits(), log),
        log,
    )


def _build_claims(cfg: ControlSettings, log: EventLog) -> ClaimService:
    peer_clients = {
        member.name: PeerClient(
            cfg.name,
            member.peer_address,
            cfg.secrets.peer,
            log,
            client_context(cfg.tls),
        )
        for member in cfg.members
        if member.name != cfg.name
    }
    store = RegisterStore(cfg.data_folder)
    return ClaimService(store, peer_clients, log, random.Random())


def _build_replica(
    cfg: ControlSettings,
    peers: PeerServer,
    store: LogFileStore,
    metrics: Metrics,
    log: EventLog,
) -> Replica:
    if store.dropped_bytes:
        log.emit(Event.LOG_TAIL_DROPPED, bytes=store.dropped_bytes)
    if not cfg.members:
        return SoloReplica(cfg.name, store, log)

    def connect(address: Address) -> PeerClient:
        return PeerClient(
            cfg.name, address, cfg.secrets.peer, log, client_context(cfg.tls)
        )

    replica = RaftReplica(cfg, store, connect, log)
    replica.on_storage_change(metrics.record_storage)
    replica.attach(peers)
    return replica


def build_entry(cfg: EntrySettings, log: EventLog) -> EntryDaemon:
    """Return an entry VM that is ready to start."""
    log = log.bind(vm=cfg.name)
    metrics = Metrics()
    checks = Checks(log, metrics, cfg.on_breach)
    announcer = Announcer(cfg)

    def make_link(address: Address) -> PeerClient:
        return PeerClient(
            cfg.name, address, cfg.secrets.peer, log, client_context(cfg.tls)
        )

    control = tuple(make_link(address) for address in cfg.control)
    config = ConfigFollower(
        control,
        announcer.describe,
        _build_parents(cfg, log),
        checks,
        metrics,
        log,
    )
    quota_client = QuotaClient(cfg.name, control, make_link)
    limiter = LeasedQuotaLimiter(quota_client, checks, metrics, log)
    config.on_change(limiter.reconfigure)
    region_peers = RegionPeers(
        cfg.name, cfg.availability_zone, config, make_link, log
    )
    targets = TargetDirectory(
        TargetRegistry(), region_peers, config, checks, log
    )
    ejector = OutlierEjector()
    slots = SlotTable(region_peers, targets, checks, ejector)
    poison_requests = PoisonRequests(region_peers, log)
    decisions = DecisionRing()
    dispatcher = Dispatcher(
        slots, poison_requests, decisions, checks, metrics, log, ejector
    )

    def slot_limit(service: str) -> int:
        # A VM without targets still forwards requests to other regions.
        known_targets = slots.targets(service, None)
        return (
            slots.max_in_flight(service)
            if known_targets
            else MAX_IN_FLIGHT_WITHOUT_TARGET
        )

    link_leases = LinkLeases(
        cfg.name, cfg.availability_zone, config, make_link, log
    )
    regional = RegionalDispatcher(
        cfg.availability_zone,
        dispatcher,
        config,
        link_leases,
        cfg.secrets.peer,
        client_context(cfg.tls),
        random.Random(),
        log,
    )
    hops = HopReceiver(
        cfg.availability_zone,
        config,
        SlotCapacity(slots),
        dispatcher,
        link_leases,
        cfg.secrets.peer,
        log,
    )
    claims = ControlClaims(control, log)
    pipeline = Pipeline(
        config,
        limiter,
        claims,
        DispatchGate(slot_limit),
        regional,
        checks,
        metrics,
        cfg.secrets.key_hash,
    )
    front = FrontEnd(
        config, pipeline, hops, targets, decisions, cfg.secrets, metrics
    )
    return EntryDaemon(
        cfg,
        announcer,
        config,
        region_peers,
        targets,
        slots,
        poison_requests,
        limiter,
        link_leases,
        dispatcher,
        front,
        HttpServer(
            front.handle,
            cfg.limits,
            log,
            lambda headers: find_header(headers, REQUEST_ID_HEADER) or "",
            metrics.count_connection_end,
        ),
        PeerServer(cfg.secrets.peer, log),
        control,
        checks,
        claims,
        log,
    )


def _build_parents(cfg: EntrySettings, log: EventLog) -> Parents:
    def connect(member: Member) -> PeerClient:
        return PeerClient(
            cfg.name,
            Address(member.host, member.peer_port),
            cfg.secrets.peer,
            log,
            client_context(cfg.tls),
        )

    return Parents(cfg.name, cfg.availability_zone, connect, SpreadShape())
