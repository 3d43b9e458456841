"""Request and response types of the HTTP client and server."""

from collections.abc import AsyncIterator, Callable, Iterable
from typing import Final

import msgspec

from wigeonford.errors import Code, RunState, WigeonfordError

Headers = tuple[tuple[bytes, bytes], ...]
"""Header fields in order; the names are in lower case."""

CODE_HEADER: Final = b"wigeonford-code"
RUN_STATE_HEADER: Final = b"wigeonford-run-state"
ACCOUNT_HEADER: Final = b"wigeonford-account"
DEADLINE_HEADER: Final = b"wigeonford-deadline-ms"
INTERNAL_PREFIX: Final = b"wigeonford-"


_HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def find_header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


async def no_body() -> AsyncIterator[bytes]:
    """Yield nothing."""
    return
    yield b""


def _never() -> bool:
    return False


class Request(msgspec.Struct, frozen=True):
    """Hold a request; `caller_host` is the caller's IP address.

    `has_query` tells whether the target holds a question mark, behind which
    the query may be empty. `has_caller_left` tells whether the caller has
    closed its connection, as far as the event loop has read.
    """

    method: str
    path: str
    query: str
    headers: Headers
    caller_host: str
    body: AsyncIterator[bytes] = msgspec.field(default_factory=no_body)
    has_caller_left: Callable[[], bool] = _never
    has_query: bool = False

    @property
    def target(self) -> str:
        """Return the path with the query, as the caller sent it."""
        if self.has_query or self.query:
            return f"{self.path}?{self.query}"
        return self.path

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)

    @property
    def has_body(self) -> bool:
        """Return whether the headers announce a body."""
        length = self.header(b"content-length")
        chunked = self.header(b"transfer-encoding") is not None
        return chunked or length not in (None, "0")


class Response(msgspec.Struct, frozen=True):
    """Hold a response; if its body stream raises, the connection closes."""

    status: int
    headers: Headers = ()
    body: bytes | AsyncIterator[bytes] = b""

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, or None."""
        return find_header(self.headers, name)


def end_to_end_headers(request: Request) -> Headers:
    """Return the headers of a request to pass on, with those of its body."""
    named = {
        name.strip().lower().encode("latin-1")
        for name in (request.header(b"connection") or "").split(",")
    }
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in _HOP_BY_HOP and name not in named
    ]
    if request.header(b"transfer-encoding") is not None:
        headers.append((b"transfer-encoding", b"chunked"))
    return tuple(headers)


def frame_response(method: str, response: Response) -> Response:
    """Return a server's response as it is passed on to a caller.

    Headers that concern only the server's connection are left out. Chunks
    override a length.
    """
    is_chunked = response.header(b"transfer-encoding") is not None
    headers = [
        (name, value)
        for name, value in response.headers
        if name not in _HOP_BY_HOP
        and not (is_chunked and name == b"content-length")
    ]
    body = response.body
    has_length = any(name == b"content-length" for name, _ in headers)
    has_no_body = method == "HEAD" or response.status in (204, 304)
    if isinstance(body, bytes) and not has_length and not has_no_body:
        headers.append((b"content-length", str(len(body)).encode()))
    return Response(response.status, tuple(headers), body)


def result_headers(code: Code, run_state: RunState) -> Headers:
    """Return the headers of a result code and a run state."""
    return (
        (CODE_HEADER, str(code.number).encode()),
        (RUN_STATE_HEADER, run_state.value.encode()),
    )


def complete_response(
    status: int,
    content: bytes,
    content_type: str,
    headers: Iterable[tuple[bytes, bytes]] = (),
) -> Response:
    """Return a response with a complete body."""
    head = (
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(content)).encode()),
        *headers,
    )
    return Response(status, head, content)


def json_response(
    status: int, content: bytes, headers: Iterable[tuple[bytes, bytes]] = ()
) -> Response:
    """Return a response with a JSON body."""
    return complete_response(status, content, "application/json", headers)


def error_response(exc: WigeonfordError) -> Response:
    """Return the response that reports an error to a caller."""
    info = exc.code.value
    headers = list(result_headers(exc.code, exc.run_state))
    if exc.retry_after_s is not None:
        seconds = str(max(1, round(exc.retry_after_s))).encode()
        headers.append((b"retry-after", seconds))
    content = msgspec.json.encode(
        {
            "code": info.number,
            "error": info.text,
            "detail": exc.detail,
            "run_state": exc.run_state.value,
        }
    )
    return json_response(info.http_status, content, headers)
