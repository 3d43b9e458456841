"""The parser of the command line and the commands for operators."""

import argparse
import asyncio
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
import json
from pathlib import Path
import sys
from typing import Any, Final
import uuid

import msgspec

from wigeonford.cli._operator import edits_between, OperatorClient
from wigeonford.control import Edit
from wigeonford.daemon import (
    EXIT_DONE,
    EXIT_FAILED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
)
from wigeonford.errors import (
    ChangeRejected,
    Code,
    PeerError,
    SettingsError,
    WigeonfordError,
)
from wigeonford.model import decode_set, ObjectSet
from wigeonford.settings import load, OperatorSettings, read_jsonc
from wigeonford.tls import client_context

DEFAULT_SETTINGS: Final = Path("operator.jsonc")


@dataclass(frozen=True, slots=True)
class Result:
    """The output of a command: data for --json, else lines of text."""

    data: Any
    lines: tuple[str, ...]
    exit_code: int = EXIT_DONE


Handler = Callable[[argparse.Namespace], Awaitable[Result]]
Configure = Callable[[argparse.ArgumentParser], None]


@dataclass(frozen=True, slots=True)
class Command:
    """A command: its name, help, arguments and function."""

    name: str
    help: str
    configure: Configure
    run: Handler


COMMANDS: Final[dict[str, Command]] = {}


def _no_arguments(_parser: argparse.ArgumentParser) -> None:
    return


def cli_command(
    name: str, help_text: str, configure: Configure = _no_arguments
) -> Callable[[Handler], Handler]:
    """Register a command by its name; a nested one has two words."""

    def add(function: Handler) -> Handler:
        COMMANDS[name] = Command(name, help_text, configure, function)
        return function

    return add


def operator_client(args: argparse.Namespace) -> OperatorClient:
    """Return a client for the control replicas in the settings."""
    cfg = load(OperatorSettings, args.settings)
    return OperatorClient(
        cfg.control, cfg.operator_secret, cfg.author, client_context(cfg.tls)
    )


def read_objects(path: Path) -> ObjectSet:
    """Return the objects in a file; raise `SettingsError` if invalid."""
    document = read_jsonc(path)
    if isinstance(document, dict) and "objects" in document:
        document = document["objects"]
    return decode_set(document)


def _file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=Path, help="file of objects (JSONC)")


def _apply_arguments(parser: argparse.ArgumentParser) -> None:
    _file_argument(parser)
    parser.add_argument(
        "--prune",
        action="store_true",
        help="delete objects that are not in the file",
    )
    _change_id_argument(parser)


def _change_id_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--change-id",
        help="id of the change; a retry with the id gets the first result",
    )


def _change_id(args: argparse.Namespace) -> str:
    return args.change_id or uuid.uuid4().hex


@cli_command("check", "validate a file of objects", _file_argument)
async def check(args: argparse.Namespace) -> Result:
    """Validate a file without publishing it."""
    objects = read_objects(args.file)
    count = len(objects.objects)
    return Result(
        {"ok": True, "objects": count}, (f"{count} objects, no faults",)
    )


@cli_command("apply", "publish a file of objects", _apply_arguments)
async def apply(args: argparse.Namespace) -> Result:
    """Publish the differences between a file and control in one change."""
    desired = read_objects(args.file)
    client = operator_client(args)
    edits = edits_between(await client.objects(), desired, prune=args.prune)
    if not edits:
        return Result({"edits": 0}, ("nothing to change",))
    change_id = _change_id(args)
    print(f"change id {change_id}", file=sys.stderr)
    response = await client.change(change_id, edits)
    line = f"{len(edits)} edits in force from revision {response['revision']}"
    return Result(
        {"edits": len(edits), "change_id": change_id, **response}, (line,)
    )


def _get_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", nargs="?", help="kind of objects")
    parser.add_argument("name", nargs="?", help="name of one object")


@cli_command("get", "show the objects stored on control", _get_arguments)
async def get(args: argparse.Namespace) -> Result:
    """Show stored objects with their versions."""
    objects = await operator_client(args).objects(args.kind, args.name)
    if args.name and not objects:
        raise ChangeRejected(Code.OBJECT_UNKNOWN, args.name)
    return Result(
        msgspec.to_builtins(objects),
        tuple(
            f"{item.kind}/{item.name} v{item.version} {json.dumps(item.data)}"
            for item in objects
        ),
    )


@cli_command("history", "show the latest changes and their authors")
async def history(args: argparse.Namespace) -> Result:
    """Show the latest changes, newest first."""
    entries = await operator_client(args).history()
    return Result(
        entries,
        tuple(
            f"{entry['revision']} {entry['author']} "
            f"{', '.join(entry['summary'])}"
            for entry in entries
        ),
    )


