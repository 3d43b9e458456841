"""The watch of attempts for crashes of their targets."""

import asyncio
from collections.abc import AsyncIterator
import io
from typing import cast
import unittest

from tests.limited_fleet import SteadyConnections, virtual_clock
from tests.test_deployment import make_announcement
from tests.virtual_time import run_virtual
from wigeonford.events import configure_logging, EventLog
from wigeonford.http import ResponseBroken
from wigeonford.metrics import Metrics
from wigeonford.steer import TargetConnections
from wigeonford.steer._attempt import AttemptResult, Outcome
from wigeonford.steer._crash_watch import CrashWatch
from wigeonford.steer._target_records import TargetRecord
from wigeonford.suspects import ABANDONED_S, SuspectTable


class EndingConnections(SteadyConnections):
    """Stand in for connections to a target that may have ended."""

    def __init__(self) -> None:
        self.accepts = True
        self.probe_count = 0

    async def accepts_connections(self, _record: TargetRecord) -> bool:
        """Return whether the target runs, after a round trip."""
        self.probe_count += 1
        await asyncio.sleep(0.05)
        return self.accepts


class CrashWatchTest(unittest.TestCase):
    """A target that refuses connections has crashed, others have not."""

    def setUp(self) -> None:
        self.record = TargetRecord(make_announcement(), "south", 0.0)
        self.connections = EndingConnections()
        self.suspects = SuspectTable("vm")
        self.is_closed = False
        self.witnesses: list[TargetRecord] = []

    def make_watch(self) -> CrashWatch:
        """Return a watch on the clock of the running loop."""
        return CrashWatch(
            self.suspects,
            cast(TargetConnections, self.connections),
            Metrics(),
            EventLog(),
            asyncio.get_running_loop().time,
            lambda _: self.witnesses,
        )

    def count_crashes(self, fingerprint: bytes) -> int:
        """Return how many crashes count against a request."""
        return len(self.suspects.standing(fingerprint, 1.0).crashes)

    async def stream(self, *, breaks: bool) -> AsyncIterator[bytes]:
        """Yield a body that may break off; note when it is closed."""
        try:
            yield b"part"
            if breaks:
                raise ResponseBroken("reset")
            yield b"rest"
        finally:
            self.is_closed = True

    def test_body_is_closed_as_its_caller_leaves(self) -> None:
        async def leave() -> None:
            watch = self.make_watch()
            flight = watch.begin(self.record, b"print")
            body = watch.watch_stream(
                flight, self.record, 200, self.stream(breaks=False)
            )
            self.assertEqual(b"part", await anext(body))
            await body.aclose()  # type: ignore[attr-defined]
            self.assertTrue(self.is_closed)
            await watch.close()

        run_virtual(leave())

    def test_break_of_a_streamed_body_counts_if_the_target_is_gone(
        self,
    ) -> None:
        async def break_off() -> None:
            watch = self.make_watch()
            flight = watch.begin(self.record, b"print")
            body = watch.watch_stream(
                flight, self.record, 200, self.stream(breaks=True)
            )
            with self.assertRaises(ResponseBroken):
                async for _ in body:
                    continue

        run_virtual(break_off())
        self.assertEqual(0, self.count_crashes(b"print"))
        self.connections.accepts = False
        run_virtual(break_off())
        self.assertEqual(1, self.count_crashes(b"print"))

    def test_attempts_that_break_together_share_a_probe(self) -> None:
        async def break_all() -> None:
            watch = self.make_watch()
            flights = [
                watch.begin(self.record, b"%d" % number) for number in range(5)
            ]
            result = AttemptResult(Outcome.BROKEN)
            await asyncio.gather(
                *(
                    watch.settle(flight, self.record, result)
                    for flight in flights
                )
            )

        self.connections.accepts = False
        run_virtual(break_all())
        self.assertEqual(1, self.connections.probe_count)
        for number in range(5):
            self.assertEqual(1, self.count_crashes(b"%d" % number))

    # Requests in flight at targets of a VM without links were quarantined.
    def test_target_that_fails_with_those_near_it_has_not_crashed(
        self,
    ) -> None:
        async def settle(outcome: Outcome) -> None:
            watch = self.make_watch()
            watch.begin(self.record, b"other")
            flight = watch.begin(self.record, b"print")
            await watch.settle(flight, self.record, AttemptResult(outcome))

        near = make_announcement(target_id="near")
        self.witnesses = [TargetRecord(near, "south", 0.0)]
        self.connections.accepts = False
        for outcome in (Outcome.BROKEN, Outcome.NOT_SENT):
            run_virtual(settle(outcome))
            self.assertEqual(0, self.count_crashes(b"print"))
            self.assertEqual(0, self.count_crashes(b"other"))

    def test_target_that_ends_each_connection_is_not_flooded(self) -> None:
        async def give_up() -> None:
            watch = self.make_watch()
            flight = watch.begin(self.record, b"print")
            watch.abandon(flight, self.record)
            await asyncio.sleep(2 * ABANDONED_S)

        async def wait_for_end(*_args: object) -> bool:
            return True

        self.connections.wait_for_end = wait_for_end  # type: ignore
        run_virtual(give_up())
        self.assertLess(self.connections.probe_count, 6)
        self.assertEqual(0, self.count_crashes(b"print"))

    def test_error_of_a_watch_is_logged(self) -> None:
        async def fail() -> None:
            with virtual_clock():
                watch = self.make_watch()
                flight = watch.begin(self.record, b"print")
                watch.abandon(flight, self.record)
                await asyncio.sleep(0.1)

        async def wait_for_end(*_args: object) -> bool:
            raise AttributeError("no connections")

        self.connections.wait_for_end = wait_for_end  # type: ignore
        logs = io.StringIO()
        configure_logging(logs)
        run_virtual(fail())
        self.assertIn("no connections", logs.getvalue())
