"""Grant parts of the client accounts' rates while this replica leads.

Grants are kept in memory. A new leader renews what entry VMs report and
grants no more until its predecessor's leases have run out.
"""

from collections.abc import Callable
import time
from typing import Final

from wigeonford.control._replica import Replica
from wigeonford.events import Event, EventLog
from wigeonford.peer import (
    LeaderElsewhere,
    PartGrant,
    PartRequest,
    PartsAnswer,
    PartsReport,
    PeerServer,
)
from wigeonford.policy import LeaseGrantor, LeaseRequest

PART_LEASE_S: Final = 20.0
"""Longer than all of control may be without power in the fault plan."""
ENTRY_GONE_S: Final = 5.0
"""Entry VMs report twice a second; ten are lost."""
_LAST_NUMBER: Final = 1 << 62


class PartService:
    """Answer reports; its state lives for one term of leadership."""

    def __init__(
        self,
        replica: Replica,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._replica = replica
        self._log = log
        self._clock = clock
        self._term = -1
        self._founded = False
        self._grantors: dict[str, LeaseGrantor] = {}
        self._entries: dict[str, tuple[str, float]] = {}

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(PartsReport, self._answer)

    async def start(self) -> None:
        """Begin to notice when this replica comes to lead."""
        self._replica.on_applied(self._begin_term)

    async def stop(self) -> None:
        """Return: there is nothing to end."""

    async def _answer(self, message: PartsReport) -> PartsAnswer:
        if not self._replica.is_leader:
            raise LeaderElsewhere(self._replica.leader)
        self._begin_term()
        now_s = self._clock()
        self._note_entry(message, now_s)
        grants = tuple(
            self._grant(message, request, now_s)
            for request in message.requests
        )
        return PartsAnswer(self._count_entries(now_s), grants)

    def _begin_term(self) -> None:
        term = self._replica.term
        if term == self._term or not self._replica.is_leader:
            return
        # Nobody granted anything before the first deployment.
        self._founded = self._replica.state.steering.deployment is None
        self._term = term
        self._grantors.clear()
        self._entries.clear()
        self._log.emit(
            Event.PARTS_TERM_BEGUN, term=term, takes_over=not self._founded
        )

    def _note_entry(self, message: PartsReport, now_s: float) -> None:
        known = self._entries.get(message.entry)
        self._entries[message.entry] = (message.incarnation, now_s)
        if known is None or known[0] == message.incarnation:
            return
        # The run before is over: this one has taken its place.
        holder = _holder(message.entry, known[0])
        for grantor in self._grantors.values():
            grantor.release(holder, _LAST_NUMBER)

    def _count_entries(self, now_s: float) -> int:
        return sum(
            now_s - at_s <= ENTRY_GONE_S for _, at_s in self._entries.values()
        )

    def _grant(
        self, message: PartsReport, request: PartRequest, now_s: float
    ) -> PartGrant:
        grantor = self._grantors.get(request.account)
        if grantor is None:
            grantor = LeaseGrantor(
                1.0, PART_LEASE_S, now_s, takes_over=not self._founded
            )
            self._grantors[request.account] = grantor
        grant = grantor.request(
            LeaseRequest(
                _holder(message.entry, message.incarnation),
                request.number,
                request.held,
                request.wanted,
            ),
            now_s,
        )
        return PartGrant(request.account, grant.number, grant.amount)


def _holder(entry: str, incarnation: str) -> str:
    return f"{entry}/{incarnation}"
