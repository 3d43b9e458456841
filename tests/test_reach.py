"""Whether an entry VM reaches targets over its own links."""

import asyncio
import unittest

from hypothesis import given, strategies

from tests.test_deployment import make_announcement
from wigeonford.events import EventLog
from wigeonford.messages.steering import Reach
from wigeonford.metrics import Metrics
from wigeonford.steer._reach import (
    FAILURE_MEMORY_S,
    ReachMonitor,
    RETURN_S,
    TargetReach,
)
from wigeonford.steer._target_records import TargetRecord, TargetRecords


def lost(target_count: int = 10) -> TargetReach:
    """Return a VM's reach after it has lost all targets."""
    reach = TargetReach()
    reach.target_count = target_count
    for number in range(min(3, target_count)):
        reach.record_failure(f"t-{number}", 0.0)
    return reach


class TargetReachTest(unittest.TestCase):
    """Failures of several targets in a row count, not of one."""

    def test_targets_that_fail_in_a_row_are_lost(self) -> None:
        reach = TargetReach()
        reach.target_count = 10
        self.assertFalse(reach.record_failure("t-1", 0.0))
        self.assertFalse(reach.record_failure("t-1", 0.1))
        self.assertFalse(reach.record_failure("t-2", 0.2))
        self.assertTrue(reach.record_failure("t-3", 0.3))
        self.assertIs(reach.state, Reach.LOST)
        self.assertFalse(reach.record_failure("t-4", 0.4))

    def test_a_contact_in_between_clears_the_links(self) -> None:
        reach = TargetReach()
        reach.target_count = 10
        for number in range(50):
            self.assertFalse(reach.record_failure(f"t-{number}", number / 10))
            if number % 2:
                reach.record_contact("sound", number / 10)
        self.assertIs(reach.state, Reach.DIRECT)

    def test_old_failures_do_not_add_up(self) -> None:
        reach = TargetReach()
        reach.target_count = 10
        for number in range(20):
            at_s = number * FAILURE_MEMORY_S
            self.assertFalse(reach.record_failure(f"t-{number}", at_s))

    def test_the_only_target_is_lost_alone(self) -> None:
        self.assertIs(lost(target_count=1).state, Reach.LOST)

    def test_one_contact_ends_a_loss_that_is_not_proven(self) -> None:
        reach = lost()
        self.assertTrue(reach.record_contact("t-9", 1.0))
        self.assertIs(reach.state, Reach.DIRECT)

    def test_links_that_were_cut_are_back_after_several_contacts(self) -> None:
        reach = lost()
        self.assertTrue(reach.record_cut())
        self.assertFalse(reach.record_cut())
        self.assertFalse(reach.record_contact("t-1", 5.0))
        self.assertFalse(reach.record_contact("t-2", 5.0))
        self.assertFalse(reach.record_contact("t-3", 5.0))
        self.assertTrue(reach.record_contact("t-1", 5.0 + RETURN_S))
        self.assertIs(reach.state, Reach.DIRECT)

    def test_links_that_return_for_a_moment_stay_cut(self) -> None:
        reach = lost()
        reach.record_cut()
        for number in range(20):
            at_s = 5.0 + 3.0 * number
            for target_id in ("t-1", "t-2", "t-3"):
                self.assertFalse(reach.record_contact(target_id, at_s))
                reach.record_failure(target_id, at_s + 0.1)

    def test_a_relayed_response_proves_nothing_while_targets_answer(
        self,
    ) -> None:
        reach = TargetReach()
        self.assertFalse(reach.record_cut())
        self.assertIs(reach.state, Reach.DIRECT)

    def test_silence_is_judged_by_the_usual_time_between_contacts(
        self,
    ) -> None:
        for gap_s, silence_s, is_silent in (
            (0.05, 0.3, False),
            (0.05, 0.5, True),
            (0.2, 0.5, False),
            (0.2, 1.3, True),
            (1.0, 3.0, False),
        ):
            reach = TargetReach()
            for number in range(100):
                reach.record_contact("t-1", number * gap_s)
            now_s = 99 * gap_s + silence_s
            with self.subTest(gap_s=gap_s, silence_s=silence_s):
                self.assertIs(is_silent, reach.is_silent(now_s))

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["contact", "failure", "relayed"]),
                strategies.integers(0, 5),
                strategies.floats(0.0, 2.0),
            )
        )
    )
    def test_any_events_leave_a_way_back(
        self, events: list[tuple[str, int, float]]
    ) -> None:
        reach = TargetReach()
        reach.target_count = 6
        now_s = 0.0
        for kind, number, gap_s in events:
            now_s += gap_s
            if kind == "contact":
                reach.record_contact(f"t-{number}", now_s)
            elif kind == "failure":
                reach.record_failure(f"t-{number}", now_s)
            else:
                reach.record_cut()
        for number in range(8):
            now_s += RETURN_S / 2
            reach.record_contact(f"t-{number % 3}", now_s)
        self.assertIs(reach.state, Reach.DIRECT)


class ForgetTest(unittest.TestCase):
    """What a VM's own lost links did to a target ends with them."""

    def test_coldness_from_failures_is_forgotten(self) -> None:
        record = TargetRecord(make_announcement(), "south", 0.0)
        record.cold_until_s = 2.0
        record.mark_down(10.0, 3.0)
        record.mark_down(11.0, 3.0)
        record.forget_failures()
        self.assertFalse(record.is_cold(11.0))
        self.assertFalse(record.is_down(11.0))

    async def lose_and_regain(self, *, is_cut: bool) -> TargetRecord:
        """Return a target that failed before all were lost and reached."""
        records = TargetRecords()
        announced = [make_announcement(target_id=f"t-{n}") for n in range(3)]
        records.apply_changes(announced, (), {}, 0.0)
        now_s = 1.0
        monitor = ReachMonitor(records, Metrics(), EventLog(), lambda: now_s)
        monitor.set_target_count(3)
        for record in records:
            record.mark_down(now_s, 3.0)
            monitor.record_failure(record.target_id, "refused")
        if is_cut:
            monitor.record_cut("t-0")
        for step in range(6):
            now_s = 1.2 + step * RETURN_S / 2
            monitor.record_contact(f"t-{step % 3}")
        return next(iter(records))

    def test_only_a_proven_cut_clears_the_targets(self) -> None:
        for is_cut in (True, False):
            record = asyncio.run(self.lose_and_regain(is_cut=is_cut))
            self.assertIs(is_cut, not record.is_cold(1.5))

    def test_coldness_that_was_set_since_is_kept(self) -> None:
        record = TargetRecord(make_announcement(), "south", 0.0)
        record.mark_down(10.0, 3.0)
        record.cold_until_s = 100.0
        record.forget_failures()
        self.assertTrue(record.is_cold(99.0))


class MetricsOrderTest(unittest.TestCase):
    """A reader that takes only the beginning still gets all counters."""

    def test_histograms_come_last(self) -> None:
        metrics = Metrics()
        metrics.observe_request("a", "safe", 0.1)
        metrics.count_result("a", 1204)
        text = metrics.render()[0].decode()
        counters = text.index("wigeonford_results_total{")
        self.assertLess(counters, text.index("_bucket{"))
