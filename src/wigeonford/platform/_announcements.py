"""Decode the platform's announcements of targets."""

from collections.abc import Container
from typing import Final, Literal

import msgspec

from wigeonford.deployment import Announcement, check_announcement

MAX_CONTENT_BYTES: Final = 16384
"""Largest announcement; actual ones have some hundred bytes."""


class AnnouncementInvalid(Exception):
    """Report an announcement that describes no usable target."""


class _Information(msgspec.Struct, frozen=True):
    """The constant part of an announcement.

    `version` is the version of the target's software.
    """

    service: str
    version: str
    zone: str
    slots: int


class _Status(msgspec.Struct, frozen=True):
    state: Literal["ready", "draining"]
    sequence: int
    cold_remaining_s: float


class _Instance(msgspec.Struct, frozen=True):
    """An announcement; `born` is the start time in Unix milliseconds."""

    address: str
    born: int
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
    if announced.availability_zone not in zones:
        raise AnnouncementInvalid(
            f"unknown zone {announced.availability_zone}"
        )
    return announced
