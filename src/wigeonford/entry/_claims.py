"""Claims of an entry VM for non-idempotent requests."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
import hashlib
import time
from typing import Final, Protocol
import uuid

from wigeonford.errors import (
    Code,
    PeerError,
    RequestRefused,
    RunState,
    WigeonfordError,
)
from wigeonford.events import Event, EventLog
from wigeonford.http import (
    CODE_HEADER,
    coded_headers,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.messages.object import (
    ClaimAnswer,
    ClaimClose,
    ClaimOpen,
    Outcome,
)
from wigeonford.peer import PeerClient

CLAIM_TIMEOUT_S: Final = 2.5
CLOSE_ATTEMPTS: Final = 8
CLOSE_RETRY_S: Final = 0.25
STOP_TIMEOUT_S: Final = 10.0
MAX_KEPT_BYTES: Final = 16384
RETRY_AFTER_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Describe a request that may run once."""

    account: str
    idempotency_key: str
    fingerprint: bytes


@dataclass(frozen=True, slots=True)
class ClaimTicket:
    """Hold a claim as it was asked for and answered."""

    message: ClaimOpen
    answer: ClaimAnswer


class Claims(Protocol):
    """Decide which request may run for an idempotency key."""

    async def open(self, request: ClaimRequest) -> ClaimTicket:
        """Return the answer; raise `PeerError` when nobody decides."""

    def close(
        self, ticket: ClaimTicket, *, ran: bool, outcome: Outcome | None
    ) -> None:
        """Complete or release a claim in the background."""


class ControlClaims:
    """Hold claims at the control replicas, the nearest one first."""

    def __init__(self, sources: tuple[PeerClient, ...], log: EventLog) -> None:
        self._sources = sources
        self._log = log
        self._closing: set[asyncio.Task[None]] = set()

    async def open(self, request: ClaimRequest) -> ClaimTicket:
        """Return the first replica's decision.

        Each try is a claimant of its own: a try that got no answer may
        have won, so it is released and never run.
        """
        failure = PeerError(Code.PEER_UNREACHABLE, "no control replica")
        for source in self._sources:
            message = ClaimOpen(
                request.account,
                request.idempotency_key,
                request.fingerprint,
                uuid.uuid4().hex,
            )
            try:
                answer = await source.request(message, CLAIM_TIMEOUT_S)
            except PeerError as exc:
                failure = exc
                if exc.code is Code.PEER_TIMEOUT:
                    lost = ClaimAnswer(exc.code.number, None, time.time())
                    self.close(
                        ClaimTicket(message, lost), ran=False, outcome=None
                    )
                continue
            assert isinstance(answer, ClaimAnswer), "a claim gets its answer"
            if answer.code != Code.CLAIM_UNAVAILABLE.number:
                return ClaimTicket(message, answer)
            failure = PeerError(Code.CLAIM_UNAVAILABLE, "no quorum")
        raise failure

    def close(
        self, ticket: ClaimTicket, *, ran: bool, outcome: Outcome | None
    ) -> None:
        """Complete or release a claim in the background."""
        message = ClaimClose(
            ticket.message.account,
            ticket.message.idempotency_key,
            ticket.message.claimant,
            ticket.message.fingerprint,
            ticket.answer.opened_at_s,
            ticket.answer.code == Code.OK.number,
            ticket.answer.direct,
            ran,
            outcome,
        )
        task = asyncio.create_task(self._close(message))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def stop(self) -> None:
        """Return once every claim has been closed, or given up."""
        if self._closing:
            await asyncio.wait(self._closing, timeout=STOP_TIMEOUT_S)

    async def _close(self, message: ClaimClose) -> None:
        for attempt in range(CLOSE_ATTEMPTS):
            source = self._sources[attempt % len(self._sources)]
            try:
                await source.request(message, CLAIM_TIMEOUT_S)
                return
            except PeerError:
                await asyncio.sleep(CLOSE_RETRY_S * (attempt + 1))
        self._log.emit(Event.CLAIM_NOT_CLOSED)


def fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a digest of what a request asks for."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


async def run_claimed(
    claims: Claims,
    request: ClaimRequest,
    run: Callable[[], Awaitable[Response]],
) -> Response:
    """Run a request at most once; answer a resend from its outcome."""
    try:
        ticket = await claims.open(request)
    except PeerError as exc:
        raise RequestRefused(
            Code.CLAIM_UNAVAILABLE, exc.detail, retry_after_s=RETRY_AFTER_S
        ) from exc
    if ticket.answer.code == Code.REPLAYED.number:
        return _replayed(ticket.answer.outcome)
    if ticket.answer.code != Code.OK.number:
        raise _claim_rejection(ticket.answer.code)
    try:
        response = await run()
    except WigeonfordError as exc:
        ran = exc.run_state is not RunState.NOT_RUN
        claims.close(ticket, ran=ran, outcome=None)
        raise
    except BaseException:
        claims.close(ticket, ran=True, outcome=None)
        raise
    claims.close(ticket, ran=True, outcome=outcome_of(response))
    return response


def outcome_of(response: Response) -> Outcome:
    """Return what is kept of an answer."""
    body = response.body
    kept = isinstance(body, bytes) and len(body) <= MAX_KEPT_BYTES
    headers = tuple(
        (name, value)
        for name, value in response.headers
        if name not in (CODE_HEADER, RUN_STATE_HEADER)
    )
    content = body if kept and isinstance(body, bytes) else None
    return Outcome(response.status, headers, content)


def _replayed(outcome: Outcome | None) -> Response:
    if outcome is None or outcome.body is None:
        raise RequestRefused(Code.OUTCOME_NOT_KEPT)
    headers = (
        *outcome.headers,
        *coded_headers(Code.REPLAYED, RunState.RAN),
    )
    return Response(outcome.status, headers, outcome.body)


def _claim_rejection(number: int) -> RequestRefused:
    code = next(code for code in Code if code.number == number)
    waits = code in (Code.CLAIM_IN_PROGRESS, Code.CLAIM_UNAVAILABLE)
    return RequestRefused(code, retry_after_s=RETRY_AFTER_S if waits else None)
