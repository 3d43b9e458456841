"""Keep the limits that targets state for their request rate: pure.

All entry VMs together have to keep a limit, so few of them send to a limited
target, each at its part of the rate; `_senders` selects them without a
message. A VM that reads a limit therefore keeps it at once. What it read is
passed on to the others, since those that send nothing read nothing.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
import math
from typing import Final

import msgspec

from wigeonford.deployment import Announcement
from wigeonford.messages.steering import EntryStatus, TargetLimit
from wigeonford.stated_limits import (
    decode_limit,
    encode_limit,
    is_usable,
    MAX_STATED_LIMITS,
    StatedLimit,
)
from wigeonford.steer._senders import SenderRanking, TargetBuckets
from wigeonford.steer._target_records import TargetRecord

MIN_SENDERS: Final = 2
"""Entry VMs that send to a limited target at least; one may fail."""
SENDERS_PER_LIMIT: Final = 2.0
"""Entry VMs that send, for each request per second of the limit."""
SAVED_PER_LIMIT: Final = 2.0
SAVED_TOKENS: Final = 3.0
"""Tokens that all entry VMs together may save while no request comes:
`SAVED_PER_LIMIT` for each request per second of the limit, and
`SAVED_TOKENS`. They add to the requests of a window. Each VM that sends saves
one at least."""
MAX_SAVED_TOKENS: Final = 2.0
"""Tokens that one entry VM may save."""
FAR_FRACTION: Final = 0.4
"""Fraction of a limit for entry VMs of other regions, whose requests come
while their own region is full."""
FAR_MIN_LIMIT_PER_S: Final = 5.0
"""Limit from which they get that fraction. Of a lower one, it is too little to
be used."""
TIGHT_UTILIZATION: Final = 0.25
"""Utilization of a target's slots that its limit has to allow. With a tighter
one, most requests for the objects at home there would go elsewhere."""
CUT_OFF_FRACTION: Final = 0.5
"""Fraction of its part that an entry VM uses while it reaches no control
replica: others may have been selected in its place."""
MIN_LIMIT_PER_S: Final = 0.5
"""Rate at which a target that accepts less is asked whether that still holds;
only its responses tell."""
IDLE_TOKEN_S: Final = 0.5
"""How long a token waits for a request whose object the target remembers.
After that it serves any request, so that the target is not left idle."""
REFRESH_INTERVAL_S: Final = 3.0
"""Interval at which a limit that is still stated is reported again."""
UNCONFIRMED_S: Final = 6.0
"""Age of the last observation from which further entry VMs send: those
selected may get no requests for the target's service."""
WIDENING_INTERVAL_S: Final = 3.0
"""Interval at which one more entry VM sends then, those of other regions last.
Each stops once any of them has got a response."""

_NEVER_S: Final = float("-inf")


class _LimitState(msgspec.Struct):
    """Hold a limit as this VM knows it.

    `learned_at_s` is when its rate became known here, and `shared_at_s` when
    an observation was last reported or received. `report_sequence` is 0 if
    this VM has reported none.
    """

    limit: StatedLimit
    learned_at_s: float
    shared_at_s: float
    report_sequence: int = 0


class _Part(msgspec.Struct, frozen=True):
    """Hold this VM's part of a limit, and the tokens that it may save."""

    rate_per_s: float
    max_tokens: float


