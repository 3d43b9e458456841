"""Settings of the daemons and of the operators' command line."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from wigeonford.invariants import OnBreach
from wigeonford.settings._decode import bounded

MAX_PORT: Final = 65535
_MAX_SHOWN_CHARS: Final = 60


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP endpoint by IP address; port 0 selects a free port."""

    host: str = "127.0.0.1"
    port: int = bounded(0, MAX_PORT, default=0)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the endpoint in a text `host:port`; raise `ValueError`."""
    host, _, port = text.rpartition(":")
    # int() also takes signs, spaces, underscores and other scripts' digits.
    if not (port.isascii() and port.isdecimal() and len(port) <= 5):
        raise ValueError(f"{text[:_MAX_SHOWN_CHARS]!r} has no valid port")
    if not host or not host.isascii() or int(port) > MAX_PORT:
        raise ValueError(f"{text[:_MAX_SHOWN_CHARS]!r} is not an endpoint")
    return Address(host, int(port))


def is_address(text: str) -> bool:
    """Return whether a text is an endpoint `host:port`."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


@dataclass(frozen=True, slots=True)
class Secrets:
    """Secrets shared by all VMs, each of 16 to 256 characters.

    `peer` authenticates messages between VMs, `key_hash` hashes API keys,
    `operator` and `target` are the bearer credentials of operators and
    targets.
    """

    peer: str = bounded(16, 256)
    key_hash: str = bounded(16, 256)
    operator: str = bounded(16, 256)
    target: str = bounded(16, 256)


@dataclass(frozen=True, slots=True)
class Tls:
    """Files of a VM's certificate, its private key and the shared root."""

    certificate: Path
    private_key: Path
    root: Path


@dataclass(frozen=True, slots=True)
class ControlMember:
    """A control replica, its region and its address for peers."""

    name: str
    region: str
    peer_address: Address


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of `wigeonford-control`."""

    name: str
    region: str
    data_folder: Path
    secrets: Secrets
    members: tuple[ControlMember, ...] = ()
    operator_address: Address = field(default_factory=Address)
    peer_address: Address = field(default_factory=Address)
    tls: Tls | None = None
    on_breach: OnBreach = OnBreach.REFUSE


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' connections and requests.

    `connections` is the limit of the VM, `connections_per_address` that of
    one IP address.
    """

    head_bytes: int = bounded(1024, 1 << 20, default=16384)
    body_bytes: int = bounded(1024, 1 << 34, default=1 << 30)
    head_timeout_s: float = bounded(0.1, 300, default=10.0)
    body_idle_timeout_s: float = bounded(0.1, 300, default=15.0)
    body_bytes_per_s: float = bounded(1, 1e9, default=100.0)
    write_timeout_s: float = bounded(0.1, 300, default=30.0)
    keep_alive_s: float = bounded(0.1, 3600, default=30.0)
    connections: int = bounded(1, 100000, default=4096)
    connections_per_address: int = bounded(1, 100000, default=512)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of `wigeonford-entry`."""

    name: str
    availability_zone: str
    secrets: Secrets
    control: tuple[Address, ...]
    address: Address = field(default_factory=Address)
    peer_address: Address = field(default_factory=Address)
    limits: CallerLimits = field(default_factory=CallerLimits)
    tls: Tls | None = None
    on_breach: OnBreach = OnBreach.REFUSE


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Settings of the operators' command line."""

    author: str
    operator_secret: str = bounded(16, 256)
    control: tuple[Address, ...] = ()
    tls: Tls | None = None
