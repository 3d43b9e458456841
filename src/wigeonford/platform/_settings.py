"""Decode the platform's settings file."""

from pathlib import Path
import tomllib
from typing import Annotated, Any, Final

import msgspec

from wigeonford.errors import Code, Fault, SettingsError
from wigeonford.settings import (
    Address,
    is_address,
    MAX_PORT,
    parse_address,
    RetryBounds,
    SteerControlSettings,
    SteerEntrySettings,
)

SETTINGS_VARIABLE: Final = "WIGEONFORD_CONFIG"
METRICS_PORT: Final = 9464
"""Port of the metrics, as stated in deploy/system.toml; outside the range of
the users' ports."""
DEFAULT_PATH: Final = "/etc/wigeonford/settings.toml"


_Time = Annotated[float, msgspec.Meta(ge=0, le=600)]
_Window = Annotated[float, msgspec.Meta(ge=0.1, le=600)]
_Slack = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]


class _Listen(msgspec.Struct, frozen=True):
    """Addresses to listen at; each role uses some of them."""

    front: str | None = None
    ready: str | None = None
    control: str | None = None
    directory: str | None = None


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: int = 0
    file_descriptors: int = 4096


class _Tolerance(msgspec.Struct, frozen=True):
    machines: int = 0


class _Bounds(msgspec.Struct, frozen=True):
    drain_s: _Time = 2.5
    grace_s: _Time = 6.0
    retry_budget_ratio: _Slack = 0.2
    budget_slack: _Slack = 50.0
    budget_window_s: _Window = 10.0
    quota_slack: _Slack = 0.0


class PlatformSettings(msgspec.Struct, frozen=True):
    """The settings file; fields not listed here are ignored.

    `internal_port_range` is the first and the last port for traffic between
    VMs; control replicas listen for peers at the first. `bootstrap` is true
    only at the very first start of the system.
    """

    node: str
    ip_address: str
    zone: str
    region: str
    internal_port_range: tuple[_Port, _Port]
    seeds: tuple[str, ...]
    bootstrap: bool = False
    data_directory: str = ""
    zones: dict[str, str] = msgspec.field(default_factory=dict)
    listen: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)

    @property
    def peer_port(self) -> int:
        """Return the port at which control replicas listen for peers."""
        return self.internal_port_range[0]

    @property
    def relay_port(self) -> int:
        """Return the port for requests that other entry VMs can't send.

        A control replica on the same VM listens at the first port.
        """
        return self.internal_port_range[1]

    @property
    def peer_seeds(self) -> tuple[str, ...]:
        """Return the peer addresses of the usable seeds."""
        return tuple(
            str(Address(parse_address(seed).host, self.peer_port))
            for seed in self.seeds
            if is_address(seed)
        )

    @property
    def unusable_seeds(self) -> tuple[str, ...]:
        """Return the seeds that are not endpoints."""
        return tuple(seed for seed in self.seeds if not is_address(seed))


def read_settings(path: Path) -> PlatformSettings:
    """Return the settings in a file; raise `SettingsError`."""
    try:
        document: Any = tomllib.loads(path.read_text())
        cfg = msgspec.convert(document, PlatformSettings)
    except msgspec.ValidationError as exc:
        fault = Fault(str(path), str(exc), "valid")
        raise SettingsError(Code.SETTINGS_INVALID, (fault,)) from exc
    except (OSError, ValueError, RecursionError) as exc:
        fault = Fault(str(path), repr(exc), "a readable TOML file")
        raise SettingsError(Code.SETTINGS_UNREADABLE, (fault,)) from exc
    if cfg.seeds and not cfg.peer_seeds:
        fault = Fault("seeds", repr(cfg.seeds), "endpoints")
        raise SettingsError(Code.SETTINGS_INVALID, (fault,))
    return cfg


def _listen_address(text: str | None, name: str) -> Address:
    if text is None:
        fault = Fault(f"listen.{name}", "missing", "an address")
        raise SettingsError(Code.SETTINGS_INVALID, (fault,))
    if not is_address(text):
        fault = Fault(f"listen.{name}", repr(text), "an address")
        raise SettingsError(Code.SETTINGS_INVALID, (fault,))
    return parse_address(text)


def to_control_settings(cfg: PlatformSettings) -> SteerControlSettings:
    """Return the settings of a control replica."""
    peer = Address(cfg.ip_address, cfg.peer_port)
    if not cfg.data_directory:
        fault = Fault("data_directory", "missing", "a folder")
        raise SettingsError(Code.SETTINGS_INVALID, (fault,))
    return SteerControlSettings(
        name=cfg.node,
        peer_address=peer,
        api_address=_listen_address(cfg.listen.control, "control"),
        data_folder=Path(cfg.data_directory),
        seeds=cfg.peer_seeds,
        may_bootstrap=cfg.bootstrap,
        zones=cfg.zones,
        metrics_address=Address(cfg.ip_address, METRICS_PORT),
        desired_voters=2 * cfg.fault_tolerance.machines + 1,
        region=cfg.region,
        availability_zone=cfg.zone,
        drain_s=cfg.bounds.drain_s,
        grace_s=cfg.bounds.grace_s,
    )


def to_entry_settings(cfg: PlatformSettings) -> SteerEntrySettings:
    """Return the settings of an entry VM."""
    directory = cfg.listen.directory
    return SteerEntrySettings(
        name=cfg.node,
        availability_zone=cfg.zone,
        region=cfg.region,
        address=_listen_address(cfg.listen.front, "front"),
        ready_address=_listen_address(cfg.listen.ready, "ready"),
        seeds=cfg.peer_seeds,
        zones=cfg.zones,
        metrics_address=Address(cfg.ip_address, METRICS_PORT),
        lookup_address=_listen_address(directory, "directory")
        if directory
        else None,
        relay_address=Address(cfg.ip_address, cfg.relay_port),
        rate_slack=cfg.bounds.quota_slack,
        retry_bounds=RetryBounds(
            cfg.bounds.retry_budget_ratio,
            cfg.bounds.budget_slack,
            cfg.bounds.budget_window_s,
        ),
        grace_s=cfg.bounds.grace_s,
        max_file_descriptors=cfg.limits.file_descriptors,
    )
