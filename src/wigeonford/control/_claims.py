"""Claims: at most one run of each non-idempotent request."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, Final

import msgspec

from wigeonford.control._commands import CloseClaim, OpenClaim
from wigeonford.errors import Code
from wigeonford.peer import Outcome

RETENTION_S: Final = 86400.0
CLAIM_TIMEOUT_S: Final = 60.0
MAX_CLAIMS: Final = 200_000


class ClaimState(StrEnum):
    """Say how far a claim has come."""

    OPEN = "open"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """Hold one claim; times in seconds of the proposer's wall clock."""

    account: str
    idempotency_key: str
    fingerprint: bytes
    claimant: str
    opened_at_s: float
    state: ClaimState = ClaimState.OPEN
    outcome: Outcome | None = None


class ClaimTable:
    """Decide claims; bounded in count and in time."""

    def __init__(self) -> None:
        self._claims: OrderedDict[tuple[str, str], ClaimRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def open(self, request: OpenClaim) -> tuple[Code, Outcome | None]:
        """Return OK to the one claimant that may run the request."""
        self._expire(request.time_s)
        key = (request.account, request.idempotency_key)
        held = self._claims.get(key)
        if held is None:
            if len(self._claims) >= MAX_CLAIMS:
                return Code.CLAIM_UNAVAILABLE, None
            self._claims[key] = ClaimRecord(
                request.account,
                request.idempotency_key,
                request.fingerprint,
                request.claimant,
                request.time_s,
            )
            return Code.OK, None
        if held.fingerprint != request.fingerprint:
            return Code.CLAIM_MISMATCH, None
        if held.state is ClaimState.RAN:
            return Code.REPLAYED, held.outcome
        if held.state is ClaimState.UNKNOWN:
            return Code.CLAIM_UNKNOWN, None
        if held.claimant == request.claimant:
            return Code.OK, None
        if request.time_s - held.opened_at_s > CLAIM_TIMEOUT_S:
            return Code.CLAIM_UNKNOWN, None
        return Code.CLAIM_IN_PROGRESS, None

    def close(self, request: CloseClaim) -> Code:
        """Complete or release a claim that the claimant holds."""
        key = (request.account, request.idempotency_key)
        held = self._claims.get(key)
        if held is None:
            return Code.OBJECT_UNKNOWN
        if held.claimant != request.claimant:
            return Code.CLAIM_MISMATCH
        if held.state is not ClaimState.OPEN:
            return Code.OK
        if not request.ran:
            del self._claims[key]
            return Code.OK
        known = request.outcome is not None
        self._claims[key] = replace(
            held,
            state=ClaimState.RAN if known else ClaimState.UNKNOWN,
            outcome=request.outcome,
        )
        return Code.OK

    def _expire(self, now_s: float) -> None:
        while self._claims:
            oldest = next(iter(self._claims.values()))
            if now_s - oldest.opened_at_s <= RETENTION_S:
                return
            self._claims.popitem(last=False)

    def to_plain(self) -> Any:
        """Return the claims as plain data."""
        return msgspec.to_builtins(
            list(self._claims.values()), builtin_types=(bytes,)
        )

    @classmethod
    def from_plain(cls, plain: Any) -> "ClaimTable":
        """Return the table that `to_plain` described."""
        table = cls()
        for record in msgspec.convert(
            plain, list[ClaimRecord], builtin_types=(bytes,)
        ):
            key = (record.account, record.idempotency_key)
            table._claims[key] = record
        return table
