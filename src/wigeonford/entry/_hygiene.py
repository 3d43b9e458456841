"""Keep callers' keys and forged internal headers from targets."""

from collections.abc import Iterator
from typing import Final
from urllib.parse import parse_qsl, unquote, urlencode

from wigeonford.http import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    Headers,
    INTERNAL_PREFIX,
)
from wigeonford.model import KEY_START

_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_KEY_HEADERS: Final = frozenset(
    {b"authorization", b"proxy-authorization", b"x-api-key"}
)
_KEY_PARAMETERS: Final = frozenset({"key", "api_key", "access_token"})
_MAX_DECODING: Final = 3


def holds_key(text: str) -> bool:
    """Tell whether a text holds a key, also one that is percent-encoded."""
    for _ in range(_MAX_DECODING):
        if KEY_START.search(text.encode("latin-1", "replace")):
            return True
        decoded = unquote(text)
        if decoded == text:
            return False
        text = decoded
    return KEY_START.search(text.encode("latin-1", "replace")) is not None


def clean_headers(
    headers: Headers, account: str | None, deadline_ms: int | None
) -> Headers:
    """Return the headers for a target, with the account's own header."""
    named = _connection_names(headers)
    kept = list(_kept(headers, named))
    if account is not None:
        kept.append((ACCOUNT_HEADER, account.encode()))
    if deadline_ms is not None:
        kept.append((DEADLINE_HEADER, str(deadline_ms).encode()))
    return tuple(kept)


def _connection_names(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        part.strip().lower()
        for name, value in headers
        if name == b"connection"
        for part in value.split(b",")
    )


def _kept(
    headers: Headers, named: frozenset[bytes]
) -> Iterator[tuple[bytes, bytes]]:
    for name, value in headers:
        if name in _HOP_HEADERS or name in named:
            continue
        if name in _KEY_HEADERS or name.startswith(INTERNAL_PREFIX):
            continue
        if name == b"cookie":
            value = _clean_cookie(value)
            if not value:
                continue
        elif holds_key(value.decode("latin-1")):
            continue
        yield name, value


def _clean_cookie(value: bytes) -> bytes:
    parts = (part.strip() for part in value.decode("latin-1").split(";"))
    kept = [part for part in parts if part and not holds_key(part)]
    return "; ".join(kept).encode("latin-1")


def clean_query(query: str) -> str:
    """Return a query without the parameters that carry a key."""
    if not query:
        return query
    pairs = parse_qsl(query, keep_blank_values=True)
    kept = [
        (name, value)
        for name, value in pairs
        if name.lower() not in _KEY_PARAMETERS
        and not holds_key(value)
        and not holds_key(name)
    ]
    return query if len(kept) == len(pairs) else urlencode(kept)


def answer_headers(headers: Headers) -> Headers:
    """Return a target's headers without hop and internal ones."""
    named = _connection_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_HEADERS
        and name not in named
        and not name.startswith(INTERNAL_PREFIX)
    )
