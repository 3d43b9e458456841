"""HTTP/1.1 client and server on top of h11."""

from wigeonford.http._client import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    ExchangeTimedOut,
    fetch,
    read_body,
    RequestInvalid,
    ResponseOwner,
)
from wigeonford.http._connection import Handler, ResponseBroken
from wigeonford.http._pool import ConnectionPool
from wigeonford.http._reader import check_caller
from wigeonford.http._server import HttpServer
from wigeonford.http._types import (
    ACCOUNT_HEADER,
    CODE_HEADER,
    complete_response,
    DEADLINE_HEADER,
    end_to_end_headers,
    error_response,
    find_header,
    frame_response,
    Headers,
    INTERNAL_PREFIX,
    json_response,
    Request,
    Response,
    result_headers,
    RUN_STATE_HEADER,
)

__all__ = [
    "ACCOUNT_HEADER",
    "check_caller",
    "CODE_HEADER",
    "DEADLINE_HEADER",
    "INTERNAL_PREFIX",
    "RUN_STATE_HEADER",
    "ResponseBroken",
    "ResponseOwner",
    "ClientConnection",
    "ConnectFailed",
    "ConnectionPool",
    "ExchangeFailed",
    "ExchangeTimedOut",
    "Handler",
    "Headers",
    "HttpServer",
    "Request",
    "RequestInvalid",
    "Response",
    "result_headers",
    "end_to_end_headers",
    "error_response",
    "fetch",
    "find_header",
    "frame_response",
    "json_response",
    "read_body",
    "complete_response",
]
