"""API keys of client accounts: derivation and keyed hash."""

import base64
import hashlib
import hmac
import re
from typing import Final

import msgspec

KEY_PREFIX: Final = "wfk_"
KEY_START_PATTERN: Final = re.compile(rb"wfk_[0-9a-f]{12}_", re.IGNORECASE)
"""Match the start of a key, which is enough to recognize a key."""

KEY_START_BYTES: Final = 17
_ID_BYTES: Final = 6


class KeyRecord(msgspec.Struct, frozen=True):
    """Hold the stored record of a key, without the key itself."""

    key_id: str
    account: str
    digest: bytes
    withdrawn: bool = False


def derive_key(secret: str, change_id: str) -> tuple[str, str]:
    """Return the key id and the key that are derived from a change id.

    A change that is sent again derives the same key, so that no process
    has to store the key.
    """
    digest = hmac.digest(
        secret.encode(), b"key:" + change_id.encode(), hashlib.sha256
    )
    key_id = digest[:_ID_BYTES].hex()
    text = base64.urlsafe_b64encode(digest[_ID_BYTES:]).decode().rstrip("=")
    return key_id, f"{KEY_PREFIX}{key_id}_{text}"


def hash_key(hash_secret: str, key: str) -> bytes:
    """Return the keyed hash under which a key is stored."""
    return hmac.digest(hash_secret.encode(), key.encode(), hashlib.sha256)
