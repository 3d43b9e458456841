"""Numbered log events and the structured logger that writes them."""

from collections.abc import Iterator, MutableMapping
from enum import Enum
import logging
import re
import sys
from typing import Any, cast, Final, TextIO

import msgspec
import structlog

from wigeonford._log_writer import LineRates, LogWriter

REDACTED: Final = "[redacted]"
_KEY: Final = re.compile(r"wfk_[0-9a-f]{12}_[\w-]*", re.IGNORECASE)
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
    """List every log event; the number never changes its meaning."""

    STARTED = _event(100, "the daemon is ready")
    STOPPING = _event(101, "the daemon has begun its graceful shutdown")
    STOPPED = _event(102, "the daemon has stopped")
    SETTINGS_REJECTED = _event(103, "settings rejected", logging.ERROR)
    TASK_FAILED = _event(104, "a task failed", logging.ERROR)
    INVARIANT_BREACH = _event(
        105, "an invariant does not hold", logging.CRITICAL
    )

    LINES_LEFT_OUT = _event(
        106, "left out lines over an event's rate", logging.WARNING
    )
    START_FAILED = _event(107, "the daemon could not start", logging.ERROR)
    LOOP_LATE = _event(
        108, "the event loop ran late: no processor time", logging.WARNING
    )

    REQUEST_REFUSED = _event(200, "refused a request")
    REQUEST_ABORTED = _event(
        201, "closed the connection amid an answer", logging.WARNING
    )
    ATTEMPT_FAILED = _event(
        202, "an attempt at a target failed", logging.WARNING
    )
    REQUEST_INTERNAL_ERROR = _event(
        203, "a handler raised an unexpected error", logging.ERROR
    )

    SHIFT_PAUSED = _event(
        210,
        "paused a shift, as its new side does worse",
        logging.WARNING,
    )
    REQUEST_QUARANTINED = _event(
        211, "refused a request in quarantine", logging.WARNING
    )
    BUDGET_REPORT_FAILED = _event(
        250, "no leader answered a report of demand", logging.WARNING
    )
    BUDGET_GRANTS_DELAYED = _event(
        251, "this replica leads but cannot grant yet", logging.WARNING
    )
    CALLER_STALLED = _event(
        270, "closed the connection of a caller that stopped reading"
    )
    LEAVE_UNCONFIRMED = _event(
        271,
        "control has not confirmed that this VM left the look-ups",
        logging.WARNING,
    )
    SPILLED = _event(272, "forwarded a request to another region")
    SPILL_REFUSED = _event(
        273, "another region refused a request", logging.WARNING
    )
    HOP_REFUSED = _event(
        274,
        "refused a request that claims to come from a peer",
        logging.WARNING,
    )

    TARGET_ANNOUNCED = _event(300, "a target announced itself")
    TARGET_LEFT = _event(301, "a target is leaving")
    TARGET_EXPIRED = _event(302, "a target's lease expired", logging.WARNING)
    TARGET_REFUSED = _event(
        303, "refused a target's announcement", logging.WARNING
    )

    TARGET_EJECTED = _event(
        310, "ejected a target that fails", logging.WARNING
    )
    TARGET_DIED = _event(311, "a target failed amid requests", logging.WARNING)

    CONFIG_APPLIED = _event(400, "a new revision is in force")
    CONFIG_STALE = _event(
        401, "the configuration lease expired", logging.WARNING
    )
    CONFIG_OLDER_IGNORED = _event(
        402, "ignored a revision older than the one held", logging.WARNING
    )
    SPREAD_PARENT_PASSED_OVER = _event(
        410, "passed over a parent that was silent or stale", logging.WARNING
    )
    SPREAD_GAP_FOUND = _event(
        411, "a delta was missed; asking for everything", logging.WARNING
    )

    CHANGE_ACCEPTED = _event(500, "accepted a change")
    CHANGE_REFUSED = _event(501, "refused a change")
    LEADER_ELECTED = _event(502, "this replica leads")
    LEADER_LOST = _event(503, "this replica no longer leads")
    LOG_TAIL_DROPPED = _event(
        504, "dropped a torn tail of the log", logging.WARNING
    )

    CLAIMS_READY = _event(
        550, "this replica holds the claims of a majority and votes"
    )
    CLAIM_NOT_CLOSED = _event(
        551,
        "a claim could not be closed; its outcome stays unknown",
        logging.WARNING,
    )
    STORAGE_FAILED = _event(
        510, "storage failed; the replica takes no part", logging.CRITICAL
    )
    STORAGE_SLOW = _event(
        515, "the disk does not answer; the replica waits", logging.WARNING
    )
    STORAGE_BACK = _event(516, "the disk has answered again")
    REPLICA_STOPPED = _event(
        511, "the replica stopped on an internal error", logging.CRITICAL
    )
    ROLE_CHANGED = _event(512, "the replica's role or term changed")
    SNAPSHOT_INSTALLED = _event(513, "installed the leader's snapshot")
    ROSTER_UPDATE_FAILED = _event(
        514, "could not update the roster", logging.WARNING
    )

    ENTRY_HEARD = _event(520, "heard of an entry VM, or of its new state")
    ENTRY_SILENT = _event(521, "an entry VM has gone silent", logging.WARNING)
    PARTS_TERM_BEGUN = _event(522, "began to grant parts of accounts' rates")
    GROUP_NOT_FOUND = _event(
        523, "no control replica took this one in", logging.WARNING
    )
    JOIN_DELAYED = _event(
        524, "could not take a replica in yet", logging.WARNING
    )
    REPLICA_JOINED = _event(525, "took a replica into the group")
    PARTS_ALL_HEARD = _event(
        529, "every holder of parts has reported to this leader"
    )
    DEPLOYMENT_ORDER = _event(526, "an operator's order was decided")
    TARGET_JUDGED = _event(527, "an announcement changed or was refused")
    READ_UNCONFIRMED = _event(
        528, "could not confirm which version is newest", logging.WARNING
    )

    VIEW_TAKEN = _event(530, "took over a newer view of what steers")
    CONTROL_LOST = _event(
        531, "lost touch with a control replica", logging.WARNING
    )
    CONTROL_REGAINED = _event(532, "in touch with a control replica")
    PARTS_LOST = _event(
        533, "no leader renews the parts of accounts' rates", logging.WARNING
    )
    PARTS_REGAINED = _event(534, "a leader grants parts of accounts' rates")
    FRONT_CLOSED = _event(535, "stopped listening; what was under way ended")
    LOAN_FAILED = _event(
        536, "no leader lent tokens of accounts' rates", logging.WARNING
    )
    SETTINGS_RELOADED = _event(540, "read the settings again")

    REQUEST_ADMITTED = _event(220, "admitted a request")
    REQUEST_PLACED = _event(221, "chose a target for a request")
    REQUEST_ANSWERED = _event(222, "answered a request")
    REQUEST_FAILED = _event(
        223, "a request ended without a target's answer", logging.WARNING
    )
    TARGET_DOWN = _event(
        320, "a target can't be reached; it is left out", logging.WARNING
    )
    TARGET_BACK = _event(321, "a target answers again")
    TARGET_PAUSED = _event(323, "a target wants nothing for a while")
    TARGET_LEAVING = _event(324, "a target says in an answer that it leaves")
    TARGET_SLOW = _event(
        322, "a target is far slower than its peers", logging.WARNING
    )

    PEER_CONNECTED = _event(600, "connected to a peer")
    PEER_LOST = _event(601, "lost a peer", logging.WARNING)
    PEER_UNKNOWN = _event(
        603, "no address is known of a peer; a message is lost", logging.ERROR
    )
    PEER_REFUSED = _event(602, "refused a peer", logging.WARNING)


