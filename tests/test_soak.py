"""The soak: its drawn faults, its checks, and a short run of the daemons."""

import asyncio
import signal
import socket
import time
from typing import cast
import unittest

from tests.soak.__main__ import FAULTS_S, run_seed
from tests.soak._breaks import Break, Ending, Window
from tests.soak._direct_callers import exchange, ExchangeBroken
from tests.soak._observations import (
    Answer,
    BURST,
    LimitPeriod,
    Observations,
    Run,
    Shutdown,
)
from tests.soak._plan import CONTROL_FAULTS, CONTROL_POWER_LOSS, draw_faults
from tests.soak._processes import Program
from tests.soak._soak import Soak

REGRESSIONS: tuple[int, ...] = (
    # Two overlapping faults on one VM both restarted it, a bug of the soak.
    # The second process exited with a traceback: its address was in use.
    1796368554,
    # Stalled past the idle timeout, a VM closed kept connections on requests
    # that had arrived; others arrived together with the end of the timeout.
    1796416824,
    # Targets repeated a refusal without an id: unsafe requests ran twice.
    1796416845,
    # Stops took work that outlasted their grace period and cut it.
    1796416946,
    # The check of stops blamed one for responses that a silenced link had
    # taken before it began.
    1796419763,
    # Suspended over the end of its stop, a VM was killed; callers saw that
    # before the soak had recorded it.
    1796445865,
)
"""Seeds that failed once, each with the cause."""

CI_SEED = 4
CI_FAULTS_S = 5.0


class PlanTest(unittest.TestCase):
    """Check the faults that are drawn from a seed."""

    def test_a_seed_draws_the_same_faults(self) -> None:
        self.assertEqual(
            list(draw_faults(3, 30.0)), list(draw_faults(3, 30.0))
        )
        self.assertNotEqual(
            list(draw_faults(3, 30.0)), list(draw_faults(4, 30.0))
        )

    def test_one_control_replica_is_away_at_a_time(self) -> None:
        kinds = set()
        for seed in range(200):
            previous_end_s = 0.0
            for fault in draw_faults(seed, 30.0):
                kinds.add(fault.kind)
                if fault.kind in (*CONTROL_FAULTS, CONTROL_POWER_LOSS):
                    self.assertGreaterEqual(fault.at_s, previous_end_s)
                    previous_end_s = fault.at_s + fault.length_s
        self.assertIn(CONTROL_POWER_LOSS, kinds)
        self.assertGreater(len(kinds), 20)


