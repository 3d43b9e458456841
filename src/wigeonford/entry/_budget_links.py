"""Links over which an entry VM leases and borrows parts of budgets."""

import asyncio
from collections.abc import Callable
from typing import Final
import uuid

from wigeonford.errors import Code, PeerError
from wigeonford.messages.budget import (
    GrantRow,
    LoanReply,
    LoanRequest,
    ShareReply,
    ShareReport,
    ShareRow,
)
from wigeonford.messages.object import Member
from wigeonford.peer import PeerClient
from wigeonford.policy import LoanGrant, ShareGrant, ShareRequest
from wigeonford.settings import Address

REPORT_TIMEOUT_S: Final = 1.0
LOAN_TIMEOUT_S: Final = 0.4

PeerLink = Callable[[Address], PeerClient]
"""Return a new link to the peer at an address."""


class BudgetLinks:
    """Send reports to the leader and requests for loans to peers."""

    def __init__(
        self, name: str, control: tuple[PeerClient, ...], make_link: PeerLink
    ) -> None:
        self.holder: Final = f"{name}/{uuid.uuid4().hex[:8]}"
        self._control = control
        self._make_link = make_link
        self._leader = 0
        self._members: dict[str, Member] = {}
        self._peers: dict[Member, PeerClient] = {}

    def follow_roster(self, members: dict[str, Member]) -> None:
        """Take over the VMs that are up, with their addresses."""
        self._members = members

    async def close(self) -> None:
        """Close the links to peers."""
        peers = list(self._peers.values())
        self._peers.clear()
        await asyncio.gather(*(peer.close() for peer in peers))

    async def report(
        self, requests: dict[str, ShareRequest]
    ) -> dict[str, ShareGrant]:
        """Return the leader's grants by account; raise `PeerError`."""
        message = ShareReport(
            self.holder,
            tuple(_row(name, request) for name, request in requests.items()),
        )
        reply = await self._ask_leader(message)
        return {
            name: _grant(row)
            for name, row in zip(requests, reply.rows, strict=False)
        }

    async def _ask_leader(self, message: ShareReport) -> ShareReply:
        """Try each control replica, the last known leader first.

        A report may be sent again: its numbers make it idempotent.
        """
        failure = PeerError(Code.NOT_LEADER)
        for _ in self._control:
            link = self._control[self._leader]
            try:
                reply = await link.request(message, REPORT_TIMEOUT_S)
            except PeerError as exc:
                failure = exc
                self._leader = (self._leader + 1) % len(self._control)
                if exc.code is Code.PEER_TIMEOUT:
                    break
                continue
            assert isinstance(reply, ShareReply), "reports get share replies"
            return reply
        raise failure

    async def borrow(
        self, lender: str, message: LoanRequest
    ) -> LoanGrant | None:
        """Return what a peer lends; None where it can't be reached."""
        link = await self._peer(lender.partition("/")[0])
        if link is None:
            return None
        try:
            reply = await link.request(message, LOAN_TIMEOUT_S)
        except PeerError:
            return None
        assert isinstance(reply, LoanReply), "requests get loan replies"
        return LoanGrant(reply.tokens, reply.lifetime_ms / 1000)

    async def _peer(self, name: str) -> PeerClient | None:
        member = self._members.get(name)
        for known in list(self._peers):
            if known.name == name and known != member:
                await self._peers.pop(known).close()
        if member is None:
            return None
        if member not in self._peers:
            address = Address(member.host, member.peer_port)
            self._peers[member] = self._make_link(address)
        return self._peers[member]


def _row(account: str, request: ShareRequest) -> ShareRow:
    return ShareRow(
        account,
        request.number,
        request.held,
        request.wanted,
        request.spare,
        int(request.returned * 1000),
        request.need,
    )


def _grant(row: GrantRow) -> ShareGrant:
    return ShareGrant(
        row.number,
        row.units,
        row.tokens_milli / 1000,
        row.loan,
        row.scarce,
        row.lenders,
    )
