"""The replicated state machine, deterministic and free of I/O."""

import collections
from collections.abc import Callable
import hashlib
from typing import Any, Final

import cbor2
import msgspec
from msgspec.structs import replace

from wigeonford.codec import CodecError
from wigeonford.config_table import ConfigTable
from wigeonford.control._commands import (
    ApplyChange,
    CommandResult,
    COMMANDS,
    Edit,
    ExpireMember,
    IssueKey,
    RegisterMember,
    WithdrawKey,
)
from wigeonford.control._steering import SteeringState
from wigeonford.errors import Code
from wigeonford.messages.object import Member, ObjectRow
from wigeonford.model import (
    check_set,
    decode_object,
    KeyRecord,
    ObjectSet,
)

MAX_REMEMBERED_RESULTS: Final = 20000
MAX_HISTORY: Final = 20000
MAX_HISTORY_LINES: Final = 100_000
"""Of the summaries of all changes; one change may have thousands."""
MAX_REMEMBERED_FAULTS: Final = 16
MAX_REMEMBERED_DETAIL_CHARS: Final = 2000


class HistoryEntry(msgspec.Struct, frozen=True):
    """Record one accepted change: author, time and affected objects.

    `time_s` is Unix time.
    """

    revision: int
    time_s: float
    author: str
    change_id: str
    summary: tuple[str, ...]


class _StoredResult(msgspec.Struct, frozen=True):
    """Hold the first result of a change id, which retries get again.

    Only the first of its faults are kept.

    `fingerprint` is a digest of the change.
    """

    fingerprint: bytes
    result: CommandResult


class _SnapshotTables(msgspec.Struct):
    """Hold the content of a snapshot."""

    revision: int = 0
    rows: list[tuple[int, ObjectRow]] = msgspec.field(default_factory=list)
    keys: list[tuple[int, KeyRecord]] = msgspec.field(default_factory=list)
    members: list[tuple[int, Member]] = msgspec.field(default_factory=list)
    gone_members: list[tuple[int, str]] = msgspec.field(default_factory=list)
    answers: list[tuple[str, _StoredResult]] = msgspec.field(
        default_factory=list
    )
    history: list[HistoryEntry] = msgspec.field(default_factory=list)
    steering: bytes = b""


_APPLIERS: Final[dict[type[Any], Callable[["State", Any], CommandResult]]] = {}


def _applies(
    kind: type[Any],
) -> Callable[
    [Callable[["State", Any], CommandResult]],
    Callable[["State", Any], CommandResult],
]:
    def add(
        method: Callable[["State", Any], CommandResult],
    ) -> Callable[["State", Any], CommandResult]:
        _APPLIERS[kind] = method
        return method

    return add


