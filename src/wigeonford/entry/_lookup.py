"""Look-ups: map a caller's address to ranked entry VMs."""

import asyncio
from dataclasses import dataclass, replace
from typing import Final

from wigeonford.entry._lookup_ranking import RankedVM, Ranking
from wigeonford.entry._lookup_table import BlockTable
from wigeonford.entry._published import EntryConfig
from wigeonford.model import ClientBlock, ClientBlockPage

LOOKUP_LIFETIME_S: Final = 5.0
MAX_INLINE_PAGES: Final = 4
MAX_INLINE_BLOCKS: Final = 256


@dataclass(frozen=True, slots=True)
class LookupResponse:
    """List entry VMs, best first, and how long the list is valid."""

    entry_vms: tuple[RankedVM, ...]
    lifetime_s: float
    revision: int


class Lookup:
    """Answer look-ups from one revision of the configuration."""

    def __init__(
        self,
        config: EntryConfig,
        blocks: BlockTable,
        previous: "Lookup | None" = None,
    ) -> None:
        self._revision = config.revision
        self._blocks = blocks
        ranking = previous._ranking if previous is not None else None
        self._ranking: Ranking = Ranking(config, ranking)

    def answer(self, client: str, seed: str) -> LookupResponse:
        """Return the entry VMs for a caller's address, best first."""
        return LookupResponse(
            self._ranking.find(self._blocks.find(client), seed),
            LOOKUP_LIFETIME_S,
            self._revision,
        )


@dataclass(frozen=True, slots=True)
class _BlockSource:
    """Hold the objects from which a block table is built."""

    blocks: dict[str, ClientBlock]
    pages: dict[str, ClientBlockPage]

    def build(self, previous: BlockTable) -> BlockTable:
        return BlockTable(self.blocks.values(), self.pages.values(), previous)

    def is_small_change(self, previous_source: "_BlockSource") -> bool:
        """Return whether few enough pages changed to build inline."""
        previous_pages = set(previous_source.pages.values())
        changed_count = sum(
            page not in previous_pages for page in self.pages.values()
        )
        return (
            changed_count <= MAX_INLINE_PAGES
            and len(self.blocks) <= MAX_INLINE_BLOCKS
        )


class LookupBuilder:
    """Hold a `Lookup` of the newest revision and replace it atomically.

    Rankings are updated with each revision at once, so that a drained VM is
    left out without delay. A large change of the blocks is built in a
    thread, and the previous table is used until that is done.
    """

    def __init__(self, config: EntryConfig) -> None:
        self._config = config
        self._source = _source(config)
        self._built_source = self._source
        self._table = BlockTable(
            self._source.blocks.values(), self._source.pages.values()
        )
        self._task: asyncio.Task[None] | None = None
        self._excluded: str | None = None
        self.current = Lookup(config, self._table)

    def follow(self, config: EntryConfig) -> None:
        """Apply a new revision."""
        self._config = config
        self._source = _source(config)
        if self._task is None and self._source != self._built_source:
            if self._source.is_small_change(self._built_source):
                self._table = self._source.build(self._table)
                self._built_source = self._source
            else:
                self._task = asyncio.create_task(self._build_in_thread())
        self._replace()

    def exclude(self, name: str) -> None:
        """Exclude an entry VM at once, even if it is on the roster."""
        self._excluded = name
        self._replace()

    async def settled(self) -> None:
        """Wait until the newest blocks are in use."""
        while self._task is not None:
            await asyncio.wait((self._task,))

    def _replace(self) -> None:
        members = {
            name: member
            for name, member in self._config.members.items()
            if name != self._excluded
        }
        config = replace(self._config, members=members)
        self.current = Lookup(config, self._table, self.current)

    async def _build_in_thread(self) -> None:
        try:
            while self._built_source != self._source:
                source = self._source
                table = await asyncio.to_thread(source.build, self._table)
                self._table = table
                self._built_source = source
                self._replace()
        finally:
            self._task = None


def _source(config: EntryConfig) -> _BlockSource:
    return _BlockSource(
        config.objects.client_blocks, config.objects.client_block_pages
    )
