"""Apply each fault to a copy of the source tree; print the failing checks."""

import argparse
from collections.abc import Iterator
from dataclasses import dataclass
import os
from pathlib import Path
import re
import shutil
import subprocess
import sys
import tempfile
from typing import Final

ROOT: Final = Path(__file__).parent.parent
COPIED_PATHS: Final = ("src", "tests", "tools", "docs", "pyproject.toml")
TIMEOUT_S: Final = 240
_FAILED_CHECK: Final = re.compile(r"^(?:FAIL|ERROR): (\S+)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Mutation:
    """Describe a fault that breaks a promise and the tests to run on it."""

    promise: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]


MUTATIONS: Final = (
    Mutation(
        "SHIFT_UNDER_CAP",
        "policy/_shift.py",
        "        self._credit -= UNIT\n",
        "        self._credit -= UNIT // 2\n",
        ("tests.test_policy_attempts", "tests.test_dispatch"),
    ),
    Mutation(
        "REGION_NOT_OVERLOADED",
        "leases/_leases.py",
        "            max(held, amount),\n",
        "            amount,\n",
        ("tests.test_leases", "tests.test_slots"),
    ),
    Mutation(
        "KEY_MATCHES_ACCOUNT",
        "entry/_hygiene.py",
        "        kept.append((ACCOUNT_HEADER, account.encode()))\n",
        '        kept.append((ACCOUNT_HEADER, b"another"))\n',
        ("tests.test_demo", "tests.test_hygiene"),
    ),
    Mutation(
        "NO_KEY_TO_TARGET",
        "entry/_hygiene.py",
        '        elif holds_key(value.decode("latin-1")):\n',
        "        elif False:\n",
        ("tests.test_hygiene", "tests.test_demo"),
    ),
    Mutation(
        "WITHDRAWN_KEY_STOPS",
        "control/_state.py",
        "withdrawn_key = replace(stored[1], withdrawn=True)",
        "withdrawn_key = replace(stored[1], withdrawn=False)",
        ("tests.test_demo",),
    ),
    Mutation(
        "RATE_NOT_EXCEEDED",
        "policy/_quota_bucket.py",
        "        self._tokens = max(0.0, self._tokens - 1.0)\n",
        "        self._tokens = max(0.0, self._tokens - 0.5)\n",
        ("tests.test_limits",),
    ),
    Mutation(
        "WHOLE_ANSWER",
        "http/_client.py",
        'response is truncated"\n                    )\n'
        "        except (OSError, h11.ProtocolError) as exc:\n"
        "            raise ExchangeFailed(",
        'response is truncated"\n                    )\n'
        "        except (OSError, h11.ProtocolError) as exc:\n"
        "            return\n            raise ExchangeFailed(",
        ("tests.test_dispatch", "tests.test_demo"),
    ),
    Mutation(
        "NOT_RUN_IS_TRUE",
        "entry/_attempt.py",
        "AttemptState.SENT, Code.ANSWER_BROKEN, str(exc)",
        "AttemptState.NOT_SENT, Code.ANSWER_BROKEN, str(exc)",
        ("tests.test_dispatch",),
    ),
    Mutation(
        "AT_MOST_ONCE",
        "claims/_proposer.py",
        "    return replica_count // 2 + 1\n",
        "    return replica_count // 2\n",
        ("tests.test_claim_registers",),
    ),
    Mutation(
        "LEAVING_TARGET_UNUSED",
        "entry/_registry.py",
        "message.sequence <= held.sequence",
        "False",
        ("tests.test_registry",),
    ),
    Mutation(
        "STOP_CUTS_NOTHING",
        "http/_server.py",
        "        loop = asyncio.get_running_loop()\n"
        "        deadline_s = loop.time() + timeout_s\n"
        "        await self._close_listener()\n",
        "        loop = asyncio.get_running_loop()\n"
        "        deadline_s = loop.time()\n"
        "        await self._close_listener()\n",
        ("tests.test_drain",),
    ),
    Mutation(
        "CONFIG_NEVER_REVERTS",
        "config_table.py",
        "        if table.digest != update.digest:\n",
        "        if False:\n",
        ("tests.test_state", "tests.test_config_follower"),
    ),
    Mutation(
        "LIMIT_OVER_ALL_VMS",
        "steer/_target_limits.py",
        "                rate_per_s = near_per_s / near_count\n",
        "                rate_per_s = near_per_s\n",
        ("tests.test_target_limits",),
    ),
    Mutation(
        "LIMIT_KEPT_BY_EACH_VM",
        "steer/_target_limits.py",
        "< near_count + _further_senders(age_s):\n",
        "< len(near):\n",
        ("tests.test_target_limits",),
    ),
    Mutation(
        "LATE_RESPONSE_LIFTS_NO_LIMIT",
        "steer/_target_limits.py",
        "if state is not None and is_raised and sent_at_s",
        "if False and state is not None and is_raised and sent_at_s",
        ("tests.test_target_limits",),
    ),
    Mutation(
        "LIMIT_KNOWN_TO_ALL_VMS",
        "control/_relay_service.py",
        "            if revision > sent_revision:\n",
        "            if False:\n",
        ("tests.test_target_limits",),
    ),
    Mutation(
        "CRASH_AFTER_THE_CALLER_LEFT_COUNTS",
        "steer/_crash_watch.py",
        "        self._suspects.abandon(flight, self._clock())\n",
        "        self._suspects.end(flight, self._clock())\n",
        ("tests.test_crashing_requests",),
    ),
    Mutation(
        "SECOND_CRASH_UNDER_AN_ID_COUNTS",
        "suspects.py",
        "        if opened_at_s <= self._crashes[latest].at_s:\n",
        "        if True:\n",
        ("tests.test_suspects",),
    ),
    Mutation(
        "CLEARED_REQUEST_STAYS_CLEARED",
        "suspects.py",
        "            if self._cleared_at_s(fingerprint) < crash.at_s\n",
        "            if crash.at_s >= 0\n",
        ("tests.test_suspects",),
    ),
    Mutation(
        "CRASHES_ARE_EXPLAINED_ONCE",
        "suspects.py",
        "                crashes -= explained\n",
        "                crashes |= set()\n",
        ("tests.test_suspects",),
    ),
    Mutation(
        "RESTARTED_REPLICA_IS_TOLD_ALL",
        "suspects.py",
        "        if not sequence:\n",
        "        if False:\n",
        ("tests.test_watch_bytes",),
    ),
    Mutation(
        "REQUEST_IN_TIME_IS_READ",
        "http/_reader.py",
        "                self._remaining_bytes = reader.unread_bytes\n",
        "                self._remaining_bytes = 0\n",
        ("tests.test_caller_ends",),
    ),
    Mutation(
        "STOP_TAKES_WHAT_IT_FINISHES",
        "steer/_shutdown.py",
        "        return now_s <= self.send_by_s(expected_s, deadline_s)\n",
        "        return True\n",
        ("tests.test_planned_stop",),
    ),
    Mutation(
        "STOP_TAKES_LATE_ONLY_WHAT_ENDS",
        "steer/_shutdown.py",
        "        return min(send_by_s, self.is_late_from_s)\n",
        "        return send_by_s\n",
        ("tests.test_planned_stop",),
    ),
    Mutation(
        "STOP_SEES_SLOWER_WORK",
        "steer/_shutdown.py",
        "    if stats.running_s(now_s) > slowest_s:\n",
        "    if False:\n",
        ("tests.test_planned_stop",),
    ),
    Mutation(
        "STOP_LISTENS_TO_ITS_END",
        "steer/_daemon.py",
        "        await asyncio.sleep(_until(plan.unlisted_at_s))\n",
        "",
        ("tests.test_planned_stop",),
    ),
    Mutation(
        "QUEUED_CONNECTION_IS_SERVED",
        "http/_server.py",
        "            for conn in self._accept_queued(sock)\n",
        "            for conn in ()\n",
        ("tests.test_caller_ends",),
    ),
    Mutation(
        "CUT_REQUEST_IS_ANSWERED",
        "http/_server.py",
        "                await self._end_response(conn, conn.answer_cut())\n",
        "",
        ("tests.test_caller_ends",),
    ),
    Mutation(
        "REFUSAL_IS_PROVEN",
        "http/_client.py",
        "if owner is ResponseOwner.UNSTATED and not is_first:",
        "if False:",
        ("tests.test_response_proof",),
    ),
    Mutation(
        "RAISED_LIMIT_APPLIES",
        "http/_server.py",
        "            conn.apply_limits(limits)\n",
        "            pass\n",
        ("tests.test_caller_ends",),
    ),
    Mutation(
        "CHANGE_ENDS_NO_REQUEST",
        "steer/_daemon.py",
        "limits.idle_timeout_s + CHANGE_LAG_S",
        "limits.idle_timeout_s",
        ("tests.test_change_load",),
    ),
    Mutation(
        "EARLY_RESPONSE_ARRIVES",
        "http/_connection.py",
        "                await self._discard_body()\n",
        "",
        ("tests.test_early_responses",),
    ),
    Mutation(
        "LONG_UPLOAD_GETS_ITS_RESPONSE",
        "http/_connection.py",
        "        async with self._reading:\n",
        "        if self._reading:\n",
        ("tests.test_early_streams",),
    ),
    Mutation(
        "STOP_FINISHES_WHAT_COMES_LATE",
        "steer/_daemon.py",
        "        await self._front.close(_until(plan.finish_by_s))\n",
        "",
        ("tests.test_planned_stop",),
    ),
    Mutation(
        "TARGET_MAY_READ_LATE",
        "http/_client.py",
        "            self._watch_acks()\n",
        "            pass\n",
        ("tests.test_ack_watch",),
    ),
    Mutation(
        "NOTHING_GOES_BEHIND_AN_UNSENT_BODY",
        "http/_client.py",
        " and not self._has_unsent_bytes():\n",
        ":\n",
        ("tests.test_unsent_bodies",),
    ),
    Mutation(
        "RESPONSE_WAITS_FOR_NO_BODY",
        "http/_connection.py",
        "            async with asyncio.timeout(LINGER_S):\n",
        "            async with asyncio.timeout(None):\n",
        ("tests.test_early_responses",),
    ),
    Mutation(
        "ANSWERED_CALLERS_HOLD_NO_PLACE",
        "http/_server.py",
        "        if conn.has_place:\n",
        "        if False:\n",
        ("tests.test_early_responses",),
    ),
    Mutation(
        "TRICKLING_CALLERS_ARE_CLOSED",
        "http/_connection.py",
        "size_bytes < min_bytes:\n                return False\n",
        "size_bytes < min_bytes:\n                continue\n",
        ("tests.test_early_responses",),
    ),
    Mutation(
        "OTHER_SERVERS_STOP_IN_TIME",
        "steer/_daemon.py",
        "self._stop_servers(timeout_s)\n",
        "self._stop_servers(60.0)\n",
        ("tests.test_planned_stop",),
    ),
    Mutation(
        "ONE_ERROR_ENDS_NO_TASK",
        "_tasks.py",
        "        if task.cancelling():\n",
        "            raise\n        if task.cancelling():\n",
        ("tests.test_background_tasks",),
    ),
    Mutation(
        "ODD_TARGET_IS_LEFT_OUT",
        "deployment/_targets.py",
        "if known.revision > revision and name not in self._unusable_ids",
        "if known.revision > revision",
        ("tests.test_odd_entries",),
    ),
    Mutation(
        "ODD_TARGET_OF_A_PEER_IS_LEFT_OUT",
        "steer/_view.py",
        "            if faults:\n",
        "            if False:\n",
        ("tests.test_odd_entries",),
    ),
    Mutation(
        "ODD_LOG_ENTRY_IS_SKIPPED",
        "control/_state.py",
        "        except MemoryError:\n",
        "        except (MemoryError, CodecError):\n",
        ("tests.test_skipped_entries",),
    ),
    Mutation(
        "ODD_SEED_IS_LEFT_OUT",
        "platform/_settings.py",
        "            if is_address(seed)\n",
        "",
        ("tests.test_odd_peers",),
    ),
    Mutation(
        "PART_OF_A_FRAME_IS_CUT_OFF",
        "control/_log_file.py",
        "        os.ftruncate(file, size)\n",
        "        pass\n",
        ("tests.test_full_disk",),
    ),
    Mutation(
        "FAILED_SYNC_IS_NOT_TRUSTED",
        "control/_log_file.py",
        "            self._must_copy = True\n",
        "            pass\n",
        ("tests.test_control_store",),
    ),
    Mutation(
        "WHAT_IS_READ_IS_SYNCED",
        "control/_log_file.py",
        "        self._must_sync = True\n        self.dropped_bytes = 0\n",
        "        self._must_sync = False\n        self.dropped_bytes = 0\n",
        ("tests.test_lost_pages",),
    ),
    Mutation(
        "CORE_HOLDS_WHAT_IS_STORED",
        "control/_raft_driver.py",
        "        self._restart_core(stored)\n        outage",
        "        outage",
        ("tests.test_full_disk",),
    ),
    Mutation(
        "NOTHING_UNSTORED_IS_ACKNOWLEDGED",
        "control/_raft_outage.py",
        "previous_position=previous, entries=())",
        "previous_position=previous)",
        ("tests.test_full_disk",),
    ),
    Mutation(
        "FULL_LEADER_HANDS_OVER",
        "control/_raft_driver.py",
        "            self._send_to(name, message)\n        while",
        "            continue\n        while",
        ("tests.test_full_disk",),
    ),
    Mutation(
        "STALLED_LEADER_HANDS_OVER",
        "control/_raft_driver.py",
        "            self._send_to(name, message)\n        assert",
        "            continue\n        assert",
        ("tests.test_stalled_disk",),
    ),
    Mutation(
        "STALLED_LEADER_STEPS_DOWN",
        "control/_raft_driver.py",
        "            and record.term == self._handed_over_term\n",
        "            and False\n",
        ("tests.test_stalled_disk",),
    ),
    Mutation(
        "ONLY_A_COMMIT_OVERTAKES",
        "control/_raft_outage.py",
        "term == record.term and position <= record.commit_position",
        "term == record.term",
        ("tests.test_stalled_disk",),
    ),
    Mutation(
        "WHAT_IS_READ_IS_COPIED",
        "control/_log_file.py",
        "self._end_offset\n        self._must_copy = True\n",
        "self._end_offset\n        self._must_copy = False\n",
        ("tests.test_lost_pages",),
    ),
    Mutation(
        "WHAT_IS_NOT_COPIED_IS_NOT_ACKNOWLEDGED",
        "control/_raft_driver.py",
        "if self._outage.may_reply or not isinstance(effect, Send):",
        "if True:",
        ("tests.test_full_disk",),
    ),
    Mutation(
        "LOST_FOLDER_HAS_NO_VOTE",
        "control/_raft_members.py",
        "replace(entry, incarnation=incarnation, voter=False)",
        "replace(entry, incarnation=incarnation)",
        ("tests.test_lost_folder",),
    ),
    Mutation(
        "WHAT_OTHERS_STORE_IS_NOT_REPEATED",
        "control/_raft_pending.py",
        "if at > position and entry_term == term",
        "if at > position",
        ("tests.test_full_disk",),
    ),
    Mutation(
        "ODD_RAFT_REPLY_IS_REFUSED",
        "control/_raft_checks.py",
        "    if reply.position > last_position:\n",
        "    if reply.position > MAX_RAFT_COUNT:\n",
        ("tests.test_odd_raft",),
    ),
    Mutation(
        "FUTURE_START_TIME_IS_REFUSED",
        "control/_target_service.py",
        "        if ahead_s > MAX_CLOCK_LEAD_S:\n",
        "        if ahead_s > 1e30:\n",
        ("tests.test_start_times",),
    ),
    Mutation(
        "FULL_DISK_ENDS_NO_PROCESS",
        "control/_group_service.py",
        "            if self._replica.has_stopped:\n",
        "            if self._replica.failure is not None:\n",
        ("tests.test_group_service", "tests.test_full_disk"),
    ),
    Mutation(
        "SUSPENDED_VM_KEEPS_NO_LEASE",
        "steer/_admission.py",
        "        now_s = self._lease_clock()\n",
        "        now_s = self._clock()\n",
        ("tests.test_suspension",),
    ),
    Mutation(
        "LOG_STAYS_SMALL",
        "control/_raft_driver.py",
        "            and size < self._next_snapshot_bytes\n",
        "            and size >= 0\n",
        ("tests.test_log_size",),
    ),
    Mutation(
        "FEW_BYTES_IN_FLIGHT",
        "control/_raft_progress.py",
        "log.bytes_between(acked, sent) < MAX_IN_FLIGHT_BYTES",
        "sent < log.last_position",
        ("tests.test_log_size",),
    ),
    Mutation(
        "LATE_ORDER_UNDOES_NOTHING",
        "control/_steering.py",
        "        if expected not in (None, self.evacuation_revision):\n",
        "        if expected == -1:\n",
        ("tests.test_late_orders",),
    ),
    Mutation(
        "CALLER_OF_AN_ORDER_WAITS",
        "http/_reader.py",
        "    if has_left():\n",
        "    if has_left() is None:\n",
        ("tests.test_late_orders",),
    ),
    Mutation(
        "SILENT_TARGET_RETURNS",
        "control/_target_service.py",
        "RemoveTargets(silent, may_return=True)",
        "RemoveTargets(silent)",
        ("tests.test_silent_targets",),
    ),
    Mutation(
        "TINY_CHUNKS_ARE_PACED",
        "http/_reader.py",
        "        await asyncio.sleep(max(0.0, at_s - now_s))\n",
        "        await asyncio.sleep(0)\n",
        ("tests.test_endless_bytes",),
    ),
    Mutation(
        "ONE_VM_TRIES_A_SUSPECT",
        "steer/_crash_watch.py",
        "self._suspects.holds_claim(fingerprint, self._clock())",
        "True",
        ("tests.test_crashing_requests",),
    ),
)


