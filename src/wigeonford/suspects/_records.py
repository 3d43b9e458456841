"""Observations of requests that crash targets, as messages: pure."""

from collections.abc import Iterable, Iterator
from typing import Final

from wigeonford.messages.steering import SuspectKind, SuspectRecord
from wigeonford.suspects._quarantine import (
    Clearance,
    Crash,
    MAX_FINGERPRINTS_PER_CRASH,
    Observation,
    Trial,
    TRIAL_S,
)

MAX_AGE_MS: Final = 10**9
MAX_NAME_CHARS: Final = 300
MAX_FINGERPRINT_BYTES: Final = 32


def encode_observations(
    observations: Iterable[Observation], now_s: float
) -> tuple[SuspectRecord, ...]:
    """Return the messages of observations; they hold ages, not times.

    A crash that several VMs saw may take more than one.
    """
    return tuple(
        record
        for observation in observations
        for record in _encode(observation, now_s)
    )


def _encode(observation: Observation, now_s: float) -> Iterator[SuspectRecord]:
    match observation:
        case Crash(name, at_s, fingerprints):
            ordered = sorted(fingerprints)
            for start in range(0, len(ordered), MAX_FINGERPRINTS_PER_CRASH):
                part = ordered[start : start + MAX_FINGERPRINTS_PER_CRASH]
                yield SuspectRecord(
                    SuspectKind.CRASH,
                    name,
                    tuple(part),
                    _to_ms(now_s - at_s),
                )
        case Clearance(fingerprint, at_s):
            yield SuspectRecord(
                SuspectKind.CLEARANCE,
                "",
                (fingerprint,),
                _to_ms(now_s - at_s),
            )
        case Trial(fingerprint, vm, until_s):
            yield SuspectRecord(
                SuspectKind.TRIAL,
                vm,
                (fingerprint,),
                0,
                _to_ms(until_s - now_s),
            )


def _to_ms(seconds: float) -> int:
    return round(min(MAX_AGE_MS, max(0.0, seconds * 1000)))


def decode_records(
    records: Iterable[SuspectRecord], now_s: float
) -> Iterator[Observation]:
    """Yield the observations of messages that have just arrived.

    Messages with values that no VM can have sent are left out.
    """
    for record in records:
        if not _is_usable(record):
            continue
        at_s = now_s - record.age_ms / 1000
        match record.kind:
            case SuspectKind.CRASH:
                yield Crash(record.name, at_s, frozenset(record.fingerprints))
            case SuspectKind.CLEARANCE:
                yield Clearance(record.fingerprints[0], at_s)
            case SuspectKind.TRIAL:
                left_s = min(TRIAL_S, record.left_ms / 1000)
                yield Trial(
                    record.fingerprints[0], record.name, now_s + left_s
                )


def _is_usable(record: SuspectRecord) -> bool:
    return (
        0 <= record.age_ms <= MAX_AGE_MS
        and 0 <= record.left_ms <= MAX_AGE_MS
        and len(record.name) <= MAX_NAME_CHARS
        and 0 < len(record.fingerprints) <= MAX_FINGERPRINTS_PER_CRASH
        and all(
            0 < len(fingerprint) <= MAX_FINGERPRINT_BYTES
            for fingerprint in record.fingerprints
        )
    )
