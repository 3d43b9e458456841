"""Encode and decode tagged frozen data classes as CBOR."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

import cbor2
import msgspec

from wigeonford.errors import Code, WigeonfordError

RecordType = TypeVar("RecordType", bound=type[Any])


class CodecError(WigeonfordError):
    """Report bytes that are not a valid record of a codec."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.MESSAGE_INVALID, detail)


class Codec:
    """Encode and decode one family of records, each class under its tag."""

    def __init__(self, family: str) -> None:
        self.family: Final = family
        self._classes: dict[int, type[Any]] = {}
        self._tags: dict[type[Any], int] = {}

    def register(self, tag: int) -> Callable[[RecordType], RecordType]:
        """Return a decorator that registers a data class under a tag."""

        def add(cls: RecordType) -> RecordType:
            assert tag not in self._classes, f"{self.family} {tag} used twice"
            self._classes[tag] = cls
            self._tags[cls] = tag
            return cls

        return add

    def to_tagged_list(self, record: Any) -> list[Any]:
        """Return a record as a list of its tag and its fields."""
        fields = msgspec.to_builtins(record, builtin_types=(bytes,))
        return [self._tags[type(record)], fields]

    def from_tagged_list(self, plain: object) -> Any:
        """Return the record in such a list; raise `CodecError` if invalid."""
        if not isinstance(plain, list) or len(plain) != 2:
            raise CodecError(
                f"not a list of a {self.family} tag and its fields"
            )
        cls = self._classes.get(plain[0]) if type(plain[0]) is int else None
        if cls is None:
            raise CodecError(f"unknown {self.family} tag {plain[0]!r}")
        try:
            return msgspec.convert(plain[1], cls, builtin_types=(bytes,))
        except (ValueError, OverflowError, RecursionError) as exc:
            raise CodecError(f"{cls.__name__}: {exc}") from exc

    def encode(self, record: Any) -> bytes:
        """Return a record as CBOR."""
        return cbor2.dumps(self.to_tagged_list(record))

    def decode(self, data: bytes) -> Any:
        """Return the record in `data`; raise `CodecError` if invalid."""
        return self.from_tagged_list(decode_cbor(data))


def decode_cbor(data: bytes) -> object:
    """Return the value in `data`; raise `CodecError` if it is not CBOR."""
    try:
        value: object = cbor2.loads(data)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
    ) as exc:
        raise CodecError(f"not CBOR: {exc}") from exc
    return value
