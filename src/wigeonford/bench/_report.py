"""What every experiment returns."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Report:
    """Hold the figures of a run and whether it kept every promise."""

    data: dict[str, Any]
    passed: bool
