"""Messages by which entry VMs of a region share slots of targets."""

import msgspec

from wigeonford.messages.object import TargetAnnounce
from wigeonford.peer import message
from wigeonford.policy import SlotAnswer, SlotAsk, SlotHeld

message(60)(SlotAsk)
message(61)(SlotAnswer)


@message(62)
class SlotCall(msgspec.Struct, frozen=True):
    """Tell a holder to ask an owner again; `recalled` asks for idle slots."""

    owner: str
    recalled: bool


@message(63)
class TargetGone(msgspec.Struct, frozen=True):
    """Tell a holder that a target leaves, from an announcement on."""

    target_id: str
    sequence: int


@message(64)
class TargetDeath(msgspec.Struct, frozen=True):
    """Name the requests that were in flight when a target failed."""

    target_id: str
    fingerprints: tuple[bytes, ...]


@message(65)
class SuspectCleared(msgspec.Struct, frozen=True):
    """Say that a suspected request was answered whole."""

    fingerprint: bytes


@message(66)
class TargetHandover(msgspec.Struct, frozen=True):
    """Make another entry VM a target's owner, with all that is granted."""

    announcement: TargetAnnounce
    held: tuple[SlotHeld, ...]
