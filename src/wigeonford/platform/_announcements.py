"""Decode the platform's announcements of targets."""

from collections.abc import Container
from typing import Annotated, Final, Literal

import msgspec

from wigeonford.deployment import (
    Announcement,
    check_announcement,
    MAX_COLD_S,
    MAX_COUNT,
    MAX_NAME_CHARS,
    MAX_SLOTS,
)

MAX_CONTENT_BYTES: Final = 16384
"""Largest announcement; actual ones have some hundred bytes."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class AnnouncementInvalid(Exception):
    """Report an announcement that describes no usable target."""


class _Information(msgspec.Struct, frozen=True):
    """The constant part of an announcement.

    `version` is the version of the target's software.
    """

    service: _Text
    version: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
    zone: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class _Status(msgspec.Struct, frozen=True):
    state: Literal["ready", "draining"]
    sequence: _Count
    cold_remaining_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S)]


class _Instance(msgspec.Struct, frozen=True):
    """An announcement; `born` is the start time in Unix milliseconds."""

    address: _Text
    born: _Count
    information: _Information
    status: _Status


def decode_announcement(
    target_id: str, content: bytes, zones: Container[str]
) -> Announcement:
    """Return an announcement; raise `AnnouncementInvalid`.

    `zones` holds the names of the known availability zones.
    """
    if len(content) > MAX_CONTENT_BYTES:
        raise AnnouncementInvalid(f"more than {MAX_CONTENT_BYTES} bytes")
    try:
        instance = msgspec.json.decode(content, type=_Instance)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise AnnouncementInvalid(str(exc)) from exc
    if instance.information.zone not in zones:
        raise AnnouncementInvalid(f"unknown zone {instance.information.zone}")
    announced = Announcement(
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
    faults = tuple(check_announcement(announced))
    if faults:
        raise AnnouncementInvalid("; ".join(faults))
    return announced
