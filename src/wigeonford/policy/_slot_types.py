"""Messages between entry VMs about leases on slots of targets.

The owner of a target is the entry VM that grants leases on the target's
slots; a holder is an entry VM that leases some of them.
"""

import msgspec

from wigeonford.model import Side


class SlotDemand(msgspec.Struct, frozen=True):
    """Report a holder's demand for slots of one pool.

    `needed` covers the requests that run or wait now, `wanted` also the
    recent peak.
    """

    pool: str
    needed: int
    wanted: int


class SlotRow(msgspec.Struct, frozen=True):
    """Report the slots held at one target.

    `number` is that of the lease request. With `avoid`, the owner grants no
    slots of the target.
    """

    target_id: str
    number: int
    held: int
    avoid: bool = False


class SlotRequest(msgspec.Struct, frozen=True):
    """Request slots from one owner.

    `holder` identifies one incarnation of an entry VM.
    """

    holder: str
    wants: tuple[SlotDemand, ...]
    rows: tuple[SlotRow, ...]


class SlotGrant(msgspec.Struct, frozen=True):
    """Grant whole slots of a target in reply to a `SlotRow`."""

    target_id: str
    number: int
    amount: int


class SlotHeld(msgspec.Struct, frozen=True):
    """Report a holder's slots at a target whose owner changes.

    `amount` is the most that the holder may use.
    """

    holder: str
    amount: int


class TargetOffer(msgspec.Struct, frozen=True):
    """Describe a target that a holder may request slots of.

    `sequence` is the number of the target's latest announcement.
    """

    target_id: str
    service: str
    side: Side
    slots: int
    sequence: int = 0

    @property
    def pools(self) -> tuple[str, str]:
        """Return the pools that the target's slots belong to."""
        return slot_pool(self.service), slot_pool(self.service, self.side)


class SlotReply(msgspec.Struct, frozen=True):
    """Reply to a `SlotRequest`.

    `offers` are targets of the requested pools that the request did not list.
    """

    grants: tuple[SlotGrant, ...]
    offers: tuple[TargetOffer, ...]


def slot_pool(service: str, side: Side | None = None) -> str:
    """Return the name of the slot pool of a service or of one side."""
    return f"{service}/{side.value if side is not None else ''}"
