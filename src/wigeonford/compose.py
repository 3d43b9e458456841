"""Composition root: wire the parts of each daemon."""

import time

from wigeonford.control import (
    BudgetService,
    ControlDaemon,
    ControlService,
    OperatorApi,
    Replica,
    SoloReplica,
    SqliteStore,
    State,
)
from wigeonford.entry import (
    Announcer,
    BudgetLinks,
    ConfigFollower,
    ControlClaims,
    Dispatcher,
    DispatchGate,
    EntryDaemon,
    Front,
    LeasedShareLimiter,
    Pipeline,
    TargetDirectory,
    TargetRegistry,
)
from wigeonford.events import EventLog
from wigeonford.http import HttpServer
from wigeonford.invariants import Checks
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import (
    Address,
    CallerLimits,
    ControlSettings,
    EntrySettings,
)
from wigeonford.tls import client_context


class SoloLeadership:
    """Lead always, as the only replica does, in one term of office."""

    is_leader = True
    term = 1

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    @property
    def state(self) -> State:
        """Return the state as applied so far."""
        return self._replica.state

    @property
    def leader(self) -> str | None:
        """Return this replica's name."""
        return self._replica.leader

    def vouched_age_s(self) -> float | None:
        """Return how long ago a quorum confirmed the state."""
        return self._replica.vouched_age_s()


def build_control(cfg: ControlSettings, log: EventLog) -> ControlDaemon:
    """Return a control replica that is ready to start."""
    log = log.bind(vm=cfg.name)
    replica = SoloReplica(cfg.name, SqliteStore(cfg.data_folder))
    metrics = Metrics()
    api = OperatorApi(
        replica, cfg.secrets.operator, cfg.secrets.key_hash, metrics, log
    )
    budgets = BudgetService(
        SoloLeadership(replica), Checks(log, metrics, cfg.on_breach)
    )
    return ControlDaemon(
        cfg,
        replica,
        ControlService(replica, budgets, log),
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

    def make_link(address: Address) -> PeerClient:
        return PeerClient(
            cfg.name, address, cfg.secrets.peer, log, client_context(cfg.tls)
        )

    control = tuple(make_link(address) for address in cfg.control)
    config = ConfigFollower(control, announcer.describe, checks, metrics, log)
    links = BudgetLinks(cfg.name, control, make_link)
    limiter = LeasedShareLimiter(links, checks, metrics, log)
    config.on_change(limiter.reconfigure)
    registry = TargetRegistry()
    targets = TargetDirectory(
        cfg.name,
        cfg.availability_zone,
        registry,
        config,
        cfg.secrets.peer,
        log,
    )

    def slots_of(service: str) -> int:
        now_s = time.monotonic()
        return sum(c.slots for c in registry.candidates(service, now_s))

    dispatcher = Dispatcher(registry, metrics, log)
    pipeline = Pipeline(
        config,
        limiter,
        ControlClaims(control),
        DispatchGate(slots_of),
        dispatcher,
        checks,
        metrics,
        cfg.secrets.key_hash,
    )
    front = Front(config, pipeline, targets, cfg.secrets, metrics)
    return EntryDaemon(
        cfg,
        announcer,
        config,
        targets,
        limiter,
        dispatcher,
        front,
        HttpServer(front.handle, cfg.limits, log),
        PeerServer(cfg.secrets.peer, log),
        control,
        log,
    )
