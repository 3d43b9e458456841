"""Decode JSON values into frozen data classes, collecting every fault."""

from collections.abc import Mapping
import dataclasses
from dataclasses import dataclass
from enum import Enum
import math
from pathlib import Path
import sys
import types
import typing
from typing import Any, Final, TypeVar

from wigeonford.errors import Code, Fault, SettingsError

T = TypeVar("T")

_MAX_VALUE_CHARS: Final = 60
_MAX_FLOAT: Final = int(sys.float_info.max)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Inclusive limits of a number or of the length of a string."""

    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.low:g} to {self.high:g}"


@dataclass(frozen=True, slots=True)
class Pattern:
    """A string format: its name in fault texts and its test."""

    name: str
    accepts: typing.Callable[[str], bool]


def bounded(low: float, high: float, **options: Any) -> Any:
    """Declare a field whose value or length is from `low` to `high`."""
    return dataclasses.field(metadata={"bounds": Bounds(low, high)}, **options)


def matching(
    name: str, accepts: typing.Callable[[str], bool], **options: Any
) -> Any:
    """Declare a string field of a named format, tested by `accepts`."""
    return dataclasses.field(
        metadata={"pattern": Pattern(name, accepts)}, **options
    )


def _format_value(value: object) -> str:
    """Return the representation of a value, shortened if it is long."""
    text = repr(value)
    if len(text) > _MAX_VALUE_CHARS:
        return text[: _MAX_VALUE_CHARS - 3] + "..."
    return text


class Decoder:
    """Decode one document and collect its invalid values in `faults`."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def add_fault(self, path: str, value: object, expected: str) -> None:
        """Record one invalid value with the text of what was expected."""
        self.faults.append(Fault(path, _format_value(value), expected))

    def decode_record(self, cls: type[T], data: object, path: str) -> T | None:
        """Return an instance of `cls`, or None if a field is invalid."""
        if not isinstance(data, Mapping):
            self.add_fault(path, data, f"an object ({cls.__name__})")
            return None
        fault_count = len(self.faults)
        hints = _hints(cls)
        fields = {
            field.name: field
            for field in dataclasses.fields(typing.cast(Any, cls))
        }
        for name in data.keys() - fields.keys():
            known = ", ".join(sorted(fields))
            self.add_fault(f"{path}.{name}", name, f"one of: {known}")
        values = {}
        for name, field in fields.items():
            field_path = f"{path}.{name}"
            if name in data:
                values[name] = self._field(
                    hints[name], field, data[name], field_path
                )
            elif _is_required(field):
                self.add_fault(field_path, None, _describe(hints[name]))
        if len(self.faults) > fault_count:
            return None
        return cls(**values)

    def _field(
        self,
        hint: Any,
        field: "dataclasses.Field[Any]",
        data: object,
        path: str,
    ) -> Any:
        fault_count = len(self.faults)
        value = self.decode_value(hint, data, path)
        if len(self.faults) > fault_count or value is None:
            return value
        bounds = field.metadata.get("bounds")
        if bounds is not None:
            size = len(value) if isinstance(value, str) else value
            if not bounds.low <= size <= bounds.high:
                self.add_fault(path, data, f"in the range {bounds}")
        pattern = field.metadata.get("pattern")
        if pattern is not None and not pattern.accepts(value):
            self.add_fault(path, data, pattern.name)
        return value

    def decode_value(self, hint: Any, data: object, path: str) -> Any:
        """Return `data` converted to the type `hint`; record its faults."""
        origin = typing.get_origin(hint)
        args = typing.get_args(hint)
        if origin is types.UnionType or origin is typing.Union:
            return self._optional(args, data, path)
        if origin is tuple:
            return self._sequence(args[0], data, path)
        if origin in (dict, Mapping) or origin is _ABC_MAPPING:
            return self._mapping(args[1], data, path)
        if dataclasses.is_dataclass(hint):
            return self.decode_record(
                typing.cast("type[Any]", hint), data, path
            )
        return self._scalar(hint, data, path)

    def _optional(self, args: tuple[Any, ...], data: object, path: str) -> Any:
        if data is None and type(None) in args:
            return None
        inner = next(arg for arg in args if arg is not type(None))
        return self.decode_value(inner, data, path)

    def _sequence(self, hint: Any, data: object, path: str) -> Any:
        if not isinstance(data, list | tuple):
            self.add_fault(path, data, "a list")
            return ()
        return tuple(
            self.decode_value(hint, item, f"{path}[{index}]")
            for index, item in enumerate(data)
        )

    def _mapping(self, hint: Any, data: object, path: str) -> Any:
        if not isinstance(data, Mapping):
            self.add_fault(path, data, "an object")
            return {}
        return {
            str(name): self.decode_value(hint, item, f"{path}.{name}")
            for name, item in data.items()
        }

    def _scalar(self, hint: Any, data: object, path: str) -> Any:
        if isinstance(hint, type) and issubclass(hint, Enum):
            try:
                return hint(data)
            except ValueError:
                self.add_fault(path, data, _describe(hint))
                return None
        if hint is Path and isinstance(data, str):
            return Path(data)
        if hint is float and type(data) is int:
            data = float(data) if abs(data) <= _MAX_FLOAT else math.inf
        if isinstance(data, float) and not math.isfinite(data):
            self.add_fault(path, data, "a finite number")
            return None
        if type(data) is not hint:
            self.add_fault(path, data, _describe(hint))
            return None
        return data


_ABC_MAPPING: Final = typing.get_origin(Mapping[str, int])
_HINTS: Final[dict[type, dict[str, Any]]] = {}


def _hints(cls: type) -> dict[str, Any]:
    """Return the resolved annotations, cached since resolving is slow."""
    if cls not in _HINTS:
        _HINTS[cls] = typing.get_type_hints(cls)
    return _HINTS[cls]


def _is_required(field: "dataclasses.Field[Any]") -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _describe(hint: Any) -> str:
    if isinstance(hint, type) and issubclass(hint, Enum):
        members = ", ".join(str(member.value) for member in hint)
        return f"one of: {members}"
    names = {
        str: "a string",
        int: "a whole number",
        float: "a number",
        bool: "true or false",
        Path: "a path",
    }
    return names.get(hint, "set")


def decode(cls: type[T], data: object, path: str, code: Code) -> T:
    """Return `data` as `cls`; raise `SettingsError` with all faults."""
    decoder = Decoder()
    record = decoder.decode_record(cls, data, path)
    if record is None or decoder.faults:
        raise SettingsError(code, tuple(decoder.faults))
    return record
