"""Load of the control bench: operators, claimants and a revision watch."""

import asyncio
import random
import time
from typing import Final
import uuid

from wigeonford.bench._control_cluster import ControlCluster
from wigeonford.bench._control_records import ControlRecords
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
CONCURRENT_RACES: Final = 4
CLAIMANTS_PER_RACE: Final = 3
PAUSE_S: Final = 0.02
CLAIM_PAUSE_S: Final = 0.1
OUTCOME: Final = Outcome(200, (), b"done")
WATCH_INTERVAL_S: Final = 0.01
MAX_ATTEMPTS: Final = 20


class ControlLoad:
    """Send changes and claims to randomly chosen control replicas."""

    def __init__(
        self,
        cluster: ControlCluster,
        records: ControlRecords,
        rng: random.Random,
    ) -> None:
        self._cluster = cluster
        self._records = records
        self._rng = rng
        self._edits = 0
        self._claims = 0

    def client(self) -> OperatorClient:
        """Return a client of a random running replica."""
        daemon = self._rng.choice(list(self._cluster.controls.values()))
        return OperatorClient(
            (daemon.operator_address,), BENCH_SECRETS.operator, "bench"
        )

    async def run_operator(self) -> None:
        """Change random client accounts until cancelled."""
        while True:
            name = self._rng.choice(ACCOUNTS)
            version = await self._read_version(name)
            if version is not None:
                await self._change(name, version)
            await asyncio.sleep(PAUSE_S)

    async def _read_version(self, name: str) -> int | None:
        expected = self._records.newest_version(name)
        try:
            rows = await self.client().objects("client_accounts", name)
        except (PeerError, ChangeRejected) as exc:
            self._records.refused[exc.code.name] += 1
            return None
        version = rows[0].version if rows else 0
        self._records.stale_reads += version < expected
        return version

    async def _change(self, name: str, version: int) -> None:
        """Send a change; retry with the same id until its outcome is known.

        Count it as unknown after `MAX_ATTEMPTS`.
        """
        self._edits += 1
        data = {"name": name, "rate_per_s": self._edits, "burst": 1.0}
        edits = (Edit("client_accounts", name, version, data),)
        change_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        for _ in range(MAX_ATTEMPTS):
            try:
                result = await self.client().change(change_id, edits)
            except PeerError as exc:
                self._records.refused[exc.code.name] += 1
                await asyncio.sleep(PAUSE_S)
                continue
            except ChangeRejected as exc:
                self._records.refused[exc.code.name] += 1
                if exc.code is Code.VERSION_CONFLICT:
                    return
                await asyncio.sleep(PAUSE_S)
                continue
            self._records.record_accepted(
                change_id,
                name,
                version + 1,
                result["revision"],
                time.monotonic(),
            )
            return
        self._records.unknown += 1

    async def run_claim_races(self) -> None:
        """Claim each request concurrently through several replicas."""
        while True:
            self._claims += 1
            key = f"claim-{self._claims}"
            daemons = list(self._cluster.controls.values())
            self._rng.shuffle(daemons)
            addresses = [daemon.peer_address for daemon in daemons]
            await asyncio.gather(
                *(
                    self._claim_request(key, addresses[n:] + addresses[:n])
                    for n in range(min(CLAIMANTS_PER_RACE, len(addresses)))
                )
            )
            await asyncio.sleep(CLAIM_PAUSE_S)

    async def _claim_request(self, key: str, addresses: list[Address]) -> None:
        """Claim a request and close the claim, as an entry VM does.

        A claimant makes one or two such attempts.
        """
        clients = tuple(
            PeerClient("bench", address, BENCH_SECRETS.peer, EventLog())
            for address in addresses
        )
        claims = ControlClaims(clients, EventLog())
        request = ClaimRequest("account", key, b"same")
        try:
            for _ in range(self._rng.randint(1, 2)):
                ticket = await claims.open(request)
                if ticket.reply.code == Code.OK.number:
                    self._records.claimants[key].add(ticket.message.claimant)
                    claims.close(ticket, ran=True, outcome=OUTCOME)
        except PeerError as exc:
            self._records.refused[exc.code.name] += 1
        finally:
            await claims.stop()
            await asyncio.gather(*(client.close() for client in clients))

    async def run_key_withdrawal(self, after_s: float) -> None:
        """Withdraw a key `after_s` after its issue.

        Measure how long entry VMs accept it after the withdrawal.
        """
        account = ACCOUNTS[0]
        while not self._records.newest_version(account):
            await asyncio.sleep(PAUSE_S)
        key = await self._retry_until_accepted(
            lambda client, change_id: client.issue_key(change_id, account)
        )
        assert isinstance(key, str), "issuing a key returns its text"
        digest = hash_key(BENCH_SECRETS.key_hash, key)
        await asyncio.sleep(after_s)
        key_id = key.split("_")[1]
        await self._retry_until_accepted(
            lambda client, change_id: client.withdraw_key(change_id, key_id)
        )
        withdrawn_at_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            entries = self._cluster.entries.values()
            if any(_accepts_key(entry, digest, now_s) for entry in entries):
                served_s = now_s - withdrawn_at_s
                self._records.withdrawn_served_s = max(
                    served_s, self._records.withdrawn_served_s
                )
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def _retry_until_accepted(self, send: object) -> object:
        assert callable(send), "`send` makes a request"
        change_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        while True:
            try:
                return await send(self.client(), change_id)
            except (PeerError, ChangeRejected) as exc:
                self._records.refused[exc.code.name] += 1
                await asyncio.sleep(PAUSE_S)

    async def measure_propagation(self) -> None:
        """Measure the time until accepted revisions are in force.

        A revision is in force once all entry VMs have reached it. Decreases
        of an entry VM's revision are counted.
        """
        last_revisions = dict.fromkeys(self._cluster.entries, 0)
        while True:
            for name, entry in self._cluster.entries.items():
                revision = entry.config.current.revision
                self._records.entry_reverts += revision < last_revisions[name]
                last_revisions[name] = revision
            lowest_revision = min(last_revisions.values())
            now_s = time.monotonic()
            for revision in list(self._records.accepted_at_s):
                if revision <= lowest_revision:
                    at_s = self._records.accepted_at_s.pop(revision)
                    self._records.in_force_s.append(now_s - at_s)
            await asyncio.sleep(WATCH_INTERVAL_S)


def _accepts_key(entry: EntryDaemon, digest: bytes, now_s: float) -> bool:
    key_record = entry.config.current.keys_by_digest.get(digest)
    known = key_record is not None and not key_record.withdrawn
    return known and entry.config.is_fresh(now_s)
