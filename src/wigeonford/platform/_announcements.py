"""Decode what targets say of themselves on the platform."""

from collections.abc import Container
from typing import Annotated, Final, Literal

import msgspec

from wigeonford.deployment import Announcement

MAX_COLD_S: Final = 600.0
"""The longest cold time that is believed; real ones are seconds."""

_Count = Annotated[int, msgspec.Meta(ge=0)]
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class AnnouncementInvalid(Exception):
    """Report an announcement that names no target to use."""


class _Information(msgspec.Struct, frozen=True):
    """Mirror what stays the same; `version` is that of the software."""

    service: _Text
    version: str
    zone: _Text
    slots: Annotated[int, msgspec.Meta(ge=1)]


class _Status(msgspec.Struct, frozen=True):
    state: Literal["ready", "draining"]
    sequence: _Count
    cold_remaining_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S)]


class _Instance(msgspec.Struct, frozen=True):
    """Mirror an announcement; `born` is the Unix millisecond of its start."""

    address: Annotated[
        str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d{1,5}$")
    ]
    born: _Count
    information: _Information
    status: _Status


def decode_announcement(
    target_id: str, content: bytes, zones: Container[str]
) -> Announcement:
    """Return an announcement; raise `AnnouncementInvalid`."""
    try:
        plain = msgspec.json.decode(content, type=_Instance)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise AnnouncementInvalid(str(exc)) from exc
    if plain.information.zone not in zones:
        raise AnnouncementInvalid(f"unknown zone {plain.information.zone}")
    return Announcement(
        target_id,
        plain.born,
        plain.status.sequence,
        plain.information.service,
        plain.address,
        plain.information.zone,
        plain.information.version,
        plain.information.slots,
        plain.status.state == "draining",
        plain.status.cold_remaining_s,
    )
