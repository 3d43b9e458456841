"""Settings: types, decoding with validation, and JSON with comments."""

from wigeonford.settings._daemons import (
    Address,
    CallerLimits,
    ControlMember,
    ControlSettings,
    EntrySettings,
    is_address,
    MAX_PORT,
    OperatorSettings,
    parse_address,
    Secrets,
    Tls,
)
from wigeonford.settings._decode import bounded, decode, Decoder, matching
from wigeonford.settings._files import load, read_jsonc
from wigeonford.settings._steering import (
    RetryBounds,
    SteerControlSettings,
    SteerEntrySettings,
)

__all__ = [
    "Address",
    "CallerLimits",
    "ControlMember",
    "ControlSettings",
    "Decoder",
    "EntrySettings",
    "OperatorSettings",
    "RetryBounds",
    "Secrets",
    "SteerControlSettings",
    "SteerEntrySettings",
    "Tls",
    "bounded",
    "decode",
    "load",
    "matching",
    "is_address",
    "MAX_PORT",
    "parse_address",
    "read_jsonc",
]
