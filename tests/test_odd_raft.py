"""One odd message of a control replica ends no other replica."""

import asyncio
from collections.abc import Iterator
import math
from typing import Any, Final

from tests.test_full_disk import GroupTestCase, NAMES
from tests.virtual_time import run_virtual
from wigeonford.control import COMMANDS, RaftReplica
from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_members import ChangeReplicas
from wigeonford.control._raft_snapshot import pack_snapshot
from wigeonford.errors import Code, PeerError
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    EntryRecord,
    HandOver,
    InstallSnapshot,
    VoteReply,
    VoteRequest,
)

HUGE: Final = 10**400
ODD_TABLE: Final = COMMANDS.encode(ChangeReplicas(()))[:2] + b"\xff"
SETTLE_S: Final = 3.0


class OddMessages:
    """Make messages that no replica sends.

    `own` is the core that receives them and `other` their sender's.
    """

    def __init__(self, own: RaftCore, name: str, other: RaftCore) -> None:
        self._name = name
        self._other = other._node.name
        self._incarnation = other.hard_state.incarnation
        self._to = own.hard_state.incarnation
        self._term = own.term
        self._last = own.log.last_position
        self._last_term = own.log.last_term

    def append(self, **fields: Any) -> AppendEntries:
        """Return a heartbeat with some other fields."""
        proper = {
            "sender": self._other,
            "recipient": self._to,
            "term": self._term,
            "previous_position": self._last,
            "previous_term": self._last_term,
            "entries": (),
            "commit_position": self._last,
            "sent_at_s": 1.0,
            "echo_s": None,
            "confirmed_age_s": None,
        }
        return AppendEntries(**{**proper, **fields})

    def reply(
        self, accepted: bool, position: int, at_s: float = 1.0, term: int = -1
    ) -> AppendReply:
        """Return a reply to an append."""
        return AppendReply(
            self._other,
            self._incarnation,
            self._term if term < 0 else term,
            accepted,
            position,
            at_s,
            at_s,
        )

    def snapshot(self, position: int, content: bytes) -> InstallSnapshot:
        """Return a snapshot."""
        return InstallSnapshot(
            self._other,
            self._to,
            self._term,
            position,
            self._term,
            content,
            1.0,
        )

    def refused_by_any(self) -> Iterator[Any]:
        """Yield messages that are refused whatever the log holds."""
        term, last = self._term, self._last
        entry = EntryRecord(term, b"y")
        yield self.reply(False, -5)
        yield self.reply(True, last, math.nan)
        yield self.reply(True, last, math.inf)
        yield self.reply(False, 0, term=HUGE)
        for request_term, last_term in ((HUGE, 0), (term, term + 1)):
            yield VoteRequest(
                self._other,
                self._incarnation,
                self._to,
                request_term,
                False,
                last,
                last_term,
            )
        yield VoteReply(self._other, self._incarnation, HUGE, False, False)
        yield self.append(sender=self._name)
        yield self.append(previous_position=-3, entries=(entry,))
        yield self.append(commit_position=HUGE)
        yield self.append(entries=(EntryRecord(term + 9, b"y"),))
        yield self.append(entries=(entry, EntryRecord(0, b"y")))
        yield self.append(entries=(EntryRecord(term, ODD_TABLE),))
        yield self.append(sent_at_s=math.inf)
        yield self.append(echo_s=math.nan)
        yield self.append(confirmed_age_s=math.nan)
        yield self.append(confirmed_age_s=-1.0)
        for delay_s in (math.nan, math.inf, -1e308, 1e308):
            yield HandOver(self._other, term, delay_s)
        yield self.snapshot(last + 100, b"odd")
        yield self.snapshot(last + 100, pack_snapshot((), b"odd"))
        yield self.snapshot(-1, b"odd")

    def refused_by_leader(self) -> Iterator[Any]:
        """Yield messages that a leader refuses."""
        yield self.reply(True, self._last + 5)
        yield self.reply(False, self._last + 50)
        yield self.reply(True, self._last, 1e12)
        yield self.append()


class OddRaftTest(GroupTestCase):
    """Send odd messages to each of five replicas in virtual time."""

    def test_odd_messages_end_no_replica(self) -> None:
        async def run() -> None:
            leader = await self.start_all()
            follower = next(name for name in NAMES if name != leader)
            replicas = self.group.replicas
            for name, other in ((leader, follower), (follower, leader)):
                await self.send_odd(replicas[name], replicas[other])
            await asyncio.sleep(SETTLE_S)
            for name in NAMES:
                self.assertFalse(replicas[name].has_stopped, name)
                self.assertTrue(await self.group.change(name), name)
            await self.group.until_equal()
            await self.stop_all()

        run_virtual(run())

    async def send_odd(self, to: RaftReplica, other: RaftReplica) -> None:
        core = to._driver.core
        odd = OddMessages(core, to._name, other._driver.core)
        term = core.term
        for record in odd.refused_by_any():
            with (
                self.subTest(record),
                self.assertRaises(PeerError) as caught,
            ):
                await to._on_core_message(record)
            self.assertIs(Code.MESSAGE_INVALID, caught.exception.code)
        if to.is_leader:
            for record in odd.refused_by_leader():
                with self.subTest(record), self.assertRaises(PeerError):
                    core.receive(record, to._clock())
                await to._on_core_message(record)
        await asyncio.sleep(SETTLE_S)
        self.assertFalse(to.has_stopped)
        self.assertEqual(term, core.term)