class TargetLimits:
    """Hold the targets' limits, and this VM's part of each rate.

    `sequence` counts the reports of this VM; `on_report` is called after
    each. `is_connected` tells whether the roster of `entries` is kept up to
    date.
    """

    def __init__(
        self,
        name: str,
        entries: Callable[[], Mapping[str, EntryStatus]],
        is_connected: Callable[[], bool] = lambda: True,
    ) -> None:
        self._name = name
        self._is_connected = is_connected
        self._ranking = SenderRanking(entries)
        self._buckets = TargetBuckets()
        self._states: dict[str, _LimitState] = {}
        self._limited: dict[str, float] = {}
        self.sequence = 0
        self.on_report: Callable[[], None] = lambda: None

    @property
    def limited_ids(self) -> Collection[str]:
        """Return the ids of the targets that state a limit."""
        return self._limited.keys()

    def limit_per_s(self, target_id: str) -> float | None:
        """Return the rate that a target accepts, None without a limit."""
        return self._limited.get(target_id)

    def record_response(
        self,
        target_id: str,
        born_ms: int,
        per_s: float | None,
        sent_at_s: float,
        now_s: float,
    ) -> bool:
        """Record what a response states; return whether the limit changed.

        `sent_at_s` is when its request was sent. A higher limit, or none, is
        recorded only if the present one was known by then: otherwise the
        response may be older than the present limit.
        """
        state = self._states.get(target_id)
        known_per_s = self._limited.get(target_id)
        if per_s is None and known_per_s is None:
            return False
        is_raised = known_per_s is not None and (
            per_s is None or per_s > known_per_s
        )
        if state is not None and is_raised and sent_at_s <= state.learned_at_s:
            return False
        changed = per_s != known_per_s
        state = self._apply(
            StatedLimit(target_id, born_ms, per_s, now_s), now_s
        )
        if state is not None and (
            changed or now_s - state.shared_at_s >= REFRESH_INTERVAL_S
        ):
            state.shared_at_s = now_s
            self.sequence += 1
            state.report_sequence = self.sequence
            self.on_report()
        return changed

    def merge(
        self, reports: Iterable[TargetLimit], now_s: float
    ) -> list[StatedLimit]:
        """Apply what other entry VMs observed; return the changed limits."""
        changed: list[StatedLimit] = []
        for report in filter(is_usable, reports):
            limit = decode_limit(report, now_s)
            known_per_s = self._limited.get(limit.target_id)
            state = self._apply(limit, now_s)
            if state is None:
                continue
            state.shared_at_s = now_s
            if limit.per_s != known_per_s:
                changed.append(limit)
        return changed

    def _apply(self, limit: StatedLimit, now_s: float) -> _LimitState | None:
        """Apply an observation; return None if a later one is known."""
        state = self._states.get(limit.target_id)
        if state is None:
            if len(self._states) >= MAX_STATED_LIMITS:
                self._drop(next(iter(self._states)))
            state = _LimitState(limit, now_s, _NEVER_S)
            self._states[limit.target_id] = state
        elif not limit.supersedes(state.limit):
            return None
        if limit.per_s != state.limit.per_s:
            state.learned_at_s = now_s
        state.limit = limit
        if limit.per_s is None:
            self._limited.pop(limit.target_id, None)
            self._buckets.remove((limit.target_id,))
        else:
            self._limited[limit.target_id] = limit.per_s
        return state

    def own_reports_since(
        self, sequence: int, now_s: float
    ) -> tuple[TargetLimit, ...]:
        """Return this VM's reports after a `sequence`, as known now."""
        return tuple(
            encode_limit(state.limit, now_s)
            for state in self._states.values()
            if state.report_sequence > sequence
        )

    def apply_targets(
        self, changed: Iterable[Announcement], removed: Iterable[str]
    ) -> None:
        """End the limits of targets that were removed or started again.

        Late reports of an earlier start are ignored from then on.
        """
        for target_id in removed:
            self._drop(target_id)
        for announced in changed:
            target_id, born_ms = announced.target_id, announced.born_ms
            state = self._states.get(target_id)
            if state is not None and state.limit.born_ms < born_ms:
                self._drop(target_id)
                unlimited = StatedLimit(target_id, born_ms, None, _NEVER_S)
                self._apply(unlimited, _NEVER_S)

    def _drop(self, target_id: str) -> None:
        self._states.pop(target_id, None)
        self._limited.pop(target_id, None)
        self._buckets.remove((target_id,))

    def is_tight(
        self, record: TargetRecord, duration_s: float, now_s: float
    ) -> bool:
        """Return whether a limit leaves most requests of objects unserved.

        That is so if the limit is far below what the target could serve, or
        if not all entry VMs near it may send. `duration_s` is how long it
        takes to serve a request.
        """
        served_per_s = record.announced.slots / max(0.001, duration_s)
        limit_per_s = self._used_rate_per_s(record.target_id)
        if limit_per_s < TIGHT_UTILIZATION * served_per_s:
            return True
        near = self._ranking.ranks(record, now_s)
        return _count_near_senders(limit_per_s) < len(near)

    def is_sender(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether this VM may send to a limited target at all."""
        return self._own_part(record, now_s).rate_per_s > 0.0

    def has_token(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether a request may be sent to a limited target now."""
        part = self._own_part(record, now_s)
        if part.rate_per_s <= 0.0:
            # A VM that is selected again starts with an empty bucket.
            self._buckets.remove((record.target_id,))
            return False
        return self._buckets.has_token(
            record.target_id, part.rate_per_s, now_s, part.max_tokens
        )

    def is_token_idle(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether a token has waited for `IDLE_TOKEN_S`."""
        idle_s = self._buckets.idle_s(record.target_id, now_s)
        return idle_s >= IDLE_TOKEN_S

    def spend(self, target_id: str) -> None:
        """Take a token for a request that is sent to a limited target."""
        self._buckets.spend(target_id)

    def wait_s(self, record: TargetRecord, now_s: float) -> float:
        """Return how long until a limited target accepts a request.

        At another entry VM than this one, a caller finds room after about as
        long as the whole limit takes for one request.
        """
        rate_per_s = self._own_part(record, now_s).rate_per_s
        if rate_per_s > 0.0:
            return self._buckets.wait_s(record.target_id, rate_per_s, now_s)
        return 1.0 / self._used_rate_per_s(record.target_id)

    def _used_rate_per_s(self, target_id: str) -> float:
        return max(MIN_LIMIT_PER_S, self._limited[target_id])

    def _own_part(self, record: TargetRecord, now_s: float) -> _Part:
        """Return this VM's part of a target's limit."""
        target_id = record.target_id
        limit_per_s = self._used_rate_per_s(target_id)
        max_saved = SAVED_PER_LIMIT * limit_per_s + SAVED_TOKENS
        near = self._ranking.ranks(record, now_s)
        near_count = min(len(near), _count_near_senders(limit_per_s))
        far: Mapping[str, int] = {}
        if near_count == len(near) and limit_per_s >= FAR_MIN_LIMIT_PER_S:
            far = self._ranking.ranks(record, now_s, far=True)
        far_count = min(len(far), int(max_saved) - near_count)
        near_per_s = limit_per_s * (1 - FAR_FRACTION if far_count else 1.0)
        max_tokens = max_saved / max(1, near_count + far_count)
        rate_per_s = 0.0
        if self._name in near:
            age_s = now_s - self._states[target_id].limit.observed_at_s
            if near[self._name] < near_count + _further_senders(age_s):
                rate_per_s = near_per_s / near_count
        elif far.get(self._name, far_count) < far_count:
            rate_per_s = limit_per_s * FAR_FRACTION / far_count
        elif near_count and self._may_ask_from_afar(record, now_s):
            rate_per_s = near_per_s / near_count
        if not self._is_connected():
            rate_per_s *= CUT_OFF_FRACTION
        return _Part(rate_per_s, min(MAX_SAVED_TOKENS, max(1.0, max_tokens)))

    def _may_ask_from_afar(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether a VM of another region asks if a limit still holds.

        Those of the target's region come first.
        """
        age_s = now_s - self._states[record.target_id].limit.observed_at_s
        further = _further_senders(age_s)
        if not further or not self._is_connected():
            return False
        near_count = len(self._ranking.ranks(record, now_s))
        far = self._ranking.ranks(record, now_s, far=True)
        rank = far.get(self._name)
        return rank is not None and near_count + rank < further


def _count_near_senders(limit_per_s: float) -> int:
    """Return how many entry VMs of a target's region may send."""
    return max(MIN_SENDERS, math.ceil(SENDERS_PER_LIMIT * limit_per_s))


def _further_senders(age_s: float) -> int:
    """Return how many more entry VMs send, by an observation's age."""
    if age_s < UNCONFIRMED_S:
        return 0
    return 1 + int((age_s - UNCONFIRMED_S) / WIDENING_INTERVAL_S)
