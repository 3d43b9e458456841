"""Slopes: the line fit, and some measures at the sizes of the bench."""

import random
import unittest

from wigeonford.bench._slopes_fit import Collector, fit_line, Series
from wigeonford.bench._slopes_measures import MEASURES


class FitTest(unittest.TestCase):
    """Fit lines to known points."""

    def test_a_straight_line_has_no_residual(self) -> None:
        series = Series("x", (1, 2, 4, 8), (5.0, 7.0, 11.0, 19.0))
        fit = fit_line(series)
        self.assertAlmostEqual(fit.slope, 2.0)
        self.assertAlmostEqual(fit.intercept, 3.0)
        self.assertAlmostEqual(fit.residual, 0.0)

    def test_residual_is_a_part_of_the_mean(self) -> None:
        fit = fit_line(Series("x", (1, 2, 3, 4), (2.0, 0.0, 0.0, 2.0)))
        self.assertAlmostEqual(fit.residual, 1.0)

    def test_three_sizes_are_too_few(self) -> None:
        with self.assertRaises(AssertionError):
            fit_line(Series("x", (1, 2, 3), (1.0, 2.0, 3.0)))

    def test_series_are_named_after_their_size(self) -> None:
        collector = Collector()
        for size in (1, 2):
            collector.add(size, total_bytes=size * 2.0)
        expected = Series("node.total_bytes", (1, 2), (2.0, 4.0))
        self.assertEqual(list(collector.series("node")), [expected])


class MeasureTest(unittest.TestCase):
    """Run measures that do not depend on the machine's speed."""

    def series(self, name: str) -> dict[str, Series]:
        return {s.name: s for s in MEASURES[name](random.Random(1))}

    def test_message_sizes(self) -> None:
        tree_series = self.series("heard_member")
        pull_fit = fit_line(tree_series["heard_member.pull_bytes"])
        self.assertLess(pull_fit.slope, 16)
        address_series = self.series("changed_address")
        delta_fit = fit_line(address_series["changed_address.delta_bytes"])
        # The 6 bytes of an IPv4 row take 8 in base64.
        self.assertAlmostEqual(delta_fit.slope, 8.0)

    def test_a_catch_up_does_not_grow_with_the_changes(self) -> None:
        series = self.series("change")["change.catch_up_bytes"]
        self.assertLess(max(series.values) / min(series.values), 1.01)
