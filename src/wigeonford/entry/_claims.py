"""Claims of an entry VM for non-idempotent requests."""

from collections.abc import Awaitable, Callable
import hashlib
from typing import Final, Protocol

from wigeonford.errors import Code, PeerError, RequestRefused, RunState
from wigeonford.http import (
    CODE_HEADER,
    coded_headers,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.peer import (
    ClaimAnswer,
    ClaimClose,
    ClaimOpen,
    Outcome,
    PeerClient,
)

CLAIM_TIMEOUT_S: Final = 2.0
MAX_KEPT_BYTES: Final = 16384
RETRY_AFTER_S: Final = 1.0


class Claims(Protocol):
    """Decide which request may run for an idempotency key."""

    async def open(self, message: ClaimOpen) -> ClaimAnswer:
        """Return the answer; raise `PeerError` when nobody decides."""

    async def close(self, message: ClaimClose) -> None:
        """Complete or release a claim; raise `PeerError`."""


class ControlClaims:
    """Hold claims at the control replicas."""

    def __init__(self, sources: tuple[PeerClient, ...]) -> None:
        self._sources = sources

    async def open(self, message: ClaimOpen) -> ClaimAnswer:
        """Return the first replica's answer."""
        reply = await self._request(message)
        assert isinstance(reply, ClaimAnswer), "a claim gets its answer"
        return reply

    async def close(self, message: ClaimClose) -> None:
        """Complete or release a claim."""
        await self._request(message)

    async def _request(self, message: ClaimOpen | ClaimClose) -> object:
        failure = PeerError(Code.PEER_UNREACHABLE, "no control replica")
        for source in self._sources:
            try:
                reply: object = await source.request(message, CLAIM_TIMEOUT_S)
                return reply
            except PeerError as exc:
                failure = exc
        raise failure


def fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return a digest of what a request asks for."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()


async def run_claimed(
    claims: Claims,
    message: ClaimOpen,
    run: Callable[[], Awaitable[Response]],
) -> Response:
    """Run a request at most once; answer a resend from its outcome."""
    try:
        answer = await claims.open(message)
    except PeerError as exc:
        raise RequestRefused(
            Code.CLAIM_UNAVAILABLE, exc.detail, retry_after_s=RETRY_AFTER_S
        ) from exc
    if answer.code == Code.REPLAYED.number:
        return _replayed(answer.outcome)
    if answer.code != Code.OK.number:
        raise _claim_refusal(answer.code)
    try:
        response = await run()
    except RequestRefused as exc:
        ran = exc.run_state is not RunState.NOT_RUN
        await _close(claims, message, ran, None)
        raise
    outcome = outcome_of(response)
    await _close(claims, message, True, outcome)
    return response


async def _close(
    claims: Claims, message: ClaimOpen, ran: bool, outcome: Outcome | None
) -> None:
    closing = ClaimClose(
        message.account,
        message.idempotency_key,
        message.claimant,
        ran,
        outcome,
    )
    try:
        await claims.close(closing)
    except PeerError:
        # The claim stays open, so that a resend is told that the outcome
        # is unknown.
        return


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


def _claim_refusal(number: int) -> RequestRefused:
    code = next(code for code in Code if code.number == number)
    waits = code in (Code.CLAIM_IN_PROGRESS, Code.CLAIM_UNAVAILABLE)
    return RequestRefused(code, retry_after_s=RETRY_AFTER_S if waits else None)
