"""Rosters of entry VMs: changes that replicas send and VMs merge."""

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
"""Time within which a change must take effect at the users' large site."""
VMS: Final = 450
"""Entry VMs in a fleet of the planned size."""


def make_status(
    number: int, *, ready: bool = True, incarnation: str = "a"
) -> EntryStatus:
    """Return the status that an entry VM reports."""
    return EntryStatus(
        f"front-{number}", incarnation, f"10.0.0.{number}:80", "z", "r", ready
    )


class RosterTest(unittest.TestCase):
    """A replica sends the changes after a revision, and nothing twice."""

    def setUp(self) -> None:
        self.roster = Roster(EPOCH)

    def running_names(self, change: RosterChange) -> list[str]:
        return sorted(item.name for item in change.running_entries)

    def test_a_change_is_told_alone_however_many_run(self) -> None:
        for number in range(VMS):
            self.roster.record_status(make_status(number), 0.0)
        revision_before = self.roster.revision
        self.assertFalse(self.roster.record_status(make_status(3), 1.0))
        self.assertEqual(revision_before, self.roster.revision)
        self.assertTrue(
            self.roster.record_status(make_status(3, ready=False), 1.0)
        )
        change = self.roster.changes_since(EPOCH, revision_before)
        self.assertFalse(change.is_full)
        self.assertEqual(["front-3"], self.running_names(change))

    def test_silent_ones_leave(self) -> None:
        self.roster.record_status(make_status(1), 0.0)
        self.roster.record_status(make_status(2), 0.0)
        known_revision = self.roster.revision
        self.roster.record_status(make_status(2), SILENT_S)
        expired = self.roster.expire(SILENT_S + 0.1, SILENT_S)
        self.assertEqual(["front-1"], [name for name, _ in expired])
        change = self.roster.changes_since(EPOCH, known_revision)
        self.assertEqual(("front-1",), change.stopped_names)
        self.roster.record_status(
            make_status(1, incarnation="b"), SILENT_S + 0.2
        )
        change = self.roster.changes_since(EPOCH, known_revision)
        self.assertEqual(
            ((), ["front-1"]),
            (change.stopped_names, self.running_names(change)),
        )

    def test_another_run_of_a_replica_tells_all(self) -> None:
        self.roster.record_status(make_status(1), 0.0)
        change = self.roster.changes_since(UNKNOWN_EPOCH, 99)
        self.assertTrue(change.is_full)
        self.assertEqual(["front-1"], self.running_names(change))

    def test_what_was_said_before_does_not_undo_news(self) -> None:
        """A watch that ends after its VM reported its stop changes nothing."""
        self.roster.record_status(make_status(1), 0.0)
        self.roster.record_status(make_status(1, ready=False), 0.5)
        self.assertTrue(self.roster.refresh(make_status(1).name, 0.7))
        self.assertFalse(self.roster.refresh(make_status(2).name, 0.7))
        change = self.roster.changes_since(UNKNOWN_EPOCH, 0)
        self.assertEqual(
            [False], [item.is_ready for item in change.running_entries]
        )

    def test_start_of_a_fleet_costs_bytes_by_its_size(self) -> None:
        """A VM receives each other VM's status once, not at every start."""
        codec = Codec("roster")
        codec.register(1)(RosterChange)

        def bytes_per_vm(vms: int) -> int:
            roster = Roster(EPOCH)
            known_revisions = [0] * vms
            sent_bytes = 0
            for tick in range(10):
                for number in range(tick * vms // 10, (tick + 1) * vms // 10):
                    roster.record_status(make_status(number), tick * 0.1)
                for number in range(vms):
                    change = roster.changes_since(
                        EPOCH, known_revisions[number]
                    )
                    known_revisions[number] = change.revision
                    sent_bytes += len(codec.encode(change))
            return sent_bytes // vms

        self.assertLess(bytes_per_vm(VMS), 1.5 * VMS / 45 * bytes_per_vm(45))


class MergedRosterTest(unittest.TestCase):
    """An entry VM counts as running while a connected replica lists it."""

    def test_changes_are_merged_by_replica(self) -> None:
        merged = MergedRoster()
        full_change = RosterChange(
            EPOCH, 2, True, (make_status(1), make_status(2)), ()
        )
        merged.apply("a", full_change, 0.0)
        merged.apply("b", RosterChange(9, 1, True, (make_status(1),), ()), 0.0)
        self.assertEqual((EPOCH, 2), merged.position_of("a"))
        self.assertEqual((UNKNOWN_EPOCH, 0), merged.position_of("c"))
        self.assertEqual({"front-1", "front-2"}, set(merged.entries(0.0)))
        stop_change = RosterChange(EPOCH, 4, False, (), ("front-1", "front-2"))
        merged.apply("a", stop_change, 0.1)
        self.assertEqual({"front-1"}, set(merged.entries(0.1)))

    def test_what_a_silent_replica_said_is_dropped(self) -> None:
        merged = MergedRoster()
        merged.apply("a", RosterChange(1, 1, True, (make_status(1),), ()), 0.0)
        merged.apply("b", RosterChange(2, 1, True, (make_status(2),), ()), 0.0)
        merged.apply("b", None, 10.0)
        self.assertEqual(
            {"front-2"}, set(merged.entries(10.0 + MERGE_CACHE_S))
        )

    def test_a_replica_that_started_anew_begins_anew(self) -> None:
        merged = MergedRoster()
        merged.apply("a", RosterChange(1, 5, True, (make_status(1),), ()), 0.0)
        merged.apply("a", RosterChange(2, 1, True, (make_status(2),), ()), 0.1)
        self.assertEqual({"front-2"}, set(merged.entries(0.1)))


class NewsTickTest(unittest.TestCase):
    """Updates are batched, so that a fleet's watches are woken less often."""

    def test_wakes_of_a_fleet_are_bounded(self) -> None:
        """The bound holds for any fleet size and any rate of changes."""
        self.assertEqual(UPDATE_BATCH_S, update_batch_s(12))
        for vms in (12, 70, 195, VMS):
            wakes_per_s = vms / update_batch_s(vms)
            self.assertLessEqual(wakes_per_s, VMS / MAX_UPDATE_BATCH_S)

    def test_news_come_well_before_they_have_to_be_in_force(self) -> None:
        self.assertLessEqual(update_batch_s(10 * VMS), IN_FORCE_S / 10)
