"""Keep callers' keys and forged internal headers from targets."""

from collections.abc import Iterator
import re
from typing import Final
from urllib.parse import parse_qsl, unquote, urlencode

from wigeonford.errors import Code, RequestRefused
from wigeonford.http import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    Headers,
    INTERNAL_PREFIX,
    Request,
)
from wigeonford.model import KEY_PREFIX, KEY_START

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
_MAX_DECODINGS: Final = 8
_IDEMPOTENCY_HEADER: Final = b"idempotency-key"
_KEY_PREFIX: Final = KEY_PREFIX.encode()
_SCAN_OVERLAP_BYTES: Final = 256
_BINARY_TYPES: Final = re.compile(
    r"application/octet-stream|multipart/|(image|audio|video)/", re.IGNORECASE
)


def _encodable(codes: bytes) -> bytes:
    """Return a pattern of one byte: plain, percent-encoded or in JSON."""
    plain = b"[%s]" % re.escape(codes)
    digits = b"|".join(b"%02x" % code for code in sorted(codes))
    return rb"(?:%s|(?:%%(?:25)*|\\u00)(?:%s))" % (plain, digits)


def _encoded_key_start() -> re.Pattern[bytes]:
    digit = _encodable(b"0123456789abcdefABCDEF")
    prefix = (_encodable(bytes({code, code ^ 32})) for code in b"wfk")
    end = _encodable(b"_")
    text = b"".join(prefix) + end + digit + b"{12}" + end
    return re.compile(text, re.IGNORECASE)


_ENCODED_KEY_START: Final = _encoded_key_start()


def holds_key(text: str) -> bool:
    """Tell whether a text holds a key, also one that is percent-encoded.

    A text that is encoded more often than anybody needs counts as one.
    """
    for _ in range(_MAX_DECODINGS):
        if KEY_START.search(text.encode("latin-1", "replace")):
            return True
        decoded = unquote(text)
        if decoded == text:
            return False
        text = decoded
    return True


def refuse_unstrippable_key(request: Request) -> None:
    """Refuse a key where it can't be removed without changing the work."""
    if holds_key(request.path) or holds_key(request.method):
        raise RequestRefused(Code.BAD_ARGUMENT, "the path holds a key")
    if holds_key(request.header(_IDEMPOTENCY_HEADER) or ""):
        raise RequestRefused(
            Code.BAD_ARGUMENT, "the idempotency key holds a key"
        )


class BodyScan:
    """Look for keys in a body that arrives in chunks.

    Binary types are searched for plain keys only; in others a key may be
    percent-encoded or escaped as in JSON.
    """

    def __init__(self, content_type: str | None) -> None:
        self._binary = bool(_BINARY_TYPES.match(content_type or ""))
        self._tail = b""

    def feed(self, chunk: bytes) -> None:
        """Raise `RequestRefused` for the chunk that completes a key."""
        joined = self._tail + chunk
        if self._holds_key(joined):
            raise RequestRefused(Code.BAD_ARGUMENT, "the body holds a key")
        self._tail = joined[-_SCAN_OVERLAP_BYTES:]

    def _holds_key(self, content: bytes) -> bool:
        if not self._binary and (b"%" in content or b"\\u00" in content):
            return _ENCODED_KEY_START.search(content) is not None
        # A plain search first, since most bodies end it at once.
        if _KEY_PREFIX not in content.lower():
            return False
        return KEY_START.search(content) is not None


def clean_request_headers(
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
        # Targets behind a gateway interface read "_" in a name as "-".
        meant = name.replace(b"_", b"-")
        if meant in _KEY_HEADERS or meant.startswith(INTERNAL_PREFIX):
            continue
        if holds_key(name.decode("latin-1")):
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


def clean_response_headers(headers: Headers) -> Headers:
    """Return a target's headers without hop and internal ones."""
    named = _connection_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_HEADERS
        and name not in named
        and not name.startswith(INTERNAL_PREFIX)
    )
