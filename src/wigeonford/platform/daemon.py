"""Run a daemon on the platform: `entry` or `control`."""

import importlib
import signal
import sys
from typing import Final

from wigeonford._stop_request import StopRequest

_RUNNER: Final = "wigeonford.platform._runner"


def main() -> int:
    """Run a daemon; return its exit code.

    Signals are handled before the imports, which take long on a slow VM.
    """
    stop_request = StopRequest()
    # The settings file is read, and watched for changes, after the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    code: int = importlib.import_module(_RUNNER).run(stop_request)
    return code


if __name__ == "__main__":
    sys.exit(main())
