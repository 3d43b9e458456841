"""Commands that change the routing state."""

import msgspec

from wigeonford.control._commands import command
from wigeonford.deployment import Announcement, Deployment, DeploymentPatch


@command(40)
class ReplaceDeployment(msgspec.Struct, frozen=True):
    """Publish a full deployment if the current version is `expected`.

    `order_id` identifies the order, so that a retry is not applied twice.
    """

    order_id: bytes
    expected: int
    deployment: Deployment


@command(41)
class PatchDeployment(msgspec.Struct, frozen=True):
    """Change the named items if the current version is `expected`."""

    order_id: bytes
    expected: int
    patch: DeploymentPatch


@command(42)
class SetEvacuation(msgspec.Struct, frozen=True):
    """Start or end the evacuation of an availability zone.

    The command takes effect only if `expected_revision` is the revision of
    the evacuations, which each such command advances. So one that comes late
    undoes nothing that was ordered after it. None, which earlier builds
    wrote, matches any.
    """

    zone: str
    active: bool
    expected_revision: int | None = None


@command(43)
class AnnounceTargets(msgspec.Struct, frozen=True):
    """Record the announcements of targets."""

    announcements: tuple[Announcement, ...]


@command(44)
class RemoveTargets(msgspec.Struct, frozen=True):
    """Remove targets, each given by id and incarnation.

    An incarnation of None matches any. The incarnation is the Unix time of
    the target's start in milliseconds. With `may_return`, an incarnation that
    announces itself again is accepted.
    """

    targets: tuple[tuple[str, int | None], ...]
    may_return: bool = False


@command(45)
class ChangeHolders(msgspec.Struct, frozen=True):
    """Add and remove entry VMs that may hold leases on accounts' rates."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
