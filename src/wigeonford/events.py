"""Numbered log events and the structured logger that writes them."""

from collections.abc import Iterator, MutableMapping
from enum import Enum
import logging
import re
import sys
from typing import Any, cast, Final, TextIO

import msgspec
import structlog

from wigeonford._log_writer import LogRateLimiter, LogWriter

REDACTED: Final = "[redacted]"
_API_KEY: Final = re.compile(r"wfk_[0-9a-f]{12}_[\w-]*", re.IGNORECASE)
_SECRET_FIELDS: Final = frozenset(
    {"key", "secret", "credential", "authorization", "cookie", "token"}
)


class EventInfo(msgspec.Struct, frozen=True):
    """Describe one log event."""

    number: int
    level: int
    text: str


def _event(number: int, text: str, level: int = logging.INFO) -> EventInfo:
    return EventInfo(number, level, text)


class Event(Enum):
    """List every log event; a number never changes its meaning."""

    STARTED = _event(100, "the daemon is ready")
    STOPPING = _event(101, "the daemon began its graceful shutdown")
    STOPPED = _event(102, "the daemon has stopped")
    SETTINGS_REJECTED = _event(103, "rejected invalid settings", logging.ERROR)
    TASK_FAILED = _event(104, "a background task failed", logging.ERROR)
    INVARIANT_BREACH = _event(
        105, "an invariant is violated", logging.CRITICAL
    )

    LINES_LEFT_OUT = _event(
        106, "dropped log lines above an event's rate limit", logging.WARNING
    )
    START_FAILED = _event(107, "the daemon could not start", logging.ERROR)
    LOOP_LATE = _event(
        108, "the event loop ran late for lack of CPU time", logging.WARNING
    )

    REQUEST_REFUSED = _event(200, "rejected a request")
    REQUEST_ABORTED = _event(
        201, "closed the connection during a response", logging.WARNING
    )
    ATTEMPT_FAILED = _event(
        202, "an attempt at a target failed", logging.WARNING
    )
    REQUEST_INTERNAL_ERROR = _event(
        203, "a handler raised an unexpected error", logging.ERROR
    )

    REQUEST_UNANSWERED = _event(
        204,
        "closed a caller's connection without a response to its request",
        logging.WARNING,
    )

    CONNECTIONS_CLOSED = _event(
        205, "closed the last connections of a server that stops"
    )
    CALLER_STILL_SENDING = _event(
        206,
        "closed the connection of a caller that still sent after its response",
        logging.WARNING,
    )
    CONNECTIONS_ABORTED = _event(
        207, "ended connections that callers kept to the end of a stop"
    )

    SHIFT_PAUSED = _event(
        210,
        "paused a traffic shift because its new side performs worse",
        logging.WARNING,
    )
    REQUEST_QUARANTINED = _event(
        211, "rejected a quarantined request", logging.WARNING
    )
    BUDGET_REPORT_FAILED = _event(
        250, "no leader replied to a report of rate demand", logging.WARNING
    )
    BUDGET_GRANTS_DELAYED = _event(
        251,
        "this replica is the leader but cannot grant quotas yet",
        logging.WARNING,
    )
    CALLER_STALLED = _event(
        270, "closed the connection of a caller that stopped reading"
    )
    LEAVE_UNCONFIRMED = _event(
        271,
        "control has not confirmed the removal of this VM from look-ups",
        logging.WARNING,
    )
    SPILLED = _event(272, "forwarded a request to another region")
    SPILL_REFUSED = _event(
        273, "another region rejected a forwarded request", logging.WARNING
    )
    HOP_REFUSED = _event(
        274,
        "rejected a request from an unproven peer entry VM",
        logging.WARNING,
    )

    TARGET_ANNOUNCED = _event(300, "a target announced itself")
    TARGET_LEFT = _event(301, "a target is draining or withdrew")
    TARGET_EXPIRED = _event(302, "a target's lease expired", logging.WARNING)
    TARGET_REFUSED = _event(
        303, "rejected a target's announcement", logging.WARNING
    )
    TARGET_UNUSABLE = _event(
        304, "left out a target that can't be used", logging.WARNING
    )

    TARGET_EJECTED = _event(310, "ejected a failing target", logging.WARNING)
    TARGET_DIED = _event(
        311, "a target failed with requests in flight", logging.WARNING
    )

    CONFIG_APPLIED = _event(400, "applied a new configuration revision")
    CONFIG_STALE = _event(
        401, "the configuration lease expired", logging.WARNING
    )
    CONFIG_OLDER_IGNORED = _event(
        402,
        "ignored a configuration older than the current one",
        logging.WARNING,
    )
    SPREAD_PARENT_PASSED_OVER = _event(
        410,
        "skipped an unresponsive or stale source of configuration updates",
        logging.WARNING,
    )
    SPREAD_GAP_FOUND = _event(
        411,
        "missed a configuration delta; requesting a full update",
        logging.WARNING,
    )

    CHANGE_ACCEPTED = _event(500, "accepted an operator's change")
    CHANGE_REFUSED = _event(501, "rejected an operator's change")
    LEADER_ELECTED = _event(502, "this replica became the leader")
    LEADER_LOST = _event(503, "this replica is no longer the leader")
    LOG_TAIL_DROPPED = _event(
        504,
        "dropped an incomplete record at the end of the log",
        logging.WARNING,
    )

    CLAIMS_READY = _event(
        550, "this replica copied the claims of a majority and may vote"
    )
    CLAIM_NOT_CLOSED = _event(
        551,
        "a claim could not be closed; its outcome stays unknown",
        logging.WARNING,
    )
    STORAGE_FAILED = _event(
        510,
        "the disk takes no writes; the replica stores nothing meanwhile",
        logging.CRITICAL,
    )
    STORAGE_WORKS = _event(517, "the disk takes writes again")
    STORAGE_DAMAGED = _event(
        518,
        "stored data can't be read; the replica stopped participating",
        logging.CRITICAL,
    )
    SNAPSHOT_DELAYED = _event(
        519, "could not store a snapshot; it is tried again", logging.WARNING
    )
    STORAGE_SLOW = _event(
        515, "the disk is stalled; the replica waits for it", logging.WARNING
    )
    STORAGE_BACK = _event(516, "the disk responds again")
    REPLICA_STOPPED = _event(
        511, "the replica stopped on an internal error", logging.CRITICAL
    )
    COMMAND_SKIPPED = _event(
        505,
        "skipped a log entry that can't be decoded or applied",
        logging.ERROR,
    )
    ROLE_CHANGED = _event(512, "the replica's role or term changed")
    SNAPSHOT_SAVED = _event(538, "stored a snapshot in place of the log")
    LOG_LOADED = _event(539, "read the log that the data folder holds")
    SNAPSHOT_INSTALLED = _event(513, "installed the leader's snapshot")
    ROSTER_UPDATE_FAILED = _event(
        514, "could not update the roster of entry VMs", logging.WARNING
    )

    RAFT_MESSAGE_REFUSED = _event(
        506, "refused a control replica's message", logging.WARNING
    )

    ENTRY_HEARD = _event(520, "received an entry VM's first or changed status")
    ENTRY_SILENT = _event(
        521, "an entry VM stopped reporting", logging.WARNING
    )
    PARTS_TERM_BEGUN = _event(522, "began to grant quota fractions of rates")
    GROUP_NOT_FOUND = _event(
        523,
        "no control replica accepted this one into the group",
        logging.WARNING,
    )
    JOIN_DELAYED = _event(
        524, "could not add a replica to the group yet", logging.WARNING
    )
    REPLICA_JOINED = _event(525, "added a replica to the group")
    PARTS_ALL_HEARD = _event(
        529, "every holder of a quota fraction reported to this leader"
    )
    DEPLOYMENT_ORDER = _event(526, "processed an operator's request")
    TARGET_JUDGED = _event(
        527, "an announcement changed a target or was rejected"
    )
    READ_UNCONFIRMED = _event(
        528,
        "could not confirm the newest deployment version",
        logging.WARNING,
    )

    VIEW_TAKEN = _event(530, "applied a newer view of the routing state")
    CONTROL_LOST = _event(
        531, "disconnected from a control replica", logging.WARNING
    )
    CONTROL_REGAINED = _event(532, "connected to a control replica")
    PARTS_LOST = _event(
        533,
        "no leader renews the quota fractions of rates",
        logging.WARNING,
    )
    PEER_UNUSABLE = _event(
        537,
        "left out a control replica or entry VM whose address can't be used",
        logging.WARNING,
    )
    PARTS_REGAINED = _event(534, "a leader grants quota fractions of rates")
    FRONT_CLOSED = _event(535, "stopped listening; no requests are in flight")
    LOAN_FAILED = _event(
        536, "no leader lent tokens of client accounts' rates", logging.WARNING
    )
    SETTINGS_RELOADED = _event(540, "reloaded the settings file")

    REQUEST_ADMITTED = _event(220, "admitted a request")
    REQUEST_PLACED = _event(221, "chose a target for a request")
    REQUEST_ANSWERED = _event(222, "sent the response to a request")
    REQUEST_FAILED = _event(
        223, "a request ended without a target's response", logging.WARNING
    )
    TARGET_DOWN = _event(
        320,
        "a target is unreachable and receives no requests",
        logging.WARNING,
    )
    TARGET_BACK = _event(321, "a target responds again")
    TARGET_PAUSED = _event(323, "a target requested a pause by Retry-After")
    TARGET_LEAVING = _event(
        324, "a target reported in a response that it drains"
    )
    TARGET_LIMITED = _event(
        325, "a target stated or changed a limit of its request rate"
    )
    TARGET_UNLIMITED = _event(
        326, "a target no longer states a limit of its request rate"
    )
    TARGET_LIMIT_UNREADABLE = _event(
        327,
        "a target stated an unreadable limit; the previous one holds",
        logging.WARNING,
    )
    TARGET_LIMIT_TOLD = _event(
        328, "another entry VM read a target's limit, or its end"
    )
    CRASH_COUNTED = _event(
        329,
        "counted the end of a target against a request",
        logging.WARNING,
    )
    CRASH_TOLD = _event(
        330, "other entry VMs counted ends of targets against a request"
    )
    ATTEMPT_ABANDONED = _event(
        331, "gave up an attempt before its result was known"
    )
    TARGETS_LOST = _event(
        332,
        "this VM reaches no target over its own links",
        logging.WARNING,
    )
    TARGETS_REGAINED = _event(
        333, "this VM reaches targets over its own links again"
    )
    LINKS_CUT = _event(
        334,
        "other entry VMs reach targets that this VM doesn't reach",
        logging.WARNING,
    )
    REQUEST_RELAYED = _event(
        335, "chose another entry VM to send a request to a target"
    )
    CRASH_UNPROVEN = _event(
        336,
        "did not count the end of a target, as none near it is reached",
        logging.WARNING,
    )
    TARGET_SLOW = _event(
        322, "a target is far slower than its peers", logging.WARNING
    )

    PEER_CONNECTED = _event(600, "connected to a peer")
    PEER_LOST = _event(601, "a request to a peer failed", logging.WARNING)
    PEER_UNKNOWN = _event(
        603,
        "dropped a message to a peer whose address is unknown",
        logging.ERROR,
    )
    PEER_REFUSED = _event(602, "rejected a peer's connection", logging.WARNING)


