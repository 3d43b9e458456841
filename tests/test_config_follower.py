"""The configuration follower, with stale and inconsistent sources."""

import asyncio
from collections.abc import Awaitable, Callable
import io
import logging
import socket
import time
from typing import Any, cast
import unittest
from unittest import mock

from wigeonford.config_table import ConfigTable
from wigeonford.entry import ConfigFollower, Parents, SpreadShape
from wigeonford.entry._config import FRESH_LEASE_S
from wigeonford.events import configure_logging, EventLog
from wigeonford.invariants import Checks, Invariant, InvariantBreach
from wigeonford.messages.object import ConfigUpdate, ObjectRow, PullConfig
from wigeonford.messages.spread import SpreadPull, SpreadUpdate
from wigeonford.metrics import Metrics
from wigeonford.model import KeyRecord
from wigeonford.peer import PeerClient


def make_table(revision: int, *keys: KeyRecord) -> ConfigTable:
    """Return a table to which each revision added one region."""
    table = ConfigTable()
    rows = []
    for number in range(1, revision + 1):
        name = f"r{number}"
        rows.append(ObjectRow("regions", name, 1, {"name": name}))
        table.put_row(number, rows[-1])
    for key in keys:
        table.put_key(revision, key)
    table.update_objects(rows)
    table.revision = revision
    return table


