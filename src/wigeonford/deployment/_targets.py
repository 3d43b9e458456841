"""Announcements of targets, and their table.

The table is deterministic on control replicas.
"""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from ipaddress import IPv4Address
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonford.settings import parse_address

MAX_TOMBSTONES: Final = 20000
"""Targets remembered after they left; a fleet of the planned size starts fewer
in a day."""
MAX_NAME_CHARS: Final = 200
"""Longest id, service, zone or software version."""
MAX_SLOTS: Final = 100_000
"""Most slots of a target; actual ones have tens. Sums over all targets stay
far within what a float holds exactly."""
MAX_COUNT: Final = (1 << 63) - 1
"""Largest start time in milliseconds, and largest sequence."""
MAX_COLD_S: Final = 600.0
"""Longest cold time of a target; actual ones are seconds."""


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """Hold an announcement of a target about itself.

    `born_ms` is the Unix time of its start and orders its incarnations;
    `sequence` orders the announcements of one incarnation. `cold_s` is the
    remaining time for which the target stays cold.
    """

    target_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    availability_zone: str
    software: str
    slots: int
    is_draining: bool
    cold_s: float


class Target(msgspec.Struct, frozen=True):
    """Hold a target's announcement and the revision of its last change."""

    revision: int
    announced: Announcement


class AnnouncementEffect(StrEnum):
    """Name the effect of an announcement."""

    CHANGED = "changed"
    SAME = "same"
    STALE = "stale"
    CONFLICT = "conflict"


_COLD_SLACK_S: Final = 0.75
"""Least change of the remaining cold time that is recorded: half of the
interval between announcements."""


class TargetTable:
    """Hold the latest announcement of each target.

    Announcements are ordered by incarnation and sequence. The tombstone of a
    target that left holds its incarnation, so that a late announcement
    doesn't bring it back. One that was removed for its silence may go on: it
    returns with its next announcement, unless it was draining. An address
    belongs to the target that was started last.

    An entry that can't be used, which an earlier build may have stored, stays
    in the table, so that revisions are the same on all replicas; readers are
    told that it left.
    """

    def __init__(
        self,
        targets: Iterable[Target] = (),
        tombstones: Iterable[tuple[str, int, int]] = (),
        returnable: Iterable[tuple[str, int]] = (),
    ) -> None:
        self._targets = {known.announced.target_id: known for known in targets}
        self._by_address = {
            known.announced.address: known.announced.target_id
            for known in self._targets.values()
        }
        self._unusable_ids = {
            known.announced.target_id
            for known in self._targets.values()
            if not _is_usable(known.announced)
        }
        # By target id: the revision at which it left, and its incarnation.
        self._tombstones = {
            name: (revision, born_ms) for name, revision, born_ms in tombstones
        }
        # The last sequence, by target id, of those that may return.
        self._returnable = dict(returnable)

    def __len__(self) -> int:
        return len(self._targets)

    def __iter__(self) -> Iterator[Target]:
        return iter(self._targets.values())

    def get(self, target_id: str) -> Target | None:
        """Return a target, or None."""
        return self._targets.get(target_id)

    def at_address(self, address: str) -> Target | None:
        """Return the target that holds an address, or None."""
        target_id = self._by_address.get(address)
        return None if target_id is None else self._targets[target_id]

    def tombstones(self) -> Iterator[tuple[str, int, int]]:
        """Yield id, revision and incarnation of each target that left."""
        for name, (revision, born_ms) in self._tombstones.items():
            yield name, revision, born_ms

    def returnable(self) -> Iterator[tuple[str, int]]:
        """Yield id and last sequence of each target that may return."""
        yield from self._returnable.items()

    def classify(
        self, received: Announcement, cold_left_s: float
    ) -> AnnouncementEffect:
        """Return the effect that an announcement would have.

        `cold_left_s` is the remaining cold time known so far.
        """
        if self._has_ended(received):
            return AnnouncementEffect.STALE
        known = self._targets.get(received.target_id)
        if known is not None and received.born_ms <= known.announced.born_ms:
            return self._classify_incarnation(
                known.announced, received, cold_left_s
            )
        other_id = self._by_address.get(received.address)
        if other_id is not None and other_id != received.target_id:
            holder = self._targets[other_id].announced
            if holder.born_ms > received.born_ms:
                return AnnouncementEffect.STALE
        return AnnouncementEffect.CHANGED

    def _has_ended(self, received: Announcement) -> bool:
        """Return whether the incarnation is known to have ended."""
        tombstone = self._tombstones.get(received.target_id)
        if tombstone is None or received.born_ms > tombstone[1]:
            return False
        last_sequence = self._returnable.get(received.target_id)
        return (
            last_sequence is None
            or received.born_ms < tombstone[1]
            or received.sequence <= last_sequence
        )

    def _classify_incarnation(
        self, known: Announcement, received: Announcement, cold_left_s: float
    ) -> AnnouncementEffect:
        if (
            received.born_ms < known.born_ms
            or received.sequence < known.sequence
        ):
            return AnnouncementEffect.STALE
        comparable = replace(
            received,
            sequence=known.sequence,
            is_draining=known.is_draining,
            cold_s=known.cold_s,
            slots=known.slots,
            software=known.software,
        )
        if comparable != known:
            return AnnouncementEffect.CONFLICT
        if known.is_draining and not received.is_draining:
            return AnnouncementEffect.STALE
        is_same_cold = abs(received.cold_s - cold_left_s) <= _COLD_SLACK_S
        if received.is_draining == known.is_draining and is_same_cold:
            return AnnouncementEffect.SAME
        return AnnouncementEffect.CHANGED

    def put(self, revision: int, received: Announcement) -> bool:
        """Apply an announcement; return False if it is stale or conflicts."""
        effect = self.classify(received, -1.0)
        if effect not in (AnnouncementEffect.CHANGED, AnnouncementEffect.SAME):
            return False
        other_id = self._by_address.get(received.address)
        if other_id is not None and other_id != received.target_id:
            self.remove(revision, other_id)
        known = self._targets.get(received.target_id)
        if known is not None and known.announced.address != received.address:
            self._by_address.pop(known.announced.address, None)
        self._tombstones.pop(received.target_id, None)
        self._returnable.pop(received.target_id, None)
        self._targets[received.target_id] = Target(revision, received)
        self._by_address[received.address] = received.target_id
        self._unusable_ids.discard(received.target_id)
        if not _is_usable(received):
            self._unusable_ids.add(received.target_id)
        return True

    def remove(
        self, revision: int, target_id: str, *, may_return: bool = False
    ) -> bool:
        """Replace a target by a tombstone; return whether it was known."""
        known = self._targets.pop(target_id, None)
        if known is None:
            return False
        self._unusable_ids.discard(target_id)
        address = known.announced.address
        if self._by_address.get(address) == target_id:
            del self._by_address[address]
        self._tombstones[target_id] = (revision, known.announced.born_ms)
        if may_return and not known.announced.is_draining:
            self._returnable[target_id] = known.announced.sequence
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            del self._tombstones[oldest]
            self._returnable.pop(oldest, None)
        return True

    def changed_since(self, revision: int) -> Iterator[Target]:
        """Yield the usable targets that changed after a revision."""
        return (
            known
            for name, known in self._targets.items()
            if known.revision > revision and name not in self._unusable_ids
        )

    def unusable(self) -> Iterator[Target]:
        """Yield the targets that can't be used."""
        return (self._targets[name] for name in self._unusable_ids)

    def removed_since(self, revision: int) -> Iterator[str]:
        """Yield the ids of targets that left after a revision.

        These include targets that can't be used any more.
        """
        for known in self.unusable():
            if known.revision > revision:
                yield known.announced.target_id
        for name, (left_revision, _) in self._tombstones.items():
            if left_revision > revision:
                yield name


