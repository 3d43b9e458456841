"""Claims of non-idempotent requests: a register a key, on a majority."""

from wigeonford.claims._claim_service import ClaimService
from wigeonford.claims._register_store import RegisterStore

__all__ = ["ClaimService", "RegisterStore"]
