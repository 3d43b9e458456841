"""The follower role: accept entries and snapshots of the leader."""

from wigeonford.control._raft_effects import Role, SaveInstalled
from wigeonford.control._raft_node import RaftNode
from wigeonford.control._raft_snapshot import unpack_snapshot
from wigeonford.control._store import LogEntry
from wigeonford.errors import Code, PeerError
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    HandOver,
    InstallSnapshot,
)


class FollowerRole:
    """Make the log match the leader's."""

    def __init__(self, node: RaftNode) -> None:
        self._node = node

    def on_append(self, message: AppendEntries, now_s: float) -> None:
        """Append entries if the log matches the leader's before them."""
        if not self._accept_leader(message, now_s):
            self._reply(message, False, 0, now_s)
            return
        hint = self._find_mismatch(message)
        if hint is not None:
            self._reply(message, False, hint, now_s)
            return
        matched = self._merge_entries(message)
        commit = min(message.commit_position, matched)
        if commit > self._node.commit_position:
            self._node.commit(commit)
        self._update_confirmation(message, now_s)
        self._reply(message, True, matched, now_s)

    def _accept_leader(
        self, message: AppendEntries | InstallSnapshot, now_s: float
    ) -> bool:
        node = self._node
        if message.recipient != node.hard_state.incarnation:
            return False
        if message.term < node.term:
            return False
        if node.role is Role.LEADER and message.term == node.term:
            raise PeerError(
                Code.MESSAGE_INVALID,
                f"{message.sender} states that it leads this leader's term",
            )
        node.become_follower(message.term, message.sender, now_s)
        node.last_leader_contact_s = now_s
        node.reset_election_timer(now_s)
        return True

    def _find_mismatch(self, message: AppendEntries) -> int | None:
        """Return the position to retry from, or None if the logs match."""
        log = self._node.log
        position = message.previous_position
        if position <= self._node.commit_position:
            return None
        if position > log.last_position:
            return log.last_position
        if log.term_at(position) == message.previous_term:
            return None
        first = log.first_position_of_term(position)
        return max(first - 1, self._node.commit_position)

    def _merge_entries(self, message: AppendEntries) -> int:
        log = self._node.log
        position = message.previous_position
        for index, record in enumerate(message.entries):
            position += 1
            if position <= self._node.commit_position:
                continue
            if log.term_at(position) == record.term:
                continue
            if position <= log.last_position:
                log.truncate_after(position - 1)
            log.append(
                LogEntry(position + offset, item.term, item.content)
                for offset, item in enumerate(message.entries[index:])
            )
            break
        return message.previous_position + len(message.entries)

    def _update_confirmation(
        self, message: AppendEntries, now_s: float
    ) -> None:
        """Update `confirmed_at_s` from the leader's message.

        The leader sent the message after it received the timestamp that the
        message echoes. Counting the age from that timestamp therefore never
        makes the confirmation look newer than it is.
        """
        node = self._node
        if message.confirmed_age_s is None or message.echo_s is None:
            return
        if message.commit_position > node.commit_position:
            return
        echo_s = message.echo_s - node.stamp_offset_s
        if not node.started_at_s <= echo_s <= now_s:
            return
        confirmed_at_s = echo_s - message.confirmed_age_s
        if node.confirmed_at_s is None or confirmed_at_s > node.confirmed_at_s:
            node.confirmed_at_s = confirmed_at_s

    def on_snapshot(self, message: InstallSnapshot, now_s: float) -> None:
        """Install a snapshot unless the log contains its last entry."""
        if not self._accept_leader(message, now_s):
            self._reply(message, False, 0, now_s)
            return
        node = self._node
        in_log = node.log.term_at(message.position) == message.snapshot_term
        if message.position > node.commit_position and not in_log:
            table, _ = unpack_snapshot(message.content)
            node.install(
                SaveInstalled(
                    message.position,
                    message.snapshot_term,
                    table,
                    message.content,
                )
            )
        self._reply(message, True, message.position, now_s)

    def on_hand_over(self, message: HandOver, now_s: float) -> None:
        """Stand for election soon, as the leader has stepped down."""
        node = self._node
        if (node.leader, node.term) != (message.sender, message.term):
            return
        node.leader = None
        node.last_leader_contact_s = float("-inf")
        node.election_at_s = now_s + message.delay_s

    def _reply(
        self,
        message: AppendEntries | InstallSnapshot,
        accepted: bool,
        position: int,
        now_s: float,
    ) -> None:
        node = self._node
        reply = AppendReply(
            node.name,
            node.hard_state.incarnation,
            max(node.term, message.term),
            accepted,
            position,
            message.sent_at_s,
            now_s + node.stamp_offset_s,
        )
        node.send(message.sender, reply)
