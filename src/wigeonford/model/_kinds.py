"""The kinds of named objects that operators create."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final, TypeVar

from wigeonford.settings import bounded

T = TypeVar("T", bound=type[Any])

KINDS: Final[dict[str, type[Any]]] = {}
"""Map each kind, the name of its list in a settings file, to its class."""


def register_kind(name: str) -> Callable[[T], T]:
    """Return a decorator that registers a class of objects as a kind."""

    def register(cls: T) -> T:
        KINDS[name] = cls
        return cls

    return register


def reference(referenced_kind: str, **options: Any) -> Any:
    """Declare a field that names one or more objects of a kind."""
    return field(metadata={"reference": referenced_kind}, **options)


class RequestClass(StrEnum):
    """Classify requests by whether a user waits for the response."""

    INTERACTIVE = "interactive"
    BULK = "bulk"


class Side(StrEnum):
    """Distinguish the old system from the new one that replaces it."""

    OLD = "old"
    NEW = "new"


@register_kind("regions")
@dataclass(frozen=True, slots=True)
class Region:
    """Group availability zones.

    `headroom` is the fraction of the targets' slots that is kept free.
    """

    name: str = bounded(1, 64)
    headroom: float = bounded(0, 0.9, default=0.0)


@register_kind("availability_zones")
@dataclass(frozen=True, slots=True)
class AvailabilityZone:
    """Name an availability zone and its region."""

    name: str = bounded(1, 64)
    region: str = reference("regions")


@register_kind("entry_vms")
@dataclass(frozen=True, slots=True)
class EntryVM:
    """Name an entry VM; one that is `drained` gets no new callers."""

    name: str = bounded(1, 64)
    availability_zone: str = reference("availability_zones")
    drained: bool = False


@register_kind("client_blocks")
@dataclass(frozen=True, slots=True)
class ClientBlock:
    """Assign a prefix of caller addresses, such as 10.1.0.0/16, to a zone."""

    name: str = bounded(1, 64)
    prefix: str = bounded(1, 64)
    availability_zone: str = reference("availability_zones")


@register_kind("client_block_pages")
@dataclass(frozen=True, slots=True)
class ClientBlockPage:
    """Hold many client blocks inside one prefix, the `cover`.

    `packed` is the base64 text of rows sorted by address. A row has an
    address (4 or 16 bytes), a prefix length and an index into `zones` (one
    byte each).
    """

    name: str = bounded(1, 64)
    cover: str = bounded(1, 64)
    zones: tuple[str, ...] = reference("availability_zones", default=())
    packed: str = bounded(0, 1 << 20, default="")


@register_kind("services")
@dataclass(frozen=True, slots=True)
class Service:
    """Describe a service that targets announce; times are in seconds."""

    name: str = bounded(1, 64)
    request_class: RequestClass = RequestClass.INTERACTIVE
    timeout_s: float = bounded(0.05, 600, default=10.0)
    spill_over: bool = True


@register_kind("routes")
@dataclass(frozen=True, slots=True)
class Route:
    """Map a path prefix and methods to a service."""

    name: str = bounded(1, 64)
    path_prefix: str = bounded(1, 256)
    service: str = reference("services")
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = True
    open_to_all: bool = False


@register_kind("client_accounts")
@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Limit an account's rate, in requests per second, and its burst."""

    name: str = bounded(1, 64)
    rate_per_s: float = bounded(0.1, 1e6)
    burst: float = bounded(1, 1e6)
    weight: float = bounded(0.1, 100, default=1.0)
    routes: tuple[str, ...] = reference("routes", default=())


@register_kind("shares")
@dataclass(frozen=True, slots=True)
class Share:
    """Shift a fraction of a service's requests to its new targets.

    `part` is the fraction (0 to 1) that the new targets are to get; it is
    reached gradually within `ramp_s` seconds. `cap` is the upper bound of
    the fraction. With `sticky`, an account stays with the old or the new
    targets as long as the cap allows it.
    """

    name: str = bounded(1, 64)
    service: str = reference("services")
    cap: float = bounded(0, 1)
    part: float = bounded(0, 1, default=0.0)
    ramp_s: float = bounded(0, 86400, default=0.0)
    paused: bool = False
    sticky: bool = False


@register_kind("links")
@dataclass(frozen=True, slots=True)
class Link:
    """Limit the bits per second that one region sends to another.

    `interactive_part` is the fraction reserved for interactive requests;
    capacity that one request class leaves unused goes to the other.
    """

    name: str = bounded(1, 64)
    from_region: str = reference("regions")
    to_region: str = reference("regions")
    bits_per_s: float = bounded(1e3, 1e12)
    interactive_part: float = bounded(0, 1, default=0.7)
