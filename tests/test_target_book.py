"""An entry VM's records of targets that are down, cold, slow or failing."""

import unittest

from tests.test_deployment import make_announcement
from wigeonford.deployment import Service
from wigeonford.messages.steering import EntryStatus
from wigeonford.steer._cold import (
    ColdRateLimiter,
    ColdSenders,
    select_cold_senders,
    VMS_PER_COLD_TARGET,
)
from wigeonford.steer._senders import SELECTION_CACHE_S
from wigeonford.steer._target_records import TargetRecord, TargetRecords

SERVICE = Service("ledger", "/health", 300, "h1", False, 3.0, 7.4)


def make_entry(name: str, zone: str) -> EntryStatus:
    """Return the status of a ready entry VM."""
    region = zone.partition("-")[0]
    return EntryStatus(name, "i", f"{name}:1", zone, region, True)


class TargetRecordTest(unittest.TestCase):
    """Failures and load determine whether a target gets requests."""

    def setUp(self) -> None:
        self.record = TargetRecord(make_announcement(), "south", 0.0)

    def test_reported_load_of_others_fades(self) -> None:
        self.record.in_flight = 2
        self.record.record_load(5, 1, 10.0)
        self.assertAlmostEqual(6.0, self.record.load(10.0))
        self.assertLess(self.record.load(12.0), 4.5)
        self.assertEqual(2.0, self.record.load(60.0))

    def test_unreachable_target_pauses_longer_each_time(self) -> None:
        pauses = [self.record.mark_down(0.0, 3.0) for _ in range(5)]
        self.assertEqual(sorted(pauses), pauses)
        self.assertLessEqual(pauses[-1], 3.0)
        self.assertTrue(self.record.is_down(pauses[-1] - 0.01))

    def test_target_that_was_away_counts_as_cold(self) -> None:
        pause_s = self.record.mark_down(0.0, 3.0)
        self.assertTrue(self.record.is_cold(pause_s + 2.9))
        self.assertTrue(self.record.mark_up(pause_s + 1.0, 3.0))
        self.assertTrue(self.record.is_cold(pause_s + 3.9))

    def test_failing_target_is_no_home(self) -> None:
        for _ in range(3):
            self.record.record_result(True, 1.0)
        self.assertFalse(self.record.is_healthy(1.1))
        self.assertTrue(self.record.is_healthy(10.0))

    def test_slow_target_is_left_out_for_a_while(self) -> None:
        became_slow = [self.record.record_slowness(5.0, 1.0) for _ in range(6)]
        self.assertIn(True, became_slow)
        self.assertFalse(self.record.is_healthy(2.0))
        self.assertTrue(self.record.is_healthy(9.0))


class TargetRecordsTest(unittest.TestCase):
    """A record lives as long as its incarnation."""

    def announce_target(
        self, records: TargetRecords, **changes: object
    ) -> TargetRecord:
        announcement = make_announcement(**changes)
        records.apply_changes((announcement,), (), {"south-a": "south"}, 100.0)
        record = records.get(announcement.target_id)
        assert record is not None, "the target was announced"
        return record

    def test_reborn_target_starts_anew(self) -> None:
        records = TargetRecords()
        record = self.announce_target(records)
        record.in_flight = 3
        same = self.announce_target(records, sequence=9)
        self.assertIs(record, same)
        reborn = self.announce_target(records, born_ms=5000, cold_s=2.0)
        self.assertEqual(0, reborn.in_flight)
        self.assertTrue(reborn.is_cold(101.0))

    def test_leaving_target_is_not_chosen(self) -> None:
        records = TargetRecords()
        self.announce_target(records, is_draining=True)
        self.assertEqual((), records.targets_of("ledger"))

    def test_zone_taken_back_is_cold(self) -> None:
        records = TargetRecords()
        record = self.announce_target(records)
        records.apply_evacuations({"south-a": 1}, {"ledger": SERVICE}, 100.0)
        self.assertTrue(record.is_cold(102.9))
        records.apply_evacuations({"south-a": 1}, {"ledger": SERVICE}, 110.0)
        self.assertFalse(record.is_cold(110.0))


class ColdRatesTest(unittest.TestCase):
    """All entry VMs together stay below a cold target's rate."""

    def test_few_entry_vms_may_send(self) -> None:
        record = TargetRecord(make_announcement(), "south", 0.0)
        entries = [
            *(make_entry(f"a{number}", "south-a") for number in range(9)),
            *(make_entry(f"n{number}", "north-a") for number in range(9)),
        ]
        names = select_cold_senders(record, entries)
        self.assertEqual(VMS_PER_COLD_TARGET, len(names))
        self.assertEqual(names, select_cold_senders(record, entries[::-1]))

        roster = {status.name: status for status in entries}
        cold_senders = ColdSenders(lambda: roster)
        self.assertTrue(cold_senders.may_send(names[0], record, 0.0))
        del roster[names[0]]
        self.assertTrue(
            cold_senders.may_send(names[0], record, SELECTION_CACHE_S / 2)
        )
        self.assertFalse(
            cold_senders.may_send(names[0], record, SELECTION_CACHE_S)
        )
        self.assertTrue(all(name.startswith("a") for name in names))

    def test_meters_of_targets_that_are_gone_are_dropped(self) -> None:
        limiter = ColdRateLimiter()
        for target_id in ("stays", "goes"):
            self.assertFalse(limiter.may_send(target_id, 4.0, 0.0))
        limiter.remove(("goes",))
        self.assertTrue(limiter.may_send("stays", 4.0, 10.0))
        self.assertFalse(limiter.may_send("goes", 4.0, 10.0))

    def test_rate_and_first_second_are_kept(self) -> None:
        limiters = [ColdRateLimiter() for _ in range(VMS_PER_COLD_TARGET)]
        sent_times_s: list[float] = []
        for step in range(5000):
            now_s = step / 1000
            for limiter in limiters:
                if limiter.may_send("t", 3.7, now_s):
                    limiter.spend("t")
                    sent_times_s.append(now_s)
        max_per_s = max(
            sum(at_s <= other_s < at_s + 1 for other_s in sent_times_s)
            for at_s in sent_times_s
        )
        self.assertLessEqual(max_per_s, 3.7 * 1.5)
        self.assertGreater(len(sent_times_s), 8)
