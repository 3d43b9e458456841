"""The commands `demo` and `bench`, which simulate targets and callers."""

import argparse
from collections.abc import Callable
import importlib
from types import ModuleType

from wigeonford.cli._commands import cli_command, Result
from wigeonford.daemon import EXIT_DONE, EXIT_FAILED
from wigeonford.errors import Code, WigeonfordError


def _load(name: str) -> ModuleType:
    """Import and return a module of wigeonford.bench.

    The import is deferred since other commands don't need the packages of
    the bench extra. Raise `WigeonfordError` if one of them is missing.
    """
    try:
        return importlib.import_module(name)
    except ModuleNotFoundError as exc:
        package = (exc.name or "").partition(".")[0]
        if package == "wigeonford":
            raise
        raise WigeonfordError(
            Code.EXTRA_MISSING,
            f"{package}; install the extra: pip install 'wigeonford[bench]'",
        ) from exc


def _demo_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--deployment",
        choices=("guild", "authority"),
        default="guild",
        help="example settings to run, default %(default)s",
    )
    parser.add_argument(
        "--requests", type=int, default=500, help="default %(default)s"
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="default %(default)s"
    )


@cli_command(
    "demo",
    "run a complete system on loopback, with simulated targets and callers",
    _demo_arguments,
)
async def demo(args: argparse.Namespace) -> Result:
    """Run control, entry VMs, targets and callers in this process."""
    report = await _load("wigeonford.bench").run_demo(
        args.deployment, args.requests, args.seed, quiet=args.json
    )
    lines = tuple(f"{name}: {value}" for name, value in report.data.items())
    return Result(
        report.data, lines, EXIT_DONE if report.passed else EXIT_FAILED
    )


def _bench_command(
    name: str,
    help_text: str,
    module: str,
    configure: Callable[[argparse.ArgumentParser], None],
) -> None:
    """Register a bench; `module` has `async run(args) -> Report`."""

    def arguments(parser: argparse.ArgumentParser) -> None:
        parser.add_argument(
            "--seed", type=int, default=1, help="default %(default)s"
        )
        configure(parser)

    async def run(args: argparse.Namespace) -> Result:
        report = await _load(module).run(args)
        lines = tuple(
            f"{name}: {value}" for name, value in report.data.items()
        )
        code = EXIT_DONE if report.passed else EXIT_FAILED
        return Result(report.data, lines, code)

    cli_command(f"bench {name}", help_text, arguments)(run)


def _routing_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--deployment", choices=("guild", "authority"), default="guild"
    )
    parser.add_argument(
        "--fault", default="none", help="name of a fault, or all"
    )
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="default %(default)s"
    )
    parser.add_argument(
        "--rate",
        type=float,
        default=40.0,
        help="requests per second, default %(default)s",
    )


_bench_command(
    "routing",
    "run a deployment under load and faults and compare it to a baseline",
    "wigeonford.bench._routing_bench",
    _routing_arguments,
)


def _streaming_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--megabytes", type=float, default=200.0, help="default %(default)s"
    )


_bench_command(
    "streaming",
    "measure an entry VM's memory while it forwards a large body",
    "wigeonford.bench._streaming",
    _streaming_arguments,
)


def _control_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="default %(default)s"
    )


def _limits_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--requests", type=int, default=200_000, help="default %(default)s"
    )
    parser.add_argument(
        "--faults",
        action=argparse.BooleanOptionalAction,
        default=True,
        help="kill, restart and disconnect entry VMs, default %(default)s",
    )


_bench_command(
    "control",
    "inject faults into five control replicas under changes and claims",
    "wigeonford.bench._control_bench",
    _control_arguments,
)
_bench_command(
    "slopes",
    "measure how each role's resource use grows with nodes, blocks and more",
    "wigeonford.bench._slopes_bench",
    lambda _parser: None,
)
_bench_command(
    "claims",
    "compare strategies to claim a non-idempotent request",
    "wigeonford.bench._claims_bench",
    lambda _parser: None,
)
_bench_command(
    "limits",
    "compare rate limiters of client accounts in virtual time",
    "wigeonford.bench._limits_bench",
    _limits_arguments,
)


def _selection_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--seconds",
        type=float,
        default=10.0,
        help="measured virtual seconds, default %(default)s",
    )


_bench_command(
    "selection",
    "compare strategies to distribute targets' slots in virtual time",
    "wigeonford.bench._selection",
    _selection_arguments,
)


def _soak_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--deployment", choices=("guild", "authority"), default="guild"
    )
    parser.add_argument(
        "--minutes", type=float, default=1.0, help="default %(default)s"
    )


_bench_command(
    "soak",
    "run a complete system under load with faults at random times",
    "wigeonford.bench._soak_bench",
    _soak_arguments,
)
