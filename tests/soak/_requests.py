"""The routes of the soak's deployment and the requests on them."""

from dataclasses import dataclass
from typing import Any, Final

from wigeonford.http import Headers

HOST: Final = "soak.example"
SERVICE: Final = "books"
IDLE_TIMEOUTS_S: Final = (1.0, 2.0, 4.0)
"""Idle timeouts among which the operator changes."""
HEAD_TIMEOUT_S: Final = 1


@dataclass(frozen=True, slots=True)
class RequestPath:
    """Describe a route and how long its targets work."""

    name: str
    kind: str
    timeout_s: float
    time_limit_s: float
    work_range_s: tuple[float, float]

    @property
    def is_idempotent(self) -> bool:
        """Return whether its requests may be repeated."""
        return self.kind == "safe"

    def as_json(self) -> dict[str, Any]:
        """Return the route as JSON data of the control API."""
        return {
            "name": self.name,
            "path_prefix": f"/{self.name}/",
            "kind": self.kind,
            "timeout_s": self.timeout_s,
            "target_latency_s": self.timeout_s / 6,
            "priority": 0,
            "service": SERVICE,
            "attempts": 2,
            "anonymous_access": False,
            "cache_affinity": True,
            "home_regions": [],
        }


SHORT_WORK_S: Final = (0.005, 0.08)
SHORT_LIMIT_S: Final = 1.5
"""Some stalls last longer."""
LONG_WORK_S: Final = (0.5, 5.0)
"""Some requests that are taken in a stop outlast its grace period."""
SHORT_PATHS: Final = (
    RequestPath("safe", "safe", 3.0, SHORT_LIMIT_S, SHORT_WORK_S),
    RequestPath("unsafe", "unsafe", 3.0, SHORT_LIMIT_S, SHORT_WORK_S),
)
LONG_PATHS: Final = (
    RequestPath("long-safe", "safe", 10.0, 9.0, LONG_WORK_S),
    RequestPath("long-unsafe", "unsafe", 10.0, 9.0, LONG_WORK_S),
)
PATHS: Final = {path.name: path for path in (*SHORT_PATHS, *LONG_PATHS)}
BODY: Final = b"body"


def make_headers(path: RequestPath, attempt: str, key: str) -> Headers:
    """Return the headers of a request."""
    headers = (
        (b"host", HOST.encode()),
        (b"x-attempt-id", attempt.encode()),
        (b"x-key", key.encode()),
        (b"x-affinity-key", attempt[:1].encode()),
        (
            b"x-deadline-remaining",
            str(int(path.time_limit_s * 1000)).encode(),
        ),
    )
    if path.is_idempotent:
        return headers
    return (*headers, (b"content-length", str(len(BODY)).encode()))


def make_request(path: RequestPath, attempt: str, key: str) -> bytes:
    """Return a whole request as bytes."""
    method = "GET" if path.is_idempotent else "POST"
    lines = [f"{method} /{path.name}/x HTTP/1.1".encode()]
    lines += [
        name + b": " + value
        for name, value in make_headers(path, attempt, key)
    ]
    body = b"" if path.is_idempotent else BODY
    return b"\r\n".join((*lines, b"", body))


def make_limits(idle_timeout_s: float) -> dict[str, Any]:
    """Return the limits of callers as JSON data of the control API."""
    return {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_s": HEAD_TIMEOUT_S,
        "idle_timeout_s": idle_timeout_s,
    }
