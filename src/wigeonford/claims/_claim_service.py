"""Claim service: this replica's registers and rounds among replicas."""

import asyncio
from collections.abc import Coroutine
import hashlib
import random
import time
from typing import Any, Final

from wigeonford._tasks import cancel_tasks
from wigeonford.claims._claim_rounds import (
    close_round,
    make_closing_row,
    open_round,
    OutgoingRequest,
    Round,
    RoundRunner,
    WinPath,
)
from wigeonford.claims._proposer import (
    Decision,
    majority_size,
    RowState,
    UNAVAILABLE,
)
from wigeonford.claims._register_store import RegisterStore
from wigeonford.claims._registers import RegisterRequest
from wigeonford.control._store import StorageError
from wigeonford.errors import Code, PeerError, WigeonfordError
from wigeonford.events import Event, EventLog
from wigeonford.messages.claim import (
    ClaimRow,
    RegisterAbandon,
    RegisterAccept,
    RegisterPage,
    RegisterPrepare,
    RegisterReply,
    RegisterScan,
    RegisterVote,
)
from wigeonford.messages.object import ClaimClose, ClaimOpen, ClaimReply
from wigeonford.peer import Done, PeerClient, PeerServer

PHASE_TIMEOUT_S: Final = 0.6
ROUND_TIMEOUT_S: Final = 2.0
REJOIN_WAIT_S: Final = 2.5
REJOIN_RETRY_S: Final = 0.5
BACK_OFF_S: Final = 0.05
MAX_SCAN_REGISTERS: Final = 500
MAX_REMEMBERED_CLAIMANTS: Final = 10_000
EXPIRE_INTERVAL_S: Final = 60.0
READY_FLAG: Final = "ready"
_KEY_BYTES: Final = 16
REPLICA_STOPPING_ERROR: Final = PeerError(
    Code.CLAIM_UNAVAILABLE, "the replica is stopping"
)


def register_key(account: str, idempotency_key: str) -> bytes:
    """Return the register key of an account's idempotency key."""
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for part in (account, idempotency_key):
        content = part.encode()
        digest.update(len(content).to_bytes(4))
        digest.update(content)
    return digest.digest()


