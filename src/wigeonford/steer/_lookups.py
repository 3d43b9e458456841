"""Select the entry VMs that a caller should use: pure."""

from collections.abc import Collection
from typing import Final

from wigeonford.messages.steering import EntryStatus

LOOKUP_TTL_S: Final = 1.0
"""How long callers cache a look-up."""
MAX_LOOKUP_AGE_S: Final = 3 * LOOKUP_TTL_S
"""How long the slowest callers cache it; the users say three times as long."""
MAX_ADDRESSES: Final = 64
"""Callers use at most so many addresses of a look-up."""


def select_entries(
    entries: Collection[EntryStatus], region: str, zone: str
) -> list[EntryStatus]:
    """Return the entry VMs that a caller should use.

    These are the ready ones of its zone, or else of its region, or else all.
    Callers choose among them at random, and a longer path costs them time.
    """
    ready = [status for status in entries if status.is_ready]
    nearby = [entry for entry in ready if entry.availability_zone == zone]
    nearby = nearby or [entry for entry in ready if entry.region == region]
    return (nearby or ready)[:MAX_ADDRESSES]
