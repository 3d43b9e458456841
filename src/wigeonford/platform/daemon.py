"""Run a daemon on the platform: `entry` or `control`."""

import argparse
import asyncio
from collections.abc import Callable
import os
from pathlib import Path
import signal
import sys
from typing import Final

from wigeonford.compose import build_steer_control, build_steer_entry
from wigeonford.control import Replica, TargetService
from wigeonford.daemon import (
    Daemon,
    EXIT_USAGE,
    serve_until_signal,
)
from wigeonford.errors import SettingsError
from wigeonford.events import (
    configure_logging,
    Event,
    EventLog,
    open_log_writer,
)
from wigeonford.http import Handler
from wigeonford.platform._control_api import ControlApi
from wigeonford.platform._front import (
    CallerApi,
    LookupApi,
    PlatformTargetWire,
)
from wigeonford.platform._settings import (
    DEFAULT_PATH,
    read_settings,
    SETTINGS_VARIABLE,
    to_control,
    to_entry,
)

RELOAD_INTERVAL_S: Final = 1.0
"""Pause between looks at the file, which may change without a signal."""


class SettingsFile:
    """Hold the settings as the file says; a bad file changes nothing."""

    def __init__(self, path: Path, log: EventLog) -> None:
        self._path = path
        self._log = log
        self._content = path.read_bytes()
        self.current = read_settings(path)

    def seeds(self) -> tuple[str, ...]:
        """Return the seeds at present, as addresses for peers."""
        return self.current.peer_seeds

    def reload(self) -> None:
        """Read the file again where it has changed."""
        try:
            content = self._path.read_bytes()
            if content == self._content:
                return
            self._content = content
            self.current = read_settings(self._path)
        except (OSError, SettingsError) as exc:
            self._log.emit(Event.SETTINGS_REJECTED, detail=str(exc))
            return
        self._log.emit(
            Event.SETTINGS_RELOADED, seeds=list(self.current.peer_seeds)
        )

    async def watch(self) -> None:
        """Read the file again at each signal, and now and then."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self.reload()


_Builder = Callable[[SettingsFile, EventLog], Daemon]
_BUILDERS: Final[dict[str, _Builder]] = {}


def _builds(role: str) -> Callable[[_Builder], _Builder]:
    def add(function: _Builder) -> _Builder:
        _BUILDERS[role] = function
        return function

    return add


@_builds("control")
def _build_control(file: SettingsFile, log: EventLog) -> Daemon:
    cfg = to_control(file.current)

    def build_api(
        replica: Replica, targets: TargetService, log: EventLog
    ) -> Handler:
        return ControlApi(replica, targets, dict(cfg.zones), log).handle

    return build_steer_control(cfg, file.seeds, build_api, log)


@_builds("entry")
def _build_entry(file: SettingsFile, log: EventLog) -> Daemon:
    return build_steer_entry(
        to_entry(file.current),
        file.seeds,
        PlatformTargetWire(),
        lambda forwarder: CallerApi(forwarder).handle,
        lambda follower, readiness: LookupApi(follower, readiness).handle,
        log,
    )


async def _run(file: SettingsFile, role: str, log: EventLog) -> int:
    watcher = asyncio.create_task(file.watch())
    try:
        return await serve_until_signal(_BUILDERS[role](file, log), log)
    finally:
        watcher.cancel()


def main() -> int:
    """Run a daemon; return its exit code."""
    parser = argparse.ArgumentParser("wigeonford.platform.daemon")
    parser.add_argument("role", choices=sorted(_BUILDERS))
    args = parser.parse_args()
    writer = open_log_writer(sys.stdout)
    configure_logging(writer)
    log = EventLog(role=args.role)
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        file = SettingsFile(path, log)
    except (OSError, SettingsError) as exc:
        log.emit(Event.SETTINGS_REJECTED, detail=str(exc))
        writer.close()
        return EXIT_USAGE
    code = asyncio.run(_run(file, args.role, log))
    writer.close()
    return code


if __name__ == "__main__":
    sys.exit(main())