def _redact(
    _logger: Any, _method: str, fields: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    for name in fields.keys() & _SECRET_FIELDS:
        fields[name] = REDACTED
    for name, value in fields.items():
        if isinstance(value, str):
            fields[name] = _API_KEY.sub(REDACTED, value)
    return fields


ROUTINE_LINES_PER_S: Final = 200.0
"""Limit for each event that reports a success; an entry VM of the planned
size serves fewer requests per second."""
NOTABLE_LINES_PER_S: Final = 1000.0
"""Limit for each event that reports a failure or a change of state."""
_ROUTINE_EVENTS: Final = frozenset(
    {
        Event.REQUEST_ADMITTED.value.number,
        Event.REQUEST_PLACED.value.number,
        Event.REQUEST_ANSWERED.value.number,
    }
)


def _lines_per_s(number: int) -> float:
    if number in _ROUTINE_EVENTS:
        return ROUTINE_LINES_PER_S
    return NOTABLE_LINES_PER_S


_RATE_LIMITER: Final = LogRateLimiter(_lines_per_s)


def open_log_writer(stream: TextIO) -> LogWriter:
    """Return a non-blocking writer for `configure_logging`."""
    return LogWriter(stream)


def configure_logging(
    stream: TextIO | LogWriter | None = None, level: int = logging.INFO
) -> None:
    """Write one JSON object per line to `stream`, None for standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _redact,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(
            cast(TextIO, stream or sys.stderr)
        ),
        cache_logger_on_first_use=False,
    )


class EventLog:
    """Log numbered events with fields bound to one component."""

    def __init__(self, **bound: object) -> None:
        self._logger = structlog.get_logger().bind(**bound)

    def bind(self, **bound: object) -> "EventLog":
        """Return a child log that adds the given fields to each event."""
        child = EventLog()
        child._logger = self._logger.bind(**bound)
        return child

    def emit(self, event: Event, **fields: object) -> None:
        """Write one event unless its rate limit drops it."""
        info = event.value
        if not _RATE_LIMITER.allows(info.number):
            return
        dropped_counts = _RATE_LIMITER.pop_dropped_counts()
        if dropped_counts:
            dropped_info = Event.LINES_LEFT_OUT.value
            self._logger.log(
                dropped_info.level,
                dropped_info.text,
                number=dropped_info.number,
                events=dropped_counts,
            )
        self._logger.log(info.level, info.text, number=info.number, **fields)


def event_rows() -> Iterator[str]:
    """Yield the lines of the table in docs/EVENTS.md."""
    yield "| number | name | level | meaning |"
    yield "| --- | --- | --- | --- |"
    for event in Event:
        info = event.value
        level = logging.getLevelName(info.level).lower()
        yield f"| {info.number} | {event.name} | {level} | {info.text} |"
