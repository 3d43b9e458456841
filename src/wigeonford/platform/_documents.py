"""Decode and encode the platform's configuration documents.

Documents state times in seconds and versions as eight hexadecimal digits.
"""

from collections.abc import Iterable, Iterator
import re
from typing import Annotated, Any, Final, TypeVar

import msgspec

from wigeonford.deployment import (
    Account,
    Deployment,
    DeploymentPatch,
    RequestLimits,
    Route,
    RouteKind,
    Service,
    Share,
)

T = TypeVar("T")

_VERSION: Final = re.compile(r"[0-9a-fA-F]{1,8}")

MAX_NUMBER: Final = 10**12
"""Largest amount of any number in a document. Sums of weights and products
with rates stay finite, and documents can be encoded again."""

_Count = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
_Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class DocumentInvalid(Exception):
    """Report a configuration document that is invalid or incomplete."""


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: _Number


class _Path(msgspec.Struct, frozen=True, kw_only=True):
    """A route.

    `target_latency_s` is the latency objective; `cache_affinity` means that
    targets cache objects; `anonymous_access` that no key is required.
    """

    name: str
    path_prefix: str
    kind: RouteKind
    timeout_s: _Number
    target_latency_s: _Number
    attempts: _Count = 1
    priority: _Count = 0
    anonymous_access: bool = False
    cache_affinity: bool = False
    home_regions: tuple[str, ...] = ()
    service: str | None = None
    traffic_split: tuple[_Split, ...] = ()


class _Host(msgspec.Struct, frozen=True):
    host: str
    paths: tuple[_Path, ...] = ()


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_check_path: str = "/health"
    connection_limit: _Count = 0
    protocol: str = "h1"
    tls: bool = False
    cold_start_s: _Number = 0.0
    cold_per_s: _Number = 0.0


class _Tenant(msgspec.Struct, frozen=True):
    """A client account."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: _Count = 0
    requests_per_s: _Number = 0.0
    burst: _Number = 0.0
    home_regions: tuple[str, ...] = ()


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout_s: _Number
    idle_timeout_s: _Number


class _Configuration(msgspec.Struct, frozen=True):
    version: str
    services: tuple[_Service, ...]
    limits: _Limits
    hosts: tuple[_Host, ...]
    tenants: tuple[_Tenant, ...] = ()


class _Upsert(msgspec.Struct, frozen=True):
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    hosts: tuple[_Host, ...] = ()
    limits: _Limits | None = None


class _Remove(msgspec.Struct, frozen=True):
    services: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    routes: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()


class _Patch(msgspec.Struct, frozen=True):
    version: str
    upsert: _Upsert = _Upsert()
    remove: _Remove = _Remove()


def decode_version(text: str) -> int:
    """Return a version; raise `DocumentInvalid`."""
    if not _VERSION.fullmatch(text.strip()):
        raise DocumentInvalid(
            f"{text!r} is not a version of one to eight hexadecimal digits"
        )
    return int(text, 16)


def encode_version(version: int) -> str:
    """Return a version in the format of documents."""
    return f"{version:08x}"


def _decode(content: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise DocumentInvalid(str(exc)) from exc


def decode_deployment(content: bytes) -> Deployment:
    """Return a full configuration; raise `DocumentInvalid`."""
    document = _decode(content, _Configuration)
    return Deployment(
        decode_version(document.version),
        tuple(_services(document.services)),
        _limits(document.limits),
        tuple(_accounts(document.tenants)),
        tuple(host.host for host in document.hosts),
        tuple(_routes(document.hosts)),
    )


def decode_patch(content: bytes) -> DeploymentPatch:
    """Return a patch of a configuration; raise `DocumentInvalid`."""
    document = _decode(content, _Patch)
    upsert, remove = document.upsert, document.remove
    return DeploymentPatch(
        decode_version(document.version),
        tuple(_services(upsert.services)),
        tuple(_accounts(upsert.tenants)),
        tuple(host.host for host in upsert.hosts),
        tuple(_routes(upsert.hosts)),
        _limits(upsert.limits) if upsert.limits else None,
        remove.services,
        remove.tenants,
        remove.routes,
        remove.hosts,
    )


def _services(items: Iterable[_Service]) -> Iterator[Service]:
    for item in items:
        yield Service(
            item.name,
            item.health_check_path,
            item.connection_limit,
            item.protocol,
            item.tls,
            item.cold_start_s,
            item.cold_per_s,
        )


def _accounts(items: Iterable[_Tenant]) -> Iterator[Account]:
    for item in items:
        yield Account(
            item.name,
            item.api_keys,
            item.priority,
            item.requests_per_s,
            item.burst,
            item.home_regions,
        )


def _limits(item: _Limits) -> RequestLimits:
    return RequestLimits(
        item.max_header_bytes,
        item.max_body_bytes,
        item.header_timeout_s,
        item.idle_timeout_s,
    )


def _routes(hosts: Iterable[_Host]) -> Iterator[Route]:
    for host in hosts:
        for item in host.paths:
            yield Route(
                item.name,
                host.host,
                item.path_prefix,
                item.kind,
                item.timeout_s,
                item.target_latency_s,
                item.attempts,
                item.priority,
                item.anonymous_access,
                item.cache_affinity,
                item.home_regions,
                item.service,
                tuple(
                    Share(split.service, split.weight)
                    for split in item.traffic_split
                ),
            )


def encode_deployment(deployment: Deployment) -> bytes:
    """Return a configuration in the format in which it was uploaded."""
    document = {
        "version": encode_version(deployment.version),
        "services": [
            {
                "name": item.name,
                "health_check_path": item.health_path,
                "connection_limit": item.connection_limit,
                "protocol": item.protocol,
                "tls": item.tls,
                "cold_start_s": item.cold_start_s,
                "cold_per_s": item.cold_per_s,
            }
            for item in deployment.services
        ],
        "limits": {
            "max_header_bytes": deployment.limits.head_bytes,
            "max_body_bytes": deployment.limits.body_bytes,
            "header_timeout_s": deployment.limits.head_timeout_s,
            "idle_timeout_s": deployment.limits.idle_timeout_s,
        },
        "tenants": [
            {
                "name": item.name,
                "api_keys": list(item.keys),
                "priority": item.priority,
                "requests_per_s": item.rate_per_s,
                "burst": item.burst,
                "home_regions": list(item.home_regions),
            }
            for item in deployment.accounts
        ],
        "hosts": [
            {
                "host": host,
                "paths": [
                    _encode_route(route)
                    for route in deployment.routes
                    if route.host == host
                ],
            }
            for host in deployment.hosts
        ],
    }
    return msgspec.json.encode(document)


def _encode_route(route: Route) -> dict[str, Any]:
    document: dict[str, Any] = {
        "name": route.name,
        "path_prefix": route.path_prefix,
        "kind": route.kind.value,
        "timeout_s": route.timeout_s,
        "target_latency_s": route.objective_s,
        "priority": route.priority,
        "attempts": route.attempts,
        "anonymous_access": route.is_open,
        "cache_affinity": route.by_object,
        "home_regions": list(route.home_regions),
    }
    if route.service is not None:
        document["service"] = route.service
    if route.split:
        document["traffic_split"] = [
            {"service": share.service, "weight": share.weight}
            for share in route.split
        ]
    return document
