"""The replicated state machine: versions, resends and snapshots."""

import unittest

from wigeonford.config_table import ConfigTable
from wigeonford.control import (
    ApplyChange,
    CommandResult,
    Edit,
    IssueKey,
    State,
    WithdrawKey,
)
from wigeonford.errors import Code


def region_edit(name: str, version: int = 0) -> Edit:
    return Edit("regions", name, version, {"name": name})


def make_change(change_id: str, *edits: Edit) -> ApplyChange:
    return ApplyChange(change_id, "operator", 1.0, edits)


class StateTest(unittest.TestCase):
    """Apply commands to a state."""

    def setUp(self) -> None:
        self.state = State()

    def apply(self, record: object) -> CommandResult:
        return self.state.apply(record)

    def test_equal_versions_get_one_winner(self) -> None:
        first = self.apply(make_change("1", region_edit("north")))
        second = self.apply(make_change("2", region_edit("north")))
        self.assertEqual(first.code, Code.OK.number)
        self.assertEqual(second.code, Code.VERSION_CONFLICT.number)
        self.assertEqual(self.state.revision, 1)

    def test_resend_gets_the_first_answer(self) -> None:
        first = self.apply(make_change("1", region_edit("north")))
        self.apply(make_change("2", region_edit("north", 1)))
        self.assertEqual(
            self.apply(make_change("1", region_edit("north"))), first
        )
        self.assertEqual(self.state.revision, 2)

    def test_change_id_stands_for_one_change(self) -> None:
        self.apply(make_change("1", region_edit("north")))
        other = self.apply(make_change("1", region_edit("south")))
        self.assertEqual(other.code, Code.CHANGE_ID_REUSED.number)

    def test_invalid_set_changes_nothing(self) -> None:
        zone = {"name": "a", "region": "nowhere"}
        edit = Edit("availability_zones", "a", 0, zone)
        result = self.apply(make_change("1", region_edit("north"), edit))
        self.assertEqual(result.code, Code.OBJECTS_INVALID.number)
        self.assertEqual(self.state.revision, 0)
        self.assertEqual(self.state.object_version("regions", "north"), 0)

    def test_deleted_object_keeps_counting_versions(self) -> None:
        self.apply(make_change("1", region_edit("north")))
        self.apply(make_change("2", Edit("regions", "north", 1, None)))
        stale = self.apply(make_change("3", region_edit("north", 1)))
        self.assertEqual(stale.code, Code.VERSION_CONFLICT.number)

    def test_snapshot_restores_everything(self) -> None:
        account = {"name": "a", "rate_per_s": 1.0, "burst": 2.0}
        self.apply(make_change("1", Edit("client_accounts", "a", 0, account)))
        self.apply(IssueKey("2", "operator", 1.0, "k", "a", b"digest"))
        self.apply(WithdrawKey("3", "operator", 1.0, "k"))
        restored = State.restore(self.state.snapshot())
        self.assertEqual(restored.snapshot(), self.state.snapshot())
        resent = restored.apply(WithdrawKey("3", "operator", 9.0, "k"))
        self.assertEqual(resent.revision, self.state.revision)

    def test_deltas_lead_to_the_same_table(self) -> None:
        table = ConfigTable()
        for number in range(20):
            name = f"r{number % 5}"
            version = self.state.object_version("regions", name)
            data = None if number % 7 == 6 else {"name": name}
            self.apply(
                make_change(str(number), Edit("regions", name, version, data))
            )
            update = self.state.config.changes_since(table.revision, None)
            updated = table.with_update(update)
            assert updated is not None, "the delta does not apply to the table"
            table = updated
        self.assertEqual(table.objects, self.state.config.objects)

    def test_a_missed_delta_is_detected(self) -> None:
        self.apply(make_change("1", region_edit("north")))
        self.apply(make_change("2", region_edit("south")))
        update = self.state.config.changes_since(1, None)
        self.assertIsNone(ConfigTable().with_update(update))
