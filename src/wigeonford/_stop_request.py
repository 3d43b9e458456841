"""Handle the signals that stop a process, before an event loop runs.

This module imports little, so that a process can handle signals before its
other imports.
"""

import signal
from types import FrameType
from typing import Final

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


class StopRequest:
    """Remember a signal that arrives before an event loop handles it."""

    def __init__(self) -> None:
        self.is_made = False
        for signal_number in STOP_SIGNALS:
            signal.signal(signal_number, self._record)

    def _record(self, _signal: int, _frame: FrameType | None) -> None:
        self.is_made = True