class StandInSource:
    """Reply to pulls from a table that the test replaces."""

    def __init__(self) -> None:
        self.table = make_table(3)
        self.confirmed_age_s: float | None = 0.0
        self.pulled_revisions: list[int] = []
        self.next_update: ConfigUpdate | None = None
        self.before_reply: Callable[[], Awaitable[None]] | None = None

    async def request(self, message: PullConfig, _timeout_s: float) -> Any:
        self.pulled_revisions.append(message.revision)
        if self.before_reply is not None:
            await self.before_reply()
        if self.next_update is not None:
            update, self.next_update = self.next_update, None
            return update
        return self.table.changes_since(message.revision, self.confirmed_age_s)

    async def close(self) -> None:
        """Stand in for `PeerClient.close`."""


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Pull from a stand-in source, one pull at a time."""

    def setUp(self) -> None:
        configure_logging(io.StringIO(), logging.INFO)
        self.source = StandInSource()
        log = EventLog()
        metrics = Metrics()
        self.follower = ConfigFollower(
            (cast(PeerClient, self.source),),
            lambda: None,
            Parents("vm", "a", self.connect_parent, SpreadShape()),
            Checks(log, metrics),
            metrics,
            log,
        )

    def connect_parent(self, _member: object) -> Any:
        raise AssertionError("a fleet of one has no parents")

    def is_fresh(self) -> bool:
        return self.follower.is_fresh(time.monotonic())

    async def test_reply_that_arrived_amid_a_stall_counts(self) -> None:
        await self.follower._pull()
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        loop = asyncio.get_running_loop()

        async def wait_for_reply() -> None:
            await loop.sock_recv(ours, 1)

        self.source.before_reply = wait_for_reply
        now_s = time.monotonic()
        with mock.patch("time.monotonic") as clock:
            clock.return_value = now_s + 0.5
            pulling = asyncio.create_task(self.follower._pull())
            for _ in range(3):
                await asyncio.sleep(0)
            theirs.send(b"+")
            clock.return_value = now_s + FRESH_LEASE_S + 0.1
            self.assertFalse(self.is_fresh())
            self.assertTrue(await self.follower.is_fresh_by_now())
            self.assertTrue(await pulling)

    async def test_an_older_source_changes_nothing(self) -> None:
        self.assertTrue(await self.follower._pull())
        age_before_s = self.follower.confirmed_age_s(0.0)
        self.source.table = make_table(2)
        self.assertFalse(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)
        self.assertEqual(self.follower.confirmed_age_s(0.0), age_before_s)

    async def test_without_a_vouch_nothing_is_fresh(self) -> None:
        self.source.confirmed_age_s = None
        self.assertTrue(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)
        self.assertFalse(self.is_fresh())
        self.source.confirmed_age_s = FRESH_LEASE_S
        await self.follower._pull()
        self.assertFalse(self.is_fresh())
        self.source.confirmed_age_s = 0.0
        await self.follower._pull()
        self.assertTrue(self.is_fresh())

    async def test_a_missed_delta_is_asked_for_whole(self) -> None:
        await self.follower._pull()
        self.source.table = make_table(6)
        self.source.next_update = ConfigUpdate(
            6, 3, (), (), (), (), self.source.table.digest, 0.0
        )
        self.assertFalse(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)
        self.assertTrue(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 6)
        self.assertEqual(self.source.pulled_revisions, [0, 3, 0])

    async def test_equal_revisions_with_other_content_are_found(self) -> None:
        await self.follower._pull()
        self.source.table = make_table(3, KeyRecord("k", "a", b"d"))
        self.assertFalse(await self.follower._pull())
        self.assertTrue(await self.follower._pull())
        self.assertIn(b"d", self.follower.current.keys_by_digest)

    async def test_an_older_snapshot_after_a_gap_is_refused(self) -> None:
        await self.follower._pull()
        self.follower._published.discard_table()
        self.source.table = make_table(2)
        self.assertFalse(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)

    async def test_a_withdrawn_key_is_never_revived(self) -> None:
        self.source.table = make_table(
            3, KeyRecord("k", "a", b"d", withdrawn=True)
        )
        await self.follower._pull()
        self.source.table = make_table(4, KeyRecord("k", "a", b"d"))
        with self.assertRaises(InvariantBreach) as caught:
            await self.follower._pull()
        self.assertIs(
            caught.exception.invariant, Invariant.WITHDRAWN_KEY_STOPS
        )
        self.assertTrue(self.follower.current.keys_by_digest[b"d"].withdrawn)

    async def test_a_vouch_from_ahead_is_a_breach(self) -> None:
        self.source.confirmed_age_s = -60.0
        with self.assertRaises(InvariantBreach) as caught:
            await self.follower._pull()
        self.assertIs(
            caught.exception.invariant, Invariant.WITHDRAWN_KEY_STOPS
        )
        self.assertFalse(self.is_fresh())

    async def test_500_changes_come_with_one_exchange(self) -> None:
        await self.follower._pull()
        self.source.table = make_table(503)
        self.assertTrue(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 503)
        self.assertEqual(self.source.pulled_revisions, [0, 3])

    async def test_a_child_gets_what_it_lacks(self) -> None:
        self.source.confirmed_age_s = 0.5
        await self.follower._pull()
        reply = await self.follower.answer_pull(SpreadPull(2, ("x",), ()))
        assert reply.update is not None and reply.vouched_age_s is not None
        self.assertGreaterEqual(reply.vouched_age_s, 0.5)
        # This VM began with a full update to revision 3 and has no record of
        # earlier deletions, so the child gets a full update too.
        self.assertEqual(reply.update.base, 0)
        self.assertEqual(reply.unknown, ("x",))

    async def test_a_source_that_cannot_vouch_is_left(self) -> None:
        other = StandInSource()
        self.follower._sources = tuple(
            cast(PeerClient, source) for source in (self.source, other)
        )
        self.follower._source_index = 0
        self.source.confirmed_age_s = FRESH_LEASE_S
        await self.follower._pull()
        self.assertFalse(self.is_fresh())
        await self.follower._pull()
        self.assertTrue(self.is_fresh())
        await self.follower._pull()
        self.assertEqual(len(other.pulled_revisions), 2)

    async def test_children_stay_while_control_elects(self) -> None:
        await self.follower._pull()
        confirmed_age_s = self.follower.confirmed_age_s(0.0)
        now_s = time.monotonic()
        self.assertTrue(
            self.follower._apply_reply(
                SpreadUpdate(3, 2.5, 0.5, None, ()), now_s
            )
        )
        self.assertEqual(self.follower.confirmed_age_s(0.0), confirmed_age_s)
        self.assertFalse(
            self.follower._apply_reply(
                SpreadUpdate(3, 2.5, 2.5, None, ()), now_s
            )
        )

    async def test_a_parent_without_a_vouch_says_so(self) -> None:
        self.source.confirmed_age_s = None
        await self.follower._pull()
        reply = await self.follower.answer_pull(SpreadPull(0, (), ()))
        self.assertIsNone(reply.vouched_age_s)


class FloorTest(unittest.TestCase):
    """Send updates from a table that was built from a full update."""

    def test_deletions_from_before_the_floor_are_not_missed(self) -> None:
        source = make_table(3)
        child = ConfigTable().with_update(source.changes_since(0, None))
        source.put_row(4, ObjectRow("regions", "r1", 2, None))
        source.revision = 4
        parent = ConfigTable().with_update(source.changes_since(0, None))
        assert child is not None and parent is not None
        updated = child.with_update(parent.changes_since(child.revision, None))
        assert updated is not None
        self.assertEqual(updated.digest, source.digest)
        self.assertNotIn("r1", updated.objects.regions)
