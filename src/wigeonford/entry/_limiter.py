"""Rate and burst of client accounts, as far as this VM may spend them."""

import time
from typing import Final, Protocol

from wigeonford.entry._published import EntryConfig
from wigeonford.errors import Code, RequestRefused
from wigeonford.policy import BucketShare, TokenBucket

MAX_RETRY_AFTER_S: Final = 60.0


class Limiter(Protocol):
    """Spend tokens of client accounts."""

    async def spend(self, account: str) -> None:
        """Take a token; raise `RequestRefused` if there is none."""

    def reconfigure(self, config: EntryConfig) -> None:
        """Take over the accounts of a new revision."""


class EqualShareLimiter:
    """Give each configured entry VM the same part of every budget."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def reconfigure(self, config: EntryConfig) -> None:
        """Divide each budget by the number of configured entry VMs."""
        now_s = time.monotonic()
        count = max(1, len(config.objects.entry_vms))
        accounts = config.objects.client_accounts
        for name in self._buckets.keys() - accounts.keys():
            del self._buckets[name]
        for name, account in accounts.items():
            share = BucketShare(
                account.rate_per_s / count, account.burst / count
            )
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = TokenBucket(share, now_s)
            else:
                bucket.resize(share, now_s)

    async def spend(self, account: str) -> None:
        """Take a token; raise `RequestRefused` if there is none."""
        now_s = time.monotonic()
        bucket = self._buckets[account]
        if bucket.spend(now_s):
            return
        wait_s = min(bucket.wait_s(now_s), MAX_RETRY_AFTER_S)
        raise RequestRefused(Code.RATE_EXCEEDED, retry_after_s=wait_s)
