"""The configuration revision in use, which never decreases."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from wigeonford.config_table import ConfigTable
from wigeonford.events import Event, EventLog
from wigeonford.invariants import Checks, Invariant
from wigeonford.messages.object import ConfigUpdate, Member
from wigeonford.metrics import Metrics
from wigeonford.model import KeyRecord, ObjectSet


@dataclass(frozen=True, slots=True)
class EntryConfig:
    """Hold one revision in the form that an entry VM uses."""

    revision: int
    objects: ObjectSet
    keys_by_digest: dict[bytes, KeyRecord]
    members: dict[str, Member]


EMPTY_CONFIG: Final = EntryConfig(0, ObjectSet({}), {}, {})


class ConfigPublisher:
    """Apply updates and publish each revision atomically.

    The next update is applied to `table`. If an update does not match it,
    `table` is emptied to fetch a full snapshot, while `current` stays in
    use.
    """

    def __init__(
        self, checks: Checks, metrics: Metrics, log: EventLog
    ) -> None:
        self._checks = checks
        self._metrics = metrics
        self._log = log
        self._listeners: list[Callable[[EntryConfig], None]] = []
        self.table = ConfigTable()
        self.current = EMPTY_CONFIG

    def on_change(self, listener: Callable[[EntryConfig], None]) -> None:
        """Call `listener` with each new revision."""
        self._listeners.append(listener)

    def accept(self, update: ConfigUpdate) -> bool:
        """Apply an update; return whether its revision is now in use."""
        if update.revision < self.current.revision:
            self._log.emit(
                Event.CONFIG_OLDER_IGNORED,
                held=self.current.revision,
                offered=update.revision,
            )
            return False
        if update.base == update.revision == self.table.revision:
            if update.digest == self.table.digest:
                return True
            return self.discard_table()
        table = self.table.with_update(update)
        if table is None:
            return self.discard_table()
        self._publish(table)
        return True

    def discard_table(self) -> bool:
        """Empty the table, so that the next pull fetches a full snapshot."""
        self._log.emit(Event.SPREAD_GAP_FOUND, revision=self.current.revision)
        self.table = ConfigTable()
        return False

    def _publish(self, table: ConfigTable) -> None:
        self._check_transition(table)
        self.table = table
        self.current = EntryConfig(
            table.revision,
            table.objects,
            {key.digest: key for _, key in table.keys.values()},
            {name: member for name, (_, member) in table.members.items()},
        )
        self._metrics.revision.set({}, table.revision)
        self._log.emit(Event.CONFIG_APPLIED, revision=table.revision)
        for listener in self._listeners:
            listener(self.current)

    def _check_transition(self, table: ConfigTable) -> None:
        self._checks.require(
            table.revision >= self.current.revision,
            Invariant.CONFIG_NEVER_REVERTS,
            f"{self.current.revision} to {table.revision}",
        )
        revived_key_ids = [
            key.key_id
            for key in self.current.keys_by_digest.values()
            if key.withdrawn and not _is_withdrawn(table, key)
        ]
        self._checks.require(
            not revived_key_ids,
            Invariant.WITHDRAWN_KEY_STOPS,
            f"keys in use again: {revived_key_ids[:3]}",
        )


def _is_withdrawn(table: ConfigTable, key: KeyRecord) -> bool:
    row = table.keys.get(key.key_id)
    return row is None or row[1].withdrawn
