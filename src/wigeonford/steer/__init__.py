"""Steer requests to targets by a published deployment."""

from wigeonford.steer._attempt import TargetLinks
from wigeonford.steer._daemon import Readiness, SteerDaemon
from wigeonford.steer._follower import ViewFollower
from wigeonford.steer._forwarder import Forwarder
from wigeonford.steer._loans import Loans
from wigeonford.steer._lookups import LIFETIME_S, rank_entries
from wigeonford.steer._quota_reporter import PartReporter
from wigeonford.steer._rates import AccountRates
from wigeonford.steer._request import (
    AnswerFacts,
    RunState,
    SteerRequest,
    TargetWire,
)
from wigeonford.steer._suspects import SuspectBook
from wigeonford.steer._target_book import TargetBook
from wigeonford.steer._view import Roster, View, ViewBuilder

__all__ = [
    "LIFETIME_S",
    "AccountRates",
    "AnswerFacts",
    "Forwarder",
    "Loans",
    "PartReporter",
    "Readiness",
    "Roster",
    "RunState",
    "SteerDaemon",
    "SteerRequest",
    "SuspectBook",
    "TargetBook",
    "TargetLinks",
    "TargetWire",
    "View",
    "ViewBuilder",
    "ViewFollower",
    "rank_entries",
]
