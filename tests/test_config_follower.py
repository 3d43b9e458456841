"""The follower of the configuration before stale and wrong sources."""

import io
import logging
import time
from typing import Any, cast
import unittest

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


def table_of(revision: int, *keys: KeyRecord) -> ConfigTable:
    """Return a table with one region a revision."""
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
    """Answer pulls from a table that the test replaces."""

    def __init__(self) -> None:
        self.table = table_of(3)
        self.vouched_age_s: float | None = 0.0
        self.asked: list[int] = []
        self.spoilt: ConfigUpdate | None = None

    async def request(self, record: PullConfig, _timeout_s: float) -> Any:
        self.asked.append(record.revision)
        if self.spoilt is not None:
            update, self.spoilt = self.spoilt, None
            return update
        return self.table.changes_since(record.revision, self.vouched_age_s)

    async def close(self) -> None:
        """Do nothing."""


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Pull from one stand-in source, a pull at a time."""

    def setUp(self) -> None:
        configure_logging(io.StringIO(), logging.INFO)
        self.source = StandInSource()
        log = EventLog()
        metrics = Metrics()
        self.follower = ConfigFollower(
            (cast(PeerClient, self.source),),
            lambda: None,
            Parents("vm", "a", self.no_link, SpreadShape()),
            Checks(log, metrics),
            metrics,
            log,
        )

    def no_link(self, _member: object) -> Any:
        raise AssertionError("a fleet of one has no parents")

    def is_fresh(self) -> bool:
        return self.follower.is_fresh(time.monotonic())

    async def test_an_older_source_changes_nothing(self) -> None:
        self.assertTrue(await self.follower._pull())
        before = self.follower.confirmed_age_s(0.0)
        self.source.table = table_of(2)
        self.assertFalse(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)
        self.assertEqual(self.follower.confirmed_age_s(0.0), before)

    async def test_without_a_vouch_nothing_is_fresh(self) -> None:
        self.source.vouched_age_s = None
        self.assertTrue(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)
        self.assertFalse(self.is_fresh())
        self.source.vouched_age_s = FRESH_LEASE_S
        await self.follower._pull()
        self.assertFalse(self.is_fresh())
        self.source.vouched_age_s = 0.0
        await self.follower._pull()
        self.assertTrue(self.is_fresh())

    async def test_a_missed_delta_is_asked_for_whole(self) -> None:
        await self.follower._pull()
        self.source.table = table_of(6)
        self.source.spoilt = ConfigUpdate(
            6, 3, (), (), (), (), self.source.table.digest, 0.0
        )
        self.assertFalse(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)
        self.assertTrue(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 6)
        self.assertEqual(self.source.asked, [0, 3, 0])

    async def test_equal_revisions_with_other_content_are_found(self) -> None:
        await self.follower._pull()
        self.source.table = table_of(3, KeyRecord("k", "a", b"d"))
        self.assertFalse(await self.follower._pull())
        self.assertTrue(await self.follower._pull())
        self.assertIn(b"d", self.follower.current.keys_by_digest)

    async def test_an_older_snapshot_after_a_gap_is_refused(self) -> None:
        await self.follower._pull()
        self.follower._published.discard_table()
        self.source.table = table_of(2)
        self.assertFalse(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 3)

    async def test_a_withdrawn_key_is_never_revived(self) -> None:
        self.source.table = table_of(
            3, KeyRecord("k", "a", b"d", withdrawn=True)
        )
        await self.follower._pull()
        self.source.table = table_of(4, KeyRecord("k", "a", b"d"))
        with self.assertRaises(InvariantBreach) as caught:
            await self.follower._pull()
        self.assertIs(
            caught.exception.invariant, Invariant.WITHDRAWN_KEY_STOPS
        )
        self.assertTrue(self.follower.current.keys_by_digest[b"d"].withdrawn)

    async def test_a_vouch_from_ahead_is_a_breach(self) -> None:
        self.source.vouched_age_s = -60.0
        with self.assertRaises(InvariantBreach) as caught:
            await self.follower._pull()
        self.assertIs(
            caught.exception.invariant, Invariant.WITHDRAWN_KEY_STOPS
        )
        self.assertFalse(self.is_fresh())

    async def test_500_changes_come_with_one_exchange(self) -> None:
        await self.follower._pull()
        self.source.table = table_of(503)
        self.assertTrue(await self.follower._pull())
        self.assertEqual(self.follower.current.revision, 503)
        self.assertEqual(self.source.asked, [0, 3])

    async def test_a_child_gets_what_it_lacks(self) -> None:
        self.source.vouched_age_s = 0.5
        await self.follower._pull()
        answer = await self.follower.answer_pull(SpreadPull(2, ("x",), ()))
        assert answer.update is not None and answer.vouched_age_s is not None
        self.assertGreaterEqual(answer.vouched_age_s, 0.5)
        # From before the snapshot that this VM began with: everything.
        self.assertEqual(answer.update.base, 0)
        self.assertEqual(answer.unknown, ("x",))

    async def test_a_source_that_cannot_vouch_is_left(self) -> None:
        other = StandInSource()
        self.follower._sources = tuple(
            cast(PeerClient, source) for source in (self.source, other)
        )
        self.follower._source_index = 0
        self.source.vouched_age_s = FRESH_LEASE_S
        await self.follower._pull()
        self.assertFalse(self.is_fresh())
        await self.follower._pull()
        self.assertTrue(self.is_fresh())
        await self.follower._pull()
        self.assertEqual(len(other.asked), 2)

    async def test_children_stay_while_control_elects(self) -> None:
        await self.follower._pull()
        vouched = self.follower.confirmed_age_s(0.0)
        now_s = time.monotonic()
        self.assertTrue(
            self.follower._apply_reply(
                SpreadUpdate(3, 2.5, 0.5, None, ()), now_s
            )
        )
        self.assertEqual(self.follower.confirmed_age_s(0.0), vouched)
        self.assertFalse(
            self.follower._apply_reply(
                SpreadUpdate(3, 2.5, 2.5, None, ()), now_s
            )
        )

    async def test_a_parent_without_a_vouch_says_so(self) -> None:
        self.source.vouched_age_s = None
        await self.follower._pull()
        answer = await self.follower.answer_pull(SpreadPull(0, (), ()))
        self.assertIsNone(answer.vouched_age_s)


class FloorTest(unittest.TestCase):
    """Pass on deltas from a table that was itself taken over whole."""

    def test_deletions_from_before_the_floor_are_not_missed(self) -> None:
        source = table_of(3)
        child = ConfigTable().with_update(source.changes_since(0, None))
        source.put_row(4, ObjectRow("regions", "r1", 2, None))
        source.revision = 4
        parent = ConfigTable().with_update(source.changes_since(0, None))
        assert child is not None and parent is not None
        after = child.with_update(parent.changes_since(child.revision, None))
        assert after is not None
        self.assertEqual(after.digest, source.digest)
        self.assertNotIn("r1", after.objects.regions)
