"""Leased shares of inter-region links, spent by the bytes sent."""

import asyncio
from dataclasses import dataclass
import time
from typing import Final
import uuid

from wigeonford._tasks import end_task
from wigeonford.entry._budget_links import PeerLink
from wigeonford.entry._config import ConfigFollower, FRESH_LEASE_S
from wigeonford.entry._published import EntryConfig
from wigeonford.errors import Code, PeerError, RequestRefused
from wigeonford.events import Event, EventLog
from wigeonford.leases import (
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
)
from wigeonford.messages.link import LinkLeaseAnswer, LinkLeaseAsk
from wigeonford.messages.object import Member
from wigeonford.model import Link, RequestClass
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.policy import LinkDemand, LinkShare
from wigeonford.settings import Address

TERM_S: Final = 3.0
ASK_INTERVAL_S: Final = 1.0
ASK_TIMEOUT_S: Final = 0.5
POLL_S: Final = 0.02
MAX_WAIT_S: Final = 0.5
RETRY_AFTER_S: Final = 1.0


@dataclass(slots=True)
class _Outgoing:
    """Hold this VM's part of one link that leaves its region."""

    link: Link
    holder: LeaseHolder
    share: LinkShare
    demand: LinkDemand


class LinkLeases:
    """Hold shares of the links out of this VM's region.

    The first entry VM of the region by name grants them. One that takes
    over waits until any other's roster and grants have run out.
    """

    def __init__(
        self,
        name: str,
        availability_zone: str,
        config: ConfigFollower,
        make_link: PeerLink,
        log: EventLog,
    ) -> None:
        self._name = name
        self._run = f"{name}/{uuid.uuid4().hex}"
        self._zone = availability_zone
        self._config = config
        self._make_link = make_link
        self._log = log
        self._outgoing: dict[str, _Outgoing] = {}
        self._grantors: dict[str, LeaseGrantor] = {}
        self._owner: Member | None = None
        self._peer: PeerClient | None = None
        self._task: asyncio.Task[None] | None = None
        config.on_change(self._follow)

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(LinkLeaseAsk, self._answer)

    async def start(self) -> None:
        """Begin to ask for shares."""
        self._task = asyncio.create_task(self._keep_asking())

    async def stop(self) -> None:
        """Stop asking; the leases run out."""
        await end_task(self._task)
        if self._peer is not None:
            await self._peer.close()

    async def carry(
        self, region: str, kind: RequestClass, size: int, deadline_s: float
    ) -> None:
        """Wait until `size` bytes may go to a region.

        Raise `RequestRefused` with LINK_BUDGET when they may not in time.
        A region without a link object has no bound.
        """
        outgoing = self._outgoing.get(region)
        if outgoing is None:
            return
        outgoing.demand.note(size)
        left = size
        while left > 0:
            piece = min(left, max(1, outgoing.share.largest(kind)))
            await self._spend(outgoing.share, kind, piece, deadline_s)
            left -= piece

    async def _spend(
        self, share: LinkShare, kind: RequestClass, size: int, until_s: float
    ) -> None:
        while not share.spend(kind, size, time.monotonic()):
            if time.monotonic() + POLL_S > until_s:
                raise RequestRefused(
                    Code.LINK_BUDGET, retry_after_s=RETRY_AFTER_S
                )
            await asyncio.sleep(POLL_S)

    def _follow(self, config: EntryConfig) -> None:
        zones = config.objects.availability_zones
        home = zones.get(self._zone)
        if home is None:
            return
        links = {
            link.to_region: link
            for link in config.objects.links.values()
            if link.from_region == home.region
        }
        for region in self._outgoing.keys() - links.keys():
            del self._outgoing[region]
        for region, link in links.items():
            held = self._outgoing.get(region)
            if held is None or held.link != link:
                self._outgoing[region] = self._open(link)
        near = [
            member
            for member in config.members.values()
            if member.availability_zone in zones
            and zones[member.availability_zone].region == home.region
        ]
        owner = min(near, key=lambda member: member.name, default=None)
        self._follow_owner(owner, list(links.values()))

    def _open(self, link: Link) -> _Outgoing:
        now_s = time.monotonic()
        return _Outgoing(
            link,
            LeaseHolder(self._run, TERM_S),
            LinkShare(link.interactive_part, now_s),
            LinkDemand(_bytes_per_s(link)),
        )

    def _follow_owner(self, owner: Member | None, links: list[Link]) -> None:
        if owner != self._owner:
            self._owner = owner
            self._grantors.clear()
        if owner is None or owner.name != self._name:
            return
        names = {link.name for link in links}
        for name in self._grantors.keys() - names:
            del self._grantors[name]
        for link in links:
            grantor = self._grantors.get(link.name)
            if grantor is None:
                since_s = time.monotonic() + FRESH_LEASE_S
                self._grantors[link.name] = LeaseGrantor(
                    _bytes_per_s(link), TERM_S, since_s
                )
            else:
                grantor.capacity = _bytes_per_s(link)

    async def _keep_asking(self) -> None:
        asked_at_s = time.monotonic()
        while True:
            await asyncio.sleep(ASK_INTERVAL_S)
            elapsed_s = time.monotonic() - asked_at_s
            asked_at_s = time.monotonic()
            for outgoing in list(self._outgoing.values()):
                await self._renew(outgoing, elapsed_s)

    async def _renew(self, outgoing: _Outgoing, elapsed_s: float) -> None:
        wanted = outgoing.demand.wanted(elapsed_s)
        request = outgoing.holder.ask(wanted, time.monotonic())
        try:
            grant = await self._ask(outgoing.link.name, request)
            outgoing.holder.accept(grant)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
        now_s = time.monotonic()
        outgoing.share.resize(outgoing.holder.amount(now_s), now_s)

    async def _ask(self, link: str, request: LeaseRequest) -> LeaseGrant:
        owner = self._owner
        if owner is None:
            raise PeerError(Code.PEER_UNREACHABLE, "no grantor")
        if owner.name == self._name:
            return self._grant(link, request)
        message = LinkLeaseAsk(
            link,
            request.holder,
            request.number,
            request.held,
            request.wanted,
        )
        peer = await self._link_to(owner)
        answer = await peer.request(message, ASK_TIMEOUT_S)
        assert isinstance(answer, LinkLeaseAnswer), "an ask gets its answer"
        return LeaseGrant(answer.number, answer.amount)

    async def _link_to(self, owner: Member) -> PeerClient:
        address = Address(owner.host, owner.peer_port)
        if self._peer is None or self._peer.address != address:
            if self._peer is not None:
                await self._peer.close()
            self._peer = self._make_link(address)
        return self._peer

    async def _answer(self, ask: LinkLeaseAsk) -> LinkLeaseAnswer:
        request = LeaseRequest(ask.holder, ask.number, ask.held, ask.wanted)
        grant = self._grant(ask.link, request)
        return LinkLeaseAnswer(grant.number, grant.amount)

    def _grant(self, link: str, request: LeaseRequest) -> LeaseGrant:
        """Grant only while no other VM can take itself for the grantor."""
        now_s = time.monotonic()
        grantor = self._grantors.get(link)
        if grantor is None or not self._config.is_fresh(now_s):
            raise PeerError(Code.LINK_BUDGET, "not the grantor")
        return grantor.request(request, now_s)


def _bytes_per_s(link: Link) -> float:
    return link.bits_per_s / 8
