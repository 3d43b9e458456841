"""Callers of entry VMs without links to targets are served like others."""

import unittest

from tests.cut_fleet import CONTACT_WINDOW_S, CutCase, play_cut, SETTLE_S

MIN_CUT_SHARE = 0.98
"""Of what callers of the other VMs get, from the contact window on."""
MIN_SOUND_SHARE = 0.99
MIN_FIRST_SHARE = 0.9
"""Of what callers of the other VMs get, until then."""
ZONE = tuple(range(0, 12, 2))
THREE = (0, 3, 7)


class CutVmTest(unittest.TestCase):
    """A VM that reaches no target still serves, and blames nobody."""

    def check(self, case: CutCase, seeds: tuple[int, ...] = (1, 2)) -> None:
        """Play a case; check what callers and targets saw."""
        end_s = case.cut_s + 3 * SETTLE_S
        for seed in seeds:
            with self.subTest(seed=seed):
                report = play_cut(case, seed)
                sound = report.served_share(report.sound, 0.0, end_s)
                self.assertGreaterEqual(sound, MIN_SOUND_SHARE)
                self.assertEqual(report.unsafe_repeats, 0)
                self.assertEqual(report.quarantined, 0)
                first = report.served_share(case.cut, 0.0, CONTACT_WINDOW_S)
                self.assertGreaterEqual(first, MIN_FIRST_SHARE * sound)
                cut = report.served_share(case.cut, CONTACT_WINDOW_S, end_s)
                self.assertGreaterEqual(cut, MIN_CUT_SHARE * sound)

    def test_fleet_without_a_cut(self) -> None:
        report = play_cut(CutCase(cut=()))
        self.assertEqual(report.served_share(report.sound, 0.0, 20.0), 1.0)

    # Entry VMs without links to targets refused nearly all (RECOVER).
    def test_one_vm_whose_connections_hang(self) -> None:
        self.check(CutCase())

    def test_three_vms_whose_connections_hang(self) -> None:
        self.check(CutCase(cut=THREE))

    def test_zone_whose_connections_hang(self) -> None:
        self.check(CutCase(cut=ZONE))

    def test_one_vm_whose_connections_are_reset(self) -> None:
        self.check(CutCase(how="reset"))

    def test_three_vms_whose_connections_are_reset(self) -> None:
        self.check(CutCase(how="reset", cut=THREE))

    def test_zone_whose_connections_are_reset(self) -> None:
        self.check(CutCase(how="reset", cut=ZONE))

    def test_one_vm_that_opens_no_connection(self) -> None:
        self.check(CutCase(how="half-open"))

    def test_three_vms_that_open_no_connection(self) -> None:
        self.check(CutCase(how="half-open", cut=THREE))

    def test_zone_that_opens_no_connection(self) -> None:
        self.check(CutCase(how="half-open", cut=ZONE))

    def test_cut_of_two_seconds(self) -> None:
        self.check(CutCase(cut=THREE, cut_s=2.5))

    def test_half_of_a_large_fleet(self) -> None:
        case = CutCase(
            cut=tuple(range(0, 75, 2)),
            vm_count=75,
            target_count=90,
            rate_per_s=300.0,
            path_count=300,
        )
        self.check(case, seeds=(1,))

    def test_cut_from_half_of_the_targets(self) -> None:
        for how in ("hang", "reset", "half-open"):
            self.check(CutCase(how=how, cut=THREE, target_share=0.5))

    def test_cut_that_comes_and_goes(self) -> None:
        self.check(CutCase(cut=THREE, flap_s=1.0))
