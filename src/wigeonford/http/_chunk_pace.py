"""Bodies in tiny chunks, whose parsing costs far more than their bytes."""

import asyncio
from typing import Final

import h11

SLICE_EVENTS: Final = 64
"""Events that are parsed in one turn of the event loop, about 2 ms of it."""
SLICE_INTERVAL_S: Final = 0.03
"""Time between such slices of all bodies together: a small part of a core."""
BURST_SLICES: Final = 16
"""Slices that need not wait, so that an odd body isn't slowed down."""
MAX_PIECE_BYTES: Final = 65536


class ChunkPacer:
    """Bound the rate at which all bodies in tiny chunks are parsed."""

    def __init__(self) -> None:
        self._next_at_s = 0.0

    async def wait(self) -> None:
        """Return once the next slice may be parsed."""
        now_s = asyncio.get_running_loop().time()
        earliest_s = now_s - BURST_SLICES * SLICE_INTERVAL_S
        at_s = max(self._next_at_s, earliest_s)
        self._next_at_s = at_s + SLICE_INTERVAL_S
        await asyncio.sleep(max(0.0, at_s - now_s))


class BodyPiece:
    """Join the data of events that have arrived into one piece.

    `next_event` is the event behind the piece, None if it hasn't arrived.
    `is_slice_full` tells that more events may be at hand.
    """

    def __init__(self, http: h11.Connection, first: h11.Data) -> None:
        self.next_event: object | None = None
        parts = [bytes(first.data)]
        size = len(parts[0])
        while len(parts) < SLICE_EVENTS and size < MAX_PIECE_BYTES:
            event = http.next_event()
            if not isinstance(event, h11.Data):
                if event is not h11.NEED_DATA:
                    self.next_event = event
                break
            parts.append(bytes(event.data))
            size += len(parts[-1])
        self.content = b"".join(parts)
        self.is_slice_full = len(parts) == SLICE_EVENTS
