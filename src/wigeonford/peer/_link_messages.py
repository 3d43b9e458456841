"""Messages by which entry VMs share the bytes of inter-region links."""

from dataclasses import dataclass

from wigeonford.peer._messages import message


@message(90)
@dataclass(frozen=True, slots=True)
class LinkLeaseAsk:
    """Ask the grantor of a link for bytes a second of it."""

    link: str
    holder: str
    number: int
    held: float
    wanted: float


@message(91)
@dataclass(frozen=True, slots=True)
class LinkLeaseAnswer:
    """Answer with the bytes a second that the holder has from now on."""

    number: int
    amount: float
