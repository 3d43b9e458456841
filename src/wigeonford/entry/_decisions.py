"""Dispatch decisions of recent requests, kept for operators."""

from collections import OrderedDict
from dataclasses import dataclass, field
import time
from typing import Final

from wigeonford.errors import Code
from wigeonford.model import Side

MAX_DECISIONS: Final = 512


@dataclass(frozen=True, slots=True)
class Step:
    """Describe an attempt, or the reason why none was made."""

    at_ms: float
    what: str
    target: str = ""
    side: str = ""
    code: int = 0
    detail: str = ""


@dataclass(slots=True)
class Decision:
    """Record the steps of one request through dispatch."""

    request_id: str
    account: str
    service: str
    method: str
    path: str
    started_s: float
    steps: list[Step] = field(default_factory=list)

    def add(
        self,
        what: str,
        *,
        target: str = "",
        side: Side | None = None,
        code: Code | None = None,
        detail: str = "",
    ) -> None:
        """Record one step."""
        step = Step(
            round((time.monotonic() - self.started_s) * 1000, 3),
            what,
            target,
            side.value if side is not None else "",
            code.number if code is not None else 0,
            detail,
        )
        self.steps.append(step)


class DecisionRing:
    """Store the decisions of recent requests by request id."""

    def __init__(self) -> None:
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Store a decision; evict the oldest when full."""
        self._decisions.pop(decision.request_id, None)
        self._decisions[decision.request_id] = decision
        if len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)

    def find(self, request_id: str) -> Decision | None:
        """Return the latest decision about a request."""
        return self._decisions.get(request_id)
