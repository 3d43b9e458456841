"""Trace single requests through log files."""

import argparse
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
import json
from pathlib import Path
from typing import Any, Final

from wigeonford.cli._commands import cli_command, Result
from wigeonford.daemon import EXIT_DONE, EXIT_FAILED
from wigeonford.events import Event

CONTEXT_S: Final = 5.0
"""How long before and after a request its VM's other events are shown; a
lease or the leadership is lost within this time."""
MAX_REQUEST_TIME_S: Final = 15.0
"""Longest timeout of a route in the users' deployments; a request without
a final event may be in flight for this long."""
_FINAL_EVENTS: Final = frozenset(
    event.value.number
    for event in (
        Event.REQUEST_ANSWERED,
        Event.REQUEST_FAILED,
        Event.REQUEST_REFUSED,
    )
)
_CONTEXT_EVENTS: Final = frozenset(
    event.value.number
    for event in (
        Event.STARTED,
        Event.STOPPING,
        Event.VIEW_TAKEN,
        Event.CONTROL_LOST,
        Event.CONTROL_REGAINED,
        Event.PARTS_LOST,
        Event.PARTS_REGAINED,
        Event.LINES_LEFT_OUT,
    )
)
_HIDDEN_FIELDS: Final = frozenset(
    {"event", "level", "number", "request", "role", "timestamp", "vm"}
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log event that was read from a file."""

    logged_at: str
    vm: str
    number: int
    text: str
    fields: dict[str, Any]


def read_lines(contents: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that are log events; skip all others."""
    for content in contents:
        start = content.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(content[start:])
        except ValueError:
            continue
        if "number" in fields and "timestamp" in fields:
            yield LogLine(
                fields["timestamp"],
                fields.get("vm", ""),
                fields["number"],
                fields.get("event", ""),
                fields,
            )


def select_request_lines(
    lines: Iterable[LogLine], request_id: str
) -> list[LogLine]:
    """Return the lines that concern one request, ordered by time.

    These are its own lines and, from shortly before until shortly after
    them, context events of its VMs and events of its targets.
    """
    ordered = sorted(lines, key=lambda line: line.logged_at)
    request_lines = [
        line for line in ordered if line.fields.get("request") == request_id
    ]
    if not request_lines:
        return []
    vms = {line.vm for line in request_lines}
    targets = {line.fields.get("target") for line in request_lines} - {None}
    return [
        line
        for line in ordered
        if line.fields.get("request") == request_id
        or (
            _is_near_request(line, request_lines)
            and (
                (line.vm in vms and line.number in _CONTEXT_EVENTS)
                or line.fields.get("target") in targets
                and "request" not in line.fields
            )
        )
    ]


def _is_near_request(line: LogLine, request_lines: list[LogLine]) -> bool:
    margin = timedelta(seconds=CONTEXT_S)
    logged_at = datetime.fromisoformat(line.logged_at)
    first_at = datetime.fromisoformat(request_lines[0].logged_at)
    last_at = datetime.fromisoformat(request_lines[-1].logged_at)
    return first_at - margin <= logged_at <= last_at + margin


def find_unexplained(lines: Iterable[LogLine]) -> Iterator[LogLine]:
    """Yield the last line of each request without a logged end.

    A request ends with a response, with a failure that has a reason, or
    with the VM's process. Requests that may still be in flight at the end
    of the logs are left out.
    """
    last_lines: dict[tuple[str, str], LogLine] = {}
    ended_keys: set[tuple[str, str]] = set()
    newest_at: datetime | None = None
    for line in sorted(lines, key=lambda line: line.logged_at):
        newest_at = datetime.fromisoformat(line.logged_at)
        if line.number == Event.STARTED.value.number:
            ended_keys |= {key for key in last_lines if key[0] == line.vm}
        request_id = line.fields.get("request")
        if request_id is None:
            continue
        key = (line.vm, request_id)
        last_lines[key] = line
        reason = line.fields.get("reason") or line.fields.get("status")
        if line.number in _FINAL_EVENTS and reason:
            ended_keys.add(key)
    for key, line in last_lines.items():
        if key not in ended_keys and newest_at is not None:
            age = newest_at - datetime.fromisoformat(line.logged_at)
            if age > timedelta(seconds=MAX_REQUEST_TIME_S):
                yield line


def describe(line: LogLine) -> str:
    """Return a line as text for people."""
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and value not in (None, "", [])
    )
    return f"{line.logged_at} {line.vm} {line.number} {line.text}: {details}"


def _read_files(paths: Iterable[Path]) -> Iterator[str]:
    for path in paths:
        with path.open(errors="replace") as file:
            yield from file


def _story_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("id", help="the request's id")
    parser.add_argument(
        "files", nargs="+", type=Path, help="logs of entry VMs and control"
    )


@cli_command(
    "story", "show from logs what happened to a request", _story_arguments
)
async def story(args: argparse.Namespace) -> Result:
    """Print the events that concern a request in order of time."""
    found = select_request_lines(read_lines(_read_files(args.files)), args.id)
    if not found:
        return Result(
            [], (f"no log line has the request id {args.id}",), EXIT_FAILED
        )
    return Result(
        [line.fields for line in found],
        tuple(describe(line) for line in found),
    )


def _files_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "files", nargs="+", type=Path, help="logs of entry VMs"
    )


@cli_command(
    "unexplained", "count requests without a logged end", _files_argument
)
async def unexplained(args: argparse.Namespace) -> Result:
    """Print the last line of each request without a logged end."""
    found = list(find_unexplained(read_lines(_read_files(args.files))))
    return Result(
        [line.fields for line in found],
        (f"{len(found)} unexplained", *map(describe, found)),
        EXIT_FAILED if found else EXIT_DONE,
    )
