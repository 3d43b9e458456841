"""Checks of a request's head, and the rejections of invalid ones."""

import h11

from wigeonford.errors import Code, RequestRejected
from wigeonford.http._types import find_header, Headers
from wigeonford.settings import CallerLimits


def check_head(
    event: h11.Request, headers: Headers, limits: CallerLimits
) -> None:
    """Raise `RequestRejected` for a head that h11 accepts but is invalid."""
    # A head that arrives in a single read is never incomplete.
    size_bytes = len(event.target) + sum(
        len(name) + len(value) for name, value in event.headers
    )
    if size_bytes > limits.head_bytes:
        raise RequestRejected(Code.HEAD_TOO_LARGE, f"{size_bytes} bytes")
    content_length = find_header(headers, b"content-length")
    transfer_encoding = find_header(headers, b"transfer-encoding")
    if content_length is not None and transfer_encoding is not None:
        raise RequestRejected(
            Code.CONFLICTING_LENGTH,
            "both content-length and transfer-encoding are set",
        )
    if content_length is not None and int(content_length) > limits.body_bytes:
        raise RequestRejected(
            Code.BODY_TOO_LARGE, f"over {limits.body_bytes} bytes"
        )


def to_rejection(exc: h11.RemoteProtocolError) -> RequestRejected:
    """Return the rejection of a head that h11 can't parse."""
    text = str(exc)
    if exc.error_status_hint == 431:
        return RequestRejected(Code.HEAD_TOO_LARGE, text)
    if "content-length" in text.lower():
        return RequestRejected(Code.CONFLICTING_LENGTH, text)
    if "closed" in text.lower():
        return RequestRejected(Code.REQUEST_TRUNCATED, text)
    return RequestRejected(Code.BAD_REQUEST, text)
