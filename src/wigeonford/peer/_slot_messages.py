"""Messages by which entry VMs of a region share slots of targets."""

from dataclasses import dataclass

from wigeonford.peer._messages import message, TargetAnnounce
from wigeonford.policy import SlotAnswer, SlotAsk, SlotHeld

message(60)(SlotAsk)
message(61)(SlotAnswer)


@message(62)
@dataclass(frozen=True, slots=True)
class SlotCall:
    """Tell a holder to ask an owner again; `recalled` asks for idle slots."""

    owner: str
    recalled: bool


@message(63)
@dataclass(frozen=True, slots=True)
class TargetGone:
    """Tell a holder that a target leaves, from an announcement on."""

    target_id: str
    sequence: int


@message(64)
@dataclass(frozen=True, slots=True)
class TargetDeath:
    """Name the requests that were in flight when a target failed."""

    target_id: str
    fingerprints: tuple[bytes, ...]


@message(65)
@dataclass(frozen=True, slots=True)
class SuspectCleared:
    """Say that a suspected request was answered whole."""

    fingerprint: bytes


@message(66)
@dataclass(frozen=True, slots=True)
class TargetHandover:
    """Make another entry VM a target's owner, with all that is granted."""

    announcement: TargetAnnounce
    held: tuple[SlotHeld, ...]
