"""The one set of messages between the system's processes."""

from typing import Final

import msgspec

from wigeonford.codec import Codec

MESSAGES: Final = Codec("message")

message = MESSAGES.register


@message(1)
class Failure(msgspec.Struct, frozen=True):
    """Answer any message that was refused, by result code number."""

    code: int
    detail: str
    leader: str | None = None


@message(9)
class Done(msgspec.Struct, frozen=True):
    """Answer a message that has nothing more to tell."""
