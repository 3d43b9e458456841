"""What entry VMs tell each other about slots of targets."""

import msgspec

from wigeonford.model import Side


class SlotWant(msgspec.Struct, frozen=True):
    """Say how many slots of a pool a holder needs now, or may soon."""

    pool: str
    needed: int
    wanted: int


class SlotRow(msgspec.Struct, frozen=True):
    """Report the slots held at one target; `avoid` asks for no more."""

    target_id: str
    number: int
    held: int
    avoid: bool = False


class SlotAsk(msgspec.Struct, frozen=True):
    """Ask one owner for slots; `holder` names one run of an entry VM."""

    holder: str
    wants: tuple[SlotWant, ...]
    rows: tuple[SlotRow, ...]


class SlotGrant(msgspec.Struct, frozen=True):
    """Grant whole slots of a target in answer to a row's number."""

    target_id: str
    number: int
    amount: int


class SlotHeld(msgspec.Struct, frozen=True):
    """Tell what a holder may have of a target that changes its owner."""

    holder: str
    amount: int


class TargetOffer(msgspec.Struct, frozen=True):
    """Describe a target that a holder may ask slots of.

    `sequence` is that of the target's latest announcement.
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


class SlotAnswer(msgspec.Struct, frozen=True):
    """Answer a `SlotAsk`; targets that it did not list are offered."""

    grants: tuple[SlotGrant, ...]
    offers: tuple[TargetOffer, ...]


def slot_pool(service: str, side: Side | None = None) -> str:
    """Return the name of the slots of a service, or of one side of it."""
    return f"{service}/{side.value if side is not None else ''}"
