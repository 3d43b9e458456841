"""The result of a bench or a demo."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Report:
    """Hold the figures of a run and whether its checks passed."""

    data: dict[str, Any]
    passed: bool
