"""Steer requests to targets by a published deployment."""

from wigeonford.steer._attempt import TargetConnections
from wigeonford.steer._daemon import Readiness, SteerDaemon
from wigeonford.steer._entries import LOOKUP_TTL_S, select_entries
from wigeonford.steer._follower import ViewFollower
from wigeonford.steer._forwarder import Forwarder
from wigeonford.steer._loans import LoanBatcher
from wigeonford.steer._quota_reporter import QuotaReporter
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._reach import (
    ReachMonitor,
    ReachProber,
    ReachReporter,
)
from wigeonford.steer._relay import RelaySender
from wigeonford.steer._relay_wire import RelayReceiver
from wigeonford.steer._report_exchange import LimitExchange, SuspectExchange
from wigeonford.steer._request import (
    ResponseFacts,
    SteerRequest,
    TargetRunState,
    TargetWire,
)
from wigeonford.steer._target_limits import TargetLimits
from wigeonford.steer._target_records import TargetRecords
from wigeonford.steer._view import Roster, View, ViewBuilder

__all__ = [
    "LOOKUP_TTL_S",
    "AccountRates",
    "ResponseFacts",
    "Forwarder",
    "LimitExchange",
    "LoanBatcher",
    "QuotaReporter",
    "ReachMonitor",
    "ReachProber",
    "ReachReporter",
    "Readiness",
    "RelayReceiver",
    "RelaySender",
    "Roster",
    "TargetRunState",
    "SteerDaemon",
    "SteerRequest",
    "SuspectExchange",
    "TargetLimits",
    "TargetRecords",
    "TargetConnections",
    "TargetWire",
    "View",
    "ViewBuilder",
    "ViewFollower",
    "select_entries",
]