class LedgerTest(unittest.TestCase):
    """Check that each violated guarantee is found."""

    def setUp(self) -> None:
        self.observations = Observations()

    def test_a_calm_day_has_no_findings(self) -> None:
        self.observations.record_run("a", "i-1", "big")
        self.observations.record_response("a", 200, b"a", "a")
        self.observations.record_response("b", 503, b"", None)
        self.assertEqual([], self.observations.find_violations())

    def test_answer_of_another_request(self) -> None:
        self.observations.record_response("a", 200, b"b", "b")
        self.assertEqual(1, len(self.observations.find_violations()))

    def test_unsafe_request_that_ran_twice(self) -> None:
        self.observations.unsafe.add("a")
        for target in ("i-1", "i-2"):
            self.observations.record_run("a", target, "big")
            self.observations.record_run("b", target, "big")
        self.assertEqual(
            ["a ran 2 times"], self.observations.find_violations()
        )

    def test_promise_not_to_have_run(self) -> None:
        self.observations.record_run("a", "i-1", "big")
        self.observations.record_response("a", 503, b"", None)
        self.assertEqual(
            ["a got 503 and ran"], self.observations.find_violations()
        )

    def test_target_that_left(self) -> None:
        self.observations.drain_began_s["i-1"] = 10.0
        for at_s in (12.0, 13.0):
            self.observations.runs.append(
                Run(f"at {at_s}", "i-1", "big", at_s)
            )
        self.observations.sent_to["at 13.0"] = 1
        for entry, ended_s in ((0, 12.9), (1, 8.9)):
            self.observations.stalls.append(Window(entry, 7.0, ended_s))
        (finding,) = self.observations.find_violations()
        self.assertIn("at 13.0", finding)
        self.observations.stalls.append(Window(1, 12.0, 12.9))
        self.assertEqual([], self.observations.find_violations())

    def test_rate_of_an_account(self) -> None:
        for number in range(int(BURST) + 60):
            at_s = number * 0.01
            self.observations.runs.append(
                Run(str(number), "i-1", "small", at_s)
            )
        self.assertEqual(1, len(self.observations.find_violations()))

    def test_limit_of_a_target(self) -> None:
        limit = LimitPeriod("i-1", 1.0, 10.0, 30.0)
        self.observations.limits.append(limit)
        for number in range(12):
            at_s = 20.0 + number * 0.1
            self.observations.runs.append(Run(str(number), "i-1", "", at_s))
        self.assertEqual(1, len(self.observations.find_violations()))
        self.observations.interruptions.append((16.5, 17.0))
        self.assertEqual([], self.observations.find_violations())

    def test_request_cut_by_a_planned_stop(self) -> None:
        self.observations.runs.append(Run("a", "i-1", "big", 1.0))
        self.observations.broken.append(
            Break("a", 0, 1.0, 1.0, 1.5, Ending.READ)
        )
        self.observations.shutdowns.append(Shutdown(0, 1.0, 2.0, 0))
        self.assertIn(
            "a was cut by a planned stop", self.observations.find_violations()
        )
        self.observations.disturbances.append((-1, 1.9, 3.0))
        self.assertNotIn(
            "a was cut by a planned stop", self.observations.find_violations()
        )

    def test_response_lost_on_a_link_before_a_stop(self) -> None:
        self.observations.runs.append(Run("a", "i-1", "big", 1.0))
        self.observations.broken.append(
            Break("a", 0, 0.5, 1.0, 4.5, Ending.SILENT, is_proxied=True)
        )
        self.observations.shutdowns.append(Shutdown(0, 4.0, 6.0, 0))
        finding = "a was cut by a planned stop"
        self.observations.link_faults.append(Window(0, 4.1, 4.3))
        self.assertIn(finding, self.observations.find_violations())
        self.observations.link_faults.append(Window(0, 1.1, 1.9))
        self.assertNotIn(finding, self.observations.find_violations())

    def test_request_without_an_answer(self) -> None:
        for ending, ended_s, idle_s, is_explained in (
            (Ending.READ, 1.1, 9.0, False),
            (Ending.SILENT, 1.1, 9.0, False),
            (Ending.UNREAD, 2.0, 9.0, False),
            (Ending.UNREAD, 1.1, 9.0, True),
            (Ending.UNREAD, 1.1, 0.1, False),
            (Ending.CROSSED, 1.1, 9.0, True),
            (Ending.CROSSED, 1.1, 0.1, False),
        ):
            with self.subTest(ending=ending, ended_s=ended_s, idle_s=idle_s):
                self.observations.broken = [
                    Break("a", 0, 0.0, 1.0, ended_s, ending, idle_s)
                ]
                findings = self.observations.find_violations()
                self.assertEqual(is_explained, not findings, findings)

    def test_only_listed_faults_explain_a_break(self) -> None:
        brk = Break("a", 0, 0.0, 5.0, 6.0, Ending.CLOSED, 0.1, is_proxied=True)
        self.observations.broken.append(brk)
        for windows, window, is_explained in (
            (self.observations.kills, Window(1, 5.0, 6.0), False),
            (self.observations.kills, Window(0, 7.0, 8.0), False),
            (self.observations.kills, Window(0, 5.5, 8.0), True),
            (self.observations.link_faults, Window(0, 1.0, 2.0), True),
            (self.observations.absences, Window(0, 4.0, 9.0), True),
            (self.observations.target_faults, Window(0, 4.0, 9.0), False),
        ):
            windows.append(window)
            findings = self.observations.find_violations()
            self.assertEqual(is_explained, not findings, window)
            windows.clear()
        self.observations.record_run("a", "i-1-1", "big")
        self.observations.absences.append(Window(0, 4.0, 9.0))
        self.assertEqual(1, len(self.observations.find_violations()))

    def test_run_that_a_stop_broke_off_with_an_answer(self) -> None:
        self.observations.shutdowns.append(Shutdown(0, 10.0, 16.0, 0))
        self.observations.runs.append(Run("a", "i-1-1", "big", 13.5))
        for sent_s, finished_s, is_found in (
            (13.5, None, True),
            (12.5, None, False),
            (12.5, 15.5, False),
            (12.5, 14.5, True),
        ):
            self.observations.finished_s = (
                {} if finished_s is None else {"a": finished_s}
            )
            self.observations.answers["a"] = Answer(504, 0, sent_s, 15.9, 9.0)
            findings = self.observations.find_violations()
            self.assertEqual(is_found, bool(findings), (sent_s, finished_s))
        self.observations.target_faults.append(Window(1, 14.0, 15.0))
        self.assertEqual([], self.observations.find_violations())

    def test_timeout_of_a_request_that_was_sent_in_time(self) -> None:
        for sending_s, answered_s, is_found in (
            (0.3, 12.0, True),
            (0.9, 12.0, False),
            (0.3, 13.1, False),
        ):
            self.observations.answers["a"] = Answer(
                408, 0, 10.0, answered_s, 3.0, sending_s
            )
            findings = self.observations.find_violations()
            self.assertEqual(is_found, bool(findings), sending_s)

    def test_answer_that_was_ready_and_not_delivered(self) -> None:
        self.observations.runs.append(Run("a", "i-1-1", "big", 10.1))
        for status, finished_s, is_found in (
            (504, 10.2, True),
            (504, 11.4, False),
            (200, 10.2, False),
        ):
            self.observations.finished_s["a"] = finished_s
            self.observations.answers["a"] = Answer(status, 0, 10.0, 12.0, 1.5)
            findings = self.observations.find_violations()
            self.assertEqual(is_found, bool(findings), findings)
        self.observations.answers["a"] = Answer(504, 0, 10.0, 12.0, 9.0)
        self.observations.target_faults.append(Window(1, 10.5, 11.0))
        self.assertEqual([], self.observations.find_violations())


class DirectExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Check that a caller learns whether its request was read."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.caller = socket.create_connection(listener.getsockname())
            self.server, _ = listener.accept()
        for sock in (self.caller, self.server):
            sock.setblocking(False)
            self.addCleanup(sock.close)

    async def _find_ending(self) -> Ending:
        with self.assertRaises(ExchangeBroken) as raised:
            await exchange(self.caller, b"GET / HTTP/1.1\r\n\r\n", 5.0)
        return raised.exception.ending

    async def test_read_and_not_answered(self) -> None:
        ending = asyncio.create_task(self._find_ending())
        await self.loop.sock_recv(self.server, 100)
        self.server.close()
        self.assertIs(Ending.READ, await ending)

    async def test_closed_on_an_unread_request(self) -> None:
        ending = asyncio.create_task(self._find_ending())
        while not ending.done():
            await asyncio.sleep(0)
            try:
                self.server.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                continue
            self.server.close()
            break
        self.assertIs(Ending.UNREAD, await ending)

    async def test_sent_after_the_close(self) -> None:
        self.server.close()
        self.assertIs(Ending.CROSSED, await self._find_ending())

    async def test_response_that_breaks_off(self) -> None:
        ending = asyncio.create_task(self._find_ending())
        await self.loop.sock_recv(self.server, 100)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"
        await self.loop.sock_sendall(self.server, head + b"part")
        self.server.close()
        self.assertIs(Ending.TRUNCATED, await ending)


class KilledProgram:
    """Stand in for a process that is killed after its grace period."""

    killed_at_s = 0.0

    async def stop(self) -> int:
        """Kill the process; its end is noticed after a while."""
        self.killed_at_s = time.monotonic()
        await asyncio.sleep(0.05)
        return -signal.SIGKILL

    async def start(self) -> None:
        """Do nothing."""


class KilledStopTest(unittest.IsolatedAsyncioTestCase):
    """A process stands still over the end of its stop, and is killed."""

    async def test_what_callers_see_before_the_parent_is_explained(
        self,
    ) -> None:
        soak = Soak.__new__(Soak)
        soak.observations = Observations()
        program = KilledProgram()
        soak.entries = [cast(Program, program)]
        await soak.stop_entry(0, 0.0)
        (kill,) = soak.observations.kills
        seen_at_s = program.killed_at_s + 0.01
        self.assertTrue(kill.overlaps(0, seen_at_s - 2.0, seen_at_s))
        self.assertFalse(kill.overlaps(0, 0.0, program.killed_at_s - 0.01))


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Run a short seed, and each seed that failed once."""

    async def test_short_run_has_no_findings(self) -> None:
        findings, summary = await run_seed(CI_SEED, CI_FAULTS_S)
        self.assertEqual([], findings, summary)

    async def test_seeds_that_failed_before(self) -> None:
        for seed in REGRESSIONS:
            findings, summary = await run_seed(seed, FAULTS_S)
            self.assertEqual([], findings, summary)
