"""Messages of the tree that spreads configuration and the roster."""

import msgspec

from wigeonford.messages.object import ConfigUpdate, Member
from wigeonford.peer import message


@message(70)
class SpreadPull(msgspec.Struct, frozen=True):
    """Ask a parent for what changed and for a newer vouch.

    `heard` names the members that were heard since the last pull, the
    sender among them; `joined` describes those that the parent lacks.
    """

    revision: int
    heard: tuple[str, ...]
    joined: tuple[Member, ...]


@message(71)
class SpreadUpdate(msgspec.Struct, frozen=True):
    """Answer `SpreadPull`; `update` is None where nothing changed.

    `vouched_age_s` counts from the arrival of the pull and is negative
    where a quorum vouched while the pull was held; None if it can't tell.
    `reached_age_s` tells likewise when control answered this line of
    parents, whether or not it could vouch.
    `unknown` names members whose description the parent lacks.
    """

    revision: int
    vouched_age_s: float | None
    reached_age_s: float | None
    update: ConfigUpdate | None
    unknown: tuple[str, ...]


@message(72)
class RosterReport(msgspec.Struct, frozen=True):
    """Tell control which members were heard below a relay."""

    heard: tuple[str, ...]
    joined: tuple[Member, ...]


@message(73)
class RosterAnswer(msgspec.Struct, frozen=True):
    """Answer `RosterReport` with the members that need a description."""

    unknown: tuple[str, ...]
