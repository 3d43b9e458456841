"""Processes authenticate by certificate if TLS is configured."""

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
OTHER_ENTRY = "amman-b-1"


def _issue_tls(root: trustme.CA, folder: Path) -> Tls:
    """Issue a certificate signed by `root`; return its TLS settings."""
    folder.mkdir()
    issued = root.issue_cert("127.0.0.1")
    tls = Tls(folder / "cert.pem", folder / "key.pem", folder / "root.pem")
    issued.cert_chain_pems[0].write_to_path(tls.certificate)
    issued.private_key_pem.write_to_path(tls.private_key)
    root.cert_pem.write_to_path(tls.root)
    return tls


async def _respond(_request: Request) -> Response:
    return Response(200, ((b"content-length", b"0"),))


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Connect with the fleet's certificate, a foreign one or none."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        root = trustme.CA()
        self.fleet_tls = _issue_tls(root, Path(folder.name) / "fleet")
        self.foreign_tls = _issue_tls(
            trustme.CA(), Path(folder.name) / "foreign"
        )

    async def test_idle_caller_that_ignores_a_close_holds_up_no_stop(
        self,
    ) -> None:
        server = HttpServer(_respond, CallerLimits(), EventLog())
        address = await server.start(Address(), server_context(self.fleet_tls))
        reader, writer = await asyncio.open_connection(
            address.host, address.port, ssl=client_context(self.fleet_tls)
        )
        self.addCleanup(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertIn(b" 200 ", await reader.readline())
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        async with asyncio.timeout(20.0):
            self.assertEqual(await server.stop(60.0), 0)

    async def send_message(
        self, tls: Tls | None, secret: str = SECRET
    ) -> object:
        server = PeerServer(SECRET, EventLog())

        async def reply(_message: object) -> Done:
            return Done()

        server.handle(LeaveRoster, reply)
        address = await server.start(
            Address(), server_context(self.fleet_tls, require_peer=True)
        )
        self.addAsyncCleanup(server.stop)
        client = PeerClient(
            "vm", address, secret, EventLog(), client_context(tls)
        )
        self.addAsyncCleanup(client.close)
        return await client.request(MESSAGE, 2.0)

    async def test_peer_of_the_fleet_is_answered(self) -> None:
        self.assertEqual(await self.send_message(self.fleet_tls), Done())

    async def test_others_are_refused(self) -> None:
        cases = (
            (self.foreign_tls, SECRET),
            (None, SECRET),
            (self.fleet_tls, "x" * 16),
        )
        for tls, secret in cases:
            with (
                self.subTest(tls=tls, secret=secret),
                self.assertRaises(PeerError) as caught,
            ):
                await self.send_message(tls, secret)
            self.assertEqual(caught.exception.code, Code.PEER_UNREACHABLE)

    async def test_http_checks_the_servers_certificate(self) -> None:
        server = HttpServer(_respond, CallerLimits(), EventLog())
        address = await server.start(Address(), server_context(self.fleet_tls))
        self.addAsyncCleanup(server.stop, 0.0)
        response = await fetch(
            address, "GET", "/", context=client_context(self.fleet_tls)
        )
        self.assertEqual(response.status, 200)
        with self.assertRaises(ConnectFailed):
            await fetch(
                address, "GET", "/", context=client_context(self.foreign_tls)
            )


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """Run control and two entry VMs of a region with TLS throughout."""

    async def test_every_link_of_the_fleet_uses_tls(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        tls = _issue_tls(trustme.CA(), Path(folder.name) / "tls")
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
            for name, zone in (
                ("amman-a-1", "amman-a"),
                (OTHER_ENTRY, "amman-b"),
            )
        ]
        for entry in entries:
            await entry.start()
        peers = entries[0]._region_peers
        while OTHER_ENTRY not in peers.names:
            await asyncio.sleep(0.05)
        reply = await peers.request(
            OTHER_ENTRY, LoanRequest("1", "none", 1), 5.0
        )
        self.assertEqual(reply, LoanReply(0, 0))
        await asyncio.gather(*(entry.stop(0.0) for entry in entries))
        await control.stop()
