"""Leased bandwidth of inter-region links, spent per byte sent."""

import asyncio
from dataclasses import dataclass
import time
from typing import Final
import uuid

from wigeonford._tasks import cancel_task
from wigeonford.entry._config import ConfigFollower, FRESH_LEASE_S
from wigeonford.entry._published import EntryConfig
from wigeonford.entry._quota_client import PeerClientFactory
from wigeonford.errors import Code, PeerError, RequestRejected
from wigeonford.events import Event, EventLog
from wigeonford.leases import (
    LeaseGrant,
    LeaseGrantor,
    LeaseHolder,
    LeaseRequest,
)
from wigeonford.messages.link import LinkLeaseReply, LinkLeaseRequest
from wigeonford.messages.object import Member
from wigeonford.model import Link, RequestClass
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.policy import LinkDemand, LinkQuota
from wigeonford.settings import Address

LEASE_TERM_S: Final = 3.0
REQUEST_INTERVAL_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 0.5
POLL_INTERVAL_S: Final = 0.02
MAX_WAIT_S: Final = 0.5
RETRY_AFTER_S: Final = 1.0


@dataclass(slots=True)
class _OutgoingLink:
    """Hold this VM's lease on one link that leaves its region."""

    link: Link
    holder: LeaseHolder
    quota: LinkQuota
    demand: LinkDemand


