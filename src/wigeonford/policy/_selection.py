"""Choice of a target among those with a free slot."""

from collections.abc import Iterable

import msgspec

from wigeonford.model import Side


class Candidate(msgspec.Struct, frozen=True):
    """Describe a target that a request may be sent to."""

    target_id: str
    side: Side
    slots: int
    in_flight: int
    reported_load: float


def choose_target(
    candidates: Iterable[Candidate], side: Side | None = None
) -> Candidate | None:
    """Return the least loaded candidate of a side with a free slot."""
    free = (
        candidate
        for candidate in candidates
        if candidate.in_flight < candidate.slots
        and side in (None, candidate.side)
    )
    return min(free, key=_load, default=None)


def _load(candidate: Candidate) -> tuple[float, float, str]:
    used = candidate.in_flight / candidate.slots
    return used, candidate.reported_load, candidate.target_id
