"""Messages that lease inter-region bandwidth among entry VMs."""

import msgspec

from wigeonford.peer import message


@message(90)
class LinkLeaseRequest(msgspec.Struct, frozen=True):
    """Ask the grantor of a link for a lease, in bytes per second."""

    link: str
    holder: str
    number: int
    held: float
    wanted: float


@message(91)
class LinkLeaseReply(msgspec.Struct, frozen=True):
    """Reply with the bytes per second that the holder may use from now on."""

    number: int
    amount: float
