"""Evacuated availability zones, which receive no requests."""

from collections.abc import Iterable


class Evacuations:
    """Hold the evacuated zones and count ended evacuations.

    `ended_counts` counts the ended evacuations by zone, so that a reader
    notices an evacuation that began and ended between two reads.
    """

    def __init__(
        self,
        zones: Iterable[str] = (),
        ended_counts: dict[str, int] | None = None,
    ) -> None:
        self.zones: set[str] = set(zones)
        self.ended_counts: dict[str, int] = dict(ended_counts or {})

    def begin(self, zone: str) -> bool:
        """Evacuate a zone; return False if it is evacuated already."""
        if zone in self.zones:
            return False
        self.zones.add(zone)
        return True

    def end(self, zone: str) -> bool:
        """End a zone's evacuation; return False if there is none."""
        if zone not in self.zones:
            return False
        self.zones.remove(zone)
        self.ended_counts[zone] = self.ended_counts.get(zone, 0) + 1
        return True
