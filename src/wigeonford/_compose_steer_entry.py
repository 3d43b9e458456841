"""Assemble an entry VM that routes a deployment's requests."""

from collections.abc import Callable
import random
import secrets

from wigeonford._compose_shared import (
    DEFAULT_PEER_SECRET,
    metrics_server,
    SeedsProvider,
)
from wigeonford._loop_watch import LoopWatch
from wigeonford.events import EventLog
from wigeonford.http import (
    Handler,
    HttpServer,
)
from wigeonford.messages.steering import EntryStatus, Reach
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerClient
from wigeonford.settings import (
    Address,
    CallerLimits,
    SteerEntrySettings,
)
from wigeonford.steer import (
    AccountRates,
    Forwarder,
    LimitExchange,
    LoanBatcher,
    QuotaReporter,
    ReachMonitor,
    ReachProber,
    ReachReporter,
    Readiness,
    RelayReceiver,
    RelaySender,
    SteerDaemon,
    SuspectExchange,
    TargetConnections,
    TargetLimits,
    TargetRecords,
    TargetWire,
    ViewFollower,
)
from wigeonford.suspects import SuspectTable

BuildCallerApi = Callable[[Forwarder], Handler]
BuildLookupApi = Callable[[ViewFollower, Readiness], Handler]


def build_steer_entry(
    cfg: SteerEntrySettings,
    seeds: SeedsProvider,
    wire: TargetWire,
    build_caller_api: BuildCallerApi,
    build_lookup_api: BuildLookupApi,
    log: EventLog,
) -> SteerDaemon:
    """Return the daemon of an entry VM that routes a deployment's requests."""
    log = log.bind(vm=cfg.name)
    incarnation = secrets.token_hex(6)

    # Each request asks for the status.
    address = str(cfg.address)
    relay_address = "" if cfg.relay_address is None else str(cfg.relay_address)

    def make_status(ready: bool) -> EntryStatus:
        return EntryStatus(
            cfg.name,
            incarnation,
            address,
            cfg.availability_zone,
            cfg.region,
            ready,
            relay_address,
            reach.state,
        )

    def make_peer_client(address: Address) -> PeerClient:
        # Safe, as only the system's own processes can reach peer ports.
        return PeerClient(cfg.name, address, DEFAULT_PEER_SECRET, log)

    def is_in_contact() -> bool:
        return bool(follower.connected_replicas)

    rng = random.Random()
    metrics = Metrics()
    targets = TargetRecords()
    reach = ReachMonitor(targets, metrics, log)
    readiness = Readiness(make_status)
    suspects = SuspectTable(cfg.name)
    target_limits = TargetLimits(
        cfg.name,
        lambda: follower.running_entries(),
        is_in_contact,
    )
    follower = ViewFollower(
        seeds,
        lambda: readiness.status,
        (LimitExchange(target_limits, log), SuspectExchange(suspects, log)),
        make_peer_client,
        log,
        rng,
    )
    rates = AccountRates(cfg.name, cfg.rate_slack)
    reporter = QuotaReporter(
        follower, rates, lambda: readiness.status, make_peer_client, log
    )
    connections = TargetConnections(
        wire, reach.record_contact, reach.record_failure
    )
    prober = ReachProber(reach, targets, connections, log, rng)
    follower.add_view_listener(
        lambda view: reach.set_target_count(view.targets)
    )
    relay = RelaySender(
        lambda: readiness.status,
        follower.running_entries,
        wire,
        DEFAULT_PEER_SECRET,
        reach,
        prober,
        rng,
    )
    forwarder = Forwarder(
        lambda: readiness.status,
        lambda: follower.view,
        follower.running_entries,
        targets,
        target_limits,
        rates,
        LoanBatcher(reporter.borrow, log),
        suspects,
        connections,
        cfg.retry_bounds,
        metrics,
        log,
        rng,
        is_in_contact=is_in_contact,
        relay=relay,
    )
    follower.add_view_listener(forwarder.drop_removed_targets)

    def repeat_unanswered() -> None:
        if reach.state is Reach.LOST:
            forwarder.repeat_unanswered()

    reach.add_listener(repeat_unanswered)
    front_server = HttpServer(
        build_caller_api(forwarder),
        CallerLimits(),
        log,
        wire.find_request_id,
        metrics.count_connection_end,
    )
    fronts = [(front_server, cfg.address)]
    if cfg.relay_address is not None:
        receiver = RelayReceiver(
            forwarder.forward_relayed,
            prober.reaches,
            wire,
            DEFAULT_PEER_SECRET,
            log,
        )
        relay_server = HttpServer(
            receiver.handle, CallerLimits(), log, wire.find_request_id
        )
        fronts.append((relay_server, cfg.relay_address))
    ready_server = HttpServer(
        build_lookup_api(follower, readiness), CallerLimits(), log
    )
    servers = [(ready_server, cfg.ready_address)]
    if cfg.lookup_address is not None:
        lookup_server = HttpServer(ready_server.handler, CallerLimits(), log)
        servers.append((lookup_server, cfg.lookup_address))
    if cfg.metrics_address is not None:
        servers.append((metrics_server(metrics, log), cfg.metrics_address))
    return SteerDaemon(
        cfg,
        readiness,
        follower,
        reporter,
        targets,
        (connections, relay.connections),
        tuple(servers),
        forwarder,
        tuple(fronts),
        (
            LoopWatch(metrics, log),
            prober,
            ReachReporter(reach, follower.report_status, log),
        ),
        log,
    )
