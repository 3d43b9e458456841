"""Cache of a caller's look-up of ranked entry VMs."""

from collections.abc import Callable
import random
import time

import msgspec

from wigeonford.http import ConnectFailed, ExchangeFailed, fetch, Response
from wigeonford.settings import Address


class LookupCache:
    """Cache the ranked entry VMs of one caller for their lifetime."""

    def __init__(
        self,
        local_host: str,
        account: str,
        entries: tuple[Address, ...],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._local_host = local_host
        self._account = account
        self._entries = entries
        self._rng = rng
        self._clock = clock
        self._ranked_entries: tuple[Address, ...] = ()
        self._expires_s = 0.0

    def invalidate(self) -> None:
        """Expire the cached entry VMs; the next `get` looks them up."""
        self._expires_s = 0.0

    async def get(self) -> tuple[Address, ...]:
        """Return entry VMs, best first.

        Raise `ConnectFailed` if no entry VM answers the look-up.
        """
        if self._clock() < self._expires_s:
            return self._ranked_entries
        for entry in self._rng.sample(self._entries, len(self._entries)):
            try:
                response = await fetch(
                    entry,
                    "GET",
                    f"/.wigeonford/lookup?account={self._account}",
                    timeout_s=2.0,
                    local_host=self._local_host,
                )
            except (ConnectFailed, ExchangeFailed):
                continue
            if self._store_response(response):
                return self._ranked_entries
        raise ConnectFailed("no entry VM returned a look-up result")

    def _store_response(self, response: Response) -> bool:
        assert isinstance(response.body, bytes), (
            "`fetch` reads the complete body"
        )
        lookup = msgspec.json.decode(response.body)
        if response.status != 200 or not lookup["entry_vms"]:
            return False
        self._ranked_entries = tuple(
            _parse_address(vm["address"]) for vm in lookup["entry_vms"]
        )
        self._entries = tuple(
            dict.fromkeys((*self._entries, *self._ranked_entries))
        )
        self._expires_s = self._clock() + lookup["lifetime_s"]
        return True


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
