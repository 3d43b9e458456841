"""Settings of the daemons that steer one deployment."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from wigeonford.settings._daemons import Address
from wigeonford.settings._decode import bounded


@dataclass(frozen=True, slots=True)
class RepeatBounds:
    """Bound repeats at targets of a service over the whole fleet.

    In any window there may be `ratio` repeats for each request, and
    `slack` more.
    """

    ratio: float = bounded(0, 1, default=0.2)
    slack: float = bounded(0, 1e6, default=50.0)


@dataclass(frozen=True, slots=True)
class SteerControlSettings:
    """Settings of a control replica that publishes a deployment.

    `seeds` are peer addresses. With `may_found`, empty seeds found the
    group; `wanted_voters` is the size to which the group keeps itself.
    """

    name: str
    peer_address: Address
    api_address: Address
    data_folder: Path
    seeds: tuple[str, ...]
    may_found: bool
    zones: Mapping[str, str]
    metrics_address: Address | None = None
    wanted_voters: int = 5
    region: str = ""
    availability_zone: str = ""
    drain_s: float = bounded(0, 600, default=2.5)
    grace_s: float = bounded(0, 600, default=6.0)


@dataclass(frozen=True, slots=True)
class SteerEntrySettings:
    """Settings of an entry VM that steers a deployment.

    `seeds` are peer addresses of control; `zones` gives each zone's region.
    By `rate_slack` requests an account may be over its rate, fleet-wide.
    """

    name: str
    availability_zone: str
    region: str
    address: Address
    ready_address: Address
    seeds: tuple[str, ...]
    zones: Mapping[str, str]
    lookup_address: Address | None = None
    metrics_address: Address | None = None
    rate_slack: float = bounded(0, 1e6, default=0.0)
    repeats: RepeatBounds = field(default_factory=RepeatBounds)
    grace_s: float = bounded(0, 600, default=6.0)
    descriptors: int = bounded(64, 1 << 20, default=4096)
