"""Signals that come when a daemon has stopped don't change its exit code."""

import os
from pathlib import Path
import subprocess
import sys
import tempfile
from typing import Final
import unittest

RUN: Final = """
import os, signal, sys
from wigeonford._log_writer import LogWriter
from wigeonford._stop_request import StopRequest
from wigeonford.platform import _runner
close = LogWriter.close
def signal_and_close(writer):
    for name in ("SIGHUP", "SIGTERM", "SIGINT"):
        os.kill(os.getpid(), getattr(signal, name))
    close(writer)
LogWriter.close = signal_and_close
stop_request = StopRequest()
stop_request.is_made = True
sys.argv = ["daemon", "entry"]
sys.exit(_runner.run(stop_request))
"""
SETTINGS: Final = """
node = "a"
ip_address = "127.0.0.1"
zone = "z"
region = "r"
internal_port_range = [1, 2]
seeds = []
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
"""


class LateSignalTest(unittest.TestCase):
    """Send signals while the last log lines are written."""

    def test_signals_after_the_stop_end_nothing(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = Path(folder.name, "settings.toml")
        settings.write_text(SETTINGS)
        result = subprocess.run(
            [sys.executable, "-c", RUN],
            env={**os.environ, "WIGEONFORD_CONFIG": str(settings)},
            capture_output=True,
            timeout=60.0,
        )
        self.assertEqual(0, result.returncode, result)
        self.assertIn(b'"number": 102', result.stdout)
