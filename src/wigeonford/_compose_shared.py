"""Helpers for wiring the parts of several daemons."""

from collections.abc import Callable
from typing import Final

from wigeonford.events import EventLog
from wigeonford.http import (
    complete_response,
    HttpServer,
    Request,
    Response,
)
from wigeonford.metrics import Metrics
from wigeonford.settings import (
    CallerLimits,
)

DEFAULT_PEER_SECRET: Final = "peers-share-a-network-of-their-own"
"""Used without a secret in the settings: only the system's own processes can
reach the peer ports."""

SeedsProvider = Callable[[], tuple[str, ...]]


def metrics_server(metrics: Metrics, log: EventLog) -> HttpServer:
    """Return an HTTP server of a daemon's metrics in text format."""

    async def handle(_request: Request) -> Response:
        content, content_type = metrics.render()
        return complete_response(200, content, content_type)

    return HttpServer(handle, CallerLimits(), log)
