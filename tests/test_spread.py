"""Distribution tree of the configuration: its shape and failures."""

import asyncio
import io
import logging
from pathlib import Path
import tempfile
import time
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonford.bench._slopes_tree import (
    new_change_id,
    TreeFleet,
    WAIT_TIMEOUT_S,
)
from wigeonford.control import ApplyChange, Edit, IssueKey, WithdrawKey
from wigeonford.entry import (
    _config,
    DownstreamMembers,
    plan_parents,
    SpreadShape,
)
from wigeonford.entry._config import FRESH_LEASE_S
from wigeonford.events import configure_logging
from wigeonford.messages.object import Member

SHAPE = SpreadShape(max_members_without_tree=2, fan_out=2)
NAMES = [f"vm-{number:02}" for number in range(20)]


def make_member(name: str, zone: str = "a", generation: int = 1) -> Member:
    return Member(name, zone, "127.0.0.1", 80, 81, generation)


class PlanTest(unittest.TestCase):
    """Plan parents from rosters."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(
        rosters=st.lists(
            st.sets(st.sampled_from(NAMES)), min_size=1, max_size=4
        ),
        fan_out=st.integers(1, 4),
        name=st.sampled_from(NAMES),
        data=st.data(),
    )
    def test_differing_rosters_never_loop(
        self,
        rosters: list[set[str]],
        fan_out: int,
        name: str,
        data: st.DataObject,
    ) -> None:
        shape = SpreadShape(0, fan_out)
        steps = 0
        while True:
            roster = data.draw(st.sampled_from(rosters))
            ancestors = plan_parents(
                map(make_member, roster), name, "a", shape
            )
            if not ancestors:
                break
            name = data.draw(st.sampled_from(ancestors)).name
            steps += 1
            self.assertLess(steps, len(NAMES))

    def test_fan_out_and_depth(self) -> None:
        roster = [make_member(name) for name in NAMES]
        shape = SpreadShape(0, 4)
        ancestor_lists = [
            plan_parents(roster, name, "a", shape) for name in NAMES
        ]
        self.assertEqual(max(map(len, ancestor_lists)), 2)
        parents = [
            ancestors[0].name for ancestors in ancestor_lists if ancestors
        ]
        self.assertEqual(len(parents), len(NAMES) - 1)
        self.assertLessEqual(max(map(parents.count, NAMES)), 4)

    def test_small_fleets_are_flat(self) -> None:
        roster = [make_member(name) for name in NAMES[:16]]
        for name in NAMES[:16]:
            self.assertEqual(
                plan_parents(roster, name, "a", SpreadShape()), ()
            )

    def test_each_zone_has_its_relay(self) -> None:
        roster = [make_member(f"vm-{n}", "ab"[n % 2]) for n in range(8)]
        self.assertEqual(plan_parents(roster, "vm-1", "b", SHAPE), ())
        ancestors = plan_parents(roster, "vm-3", "b", SHAPE)
        self.assertEqual([m.name for m in ancestors], ["vm-1"])


class HeardTest(unittest.TestCase):
    """Send each heartbeat and description upstream once."""

    def setUp(self) -> None:
        self.downstream = DownstreamMembers()

    def test_a_description_goes_up_once(self) -> None:
        self.downstream.record_member(make_member("x"))
        self.assertEqual(self.downstream.take().joined, (make_member("x"),))
        self.downstream.record_member(make_member("x"))
        batch = self.downstream.take()
        self.assertEqual((batch.names, batch.joined), ({"x"}, ()))

    def test_heartbeats_are_not_repeated(self) -> None:
        self.downstream.record_member(make_member("x"))
        self.downstream.take()
        self.assertEqual(self.downstream.take().names, frozenset())

    def test_what_was_lost_goes_up_again(self) -> None:
        self.downstream.record_member(make_member("x"))
        self.downstream.restore(self.downstream.take())
        batch = self.downstream.take()
        self.assertEqual(
            (batch.names, batch.joined), ({"x"}, (make_member("x"),))
        )

    def test_unknown_names_are_asked_for(self) -> None:
        self.assertEqual(self.downstream.record_heartbeats(["x"]), ("x",))
        self.assertEqual(self.downstream.take().names, frozenset())

    def test_an_older_start_is_ignored(self) -> None:
        self.downstream.record_member(make_member("x", generation=2))
        self.downstream.record_member(make_member("x", generation=1))
        self.assertEqual(self.downstream.take().joined[0].generation, 2)

    def test_a_member_that_left_is_not_described_again(self) -> None:
        self.downstream.record_member(make_member("x"))
        batch = self.downstream.take()
        self.downstream.forget("x")
        self.downstream.restore(batch)
        self.downstream.queue_descriptions(["x"])
        self.assertEqual(self.downstream.take().joined, ())


class TreeTest(unittest.IsolatedAsyncioTestCase):
    """Run seven nodes of one zone in a tree with a fan-out of two."""

    async def asyncSetUp(self) -> None:
        configure_logging(io.StringIO(), logging.INFO)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = TreeFleet(Path(folder.name), SHAPE)
        await self.fleet.start(7)
        self.addAsyncCleanup(self.fleet.stop)

    async def create_region(self, name: str) -> int:
        edit = Edit("regions", name, 0, {"name": name})
        return await self.fleet.run_command(
            ApplyChange(new_change_id(), "operator", 1.0, (edit,))
        )

    def freshness_by_node(self) -> dict[str, bool]:
        now_s = time.monotonic()
        return {
            name: node.follower.is_fresh(now_s)
            for name, node in self.fleet.nodes.items()
        }

    def confirmed_since(self, since_s: float) -> bool:
        """Return whether every node holds a confirmation after `since_s`."""
        age_s = time.monotonic() - since_s
        return all(
            node.follower.confirmed_age_s(time.monotonic()) < age_s
            for node in self.fleet.nodes.values()
        )

    async def test_only_the_relay_asks_control(self) -> None:
        # With the real limits, a node skips a parent that a busy machine
        # delays, and pulls from control.
        for name in ("PARENT_TIMEOUT_S", "STALE_S"):
            self.enterContext(mock.patch.object(_config, name, WAIT_TIMEOUT_S))
        await self.fleet.wait_until(
            self.fleet.applied_everywhere(await self.create_region("a"))
        )
        for node in self.fleet.nodes.values():
            node.requests_by_type.clear()
        await self.fleet.wait_until(
            self.fleet.applied_everywhere(await self.create_region("b"))
        )
        await asyncio.sleep(1.5)
        since_s = time.monotonic()
        await self.fleet.wait_until(lambda: self.confirmed_since(since_s))
        pulling_nodes = {
            name
            for name, node in self.fleet.nodes.items()
            if "PullConfig" in node.requests_by_type
        }
        self.assertEqual(pulling_nodes, {"node-00"})
        self.assertTrue(self.fleet.roster_complete())

    async def test_a_lost_relay_is_passed_over(self) -> None:
        await self.fleet.wait_until(
            self.fleet.applied_everywhere(await self.create_region("a"))
        )
        # The relay's links drop all data but stay open, so that its children
        # detect the failure only by a timeout.
        relay = self.fleet.nodes.pop("node-00")
        self.addAsyncCleanup(relay.stop)
        relay.disconnect()
        until_s = time.monotonic() + FRESH_LEASE_S + 0.5
        while time.monotonic() < until_s:
            self.assertTrue(
                all(self.freshness_by_node().values()),
                self.freshness_by_node(),
            )
            await asyncio.sleep(0.1)
        await self.fleet.wait_until(
            self.fleet.applied_everywhere(await self.create_region("b"))
        )
        await self.fleet.wait_until(self.fleet.roster_complete)

    async def test_a_withdrawn_key_stops_below_a_cut_off_relay(self) -> None:
        await self.fleet.run_command(
            ApplyChange(
                new_change_id(),
                "operator",
                1.0,
                (
                    Edit(
                        "client_accounts",
                        "c",
                        0,
                        {"name": "c", "rate_per_s": 1.0, "burst": 1.0},
                    ),
                ),
            )
        )
        issued = await self.fleet.run_command(
            IssueKey(new_change_id(), "operator", 1.0, "k", "c", b"digest")
        )
        await self.fleet.wait_until(self.fleet.applied_everywhere(issued))
        for node in self.fleet.nodes.values():
            node.control_link_state.cut_backward = True
        cut_at_s = time.monotonic()
        await self.fleet.run_command(
            WithdrawKey(new_change_id(), "operator", 1.0, "k")
        )
        await self.fleet.wait_until(
            lambda: not any(self.freshness_by_node().values())
        )
        self.assertLessEqual(time.monotonic() - cut_at_s, FRESH_LEASE_S + 0.5)

    async def test_a_stale_restart_never_reverts(self) -> None:
        first = await self.create_region("a")
        await self.fleet.wait_until(self.fleet.applied_everywhere(first))
        node = self.fleet.nodes["node-06"]
        await node.stop()
        for number in range(500):
            last = await self.create_region(f"r{number}")
        restarted = await self.fleet.start_node("node-06")
        self.assertGreaterEqual(restarted.follower.current.revision, last)
        self.assertTrue(restarted.follower.is_fresh(time.monotonic()))
        self.assertEqual(restarted.requests_by_type["PullConfig"], 1)

    async def test_one_that_stops_stays_off_the_roster(self) -> None:
        await self.fleet.wait_until(self.fleet.roster_complete)
        node = self.fleet.nodes.pop("node-05")
        await node.leave_roster()
        await self.fleet.wait_until(self.fleet.roster_complete)
        until_s = time.monotonic() + 2.5
        while time.monotonic() < until_s:
            self.assertTrue(self.fleet.roster_complete())
            await asyncio.sleep(0.05)
        await node.stop()