class LinkLeases:
    """Lease bandwidth of the links that leave this VM's region.

    The first entry VM of the region by name is the grantor. A new grantor
    waits until the configuration lease of the previous one and the leases
    that it granted have expired.
    """

    def __init__(
        self,
        name: str,
        availability_zone: str,
        config: ConfigFollower,
        make_client: PeerClientFactory,
        log: EventLog,
    ) -> None:
        self._name = name
        self._holder_id = f"{name}/{uuid.uuid4().hex}"
        self._zone = availability_zone
        self._config = config
        self._make_client = make_client
        self._log = log
        self._outgoing: dict[str, _OutgoingLink] = {}
        self._grantors: dict[str, LeaseGrantor] = {}
        self._owner: Member | None = None
        self._owner_client: PeerClient | None = None
        self._task: asyncio.Task[None] | None = None
        config.on_change(self._apply_config)

    def attach(self, server: PeerServer) -> None:
        """Register the message handler."""
        server.handle(LinkLeaseRequest, self._receive_request)

    async def start(self) -> None:
        """Start to request leases periodically."""
        self._task = asyncio.create_task(self._request_periodically())

    async def stop(self) -> None:
        """Stop requesting; the leases expire."""
        await cancel_task(self._task)
        if self._owner_client is not None:
            await self._owner_client.close()

    async def acquire_bytes(
        self,
        region: str,
        request_class: RequestClass,
        size_bytes: int,
        deadline_s: float,
    ) -> None:
        """Wait until `size_bytes` may be sent to a region.

        Raise `RequestRejected` with LINK_BUDGET if this takes past the
        deadline. Traffic to a region without a link object is unlimited.
        """
        outgoing = self._outgoing.get(region)
        if outgoing is None:
            return
        outgoing.demand.add(size_bytes)
        unsent_bytes = size_bytes
        while unsent_bytes > 0:
            piece_bytes = min(
                unsent_bytes,
                max(1, outgoing.quota.max_send_bytes(request_class)),
            )
            await self._spend(
                outgoing.quota, request_class, piece_bytes, deadline_s
            )
            unsent_bytes -= piece_bytes

    async def _spend(
        self,
        quota: LinkQuota,
        request_class: RequestClass,
        size_bytes: int,
        until_s: float,
    ) -> None:
        while not quota.spend(request_class, size_bytes, time.monotonic()):
            if time.monotonic() + POLL_INTERVAL_S > until_s:
                raise RequestRejected(
                    Code.LINK_BUDGET, retry_after_s=RETRY_AFTER_S
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    def _apply_config(self, config: EntryConfig) -> None:
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
            current = self._outgoing.get(region)
            if current is None or current.link != link:
                self._outgoing[region] = self._create_outgoing(link)
        region_members = [
            member
            for member in config.members.values()
            if member.availability_zone in zones
            and zones[member.availability_zone].region == home.region
        ]
        owner = min(
            region_members, key=lambda member: member.name, default=None
        )
        self._update_grantors(owner, list(links.values()))

    def _create_outgoing(self, link: Link) -> _OutgoingLink:
        now_s = time.monotonic()
        return _OutgoingLink(
            link,
            LeaseHolder(self._holder_id, LEASE_TERM_S),
            LinkQuota(link.interactive_part, now_s),
            LinkDemand(_bytes_per_s(link)),
        )

    def _update_grantors(
        self, owner: Member | None, links: list[Link]
    ) -> None:
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
                grants_from_s = time.monotonic() + FRESH_LEASE_S
                self._grantors[link.name] = LeaseGrantor(
                    _bytes_per_s(link), LEASE_TERM_S, grants_from_s
                )
            else:
                grantor.capacity = _bytes_per_s(link)

    async def _request_periodically(self) -> None:
        requested_at_s = time.monotonic()
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            elapsed_s = time.monotonic() - requested_at_s
            requested_at_s = time.monotonic()
            for outgoing in list(self._outgoing.values()):
                await self._renew(outgoing, elapsed_s)

    async def _renew(self, outgoing: _OutgoingLink, elapsed_s: float) -> None:
        wanted = outgoing.demand.wanted(elapsed_s)
        request = outgoing.holder.next_request(wanted, time.monotonic())
        try:
            grant = await self._request_lease(outgoing.link.name, request)
            outgoing.holder.accept(grant)
        except PeerError as exc:
            self._log.emit(Event.PEER_LOST, detail=exc.detail)
        now_s = time.monotonic()
        outgoing.quota.resize(outgoing.holder.amount(now_s), now_s)

    async def _request_lease(
        self, link: str, request: LeaseRequest
    ) -> LeaseGrant:
        owner = self._owner
        if owner is None:
            raise PeerError(
                Code.PEER_UNREACHABLE, "no grantor is known for the link"
            )
        if owner.name == self._name:
            return self._grant(link, request)
        message = LinkLeaseRequest(
            link,
            request.holder,
            request.number,
            request.held,
            request.wanted,
        )
        client = await self._client_for(owner)
        reply = await client.request(message, REQUEST_TIMEOUT_S)
        assert isinstance(reply, LinkLeaseReply), (
            "a LinkLeaseRequest gets a LinkLeaseReply"
        )
        return LeaseGrant(reply.number, reply.amount)

    async def _client_for(self, owner: Member) -> PeerClient:
        address = Address(owner.host, owner.peer_port)
        if self._owner_client is None or self._owner_client.address != address:
            if self._owner_client is not None:
                await self._owner_client.close()
            self._owner_client = self._make_client(address)
        return self._owner_client

    async def _receive_request(
        self, message: LinkLeaseRequest
    ) -> LinkLeaseReply:
        request = LeaseRequest(
            message.holder, message.number, message.held, message.wanted
        )
        grant = self._grant(message.link, request)
        return LinkLeaseReply(grant.number, grant.amount)

    def _grant(self, link: str, request: LeaseRequest) -> LeaseGrant:
        """Grant a lease, only while this VM is certain to be the grantor.

        With a stale configuration another VM could be the grantor by now.
        """
        now_s = time.monotonic()
        grantor = self._grantors.get(link)
        if grantor is None or not self._config.is_fresh(now_s):
            raise PeerError(
                Code.LINK_BUDGET, "this VM is not the grantor of the link"
            )
        return grantor.request(request, now_s)


def _bytes_per_s(link: Link) -> float:
    return link.bits_per_s / 8
