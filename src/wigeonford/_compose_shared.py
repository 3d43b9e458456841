"""What the composition of several daemons shares."""

from collections.abc import Callable
from typing import Final

from wigeonford.events import EventLog
from wigeonford.http import (
    HttpServer,
    Request,
    Response,
    whole_response,
)
from wigeonford.metrics import Metrics
from wigeonford.settings import (
    CallerLimits,
)

OPEN_SECRET: Final = "peers-share-a-network-of-their-own"
"""Used where settings hold no secret: only own processes reach peers."""

Seeds = Callable[[], tuple[str, ...]]


def metrics_server(metrics: Metrics, log: EventLog) -> HttpServer:
    """Return a server of a daemon's metrics as text."""

    async def handle(_request: Request) -> Response:
        content, content_type = metrics.render()
        return whole_response(200, content, content_type)

    return HttpServer(handle, CallerLimits(), log)
