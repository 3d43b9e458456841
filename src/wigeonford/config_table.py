"""The published configuration, stored on control and on entry VMs."""

from collections.abc import Callable, Iterable, Iterator
import hashlib
from typing import Any, Final

import cbor2
import msgspec

from wigeonford.messages.object import ConfigUpdate, Member, ObjectRow
from wigeonford.model import (
    decode_object,
    KeyRecord,
    ObjectKey,
    ObjectSet,
)

DIGEST_BYTES: Final = 16


class ConfigTable:
    """Hold rows with the revision that set each, and a digest of all.

    The digest does not depend on the order of changes, so a follower that
    applies deltas detects a missed one by comparing digests.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.full_update_revision = 0
        self.objects = ObjectSet({})
        self.rows: dict[ObjectKey, tuple[int, ObjectRow]] = {}
        self.keys: dict[str, tuple[int, KeyRecord]] = {}
        self.members: dict[str, tuple[int, Member]] = {}
        self.gone_members: dict[str, int] = {}
        self._digest = 0

    @property
    def digest(self) -> bytes:
        """Return the digest of all keys, members and undeleted rows."""
        return self._digest.to_bytes(DIGEST_BYTES)

    def _update_digest(self, old: Any, new: Any) -> None:
        for record in (old, new):
            if record is not None:
                self._digest ^= _record_digest(record)

    def put_row(self, revision: int, row: ObjectRow) -> None:
        """Set or delete an object; call `update_objects` after the last."""
        old = self.rows.get((row.kind, row.name))
        self._update_digest(
            _row_unless_deleted(old[1]) if old else None,
            _row_unless_deleted(row),
        )
        self.rows[row.kind, row.name] = (revision, row)

    def put_key(self, revision: int, key: KeyRecord) -> None:
        """Set a key's record."""
        old = self.keys.get(key.key_id)
        self._update_digest(old[1] if old else None, key)
        self.keys[key.key_id] = (revision, key)

    def put_member(self, revision: int, member: Member) -> None:
        """Add or replace an entry VM on the roster."""
        old = self.members.get(member.name)
        self._update_digest(old[1] if old else None, member)
        self.gone_members.pop(member.name, None)
        self.members[member.name] = (revision, member)

    def remove_member(self, revision: int, name: str) -> None:
        """Remove an entry VM from the roster."""
        old = self.members.pop(name, None)
        if old is not None:
            self._update_digest(old[1], None)
        self.gone_members[name] = revision

    def changes_since(
        self, revision: int, confirmed_age_s: float | None
    ) -> ConfigUpdate:
        """Return the changes after `revision`; 0 requests a full update.

        A follower with a newer revision gets an update without changes.
        One older than `full_update_revision`, the revision of the full
        update that this table was built from, gets a full update, since
        this table has no record of earlier deletions.
        """
        if revision > self.revision:
            return ConfigUpdate(
                self.revision, self.revision, (), (), (), (), b"", None
            )
        if revision < self.full_update_revision:
            revision = 0
        if revision == self.revision and revision:
            return ConfigUpdate(
                revision,
                revision,
                (),
                (),
                (),
                (),
                self.digest,
                confirmed_age_s,
            )
        return ConfigUpdate(
            revision=self.revision,
            base=revision,
            objects=tuple(
                row
                for row in _records_after(self.rows, revision)
                if revision or row.data is not None
            ),
            keys=tuple(_records_after(self.keys, revision)),
            members=tuple(_records_after(self.members, revision)),
            gone_members=tuple(
                name
                for name, changed_at in self.gone_members.items()
                if revision and changed_at > revision
            ),
            digest=self.digest,
            vouched_age_s=confirmed_age_s,
        )

    def with_update(self, update: ConfigUpdate) -> "ConfigTable | None":
        """Return the table after an update, or None if it does not apply.

        The update must be full or start at this table's revision, and
        must result in the digest that it carries.
        """
        if update.base not in (0, self.revision):
            return None
        table = self._copy() if update.base else ConfigTable()
        for row in update.objects:
            table.put_row(update.revision, row)
        for key in update.keys:
            table.put_key(update.revision, key)
        for member in update.members:
            table.put_member(update.revision, member)
        for name in update.gone_members:
            table.remove_member(update.revision, name)
        if table.digest != update.digest:
            return None
        table.revision = update.revision
        if not update.base:
            table.full_update_revision = update.revision
        table.update_objects(update.objects)
        return table

    def _copy(self) -> "ConfigTable":
        table = ConfigTable()
        table.revision = self.revision
        table.full_update_revision = self.full_update_revision
        table.objects = self.objects
        table.rows = dict(self.rows)
        table.keys = dict(self.keys)
        table.members = dict(self.members)
        table.gone_members = dict(self.gone_members)
        table._digest = self._digest
        return table

    def update_objects(self, rows: Iterable[ObjectRow]) -> None:
        """Update the decoded objects from changed rows."""
        objects = dict(self.objects.objects)
        for row in rows:
            key = (row.kind, row.name)
            if row.data is None:
                objects.pop(key, None)
                continue
            item, faults = decode_object(row.kind, row.data, row.name)
            assert not faults, f"published objects are valid: {faults}"
            objects[key] = item
        self.objects = ObjectSet(objects)


def _row_unless_deleted(row: ObjectRow) -> ObjectRow | None:
    return row if row.data is not None else None


def _records_after(
    table: dict[Any, tuple[int, Any]], revision: int
) -> Iterator[Any]:
    return (
        record
        for changed_at, record in table.values()
        if changed_at > revision
    )


def _record_digest(record: Any) -> int:
    plain = msgspec.to_builtins(record, builtin_types=(bytes,))
    content = cbor2.dumps([type(record).__name__, plain], canonical=True)
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest)


Publisher = Callable[[int], ConfigUpdate]
"""Return the update for a follower that has the given revision."""
