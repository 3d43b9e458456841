"""Messages by which entry VMs of a region share target slots."""

import msgspec

from wigeonford.messages.object import TargetAnnounce
from wigeonford.peer import message
from wigeonford.policy import SlotHeld, SlotReply, SlotRequest

message(60)(SlotRequest)
message(61)(SlotReply)


@message(62)
class SlotRecall(msgspec.Struct, frozen=True):
    """Ask a holder to send `SlotRequest` to an owner of targets again.

    With `recalled`, the holder gives up its idle slots.
    """

    owner: str
    recalled: bool


@message(63)
class TargetGone(msgspec.Struct, frozen=True):
    """Notify a holder that a target is no longer available.

    `sequence` is that of the target's latest announcement.
    """

    target_id: str
    sequence: int


@message(66)
class TargetHandover(msgspec.Struct, frozen=True):
    """Make another entry VM the owner of a target and of its slot grants."""

    announcement: TargetAnnounce
    held: tuple[SlotHeld, ...]
