"""Control replicas on loopback, with real disks."""

import asyncio
from pathlib import Path
import shutil
import tempfile
import unittest
from unittest import mock

from wigeonford.bench import load_deployment, LocalFleet
from wigeonford.cli._operator import OperatorClient
from wigeonford.control import _raft_driver, Edit, recover_as_only_replica
from wigeonford.control._replica import Replica, ReplicaStatus
from wigeonford.errors import Code, PeerError, WigeonfordError
from wigeonford.events import EventLog


def region_edits(name: str) -> tuple[Edit, ...]:
    return (Edit("regions", name, 0, {"name": name}),)


async def change_with_retries(
    client: OperatorClient, change_id: str, edits: tuple[Edit, ...]
) -> None:
    """Send a change until its outcome is known, as an operator does.

    A resent change gets its first result again, also from a new leader.
    """
    async with asyncio.timeout(20):
        while True:
            try:
                await client.change(change_id, edits)
            except PeerError as exc:
                if exc.code is not Code.NO_QUORUM:
                    raise
                continue
            return


class ControlTest(unittest.IsolatedAsyncioTestCase):
    """Run three control replicas; crash them and delete their data."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.fleet = LocalFleet(
            load_deployment("guild"), self.folder, EventLog(), 3
        )
        self.names = ("control-1", "control-2", "control-3")
        await asyncio.gather(*map(self.fleet.start_control, self.names))
        self.addAsyncCleanup(self.fleet.stop)

    async def test_changes_survive_any_one_replica(self) -> None:
        for number, name in enumerate(self.names):
            client = self.fleet.operator_client()
            await change_with_retries(
                client, f"a{number}", region_edits(f"a{number}")
            )
            await self.fleet.crash_control(name)
            client = self.fleet.operator_client()
            await change_with_retries(
                client, f"b{number}", region_edits(f"b{number}")
            )
            await self.fleet.start_control(name)
        regions = await self.fleet.operator_client().objects("regions")
        self.assertEqual(len(regions), 6)

    async def test_lost_folder_rejoins_and_counts_again(self) -> None:
        await change_with_retries(
            self.fleet.operator_client(), "a", region_edits("a")
        )
        await self.fleet.crash_control("control-2")
        shutil.rmtree(self.folder / "control-2")
        status_before = self.fleet.controls["control-1"].replica.describe()
        await self.fleet.start_control("control-2")
        await self._until_replaced("control-2", status_before)
        await self._until_voters(3, "control-2")
        await self.fleet.crash_control("control-1")
        await change_with_retries(
            self.fleet.operator_client(), "b", region_edits("b")
        )
        regions = await self.fleet.operator_client().objects("regions")
        self.assertEqual({item.name for item in regions}, {"a", "b"})

    async def _until_replaced(self, name: str, before: ReplicaStatus) -> None:
        """Wait until a replica has another incarnation than `before`."""
        old = {r.incarnation for r in before.replicas if r.name == name}
        async with asyncio.timeout(20):
            while True:
                status = self.fleet.controls[name].replica.describe()
                new = {
                    r.incarnation for r in status.replicas if r.name == name
                }
                if new and new != old:
                    return
                await asyncio.sleep(0.05)

    async def _until_voters(self, count: int, name: str) -> None:
        """Wait until a replica knows `count` voters, itself included."""
        async with asyncio.timeout(20):
            while True:
                status = self.fleet.controls[name].replica.describe()
                voters = {r.name for r in status.replicas if r.voter}
                if len(voters) == count and name in voters:
                    return
                await asyncio.sleep(0.05)

    async def _until_confirmed(self, replica: Replica) -> None:
        """Wait until the replica has caught up and a read is confirmed."""
        while True:
            try:
                await replica.read_barrier()
            except PeerError:
                continue
            return

    async def test_far_behind_catches_up_by_snapshot(self) -> None:
        with (
            mock.patch.object(_raft_driver, "SNAPSHOT_INTERVAL_ENTRIES", 10),
            mock.patch.object(_raft_driver, "RETAINED_LOG_ENTRIES", 5),
        ):
            for daemon in self.fleet.controls.values():
                daemon.replica._driver._schedule_snapshot()  # type: ignore
            await change_with_retries(
                self.fleet.operator_client(), "first", region_edits("first")
            )
            await self.fleet.crash_control("control-3")
            client = self.fleet.operator_client()
            for number in range(60):
                await change_with_retries(
                    client, f"s{number}", region_edits(f"s{number}")
                )
            await self.fleet.start_control("control-3")
            replica = self.fleet.controls["control-3"].replica
            await self._until_confirmed(replica)
        self.assertEqual(len(replica.state.config.rows), 61)
        for name in self.names:
            await self.fleet.crash_control(name)
        await asyncio.gather(*map(self.fleet.start_control, self.names))
        regions = await self.fleet.operator_client().objects("regions")
        self.assertEqual(len(regions), 61)

    async def test_recovers_after_a_majority_is_lost(self) -> None:
        await change_with_retries(
            self.fleet.operator_client(), "a", region_edits("a")
        )
        for name in self.names:
            await self.fleet.crash_control(name)
        for name in ("control-2", "control-3"):
            shutil.rmtree(self.folder / name)
        with self.assertRaises(WigeonfordError):
            recover_as_only_replica(self.folder / "control-1", "control-2")
        recover_as_only_replica(self.folder / "control-1", "control-1")
        for name in self.names:
            await self.fleet.start_control(name)
        client = self.fleet.operator_client()
        self.assertEqual(len(await client.objects("regions")), 1)
        for name in ("control-2", "control-3"):
            address = self.fleet.controls[name].peer_address
            await client.change_replica(name, address)
            await self._until_voters(int(name[-1]), name)

    async def test_removed_replica_and_status(self) -> None:
        client = self.fleet.operator_client()
        await change_with_retries(client, "a", region_edits("a"))
        await client.change_replica("control-3", None)
        status = await client.status()
        names = [r["name"] for r in status["replica"]["replicas"]]
        self.assertEqual(names, ["control-1", "control-2"])
        address = self.fleet.controls["control-3"].peer_address
        await client.change_replica("control-3", address)
        await self._until_voters(3, "control-3")

    async def test_read_your_own_change_at_any_replica(self) -> None:
        for number in range(6):
            daemons = list(self.fleet.controls.values())
            other = daemons[(number + 1) % 3].replica
            client = self.fleet.operator_client()
            await change_with_retries(
                client, f"c{number}", region_edits(f"c{number}")
            )
            await other.read_barrier()
            self.assertEqual(
                other.state.object_version("regions", f"c{number}"), 1
            )
        for daemon in daemons:
            while daemon.replica.confirmed_age_s() is None:
                await asyncio.sleep(0.02)
