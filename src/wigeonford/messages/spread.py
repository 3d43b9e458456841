"""Messages of the tree that distributes configuration and the roster."""

import msgspec

from wigeonford.messages.object import ConfigUpdate, Member
from wigeonford.peer import message


@message(70)
class SpreadPull(msgspec.Struct, frozen=True):
    """Ask a parent for changes and for a newer confirmation by a quorum.

    `heard` names the members that were active since the last pull,
    including the sender; `joined` describes those unknown to the parent.
    """

    revision: int
    heard: tuple[str, ...]
    joined: tuple[Member, ...]


@message(71)
class SpreadUpdate(msgspec.Struct, frozen=True):
    """Reply to `SpreadPull`; `update` is None if nothing changed.

    `vouched_age_s` is how long before the arrival of the pull a quorum
    confirmed the revision. It is negative if the quorum did so while the
    pull waited for its reply, and None if unknown.
    `reached_age_s` is the same for the last reply of control to this chain
    of parents, whether or not it had such a confirmation.
    `unknown` names members whose description the parent lacks.
    """

    revision: int
    vouched_age_s: float | None
    reached_age_s: float | None
    update: ConfigUpdate | None
    unknown: tuple[str, ...]


@message(72)
class RosterReport(msgspec.Struct, frozen=True):
    """Report to control the members that were active below a relay."""

    heard: tuple[str, ...]
    joined: tuple[Member, ...]


@message(73)
class RosterReply(msgspec.Struct, frozen=True):
    """Reply to `RosterReport` with the members that need a description."""

    unknown: tuple[str, ...]
