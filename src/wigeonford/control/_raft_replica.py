"""A control replica that runs Raft with other replicas."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import random
from typing import Any, Final, TypeVar

import cbor2
import msgspec

from wigeonford._tasks import boot_time_s, wait_for_result
from wigeonford.control._commands import CommandResult, COMMANDS
from wigeonford.control._raft import RaftCore
from wigeonford.control._raft_channel import Channels, Connect
from wigeonford.control._raft_checks import (
    check_raft_message,
    check_state,
)
from wigeonford.control._raft_disk import load
from wigeonford.control._raft_driver import RaftDriver
from wigeonford.control._raft_effects import HardState
from wigeonford.control._raft_inbox import (
    Proposal,
    Read,
    Received,
    TableChange,
)
from wigeonford.control._raft_log import RaftLog
from wigeonford.control._raft_members import is_state_command
from wigeonford.control._raft_node import (
    DEFAULT_TIMING,
    ElectionTiming,
    Identity,
)
from wigeonford.control._replica import raise_if_skipped, ReplicaStatus
from wigeonford.control._state import State
from wigeonford.control._store import StorageError, Store
from wigeonford.errors import Code, PeerError, RunState
from wigeonford.events import Event, EventLog
from wigeonford.messages.raft import (
    AppendEntries,
    AppendReply,
    BootstrapProbe,
    BootstrapReply,
    CommandOutcome,
    ConfirmRead,
    HandOver,
    InstallSnapshot,
    ReadConfirmed,
    ReplicaChange,
    SubmitCommand,
    VoteReply,
    VoteRequest,
)
from wigeonford.peer import Done, NotLeaderError, PeerServer
from wigeonford.settings import ControlSettings

T = TypeVar("T")

REQUEST_TIMEOUT_S: Final = 5.0
RETRY_INTERVAL_S: Final = 0.05
NEW_LEADER_S: Final = 2.0
"""The maximum election timeout: for how long a replica that can't store
anything waits for another one to lead."""
_CORE_MESSAGES: Final = (
    AppendEntries,
    AppendReply,
    BootstrapProbe,
    BootstrapReply,
    HandOver,
    InstallSnapshot,
    VoteReply,
    VoteRequest,
)


class RaftReplica:
    """Replicate commands to the other replicas with Raft."""

    def __init__(
        self,
        cfg: ControlSettings,
        store: Store,
        connect: Connect,
        log: EventLog,
        clock: Callable[[], float] = boot_time_s,
        desired_voters: int = 0,
        timing: ElectionTiming = DEFAULT_TIMING,
    ) -> None:
        self._name = cfg.name
        self._desired_voters = desired_voters
        self._timing = timing
        self._store = store
        self._log = log
        self._clock = clock
        self._members = {
            member.name: member.peer_address for member in cfg.members
        }
        self._rng = random.SystemRandom()
        self._driver = RaftDriver(
            cfg.name, self._members, store, Channels(connect), log, clock
        )

    @property
    def state(self) -> State:
        """Return the state after the entries applied so far."""
        return self._driver.state

    @property
    def leader(self) -> str | None:
        """Return the leader's name, or None if no leader is known."""
        return self._driver.leader

    @property
    def is_leader(self) -> bool:
        """Return whether this replica believes that it is the leader."""
        return self.leader == self._name

    @property
    def term(self) -> int:
        """Return the latest term that this replica knows."""
        return self._driver.term

    @property
    def incarnation(self) -> str:
        """Return the incarnation that is stored in the data folder."""
        return self._driver.core.hard_state.incarnation

    def members(self) -> tuple[str, ...]:
        """Return the names of the replicas in the newest replica table."""
        return tuple(entry.name for entry in self._driver.core.log.table)

    def on_applied(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change of the state."""
        self._driver.on_applied(listener)

    def attach(self, server: PeerServer) -> None:
        """Register the handlers of the other replicas' messages."""
        for kind in _CORE_MESSAGES:
            server.handle(kind, self._on_core_message)
        server.handle(SubmitCommand, self._on_submit)
        server.handle(ConfirmRead, self._on_confirm_read)
        server.handle(ReplicaChange, self._on_replica_change)

    async def start(self) -> None:
        """Recover from the store and join the other replicas."""
        self._driver.start(load(self._store), self._build_core)

    def _build_core(
        self, hard_state: HardState | None, log: RaftLog, applied_position: int
    ) -> RaftCore:
        configured = {
            name: (address.host, address.port)
            for name, address in self._members.items()
        }
        return RaftCore(
            Identity(
                self._name, configured, self._desired_voters, self._timing
            ),
            hard_state,
            log,
            self._rng,
            self._clock(),
            applied_position,
        )

    async def stop(self) -> None:
        """Stop participating and release the store."""
        await self._driver.stop()

    async def propose(self, record: Any) -> CommandResult:
        """Return the result once a quorum has synced the command."""
        content = COMMANDS.encode(record)
        # An entry that can't be decoded must not get into the log.
        COMMANDS.decode(content)

        async def forward() -> CommandResult:
            reply = await self.request_from_leader(SubmitCommand(content))
            assert isinstance(reply, CommandOutcome), (
                "unexpected reply to a command"
            )
            return _decode_result(reply.content)

        result = await self._run_on_leader(
            lambda: self._propose(content), forward
        )
        raise_if_skipped(result)
        return result

    async def propose_in_term(self, record: Any, term: int) -> CommandResult:
        """Return the result of a command decided as the leader of a term."""
        self._driver.raise_if_stopped()
        if not self.is_leader or self.term != term:
            raise NotLeaderError(self.leader)
        result = await self._propose(COMMANDS.encode(record), term)
        raise_if_skipped(result)
        return result

    async def read_barrier(self) -> None:
        """Return once a quorum has confirmed that the state is current."""

        async def forward() -> int:
            reply = await self.request_from_leader(ConfirmRead())
            assert isinstance(reply, ReadConfirmed), (
                "unexpected reply to a read"
            )
            return reply.position

        position = await self._run_on_leader(self._confirm, forward)
        await self._await_result(self._driver.when_applied(position))

    async def change_replicas(self, change: ReplicaChange) -> None:
        """Add or remove a replica; return once a quorum stored the change."""

        async def forward() -> CommandResult:
            await self.request_from_leader(change)
            return CommandResult(Code.OK.number, self.state.revision)

        await self._run_on_leader(lambda: self._change_table(change), forward)

    def confirmed_age_s(self) -> float | None:
        """Return how long ago a quorum confirmed the state, or None."""
        confirmed_at_s = self._driver.confirmed_at_s
        return (
            None if confirmed_at_s is None else self._clock() - confirmed_at_s
        )

    async def request_from_leader(self, record: Any) -> Any:
        """Return the leader's reply to a peer message."""
        leader = self.leader
        if leader is None or leader == self._name:
            raise NotLeaderError(leader)
        channel = self._driver.channel(leader)
        if channel is None:
            raise NotLeaderError(leader)
        return await channel.request(record, REQUEST_TIMEOUT_S)

    @property
    def failure(self) -> str | None:
        """Return why the replica can't store anything, or None."""
        return self._driver.failure

    @property
    def has_stopped(self) -> bool:
        """Return whether the replica takes no part until a restart."""
        return self._driver.has_stopped

    def on_storage_change(self, listener: Callable[[bool], None]) -> None:
        """Call a function with whether the disk takes writes."""
        self._driver.on_storage_change(listener)

    def describe(self) -> ReplicaStatus:
        """Return the status of the replica."""
        return self._driver.describe()

    async def _run_on_leader(
        self,
        lead: Callable[[], Awaitable[T]],
        forward: Callable[[], Awaitable[T]],
    ) -> T:
        """Run `lead` if this replica is the leader, else `forward`.

        Repeat that until a leader accepts the request or the timeout passes.
        Only a request that certainly was not accepted is repeated.
        """
        started_s = self._clock()
        while True:
            self._driver.raise_if_stopped()
            try:
                if self.is_leader:
                    return await lead()
                return await forward()
            except PeerError as exc:
                if exc.code is Code.PEER_TIMEOUT:
                    raise PeerError(Code.NO_QUORUM, exc.detail) from exc
                if exc.code not in _SAFE_TO_RETRY:
                    raise
                waited_s = self._clock() - started_s
                if self.failure is not None and (
                    self._is_alone_without_room() or waited_s > NEW_LEADER_S
                ):
                    raise StorageError(self.failure) from exc
                if waited_s > REQUEST_TIMEOUT_S:
                    raise PeerError(
                        Code.NO_QUORUM,
                        "no leader is known",
                        run_state=RunState.NOT_RUN,
                    ) from exc
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _is_alone_without_room(self) -> bool:
        return len(self.members()) == 1 and not self._driver.is_stalled

    async def _propose(
        self, content: bytes, term: int | None = None
    ) -> CommandResult:
        fut: asyncio.Future[CommandResult] = _new_future()
        self._driver.enqueue(Proposal(content, fut, term))
        return await self._await_result(fut)

    async def _confirm(self) -> int:
        fut: asyncio.Future[int] = _new_future()
        self._driver.enqueue(Read(self._clock(), fut))
        return await self._await_result(fut)

    async def _change_table(self, change: ReplicaChange) -> CommandResult:
        fut: asyncio.Future[CommandResult] = _new_future()
        self._driver.enqueue(TableChange(change, fut))
        return await self._await_result(fut)

    async def _await_result(self, fut: asyncio.Future[T]) -> T:
        self._driver.raise_if_stopped()
        try:
            return await wait_for_result(fut, REQUEST_TIMEOUT_S)
        except TimeoutError as exc:
            raise PeerError(
                Code.NO_QUORUM, "not confirmed by a quorum in time"
            ) from exc

    async def _on_core_message(self, record: Any) -> Done:
        self._driver.raise_if_stopped()
        faults = "; ".join(self._check_core_message(record))
        if faults:
            detail = f"{type(record).__name__}: {faults}"
            self._log.emit(Event.RAFT_MESSAGE_REFUSED, detail=detail)
            raise PeerError(Code.MESSAGE_INVALID, detail)
        self._driver.enqueue(Received(record))
        return Done()

    def _check_core_message(self, record: Any) -> Iterator[str]:
        yield from check_raft_message(self._name, record)
        if isinstance(record, InstallSnapshot):
            yield from check_state(record)

    async def _on_submit(self, message: SubmitCommand) -> CommandOutcome:
        COMMANDS.decode(message.content)
        if not is_state_command(message.content):
            raise PeerError(Code.MESSAGE_INVALID, "not a state command")
        result = await self._propose(message.content)
        return CommandOutcome(_encode_result(result))

    async def _on_confirm_read(self, _message: ConfirmRead) -> ReadConfirmed:
        return ReadConfirmed(await self._confirm())

    async def _on_replica_change(self, message: ReplicaChange) -> Done:
        await self._change_table(message)
        return Done()


_SAFE_TO_RETRY: Final = frozenset(
    {Code.NOT_LEADER, Code.PEER_UNREACHABLE, Code.STORAGE_FAILED}
)


def _new_future() -> asyncio.Future[Any]:
    return asyncio.get_running_loop().create_future()


def _encode_result(result: CommandResult) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(result, builtin_types=(bytes,)))


def _decode_result(content: bytes) -> CommandResult:
    plain = cbor2.loads(content)
    return msgspec.convert(plain, CommandResult, builtin_types=(bytes,))
