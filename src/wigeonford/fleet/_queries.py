"""Read-only queries of the replicated state."""

from itertools import islice

import msgspec

from wigeonford.control._state import HistoryEntry, State
from wigeonford.messages.object import ObjectRow


class ObjectView(msgspec.Struct, frozen=True):
    """An object with its version.

    `revision` is the configuration revision at which it last changed.
    """

    kind: str
    name: str
    version: int
    revision: int
    data: dict[str, object]


def find_objects(
    state: State, kind: str | None, name: str | None
) -> tuple[ObjectView, ...]:
    """Return the objects of a kind and a name.

    None matches any kind or name.
    """
    return tuple(
        _view(revision, row)
        for revision, row in state.config.rows.values()
        if row.data is not None
        and kind in (None, row.kind)
        and name in (None, row.name)
    )


def _view(revision: int, row: ObjectRow) -> ObjectView:
    assert row.data is not None, "deleted objects are filtered out"
    return ObjectView(row.kind, row.name, row.version, revision, row.data)


def recent_history(state: State, limit: int) -> tuple[HistoryEntry, ...]:
    """Return the newest changes, newest first."""
    return tuple(islice(reversed(state.history), limit))
