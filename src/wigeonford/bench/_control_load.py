"""Operators that race and resend, claimants, and watchers of entry VMs."""

import asyncio
import random
import time
from typing import Final
import uuid

from wigeonford.bench._control_books import ControlBooks
from wigeonford.bench._control_cluster import ControlCluster
from wigeonford.bench._settings import BENCH_SECRETS
from wigeonford.cli._operator import OperatorClient
from wigeonford.control import Edit
from wigeonford.entry import ClaimRequest, ControlClaims, EntryDaemon
from wigeonford.errors import ChangeRejected, Code, PeerError
from wigeonford.events import EventLog
from wigeonford.messages.object import Outcome
from wigeonford.model import hash_key
from wigeonford.peer import PeerClient
from wigeonford.settings import Address

ACCOUNTS: Final = tuple(f"account-{n}" for n in range(8))
OPERATORS: Final = 6
CLAIM_RACES: Final = 4
CLAIMANTS: Final = 3
PAUSE_S: Final = 0.02
CLAIM_PAUSE_S: Final = 0.1
OUTCOME: Final = Outcome(200, (), b"done")
WATCH_INTERVAL_S: Final = 0.01
RESENDS: Final = 20


class ControlLoad:
    """Drive control through replicas picked at random."""

    def __init__(
        self, cluster: ControlCluster, books: ControlBooks, rng: random.Random
    ) -> None:
        self._cluster = cluster
        self._books = books
        self._rng = rng
        self._edits = 0
        self._claims = 0

    def client(self) -> OperatorClient:
        """Return a client of one replica that runs."""
        daemon = self._rng.choice(list(self._cluster.controls.values()))
        return OperatorClient(
            (daemon.operator_address,), BENCH_SECRETS.operator, "bench"
        )

    async def operate(self) -> None:
        """Change objects until cancelled."""
        while True:
            name = self._rng.choice(ACCOUNTS)
            version = await self._read_version(name)
            if version is not None:
                await self._change(name, version)
            await asyncio.sleep(PAUSE_S)

    async def _read_version(self, name: str) -> int | None:
        expected = self._books.newest_version(name)
        try:
            found = await self.client().objects("client_accounts", name)
        except (PeerError, ChangeRejected) as exc:
            self._books.refused[exc.code.name] += 1
            return None
        version = found[0].version if found else 0
        self._books.stale_reads += version < expected
        return version

    async def _change(self, name: str, version: int) -> None:
        """Send a change until its outcome is known."""
        self._edits += 1
        data = {"name": name, "rate_per_s": self._edits, "burst": 1.0}
        edits = (Edit("client_accounts", name, version, data),)
        change_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        for _ in range(RESENDS):
            try:
                answer = await self.client().change(change_id, edits)
            except PeerError as exc:
                self._books.refused[exc.code.name] += 1
                await asyncio.sleep(PAUSE_S)
                continue
            except ChangeRejected as exc:
                self._books.refused[exc.code.name] += 1
                if exc.code is Code.VERSION_CONFLICT:
                    return
                await asyncio.sleep(PAUSE_S)
                continue
            self._books.accept(
                change_id,
                name,
                version + 1,
                answer["revision"],
                time.monotonic(),
            )
            return
        self._books.unknown += 1

    async def claim(self) -> None:
        """Claim the same requests through different replicas."""
        while True:
            self._claims += 1
            key = f"claim-{self._claims}"
            daemons = list(self._cluster.controls.values())
            self._rng.shuffle(daemons)
            addresses = [daemon.peer_address for daemon in daemons]
            await asyncio.gather(
                *(
                    self._claim(key, addresses[n:] + addresses[:n])
                    for n in range(min(CLAIMANTS, len(addresses)))
                )
            )
            await asyncio.sleep(CLAIM_PAUSE_S)

    async def _claim(self, key: str, addresses: list[Address]) -> None:
        """Claim, run and complete a request, as an entry VM does; resend."""
        clients = tuple(
            PeerClient("bench", address, BENCH_SECRETS.peer, EventLog())
            for address in addresses
        )
        claims = ControlClaims(clients, EventLog())
        request = ClaimRequest("account", key, b"same")
        try:
            for _ in range(self._rng.randint(1, 2)):
                ticket = await claims.open(request)
                if ticket.answer.code == Code.OK.number:
                    self._books.claimants[key].add(ticket.message.claimant)
                    claims.close(ticket, ran=True, outcome=OUTCOME)
        except PeerError as exc:
            self._books.refused[exc.code.name] += 1
        finally:
            await claims.stop()
            await asyncio.gather(*(client.close() for client in clients))

    async def withdraw(self, after_s: float) -> None:
        """Withdraw a key and see how long entry VMs go on serving it."""
        account = ACCOUNTS[0]
        while not self._books.newest_version(account):
            await asyncio.sleep(PAUSE_S)
        key = await self._until_done(
            lambda client, change_id: client.issue_key(change_id, account)
        )
        assert isinstance(key, str), "an issued key"
        digest = hash_key(BENCH_SECRETS.key_hash, key)
        await asyncio.sleep(after_s)
        key_id = key.split("_")[1]
        await self._until_done(
            lambda client, change_id: client.withdraw_key(change_id, key_id)
        )
        began_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            entries = self._cluster.entries.values()
            if any(_serves(entry, digest, now_s) for entry in entries):
                served_s = now_s - began_s
                self._books.withdrawn_served_s = max(
                    served_s, self._books.withdrawn_served_s
                )
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _until_done(self, send: object) -> object:
        assert callable(send), "a request to send"
        change_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        while True:
            try:
                return await send(self.client(), change_id)
            except (PeerError, ChangeRejected) as exc:
                self._books.refused[exc.code.name] += 1
                await asyncio.sleep(PAUSE_S)

    async def watch(self) -> None:
        """Time how long accepted revisions take to be in force."""
        reached = dict.fromkeys(self._cluster.entries, 0)
        while True:
            for name, entry in self._cluster.entries.items():
                revision = entry.config.current.revision
                self._books.entry_reverts += revision < reached[name]
                reached[name] = revision
            low = min(reached.values())
            now_s = time.monotonic()
            for revision in list(self._books.accepted_at_s):
                if revision <= low:
                    at_s = self._books.accepted_at_s.pop(revision)
                    self._books.in_force_s.append(now_s - at_s)
            await asyncio.sleep(WATCH_INTERVAL_S)


def _serves(entry: EntryDaemon, digest: bytes, now_s: float) -> bool:
    held = entry.config.current.keys_by_digest.get(digest)
    known = held is not None and not held.withdrawn
    return known and entry.config.is_fresh(now_s)
