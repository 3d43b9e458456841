"""Read JSON files with comments."""

from pathlib import Path
from typing import TypeVar

from wigeonford.errors import Code, Fault, SettingsError
from wigeonford.settings._decode import decode

T = TypeVar("T")


def read_jsonc(path: Path) -> object:
    """Return a file's document; raise `SettingsError` if unreadable."""
    # The platform's daemons read no such file and start sooner without it.
    import jsonc

    try:
        document: object = jsonc.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as exc:
        fault = Fault(str(path), str(exc), "JSON with comments")
        raise SettingsError(Code.SETTINGS_UNREADABLE, (fault,)) from exc
    return document


def load(cls: type[T], path: Path) -> T:
    """Return the settings in a file; raise `SettingsError` if invalid."""
    return decode(cls, read_jsonc(path), path.name, Code.SETTINGS_INVALID)
