"""Provide a nose2 plugin that counts outcomes and knows expected failures."""

from pathlib import Path
import re
import sys
from typing import Any, Final

from nose2.events import Plugin

KNOWN_RED_FILE: Final = Path(__file__).parent.parent / "KNOWN-RED.txt"
_TEST_ID: Final = re.compile(r"^test: (\S+)$", re.MULTILINE)


def known_red_ids() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    return frozenset(_TEST_ID.findall(KNOWN_RED_FILE.read_text()))


class SummaryPlugin(Plugin):  # type: ignore[misc]
    """Count outcomes; treat failures of the listed tests as skipped."""

    configSection = "summary"

    def __init__(self) -> None:
        self._known_red_ids = known_red_ids()
        self._counts = {"passed": 0, "failed": 0, "skipped": 0}

    def setTestOutcome(self, event: Any) -> None:  # noqa: N802
        """Mark the failure of a listed test as skipped."""
        if event.exc_info is None or not self._is_known_red(event):
            return
        event.outcome = "skipped"
        event.reason = "known red"
        event.exc_info = None

    def testOutcome(self, event: Any) -> None:  # noqa: N802
        """Count an outcome; a subtest counts only if it failed."""
        if event.outcome == "subtest" and event.exc_info is None:
            return
        outcome = event.outcome
        if outcome not in ("passed", "skipped"):
            outcome = "failed"
        self._counts[outcome] += 1
        if outcome == "skipped":
            print(f"KNOWN RED {event.test.id()}", file=sys.stderr)

    def afterSummaryReport(self, _event: Any) -> None:  # noqa: N802
        """Print the numbers of passed, failed and skipped tests."""
        counts = self._counts
        line = f"{counts['passed']} passed, {counts['failed']} failed"
        if counts["skipped"]:
            line += f", {counts['skipped']} skipped"
        sys.stderr.flush()
        print(line, flush=True)

    def _is_known_red(self, event: Any) -> bool:
        test = getattr(event.test, "test_case", event.test)
        return test.id() in self._known_red_ids
