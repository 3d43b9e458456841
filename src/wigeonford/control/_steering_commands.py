"""Commands that change what steers requests."""

import msgspec

from wigeonford.control._commands import command
from wigeonford.deployment import Announcement, Deployment, DeploymentPatch


@command(40)
class ReplaceDeployment(msgspec.Struct, frozen=True):
    """Publish a whole deployment on top of the version `expected`.

    `order_id` tells one order from another, however often it is sent.
    """

    order_id: bytes
    expected: int
    deployment: Deployment


@command(41)
class PatchDeployment(msgspec.Struct, frozen=True):
    """Change named items on top of the version `expected`."""

    order_id: bytes
    expected: int
    patch: DeploymentPatch


@command(42)
class SetEvacuation(msgspec.Struct, frozen=True):
    """Begin or end the evacuation of an availability zone."""

    zone: str
    active: bool


@command(43)
class AnnounceTargets(msgspec.Struct, frozen=True):
    """Take over what targets say of themselves."""

    announcements: tuple[Announcement, ...]


@command(44)
class RemoveTargets(msgspec.Struct, frozen=True):
    """Remove targets for good, each given by id and incarnation.

    An incarnation of None means the one that is known.
    """

    targets: tuple[tuple[str, int | None], ...]


@command(45)
class ChangeHolders(msgspec.Struct, frozen=True):
    """Note which entry VMs may hold parts of accounts' rates."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
