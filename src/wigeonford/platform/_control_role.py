"""Wire a control replica on the platform."""

from wigeonford._compose_steer_control import build_steer_control
from wigeonford.control import Replica, TargetService
from wigeonford.daemon import Daemon
from wigeonford.events import EventLog
from wigeonford.http import Handler
from wigeonford.platform._control_api import ControlApi
from wigeonford.platform._settings import to_control_settings
from wigeonford.platform._settings_file import SettingsFile


def build_daemon(file: SettingsFile, log: EventLog) -> Daemon:
    """Return a control replica with the settings in a file."""
    cfg = to_control_settings(file.current)

    def build_api(
        replica: Replica, targets: TargetService, log: EventLog
    ) -> Handler:
        return ControlApi(replica, targets, dict(cfg.zones), log).handle

    return build_steer_control(cfg, file.seeds, build_api, log)
