"""Peer connections for leasing and borrowing account quotas."""

import asyncio
from collections.abc import Callable
from typing import Final
import uuid

from wigeonford.errors import Code, PeerError
from wigeonford.messages.budget import (
    BudgetGrantRow,
    BudgetReply,
    BudgetRequest,
    BudgetRequestRow,
    LoanReply,
    LoanRequest,
)
from wigeonford.messages.object import Member
from wigeonford.peer import PeerClient
from wigeonford.policy import LoanGrant, QuotaGrant, QuotaRequest
from wigeonford.settings import Address

REPORT_TIMEOUT_S: Final = 1.0
LOAN_TIMEOUT_S: Final = 0.4

PeerClientFactory = Callable[[Address], PeerClient]
"""Return a new client for the peer at an address."""


class QuotaClient:
    """Send demand reports to the leader and loan requests to peers.

    `holder` identifies one run of this VM's process.
    """

    def __init__(
        self,
        name: str,
        control: tuple[PeerClient, ...],
        make_client: PeerClientFactory,
    ) -> None:
        self.holder: Final = f"{name}/{uuid.uuid4().hex[:8]}"
        self._control = control
        self._make_client = make_client
        self._leader_index = 0
        self._members: dict[str, Member] = {}
        self._clients: dict[Member, PeerClient] = {}

    def update_roster(self, members: dict[str, Member]) -> None:
        """Set the entry VMs that are up, with their addresses."""
        self._members = members

    async def close(self) -> None:
        """Close the connections to peers."""
        clients = list(self._clients.values())
        self._clients.clear()
        await asyncio.gather(*(client.close() for client in clients))

    async def report(
        self, requests: dict[str, QuotaRequest]
    ) -> dict[str, QuotaGrant]:
        """Return the leader's grants by account; raise `PeerError`."""
        message = BudgetRequest(
            self.holder,
            tuple(_row(name, request) for name, request in requests.items()),
        )
        reply = await self._request_leader(message)
        return {
            name: _grant(row)
            for name, row in zip(requests, reply.rows, strict=False)
        }

    async def _request_leader(self, message: BudgetRequest) -> BudgetReply:
        """Try each control replica, the last known leader first.

        A report may be sent twice, because the numbers of its rows make it
        idempotent.
        """
        failure = PeerError(Code.NOT_LEADER)
        for _ in self._control:
            client = self._control[self._leader_index]
            try:
                reply = await client.request(message, REPORT_TIMEOUT_S)
            except PeerError as exc:
                failure = exc
                self._leader_index = (self._leader_index + 1) % len(
                    self._control
                )
                if exc.code is Code.PEER_TIMEOUT:
                    break
                continue
            assert isinstance(reply, BudgetReply), (
                "a BudgetRequest gets a BudgetReply"
            )
            return reply
        raise failure

    async def borrow(
        self, lender: str, message: LoanRequest
    ) -> LoanGrant | None:
        """Return the tokens that a peer lends; None if it is unreachable."""
        client = await self._client_for(lender.partition("/")[0])
        if client is None:
            return None
        try:
            reply = await client.request(message, LOAN_TIMEOUT_S)
        except PeerError:
            return None
        assert isinstance(reply, LoanReply), "a LoanRequest gets a LoanReply"
        return LoanGrant(reply.tokens, reply.lifetime_ms / 1000)

    async def _client_for(self, name: str) -> PeerClient | None:
        member = self._members.get(name)
        for known_member in list(self._clients):
            if known_member.name == name and known_member != member:
                await self._clients.pop(known_member).close()
        if member is None:
            return None
        if member not in self._clients:
            address = Address(member.host, member.peer_port)
            self._clients[member] = self._make_client(address)
        return self._clients[member]


def _row(account: str, request: QuotaRequest) -> BudgetRequestRow:
    return BudgetRequestRow(
        account,
        request.number,
        request.held,
        request.wanted,
        request.spare,
        int(request.returned * 1000),
        request.need,
    )


def _grant(row: BudgetGrantRow) -> QuotaGrant:
    return QuotaGrant(
        row.number,
        row.units,
        row.tokens_milli / 1000,
        row.loan,
        row.scarce,
        row.lenders,
    )
