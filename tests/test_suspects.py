"""Which requests count as crashing targets, and how long they wait."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wigeonford.messages.steering import SuspectKind, SuspectRecord
from wigeonford.suspects import (
    ABANDONED_S,
    Clearance,
    Crash,
    decode_records,
    encode_observations,
    MAX_SUSPECTS,
    Observation,
    pause_s,
    Quarantine,
    request_fingerprint,
    SuspectTable,
    Trial,
)

CONTACT_WINDOW_S = 4.0
MAX_LATE_CRASHES = 3
FORTY_MINUTES_S = 2400.0


def spread(tables: list[SuspectTable], now_s: float) -> None:
    """Exchange what all VMs have observed."""
    for table in tables:
        for other in tables:
            table.merge(other.records_since(0, now_s), now_s)


def crash(table: SuspectTable, name: str, print_: bytes, at_s: float) -> None:
    """Let a target crash under a VM's request."""
    table.begin(name, print_, at_s)
    table.record_crash(name, at_s, at_s)


class QuarantineTest(unittest.TestCase):
    """A request waits after two crashes, and others are not blamed."""

    def setUp(self) -> None:
        self.quarantine = Quarantine()

    def add_crash(self, name: str, at_s: float, *prints: bytes) -> None:
        """Count a crash against requests."""
        self.quarantine.add(Crash(name, at_s, frozenset(prints)), at_s)

    def wait_s(self, print_: bytes, now_s: float) -> float:
        """Return how long a request has to wait."""
        return self.quarantine.standing(print_, now_s).wait_s

    def test_poison_is_barred_and_bystanders_are_not(self) -> None:
        self.add_crash("t1", 0.0, b"poison", b"bystander")
        self.add_crash("t1", 0.1, b"poison", b"bystander")
        self.assertEqual(0.0, self.wait_s(b"poison", 0.2))
        cleared = Clearance(b"bystander", 0.5)
        self.assertTrue(self.quarantine.add(cleared, 0.5))
        self.add_crash("t2", 1.0, b"poison", b"bystander")
        self.assertGreater(self.wait_s(b"poison", 1.1), 0.0)
        self.assertEqual(0.0, self.wait_s(b"bystander", 1.1))
        self.assertEqual(0.0, self.wait_s(b"poison", 62.0))

    def test_pause_grows_with_each_crash(self) -> None:
        waits = []
        for number in range(6):
            at_s = number * 1000.0
            self.add_crash(f"t{number}", at_s, b"poison")
            waits.append(self.wait_s(b"poison", at_s))
        self.assertEqual([0.0] * 6, waits)
        for number in range(6, 10):
            self.add_crash(f"t{number}", 5000.0 + number, b"poison")
            waits.append(self.wait_s(b"poison", 5000.0 + number))
        self.assertEqual([2.0, 8.0, 32.0, 128.0], waits[6:])

    def test_explained_crashes_count_against_nobody_else(self) -> None:
        for number in range(4):
            prints = [b"poison", b"near"] if number else [b"poison"]
            self.add_crash(f"t{number}", float(number), *prints)
        self.assertGreater(self.wait_s(b"poison", 3.0), 0.0)
        self.assertEqual(0.0, self.wait_s(b"near", 3.0))
        self.add_crash("t7", 3.5, b"near")
        standing = self.quarantine.standing(b"near", 3.5)
        self.assertEqual((("t7", 3.5),), standing.crashes)

    def test_observations_in_any_order_lead_to_the_same_standing(self) -> None:
        seen: list[Observation] = [
            Crash("t1", 1.0, frozenset({b"a", b"b"})),
            Clearance(b"a", 1.5),
            Crash("t2", 2.0, frozenset({b"a", b"b"})),
        ]
        for order in ((0, 1, 2), (1, 2, 0), (2, 0, 1)):
            quarantine = Quarantine()
            for index in order:
                quarantine.add(seen[index], 2.0)
            standing = quarantine.standing(b"a", 2.0)
            self.assertEqual((("t2", 2.0),), standing.crashes)
            self.assertEqual(2, len(quarantine.standing(b"b", 2.0).crashes))

    def test_many_suspects_do_not_free_a_guilty_request(self) -> None:
        for number in range(4):
            self.add_crash(f"t{number}", 0.0, b"poison")
        for number in range(2 * MAX_SUSPECTS):
            self.add_crash(f"u{number}", 1.0, b"%d" % number)
        self.assertGreater(self.wait_s(b"poison", 2.0), 20.0)

    def test_trial_of_another_vm_is_waited_for(self) -> None:
        self.add_crash("t1", 0.0, b"print")
        self.quarantine.add(Trial(b"print", "vm", 1.5), 0.0)
        self.assertEqual(1.0, self.wait_s(b"print", 0.5))
        self.quarantine.add(Trial(b"print", "vm", 0.7), 0.7)
        self.assertEqual(0.0, self.wait_s(b"print", 0.7))


