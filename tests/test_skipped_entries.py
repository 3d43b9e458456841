"""A log entry that can't be applied doesn't stop the replicas."""

import asyncio
from pathlib import Path
import tempfile
from typing import Any, cast, Final
import unittest
from unittest import mock

from tests.test_deployment import make_announcement
from tests.test_full_disk import GroupTestCase, NAMES
from tests.virtual_time import run_virtual
from wigeonford.control import (
    AnnounceTargets,
    ApplyChange,
    ColdClock,
    COMMANDS,
    Edit,
    LogFileStore,
    SoloReplica,
    State,
    Store,
    TargetService,
)
from wigeonford.control._commands import ExpireMember
from wigeonford.errors import Code, WigeonfordError
from wigeonford.events import EventLog
from wigeonford.http import Request
from wigeonford.platform._control_api import ControlApi

MAX_CBOR_DEPTH: Final = 400
"""Depth up to which the CBOR library decodes what it has encoded."""


def make_nested_change() -> ApplyChange:
    """Return a change that can be encoded but not decoded."""
    nested: Any = "x"
    for _ in range(MAX_CBOR_DEPTH):
        nested = [nested]
    edit = Edit("service", "s", 0, {"name": nested})
    return ApplyChange("c", "a", 0.0, (edit,))


class SkippedEntryTest(unittest.TestCase):
    """Later entries are applied, and the odd one is reported."""

    def test_entry_that_cannot_be_applied_is_skipped(self) -> None:
        state = State()
        for content in (
            b"",
            b"\xff",
            b"\x81" * 1000,
            COMMANDS.encode(make_nested_change()),
            COMMANDS.encode(AnnounceTargets(cast(Any, (1, "x", None)))),
        ):
            with self.subTest(content[:20]):
                result = state.apply_entry(content)
                self.assertTrue(result.is_skipped)
                self.assertTrue(result.detail)
        good = AnnounceTargets((make_announcement(),))
        self.assertFalse(state.apply_entry(COMMANDS.encode(good)).is_skipped)
        self.assertEqual(1, len(state.steering.targets))

    def test_command_whose_application_raises_is_skipped(self) -> None:
        state = State()
        content = COMMANDS.encode(AnnounceTargets((make_announcement(),)))
        for error in (OverflowError, ValueError, KeyError, AssertionError):
            with mock.patch.object(State, "apply", side_effect=error("odd")):
                self.assertTrue(state.apply_entry(content).is_skipped)
        with (
            mock.patch.object(State, "apply", side_effect=MemoryError),
            self.assertRaises(MemoryError),
        ):
            state.apply_entry(content)

    def test_command_that_cannot_be_decoded_is_not_proposed(self) -> None:
        replica = SoloReplica("a", cast(Store, None), EventLog())
        with self.assertRaises(WigeonfordError) as caught:
            asyncio.run(replica.propose(make_nested_change()))
        self.assertIs(Code.MESSAGE_INVALID, caught.exception.code)

    def test_skipped_command_is_not_acknowledged(self) -> None:
        async def run(folder: Path) -> None:
            replica = SoloReplica("a", LogFileStore(folder), EventLog())
            await replica.start()
            targets = TargetService(replica, ColdClock(), EventLog())
            api = ControlApi(replica, targets, {"z": "r"}, EventLog())
            evacuation = Request("POST", "/evacuation/z", "", (), "")
            withdrawal = Request("DELETE", "/instances/t", "", (), "")
            await targets.announce(make_announcement(target_id="t"))
            odd = mock.patch.object(State, "apply", side_effect=KeyError("x"))
            for call in (evacuation, withdrawal):
                with odd:
                    self.assertEqual(503, (await api.handle(call)).status)
                self.assertEqual(200, (await api.handle(call)).status)
            self.assertIsNone(replica.state.steering.targets.get("t"))
            await replica.stop()

        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(run(Path(folder)))


class SkippedCommandTest(GroupTestCase):
    """Propose a command that no replica can apply."""

    def test_command_that_the_leader_skips_is_not_acknowledged(self) -> None:
        async def run() -> None:
            await self.start_all()
            with mock.patch.object(State, "apply", side_effect=KeyError("x")):
                for replica in self.group.replicas.values():
                    with self.assertRaises(WigeonfordError) as caught:
                        await replica.propose(ExpireMember("vm", 0))
                    self.assertIs(Code.INTERNAL, caught.exception.code)
            for name in NAMES:
                self.assertTrue(await self.group.change(name))
            await self.stop_all()

        run_virtual(run())
