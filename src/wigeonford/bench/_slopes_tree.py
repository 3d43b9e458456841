"""A spread tree of configuration followers on loopback.

Its nodes serve no callers.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path
import time
from typing import Any, Final
import uuid

from wigeonford.bench._link import LinkState, StandInLink
from wigeonford.bench._settings import BENCH_SECRETS
from wigeonford.compose import build_control
from wigeonford.control import ControlDaemon
from wigeonford.entry import ConfigFollower, Parents, SpreadShape
from wigeonford.events import EventLog
from wigeonford.invariants import Checks, OnBreach
from wigeonford.messages.object import LeaveRoster, Member
from wigeonford.metrics import Metrics
from wigeonford.peer import PeerClient, PeerServer
from wigeonford.settings import Address, ControlSettings

POLL_INTERVAL_S: Final = 0.01
WAIT_TIMEOUT_S: Final = 20.0
ZONE: Final = "zone-a"
REGION: Final = "region-a"


class CountingPeerClient(PeerClient):
    """Count the messages sent to a peer by type."""

    def __init__(self, *args: Any, requests_by_type: dict[str, int]) -> None:
        super().__init__(*args)
        self._requests_by_type = requests_by_type

    async def request(self, record: Any, timeout_s: float) -> Any:
        """Count a message and send it."""
        message_type = type(record).__name__
        self._requests_by_type[message_type] = (
            self._requests_by_type.get(message_type, 0) + 1
        )
        return await super().request(record, timeout_s)


class TreeNode:
    """Follow the configuration like an entry VM."""

    def __init__(
        self, name: str, control: Address, shape: SpreadShape, log: EventLog
    ) -> None:
        self.name = name
        self.requests_by_type: dict[str, int] = {}
        self.control_link_state = LinkState()
        self.children_link_state = LinkState()
        self.control_link = StandInLink(control, self.control_link_state)
        self.children_link: StandInLink | None = None
        self._shape = shape
        self._log = log
        self._member: Member | None = None
        self._server = PeerServer(BENCH_SECRETS.peer, log)
        self._control_client: PeerClient | None = None
        self._follower: ConfigFollower | None = None

    @property
    def follower(self) -> ConfigFollower:
        """Return the follower under test."""
        assert self._follower is not None, "the node is not started"
        return self._follower

    def _make_follower(self, control: PeerClient) -> ConfigFollower:
        metrics = Metrics()
        return ConfigFollower(
            (control,),
            lambda: self._member,
            Parents(self.name, ZONE, self._connect_to_member, self._shape),
            Checks(self._log, metrics, OnBreach.STOP),
            metrics,
            self._log,
        )

    def _make_client(self, address: Address) -> PeerClient:
        return CountingPeerClient(
            self.name,
            address,
            BENCH_SECRETS.peer,
            self._log,
            requests_by_type=self.requests_by_type,
        )

    def _connect_to_member(self, member: Member) -> PeerClient:
        return self._make_client(Address(member.host, member.peer_port))

    async def start(self) -> None:
        """Listen for children and start following the configuration."""
        self._control_client = self._make_client(
            await self.control_link.start()
        )
        self._follower = self._make_follower(self._control_client)
        self._follower.attach(self._server)
        bound = await self._server.start(Address())
        self.children_link = StandInLink(bound, self.children_link_state)
        address = await self.children_link.start()
        self._member = Member(
            self.name,
            ZONE,
            address.host,
            address.port,
            address.port,
            time.time_ns(),
        )
        await self._follower.start()

    def disconnect(self) -> None:
        """Drop all traffic between this node and its peers."""
        for state in (self.control_link_state, self.children_link_state):
            state.cut_forward = True
            state.cut_backward = True

    async def leave_roster(self) -> None:
        """Remove this VM from the roster, as a graceful shutdown does."""
        assert self._member and self._control_client, "the node is not started"
        message = LeaveRoster(self.name, self._member.generation)
        self._member = None
        await self._control_client.request(message, WAIT_TIMEOUT_S)

    async def stop(self) -> None:
        """Stop without leaving the roster."""
        # Stop the links first: a closing handshake would wait on a cut link.
        await self.control_link.stop()
        if self.children_link is not None:
            await self.children_link.stop()
        await self.follower.stop()
        await self._server.stop()

    @property
    def bytes_carried(self) -> int:
        """Return the bytes exchanged with control and the children."""
        children = self.children_link
        return self.control_link.bytes_carried + (
            children.bytes_carried if children is not None else 0
        )


class TreeFleet:
    """Run one control replica and the nodes of one zone."""

    def __init__(self, folder: Path, shape: SpreadShape) -> None:
        self.nodes: dict[str, TreeNode] = {}
        self._folder = folder
        self._shape = shape
        self._log = EventLog()
        self._control: ControlDaemon | None = None

    @property
    def control(self) -> ControlDaemon:
        """Return the control replica."""
        assert self._control is not None, "the fleet is not started"
        return self._control

    async def start(self, count: int) -> None:
        """Start control and `count` nodes, named from node-00."""
        cfg = ControlSettings(
            "control-1", REGION, self._folder / "control-1", BENCH_SECRETS
        )
        self._control = build_control(cfg, self._log)
        await self._control.start()
        for number in range(count):
            await self.start_node(f"node-{number:02}")
        await self.wait_until(self.roster_complete)

    async def start_node(self, name: str) -> TreeNode:
        """Start a node."""
        node = TreeNode(
            name, self.control.peer_address, self._shape, self._log
        )
        await node.start()
        self.nodes[name] = node
        return node

    async def stop(self) -> None:
        """Stop every node and control."""
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))
        await self.control.stop()

    def roster_complete(self) -> bool:
        """Return whether every node's roster lists exactly the nodes."""
        return all(
            node.follower.current.members.keys() == self.nodes.keys()
            for node in self.nodes.values()
        )

    def applied_everywhere(self, revision: int) -> Callable[[], bool]:
        """Return a check of whether every node has applied a revision."""
        return lambda: all(
            node.follower.current.revision >= revision
            for node in self.nodes.values()
        )

    async def wait_until(self, done: Callable[[], bool]) -> float:
        """Wait until `done` returns True; return the seconds it took."""
        started_s = time.monotonic()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not done():
                await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started_s

    async def run_command(self, record: Any) -> int:
        """Run a command on control; return the resulting revision."""
        result = await self.control.replica.propose(record)
        assert result.accepted, f"control rejected the command: {result}"
        return result.revision


def new_change_id() -> str:
    """Return a new change ID."""
    return uuid.uuid4().hex
