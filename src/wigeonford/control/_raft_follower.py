"""Following: take entries and snapshots from the leader."""

from wigeonford.control._raft_effects import Role, SaveInstalled
from wigeonford.control._raft_node import RaftNode
from wigeonford.control._raft_snapshot import unpack_snapshot
from wigeonford.control._store import LogEntry
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
)


class Following:
    """Bring the log in line with the leader's."""

    def __init__(self, node: RaftNode) -> None:
        self._node = node

    def on_append(self, message: AppendEntries, now_s: float) -> None:
        """Take entries where the logs match before them."""
        if not self._follows(message, now_s):
            self._reply(message, False, 0, now_s)
            return
        hint = self._mismatch(message)
        if hint is not None:
            self._reply(message, False, hint, now_s)
            return
        matched = self._take(message)
        commit = min(message.commit_position, matched)
        if commit > self._node.commit_position:
            self._node.commit(commit)
        self._take_vouch(message, now_s)
        self._reply(message, True, matched, now_s)

    def _follows(
        self, message: AppendEntries | InstallSnapshot, now_s: float
    ) -> bool:
        node = self._node
        if message.recipient != node.hard.incarnation:
            return False
        if message.term < node.term:
            return False
        assert node.role is not Role.LEADER or message.term > node.term, (
            "one leader a term"
        )
        node.become_follower(message.term, message.sender, now_s)
        node.heard_leader_s = now_s
        node.delay_election(now_s)
        return True

    def _mismatch(self, message: AppendEntries) -> int | None:
        """Return from where to try again, or None where the logs match."""
        log = self._node.log
        position = message.previous_position
        if position <= self._node.commit_position:
            return None
        if position > log.last_position:
            return log.last_position
        if log.term_at(position) == message.previous_term:
            return None
        first = log.first_of_term(position)
        return max(first - 1, self._node.commit_position)

    def _take(self, message: AppendEntries) -> int:
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

    def _take_vouch(self, message: AppendEntries, now_s: float) -> None:
        """Take over the leader's vouch, as old as it can at most be.

        The message left after the leader had the stamp that it echoes.
        """
        node = self._node
        if message.vouched_age_s is None or message.echo_s is None:
            return
        if message.commit_position > node.commit_position:
            return
        echo_s = message.echo_s - node.stamp_offset_s
        if not node.started_at_s <= echo_s <= now_s:
            return
        vouched_at_s = echo_s - message.vouched_age_s
        if node.vouched_at_s is None or vouched_at_s > node.vouched_at_s:
            node.vouched_at_s = vouched_at_s

    def on_snapshot(self, message: InstallSnapshot, now_s: float) -> None:
        """Install a snapshot unless the log already holds its end."""
        if not self._follows(message, now_s):
            self._reply(message, False, 0, now_s)
            return
        node = self._node
        held = node.log.term_at(message.position) == message.snapshot_term
        if message.position > node.commit_position and not held:
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
            node.hard.incarnation,
            max(node.term, message.term),
            accepted,
            position,
            message.sent_at_s,
            now_s + node.stamp_offset_s,
        )
        node.send(message.sender, reply)
