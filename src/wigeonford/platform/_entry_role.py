"""Wire an entry VM on the platform."""

from wigeonford._compose_steer_entry import build_steer_entry
from wigeonford.daemon import Daemon
from wigeonford.events import EventLog
from wigeonford.platform._front import (
    CallerApi,
    LookupApi,
    PlatformTargetWire,
)
from wigeonford.platform._settings import to_entry_settings
from wigeonford.platform._settings_file import SettingsFile


def build_daemon(file: SettingsFile, log: EventLog) -> Daemon:
    """Return an entry VM with the settings in a file."""
    return build_steer_entry(
        to_entry_settings(file.current),
        file.seeds,
        PlatformTargetWire(),
        lambda forwarder: CallerApi(forwarder).handle,
        lambda follower, readiness: LookupApi(follower, readiness).handle,
        log,
    )
