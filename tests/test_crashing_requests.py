"""A request that crashes its targets is kept from most of them."""

import unittest

from tests.crash_fleet import CrashCase, play

MAX_LATE_ARRIVALS = 3
MAX_CRASHES = 6
MIN_SERVED_SHARE = 0.98
MAX_SUSPECTED_S = 2.0


class CrashingRequestTest(unittest.TestCase):
    """Few targets crash, and other callers are served meanwhile."""

    def check(self, case: CrashCase, seeds: tuple[int, ...] = (1, 2)) -> None:
        """Play a case; check what targets and callers saw."""
        for seed in seeds:
            with self.subTest(seed=seed):
                report = play(case, seed)
                self.assertGreater(len(report.crashes), 0)
                self.assertLessEqual(report.late_arrivals, MAX_LATE_ARRIVALS)
                self.assertLessEqual(len(report.crashes), MAX_CRASHES)
                self.assertGreaterEqual(report.served_share, MIN_SERVED_SHARE)
                self.assertLessEqual(
                    max(report.suspected_s, default=0.0), MAX_SUSPECTED_S
                )

    def test_crash_on_a_new_connection(self) -> None:
        self.check(CrashCase(keeps_connections=False))

    def test_crash_on_a_kept_connection(self) -> None:
        self.check(CrashCase())

    def test_crash_on_a_kept_connection_at_a_slow_pace(self) -> None:
        self.check(CrashCase(gap_s=1.5, count=12))

    def test_target_that_returns_under_its_id(self) -> None:
        self.check(CrashCase(returns_as_before=True))

    def test_target_that_returns_under_its_id_at_a_slow_pace(self) -> None:
        self.check(CrashCase(returns_as_before=True, gap_s=1.5, count=12))

    def test_crash_amid_the_body_of_a_response(self) -> None:
        self.check(CrashCase(crash="body"))

    def test_crash_under_an_upload(self) -> None:
        self.check(CrashCase(is_upload=True))

    def test_target_that_falls_silent(self) -> None:
        self.check(CrashCase(crash="silent"))

    def test_caller_that_leaves_before_the_crash(self) -> None:
        self.check(CrashCase(caller_leaves=True))

    def test_caller_that_leaves_at_a_slow_pace(self) -> None:
        self.check(CrashCase(caller_leaves=True, gap_s=1.0, count=15))

    def test_large_fleet(self) -> None:
        self.check(CrashCase(vm_count=70), seeds=(1,))

    def test_large_fleet_at_a_slow_pace(self) -> None:
        self.check(CrashCase(vm_count=70, gap_s=1.5, count=12), seeds=(1,))
