"""Claims that make non-idempotent requests run at most once.

Each idempotency key has a register that a majority of the control replicas
agree on.
"""

from wigeonford.claims._claim_service import ClaimService
from wigeonford.claims._register_store import RegisterStore

__all__ = ["ClaimService", "RegisterStore"]
