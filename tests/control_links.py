"""Stand-ins for an entry VM's links to control replicas."""

import asyncio
from collections.abc import AsyncIterator, Callable
import random
from typing import Any, cast, Final

from wigeonford.events import EventLog
from wigeonford.messages.steering import EntryStatus
from wigeonford.peer import PeerClient
from wigeonford.settings import Address
from wigeonford.steer import (
    LimitExchange,
    SuspectExchange,
    TargetLimits,
    ViewFollower,
)
from wigeonford.suspects import SuspectTable

REPLICAS: Final = tuple(f"127.0.0.1:{port}" for port in range(1, 6))


class QuietLink:
    """Stand in for a link without streamed updates; subclasses reply."""

    async def open(self, _timeout_s: float) -> None:
        """Return: the link is open."""

    async def stream_replies(
        self, _record: Any, _timeout_s: float
    ) -> AsyncIterator[Any]:
        """Yield nothing for as long as the link is open."""
        await asyncio.Event().wait()
        yield None

    async def close(self) -> None:
        """Return: there is nothing to close."""


def make_follower(
    connect: Callable[[Address], QuietLink | PeerClient],
    *,
    name: str = "a",
    status: EntryStatus | Callable[[], EntryStatus] | None = None,
    seeds: tuple[str, ...] = REPLICAS,
    suspects: SuspectTable | None = None,
    limits: TargetLimits | None = None,
) -> ViewFollower:
    """Return a follower that connects to stand-ins for replicas."""
    own_status = status or EntryStatus(name, "i", f"{name}:1", "z", "r", True)
    return ViewFollower(
        lambda: seeds,
        own_status if callable(own_status) else lambda: own_status,
        (
            LimitExchange(limits or TargetLimits(name, dict), EventLog()),
            SuspectExchange(suspects or SuspectTable(name), EventLog()),
        ),
        lambda address: cast(PeerClient, connect(address)),
        EventLog(),
        random.Random(1),
    )
