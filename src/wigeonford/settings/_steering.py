"""Settings of the daemons that route a deployment's requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from wigeonford.settings._daemons import Address
from wigeonford.settings._decode import bounded


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Limit the retries at targets of a service, over all entry VMs.

    In any `window_s`, at most `slack` retries are sent, and `ratio` for each
    request in this time or in the one before it, whichever are more.
    """

    ratio: float = bounded(0, 1, default=0.2)
    slack: float = bounded(0, 1e6, default=50.0)
    window_s: float = bounded(0.1, 600, default=10.0)


@dataclass(frozen=True, slots=True)
class SteerControlSettings:
    """Settings of a control replica that publishes a deployment.

    `seeds` are peer addresses of control replicas. With `may_bootstrap`,
    seeds without data form a new group. `desired_voters` is the number of
    voters that the group maintains; `zones` maps zones to regions.
    """

    name: str
    peer_address: Address
    api_address: Address
    data_folder: Path
    seeds: tuple[str, ...]
    may_bootstrap: bool
    zones: Mapping[str, str]
    metrics_address: Address | None = None
    desired_voters: int = 5
    region: str = ""
    availability_zone: str = ""
    drain_s: float = bounded(0, 600, default=2.5)
    grace_s: float = bounded(0, 600, default=6.0)


@dataclass(frozen=True, slots=True)
class SteerEntrySettings:
    """Settings of an entry VM that routes a deployment's requests.

    `seeds` are peer addresses of control replicas; `zones` maps zones to
    regions. Over all entry VMs, a client account may exceed its rate limit
    by `rate_slack` requests.
    """

    name: str
    availability_zone: str
    region: str
    address: Address
    ready_address: Address
    seeds: tuple[str, ...]
    zones: Mapping[str, str]
    lookup_address: Address | None = None
    relay_address: Address | None = None
    metrics_address: Address | None = None
    rate_slack: float = bounded(0, 1e6, default=0.0)
    retry_bounds: RetryBounds = field(default_factory=RetryBounds)
    grace_s: float = bounded(0, 600, default=6.0)
    max_file_descriptors: int = bounded(64, 1 << 20, default=4096)
