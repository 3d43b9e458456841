"""Entry VMs: look-ups, admission, dispatch and the target registry."""

from wigeonford.entry._claims import Claims, ControlClaims
from wigeonford.entry._config import ConfigFollower, EntryConfig
from wigeonford.entry._daemon import Announcer, EntryDaemon
from wigeonford.entry._decisions import DecisionRing
from wigeonford.entry._dispatch import Dispatcher
from wigeonford.entry._front import Announcement, Front
from wigeonford.entry._limiter import EqualShareLimiter, Limiter
from wigeonford.entry._lookup import BlockTable, Lookup, LookupAnswer
from wigeonford.entry._pipeline import Pipeline
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._registry import TargetRegistry
from wigeonford.entry._slots import SlotTable
from wigeonford.entry._suspects import Suspects
from wigeonford.entry._targets import TargetDirectory

__all__ = [
    "Announcement",
    "Announcer",
    "BlockTable",
    "Claims",
    "ConfigFollower",
    "ControlClaims",
    "DecisionRing",
    "Dispatcher",
    "EntryConfig",
    "EntryDaemon",
    "EqualShareLimiter",
    "Front",
    "Limiter",
    "Lookup",
    "LookupAnswer",
    "Pipeline",
    "RegionPeers",
    "SlotTable",
    "Suspects",
    "TargetDirectory",
    "TargetRegistry",
]
