"""A caller that retries requests rejected for lack of a lease."""

import asyncio
from typing import Final

from wigeonford.errors import Code
from wigeonford.http import (
    CODE_HEADER,
    fetch,
    Headers,
    Response,
    RUN_STATE_HEADER,
)
from wigeonford.settings import Address

LEASE_TIMEOUT_S: Final = 60.0
"""How long a VM may lack a lease: on a busy machine it renews leases late."""

RETRY_INTERVAL_S: Final = 0.2

MISSING_LEASE_CODES: Final = frozenset(
    str(code.value.number)
    for code in (Code.SHARE_UNAVAILABLE, Code.NO_CAPACITY, Code.NO_TARGET)
)
"""Codes of a VM that has no lease of tokens or slots, or no targets yet."""


def _lacks_lease(response: Response) -> bool:
    """Return whether a request was rejected for lack of a lease.

    Check that such a response says that the request has not run and when
    to retry it.
    """
    if response.header(CODE_HEADER) not in MISSING_LEASE_CODES:
        return False
    assert response.header(RUN_STATE_HEADER) == "not-run", response
    assert response.header(b"retry-after") is not None, response
    return True


async def fetch_when_leased(
    address: Address,
    method: str,
    path: str,
    headers: Headers = (),
    body: bytes = b"",
) -> Response:
    """Retry a request while the VM lacks a lease; return the response.

    On a busy machine a VM may renew its leases late and reject requests
    in the meantime. Requests rejected for other reasons are not retried.
    """
    async with asyncio.timeout(LEASE_TIMEOUT_S):
        while True:
            response = await fetch(address, method, path, headers, body)
            if not _lacks_lease(response):
                return response
            await asyncio.sleep(RETRY_INTERVAL_S)
