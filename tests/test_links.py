"""Byte rates of a link by request class, in virtual time."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonford.model import RequestClass
from wigeonford.policy import LinkDemand, LinkQuota

INTERACTIVE = RequestClass.INTERACTIVE
BULK = RequestClass.BULK
RATE = 1e6


def _send(
    quota: LinkQuota, offers: dict[RequestClass, int], seconds: float
) -> dict[RequestClass, int]:
    """Offer 1 KB chunks every millisecond; return the bytes sent."""
    sent = dict.fromkeys(RequestClass, 0)
    for step in range(int(seconds * 1000)):
        for kind, chunks in offers.items():
            for _ in range(chunks):
                if quota.spend(kind, 1000, step / 1000):
                    sent[kind] += 1000
    return sent


class LinkShareTest(unittest.TestCase):
    """Spend a link quota under load of one or both classes."""

    def setUp(self) -> None:
        self.quota = LinkQuota(0.7, 0.0)
        self.quota.resize(RATE, 0.0)

    def test_bulk_makes_progress_beside_any_interactive_load(self) -> None:
        sent = _send(self.quota, {INTERACTIVE: 9, BULK: 9}, 10.0)
        self.assertAlmostEqual(sent[INTERACTIVE], 7e6, delta=1e5)
        self.assertAlmostEqual(sent[BULK], 3e6, delta=1e5)

    def test_spare_bytes_of_either_class_are_used(self) -> None:
        for kind in RequestClass:
            with self.subTest(kind):
                self.setUp()
                sent = _send(self.quota, {kind: 9}, 10.0)
                self.assertAlmostEqual(sent[kind], 1e7, delta=3e5)

    def test_an_interactive_part_of_all_leaves_bulk_some(self) -> None:
        self.quota = LinkQuota(1.0, 0.0)
        self.quota.resize(RATE, 0.0)
        sent = _send(self.quota, {INTERACTIVE: 9, BULK: 9}, 10.0)
        self.assertGreater(sent[BULK], 4e5)

    def test_nothing_goes_without_a_share(self) -> None:
        self.quota.resize(0.0, 1.0)
        self.assertFalse(self.quota.spend(INTERACTIVE, 1, 100.0))
        self.assertEqual(self.quota.wait_s(BULK, 1, 100.0), float("inf"))

    @settings(derandomize=True, max_examples=60)
    @given(st.integers(0, 10**6), st.floats(0.0, 1.0))
    def test_never_more_than_the_share_and_its_burst(
        self, seed: int, part: float
    ) -> None:
        rng = random.Random(seed)
        quota = LinkQuota(part, 0.0)
        now_s = allowed = spent = 0.0
        rate = 0.0
        for _ in range(300):
            step_s = rng.choice((0.0, 0.001, 0.05, 2.0))
            now_s += step_s
            allowed += rate * step_s
            if rng.random() < 0.1:
                quota.resize(rate := rng.choice((0.0, 1e4, 1e6)), now_s)
            size = rng.randrange(1, 20000)
            if quota.spend(rng.choice(list(RequestClass)), size, now_s):
                spent += size
            self.assertLessEqual(spent, allowed + 1e-6 * allowed)

    def test_demand_follows_use_within_its_bounds(self) -> None:
        demand = LinkDemand(RATE)
        self.assertEqual(demand.wanted(1.0), RATE * 0.05)
        demand.add(200_000)
        self.assertEqual(demand.wanted(1.0), 400_000)
        demand.add(10**9)
        self.assertEqual(demand.wanted(1.0), RATE)
