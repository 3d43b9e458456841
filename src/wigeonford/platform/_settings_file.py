"""Reload the settings file when it changes while a daemon runs."""

import asyncio
from pathlib import Path
import signal
from typing import Final

from wigeonford.errors import SettingsError
from wigeonford.events import Event, EventLog
from wigeonford.platform._settings import read_settings

RELOAD_INTERVAL_S: Final = 1.0
"""Pause between checks of the file, which may change without a signal."""


class SettingsFile:
    """Hold the settings of a file; an invalid new version is ignored."""

    def __init__(self, path: Path, log: EventLog) -> None:
        self._path = path
        self._log = log
        self._content = path.read_bytes()
        self.current = read_settings(path)
        self._log_unusable_seeds()

    def seeds(self) -> tuple[str, ...]:
        """Return the peer addresses of the current seeds."""
        return self.current.peer_seeds

    def reload(self) -> None:
        """Reload the file if it has changed."""
        try:
            content = self._path.read_bytes()
            if content == self._content:
                return
            self._content = content
            settings = read_settings(self._path)
        except (OSError, SettingsError) as exc:
            self._log.emit(Event.SETTINGS_REJECTED, detail=str(exc))
            return
        self.current = settings
        self._log.emit(
            Event.SETTINGS_RELOADED, seeds=list(settings.peer_seeds)
        )
        self._log_unusable_seeds()

    def _log_unusable_seeds(self) -> None:
        for seed in self.current.unusable_seeds:
            self._log.emit(Event.PEER_UNUSABLE, address=repr(seed))

    async def watch(self) -> None:
        """Reload the file at SIGHUP and every `RELOAD_INTERVAL_S`."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self.reload()
