"""Zones that get no work for now."""

from collections.abc import Iterable


class Evacuations:
    """Hold the evacuated zones and when others were taken back.

    `taken_back` counts the ends of evacuations by zone, so that a reader
    notices one that began and ended between two looks.
    """

    def __init__(
        self,
        zones: Iterable[str] = (),
        taken_back: dict[str, int] | None = None,
    ) -> None:
        self.zones: set[str] = set(zones)
        self.taken_back: dict[str, int] = dict(taken_back or {})

    def begin(self, zone: str) -> bool:
        """Evacuate a zone; tell whether that is news."""
        if zone in self.zones:
            return False
        self.zones.add(zone)
        return True

    def end(self, zone: str) -> bool:
        """Take a zone back; tell whether that is news."""
        if zone not in self.zones:
            return False
        self.zones.remove(zone)
        self.taken_back[zone] = self.taken_back.get(zone, 0) + 1
        return True
