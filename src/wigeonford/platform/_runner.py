"""Load the settings and run the daemon of a role."""

import argparse
import asyncio
from collections.abc import Callable
import importlib
import os
from pathlib import Path
import signal
import sys
from typing import Final

from wigeonford._stop_request import STOP_SIGNALS, StopRequest
from wigeonford.daemon import Daemon, EXIT_USAGE, serve_until_signal
from wigeonford.errors import SettingsError
from wigeonford.events import (
    configure_logging,
    Event,
    EventLog,
    open_log_writer,
)
from wigeonford.platform._settings import DEFAULT_PATH, SETTINGS_VARIABLE
from wigeonford.platform._settings_file import SettingsFile

BuildDaemon = Callable[[SettingsFile, EventLog], Daemon]
_ROLES: Final = {
    "control": "wigeonford.platform._control_role",
    "entry": "wigeonford.platform._entry_role",
}
"""Module that builds each role's daemon; a process imports only the module of
its role."""


def _import_builder(role: str) -> BuildDaemon:
    build: BuildDaemon = importlib.import_module(_ROLES[role]).build_daemon
    return build


async def _serve(
    settings_file: SettingsFile,
    build: BuildDaemon,
    stop_request: StopRequest,
    log: EventLog,
) -> int:
    watcher = asyncio.create_task(settings_file.watch())
    try:
        return await serve_until_signal(
            build(settings_file, log), log, stop_request
        )
    finally:
        watcher.cancel()


def run(stop_request: StopRequest) -> int:
    """Run a daemon from the command line; return its exit code."""
    parser = argparse.ArgumentParser("wigeonford.platform.daemon")
    parser.add_argument("role", choices=sorted(_ROLES))
    args = parser.parse_args()
    writer = open_log_writer(sys.stdout)
    configure_logging(writer)
    log = EventLog(role=args.role)
    path = Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))
    try:
        settings_file = SettingsFile(path, log)
    except (OSError, SettingsError) as exc:
        log.emit(Event.SETTINGS_REJECTED, detail=str(exc))
        writer.close()
        return EXIT_USAGE
    build = _import_builder(args.role)
    code = asyncio.run(_serve(settings_file, build, stop_request, log))
    # The event loop has reset the handlers; the last lines may take a while.
    for signal_number in (*STOP_SIGNALS, signal.SIGHUP):
        signal.signal(signal_number, signal.SIG_IGN)
    writer.close()
    return code