def _redact(
    _logger: Any, _method: str, fields: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    for name in fields.keys() & _SECRET_FIELDS:
        fields[name] = REDACTED
    for name, value in fields.items():
        if isinstance(value, str):
            fields[name] = _KEY.sub(REDACTED, value)
    return fields


ROUTINE_LINES_PER_S: Final = 200.0
"""Lines a second of each event that tells of success; an entry VM of the
target size serves fewer requests."""
NOTABLE_LINES_PER_S: Final = 1000.0
"""The same for failures and for changes of what a process believes."""
_ROUTINE: Final = frozenset(
    {
        Event.REQUEST_ADMITTED.value.number,
        Event.REQUEST_PLACED.value.number,
        Event.REQUEST_ANSWERED.value.number,
    }
)


def _lines_per_s(number: int) -> float:
    if number in _ROUTINE:
        return ROUTINE_LINES_PER_S
    return NOTABLE_LINES_PER_S


_RATES: Final = LineRates(_lines_per_s)


def open_log_writer(stream: TextIO) -> LogWriter:
    """Return a writer for `configure_logging` that never blocks."""
    return LogWriter(stream)


def configure_logging(
    stream: TextIO | LogWriter | None = None, level: int = logging.INFO
) -> None:
    """Write one JSON object a line to `stream`, standard error if None."""
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
        """Return a log that adds the given fields to each event."""
        child = EventLog()
        child._logger = self._logger.bind(**bound)
        return child

    def emit(self, event: Event, **fields: object) -> None:
        """Write one event."""
        info = event.value
        if not _RATES.allows(info.number):
            return
        left_out = _RATES.take_left_out()
        if left_out:
            note = Event.LINES_LEFT_OUT.value
            self._logger.log(
                note.level, note.text, number=note.number, events=left_out
            )
        self._logger.log(info.level, info.text, number=info.number, **fields)


def event_rows() -> Iterator[str]:
    """Yield the rows of docs/EVENTS.md."""
    yield "| number | name | level | meaning |"
    yield "| --- | --- | --- | --- |"
    for event in Event:
        info = event.value
        level = logging.getLevelName(info.level).lower()
        yield f"| {info.number} | {event.name} | {level} | {info.text} |"
