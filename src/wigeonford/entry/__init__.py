"""Entry VMs: look-ups, admission, dispatch and the target registry."""

from wigeonford.entry._claims import ClaimRequest, Claims, ControlClaims
from wigeonford.entry._config import ConfigFollower
from wigeonford.entry._daemon import Announcer, DRAIN_LINGER_S, EntryDaemon
from wigeonford.entry._decisions import DecisionRing
from wigeonford.entry._dispatch import Dispatcher, REQUEST_ID_HEADER
from wigeonford.entry._fair_queue import DispatchGate
from wigeonford.entry._front import Announcement, FrontEnd
from wigeonford.entry._hop import HopReceiver, SlotCapacity
from wigeonford.entry._limiter import (
    LeasedQuotaLimiter,
    Limiter,
)
from wigeonford.entry._link_leases import LinkLeases
from wigeonford.entry._lookup import (
    Lookup,
    LOOKUP_LIFETIME_S,
    LookupBuilder,
    LookupResponse,
)
from wigeonford.entry._lookup_ranking import RankedVM, Ranking
from wigeonford.entry._lookup_table import BlockTable, RangeTable
from wigeonford.entry._pipeline import Pipeline
from wigeonford.entry._published import EntryConfig
from wigeonford.entry._quota_client import QuotaClient
from wigeonford.entry._region_peers import RegionPeers
from wigeonford.entry._registry import TargetRegistry
from wigeonford.entry._remote import (
    MAX_IN_FLIGHT_WITHOUT_TARGET,
    RegionalDispatcher,
)
from wigeonford.entry._slots import SlotTable
from wigeonford.entry._spread import (
    DownstreamMembers,
    Parents,
    plan_parents,
    SpreadShape,
)
from wigeonford.entry._suspects import PoisonRequests
from wigeonford.entry._targets import TargetDirectory

__all__ = [
    "DRAIN_LINGER_S",
    "LOOKUP_LIFETIME_S",
    "MAX_IN_FLIGHT_WITHOUT_TARGET",
    "Announcement",
    "Announcer",
    "BlockTable",
    "QuotaClient",
    "ClaimRequest",
    "Claims",
    "ConfigFollower",
    "ControlClaims",
    "DecisionRing",
    "DispatchGate",
    "Dispatcher",
    "EntryConfig",
    "EntryDaemon",
    "FrontEnd",
    "HopReceiver",
    "LeasedQuotaLimiter",
    "Limiter",
    "LinkLeases",
    "Lookup",
    "LookupResponse",
    "LookupBuilder",
    "DownstreamMembers",
    "Parents",
    "Pipeline",
    "RangeTable",
    "RankedVM",
    "Ranking",
    "RegionPeers",
    "RegionalDispatcher",
    "REQUEST_ID_HEADER",
    "SlotCapacity",
    "SlotTable",
    "SpreadShape",
    "PoisonRequests",
    "TargetDirectory",
    "TargetRegistry",
    "plan_parents",
]