class State:
    """Apply commands in log order and hold the tables that queries read."""

    def __init__(self) -> None:
        self.config = ConfigTable()
        self.history: collections.deque[HistoryEntry] = collections.deque()
        self._history_line_count = 0
        self.steering = SteeringState()
        self._results_by_change_id: dict[str, _StoredResult] = {}

    @property
    def revision(self) -> int:
        """Return the revision of the configuration."""
        return self.config.revision

    def _advance(self) -> int:
        self.config.revision += 1
        return self.config.revision

    def apply(self, record: Any) -> CommandResult:
        """Apply one command, deterministically."""
        if self.steering.handles(record):
            return self.steering.apply(record)
        return _APPLIERS[type(record)](self, record)

    def apply_entry(self, content: bytes) -> CommandResult:
        """Apply the command in a log entry, deterministically.

        One that can't be decoded or applied is skipped: every replica meets
        it, also after a restart, and would stop at it for ever.
        """
        try:
            return self.apply(COMMANDS.decode(content))
        except MemoryError:
            # Other replicas may have the memory to apply it.
            raise
        except CodecError as exc:
            return replace(
                self._result(Code.MESSAGE_INVALID, exc.detail), is_skipped=True
            )
        except Exception as exc:
            return replace(
                self._result(Code.INTERNAL, repr(exc)), is_skipped=True
            )

    def _result(self, code: Code, detail: str = "") -> CommandResult:
        return CommandResult(code.number, self.revision, detail)

    def _apply_once(
        self, record: Any, apply: Callable[[], CommandResult]
    ) -> CommandResult:
        """Apply a change, or return the first result if it is a retry."""
        known = self._results_by_change_id.get(record.change_id)
        fingerprint = _fingerprint(record)
        if known is not None:
            if known.fingerprint == fingerprint:
                return known.result
            return self._result(Code.CHANGE_ID_REUSED, record.change_id)
        result = apply()
        self._results_by_change_id[record.change_id] = _StoredResult(
            fingerprint, _shorten(result)
        )
        if len(self._results_by_change_id) > MAX_REMEMBERED_RESULTS:
            del self._results_by_change_id[
                next(iter(self._results_by_change_id))
            ]
        return result

    def _add_history_entry(
        self, record: Any, summary: tuple[str, ...]
    ) -> None:
        entry = HistoryEntry(
            self.revision,
            record.time_s,
            record.author,
            record.change_id,
            summary,
        )
        self._remember(entry)

    def _remember(self, entry: HistoryEntry) -> None:
        self.history.append(entry)
        self._history_line_count += len(entry.summary)
        while len(self.history) > MAX_HISTORY or (
            self._history_line_count > MAX_HISTORY_LINES
            and len(self.history) > 1
        ):
            oldest = self.history.popleft()
            self._history_line_count -= len(oldest.summary)

    @_applies(ApplyChange)
    def _apply_change(self, record: ApplyChange) -> CommandResult:
        return self._apply_once(record, lambda: self._apply_edits(record))

    def _apply_edits(self, record: ApplyChange) -> CommandResult:
        conflicts = tuple(
            f"{edit.kind}.{edit.name}: version is "
            f"{self.object_version(edit.kind, edit.name)}, "
            f"not {edit.expected_version}"
            for edit in record.edits
            if self.object_version(edit.kind, edit.name)
            != edit.expected_version
        )
        if conflicts:
            return replace(
                self._result(Code.VERSION_CONFLICT, "; ".join(conflicts)),
                faults=conflicts,
            )
        objects, faults = self._preview(record.edits)
        if faults:
            return replace(
                self._result(Code.OBJECTS_INVALID, "; ".join(faults)),
                faults=faults,
            )
        revision = self._advance()
        for edit in record.edits:
            row = ObjectRow(
                edit.kind, edit.name, edit.expected_version + 1, edit.data
            )
            self.config.put_row(revision, row)
        self.config.objects = objects
        self._add_history_entry(
            record, tuple(_describe(edit) for edit in record.edits)
        )
        return self._result(Code.OK)

    def check_edits(self, edits: tuple[Edit, ...]) -> tuple[str, ...]:
        """Return the faults that the objects would have after the edits."""
        return self._preview(edits)[1]

    def _preview(
        self, edits: tuple[Edit, ...]
    ) -> tuple[ObjectSet, tuple[str, ...]]:
        objects = dict(self.config.objects.objects)
        faults: list[str] = []
        for edit in edits:
            key = (edit.kind, edit.name)
            if edit.data is None:
                objects.pop(key, None)
                continue
            path = f"{edit.kind}.{edit.name}"
            item, found = decode_object(edit.kind, edit.data, path)
            faults.extend(str(fault) for fault in found)
            if item is None:
                continue
            if item.name != edit.name:
                faults.append(f"{path}.name: not the edit's name")
            objects[key] = item
        result = ObjectSet(objects)
        if not faults:
            faults.extend(str(fault) for fault in check_set(result))
        return result, tuple(faults)

    def object_version(self, kind: str, name: str) -> int:
        """Return an object's version, 0 if it never existed.

        A deletion also increments the version.
        """
        stored = self.config.rows.get((kind, name))
        return stored[1].version if stored else 0

    @_applies(IssueKey)
    def _issue_key(self, record: IssueKey) -> CommandResult:
        return self._apply_once(record, lambda: self._add_key(record))

    def _add_key(self, record: IssueKey) -> CommandResult:
        accounts = self.config.objects.client_accounts
        if record.account not in accounts:
            return self._result(Code.OBJECT_UNKNOWN, record.account)
        if record.key_id in self.config.keys:
            return self._result(Code.VERSION_CONFLICT, record.key_id)
        key = KeyRecord(record.key_id, record.account, record.digest)
        self.config.put_key(self._advance(), key)
        self._add_history_entry(record, (f"issue key {record.key_id}",))
        return self._result(Code.OK, record.key_id)

    @_applies(WithdrawKey)
    def _withdraw_key(self, record: WithdrawKey) -> CommandResult:
        return self._apply_once(
            record, lambda: self._mark_key_withdrawn(record)
        )

    def _mark_key_withdrawn(self, record: WithdrawKey) -> CommandResult:
        stored = self.config.keys.get(record.key_id)
        if stored is None:
            return self._result(Code.OBJECT_UNKNOWN, record.key_id)
        if not stored[1].withdrawn:
            withdrawn_key = replace(stored[1], withdrawn=True)
            self.config.put_key(self._advance(), withdrawn_key)
            self._add_history_entry(record, (f"withdraw key {record.key_id}",))
        return self._result(Code.OK, record.key_id)

    @_applies(RegisterMember)
    def _register_member(self, record: RegisterMember) -> CommandResult:
        stored = self.config.members.get(record.member.name)
        if stored is not None and stored[1] == record.member:
            return self._result(Code.OK)
        if stored is not None and (
            stored[1].generation > record.member.generation
        ):
            return self._result(Code.VERSION_CONFLICT, "older generation")
        self.config.put_member(self._advance(), record.member)
        return self._result(Code.OK)

    @_applies(ExpireMember)
    def _expire_member(self, record: ExpireMember) -> CommandResult:
        stored = self.config.members.get(record.name)
        if stored is None or stored[1].generation != record.generation:
            return self._result(Code.OBJECT_UNKNOWN, record.name)
        self.config.remove_member(self._advance(), record.name)
        return self._result(Code.OK)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        tables = _SnapshotTables(
            revision=self.revision,
            rows=list(self.config.rows.values()),
            keys=list(self.config.keys.values()),
            members=list(self.config.members.values()),
            gone_members=[
                (revision, name)
                for name, revision in self.config.gone_members.items()
            ],
            answers=list(self._results_by_change_id.items()),
            history=list(self.history),
            steering=self.steering.snapshot(),
        )
        plain = msgspec.to_builtins(tables, builtin_types=(bytes,))
        return cbor2.dumps(plain)

    @classmethod
    def restore(cls, data: bytes) -> "State":
        """Return the state that a snapshot encodes."""
        plain = cbor2.loads(data)
        tables = msgspec.convert(
            plain, _SnapshotTables, builtin_types=(bytes,)
        )
        state = cls()
        config = state.config
        config.revision = tables.revision
        for revision, row in tables.rows:
            config.put_row(revision, row)
        for revision, key in tables.keys:
            config.put_key(revision, key)
        for revision, member in tables.members:
            config.put_member(revision, member)
        for revision, name in tables.gone_members:
            config.remove_member(revision, name)
        config.update_objects(row for _, row in tables.rows)
        for entry in tables.history:
            state._remember(entry)
        state._results_by_change_id = dict(tables.answers)
        if tables.steering:
            state.steering = SteeringState.restore(tables.steering)
        return state


def _fingerprint(record: Any) -> bytes:
    """Return a digest of a change without its time."""
    content = COMMANDS.encode(replace(record, time_s=0.0))
    return hashlib.blake2b(content, digest_size=16).digest()


def _shorten(result: CommandResult) -> CommandResult:
    """Return a result whose size doesn't grow with the change."""
    return replace(
        result,
        detail=result.detail[:MAX_REMEMBERED_DETAIL_CHARS],
        faults=result.faults[:MAX_REMEMBERED_FAULTS],
    )


def _describe(edit: Edit) -> str:
    verb = "delete" if edit.data is None else "put"
    return f"{verb} {edit.kind}.{edit.name}"
