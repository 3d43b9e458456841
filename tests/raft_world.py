"""A virtual-time world of consensus cores with a faulty network."""

from dataclasses import dataclass, field
import itertools
import random
from typing import Any

import cbor2

from wigeonford.control._raft import RaftCore
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
    """Hold what is synced."""

    hard: HardState
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
    """Run one replica on its disk."""

    disk: Disk
    core: RaftCore | None = None
    state: list[bytes] = field(default_factory=list)
    position: int = 0
    crash_in: int | None = None


class World:
    """Run cores and check that they agree."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.names = [f"c{number}" for number in range(count)]
        self.cuts: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay_s = 0.05
        self.wire: list[tuple[float, int, str, str, Any]] = []
        self.ids = itertools.count()
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.commit_times: list[tuple[float, int]] = []
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
        configured = dict.fromkeys(self.names, ("", 0))
        node.core = RaftCore(
            Identity(name, configured),
            node.disk.hard,
            log,
            random.Random(self.rng.random()),
            self.now_s,
        )

    def crash(self, name: str) -> None:
        self.nodes[name].core = None

    def wipe(self, name: str) -> None:
        self.crash(name)
        self.nodes[name].disk = self._new_disk()

    def table(self) -> ReplicaTable:
        """Return the newest committed table."""
        for position in sorted(self.committed, reverse=True):
            table = decode_change(self.committed[position][1])
            if table is not None:
                return table
        return ()

    def repaired(self) -> bool:
        """Tell whether every voter still has the folder it voted with."""
        return all(
            self.nodes[entry.name].disk.hard.incarnation == entry.incarnation
            for entry in voters(self.table())
        )

    def whole(self) -> bool:
        """Tell whether every replica is a voter again."""
        return self.repaired() and len(voters(self.table())) == len(self.names)

    def live(self) -> dict[str, RaftCore]:
        return {
            name: node.core
            for name, node in self.nodes.items()
            if node.core is not None
        }

    def leader(self) -> str | None:
        leading = [
            (core.term, name)
            for name, core in self.live().items()
            if core.role is Role.LEADER
        ]
        return max(leading)[1] if leading else None

    def propose(self, name: str, content: bytes) -> None:
        core = self.nodes[name].core
        if core is not None:
            core.propose([content])
            self.carry_out(name)

    def advance(self, seconds: float) -> None:
        """Let time pass, deliver messages and tick every core."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += STEP_S
            due = [m for m in self.wire if m[0] <= self.now_s]
            self.wire = [m for m in self.wire if m[0] > self.now_s]
            for _, _, sender, to, record in sorted(due, key=lambda m: m[:2]):
                core = self.nodes[to].core
                if core is not None and (sender, to) not in self.cuts:
                    core.receive(record, self.now_s)
                    if self.rng.random() < 0.5:
                        self.carry_out(to)
            for name, core in self.live().items():
                core.tick(self.now_s)
                self.carry_out(name)
            self.check()

    def carry_out(self, name: str) -> None:
        """Carry out effects in order; a planned crash loses the rest."""
        node = self.nodes[name]
        assert node.core is not None, "a live core has effects"
        for effect in node.core.take_effects(self.now_s):
            if node.crash_in is not None:
                node.crash_in -= 1
                if node.crash_in < 0:
                    self.crash(name)
                    return
            self.perform(name, node, effect)

    def perform(self, name: str, node: Node, effect: Effect) -> None:
        if isinstance(effect, Save):
            if effect.truncate_after is not None:
                node.disk.truncate(effect.truncate_after)
            node.disk.entries.extend(effect.entries)
            node.disk.hard = effect.hard_state or node.disk.hard
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
            late = 1.5 if self.rng.random() < 0.02 else 0.0
            at_s = self.now_s + self.rng.random() * self.delay_s + late
            self.wire.append((at_s, next(self.ids), sender, to, record))

    def check_durable(self, disk: Disk, record: Any) -> None:
        """Check that what a message depends on has been synced."""
        last = disk.entries[-1].position if disk.entries else 0
        if disk.snapshot is not None:
            last = max(last, disk.snapshot.position)
        if isinstance(record, VoteReply) and not record.pre_vote:
            if record.is_granted:
                assert disk.hard.term >= record.term, "term saved first"
                assert disk.hard.voted_for is not None, "vote saved first"
        elif isinstance(record, VoteRequest) and not record.pre_vote:
            assert disk.hard.term >= record.term, "own vote saved first"
        elif isinstance(record, AppendReply) and record.accepted:
            assert disk.hard.term >= record.term, "term saved first"
            assert last >= record.position, "entries saved first"
        elif isinstance(record, AppendEntries):
            end = record.previous_position + len(record.entries)
            assert last >= end, "the leader's entries saved first"

    def send_snapshot(
        self, name: str, node: Node, effect: SendSnapshot
    ) -> None:
        held = node.disk.snapshot
        assert held is not None, "a compacted log has a snapshot"
        record = InstallSnapshot(
            name,
            effect.recipient,
            effect.term,
            held.position,
            held.term,
            held.content,
            effect.sent_at_s,
        )
        self.send(name, effect.to, record)

    def apply(self, node: Node, effect: Apply) -> None:
        for entry in effect.entries:
            assert entry.position == node.position + 1, "applied in order"
            node.position = entry.position
            known = self.committed.setdefault(
                entry.position, (entry.term, entry.content)
            )
            assert known == (entry.term, entry.content), (
                f"two entries committed at {entry.position}"
            )
            if is_state_command(entry.content):
                node.state.append(entry.content)
        latest = self.commit_times[-1][1] if self.commit_times else 0
        if node.position > latest:
            self.commit_times.append((self.now_s, node.position))

    def change_role(self, name: str, effect: ChangeRole) -> None:
        if effect.role is not Role.LEADER:
            return
        held = self.leaders.setdefault(effect.term, name)
        assert held == name, f"two leaders of term {effect.term}"
        core = self.nodes[name].core
        assert core is not None, "a leader runs"
        for position, (term, _) in self.committed.items():
            if position > core.log.base_position:
                assert core.log.term_at(position) == term, (
                    f"the leader lacks committed entry {position}"
                )

    def take_snapshot(self, name: str) -> None:
        """Save the state of a replica and compact its log."""
        node = self.nodes[name]
        core = node.core
        if core is None or node.position <= core.log.base_position:
            return
        term = core.log.term_at(node.position)
        assert term is not None, "applied entries are held"
        table = core.log.table_at(node.position)
        content = pack_snapshot(table, cbor2.dumps(node.state))
        node.disk.snapshot = Snapshot(node.position, term, content)
        node.disk.entries = [
            e for e in node.disk.entries if e.position > node.position
        ]
        core.compact(max(core.log.base_position, node.position - 3))

    def check(self) -> None:
        """Check log matching, what is vouched for and each state."""
        for one, other in itertools.combinations(self.live().values(), 2):
            self.check_logs(one.log, other.log)
        for name, core in self.live().items():
            at_s = core.confirmed_at_s(self.now_s)
            if at_s is not None:
                promised = max(
                    (p for t, p in self.commit_times if t <= at_s), default=0
                )
                assert core.commit_position >= promised, (
                    f"{name} vouches for a state that is older"
                )

    def check_logs(self, one: RaftLog, other: RaftLog) -> None:
        low = max(one.base_position, other.base_position)
        high = min(one.last_position, other.last_position)
        matched = False
        for position in range(high, low, -1):
            same = one.term_at(position) == other.term_at(position)
            assert same or not matched, f"logs differ before {position + 1}"
            if same and not matched:
                ours = one.entries_between(low, position)
                assert ours == other.entries_between(low, position), (
                    "same term"
                )
                matched = True

    def check_state(self, node: Node) -> None:
        expected = [
            self.committed[position][1]
            for position in range(1, node.position + 1)
            if is_state_command(self.committed[position][1])
        ]
        assert node.state == expected, "the state has every command once"

    def settle(self) -> None:
        """Heal everything and check that all replicas catch up."""
        self.cuts.clear()
        self.loss = 0.0
        for name, node in self.nodes.items():
            node.crash_in = None
            if node.core is None:
                self.start(name)
        for _ in range(60):
            self.advance(0.5)
            if self.settled():
                break
        assert self.settled(), "a healed cluster agrees again"
        for node in self.nodes.values():
            self.check_state(node)

    def settled(self) -> bool:
        leader = self.leader()
        if leader is None or not self.committed:
            return False
        core = self.nodes[leader].core
        assert core is not None, "a leader runs"
        last = core.log.last_position
        return core.commit_position == last and all(
            node.position == last
            for name, node in self.nodes.items()
            if find_entry(core.log.table, name) is not None
        )
