"""Entry point of `wigeonford-control`."""

from wigeonford.compose import build_control
from wigeonford.daemon import run
from wigeonford.settings import ControlSettings


def main() -> int:
    """Run a control replica until SIGTERM."""
    return run(
        "wigeonford-control",
        "Store and replicate the configuration, keys and claims.",
        ControlSettings,
        build_control,
    )
