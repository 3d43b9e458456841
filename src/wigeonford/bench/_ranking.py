"""A caller's cached look-up: ranked entry VMs for their lifetime."""

from collections.abc import Callable
import random
import time

import msgspec

from wigeonford.http import ConnectFailed, ExchangeFailed, fetch, Response
from wigeonford.settings import Address


class Ranking:
    """Keep the answer to one caller's look-up while it holds."""

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
        self._ranked: tuple[Address, ...] = ()
        self._until_s = 0.0

    def forget(self) -> None:
        """Look up again before the next request."""
        self._until_s = 0.0

    async def get(self) -> tuple[Address, ...]:
        """Return entry VMs, best first; raise `ConnectFailed`."""
        if self._clock() < self._until_s:
            return self._ranked
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
            if self._take(response):
                return self._ranked
        raise ConnectFailed("no entry VM answers look-ups")

    def _take(self, response: Response) -> bool:
        assert isinstance(response.body, bytes), "answers are read whole"
        answer = msgspec.json.decode(response.body)
        if response.status != 200 or not answer["entry_vms"]:
            return False
        self._ranked = tuple(
            _parse(vm["address"]) for vm in answer["entry_vms"]
        )
        self._entries = tuple(dict.fromkeys((*self._entries, *self._ranked)))
        self._until_s = self._clock() + answer["lifetime_s"]
        return True


def _parse(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
