"""Settings of the stand-in targets, read from the example files."""

from dataclasses import dataclass
from pathlib import Path
from typing import Final

from wigeonford.errors import Code
from wigeonford.model import decode_set, ObjectSet, Side
from wigeonford.settings import bounded, decode, read_jsonc, Secrets

EXAMPLES: Final = Path(__file__).parent.parent / "examples"

BENCH_SECRETS: Final = Secrets(
    peer="bench-peer-secret",
    key_hash="bench-key-hash-secret",
    operator="bench-operator-secret",
    target="bench-target-secret",
)


@dataclass(frozen=True, slots=True)
class TargetGroup:
    """Describe a group of stand-in targets with equal settings.

    `latency_s` is the time that a target takes for a request.
    """

    service: str
    region: str
    side: Side = Side.NEW
    count: int = bounded(1, 1000, default=1)
    slots: int = bounded(1, 10000, default=4)
    latency_s: float = bounded(0, 60, default=0.01)


@dataclass(frozen=True, slots=True)
class StandIns:
    """Describe all stand-in targets of a deployment."""

    targets: tuple[TargetGroup, ...] = ()


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hold an example deployment: its objects and its stand-in targets."""

    name: str
    objects: ObjectSet
    stand_ins: StandIns


def load_deployment(name: str) -> Deployment:
    """Return the example `name`; raise `SettingsError` if it is invalid."""
    path = EXAMPLES / f"{name}.jsonc"
    document = read_jsonc(path)
    assert isinstance(document, dict), (
        "the top level of an example is a JSON object"
    )
    return Deployment(
        name,
        decode_set(document["objects"]),
        decode(
            StandIns,
            document["stand_ins"],
            "stand_ins",
            Code.SETTINGS_INVALID,
        ),
    )
