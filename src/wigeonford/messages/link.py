"""Messages by which entry VMs share the bytes of inter-region links."""

import msgspec

from wigeonford.peer import message


@message(90)
class LinkLeaseAsk(msgspec.Struct, frozen=True):
    """Ask the grantor of a link for bytes a second of it."""

    link: str
    holder: str
    number: int
    held: float
    wanted: float


@message(91)
class LinkLeaseAnswer(msgspec.Struct, frozen=True):
    """Answer with the bytes a second that the holder has from now on."""

    number: int
    amount: float
