"""Processes prove who they are by certificate where TLS is set."""

import asyncio
from pathlib import Path
import tempfile
import unittest

import trustme

from wigeonford.bench import BENCH_SECRETS, load_deployment
from wigeonford.cli import edits_between, OperatorClient
from wigeonford.compose import build_control, build_entry
from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.http import ConnectFailed, fetch, HttpServer, Request, Response
from wigeonford.messages.budget import LoanReply, LoanRequest
from wigeonford.messages.object import LeaveRoster
from wigeonford.peer import Done, PeerClient, PeerServer
from wigeonford.settings import (
    Address,
    CallerLimits,
    ControlSettings,
    EntrySettings,
    Tls,
)
from wigeonford.tls import client_context, server_context

SECRET = "a-secret-of-the-peers"
MESSAGE = LeaveRoster("vm", 1)
OTHER = "amman-b-1"


def _tls(root: trustme.CA, folder: Path) -> Tls:
    """Return settings with a certificate that a root has signed."""
    folder.mkdir()
    issued = root.issue_cert("127.0.0.1")
    tls = Tls(folder / "cert.pem", folder / "key.pem", folder / "root.pem")
    issued.cert_chain_pems[0].write_to_path(tls.certificate)
    issued.private_key_pem.write_to_path(tls.private_key)
    root.cert_pem.write_to_path(tls.root)
    return tls


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Connect with the fleet's certificates, and with others."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        root = trustme.CA()
        self.ours = _tls(root, Path(folder.name) / "ours")
        self.other = _tls(trustme.CA(), Path(folder.name) / "other")

    async def ask(self, tls: Tls | None, secret: str = SECRET) -> object:
        server = PeerServer(SECRET, EventLog())

        async def answer(_message: object) -> Done:
            return Done()

        server.handle(LeaveRoster, answer)
        address = await server.start(
            Address(), server_context(self.ours, require_peer=True)
        )
        self.addAsyncCleanup(server.stop)
        client = PeerClient(
            "vm", address, secret, EventLog(), client_context(tls)
        )
        self.addAsyncCleanup(client.close)
        return await client.request(MESSAGE, 2.0)

    async def test_peer_of_the_fleet_is_answered(self) -> None:
        self.assertEqual(await self.ask(self.ours), Done())

    async def test_others_are_refused(self) -> None:
        cases = ((self.other, SECRET), (None, SECRET), (self.ours, "x" * 16))
        for tls, secret in cases:
            with (
                self.subTest(tls=tls, secret=secret),
                self.assertRaises(PeerError) as caught,
            ):
                await self.ask(tls, secret)
            self.assertEqual(caught.exception.code, Code.PEER_UNREACHABLE)

    async def test_http_checks_the_servers_certificate(self) -> None:
        async def answer(_request: Request) -> Response:
            return Response(200, ((b"content-length", b"0"),))

        server = HttpServer(answer, CallerLimits(), EventLog())
        address = await server.start(Address(), server_context(self.ours))
        self.addAsyncCleanup(server.stop, 0.0)
        good = await fetch(
            address, "GET", "/", context=client_context(self.ours)
        )
        self.assertEqual(good.status, 200)
        with self.assertRaises(ConnectFailed):
            await fetch(
                address, "GET", "/", context=client_context(self.other)
            )


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Run control and two entry VMs of a region with TLS throughout."""

    async def test_every_link_of_the_fleet_uses_tls(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        tls = _tls(trustme.CA(), Path(folder.name) / "tls")
        control = build_control(
            ControlSettings(
                "control-1",
                "amman",
                Path(folder.name) / "data",
                BENCH_SECRETS,
                tls=tls,
            ),
            EventLog(),
        )
        await control.start()
        operator = OperatorClient(
            (control.operator_address,),
            BENCH_SECRETS.operator,
            "operator",
            client_context(tls),
        )
        objects = load_deployment("guild").objects
        await operator.change("c", edits_between((), objects, prune=False))
        entries = [
            build_entry(
                EntrySettings(
                    name,
                    zone,
                    BENCH_SECRETS,
                    (control.peer_address,),
                    tls=tls,
                ),
                EventLog(),
            )
            for name, zone in (("amman-a-1", "amman-a"), (OTHER, "amman-b"))
        ]
        for entry in entries:
            await entry.start()
        peers = entries[0]._region_peers
        while OTHER not in peers.names:
            await asyncio.sleep(0.05)
        reply = await peers.request(OTHER, LoanRequest("1", "none", 1), 5.0)
        self.assertEqual(reply, LoanReply(0, 0))
        await asyncio.gather(*(entry.stop(0.0) for entry in entries))
        await control.stop()
