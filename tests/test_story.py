"""Log lines alone show why a request failed and whether it ended."""

import json
import unittest

from wigeonford.cli._story import (
    describe,
    find_unexplained,
    read_lines,
    select_request_lines,
)
from wigeonford.events import Event


def make_line(at: str, event: Event, **fields: object) -> str:
    """Return a log line in the format of the daemons."""
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
    """Check that `story` shows the cause of three kinds of failure."""

    def describe_request(self, *contents: str) -> str:
        selected = select_request_lines(read_lines(contents), "abc")
        return "\n".join(describe(item) for item in selected)

    def test_refused_by_rate_without_a_leader(self) -> None:
        text = self.describe_request(
            make_line("15.5", Event.PARTS_LOST, detail="no quorum"),
            make_line(
                "16.0",
                Event.REQUEST_FAILED,
                request="abc",
                reason="RATE_EXCEEDED",
                detail="farm: part 0.025 of 207.0/s",
            ),
            make_line("16.0", Event.REQUEST_FAILED, request="other"),
        )
        self.assertIn("no leader renews", text)
        self.assertIn("part 0.025 of 207.0/s", text)
        self.assertNotIn("other", text)

    def test_order_whose_target_crashed(self) -> None:
        text = self.describe_request(
            make_line(
                "16.0",
                Event.REQUEST_PLACED,
                request="abc",
                target="t-1",
                why="home in south",
            ),
            make_line(
                "16.4",
                Event.ATTEMPT_FAILED,
                request="abc",
                target="t-1",
                outcome="broken",
            ),
            make_line(
                "16.5", Event.TARGET_DOWN, target="t-1", detail="refused"
            ),
            make_line(
                "16.5", Event.TARGET_DOWN, target="t-2", detail="refused"
            ),
        )
        self.assertIn("why=home in south", text)
        self.assertIn("outcome=broken", text)
        self.assertIn("target=t-1 detail=refused", text)
        self.assertNotIn("t-2", text)

    def test_time_out_on_an_old_view(self) -> None:
        text = self.describe_request(
            "not a line of ours",
            make_line("14.5", Event.CONTROL_LOST, left=0, revision=17),
            make_line(
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
    """Find the requests without a logged end."""

    def find_request_ids(self, *contents: str) -> list[str]:
        last_line = make_line("59.0", Event.VIEW_TAKEN)
        lines = find_unexplained(read_lines((*contents, last_line)))
        return [item.fields["request"] for item in lines]

    def test_each_kind_of_end(self) -> None:
        placed = [
            make_line("10.0", Event.REQUEST_PLACED, request=name)
            for name in ("answered", "failed", "mute", "refused", "silent")
        ]
        found = self.find_request_ids(
            *placed,
            make_line(
                "11.0", Event.REQUEST_ANSWERED, request="answered", status=200
            ),
            make_line(
                "11.0", Event.REQUEST_FAILED, request="failed", reason="X"
            ),
            make_line("11.0", Event.REQUEST_FAILED, request="mute"),
            make_line(
                "11.0", Event.REQUEST_REFUSED, request="refused", reason="X"
            ),
            make_line("50.0", Event.REQUEST_PLACED, request="under way"),
        )
        self.assertEqual(["mute", "silent"], found)

    def test_end_of_the_process(self) -> None:
        found = self.find_request_ids(
            make_line("10.0", Event.REQUEST_PLACED, request="abc"),
            make_line("12.0", Event.STARTED),
            make_line("13.0", Event.REQUEST_PLACED, request="abd"),
        )
        self.assertEqual(["abd"], found)
