"""The leader role: replication, commits and the replica table."""

from msgspec.structs import replace

from wigeonford.control._commands import COMMANDS
from wigeonford.control._raft_checks import check_reply
from wigeonford.control._raft_effects import Role
from wigeonford.control._raft_members import (
    as_learner,
    ChangeReplicas,
    count_changed_voters,
    find_entry,
    quorum_value,
    ReplicaTable,
    START_TERM,
    voters,
    with_entry,
    without_entry,
)
from wigeonford.control._raft_node import (
    HEARTBEAT_S,
    RaftNode,
)
from wigeonford.control._raft_progress import Progress, SNAPSHOT_TIMEOUT_S
from wigeonford.control._store import LogEntry
from wigeonford.errors import Code, PeerError
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    EntryRecord,
    HandOver,
)

MAX_BATCH_BYTES = 262144
REPLACE_SILENT_AFTER_S = 3.0
"""Silence after which a replica may be removed; a restart takes less."""
FIRST_SUCCESSOR_S = 0.1
"""Until then the other voters know as well that there is no leader; else they
would deny their votes."""
NEXT_SUCCESSOR_S = 0.4
"""The time of an election between regions."""


class LeaderRole:
    """Act as the leader; call `start` at the beginning of each term."""

    def __init__(self, node: RaftNode) -> None:
        self._node = node
        self._progress: dict[str, Progress] = {}
        self._reported_incarnations: dict[str, str] = {}
        self._heartbeat_at_s = 0.0
        self._led_since_s = 0.0
        self._now_s = 0.0

    def start(self, now_s: float, *, bootstrapped: bool = False) -> None:
        """Become the leader of the current term."""
        node = self._node
        node.role = Role.LEADER
        node.leader = node.name
        self._progress = {}
        self._reported_incarnations = {}
        self._led_since_s = self._now_s = now_s
        self._sync_progress()
        if not bootstrapped:
            self.append([START_TERM])
        self.heartbeat(now_s)
        self._advance_commit()

    def append(self, contents: list[bytes]) -> int:
        """Append entries; return the position of the first."""
        log = self._node.log
        first = log.last_position + 1
        log.append(
            LogEntry(first + offset, self._node.term, content)
            for offset, content in enumerate(contents)
        )
        return first

    @property
    def may_change_table(self) -> bool:
        """Return whether this term has a commit and no change is pending."""
        node = self._node
        return self.is_current and (
            node.log.table_position <= node.commit_position
        )

    @property
    def is_current(self) -> bool:
        """Return whether an entry of this term is committed."""
        node = self._node
        return node.log.term_at(node.commit_position) == node.term

    def change_table(self, table: ReplicaTable) -> int:
        """Append a new replica table; at most one voter may differ."""
        assert self.may_change_table, (
            "a change of the replica table is in progress"
        )
        changed = count_changed_voters(self._node.log.table, table)
        assert changed <= 1, "more than one voter changed"
        position = self.append([COMMANDS.encode(ChangeReplicas(table))])
        self._sync_progress()
        self._advance_commit()
        return position

    def _sync_progress(self) -> None:
        node = self._node
        kept: dict[str, Progress] = {}
        for entry in node.log.table:
            if entry.name == node.name:
                continue
            progress = self._progress.get(entry.name)
            if progress is None or progress.incarnation != entry.incarnation:
                progress = Progress(
                    entry.incarnation,
                    node.log.last_position + 1,
                    self._now_s,
                )
            kept[entry.name] = progress
        self._progress = kept

    def quorum_acked_sent_s(self, now_s: float) -> float:
        """Return the latest time for which a quorum acknowledged messages.

        That is, a quorum acknowledged messages sent at that time or later.
        """
        sent = {
            name: progress.acked_sent_s
            for name, progress in self._progress.items()
        }
        sent[self._node.name] = now_s
        return quorum_value(self._node.log.table, sent, float("-inf"))

    def lost_quorum(self, now_s: float) -> bool:
        """Return whether no quorum has replied within an election timeout."""
        latest_s = max(self.quorum_acked_sent_s(now_s), self._led_since_s)
        return now_s - latest_s > self._node.identity.timing.min_s

    def tick(self, now_s: float) -> None:
        """Send due heartbeats and update the replica table."""
        self._now_s = now_s
        if now_s >= self._heartbeat_at_s:
            self.heartbeat(now_s)
        self._advance_commit()
        self._update_table(now_s)

    def heartbeat(self, now_s: float) -> None:
        """Send to every replica now, even without new entries."""
        self._heartbeat_at_s = now_s + HEARTBEAT_S
        for name, progress in self._progress.items():
            self._send_append(name, progress, now_s)

    def replicate(self, now_s: float) -> None:
        """Send followers the entries that were not sent to them yet."""
        last = self._node.log.last_position
        for name, progress in self._progress.items():
            while progress.next_position <= last and progress.may_send(
                self._node.log
            ):
                if not self._send_append(name, progress, now_s):
                    break

    def _send_append(
        self, name: str, progress: Progress, now_s: float
    ) -> bool:
        node = self._node
        base = node.log.base_position
        previous = progress.next_position - 1
        if previous < base:
            # A snapshot sent to a follower that is down would be lost.
            alive = self._is_alive(progress, now_s)
            if alive and now_s >= progress.next_snapshot_at_s:
                progress.next_snapshot_at_s = now_s + SNAPSHOT_TIMEOUT_S
                node.send_snapshot(name, progress.incarnation, now_s)
            node.send(name, self._append_message(progress, base, (), now_s))
            return False
        entries: tuple[LogEntry, ...] = ()
        if progress.may_send(node.log):
            entries = node.log.entries_between(
                previous, node.log.last_position, MAX_BATCH_BYTES
            )
        node.send(
            name, self._append_message(progress, previous, entries, now_s)
        )
        progress.next_position += len(entries)
        return bool(entries)

    def _is_alive(self, progress: Progress, now_s: float) -> bool:
        silent_s = now_s - progress.acked_sent_s
        return silent_s < self._node.identity.timing.min_s

    def _append_message(
        self,
        progress: Progress,
        previous: int,
        entries: tuple[LogEntry, ...],
        now_s: float,
    ) -> AppendEntries:
        node = self._node
        previous_term = node.log.term_at(previous)
        assert previous_term is not None, (
            "the preceding entry is not in the log"
        )
        confirmed_at_s = self.confirmed_at_s(now_s)
        return AppendEntries(
            node.name,
            progress.incarnation,
            node.term,
            previous,
            previous_term,
            tuple(EntryRecord(e.term, e.content) for e in entries),
            node.commit_position,
            now_s,
            progress.replied_at_s,
            None if confirmed_at_s is None else now_s - confirmed_at_s,
        )

    def confirmed_at_s(self, now_s: float) -> float | None:
        """Return when a quorum last confirmed leadership, or None."""
        if not self.is_current:
            return None
        at_s = self.quorum_acked_sent_s(now_s)
        return at_s if at_s > float("-inf") else None

    def on_reply(self, reply: AppendReply, now_s: float) -> None:
        """Update a follower's progress from its reply.

        Raise `PeerError` if the leader sent nothing that it may reply to.
        """
        node = self._node
        progress = self._progress.get(reply.sender)
        if progress is None:
            return
        if reply.incarnation != progress.incarnation:
            self._reported_incarnations[reply.sender] = reply.incarnation
            return
        faults = "; ".join(check_reply(reply, node.log.last_position, now_s))
        if faults:
            raise PeerError(Code.MESSAGE_INVALID, f"{reply.sender}: {faults}")
        progress.acked_sent_s = max(progress.acked_sent_s, reply.sent_at_s)
        if progress.replied_at_s is None:
            progress.replied_at_s = reply.replied_at_s
        # The newest reply counts, since a restarted follower has a new
        # timestamp offset.
        if reply.sent_at_s >= progress.acked_sent_s:
            progress.replied_at_s = reply.replied_at_s
        if reply.accepted:
            progress.accept(reply.position)
        else:
            progress.reject(reply.position)
        self._advance_commit()

    def _advance_commit(self) -> None:
        node = self._node
        matched = {
            name: progress.match_position
            for name, progress in self._progress.items()
        }
        matched[node.name] = node.log.last_position
        position = quorum_value(node.log.table, matched, 0)
        # Entries of earlier terms are committed only together with a later
        # entry of this term.
        if (
            position > node.commit_position
            and node.log.term_at(position) == node.term
        ):
            node.commit(position)

    def is_removed(self) -> bool:
        """Return whether a committed change removed this voter."""
        node = self._node
        return (
            not node.is_voter
            and node.log.table_position <= node.commit_position
        )

    def _update_table(self, now_s: float) -> None:
        if not self.may_change_table:
            return
        table = self._node.log.table
        for name, incarnation in self._reported_incarnations.items():
            entry = find_entry(table, name)
            if entry is not None and entry.incarnation != incarnation:
                changed = with_entry(table, as_learner(entry, incarnation))
                self.change_table(changed)
                del self._reported_incarnations[name]
                return
        promoted = self._table_with_promoted_learner(now_s)
        surplus = self._find_surplus_replica(
            now_s, replacing=promoted is not None
        )
        if surplus is not None:
            self.change_table(without_entry(table, surplus))
        elif promoted is not None:
            self.change_table(promoted)

    def _find_surplus_replica(
        self, now_s: float, *, replacing: bool
    ) -> str | None:
        """Return the name of a silent replica to remove, or None.

        A silent voter is removed before the learner that replaces it becomes
        a voter, so that a quorum is never computed over both.
        """
        desired = self._node.identity.desired_voters
        table = self._node.log.table
        if not desired:
            return None
        count = len(voters(table)) + replacing
        for entry in table:
            if not self._is_silent(entry.name, now_s):
                continue
            if count > desired or (not entry.voter and count >= desired):
                return entry.name
        return None

    def _is_silent(self, name: str, now_s: float) -> bool:
        progress = self._progress.get(name)
        if progress is None:
            return False
        last_contact_s = max(progress.acked_sent_s, progress.tracked_since_s)
        return now_s - last_contact_s > REPLACE_SILENT_AFTER_S

    def _table_with_promoted_learner(
        self, now_s: float
    ) -> ReplicaTable | None:
        node = self._node
        for entry in node.log.table:
            progress = self._progress.get(entry.name)
            if entry.voter or progress is None:
                continue
            alive = self._is_alive(progress, now_s)
            if alive and progress.match_position >= node.commit_position:
                return with_entry(node.log.table, replace(entry, voter=True))
        return None

    def hand_over(self, now_s: float) -> dict[str, HandOver]:
        """Return a message for each other voter, by its name.

        Voters that were heard lately and have most of the log stand first.
        """
        followers = sorted(
            (not self._is_alive(progress, now_s), -progress.match_position, n)
            for n, progress in self._progress.items()
            if n in {entry.name for entry in voters(self._node.log.table)}
        )
        return {
            name: HandOver(
                self._node.name,
                self._node.term,
                FIRST_SUCCESSOR_S + rank * NEXT_SUCCESSOR_S,
            )
            for rank, (_, _, name) in enumerate(followers)
        }

    def lag(self) -> dict[str, int]:
        """Return each follower's lag in entries."""
        last = self._node.log.last_position
        return {
            name: last - progress.match_position
            for name, progress in self._progress.items()
        }
