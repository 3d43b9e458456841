"""From a request's id to its cause, by logs alone."""

import json
import unittest

from wigeonford.cli._story import (
    describe,
    find_unexplained,
    read_lines,
    select_request_lines,
)
from wigeonford.events import Event


def line(at: str, event: Event, **fields: object) -> str:
    """Return a line as a process writes it."""
    return json.dumps(
        {
            "vm": "front-1",
            "number": event.value.number,
            "event": event.value.text,
            "timestamp": f"2026-03-25T03:47:{at}Z",
            **fields,
        }
    )


class StoryTest(unittest.TestCase):
    """Three kinds of failed request."""

    def told(self, *contents: str) -> str:
        found = select_request_lines(read_lines(contents), "abc")
        return "\n".join(describe(item) for item in found)

    def test_refused_by_rate_without_a_leader(self) -> None:
        text = self.told(
            line("15.5", Event.PARTS_LOST, detail="no quorum"),
            line(
                "16.0",
                Event.REQUEST_FAILED,
                request="abc",
                reason="RATE_EXCEEDED",
                detail="farm: part 0.025 of 207.0/s",
            ),
            line("16.0", Event.REQUEST_FAILED, request="other"),
        )
        self.assertIn("no leader renews", text)
        self.assertIn("part 0.025 of 207.0/s", text)
        self.assertNotIn("other", text)

    def test_order_whose_target_crashed(self) -> None:
        text = self.told(
            line(
                "16.0",
                Event.REQUEST_PLACED,
                request="abc",
                target="t-1",
                why="home in south",
            ),
            line(
                "16.4",
                Event.ATTEMPT_FAILED,
                request="abc",
                target="t-1",
                outcome="broken",
            ),
            line("16.5", Event.TARGET_DOWN, target="t-1", detail="refused"),
            line("16.5", Event.TARGET_DOWN, target="t-2", detail="refused"),
        )
        self.assertIn("why=home in south", text)
        self.assertIn("outcome=broken", text)
        self.assertIn("target=t-1 detail=refused", text)
        self.assertNotIn("t-2", text)

    def test_time_out_on_an_old_view(self) -> None:
        text = self.told(
            "not a line of ours",
            line("14.5", Event.CONTROL_LOST, left=0, revision=17),
            line(
                "16.0",
                Event.REQUEST_FAILED,
                request="abc",
                reason="ANSWER_TIMEOUT",
                revision=17,
            ),
        )
        self.assertIn("disconnected from a control replica", text)
        self.assertIn("revision=17", text)


class UnexplainedTest(unittest.TestCase):
    """Find the requests whose end no line explains."""

    def found(self, *contents: str) -> list[str]:
        later = line("59.0", Event.VIEW_TAKEN)
        lines = find_unexplained(read_lines((*contents, later)))
        return [item.fields["request"] for item in lines]

    def test_each_kind_of_end(self) -> None:
        placed = [
            line("10.0", Event.REQUEST_PLACED, request=name)
            for name in ("answered", "failed", "mute", "silent")
        ]
        found = self.found(
            *placed,
            line(
                "11.0", Event.REQUEST_ANSWERED, request="answered", status=200
            ),
            line("11.0", Event.REQUEST_FAILED, request="failed", reason="X"),
            line("11.0", Event.REQUEST_FAILED, request="mute"),
            line("50.0", Event.REQUEST_PLACED, request="under way"),
        )
        self.assertEqual(["mute", "silent"], found)

    def test_end_of_the_process(self) -> None:
        found = self.found(
            line("10.0", Event.REQUEST_PLACED, request="abc"),
            line("12.0", Event.STARTED),
            line("13.0", Event.REQUEST_PLACED, request="abd"),
        )
        self.assertEqual(["abd"], found)
