"""Simulate Raft replicas and a faulty network in virtual time."""

from dataclasses import dataclass, field
import itertools
import random
from typing import Any

import cbor2

from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_checks import check_raft_message
from wigeonford.control._raft_effects import (
    Apply,
    ChangeRole,
    Effect,
    HardState,
    Role,
    Save,
    SaveInstalled,
    Send,
    SendSnapshot,
)
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_members import (
    decode_change,
    find_entry,
    is_state_command,
    ReplicaTable,
    voters,
)
from wigeonford.control._raft_node import Identity
from wigeonford.control._raft_outage import StorageOutage
from wigeonford.control._raft_snapshot import pack_snapshot, unpack_snapshot
from wigeonford.control._store import LogEntry, Snapshot
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    VoteReply,
    VoteRequest,
)

STEP_S = 0.02


@dataclass
class Disk:
    """Hold the durable data of one replica."""

    hard_state: HardState
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)

    def truncate(self, after: int) -> None:
        self.entries = [e for e in self.entries if e.position <= after]

    def load(self) -> tuple[RaftLog, list[bytes]]:
        if self.snapshot is None:
            return RaftLog(entries=self.entries), []
        table, state = unpack_snapshot(self.snapshot.content)
        log = RaftLog(
            self.snapshot.position, self.snapshot.term, table, self.entries
        )
        return log, cbor2.loads(state)


@dataclass
class Node:
    """Hold one replica: its disk, core, applied state and next crash.

    `core` is None while the replica is down. `outage` is set from the first
    save that fails while `is_full` until there is room again, and while a
    save stands still: `held_effects` are those from this save on. `crash_in`
    is the number of effects that the replica still performs before a planned
    crash; None means that no crash is planned.
    """

    disk: Disk
    core: RaftCore | None = None
    state: list[bytes] = field(default_factory=list)
    position: int = 0
    crash_in: int | None = None
    is_full: bool = False
    is_stalled: bool = False
    held_effects: list[Effect] = field(default_factory=list)
    outage: StorageOutage | None = None


