"""Choice of a target's owner among the members of a roster."""

from collections.abc import Iterable
import hashlib


def owner_of(target_id: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest rendezvous weight, or None."""
    return max(
        members, key=lambda name: _weight(target_id, name), default=None
    )


def _weight(target_id: str, name: str) -> tuple[bytes, str]:
    text = f"{target_id} {name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), name
