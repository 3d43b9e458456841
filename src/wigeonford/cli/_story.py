"""Tell the story of one request from log files."""

import argparse
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
import json
from pathlib import Path
from typing import Any, Final

from wigeonford.cli._commands import cli_command, Result
from wigeonford.daemon import EXIT_REFUSED
from wigeonford.events import Event

CONTEXT_S: Final = 5.0
"""How long before and after the request a VM's own events are of use; a
lease or a lead is lost within that."""
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


def describe(line: Line) -> str:
    """Return a line as people read it."""
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN and value not in (None, "", [])
    )
    return f"{line.at} {line.vm} {line.number} {line.text}: {details}"


def _story_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("id", help="the request's id")
    parser.add_argument(
        "files", nargs="+", type=Path, help="logs of entry VMs and control"
    )


@cli_command("story", "tell from logs what a request met", _story_arguments)
async def story(args: argparse.Namespace) -> Result:
    """Print a request's events in order, with what decided its end."""

    def contents() -> Iterator[str]:
        for path in args.files:
            with path.open(errors="replace") as file:
                yield from file

    found = tell(read_lines(contents()), args.id)
    if not found:
        return Result([], (f"no log names {args.id}",), EXIT_REFUSED)
    return Result(
        [line.fields for line in found],
        tuple(describe(line) for line in found),
    )
