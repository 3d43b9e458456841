"""Rosters of entry VMs: what a replica tells, and what a VM makes of it."""

from typing import Final
import unittest

from wigeonford.codec import Codec
from wigeonford.control._roster import Roster
from wigeonford.control._view_service import (
    MAX_UPDATE_BATCH_S,
    UPDATE_BATCH_S,
    update_batch_s,
)
from wigeonford.messages.steering import EntryStatus, RosterChange
from wigeonford.steer import Roster as MergedRoster
from wigeonford.steer._view import MERGE_CACHE_S, UNKNOWN_EPOCH

EPOCH: Final = 7
SILENT_S: Final = 2.5
IN_FORCE_S: Final = 3.0
"""The users' bound on changes of the large site."""
VMS: Final = 450
"""Nodes of the target size."""


def status(number: int, *, ready: bool = True, run: str = "a") -> EntryStatus:
    """Return how an entry VM presents itself."""
    return EntryStatus(
        f"front-{number}", run, f"10.0.0.{number}:80", "z", "r", ready
    )


class RosterTest(unittest.TestCase):
    """A replica tells what is new, and nothing twice."""

    def setUp(self) -> None:
        self.roster = Roster(EPOCH)

    def names(self, change: RosterChange) -> list[str]:
        return sorted(item.name for item in change.running_entries)

    def test_a_change_is_told_alone_however_many_run(self) -> None:
        for number in range(VMS):
            self.roster.record_status(status(number), 0.0)
        before = self.roster.revision
        self.assertFalse(self.roster.record_status(status(3), 1.0))
        self.assertEqual(before, self.roster.revision)
        self.assertTrue(self.roster.record_status(status(3, ready=False), 1.0))
        change = self.roster.changes_since(EPOCH, before)
        self.assertFalse(change.is_full)
        self.assertEqual(["front-3"], self.names(change))

    def test_silent_ones_leave(self) -> None:
        self.roster.record_status(status(1), 0.0)
        self.roster.record_status(status(2), 0.0)
        known = self.roster.revision
        self.roster.record_status(status(2), SILENT_S)
        gone = self.roster.expire(SILENT_S + 0.1, SILENT_S)
        self.assertEqual(["front-1"], [name for name, _ in gone])
        change = self.roster.changes_since(EPOCH, known)
        self.assertEqual(("front-1",), change.stopped_names)
        self.roster.record_status(status(1, run="b"), SILENT_S + 0.2)
        change = self.roster.changes_since(EPOCH, known)
        self.assertEqual(
            ((), ["front-1"]), (change.stopped_names, self.names(change))
        )

    def test_another_run_of_a_replica_tells_all(self) -> None:
        self.roster.record_status(status(1), 0.0)
        change = self.roster.changes_since(UNKNOWN_EPOCH, 99)
        self.assertTrue(change.is_full)
        self.assertEqual(["front-1"], self.names(change))

    def test_what_was_said_before_does_not_undo_news(self) -> None:
        """A watch that ends after a VM said it stops changes nothing."""
        self.roster.record_status(status(1), 0.0)
        self.roster.record_status(status(1, ready=False), 0.5)
        self.assertTrue(self.roster.refresh(status(1).name, 0.7))
        self.assertFalse(self.roster.refresh(status(2).name, 0.7))
        change = self.roster.changes_since(UNKNOWN_EPOCH, 0)
        self.assertEqual(
            [False], [item.is_ready for item in change.running_entries]
        )

    def test_start_of_a_fleet_costs_bytes_by_its_size(self) -> None:
        """Each VM hears of each other one once, not at each start."""
        codec = Codec("roster")
        codec.register(1)(RosterChange)

        def bytes_of(vms: int) -> int:
            roster = Roster(EPOCH)
            known = [0] * vms
            told = 0
            for tick in range(10):
                for number in range(tick * vms // 10, (tick + 1) * vms // 10):
                    roster.record_status(status(number), tick * 0.1)
                for number in range(vms):
                    change = roster.changes_since(EPOCH, known[number])
                    known[number] = change.revision
                    told += len(codec.encode(change))
            return told // vms

        self.assertLess(bytes_of(VMS), 1.5 * VMS / 45 * bytes_of(45))


class MergedRosterTest(unittest.TestCase):
    """A VM runs while a replica in touch lists it."""

    def test_changes_are_merged_by_replica(self) -> None:
        merged = MergedRoster()
        whole = RosterChange(EPOCH, 2, True, (status(1), status(2)), ())
        merged.apply("a", whole, 0.0)
        merged.apply("b", RosterChange(9, 1, True, (status(1),), ()), 0.0)
        self.assertEqual((EPOCH, 2), merged.position_of("a"))
        self.assertEqual((UNKNOWN_EPOCH, 0), merged.position_of("c"))
        self.assertEqual({"front-1", "front-2"}, set(merged.entries(0.0)))
        gone = RosterChange(EPOCH, 4, False, (), ("front-1", "front-2"))
        merged.apply("a", gone, 0.1)
        self.assertEqual({"front-1"}, set(merged.entries(0.1)))

    def test_what_a_silent_replica_said_is_dropped(self) -> None:
        merged = MergedRoster()
        merged.apply("a", RosterChange(1, 1, True, (status(1),), ()), 0.0)
        merged.apply("b", RosterChange(2, 1, True, (status(2),), ()), 0.0)
        merged.apply("b", None, 10.0)
        self.assertEqual(
            {"front-2"}, set(merged.entries(10.0 + MERGE_CACHE_S))
        )

    def test_a_replica_that_started_anew_begins_anew(self) -> None:
        merged = MergedRoster()
        merged.apply("a", RosterChange(1, 5, True, (status(1),), ()), 0.0)
        merged.apply("a", RosterChange(2, 1, True, (status(2),), ()), 0.1)
        self.assertEqual({"front-2"}, set(merged.entries(0.1)))


class NewsTickTest(unittest.TestCase):
    """News that come in a row wake a large fleet's watches few times."""

    def test_wakes_of_a_fleet_are_bounded(self) -> None:
        """However many VMs there are, and however fast changes come."""
        self.assertEqual(UPDATE_BATCH_S, update_batch_s(12))
        for vms in (12, 70, 195, VMS):
            wakes_per_s = vms / update_batch_s(vms)
            self.assertLessEqual(wakes_per_s, VMS / MAX_UPDATE_BATCH_S)

    def test_news_come_well_before_they_have_to_be_in_force(self) -> None:
        self.assertLessEqual(update_batch_s(10 * VMS), IN_FORCE_S / 10)
