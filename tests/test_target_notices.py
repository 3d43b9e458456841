"""Notices in targets' responses: draining, and requests for a pause."""

import unittest

from tests.test_deployment import make_announcement
from tests.test_placement import make_records
from tests.test_platform_codec import make_request
from wigeonford.http import Response
from wigeonford.platform._front import encode_response, PlatformTargetWire
from wigeonford.steer._placement import Durations, Placement, PlacementRequest
from wigeonford.steer._target_records import TargetRecord, TargetRecords

ZONES = {"south-a": "south"}


class NoticeDecodingTest(unittest.TestCase):
    """The adapter decodes both notices from responses."""

    def test_leaving_is_read_from_any_answer(self) -> None:
        wire = PlatformTargetWire()
        draining_header = (b"server-leaving", b"1")
        for status in (200, 404, 500, 503):
            facts = wire.parse_facts(Response(status, (draining_header,)))
            self.assertTrue(facts.is_draining, status)
        self.assertFalse(wire.parse_facts(Response(200)).is_draining)
        other = wire.parse_facts(Response(421, (draining_header,)))
        self.assertFalse(
            other.is_draining, "the response is from another target"
        )

    def test_pause_is_read_from_503_only(self) -> None:
        wire = PlatformTargetWire()
        for value, expected in (
            (b"2", 2.0),
            (b"0.25", 0.25),
            (b"soon", 0.0),
            (b"-1", 0.0),
            (b"nan", 0.0),
            (b"inf", 0.0),
        ):
            retry_after = (b"retry-after", value)
            not_run = (b"x-not-executed", b"1")
            facts = wire.parse_facts(Response(503, (retry_after, not_run)))
            self.assertEqual(expected, facts.pause_s, value)
            self.assertEqual(
                expected,
                wire.parse_facts(Response(503, (retry_after,))).pause_s,
            )
        self.assertEqual(
            0.0,
            wire.parse_facts(Response(429, ((b"retry-after", b"2"),))).pause_s,
        )

    def test_only_a_decimal_number_is_a_limit(self) -> None:
        wire = PlatformTargetWire()
        for values, limit_per_s, unreadable in (
            ((), None, None),
            ((b"1.5",), 1.5, None),
            ((b" 20 ",), 20.0, None),
            ((b"0",), 0.0, None),
            ((b"3", b"1.5"), 1.5, None),
            ((b"2.5, 4",), 2.5, None),
            ((b"2.5, some",), 2.5, "some"),
            ((b"-1",), None, "-1"),
            ((b"nan",), None, "nan"),
            ((b"inf",), None, "inf"),
            ((b"1e9",), None, "1e9"),
            ((b"9" * 400,), None, "9" * 400),
            ((b"\xb2",), None, "\xb2"),
            ((b",",), None, ""),
        ):
            headers = tuple((b"server-limit", value) for value in values)
            for status in (200, 500, 503):
                facts = wire.parse_facts(Response(status, headers))
                self.assertEqual(limit_per_s, facts.limit_per_s, values)
                self.assertEqual(unreadable, facts.unreadable_limit, values)
        other = wire.parse_facts(Response(421, ((b"server-limit", b"1"),)))
        self.assertIsNone(other.limit_per_s, "it is another target's")


class LeavingTest(unittest.TestCase):
    """A target that reports draining gets no more requests from this VM."""

    def setUp(self) -> None:
        self.target_records = TargetRecords()
        self.announce_target(sequence=1)

    def announce_target(self, **changes: object) -> None:
        announcement = make_announcement(
            availability_zone="south-a", **changes
        )
        self.announcement = announcement
        self.target_records.apply_changes((announcement,), (), ZONES, 1.0)

    def get_record(self) -> TargetRecord:
        record = self.target_records.get(self.announcement.target_id)
        assert record is not None, "the target was announced"
        return record

    def count_served(self) -> int:
        return len(self.target_records.targets_of(self.announcement.service))

    def test_it_is_no_choice_from_then_on(self) -> None:
        self.assertEqual(1, self.count_served())
        self.target_records.mark_draining(self.get_record())
        self.assertEqual(0, self.count_served())

    def test_later_announcements_of_the_same_start_change_nothing(
        self,
    ) -> None:
        self.target_records.mark_draining(self.get_record())
        self.announce_target(sequence=2)
        self.announce_target(sequence=3, cold_s=1.0)
        self.assertEqual(0, self.count_served())

    def test_a_view_that_lost_it_and_has_it_again_changes_nothing(
        self,
    ) -> None:
        self.target_records.mark_draining(self.get_record())
        self.target_records.apply_changes(
            (), (self.announcement.target_id,), ZONES, 2.0
        )
        self.announce_target(sequence=2)
        self.assertEqual(0, self.count_served())

    def test_its_next_start_is_served(self) -> None:
        self.target_records.mark_draining(self.get_record())
        self.announce_target(
            sequence=1, born_ms=self.announcement.born_ms + 5000
        )
        self.assertEqual(1, self.count_served())

    def test_notice_of_a_start_that_was_just_announced_is_its_own(
        self,
    ) -> None:
        previous = self.get_record()
        self.announce_target(
            sequence=1, born_ms=self.announcement.born_ms + 5000
        )
        self.target_records.mark_draining(previous)
        self.assertEqual(0, self.count_served())


class PauseTest(unittest.TestCase):
    """A target that requests a pause gets no requests of this VM during it."""

    def setUp(self) -> None:
        self.records = make_records(2, 4, "south")
        self.placement = Placement()

    def choose(
        self, now_s: float, *, may_use_cold: bool = False
    ) -> str | None:
        req = PlacementRequest(
            "reads",
            "object-1",
            "south-a",
            "south",
            1500.0,
            Durations(0.264, 0.88),
            0.3,
        )
        choice = self.placement.choose(
            self.records, req, frozenset(), lambda _: may_use_cold, now_s
        )
        return choice.record.target_id if choice else None

    def test_others_serve_meanwhile(self) -> None:
        first = self.choose(1.0)
        record = next(r for r in self.records if r.target_id == first)
        record.pause(2.0, 1.0)
        self.assertNotEqual(first, self.choose(1.1))
        self.assertNotEqual(first, self.choose(2.9))
        self.assertEqual(first, self.choose(3.01))

    def test_a_shorter_pause_does_not_end_a_longer_one(self) -> None:
        record = self.records[0]
        record.pause(2.0, 1.0)
        record.pause(0.1, 1.5)
        self.assertTrue(record.is_paused(2.9))

    def test_a_cold_target_rests_too(self) -> None:
        for record in self.records:
            record.cold_until_s = 10.0
            record.pause(2.0, 1.0)
        self.assertIsNone(self.choose(1.5, may_use_cold=True))

    def test_with_all_paused_nothing_is_sent(self) -> None:
        for record in self.records:
            record.pause(2.0, 1.0)
        self.assertIsNone(self.choose(1.5))


class NoticeOfTargetTest(unittest.TestCase):
    """A target's notices to entry VMs are not passed on to callers."""

    def test_notices_are_not_passed_on(self) -> None:
        headers = ((b"server-leaving", b"1"), (b"server-limit", b"1.5"))
        response = encode_response(make_request(), Response(200, headers, b""))
        for name, _ in headers:
            self.assertIsNone(response.header(name))
