"""Decode the platform's announcements of targets."""

from collections.abc import Container
from typing import Annotated, Final, Literal

import msgspec

from wigeonford.deployment import Announcement

MAX_COLD_S: Final = 600.0
"""Longest accepted cold time of a target; actual ones are seconds."""

_Count = Annotated[int, msgspec.Meta(ge=0)]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class AnnouncementInvalid(Exception):
    """Report an announcement that describes no usable target."""


class _Information(msgspec.Struct, frozen=True):
    """The constant part of an announcement.

    `version` is the version of the target's software.
    """

    service: _Text
    version: str
    zone: _Text
    slots: Annotated[int, msgspec.Meta(ge=1)]


class _Status(msgspec.Struct, frozen=True):
    state: Literal["ready", "draining"]
    sequence: _Count
    cold_remaining_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S)]


class _Instance(msgspec.Struct, frozen=True):
    """An announcement; `born` is the start time in Unix milliseconds."""

    address: Annotated[
        str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d{1,5}$")
    ]
    born: _Count
    information: _Information
    status: _Status


def decode_announcement(
    target_id: str, content: bytes, zones: Container[str]
) -> Announcement:
    """Return an announcement; raise `AnnouncementInvalid`.

    `zones` holds the names of the known availability zones.
    """
    try:
        instance = msgspec.json.decode(content, type=_Instance)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise AnnouncementInvalid(str(exc)) from exc
    if instance.information.zone not in zones:
        raise AnnouncementInvalid(f"unknown zone {instance.information.zone}")
    return Announcement(
        target_id,
        instance.born,
        instance.status.sequence,
        instance.information.service,
        instance.address,
        instance.information.zone,
        instance.information.version,
        instance.information.slots,
        instance.status.state == "draining",
        instance.status.cold_remaining_s,
    )
