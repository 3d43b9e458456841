"""The routing bench: its breach counts, its load and a short run."""

import asyncio
from collections import Counter
import dataclasses
import random
import unittest

from wigeonford.bench import load_deployment
from wigeonford.bench._routing_bench import RoutingPlan, run_fault
from wigeonford.bench._routing_faults import FAULTS
from wigeonford.bench._routing_invariants import (
    count_breaches,
    RunObservations,
)
from wigeonford.bench._routing_load import generate_arrivals, LoadShape
from wigeonford.bench._routing_records import CallerRecords, CallRecord
from wigeonford.bench._target_run_records import RunRecord, TargetRunRecords
from wigeonford.settings import Address

ENTRY = Address("127.0.0.1", 1)
RUN = RunRecord(
    "teaching-rooms/1/0",
    None,
    "teaching-rooms",
    "catalogue",
    "amman",
    "old",
    "t",
    1.0,
)
CALL = CallRecord("teaching-rooms/1/0", ENTRY, 1.0, 2.0)


def _make_observations(
    runs: list[RunRecord], calls: list[CallRecord], **fields: object
) -> RunObservations:
    target_records = TargetRunRecords(
        run_records=runs, draining_since_s={"gone": 1.0}
    )
    for run in runs:
        if run.operation_key is not None:
            target_records.runs_by_operation[run.operation_key] += 1
    observations = RunObservations(
        load_deployment("guild").objects,
        CallerRecords(
            calls=calls, withdrawn={"withdrawn/1/0"}, key_withdrawn_at_s=0.0
        ),
        target_records,
        frozenset({ENTRY}),
        0,
        Counter(),
    )
    return dataclasses.replace(
        observations,
        **fields,  # type: ignore[arg-type]
    )


class PromisesTest(unittest.TestCase):
    """Count the breaches of each kind in records that contain them."""

    def nonzero_breaches(
        self,
        runs: list[RunRecord],
        calls: list[CallRecord],
        **fields: object,
    ) -> dict[str, int]:
        counts = count_breaches(_make_observations(runs, calls, **fields))
        return {name: count for name, count in counts.items() if count}

    def test_each_breach_is_counted(self) -> None:
        new_side_run = dataclasses.replace(RUN, side="new")
        keyed_run = dataclasses.replace(RUN, operation_key="op")
        late_run = dataclasses.replace(RUN, target="gone", started_s=4.1)
        withdrawn_key_run = dataclasses.replace(
            RUN, request_id="teaching-rooms/2/0", started_s=6.1
        )
        not_run_calls = [
            dataclasses.replace(CALL, status=503, run_state="not-run")
        ]
        wrong_body_calls = [
            dataclasses.replace(CALL, status=200, has_wrong_body=True)
        ]
        burst_runs = [
            dataclasses.replace(RUN, request_id=f"teaching-rooms/{n}/0")
            for n in range(41)
        ]
        cases: tuple[tuple[str, list[RunRecord], list[CallRecord]], ...] = (
            ("SHIFT_UNDER_CAP", [RUN, new_side_run], []),
            ("AT_MOST_ONCE", [keyed_run, keyed_run], []),
            ("LEAVING_TARGET_UNUSED", [late_run], []),
            ("NOT_RUN_IS_TRUE", [RUN], not_run_calls),
            ("WHOLE_ANSWER", [], wrong_body_calls),
            ("STOP_CUTS_NOTHING", [], [CALL]),
            ("RATE_NOT_EXCEEDED", burst_runs, []),
        )
        for name, runs, calls in cases:
            with self.subTest(name):
                self.assertEqual(self.nonzero_breaches(runs, calls), {name: 1})
        withdrawn = CallerRecords(
            withdrawn={withdrawn_key_run.request_id}, key_withdrawn_at_s=0.0
        )
        self.assertEqual(
            self.nonzero_breaches(
                [withdrawn_key_run], [], caller_records=withdrawn
            ),
            {"WITHDRAWN_KEY_STOPS": 1},
        )

    def test_a_run_within_its_bounds_is_no_breach(self) -> None:
        old_side_runs = [
            dataclasses.replace(
                RUN, request_id=f"teaching-rooms/{n}/0", started_s=0.5
            )
            for n in range(9)
        ]
        new_side_run = dataclasses.replace(RUN, side="new")
        self.assertEqual(
            self.nonzero_breaches([*old_side_runs, new_side_run], []), {}
        )


class ScheduleTest(unittest.TestCase):
    """Generate the arrivals of a load."""

    def test_a_seed_gives_one_schedule_at_its_rate(self) -> None:
        objects = load_deployment("authority").objects

        def generate() -> list[object]:
            rng = random.Random(3)
            return list(
                generate_arrivals(objects, LoadShape(5.0), 40.0, 10.0, rng)
            )

        self.assertEqual(generate(), generate())
        self.assertAlmostEqual(len(generate()), 1400, delta=150)


class RoutingBenchTest(unittest.TestCase):
    """Run the bench briefly."""

    def test_a_run_without_a_fault_keeps_every_promise(self) -> None:
        plan = RoutingPlan("guild", "none", 5, 1.5, 10.0, baseline=False)
        report = asyncio.run(run_fault(plan))
        self.assertTrue(report.passed, report.data)

    def test_every_named_fault_is_registered(self) -> None:
        names = (
            "none target-crash poison silent region-loss drain "
            "rolling-restart lagging-health shift late-answers overload"
        )
        self.assertEqual(set(FAULTS), set(names.split()))
