"""Choice of a target among those with a free slot."""

from collections.abc import Iterable

import msgspec

from wigeonford.model import Side


class Candidate(msgspec.Struct, frozen=True):
    """Describe a target that a request may be sent to.

    `side` says whether it belongs to the old system or to the new one that
    replaces it. `reported_load` is the load that the target announced; it is
    0 when idle and has no fixed upper limit.
    """

    target_id: str
    side: Side
    slots: int
    in_flight: int
    reported_load: float


def choose_target(
    candidates: Iterable[Candidate], side: Side | None = None
) -> Candidate | None:
    """Return the least loaded candidate that has a free slot.

    With `side`, only candidates of that side are considered.
    """
    free = (
        candidate
        for candidate in candidates
        if candidate.in_flight < candidate.slots
        and side in (None, candidate.side)
    )
    return min(free, key=_sort_key, default=None)


def _sort_key(candidate: Candidate) -> tuple[float, float, str]:
    used = candidate.in_flight / candidate.slots
    return used, candidate.reported_load, candidate.target_id
