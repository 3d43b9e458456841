"""Registry of targets, filled from their own announcements."""

from dataclasses import dataclass, replace
from typing import Final

from wigeonford.errors import Code, RequestRejected
from wigeonford.messages.object import TargetAnnounce
from wigeonford.model import Side
from wigeonford.settings import Address

TOMBSTONE_S: Final = 60.0


@dataclass(frozen=True, slots=True)
class Target:
    """Describe a target; `expires_at_s` is on the monotonic clock.

    `leaving` says that the target is draining or its lease has expired.
    """

    service: str
    address: Address
    side: Side
    slots: int
    sequence: int
    expires_at_s: float
    load: float
    leaving: bool

    @property
    def target_id(self) -> str:
        """Return the address, which identifies the target."""
        return str(self.address)


class TargetRegistry:
    """Store targets until their leases expire, by announcement order.

    An expired or draining target stays as a tombstone, so that a delayed
    older announcement can't bring it back.
    """

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}

    def announce(self, message: TargetAnnounce, now_s: float) -> Target:
        """Record an announcement; raise `RequestRejected` if outdated."""
        address = Address(message.host, message.port)
        held = self._targets.get(str(address))
        if held is not None and message.sequence <= held.sequence:
            raise RequestRejected(Code.ANNOUNCEMENT_STALE, str(address))
        target = Target(
            service=message.service,
            address=address,
            side=Side(message.side),
            slots=message.slots,
            sequence=message.sequence,
            expires_at_s=now_s + message.lease_s,
            load=message.load,
            leaving=message.leaving,
        )
        self._targets[target.target_id] = target
        return target

    def expire(self, now_s: float) -> list[Target]:
        """Return targets whose lease just expired; delete old tombstones."""
        expired: list[Target] = []
        for target in list(self._targets.values()):
            overdue_s = now_s - target.expires_at_s
            if overdue_s > TOMBSTONE_S:
                del self._targets[target.target_id]
            elif overdue_s > 0 and not target.leaving:
                expired_target = replace(target, leaving=True)
                self._targets[target.target_id] = expired_target
                expired.append(expired_target)
        return expired

    def find(self, target_id: str) -> Target | None:
        """Return a target or its tombstone, or None."""
        return self._targets.get(target_id)

    def forget(self, target_id: str) -> None:
        """Delete a target that another VM owns now."""
        self._targets.pop(target_id, None)

    def all(self) -> tuple[Target, ...]:
        """Return all targets and tombstones."""
        return tuple(self._targets.values())
