"""Registry of the messages between processes, and common replies."""

from typing import Final

import msgspec

from wigeonford.codec import Codec

MESSAGES: Final = Codec("message")

message = MESSAGES.register


@message(1)
class Failure(msgspec.Struct, frozen=True):
    """Reply to a message that failed, with a result code number."""

    code: int
    detail: str
    leader: str | None = None


@message(9)
class Done(msgspec.Struct, frozen=True):
    """Reply to a message that has no other reply, or end a stream."""
