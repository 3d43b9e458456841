"""Patches of a deployment."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec
from msgspec.structs import replace

from wigeonford.deployment._types import (
    Account,
    Deployment,
    RequestLimits,
    Route,
    Service,
)

T = TypeVar("T")
N = TypeVar("N", Service, Account, Route)


class DeploymentPatch(msgspec.Struct, frozen=True):
    """Add or replace named items, and remove others by name."""

    version: int
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    hosts: tuple[str, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: RequestLimits | None = None
    removed_services: tuple[str, ...] = ()
    removed_accounts: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_hosts: tuple[str, ...] = ()


def apply_patch(base: Deployment, patch: DeploymentPatch) -> Deployment:
    """Return the deployment that results from patching `base`."""
    hosts = _merge(base.hosts, patch.hosts, patch.removed_hosts, str)
    routes = _merge(base.routes, patch.routes, patch.removed_routes, _name_of)
    return replace(
        base,
        version=patch.version,
        services=_merge(
            base.services, patch.services, patch.removed_services, _name_of
        ),
        accounts=_merge(
            base.accounts, patch.accounts, patch.removed_accounts, _name_of
        ),
        limits=patch.limits or base.limits,
        hosts=hosts,
        routes=tuple(
            route for route in routes if route.host not in patch.removed_hosts
        ),
    )


def diff_deployments(base: Deployment, new: Deployment) -> DeploymentPatch:
    """Return the patch that changes `base` into `new`.

    A patch doesn't hold the order of named items, so applying it may give
    another order than that of `new`.
    """
    return DeploymentPatch(
        new.version,
        _changed(base.services, new.services),
        _changed(base.accounts, new.accounts),
        tuple(sorted(set(new.hosts) - set(base.hosts))),
        _changed(base.routes, new.routes),
        new.limits if new.limits != base.limits else None,
        _missing(base.services, new.services),
        _missing(base.accounts, new.accounts),
        _missing(base.routes, new.routes),
        tuple(sorted(set(base.hosts) - set(new.hosts))),
    )


def share_unchanged(base: Deployment, new: Deployment) -> Deployment:
    """Return `new` with the items that it has in common with `base`.

    A full deployment that changes little then takes little more memory.
    """
    return replace(
        new,
        services=_shared(base.services, new.services),
        accounts=_shared(base.accounts, new.accounts),
        hosts=base.hosts if base.hosts == new.hosts else new.hosts,
        routes=_shared(base.routes, new.routes),
    )


def _shared(base: Iterable[N], new: Iterable[N]) -> tuple[N, ...]:
    existing = {item.name: item for item in base}
    return tuple(
        existing[item.name] if existing.get(item.name) == item else item
        for item in new
    )


def _changed(base: Iterable[N], new: Iterable[N]) -> tuple[N, ...]:
    existing = {item.name: item for item in base}
    return tuple(item for item in new if existing.get(item.name) != item)


def _missing(base: Iterable[N], new: Iterable[N]) -> tuple[str, ...]:
    kept = {item.name for item in new}
    return tuple(item.name for item in base if item.name not in kept)


def _name_of(item: Service | Account | Route) -> str:
    return item.name


def _merge(
    existing: Iterable[T],
    added: Iterable[T],
    removed: Iterable[str],
    name_of: Callable[[T], str],
) -> tuple[T, ...]:
    """Return the items, replaced in place or appended, in order."""
    items = {name_of(item): item for item in existing}
    for name in removed:
        items.pop(name, None)
    items.update((name_of(item), item) for item in added)
    return tuple(items.values())
