"""Entry point of `wigeonford-entry`."""

from wigeonford.compose import build_entry
from wigeonford.daemon import run
from wigeonford.settings import EntrySettings


def main() -> int:
    """Run an entry VM until SIGTERM."""
    return run(
        "wigeonford-entry",
        "Answer look-ups and forward callers' requests to targets.",
        EntrySettings,
        build_entry,
    )
