"""Requests that crash targets: observations and quarantine, pure."""

from wigeonford.suspects._quarantine import (
    Clearance,
    Crash,
    NO_SUSPICION,
    Observation,
    Quarantine,
    request_fingerprint,
    Standing,
    Trial,
    TRIAL_S,
)
from wigeonford.suspects._records import decode_records, encode_observations
from wigeonford.suspects._table import ABANDONED_S, Flight, SuspectTable

__all__ = [
    "ABANDONED_S",
    "Clearance",
    "Crash",
    "Flight",
    "NO_SUSPICION",
    "Observation",
    "Quarantine",
    "Standing",
    "SuspectTable",
    "TRIAL_S",
    "Trial",
    "decode_records",
    "encode_observations",
    "request_fingerprint",
]
