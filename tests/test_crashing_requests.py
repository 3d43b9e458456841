"""A request that crashes its targets is kept from most of them."""

import asyncio
import itertools
import unittest

from tests.crash_fleet import CrashCase, CrashReport, play
from tests.limited_fleet import LimitedFleet, virtual_clock
from tests.virtual_time import run_virtual
from wigeonford.settings import RetryBounds

MAX_LATE_ARRIVALS = 3
MAX_CRASHES = 6
MIN_SERVED_SHARE = 0.98
MAX_SUSPECTED_S = 2.0
MAX_SPREAD_S = 0.3
"""Less than the pace at which callers repeat a request."""


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
                self.assertLessEqual(report.repeats, self.max_repeats(report))
                self.assertLessEqual(
                    max(report.suspected_s, default=0.0), MAX_SUSPECTED_S
                )

    def max_repeats(self, report: CrashReport) -> float:
        """Return how many repeats the fleet's retry bounds allow."""
        bounds = RetryBounds()
        requests = report.innocents.total() + len(report.arrivals)
        return bounds.ratio * requests + bounds.slack

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

    def test_crash_in_the_middle_of_the_work(self) -> None:
        self.check(CrashCase(crash_delay_s=0.5))

    def test_loaded_targets(self) -> None:
        self.check(CrashCase(work_s=0.6, crash_delay_s=0.3))

    def test_popular_paths_stay_open(self) -> None:
        self.check(CrashCase(path_count=3))
        self.check(CrashCase(path_count=3, crash="body"))

    # At the end of a pause several VMs tried the request at once (deadly).
    def test_request_that_comes_at_many_vms_at_once(self) -> None:
        for vm_count in (6, 12):
            case = CrashCase(gap_s=0.015, count=1000, vm_count=vm_count)
            for seed in (1, 2, 3):
                with self.subTest(vm_count=vm_count, seed=seed):
                    report = play(case, seed)
                    self.assertGreaterEqual(len(report.crashes), 3)
                    self.assertLessEqual(
                        report.late_arrivals, MAX_LATE_ARRIVALS
                    )

    def test_request_that_comes_for_a_minute(self) -> None:
        self.check(CrashCase(gap_s=0.6, count=110), seeds=(1,))

    def test_each_combination_of_crash_and_caller(self) -> None:
        for values in itertools.product((True, False), repeat=5):
            keeps, returns, is_upload, leaves, is_amid_body = values
            case = CrashCase(
                gap_s=1.5,
                count=8,
                crash="body" if is_amid_body else "close",
                keeps_connections=keeps,
                returns_as_before=returns,
                is_upload=is_upload,
                caller_leaves=leaves,
            )
            with self.subTest(case=case):
                self.check(case, seeds=(7,))

    def test_large_fleet(self) -> None:
        self.check(CrashCase(vm_count=70), seeds=(1,))

    def test_large_fleet_at_a_slow_pace(self) -> None:
        self.check(CrashCase(vm_count=70, gap_s=1.5, count=12), seeds=(1,))


class UnsentTest(unittest.TestCase):
    """A request that was not sent is not suspected."""

    async def leave_while_connecting(self) -> int:
        """Return how many crashes count against the request afterwards."""
        loop = asyncio.get_running_loop()
        with virtual_clock():
            fleet = LimitedFleet(1, 1, 1.0, 1)
            await fleet.start()
            (vm,) = fleet.vms
            vm.connect_s = 1.0
            task = asyncio.create_task(vm.request(1, "object-1"))
            await asyncio.sleep(0.5)
            task.cancel()
            await asyncio.sleep(0.1)
            (record,) = vm.records
            flight = vm.suspects.begin(record.incarnation, b"x", loop.time())
            vm.suspects.record_crash(
                record.incarnation, loop.time(), loop.time()
            )
            records = vm.suspects.records_since(0, loop.time())
            await fleet.stop()
            self.assertEqual(b"x", flight.fingerprint)
            return max(len(record.fingerprints) for record in records)

    def test_caller_that_leaves_while_its_target_is_connected(self) -> None:
        self.assertEqual(1, run_virtual(self.leave_while_connecting()))


class SpreadTest(unittest.TestCase):
    """All entry VMs know of a crash within a fraction of the window."""

    async def measure_spread_s(self, vm_count: int) -> float:
        """Return the time until the last VM rejects a request."""
        loop = asyncio.get_running_loop()
        with virtual_clock():
            fleet = LimitedFleet(vm_count, 12, 1.0, 1)
            await fleet.start()
            for number in range(2):
                table = fleet.vms[number].suspects
                table.begin(f"t-{number}/1", b"print", loop.time())
                table.record_crash(f"t-{number}/1", loop.time(), loop.time())
            began_s = loop.time()
            while not all(
                vm.suspects.standing(b"print", loop.time()).wait_s > 0
                for vm in fleet.vms
            ):
                await asyncio.sleep(0.005)
            spread_s = loop.time() - began_s
            await fleet.stop()
            return spread_s

    def test_fleets_of_any_size_know_of_crashes_at_once(self) -> None:
        for vm_count in (12, 70, 450):
            with self.subTest(vm_count=vm_count):
                spread_s = run_virtual(self.measure_spread_s(vm_count))
                self.assertLess(spread_s, MAX_SPREAD_S)