class FingerprintTest(unittest.TestCase):
    """Requests that differ have different fingerprints."""

    def test_body_and_caller_tell_requests_apart(self) -> None:
        fingerprints = {
            request_fingerprint(account, "POST", path, body)
            for account in ("farm", "cafe")
            for path in ("/a", "/ab")
            for body in (b"1", b"2", b"b1")
        }
        self.assertEqual(12, len(fingerprints))


class SuspectTableTest(unittest.TestCase):
    """Entry VMs count the same crashes, whoever saw them."""

    def setUp(self) -> None:
        self.tables = [SuspectTable(name) for name in "abc"]

    def test_crashes_seen_by_different_vms_add_up(self) -> None:
        for number, table in enumerate(self.tables):
            crash(table, f"t-{number}/1", b"print", 1.0)
        spread(self.tables, 1.0)
        for table in self.tables:
            self.assertEqual(8.0, table.standing(b"print", 1.0).wait_s)
            self.assertEqual(0.0, table.standing(b"print", 100.0).wait_s)

    def test_one_crash_seen_by_two_vms_counts_once(self) -> None:
        crash(self.tables[0], "t/1", b"print", 1.0)
        crash(self.tables[1], "t/1", b"print", 1.05)
        spread(self.tables, 1.1)
        standing = self.tables[2].standing(b"print", 1.1)
        self.assertEqual(1, len(standing.crashes))

    def test_crash_under_the_same_id_counts_again(self) -> None:
        for at_s in (1.0, 4.0, 7.0):
            crash(self.tables[0], "t/1", b"print", at_s)
            spread(self.tables, at_s)
        standing = self.tables[1].standing(b"print", 7.0)
        self.assertEqual(3, len(standing.crashes))

    def test_late_reports_do_not_revive_what_was_cleared(self) -> None:
        crash(self.tables[0], "t-1/1", b"print", 1.0)
        late = self.tables[0].records_since(0, 1.0)
        spread(self.tables, 1.1)
        flight = self.tables[1].begin("t-2/1", b"print", 1.2)
        self.tables[1].clear(flight, 1.5)
        spread(self.tables, 1.6)
        aged = [
            SuspectRecord(seen.kind, seen.name, seen.fingerprints, 900)
            for seen in late
        ]
        for table in self.tables:
            table.merge(aged, 1.9)
            self.assertEqual((), table.standing(b"print", 1.9).crashes)

    def test_ids_of_targets_may_hold_any_sign(self) -> None:
        for name in ("t/1+y/5", "t/1", "a+b/1", "a+7/1"):
            for at_s in (1.0, 4.0):
                crash(self.tables[0], name, name.encode(), at_s)
            standing = self.tables[0].standing(name.encode(), 4.0)
            self.assertEqual(2, len(standing.crashes), name)

    def test_clearance_does_not_excuse_later_crashes(self) -> None:
        crash(self.tables[0], "t-0/1", b"print", 1.0)
        spread(self.tables, 1.1)
        self.tables[1].clear_request(b"print", 1.2)
        spread(self.tables, 1.3)
        for number, table in enumerate(self.tables, 1):
            crash(table, f"t-{number}/1", b"print", 2.0)
        spread(self.tables, 2.1)
        standing = self.tables[1].standing(b"print", 2.1)
        self.assertEqual(3, len(standing.crashes))

    def test_attempt_that_was_given_up_counts(self) -> None:
        flight = self.tables[0].begin("t/1", b"print", 1.0)
        self.tables[0].abandon(flight, 1.1)
        crash(self.tables[1], "t/1", b"other", 1.3)
        spread(self.tables, 1.4)
        standing = self.tables[2].standing(b"print", 1.4)
        self.assertEqual(1, len(standing.crashes))

    def test_attempt_that_was_given_up_long_ago_does_not_count(self) -> None:
        flight = self.tables[0].begin("t/1", b"print", 1.0)
        self.tables[0].abandon(flight, 1.1)
        self.tables[0].begin("t/1", b"other", 1.1 + ABANDONED_S)
        self.tables[0].record_crash("t/1", 1.0, 1.2 + ABANDONED_S)
        standing = self.tables[0].standing(b"print", 1.2 + ABANDONED_S)
        self.assertEqual((), standing.crashes)

    def test_attempts_that_never_end_are_dropped(self) -> None:
        table = self.tables[0]
        for number in range(100):
            flight = table.begin(f"t-{number}/1", b"print", 1.0)
            if number % 2:
                table.abandon(flight, 1.0)
        table.begin("t/1", b"print", 601.0)
        self.assertFalse(
            any(table.has_flights(f"t-{n}/1", 601.0) for n in range(100))
        )
        self.assertEqual(1, len(table._flights))

    def test_records_with_impossible_values_are_left_out(self) -> None:
        records = [
            SuspectRecord(SuspectKind.CRASH, "t", (b"p",), -1),
            SuspectRecord(SuspectKind.CRASH, "t", (), 0),
            SuspectRecord(SuspectKind.CRASH, "t" * 1000, (b"p",), 0),
            SuspectRecord(SuspectKind.CRASH, "t", (b"p" * 100,), 0),
            SuspectRecord(SuspectKind.CLEARANCE, "", (b"",), 0),
            SuspectRecord(SuspectKind.TRIAL, "vm", (b"p",), 0, -5),
        ]
        self.assertEqual([], list(decode_records(records, 0.0)))
        endless = SuspectRecord(SuspectKind.TRIAL, "vm", (b"p",), 0, 10**9)
        (trial,) = decode_records([endless], 0.0)
        assert isinstance(trial, Trial), "a trial was encoded"
        self.assertLess(trial.until_s, 2.0)

    def test_crash_that_many_vms_saw_reaches_all(self) -> None:
        prints = frozenset(b"%d" % number for number in range(150))
        quarantine = Quarantine()
        for seen in decode_records(
            encode_observations([Crash("t/1", 1.0, prints)], 1.0), 1.0
        ):
            quarantine.add(seen, 1.0)
        for print_ in prints:
            self.assertEqual(1, len(quarantine.standing(print_, 1.0).crashes))

    def test_observations_survive_the_wire(self) -> None:
        seen: list[Observation] = [
            Crash("t/1", 1.0, frozenset({b"a", b"b"})),
            Clearance(b"a", 2.0),
            Trial(b"b", "vm", 4.0),
        ]
        records = encode_observations(seen, 3.0)
        self.assertEqual(seen, list(decode_records(records, 3.0)))


