"""Registry of a region's targets, from their own announcements."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from wigeonford.errors import Code, RequestRefused
from wigeonford.model import Side
from wigeonford.peer import TargetAnnounce
from wigeonford.policy import Candidate
from wigeonford.settings import Address

TOMBSTONE_S = 60.0


@dataclass(frozen=True, slots=True)
class Target:
    """Describe a target; `expires_at_s` is on the monotonic clock."""

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
        """Return the address, by which targets are told apart."""
        return str(self.address)


class TargetRegistry:
    """Keep targets by lease and sequence, and count what is in flight."""

    def __init__(self) -> None:
        self._targets: dict[str, Target] = {}
        self._in_flight: dict[str, int] = {}

    def announce(self, message: TargetAnnounce, now_s: float) -> Target:
        """Take an announcement; refuse one that a later one overtook."""
        address = Address(message.host, message.port)
        held = self._targets.get(str(address))
        if held is not None and message.sequence <= held.sequence:
            raise RequestRefused(Code.ANNOUNCEMENT_STALE, str(address))
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
        """Return targets whose lease has just run out; forget old ones."""
        expired: list[Target] = []
        for target in list(self._targets.values()):
            overdue_s = now_s - target.expires_at_s
            if overdue_s > TOMBSTONE_S:
                del self._targets[target.target_id]
            elif overdue_s > 0 and not target.leaving:
                left = replace(target, leaving=True)
                self._targets[target.target_id] = left
                expired.append(left)
        return expired

    def candidates(self, service: str, now_s: float) -> Iterator[Candidate]:
        """Yield the targets of a service that may get new work."""
        for target in self._targets.values():
            if target.service != service or target.leaving:
                continue
            if target.expires_at_s > now_s:
                yield Candidate(
                    target.target_id,
                    target.side,
                    target.slots,
                    self._in_flight.get(target.target_id, 0),
                    target.load,
                )

    def get(self, target_id: str) -> Target:
        """Return a target that was a candidate."""
        return self._targets[target_id]

    def all(self) -> tuple[Target, ...]:
        """Return every target that is not forgotten."""
        return tuple(self._targets.values())

    def begin(self, target_id: str) -> None:
        """Count a request that goes to a target."""
        self._in_flight[target_id] = self._in_flight.get(target_id, 0) + 1

    def end(self, target_id: str) -> None:
        """Count a request that a target is done with."""
        left = self._in_flight[target_id] - 1
        assert left >= 0, "a request ends once"
        if left:
            self._in_flight[target_id] = left
        else:
            del self._in_flight[target_id]
