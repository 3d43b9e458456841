"""Composition root: wire the parts of each daemon."""

from wigeonford.control import (
    ControlDaemon,
    ControlService,
    OperatorApi,
    SoloReplica,
    SqliteStore,
)
from wigeonford.entry import (
    Announcer,
    ConfigFollower,
    ControlClaims,
    DecisionRing,
    Dispatcher,
    EntryDaemon,
    EqualShareLimiter,
    Front,
    Pipeline,
    RegionPeers,
    SlotTable,
    Suspects,
    TargetDirectory,
    TargetRegistry,
)
from wigeonford.events import EventLog
from wigeonford.http import HttpServer
from wigeonford.invariants import Checks
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.policy import Ejection
from wigeonford.settings import CallerLimits, ControlSettings, EntrySettings
from wigeonford.tls import client_context


def build_control(cfg: ControlSettings, log: EventLog) -> ControlDaemon:
    """Return a control replica that is ready to start."""
    log = log.bind(vm=cfg.name)
    replica = SoloReplica(cfg.name, SqliteStore(cfg.data_folder))
    api = OperatorApi(
        replica, cfg.secrets.operator, cfg.secrets.key_hash, Metrics(), log
    )
    return ControlDaemon(
        cfg,
        replica,
        ControlService(replica, log),
        PeerServer(cfg.secrets.peer, log),
        HttpServer(api.handle, CallerLimits(), log),
        log,
    )


def build_entry(cfg: EntrySettings, log: EventLog) -> EntryDaemon:
    """Return an entry VM that is ready to start."""
    log = log.bind(vm=cfg.name)
    metrics = Metrics()
    checks = Checks(log, metrics, cfg.on_breach)
    announcer = Announcer(cfg)
    control = tuple(
        PeerClient(
            cfg.name, address, cfg.secrets.peer, log, client_context(cfg.tls)
        )
        for address in cfg.control
    )
    config = ConfigFollower(control, announcer.describe, checks, metrics, log)
    limiter = EqualShareLimiter()
    config.on_change(limiter.reconfigure)
    region_peers = RegionPeers(
        cfg.name, cfg.availability_zone, config, cfg.secrets.peer, log
    )
    targets = TargetDirectory(
        TargetRegistry(), region_peers, config, checks, log
    )
    ejection = Ejection()
    slots = SlotTable(region_peers, targets, checks, ejection)
    suspects = Suspects(region_peers, log)
    decisions = DecisionRing()
    dispatcher = Dispatcher(
        slots, suspects, decisions, checks, metrics, log, ejection
    )
    pipeline = Pipeline(
        config,
        limiter,
        ControlClaims(control),
        dispatcher,
        checks,
        metrics,
        cfg.secrets.key_hash,
    )
    front = Front(config, pipeline, targets, decisions, cfg.secrets, metrics)
    return EntryDaemon(
        cfg,
        announcer,
        config,
        region_peers,
        targets,
        slots,
        suspects,
        dispatcher,
        front,
        HttpServer(front.handle, cfg.limits, log),
        PeerServer(cfg.secrets.peer, log),
        control,
        log,
    )