def check_announcement(announced: Announcement) -> Iterator[str]:
    """Yield each reason for which a target can't be used."""
    yield from _check_name("id", announced.target_id, 1)
    if not announced.target_id.isascii():
        yield "the id, which is sent in headers, is not ASCII"
    yield from _check_name("service", announced.service, 1)
    yield from _check_name("zone", announced.availability_zone, 1)
    yield from _check_name("version", announced.software, 0)
    if not is_target_address(announced.address):
        yield "the address is not a host's IPv4 address and a port from 1 on"
    if not 0 <= announced.born_ms <= MAX_COUNT:
        yield f"the start time is not in the range 0 to {MAX_COUNT}"
    if not 0 <= announced.sequence <= MAX_COUNT:
        yield f"the sequence is not in the range 0 to {MAX_COUNT}"
    if not 1 <= announced.slots <= MAX_SLOTS:
        yield f"the slots are not in the range 1 to {MAX_SLOTS}"
    if not 0 <= announced.cold_s <= MAX_COLD_S:
        yield f"the cold time is not in the range 0 to {MAX_COLD_S:g} s"


def is_target_address(text: str) -> bool:
    """Return whether a text is a host's IPv4 address and a port."""
    try:
        address = parse_address(text)
        IPv4Address(address.host)
    except ValueError:
        return False
    # 0 is this VM itself; multicast and reserved addresses begin at 224.
    first_octet = int(address.host.partition(".")[0])
    return (
        address.port > 0 and str(address) == text and 1 <= first_octet <= 223
    )


def _check_name(field: str, name: str, min_chars: int) -> Iterator[str]:
    if not min_chars <= len(name) <= MAX_NAME_CHARS:
        yield (
            f"the {field} has {len(name)} characters instead of "
            f"{min_chars} to {MAX_NAME_CHARS}"
        )
    elif not name.isprintable():
        yield f"the {field} has characters that can't be printed"


def _is_usable(announced: Announcement) -> bool:
    return next(check_announcement(announced), None) is None
