"""The commands that add and remove control replicas."""

import argparse
from pathlib import Path

from wigeonford.cli._commands import cli_command, operator_client, Result
from wigeonford.control import recover_as_only_replica
from wigeonford.settings import Address


def _name_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("name", help="name of the control replica")


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    _name_argument(parser)
    parser.add_argument("host", help="IP address for its peers")
    parser.add_argument("port", type=int, help="port for its peers")


@cli_command("replica add", "add a control replica", _add_arguments)
async def replica_add(args: argparse.Namespace) -> Result:
    """Add a learner, which becomes a voter once it has caught up."""
    address = Address(args.host, args.port)
    response = await operator_client(args).change_replica(args.name, address)
    return Result(response, (f"{args.name} added as a learner",))


def _recover_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("folder", type=Path, help="data folder")
    _name_argument(parser)


@cli_command(
    "replica recover",
    "make a stopped replica the only member after a majority is lost",
    _recover_arguments,
)
async def replica_recover(args: argparse.Namespace) -> Result:
    """Rewrite the membership of the Raft group in a data folder."""
    position = recover_as_only_replica(args.folder, args.name)
    line = f"{args.name} is the only replica from position {position}"
    return Result({"name": args.name, "position": position}, (line,))


@cli_command("replica remove", "remove a control replica", _name_argument)
async def replica_remove(args: argparse.Namespace) -> Result:
    """Remove a replica permanently."""
    response = await operator_client(args).change_replica(args.name, None)
    return Result(response, (f"{args.name} removed",))
