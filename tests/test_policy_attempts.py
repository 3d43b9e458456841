"""Retry budgets, ejection and shifts, in virtual time."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonford.leases import AttemptBudget
from wigeonford.model import Share, Side
from wigeonford.policy import (
    LatencyWindow,
    OutlierEjector,
    ShiftCounter,
)

TARGETS = ("t1", "t2", "t3", "t4")


def _share(part: float, cap: float = 0.5, **fields: object) -> Share:
    return Share("move", "catalogue", cap, part, **fields)  # type: ignore


class ShiftTest(unittest.TestCase):
    """The new side stays under its cap for every prefix of the attempts."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        part=st.floats(0, 1),
        cap=st.floats(0, 1),
        accounts=st.lists(st.sampled_from("abcdefgh"), max_size=200),
        sticky=st.booleans(),
    )
    def test_cap_holds_at_every_prefix(
        self, part: float, cap: float, accounts: list[str], sticky: bool
    ) -> None:
        share = _share(min(part, cap), cap)
        counter = ShiftCounter()
        new = 0
        for total, account in enumerate(accounts, 1):
            name = account if sticky else None
            new += counter.next_side(share, 0.0, name) is Side.NEW
            self.assertLessEqual(new, cap * total)
            self.assertTrue(counter.is_under_cap())

    def test_what_was_not_used_is_not_saved_up(self) -> None:
        counter = ShiftCounter()
        old_side_account = next(
            name
            for name in map(str, range(100))
            if counter.next_side(_share(0.2), 0.0, name) is Side.OLD
        )
        for _ in range(1000):
            counter.next_side(_share(0.2), 0.0, old_side_account)
        sides = [counter.next_side(_share(0.2)) for _ in range(100)]
        self.assertLessEqual(sides.count(Side.NEW), 20 + 1)

    def test_part_is_ramped_and_accounts_stay(self) -> None:
        share = _share(0.4, ramp_s=100.0)
        counter = ShiftCounter()
        counter.next_side(share, 0.0)
        self.assertEqual(counter.fraction(25.0), 0.1)
        self.assertEqual(counter.fraction(100.0), 0.4)
        counter.next_side(_share(0.5, ramp_s=100.0), 100.0)
        self.assertAlmostEqual(counter.fraction(150.0), 0.45)
        rng = random.Random(3)
        sides_by_account: dict[str, set[Side]] = {}
        sticky_counter = ShiftCounter()
        for number in range(4000):
            name = str(rng.randrange(50))
            side = sticky_counter.next_side(_share(0.5), 0.0, name)
            if number > 1000:
                sides_by_account.setdefault(name, set()).add(side)
        stable_accounts = sum(
            len(sides) == 1 for sides in sides_by_account.values()
        )
        self.assertGreaterEqual(stable_accounts, 25)

    def test_worse_new_side_pauses_until_an_operator_acts(self) -> None:
        for ok, latency_s in ((False, 0.0), (True, 0.5)):
            with self.subTest(ok=ok):
                counter = ShiftCounter()
                counter.next_side(_share(0.5), 0.0)
                pauses = []
                for _ in range(40):
                    counter.observe(Side.OLD, True, 0.01)
                    pauses.append(counter.observe(Side.NEW, ok, latency_s))
                self.assertEqual(pauses.count(True), 1)
                sides = {counter.next_side(_share(0.5)) for _ in range(9)}
                self.assertEqual(sides, {Side.OLD})
                sides_after_change = [
                    counter.next_side(_share(0.4)) for _ in range(9)
                ]
                self.assertIn(Side.NEW, sides_after_change)


class AttemptPolicyTest(unittest.TestCase):
    """Extra attempts are limited; faulty targets and requests are excluded."""

    def test_retries_are_a_part_of_requests(self) -> None:
        budget = AttemptBudget(0.2, 10.0)
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 * 0.2 + 10)
        self.assertGreaterEqual(spent, 200)

    # Requests in flight when links to targets were lost had no retry left.
    def test_recent_requests_leave_retries_for_a_sudden_loss(self) -> None:
        budget = AttemptBudget(0.1, 2.0, 10.0)
        for number in range(1000):
            budget.earn(number / 10)
        saved = 0
        while budget.spend(100.0):
            saved += 1
        self.assertGreaterEqual(saved, 10)
        self.assertLessEqual(saved, 12)
        for number in range(20):
            budget.earn(100.0 + number / 10)
        self.assertFalse(all(budget.spend(120.0) for _ in range(3)))

    @given(
        st.lists(
            st.tuples(st.booleans(), st.floats(0.0, 3.0)),
            max_size=300,
        )
    )
    def test_retries_of_any_window_stay_within_the_bounds(
        self, events: list[tuple[bool, float]]
    ) -> None:
        ratio, slack, window_s = 0.8, 2.0, 10.0
        budget = AttemptBudget(ratio / 2, slack, window_s)
        now_s = 0.0
        earned: list[float] = []
        spent: list[float] = []
        for is_request, gap_s in events:
            now_s += gap_s
            if is_request:
                budget.earn(now_s)
                earned.append(now_s)
            elif budget.spend(now_s):
                spent.append(now_s)
        for end_s in spent:
            count = sum(end_s - window_s < at_s <= end_s for at_s in spent)
            requests = max(
                sum(0 <= until_s - at_s < window_s for at_s in earned)
                for until_s in (end_s, end_s - window_s)
            )
            self.assertLessEqual(count, ratio * requests + slack + 1e-6)

    def test_timers_follow_what_was_seen(self) -> None:
        window = LatencyWindow()
        self.assertIsNone(window.hedge_after_s())
        for number in range(100):
            window.add(number / 1000)
        self.assertAlmostEqual(window.hedge_after_s() or 0, 0.095)
        self.assertAlmostEqual(window.first_byte_s() or 0, 0.38)

    def test_ejection_backs_off_and_keeps_half(self) -> None:
        ejector = OutlierEjector()
        for target in TARGETS[:3]:
            for _ in range(3):
                ejector.record_failure(target, 0.0)
        self.assertEqual(len(ejector.ejected(TARGETS, 0.5)), 2)
        self.assertEqual(ejector.ejected(TARGETS, 1.5), set())
        self.assertTrue(ejector.record_failure("t1", 2.0, dead=True))
        self.assertEqual(ejector.ejected(TARGETS, 3.5), {"t1"})
        ejector.record_success("t1")
        self.assertEqual(ejector.ejected(TARGETS, 3.5), set())
