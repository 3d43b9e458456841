"""Tell the story of one request from log files."""

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
"""How long before and after the request a VM's own events are of use; a
lease or a lead is lost within that."""
UNDER_WAY_S: Final = 15.0
"""The longest time limit of a route in the users' deployments."""
_ENDS: Final = frozenset(
    event.value.number
    for event in (Event.REQUEST_ANSWERED, Event.REQUEST_FAILED)
)
_CONTEXT: Final = frozenset(
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
_HIDDEN: Final = frozenset(
    {"event", "level", "number", "request", "role", "timestamp", "vm"}
)


@dataclass(frozen=True, slots=True)
class Line:
    """Hold one line of a log."""

    at: str
    vm: str
    number: int
    text: str
    fields: dict[str, Any]


def read_lines(contents: Iterable[str]) -> Iterator[Line]:
    """Yield the lines that are events; others are passed over."""
    for content in contents:
        start = content.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(content[start:])
        except ValueError:
            continue
        if "number" in fields and "timestamp" in fields:
            yield Line(
                fields["timestamp"],
                fields.get("vm", ""),
                fields["number"],
                fields.get("event", ""),
                fields,
            )


def tell(lines: Iterable[Line], request_id: str) -> list[Line]:
    """Return the lines of one request, and what its VM knew around it."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [
        line for line in ordered if line.fields.get("request") == request_id
    ]
    if not own:
        return []
    vms = {line.vm for line in own}
    targets = {line.fields.get("target") for line in own} - {None}
    return [
        line
        for line in ordered
        if line.fields.get("request") == request_id
        or (
            _is_near(line, own)
            and (
                (line.vm in vms and line.number in _CONTEXT)
                or line.fields.get("target") in targets
                and "request" not in line.fields
            )
        )
    ]


def _is_near(line: Line, own: list[Line]) -> bool:
    margin = timedelta(seconds=CONTEXT_S)
    at = datetime.fromisoformat(line.at)
    begin = datetime.fromisoformat(own[0].at)
    end = datetime.fromisoformat(own[-1].at)
    return begin - margin <= at <= end + margin


def find_unexplained(lines: Iterable[Line]) -> Iterator[Line]:
    """Yield the last line of each request whose end no line explains.

    An end is explained by an answer, by a failure with its reason, or by
    the end of the VM's process; a request may still be under way when the
    logs end.
    """
    last: dict[tuple[str, str], Line] = {}
    ended: set[tuple[str, str]] = set()
    newest: datetime | None = None
    for line in sorted(lines, key=lambda line: line.at):
        newest = datetime.fromisoformat(line.at)
        if line.number == Event.STARTED.value.number:
            ended |= {key for key in last if key[0] == line.vm}
        request_id = line.fields.get("request")
        if request_id is None:
            continue
        key = (line.vm, request_id)
        last[key] = line
        reason = line.fields.get("reason") or line.fields.get("status")
        if line.number in _ENDS and reason:
            ended.add(key)
    for key, line in last.items():
        if key not in ended and newest is not None:
            age = newest - datetime.fromisoformat(line.at)
            if age > timedelta(seconds=UNDER_WAY_S):
                yield line


def describe(line: Line) -> str:
    """Return a line as people read it."""
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN and value not in (None, "", [])
    )
    return f"{line.at} {line.vm} {line.number} {line.text}: {details}"


def _contents(paths: Iterable[Path]) -> Iterator[str]:
    for path in paths:
        with path.open(errors="replace") as file:
            yield from file


def _story_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("id", help="the request's id")
    parser.add_argument(
        "files", nargs="+", type=Path, help="logs of entry VMs and control"
    )


@cli_command("story", "tell from logs what a request met", _story_arguments)
async def story(args: argparse.Namespace) -> Result:
    """Print a request's events in order, with what decided its end."""
    found = tell(read_lines(_contents(args.files)), args.id)
    if not found:
        return Result([], (f"no log names {args.id}",), EXIT_FAILED)
    return Result(
        [line.fields for line in found],
        tuple(describe(line) for line in found),
    )


def _files_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "files", nargs="+", type=Path, help="logs of entry VMs"
    )


@cli_command(
    "unexplained", "count requests whose end no log explains", _files_argument
)
async def unexplained(args: argparse.Namespace) -> Result:
    """Print the last line of each request without an explained end."""
    found = list(find_unexplained(read_lines(_contents(args.files))))
    return Result(
        [line.fields for line in found],
        (f"{len(found)} unexplained", *map(describe, found)),
        EXIT_FAILED if found else EXIT_DONE,
    )
