"""Five control replicas and three entry VMs with links that can fail."""

import asyncio
import os
from pathlib import Path
import shutil
from typing import Final

from wigeonford.bench._fleet import free_address
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
    """Lose what is not yet synced when the power is cut."""

    def __init__(self, folder: Path) -> None:
        self._kept: float | None = None
        super().__init__(folder)

    def cut_power(self, kept: float) -> None:
        """Keep only a part, 0 to 1, of the frame that is next written."""
        self._kept = kept

    def write_frame(self, file: int, frame: bytes) -> None:
        """Write a frame, torn and not synced once the power is cut."""
        if self._kept is None:
            super().write_frame(file, frame)
            return
        torn = frame[: int(len(frame) * self._kept)]
        os.write(file, torn)
        raise OSError("the power was cut")


class ControlCluster:
    """Run the replicas and the entry VMs; cut, kill and wipe."""

    def __init__(self, folder: Path, log: EventLog) -> None:
        self._folder = folder
        self._log = log
        self._ports = {
            name: free_address(f"127.9.1.{number}")
            for number, name in enumerate(CONTROL_NAMES, 1)
        }
        self._links: dict[tuple[str, str], StandInLink] = {}
        self._states: dict[tuple[str, str], LinkState] = {}
        self._faces: dict[tuple[str, str], Address] = {}
        self._stores: dict[str, PowerCutStore] = {}
        self.controls: dict[str, ControlDaemon] = {}
        self.entries: dict[str, EntryDaemon] = {}

    async def start(self) -> None:
        """Start everything and wait for a leader."""
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
        link = StandInLink(self._ports[target], state)
        self._faces[source, target] = await link.start()
        self._links[source, target] = link
        self._states[source, target] = state

    async def start_control(self, name: str) -> None:
        """Start a control replica on its data folder."""
        members = tuple(
            ControlMember(
                other,
                "region",
                self._faces.get((name, other), self._ports[other]),
            )
            for other in CONTROL_NAMES
        )
        cfg = ControlSettings(
            name,
            "region",
            self._folder / name,
            BENCH_SECRETS,
            members=members,
            peer_address=self._ports[name],
        )
        daemon = build_control(cfg, self._log, self._open_store)
        await daemon.start()
        self.controls[name] = daemon

    def _open_store(self, folder: Path) -> PowerCutStore:
        store = PowerCutStore(folder)
        self._stores[folder.name] = store
        return store

    async def _start_entry(self, name: str) -> None:
        faces = tuple(self._faces[name, control] for control in CONTROL_NAMES)
        # Each entry VM prefers another replica.
        shift = ENTRY_NAMES.index(name)
        cfg = EntrySettings(
            name, "zone", BENCH_SECRETS, faces[shift:] + faces[:shift]
        )
        entry = build_entry(cfg, self._log)
        await entry.start()
        self.entries[name] = entry

    async def kill(self, name: str, kept: float) -> None:
        """Kill a replica; of what it was writing, keep a part."""
        self._stores[name].cut_power(kept)
        await self.controls.pop(name).crash()

    def wipe(self, name: str) -> None:
        """Lose the data folder of a killed replica."""
        assert name not in self.controls, "only a killed replica is wiped"
        shutil.rmtree(self._folder / name)

    def cut(self, source: str, target: str) -> None:
        """Lose without a word all that one process sends another."""
        outward = self._states.get((source, target))
        if outward is not None:
            outward.cut_forward = True
        inward = self._states.get((target, source))
        if inward is not None:
            inward.cut_backward = True

    def isolate(self, name: str) -> None:
        """Cut a process off from all others, both ways."""
        for other in (*CONTROL_NAMES, *ENTRY_NAMES):
            self.cut(name, other)
            self.cut(other, name)

    def heal(self) -> None:
        """Let every link carry again."""
        for state in self._states.values():
            state.cut_forward = False
            state.cut_backward = False

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(e.crash() for e in self.entries.values()))
        await asyncio.gather(*(c.crash() for c in self.controls.values()))
        await asyncio.gather(*(link.stop() for link in self._links.values()))
