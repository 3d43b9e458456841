"""Test runner plugin: closing line, and faults that are known."""

from pathlib import Path
import re
import sys
from typing import Any, Final

from nose2.events import Plugin

KNOWN_RED: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_ID: Final = re.compile(r"^test: (\S+)$", re.MULTILINE)


def known_red_tests() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return frozenset()
    return frozenset(_TEST_ID.findall(KNOWN_RED.read_text()))


class SummaryPlugin(Plugin):  # type: ignore[misc]
    """Count outcomes; pass over failures of tests known to be red."""

    configSection = "summary"

    def __init__(self) -> None:
        self._known = known_red_tests()
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def setTestOutcome(self, event: Any) -> None:  # noqa: N802
        """Mark the failure of a known red test as expected."""
        if event.exc_info is None or not self._is_known(event):
            return
        event.outcome = "skipped"
        event.reason = "known red"
        event.exc_info = None

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Count one outcome; a subtest counts only where it failed."""
        if event.outcome == "subtest" and event.exc_info is None:
            return
        outcome = event.outcome
        if outcome not in ("passed", "skipped"):
            outcome = "failed"
        self._counts[outcome] += 1
        if outcome == "skipped":
            print(f"KNOWN RED {event.test.id()}", file=sys.stderr)

    def afterSummaryReport(self, _event: Any) -> None:  # noqa: N802
        """Print the closing line."""
        counts = self._counts
        line = f"{counts['passed']} passed, {counts['failed']} failed"
        if counts["skipped"]:
            line += f", {counts['skipped']} skipped"
        sys.stderr.flush()
        print(line, flush=True)

    def _is_known(self, event: Any) -> bool:
        test = getattr(event.test, "test_case", event.test)
        return test.id() in self._known
