"""Run a daemon: load settings, handle signals, return an exit code."""

import argparse
import asyncio
from collections.abc import Callable
import gc
from pathlib import Path
import signal
import sys
from typing import Final, Protocol, TypeVar

from wigeonford._stop_request import STOP_SIGNALS, StopRequest
from wigeonford._tasks import cancel_task
from wigeonford.errors import SettingsError
from wigeonford.events import configure_logging, Event, EventLog
from wigeonford.settings import load

EXIT_DONE: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3

T = TypeVar("T")


class Daemon(Protocol):
    """Define the start and the stop of a daemon."""

    async def start(self) -> None:
        """Return once the daemon is ready to serve."""

    async def stop(self) -> None:
        """Shut down gracefully."""


async def serve_until_signal(
    daemon: Daemon, log: EventLog, stop_request: StopRequest | None = None
) -> int:
    """Run until SIGTERM or SIGINT, then shut down; return the exit code.

    `stop_request` tells of a signal that came before. A signal that comes
    before the start has ended cancels it: nothing has been served by then.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log.emit(
            Event.TASK_FAILED,
            detail=context["message"],
            exc_info=context.get("exception"),
        )
    )
    stop_requested = asyncio.Event()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    if stop_request is not None and stop_request.is_made:
        log.emit(Event.STOPPING)
        log.emit(Event.STOPPED)
        return EXIT_DONE
    # Modules stay until the end; visiting them in each full collection stalls
    # the event loop.
    gc.freeze()
    try:
        has_started = await _start(daemon, stop_requested)
    except OSError as exc:
        # Most likely another process uses the address.
        log.emit(Event.START_FAILED, detail=str(exc))
        return EXIT_FAILED
    await stop_requested.wait()
    log.emit(Event.STOPPING)
    if has_started:
        await daemon.stop()
    log.emit(Event.STOPPED)
    return EXIT_DONE


async def serve_process(
    daemon: Daemon, log: EventLog, stop_request: StopRequest
) -> int:
    """Do the same for a process that ends then, whatever signals follow.

    The event loop restores their default actions as it closes: these would
    end the process before its log is written.
    """
    try:
        return await serve_until_signal(daemon, log, stop_request)
    finally:
        loop = asyncio.get_running_loop()
        for signal_number in (*STOP_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)


async def _start(daemon: Daemon, stop_requested: asyncio.Event) -> bool:
    """Start a daemon; return whether it did before a stop was requested."""
    start = asyncio.create_task(daemon.start())
    stop = asyncio.create_task(stop_requested.wait())
    await asyncio.wait((start, stop), return_when=asyncio.FIRST_COMPLETED)
    stop.cancel()
    if start.done():
        start.result()
        return True
    await cancel_task(start)
    return False


def run(
    program: str,
    description: str,
    settings: type[T],
    build: Callable[[T, EventLog], Daemon],
) -> int:
    """Run a daemon from the command line; return its exit code."""
    stop_request = StopRequest()
    parser = argparse.ArgumentParser(program, description=description)
    parser.add_argument(
        "--settings", type=Path, required=True, help="settings file (JSONC)"
    )
    args = parser.parse_args()
    configure_logging()
    log = EventLog(program=program)
    try:
        cfg = load(settings, args.settings)
    except SettingsError as exc:
        for fault in exc.faults:
            log.emit(Event.SETTINGS_REJECTED, detail=str(fault))
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    return asyncio.run(serve_process(build(cfg, log), log, stop_request))