class World:
    """Simulate a cluster and check Raft's safety properties at each step.

    `cuts` holds the directed links that drop all messages; `loss` is the
    fraction of messages lost on every link.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.names = [f"c{number}" for number in range(count)]
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay_s = 0.05
        self.in_flight: list[tuple[float, int, str, str, Any]] = []
        self.message_ids = itertools.count()
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.commit_times: list[tuple[float, int]] = []
        self.given_up: set[LogEntry] = set()
        self.leaders: dict[int, str] = {}
        self.nodes = {name: Node(self._new_disk()) for name in self.names}
        for name in self.names:
            self.start(name)

    def _new_disk(self) -> Disk:
        return Disk(HardState(f"{self.rng.getrandbits(64):016x}"))

    def start(self, name: str) -> None:
        node = self.nodes[name]
        log, node.state = node.disk.load()
        node.position = log.base_position
        node.crash_in = None
        node.outage = None
        node.held_effects = []
        self.build_core(name, log)

    def build_core(self, name: str, log: RaftLog) -> None:
        node = self.nodes[name]
        configured = dict.fromkeys(self.names, ("", 0))
        node.core = RaftCore(
            Identity(name, configured),
            node.disk.hard_state,
            log,
            random.Random(self.rng.random()),
            self.now_s,
            node.position,
        )

    def begin_outage(self, name: str) -> None:
        """Build the core from what is stored, and store nothing more."""
        node = self.nodes[name]
        log, _ = node.disk.load()
        node.outage = StorageOutage(lambda: self.now_s, may_reply=True)
        previous = node.core
        self.build_core(name, log)
        assert node.core is not None and previous is not None
        node.core.keep_leader_contact(previous)
        for other, message in previous.hand_over(self.now_s).items():
            self.send(name, other, message)

    def set_full(self, name: str, is_full: bool) -> None:
        """Fill a disk, or make room on it."""
        node = self.nodes[name]
        node.is_full = is_full
        if not is_full and not node.held_effects:
            node.outage = None

    def set_stalled(self, name: str, is_stalled: bool) -> None:
        """Let saves of a disk stand still, or end the one that does."""
        node = self.nodes[name]
        node.is_stalled = is_stalled
        if is_stalled or node.outage is None or not node.held_effects:
            return
        effects, node.held_effects = node.held_effects, []
        node.outage = None
        assert node.core is not None, "the replica is down"
        term = node.core.term
        self.run_effects(
            name,
            [
                effect
                for effect in effects
                if not isinstance(effect, Send)
                or not isinstance(effect.record, AppendEntries)
                or effect.record.term != term
            ],
        )
        if node.core is not None:
            node.core.step_down(self.now_s)

    def begin_stall(self, name: str, effects: list[Effect]) -> None:
        """Hand over, and hold a save and what follows it."""
        node = self.nodes[name]
        assert node.core is not None, "the replica is down"
        # Roles are reported late, but were taken now.
        for effect in effects:
            if isinstance(effect, ChangeRole):
                self.change_role(name, effect)
        node.held_effects = [
            e for e in effects if not isinstance(e, ChangeRole)
        ]
        node.outage = StorageOutage(lambda: self.now_s)
        for other, message in node.core.hand_over(self.now_s).items():
            self.send(name, other, message)

    def give_up_entries(self, node: Node) -> None:
        """Note the proposals that are told as not taken."""
        assert node.core is not None, "the replica is down"
        save = node.held_effects[0]
        if isinstance(save, Save):
            self.given_up.update(
                entry
                for entry in save.entries
                if entry.term == node.core.term
                and node.core.role is Role.LEADER
            )

    def crash(self, name: str) -> None:
        node = self.nodes[name]
        if node.core is not None and node.held_effects:
            # The save may have reached the disk.
            if self.rng.random() < 0.5:
                self.perform_effect(name, node, node.held_effects[0])
            node.held_effects = []
        node.core = None

    def wipe(self, name: str) -> None:
        self.crash(name)
        self.nodes[name].disk = self._new_disk()

    def committed_table(self) -> ReplicaTable:
        """Return the replica table that was committed last."""
        for position in sorted(self.committed, reverse=True):
            table = decode_change(self.committed[position][1])
            if table is not None:
                return table
        return ()

    def has_original_disks(self) -> bool:
        """Return whether every voter still has its original data folder."""
        return all(
            self.nodes[entry.name].disk.hard_state.incarnation
            == entry.incarnation
            for entry in voters(self.committed_table())
        )

    def whole(self) -> bool:
        """Return whether every replica is a voter with its original folder."""
        return self.has_original_disks() and len(
            voters(self.committed_table())
        ) == len(self.names)

    def live(self) -> dict[str, RaftCore]:
        return {
            name: node.core
            for name, node in self.nodes.items()
            if node.core is not None
        }

    def leader(self) -> str | None:
        leaders = [
            (core.term, name)
            for name, core in self.live().items()
            if core.role is Role.LEADER
        ]
        return max(leaders)[1] if leaders else None

    def propose(self, name: str, content: bytes) -> None:
        core = self.nodes[name].core
        if core is not None and not self.nodes[name].held_effects:
            core.propose([content])
            self.perform_effects(name)

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps; deliver messages, tick the cores."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            due = [m for m in self.in_flight if m[0] <= self.now_s]
            self.in_flight = [m for m in self.in_flight if m[0] > self.now_s]
            for _, _, sender, to, record in sorted(due, key=lambda m: m[:2]):
                if (sender, to) not in self.cuts:
                    self.receive(to, record)
            for name, core in self.live().items():
                if self.nodes[name].outage is None:
                    core.tick(self.now_s)
                self.perform_effects(name)
            self.check()

    def receive(self, name: str, record: Any) -> None:
        node = self.nodes[name]
        if node.core is None:
            return
        faults = tuple(check_raft_message(name, record))
        assert not faults, f"a proper message is refused: {faults}"
        if node.outage is not None:
            record = node.outage.reduce(record, node.core)
            if node.held_effects and node.outage.is_overtaken:
                self.give_up_entries(node)
        if record is None:
            return
        node.core.receive(record, self.now_s)
        if self.rng.random() < 0.5:
            self.perform_effects(name)

    def perform_effects(self, name: str) -> None:
        """Perform effects in order; those after a planned crash are lost."""
        node = self.nodes[name]
        assert node.core is not None, "the replica is down"
        if not node.held_effects:
            self.run_effects(name, node.core.take_effects(self.now_s))

    def run_effects(self, name: str, effects: list[Effect]) -> None:
        node = self.nodes[name]
        for index, effect in enumerate(effects):
            if node.crash_in is not None:
                node.crash_in -= 1
                if node.crash_in < 0:
                    self.crash(name)
                    return
            if isinstance(effect, Save | SaveInstalled):
                if node.is_full:
                    assert node.outage is None, "an outage saves nothing"
                    self.begin_outage(name)
                    return
                if node.is_stalled:
                    assert node.outage is None, "a stall saves nothing"
                    self.begin_stall(name, effects[index:])
                    return
            self.perform_effect(name, node, effect)

    def perform_effect(self, name: str, node: Node, effect: Effect) -> None:
        if isinstance(effect, Save):
            if effect.truncate_after is not None:
                node.disk.truncate(effect.truncate_after)
            node.disk.entries.extend(effect.entries)
            node.disk.hard_state = effect.hard_state or node.disk.hard_state
        elif isinstance(effect, SaveInstalled):
            node.disk.entries = []
            node.disk.snapshot = Snapshot(
                effect.position, effect.term, effect.content
            )
            node.state = cbor2.loads(unpack_snapshot(effect.content)[1])
            node.position = effect.position
            self.check_state(node)
        elif isinstance(effect, Send):
            self.send(name, effect.to, effect.record)
        elif isinstance(effect, SendSnapshot):
            self.send_snapshot(name, node, effect)
        elif isinstance(effect, Apply):
            self.apply(node, effect)
        else:
            self.change_role(name, effect)

    def send(self, sender: str, to: str, record: Any) -> None:
        self.check_durable(self.nodes[sender].disk, record)
        for _ in range(2 if self.rng.random() < 0.05 else 1):
            if self.rng.random() < self.loss or to not in self.nodes:
                continue
            extra_s = 1.5 if self.rng.random() < 0.02 else 0.0
            at_s = self.now_s + self.rng.random() * self.delay_s + extra_s
            self.in_flight.append(
                (at_s, next(self.message_ids), sender, to, record)
            )

    def check_durable(self, disk: Disk, record: Any) -> None:
        """Check that the data a message relies on was synced before."""
        last = disk.entries[-1].position if disk.entries else 0
        if disk.snapshot is not None:
            last = max(last, disk.snapshot.position)
        if isinstance(record, VoteReply) and not record.pre_vote:
            if record.is_granted:
                assert disk.hard_state.term >= record.term, (
                    "the term is not saved"
                )
                assert disk.hard_state.voted_for is not None, (
                    "the vote is not saved"
                )
        elif isinstance(record, VoteRequest) and not record.pre_vote:
            assert disk.hard_state.term >= record.term, (
                "the candidate's own vote is not saved"
            )
        elif isinstance(record, AppendReply) and record.accepted:
            assert disk.hard_state.term >= record.term, "the term is not saved"
            assert last >= record.position, (
                "acknowledged entries are not saved"
            )
        elif isinstance(record, AppendEntries):
            end = record.previous_position + len(record.entries)
            assert last >= end, "the leader sends unsaved entries"

    def send_snapshot(
        self, name: str, node: Node, effect: SendSnapshot
    ) -> None:
        snapshot = node.disk.snapshot
        assert snapshot is not None, "the log is compacted without a snapshot"
        record = InstallSnapshot(
            name,
            effect.recipient,
            effect.term,
            snapshot.position,
            snapshot.term,
            snapshot.content,
            effect.sent_at_s,
        )
        self.send(name, effect.to, record)

    def apply(self, node: Node, effect: Apply) -> None:
        for entry in effect.entries:
            assert entry.position == node.position + 1, "not applied in order"
            node.position = entry.position
            committed = self.committed.setdefault(
                entry.position, (entry.term, entry.content)
            )
            assert committed == (entry.term, entry.content), (
                f"two entries committed at {entry.position}"
            )
            assert entry not in self.given_up, (
                f"entry {entry.position} was told as not taken"
            )
            if is_state_command(entry.content):
                node.state.append(entry.content)
        max_position = self.commit_times[-1][1] if self.commit_times else 0
        if node.position > max_position:
            self.commit_times.append((self.now_s, node.position))

    def change_role(self, name: str, effect: ChangeRole) -> None:
        if effect.role is not Role.LEADER:
            return
        first = self.leaders.setdefault(effect.term, name)
        assert first == name, f"two leaders of term {effect.term}"
        core = self.nodes[name].core
        assert core is not None, "the leader is down"
        for position, (term, _) in self.committed.items():
            if position > core.log.base_position:
                assert core.log.term_at(position) == term, (
                    f"the leader lacks committed entry {position}"
                )

    def take_snapshot(self, name: str) -> None:
        """Save a snapshot of a replica's state and compact its log."""
        node = self.nodes[name]
        core = node.core
        if core is None or node.position <= core.log.base_position:
            return
        if node.held_effects:
            return
        term = core.log.term_at(node.position)
        assert term is not None, "an applied entry is missing from the log"
        table = core.log.table_at(node.position)
        content = pack_snapshot(table, cbor2.dumps(node.state))
        node.disk.snapshot = Snapshot(node.position, term, content)
        node.disk.entries = [
            e for e in node.disk.entries if e.position > node.position
        ]
        core.compact(max(core.log.base_position, node.position - 3))

    def check(self) -> None:
        """Check that logs match and that no confirmed state is stale.

        A replica that confirms its state at a time must have committed
        every entry that was committed anywhere by that time.
        """
        for one, other in itertools.combinations(self.live().values(), 2):
            self.check_logs(one.log, other.log)
        for name, core in self.live().items():
            at_s = core.confirmed_at_s(self.now_s)
            if at_s is not None:
                required = max(
                    (p for t, p in self.commit_times if t <= at_s), default=0
                )
                assert core.commit_position >= required, (
                    f"{name} confirms a stale state"
                )

    def check_logs(self, one: RaftLog, other: RaftLog) -> None:
        low = max(one.base_position, other.base_position)
        high = min(one.last_position, other.last_position)
        matched = False
        for position in range(high, low, -1):
            same = one.term_at(position) == other.term_at(position)
            assert same or not matched, (
                f"logs match at {position + 1} but not before"
            )
            if same and not matched:
                ours = one.entries_between(low, position)
                assert ours == other.entries_between(low, position), (
                    "entries of the same term differ"
                )
                matched = True

    def check_state(self, node: Node) -> None:
        expected = [
            self.committed[position][1]
            for position in range(1, node.position + 1)
            if is_state_command(self.committed[position][1])
        ]
        assert node.state == expected, (
            "the state does not have each command exactly once"
        )

    def settle(self) -> None:
        """End all faults and check that all replicas catch up."""
        self.cuts.clear()
        self.loss = 0.0
        for name, node in self.nodes.items():
            node.crash_in = None
            self.set_full(name, False)
            self.set_stalled(name, False)
            if node.core is None:
                self.start(name)
        for _ in range(60):
            self.advance(0.5)
            if self.has_caught_up():
                break
        assert self.has_caught_up(), "the replicas did not catch up"
        for node in self.nodes.values():
            self.check_state(node)

    def has_caught_up(self) -> bool:
        leader = self.leader()
        if leader is None or not self.committed:
            return False
        core = self.nodes[leader].core
        assert core is not None, "the leader is down"
        last = core.log.last_position
        return core.commit_position == last and all(
            node.position == last
            for name, node in self.nodes.items()
            if find_entry(core.log.table, name) is not None
        )
