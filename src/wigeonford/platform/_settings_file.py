"""Follow the settings file, which may change while a daemon runs."""

import asyncio
from pathlib import Path
import signal
from typing import Final

from wigeonford.errors import SettingsError
from wigeonford.events import Event, EventLog
from wigeonford.platform._settings import read_settings

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