def run_mutation(mutation: Mutation) -> str:
    """Return which checks fail on a fault, "survived" or "not applied"."""
    with tempfile.TemporaryDirectory() as folder:
        copy_root = Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy_root / name, symlinks=True)
            else:
                shutil.copy(source, copy_root / name)
        path = copy_root / "src" / "wigeonford" / mutation.path
        text = path.read_text()
        if text.count(mutation.old) < 1:
            return "not applied"
        path.write_text(text.replace(mutation.old, mutation.new, 1))
        return _run_tests(copy_root, mutation.tests)


def _run_tests(copy_root: Path, tests: tuple[str, ...]) -> str:
    environment = dict(
        os.environ, PYTHONPATH=f"{copy_root / 'src'}:{copy_root}"
    )
    try:
        completed = subprocess.run(
            [sys.executable, "-m", "nose2", *tests],
            cwd=copy_root,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return "caught: the tests do not end"
    failed_checks = sorted(
        set(_FAILED_CHECK.findall(completed.stderr + completed.stdout))
    )
    if completed.returncode == 0:
        return "survived"
    return f"caught by {', '.join(failed_checks) or 'the run'}"


def run_mutations(
    mutations: tuple[Mutation, ...],
) -> Iterator[tuple[str, str]]:
    """Yield each promise with the outcome of its mutation."""
    for mutation in mutations:
        yield mutation.promise, run_mutation(mutation)


def main() -> int:
    """Print the outcome of each mutation; return 1 unless all are caught."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "promise", nargs="*", help="promises to check (default: all)"
    )
    args = parser.parse_args()
    chosen = tuple(
        mutation
        for mutation in MUTATIONS
        if not args.promise or mutation.promise in args.promise
    )
    uncaught = 0
    for promise, outcome in run_mutations(chosen):
        uncaught += not outcome.startswith("caught")
        print(f"{promise}: {outcome}", flush=True)
    return int(uncaught > 0)


if __name__ == "__main__":
    sys.exit(main())
