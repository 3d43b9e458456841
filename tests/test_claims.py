"""Claims over loopback links and disks; replicas stop or lose a disk."""

import asyncio
from pathlib import Path
import random
import shutil
import sqlite3
import tempfile
import unittest
from unittest import mock

from wigeonford.claims import _claim_service, ClaimService, RegisterStore
from wigeonford.control import StorageError
from wigeonford.errors import Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.claim import ClaimRow, RegisterVote
from wigeonford.messages.object import (
    ClaimClose,
    ClaimOpen,
    ClaimReply,
    Outcome,
)
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import Address

SECRET = "a-secret-of-the-peers"
REPLICA_NAMES = ("one", "two", "three")
OUTCOME = Outcome(200, (), b"recorded")


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Run three replicas on loopback."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = EventLog()
        self.servers: dict[str, PeerServer] = {}
        self.addresses: dict[str, Address] = {}
        self.services: dict[str, ClaimService] = {}
        for name in REPLICA_NAMES:
            await self.start_server(name, Address())
        for name in REPLICA_NAMES:
            await self.start_service(name, is_new=True)
        self.addAsyncCleanup(self.stop_all)

    async def start_server(self, name: str, address: Address) -> None:
        self.servers[name] = PeerServer(SECRET, self.log)
        self.addresses[name] = await self.servers[name].start(address)

    async def start_service(self, name: str, *, is_new: bool) -> None:
        store = RegisterStore(self.folder / name)
        if is_new:
            store.set_flag("ready")
        peers = {
            other: PeerClient(name, self.addresses[other], SECRET, self.log)
            for other in REPLICA_NAMES
            if other != name
        }
        service = ClaimService(store, peers, self.log, random.Random(1))
        service.attach(self.servers[name])
        await service.start()
        self.services[name] = service

    async def stop(self, name: str) -> None:
        await self.servers[name].stop()
        await self.services.pop(name).stop()

    async def stop_all(self) -> None:
        for name in list(self.services):
            await self.stop(name)

    async def open(
        self, replica: str, claimant: str, body: bytes = b"order"
    ) -> ClaimReply:
        message = ClaimOpen("growers", "refund-1", body, claimant)
        return await self.services[replica].open(message)

    async def close(
        self, replica: str, claimant: str, reply: ClaimReply, *, ran: bool
    ) -> None:
        message = ClaimClose(
            "growers",
            "refund-1",
            claimant,
            b"order",
            reply.opened_at_s,
            reply.code == Code.OK.number,
            reply.direct,
            ran,
            OUTCOME if ran else None,
        )
        await self.services[replica].close(message)

    async def test_race_has_at_most_one_winner(self) -> None:
        replies = await asyncio.gather(
            *(self.open(name, name) for name in REPLICA_NAMES)
        )
        codes = [reply.code for reply in replies]
        self.assertLessEqual(codes.count(Code.OK.number), 1)

    async def test_resend_gets_the_recorded_outcome(self) -> None:
        first = await self.open("one", "a")
        await self.close("one", "a", first, ran=True)
        retry = await self.open("three", "b")
        self.assertEqual(retry.code, Code.REPLAYED.number)
        self.assertEqual(retry.outcome, OUTCOME)

    async def test_other_body_is_refused(self) -> None:
        await self.open("one", "a")
        other = await self.open("two", "b", b"another order")
        self.assertEqual(other.code, Code.CLAIM_MISMATCH.number)

    async def test_released_claim_can_be_won_again(self) -> None:
        first = await self.open("one", "a")
        await self.close("one", "a", first, ran=False)
        retry = await self.open("two", "b")
        self.assertEqual(retry.code, Code.OK.number)

    async def replace_disk(self, name: str) -> None:
        address = self.addresses[name]
        await self.stop(name)
        shutil.rmtree(self.folder / name)
        await self.start_server(name, address)
        await self.start_service(name, is_new=False)

    async def test_lost_disk_never_lets_a_claim_run_again(self) -> None:
        first = await self.open("one", "a")
        self.assertEqual(first.code, Code.OK.number)
        await self.replace_disk("one")
        early = await self.open("one", "b")
        self.assertNotEqual(early.code, Code.OK.number)
        while not self.services["one"].is_ready:
            await asyncio.sleep(0.1)
        await self.stop("two")
        late = await self.open("one", "c")
        self.assertNotEqual(late.code, Code.OK.number)
        await self.close("three", "a", first, ran=True)
        retry = await self.open("one", "d")
        self.assertEqual(retry.code, Code.REPLAYED.number)

    async def test_claimant_claims_once(self) -> None:
        await self.open("one", "a")
        with self.assertRaises(PeerError):
            await self.open("one", "a")

    async def test_store_closes_amid_calls(self) -> None:
        store = RegisterStore(self.folder / "closing")
        row = ClaimRow(b"f", "a", 0.0, "open")
        votes = [RegisterVote(n.to_bytes(4), row) for n in range(2000)]
        calls = [
            asyncio.create_task(
                asyncio.to_thread(store.apply_requests, votes, 0.0)
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.01)
        store.close()
        results = await asyncio.gather(*calls, return_exceptions=True)
        for result in results:
            self.assertIsInstance(result, list | StorageError)

    async def test_no_quorum_runs_nothing(self) -> None:
        await self.stop("two")
        await self.stop("three")
        reply = await self.open("one", "a")
        self.assertEqual(reply.code, Code.CLAIM_UNAVAILABLE.number)

    async def test_a_full_disk_fails_only_its_own_calls(self) -> None:
        store = RegisterStore(self.folder / "full")
        row = ClaimRow(b"f" * 3000, "a", 0.0, "open")
        store.apply_requests([RegisterVote(b"first", row)], 0.0)
        db = store._db
        assert db is not None, "the store is open"
        pages = db.execute("PRAGMA page_count").fetchone()[0]
        db.execute(f"PRAGMA max_page_count = {pages + 1}")
        votes = [RegisterVote(n.to_bytes(4), row) for n in range(9)]
        for _ in range(2):
            with self.assertRaises(StorageError):
                store.apply_requests(votes, 0.0)
            self.assertEqual(store.count(), 1)
        db.execute("PRAGMA max_page_count = 100000")
        self.assertEqual(len(store.apply_requests(votes, 0.0)), 9)
        store.close()
        again = RegisterStore(self.folder / "full")
        self.assertEqual(again.count(), 10)
        again.close()

    async def test_a_replica_with_a_full_disk_copies_registers_later(
        self,
    ) -> None:
        first = await self.open("one", "a")
        await self.stop("three")
        shutil.rmtree(self.folder / "three")
        await self.start_server("three", self.addresses["three"])
        full = sqlite3.OperationalError("database or disk is full")
        with (
            mock.patch.object(sqlite3, "connect", side_effect=full),
            mock.patch.object(_claim_service, "REJOIN_WAIT_S", 0.01),
            mock.patch.object(_claim_service, "REJOIN_RETRY_S", 0.01),
        ):
            await self.start_service("three", is_new=False)
            await asyncio.sleep(0.3)
            self.assertFalse(self.services["three"].is_ready)
        async with asyncio.timeout(20.0):
            while not self.services["three"].is_ready:
                await asyncio.sleep(0.05)
        await self.close("three", "a", first, ran=True)
        retry = await self.open("three", "b")
        self.assertEqual(retry.code, Code.REPLAYED.number)

    async def test_unexpected_error_costs_only_its_batch(self) -> None:
        service = self.services["one"]
        row = ClaimRow(b"order", "a", 1.0, "open")
        with mock.patch.object(
            service._store, "apply_requests", side_effect=ValueError("odd")
        ):
            async with asyncio.timeout(5.0):
                with self.assertRaises(PeerError):
                    await service._submit(RegisterVote(b"key", row))
        async with asyncio.timeout(5.0):
            await service._submit(RegisterVote(b"key", row))
