"""Remove callers' keys and forged internal headers from requests."""

from collections.abc import Iterator
import re
from typing import Final
from urllib.parse import parse_qsl, unquote, urlencode

from wigeonford.errors import Code, RequestRejected
from wigeonford.http import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    Headers,
    INTERNAL_PREFIX,
    Request,
)
from wigeonford.model import KEY_PREFIX, KEY_START_PATTERN

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
_MAX_DECODING_ROUNDS: Final = 8
_IDEMPOTENCY_HEADER: Final = b"idempotency-key"
_KEY_PREFIX: Final = KEY_PREFIX.encode()
_SCAN_OVERLAP_BYTES: Final = 256
_BINARY_TYPES: Final = re.compile(
    r"application/octet-stream|multipart/|(image|audio|video)/", re.IGNORECASE
)


def _encodable_byte(byte_values: bytes) -> bytes:
    """Return a pattern of one byte: plain, percent- or JSON-escaped."""
    plain = b"[%s]" % re.escape(byte_values)
    digits = b"|".join(b"%02x" % code for code in sorted(byte_values))
    return rb"(?:%s|(?:%%(?:25)*|\\u00)(?:%s))" % (plain, digits)


def _encoded_key_start() -> re.Pattern[bytes]:
    digit = _encodable_byte(b"0123456789abcdefABCDEF")
    prefix = (_encodable_byte(bytes({code, code ^ 32})) for code in b"wfk")
    underscore = _encodable_byte(b"_")
    text = b"".join(prefix) + underscore + digit + b"{12}" + underscore
    return re.compile(text, re.IGNORECASE)


_ENCODED_KEY_START: Final = _encoded_key_start()


def holds_key(text: str) -> bool:
    """Return whether a text contains a key, plain or percent-encoded.

    A text that is still encoded after `_MAX_DECODING_ROUNDS` rounds counts as
    containing one.
    """
    for _ in range(_MAX_DECODING_ROUNDS):
        if KEY_START_PATTERN.search(text.encode("latin-1", "replace")):
            return True
        decoded = unquote(text)
        if decoded == text:
            return False
        text = decoded
    return True


def refuse_unstrippable_key(request: Request) -> None:
    """Raise `RequestRejected` for a key in the path, method or claim.

    Unlike a header or query parameter, these can't be removed without
    changing the meaning of the request.
    """
    if holds_key(request.path) or holds_key(request.method):
        raise RequestRejected(
            Code.BAD_ARGUMENT, "the path or method contains a key"
        )
    if holds_key(request.header(_IDEMPOTENCY_HEADER) or ""):
        raise RequestRejected(
            Code.BAD_ARGUMENT, "the idempotency key contains an API key"
        )


class BodyScan:
    """Search for keys in a body that arrives in chunks.

    Bodies of binary types are searched for plain keys only, others also for
    keys that are percent-encoded or escaped as in JSON.
    """

    def __init__(self, content_type: str | None) -> None:
        self._binary = bool(_BINARY_TYPES.match(content_type or ""))
        self._tail = b""

    def feed(self, chunk: bytes) -> None:
        """Raise `RequestRejected` for the chunk that completes a key."""
        searched = self._tail + chunk
        if self._holds_key(searched):
            raise RequestRejected(Code.BAD_ARGUMENT, "the body contains a key")
        self._tail = searched[-_SCAN_OVERLAP_BYTES:]

    def _holds_key(self, content: bytes) -> bool:
        if not self._binary and (b"%" in content or b"\\u00" in content):
            return _ENCODED_KEY_START.search(content) is not None
        # Cheap check first: most bodies don't contain the key prefix.
        if _KEY_PREFIX not in content.lower():
            return False
        return KEY_START_PATTERN.search(content) is not None


def clean_request_headers(
    headers: Headers, account: str | None, deadline_ms: int | None
) -> Headers:
    """Return the headers for a target, with the account and deadline."""
    connection_names = _connection_names(headers)
    kept = list(_allowed_headers(headers, connection_names))
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


def _allowed_headers(
    headers: Headers, connection_names: frozenset[bytes]
) -> Iterator[tuple[bytes, bytes]]:
    for name, value in headers:
        if name in _HOP_HEADERS or name in connection_names:
            continue
        # Targets behind CGI or WSGI can't tell "_" in a name from "-".
        normalized = name.replace(b"_", b"-")
        if normalized in _KEY_HEADERS or normalized.startswith(
            INTERNAL_PREFIX
        ):
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
    """Return a query without the parameters that contain a key."""
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
    """Return a response's headers without hop-by-hop and internal ones."""
    connection_names = _connection_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _HOP_HEADERS
        and name not in connection_names
        and not name.startswith(INTERNAL_PREFIX)
    )
