"""Commands that change what steers requests."""

from dataclasses import dataclass

from wigeonford.control._commands import command
from wigeonford.deployment import Announcement, Deployment, DeploymentPatch


@command(40)
@dataclass(frozen=True, slots=True)
class ReplaceDeployment:
    """Publish a whole deployment on top of the version `expected`.

    `order_id` tells one order from another, however often it is sent.
    """

    order_id: bytes
    expected: int
    deployment: Deployment


@command(41)
@dataclass(frozen=True, slots=True)
class PatchDeployment:
    """Change named items on top of the version `expected`."""

    order_id: bytes
    expected: int
    patch: DeploymentPatch


@command(42)
@dataclass(frozen=True, slots=True)
class SetEvacuation:
    """Begin or end the evacuation of an availability zone."""

    zone: str
    active: bool


@command(43)
@dataclass(frozen=True, slots=True)
class AnnounceTargets:
    """Take over what targets say of themselves."""

    announcements: tuple[Announcement, ...]


@command(44)
@dataclass(frozen=True, slots=True)
class RemoveTargets:
    """Remove targets for good, each given by id and incarnation.

    An incarnation of None means the one that is known.
    """

    targets: tuple[tuple[str, int | None], ...]


@command(45)
@dataclass(frozen=True, slots=True)
class ChangeHolders:
    """Note which entry VMs may hold parts of accounts' rates."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