@cli_command("status", "show the control replicas and the entry VMs")
async def status(args: argparse.Namespace) -> Result:
    """Show the leader, the replicas, the revision and the roster."""
    response = await operator_client(args).status()
    lines = [f"leader {response['leader']}, revision {response['revision']}"]
    lines.extend(_replica_lines(response["replica"]))
    lines.extend(
        f"{vm['name']} {vm['availability_zone']} {vm['host']}:{vm['port']}"
        for vm in response["entry_vms"]
    )
    return Result(response, tuple(lines))


def _replica_lines(report: dict[str, Any]) -> Iterator[str]:
    yield (
        f"{report['name']} {report['role']}, term {report['term']}, committed "
        f"{report['commit_position']} of {report['last_position']}"
    )
    if report["failure"]:
        yield f"{report['name']} failed: {report['failure']}"
    for replica in report["replicas"]:
        kind = "voter" if replica["voter"] else "learner"
        lag = "" if replica["lag"] is None else f", lag {replica['lag']}"
        yield f"{replica['name']} {kind}{lag}"


def _account_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("account", help="name of the client account")
    _change_id_argument(parser)


@cli_command("key issue", "issue an API key", _account_argument)
async def key_issue(args: argparse.Namespace) -> Result:
    """Issue a key; it can't be shown again later."""
    key = await operator_client(args).issue_key(_change_id(args), args.account)
    return Result({"account": args.account, "key": key}, (key,))


def _key_id_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("key_id", help="id of the key, its middle part")
    _change_id_argument(parser)


@cli_command("key withdraw", "withdraw an API key", _key_id_argument)
async def key_withdraw(args: argparse.Namespace) -> Result:
    """Withdraw a key permanently."""
    response = await operator_client(args).withdraw_key(
        _change_id(args), args.key_id
    )
    line = f"withdrawn from revision {response['revision']}"
    return Result(response, (line,))


def _drain_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("vm", help="name of the entry VM")
    parser.add_argument(
        "--undo", action="store_true", help="include the VM in look-ups again"
    )
    _change_id_argument(parser)


@cli_command("drain", "remove an entry VM from look-ups", _drain_arguments)
async def drain(args: argparse.Namespace) -> Result:
    """Set or clear the `drained` flag of an entry VM."""
    client = operator_client(args)
    objects = await client.objects("entry_vms", args.vm)
    if not objects:
        raise ChangeRejected(Code.OBJECT_UNKNOWN, args.vm)
    data = {**objects[0].data, "drained": not args.undo}
    edit = Edit("entry_vms", args.vm, objects[0].version, data)
    response = await client.change(_change_id(args), (edit,))
    verb = "in look-ups again" if args.undo else "drained"
    line = f"{args.vm} {verb} from revision {response['revision']}"
    return Result(response, (line,))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of every registered command."""
    parser = argparse.ArgumentParser(
        "wigeonford", description="Operate global traffic steering."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    groups: dict[str, Any] = {}
    for command in COMMANDS.values():
        group, _, nested = command.name.partition(" ")
        if nested:
            if group not in groups:
                outer = commands.add_parser(group, help=f"{group} commands")
                groups[group] = outer.add_subparsers(
                    dest="nested", required=True
                )
            sub = groups[group].add_parser(nested, help=command.help)
        else:
            sub = commands.add_parser(group, help=command.help)
        _add_common(sub)
        command.configure(sub)
        sub.set_defaults(run=command.run)
    return parser


def _add_common(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument(
        "--settings",
        type=Path,
        default=DEFAULT_SETTINGS,
        help="operator settings (JSONC), default %(default)s",
    )


def main(argv: list[str] | None = None) -> int:
    """Run one command; return its exit code."""
    args = build_parser().parse_args(argv)
    try:
        result = asyncio.run(args.run(args))
    except WigeonfordError as exc:
        return _print_error(exc, as_json=args.json)
    if args.json:
        print(json.dumps(result.data, indent=2))
    else:
        print("\n".join(result.lines))
    return int(result.exit_code)


def _print_error(exc: WigeonfordError, *, as_json: bool) -> int:
    if as_json:
        content = {
            "code": exc.code.number,
            "error": exc.code.value.text,
            "detail": exc.detail,
        }
        print(json.dumps(content, indent=2))
    elif isinstance(exc, SettingsError):
        print(f"{exc.code.number} {exc.code.value.text}", file=sys.stderr)
        for fault in exc.faults:
            print(f"  {fault}", file=sys.stderr)
    else:
        print(exc, file=sys.stderr)
    if exc.code is Code.SETTINGS_UNREADABLE:
        return EXIT_USAGE
    return EXIT_UNREACHABLE if isinstance(exc, PeerError) else EXIT_FAILED
