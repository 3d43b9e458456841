"""The kinds of named objects that operators create."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final, TypeVar

from wigeonford.settings import bounded

T = TypeVar("T", bound=type[Any])

KINDS: Final[dict[str, type[Any]]] = {}
"""Map each kind, the name of its list in a settings file, to its class."""


def kind(name: str) -> Callable[[T], T]:
    """Register a class of named objects under the name of its list."""

    def register(cls: T) -> T:
        KINDS[name] = cls
        return cls

    return register


def reference(target_kind: str, **options: Any) -> Any:
    """Declare a field that names an object, or objects, of a kind."""
    return field(metadata={"reference": target_kind}, **options)


class RequestClass(StrEnum):
    """Say whether someone waits for the answer."""

    INTERACTIVE = "interactive"
    BULK = "bulk"


class Side(StrEnum):
    """Tell the system that is being left from its replacement."""

    OLD = "old"
    NEW = "new"


@kind("regions")
@dataclass(frozen=True, slots=True)
class Region:
    """Group availability zones; `headroom` is the free part of slots."""

    name: str = bounded(1, 64)
    headroom: float = bounded(0, 0.9, default=0.0)


@kind("availability_zones")
@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """Name a zone of a region."""

    name: str = bounded(1, 64)
    region: str = reference("regions")


@kind("entry_vms")
@dataclass(frozen=True, slots=True)
class EntryVM:
    """Name a VM that serves callers; a drained one gets no new ones."""

    name: str = bounded(1, 64)
    availability_zone: str = reference("availability_zones")
    drained: bool = False


@kind("client_blocks")
@dataclass(frozen=True, slots=True)
class ClientBlock:
    """Place a prefix of caller addresses, such as 10.1.0.0/16."""

    name: str = bounded(1, 64)
    prefix: str = bounded(1, 64)
    availability_zone: str = reference("availability_zones")


@kind("client_block_pages")
@dataclass(frozen=True, slots=True)
class ClientBlockPage:
    """Hold many client blocks inside one cover, such as 10.0.0.0/8.

    `packed` is base64 of rows of address, prefix length and the index of
    a zone in `zones`, in order.
    """

    name: str = bounded(1, 64)
    cover: str = bounded(1, 64)
    zones: tuple[str, ...] = reference("availability_zones", default=())
    packed: str = bounded(0, 1 << 20, default="")


@kind("services")
@dataclass(frozen=True, slots=True)
class Service:
    """Describe what targets announce; times in seconds."""

    name: str = bounded(1, 64)
    request_class: RequestClass = RequestClass.INTERACTIVE
    timeout_s: float = bounded(0.05, 600, default=10.0)
    spill_over: bool = True


@kind("routes")
@dataclass(frozen=True, slots=True)
class Route:
    """Map a path prefix and methods to a service."""

    name: str = bounded(1, 64)
    path_prefix: str = bounded(1, 256)
    service: str = reference("services")
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = True
    open_to_all: bool = False


@kind("client_accounts")
@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Set a tenant's rate, in requests a second, and its burst."""

    name: str = bounded(1, 64)
    rate_per_s: float = bounded(0.1, 1e6)
    burst: float = bounded(1, 1e6)
    weight: float = bounded(0.1, 100, default=1.0)
    routes: tuple[str, ...] = reference("routes", default=())


@kind("shares")
@dataclass(frozen=True, slots=True)
class Share:
    """Move a part of a service from its old to its new targets.

    `cap` bounds the new side's part of the service's requests; `part` is
    what it gets now, over a ramp of `ramp_s` seconds. With `sticky`, an
    account stays on one side while the cap allows it.
    """

    name: str = bounded(1, 64)
    service: str = reference("services")
    cap: float = bounded(0, 1)
    part: float = bounded(0, 1, default=0.0)
    ramp_s: float = bounded(0, 86400, default=0.0)
    paused: bool = False
    sticky: bool = False


@kind("links")
@dataclass(frozen=True, slots=True)
class Link:
    """Bound the bits a second between two regions, each way."""

    name: str = bounded(1, 64)
    from_region: str = reference("regions")
    to_region: str = reference("regions")
    bits_per_s: float = bounded(1e3, 1e12)
    interactive_part: float = bounded(0, 1, default=0.7)