class ClaimService:
    """Serve this replica's registers and run rounds for entry VMs.

    A replica that is new or has lost its registers first copies those of
    other replicas: of a majority, or of the one other replica in a pair.
    Until then it does not vote. It begins to copy after `REJOIN_WAIT_S`,
    which is longer than `ROUND_TIMEOUT_S`: every round that may have
    counted one of its lost votes has then ended.
    """

    def __init__(
        self,
        store: RegisterStore,
        peers: dict[str, PeerClient],
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._peers = peers
        self._log = log
        self._rng = rng
        self._replica_count = len(peers) + 1
        self._request_queue: asyncio.Queue[
            tuple[RegisterRequest, asyncio.Future[RegisterReply]]
        ] = asyncio.Queue()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ready = asyncio.Event()
        self._claimants: dict[str, None] = {}

    def attach(self, server: PeerServer) -> None:
        """Register the message handlers."""
        server.handle(ClaimOpen, self.open)
        server.handle(ClaimClose, self.close)
        for message_type in (
            RegisterVote,
            RegisterPrepare,
            RegisterAccept,
            RegisterAbandon,
        ):
            server.handle(message_type, self._submit)
        server.handle(RegisterScan, self._serve_scan)

    async def start(self) -> None:
        """Begin to serve, or first copy registers that were lost."""
        self._spawn(self._apply_batches())
        self._spawn(self._expire_registers())
        if self._replica_count == 1 or self._was_ready():
            self._ready.set()
        else:
            self._spawn(self._rejoin())

    def _was_ready(self) -> bool:
        """Return whether the store is known to hold all its registers."""
        try:
            return self._store.has_flag(READY_FLAG)
        except StorageError as exc:
            self._log.emit(Event.TASK_FAILED, detail=str(exc))
            return False

    async def stop(self) -> None:
        """Stop serving and close the store."""
        self._ready.clear()
        await cancel_tasks(self._tasks)
        # A handler left waiting would keep its link open forever.
        while not self._request_queue.empty():
            _fail_requests(
                [self._request_queue.get_nowait()], REPLICA_STOPPING_ERROR
            )
        for peer in self._peers.values():
            await peer.close()
        self._store.close()

    @property
    def is_ready(self) -> bool:
        """Return whether this replica votes in rounds."""
        return self._ready.is_set()

    def count(self) -> int:
        """Return how many registers this replica stores."""
        return self._store.count()

    async def open(self, message: ClaimOpen) -> ClaimReply:
        """Run the round that claims a request."""
        if not self._remember_claimant(message.claimant):
            raise PeerError(
                Code.BAD_ARGUMENT, "a claimant may open only one claim"
            )
        key = register_key(message.account, message.idempotency_key)
        row = ClaimRow(
            message.fingerprint,
            message.claimant,
            time.time(),
            RowState.OPEN.value,
        )
        runner = RoundRunner(open_round(key, row, self._replica_count))
        started_s = time.monotonic()
        decision = await self._run_round(runner, started_s + ROUND_TIMEOUT_S)
        direct = runner.phase == 1
        if decision.code is not Code.OK and not direct:
            self._spawn(self._release_key(key, row))
        return ClaimReply(
            decision.code.number, decision.outcome, row.opened_at_s, direct
        )

    def _remember_claimant(self, claimant: str) -> bool:
        """Remember a claimant; return whether it is new.

        A round that does not win abandons its claimant's votes. A second
        round of the same claimant could abandon the votes with which the
        first one has won.
        """
        if claimant in self._claimants:
            return False
        self._claimants[claimant] = None
        if len(self._claimants) > MAX_REMEMBERED_CLAIMANTS:
            del self._claimants[next(iter(self._claimants))]
        return True

    async def close(self, message: ClaimClose) -> Done:
        """Run the round that closes a claim; raise `PeerError` on failure."""
        key = register_key(message.account, message.idempotency_key)
        row = ClaimRow(
            message.fingerprint,
            message.claimant,
            message.opened_at_s,
            RowState.OPEN.value,
        )
        closing = make_closing_row(
            row, ran=message.ran, outcome=message.outcome
        )
        won = WinPath.RECOVERY if message.won else WinPath.NOT_WON
        if message.won and message.direct:
            won = WinPath.OPEN_BALLOT
        decision = await self._run_closing_round(
            close_round(key, closing, self._replica_count, won)
        )
        if decision.code is not Code.OK:
            raise PeerError(Code.CLAIM_UNAVAILABLE, "claim not closed")
        return Done()

    async def _release_key(self, key: bytes, row: ClaimRow) -> None:
        """Release a key that a lost round may have written."""
        closing = make_closing_row(row, ran=False, outcome=None)
        await self._run_closing_round(
            close_round(key, closing, self._replica_count, WinPath.NOT_WON)
        )

    async def _run_closing_round(self, claim_round: Round) -> Decision:
        deadline_s = time.monotonic() + ROUND_TIMEOUT_S
        return await self._run_round(RoundRunner(claim_round), deadline_s)

    async def _run_round(
        self, runner: RoundRunner, deadline_s: float
    ) -> Decision:
        """Run a round; return `UNAVAILABLE` if it ends past its deadline."""
        reply_queue: asyncio.Queue[tuple[int, RegisterReply]] = asyncio.Queue()
        await self._broadcast(runner.start(), reply_queue)
        while runner.decision is None:
            phase = runner.phase
            timeout_s = min(PHASE_TIMEOUT_S, deadline_s - time.monotonic())
            try:
                async with asyncio.timeout(timeout_s):
                    reply_phase, reply = await reply_queue.get()
                outgoing = runner.on_reply(reply_phase, reply)
            except TimeoutError:
                outgoing = runner.on_timeout(phase)
            await self._broadcast(outgoing, reply_queue)
        if time.monotonic() > deadline_s:
            return UNAVAILABLE
        return runner.decision

    async def _broadcast(
        self,
        outgoing: list[OutgoingRequest],
        reply_queue: asyncio.Queue[tuple[int, RegisterReply]],
    ) -> None:
        for item in outgoing:
            if item.backs_off:
                await asyncio.sleep(self._rng.uniform(0, BACK_OFF_S))
            self._spawn(self._send_to_self(item, reply_queue))
            for peer in self._peers.values():
                self._spawn(self._send_to_peer(peer, item, reply_queue))

    async def _send_to_self(
        self,
        item: OutgoingRequest,
        reply_queue: asyncio.Queue[tuple[int, RegisterReply]],
    ) -> None:
        try:
            reply = await self._submit(item.request)
        except WigeonfordError:
            return
        reply_queue.put_nowait((item.phase, reply))

    async def _send_to_peer(
        self,
        peer: PeerClient,
        item: OutgoingRequest,
        reply_queue: asyncio.Queue[tuple[int, RegisterReply]],
    ) -> None:
        try:
            reply = await peer.request(item.request, ROUND_TIMEOUT_S)
        except PeerError:
            return
        reply_queue.put_nowait((item.phase, reply))

    async def _submit(self, request: RegisterRequest) -> RegisterReply:
        """Apply a request to this replica; return the reply once synced."""
        if not self._ready.is_set():
            raise PeerError(
                Code.CLAIM_UNAVAILABLE,
                "the replica is still copying registers",
            )
        fut: asyncio.Future[RegisterReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._request_queue.put_nowait((request, fut))
        return await fut

    async def _apply_batches(self) -> None:
        while True:
            batch = [await self._request_queue.get()]
            while not self._request_queue.empty():
                batch.append(self._request_queue.get_nowait())
            requests = [request for request, _ in batch]
            try:
                replies = await asyncio.to_thread(
                    self._store.apply_requests, requests, time.time()
                )
            except asyncio.CancelledError:
                _fail_requests(batch, REPLICA_STOPPING_ERROR)
                raise
            except WigeonfordError as exc:
                self._log.emit(Event.TASK_FAILED, detail=str(exc))
                _fail_requests(batch, exc)
                continue
            except Exception as exc:
                # Later requests are applied; these must not wait for good.
                self._log.emit(Event.TASK_FAILED, exc_info=exc)
                _fail_requests(batch, PeerError(Code.INTERNAL, repr(exc)))
                continue
            for (_, fut), reply in zip(batch, replies, strict=True):
                if not fut.done():
                    fut.set_result(reply)

    async def _expire_registers(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            try:
                await asyncio.to_thread(
                    self._store.delete_expired, time.time()
                )
            except WigeonfordError as exc:
                self._log.emit(Event.TASK_FAILED, detail=str(exc))

    async def _serve_scan(self, message: RegisterScan) -> RegisterPage:
        limit = min(message.limit, MAX_SCAN_REGISTERS)
        return await asyncio.to_thread(
            self._store.read_page, message.after, limit
        )

    async def _rejoin(self) -> None:
        await asyncio.sleep(REJOIN_WAIT_S)
        copied: set[str] = set()
        while not self._ready.is_set():
            try:
                await self._copy_registers(copied)
            except StorageError as exc:
                self._log.emit(Event.TASK_FAILED, detail=str(exc))
            await asyncio.sleep(REJOIN_RETRY_S)

    async def _copy_registers(self, copied: set[str]) -> None:
        """Copy from replicas not in `copied`; vote once they suffice."""
        for name in self._peers.keys() - copied:
            if await self._copy_from(name):
                copied.add(name)
        if len(copied) < min(
            majority_size(self._replica_count), len(self._peers)
        ):
            return
        await asyncio.to_thread(self._store.set_flag, READY_FLAG)
        self._ready.set()
        self._log.emit(Event.CLAIMS_READY, copied=sorted(copied))

    async def _copy_from(self, name: str) -> bool:
        after = b""
        while True:
            scan = RegisterScan(after, MAX_SCAN_REGISTERS)
            try:
                page = await self._peers[name].request(scan, ROUND_TIMEOUT_S)
            except PeerError:
                return False
            if not page.registers:
                return True
            await asyncio.to_thread(
                self._store.merge_copies, page.registers, time.time()
            )
            after = page.registers[-1].key

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _fail_requests(
    batch: list[tuple[RegisterRequest, asyncio.Future[RegisterReply]]],
    exc: WigeonfordError,
) -> None:
    for _, fut in batch:
        if not fut.done():
            fut.set_exception(PeerError(exc.code, exc.detail))
