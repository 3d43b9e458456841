"""Tell callers which entry VMs to use: pure."""

from collections.abc import Collection
from typing import Final

from wigeonford.messages.steering import EntryStatus

LIFETIME_S: Final = 1.0
"""How long callers keep an answer; some keep it three times as long, and a
stop takes six seconds."""
MAX_ADDRESSES: Final = 64
"""Addresses that callers take note of."""


def rank_entries(
    entries: Collection[EntryStatus], region: str, zone: str
) -> list[EntryStatus]:
    """Return the entry VMs that a caller should use.

    Those of its zone, or else of its region, or else all others: callers
    choose among them by lot, and each step further costs them time.
    """
    ready = [status for status in entries if status.ready]
    near = [s for s in ready if s.availability_zone == zone]
    near = near or [s for s in ready if s.region == region]
    return (near or ready)[:MAX_ADDRESSES]
