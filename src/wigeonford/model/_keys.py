"""Callers' keys: issue, parse and keyed hash."""

import base64
import hashlib
import hmac
import re
from typing import Final

import msgspec

KEY_PREFIX: Final = "wfk_"
KEY_START: Final = re.compile(rb"wfk_[0-9a-f]{12}_", re.IGNORECASE)
"""Match the start of a key, which is enough to tell one."""

KEY_START_BYTES: Final = 17
_ID_BYTES: Final = 6


class KeyRecord(msgspec.Struct, frozen=True):
    """Hold what is kept of a key: never the key itself."""

    key_id: str
    account: str
    digest: bytes
    withdrawn: bool = False


def derive_key(secret: str, change_id: str) -> tuple[str, str]:
    """Return the key id and the key that a change id stands for.

    A resent change derives the same key, so that nobody has to keep it.
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
