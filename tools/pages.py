"""Generate the pages of docs/ that describe codes, events and settings."""

from collections.abc import Iterator
import dataclasses
from pathlib import Path
import typing
from typing import Any, Final

from wigeonford.errors import result_code_rows
from wigeonford.events import event_rows
from wigeonford.model import KINDS
from wigeonford.settings import (
    ControlSettings,
    EntrySettings,
    OperatorSettings,
)

DOCS: Final = Path(__file__).parent.parent / "docs"


def _result_code_lines() -> Iterator[str]:
    yield "# Result codes"
    yield ""
    yield "Each response has its code's number as `Wigeonford-Code` and what"
    yield "has run as `Wigeonford-Run-State`. The table shows the usual run"
    yield "state; a response states another one if more or less is known."
    yield ""
    yield from result_code_rows()


def _event_lines() -> Iterator[str]:
    yield "# Log events"
    yield ""
    yield "Each log line is a JSON object whose `number` is one of these."
    yield ""
    yield from event_rows()


def _settings_lines() -> Iterator[str]:
    yield "# Settings"
    yield ""
    yield "Files are JSON with comments. A file is checked as a whole; each"
    yield "error states the path, the invalid value and what was expected."
    root_classes = (ControlSettings, EntrySettings, OperatorSettings)
    listed: list[type[Any]] = []
    for root in root_classes:
        yield from _class_lines(root, listed)
    yield ""
    yield "# Objects"
    for kind, cls in KINDS.items():
        yield ""
        yield f"List `{kind}`:"
        yield from _class_lines(cls, listed)


def _class_lines(cls: type[Any], listed: list[type[Any]]) -> Iterator[str]:
    if cls in listed:
        return
    listed.append(cls)
    yield ""
    yield f"## {cls.__name__}"
    yield ""
    yield (cls.__doc__ or "").replace("\n    ", "\n")
    yield ""
    yield "| field | type | default | range |"
    yield "| --- | --- | --- | --- |"
    hints = typing.get_type_hints(cls)
    nested_classes: list[type[Any]] = []
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        nested_classes.extend(_nested_classes(hint))
        bounds = field.metadata.get("bounds", "")
        yield (
            f"| {field.name} | {_type_text(hint)} "
            f"| {_default_text(field)} | {bounds} |"
        )
    for nested_cls in nested_classes:
        yield from _class_lines(nested_cls, listed)


def _nested_classes(hint: Any) -> Iterator[type[Any]]:
    for part in (hint, *typing.get_args(hint)):
        if isinstance(part, type) and dataclasses.is_dataclass(part):
            yield part


def _type_text(hint: Any) -> str:
    args = [arg for arg in typing.get_args(hint) if arg is not Ellipsis]
    if typing.get_origin(hint) is tuple:
        return f"list of {_type_text(args[0])}"
    if args:
        return " or ".join(_type_text(arg) for arg in args)
    return "null" if hint is type(None) else str(hint.__name__)


def _default_text(field: "dataclasses.Field[Any]") -> str:
    if field.default is not dataclasses.MISSING:
        return f"`{field.default!s}`"
    if field.default_factory is not dataclasses.MISSING:
        return "its own defaults"
    return "required"


PAGES: Final = {
    "RESULT-CODES.md": _result_code_lines,
    "EVENTS.md": _event_lines,
    "SETTINGS.md": _settings_lines,
}


def render(name: str) -> str:
    """Return the text of the page that has this file name."""
    return "\n".join(PAGES[name]()) + "\n"


def main() -> None:
    """Write every page."""
    for name in PAGES:
        (DOCS / name).write_text(render(name))


if __name__ == "__main__":
    main()