class FleetBoundTest(unittest.TestCase):
    """The bound on late crashes holds for any order of events."""

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        gaps_s=st.lists(st.floats(0.05, 30.0), min_size=20, max_size=200),
        delays_s=st.lists(st.floats(0.01, 0.9), min_size=1, max_size=20),
        spread_s=st.floats(0.02, 0.2),
        vms=st.lists(st.integers(0, 5), min_size=1, max_size=30),
        abandons=st.lists(st.booleans(), min_size=1, max_size=10),
        returns=st.booleans(),
    )
    def test_few_targets_crash_late(
        self,
        gaps_s: list[float],
        delays_s: list[float],
        spread_s: float,
        vms: list[int],
        abandons: list[bool],
        returns: bool,
    ) -> None:
        tables = [SuspectTable(str(number)) for number in range(6)]
        events: list[tuple[float, int, str, int]] = []
        now_s = 0.0
        crashes_s: list[float] = []
        sent_s: list[float] = []
        for number, gap_s in enumerate(gaps_s):
            now_s += gap_s
            while events and events[0][0] <= now_s:
                at_s, vm, incarnation, told = events.pop(0)
                if told:
                    spread(tables, at_s)
                    continue
                crashes_s.append(at_s)
                tables[vm].record_crash(incarnation, at_s, at_s)
                events.append((at_s + spread_s, 0, "", 1))
                events.sort()
            if now_s > FORTY_MINUTES_S:
                break
            vm = vms[number % len(vms)]
            if tables[vm].standing(b"print", now_s).wait_s > 0:
                continue
            sent_s.append(now_s)
            incarnation = "t/1" if returns else f"t-{number}/1"
            flight = tables[vm].begin(incarnation, b"print", now_s)
            if abandons[number % len(abandons)]:
                tables[vm].abandon(flight, now_s)
            events.append((now_s + spread_s, 0, "", 1))
            delay_s = delays_s[number % len(delays_s)]
            events.append((now_s + delay_s, vm, incarnation, 0))
            events.sort()
        if len(crashes_s) < 3:
            return
        limit_s = crashes_s[2] + CONTACT_WINDOW_S
        self.assertLessEqual(
            self.count_bursts([at_s for at_s in sent_s if at_s > limit_s]),
            MAX_LATE_CRASHES + self.count_allowed(now_s - limit_s),
        )

    def count_bursts(self, times_s: list[float]) -> int:
        """Return how many trials there were, those at once as one."""
        count = 0
        last_s = float("-inf")
        for at_s in times_s:
            if at_s - last_s > 1.0:
                count += 1
            last_s = at_s
        return count

    def count_allowed(self, seconds: float) -> int:
        """Return how many pauses end within a time after the third crash."""
        count = 0
        total_s = 0.0
        while total_s <= seconds:
            total_s += pause_s(3 + count)
            count += 1
        return count
