"""Tagged frozen data classes to and from CBOR."""

from collections.abc import Callable
from typing import Any, Final, TypeVar

import cbor2
import msgspec

from wigeonford.errors import Code, WigeonfordError

T = TypeVar("T", bound=type[Any])


class CodecError(WigeonfordError):
    """Refuse bytes that are not one of a codec's records."""

    def __init__(self, detail: str) -> None:
        super().__init__(Code.MESSAGE_INVALID, detail)


class Codec:
    """Encode one family of records, each under a number of its own."""

    def __init__(self, family: str) -> None:
        self.family: Final = family
        self._by_tag: dict[int, type[Any]] = {}
        self._tags: dict[type[Any], int] = {}

    def register(self, tag: int) -> Callable[[T], T]:
        """Return a decorator that gives a data class its number."""

        def add(cls: T) -> T:
            assert tag not in self._by_tag, f"{self.family} {tag} used twice"
            self._by_tag[tag] = cls
            self._tags[cls] = tag
            return cls

        return add

    def to_plain(self, record: Any) -> list[Any]:
        """Return a record as its number and its fields by name."""
        fields = msgspec.to_builtins(record, builtin_types=(bytes,))
        return [self._tags[type(record)], fields]

    def from_plain(self, plain: object) -> Any:
        """Return the record; raise `CodecError` where it is not valid."""
        if not isinstance(plain, list) or len(plain) != 2:
            raise CodecError(f"not a {self.family} record")
        cls = self._by_tag.get(plain[0]) if type(plain[0]) is int else None
        if cls is None:
            raise CodecError(f"unknown {self.family} number {plain[0]!r}")
        try:
            return msgspec.convert(plain[1], cls, builtin_types=(bytes,))
        except msgspec.ValidationError as exc:
            raise CodecError(f"{cls.__name__}: {exc}") from exc

    def encode(self, record: Any) -> bytes:
        """Return a record as CBOR."""
        return cbor2.dumps(self.to_plain(record))

    def decode(self, data: bytes) -> Any:
        """Return the record in `data`; raise `CodecError`."""
        return self.from_plain(decode_cbor(data))


def decode_cbor(data: bytes) -> object:
    """Return the value in `data`; raise `CodecError`."""
    try:
        value: object = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as exc:
        raise CodecError(f"not CBOR: {exc}") from exc
    return value
