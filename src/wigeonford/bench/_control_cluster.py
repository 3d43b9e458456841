"""Five control replicas and three entry VMs with links that can fail."""

import asyncio
import os
from pathlib import Path
import shutil
from typing import Final

from wigeonford.bench._fleet import find_free_address
from wigeonford.bench._link import LinkState, StandInLink
from wigeonford.bench._settings import BENCH_SECRETS
from wigeonford.compose import build_control, build_entry
from wigeonford.control import ControlDaemon, LogFileStore
from wigeonford.entry import EntryDaemon
from wigeonford.events import EventLog
from wigeonford.settings import (
    Address,
    ControlMember,
    ControlSettings,
    EntrySettings,
)

CONTROL_NAMES: Final = tuple(f"control-{n}" for n in range(1, 6))
START_POLL_S: Final = 0.02
ENTRY_NAMES: Final = tuple(f"entry-{n}" for n in range(1, 4))


class PowerCutStore(LogFileStore):
    """Store a log and simulate a power failure during a write."""

    def __init__(self, folder: Path) -> None:
        self._kept_fraction: float | None = None
        super().__init__(folder)

    def cut_power(self, kept_fraction: float) -> None:
        """Fail all further writes.

        Only a fraction `kept_fraction` of the frame reaches the file.
        """
        self._kept_fraction = kept_fraction

    def write_frame(self, file: int, frame: bytes) -> None:
        """Write a frame; after `cut_power`, write a torn frame and fail."""
        if self._kept_fraction is None:
            super().write_frame(file, frame)
            return
        torn = frame[: int(len(frame) * self._kept_fraction)]
        os.write(file, torn)
        raise OSError("simulated power failure")

    def cut_file(self, file: int, size: int) -> None:
        """Cut a file; fail after `cut_power`."""
        if self._kept_fraction is not None:
            raise OSError("simulated power failure")
        super().cut_file(file, size)


class ControlCluster:
    """Run the replicas and the entry VMs and inject faults into them."""

    def __init__(self, folder: Path, log: EventLog) -> None:
        self._folder = folder
        self._log = log
        self._addresses = {
            name: find_free_address(f"127.9.1.{number}")
            for number, name in enumerate(CONTROL_NAMES, 1)
        }
        self._links: dict[tuple[str, str], StandInLink] = {}
        self._states: dict[tuple[str, str], LinkState] = {}
        self._link_addresses: dict[tuple[str, str], Address] = {}
        self._stores: dict[str, PowerCutStore] = {}
        self.controls: dict[str, ControlDaemon] = {}
        self.entries: dict[str, EntryDaemon] = {}

    async def start(self) -> None:
        """Start the replicas, then, once one leads, the entry VMs."""
        for source in (*CONTROL_NAMES, *ENTRY_NAMES):
            for target in CONTROL_NAMES:
                if source != target:
                    await self._start_link(source, target)
        await asyncio.gather(*map(self.start_control, CONTROL_NAMES))
        while any(d.replica.leader is None for d in self.controls.values()):
            await asyncio.sleep(START_POLL_S)
        await asyncio.gather(*map(self._start_entry, ENTRY_NAMES))

    async def _start_link(self, source: str, target: str) -> None:
        state = LinkState()
        link = StandInLink(self._addresses[target], state)
        self._link_addresses[source, target] = await link.start()
        self._links[source, target] = link
        self._states[source, target] = state

    async def start_control(self, name: str) -> None:
        """Start a control replica with its data folder."""
        members = tuple(
            ControlMember(
                other,
                "region",
                self._link_addresses.get(
                    (name, other), self._addresses[other]
                ),
            )
            for other in CONTROL_NAMES
        )
        cfg = ControlSettings(
            name,
            "region",
            self._folder / name,
            BENCH_SECRETS,
            members=members,
            peer_address=self._addresses[name],
        )
        daemon = build_control(cfg, self._log, self._open_store)
        await daemon.start()
        self.controls[name] = daemon

    def _open_store(self, folder: Path) -> PowerCutStore:
        store = PowerCutStore(folder)
        self._stores[folder.name] = store
        return store

    async def _start_entry(self, name: str) -> None:
        addresses = tuple(
            self._link_addresses[name, control] for control in CONTROL_NAMES
        )
        # Each entry VM prefers a different replica.
        offset = ENTRY_NAMES.index(name)
        cfg = EntrySettings(
            name,
            "zone",
            BENCH_SECRETS,
            addresses[offset:] + addresses[:offset],
        )
        entry = build_entry(cfg, self._log)
        await entry.start()
        self.entries[name] = entry

    async def kill(self, name: str, kept_fraction: float) -> None:
        """Crash a replica; keep a fraction of the frame that it writes."""
        self._stores[name].cut_power(kept_fraction)
        await self.controls.pop(name).crash()

    def wipe(self, name: str) -> None:
        """Delete the data folder of a crashed replica."""
        assert name not in self.controls, "the replica does not run"
        shutil.rmtree(self._folder / name)

    def drop_traffic(self, source: str, target: str) -> None:
        """Silently drop all data that one process sends to another."""
        outward = self._states.get((source, target))
        if outward is not None:
            outward.cut_forward = True
        inward = self._states.get((target, source))
        if inward is not None:
            inward.cut_backward = True

    def isolate(self, name: str) -> None:
        """Partition a process from all others in both directions."""
        for other in (*CONTROL_NAMES, *ENTRY_NAMES):
            self.drop_traffic(name, other)
            self.drop_traffic(other, name)

    def heal(self) -> None:
        """Stop dropping data on all links."""
        for state in self._states.values():
            state.cut_forward = False
            state.cut_backward = False

    async def stop(self) -> None:
        """Crash the entry VMs and the replicas, then stop the links."""
        await asyncio.gather(*(e.crash() for e in self.entries.values()))
        await asyncio.gather(*(c.crash() for c in self.controls.values()))
        await asyncio.gather(*(link.stop() for link in self._links.values()))
