"""Look-ups: from a caller's address to ranked entry VMs."""

import asyncio
from dataclasses import dataclass
from typing import Final

from wigeonford.entry._config import EntryConfig
from wigeonford.entry._lookup_ranking import RankedVM, Ranking
from wigeonford.entry._lookup_table import BlockTable
from wigeonford.model import ClientBlock, ClientBlockPage

LOOKUP_LIFETIME_S: Final = 5.0
MAX_INLINE_PAGES: Final = 4
MAX_INLINE_BLOCKS: Final = 256


@dataclass(frozen=True, slots=True)
class LookupAnswer:
    """Answer a look-up: VMs, best first, and how long that holds."""

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

    def answer(self, client: str, seed: str) -> LookupAnswer:
        """Return the entry VMs for a caller's address, nearest first."""
        return LookupAnswer(
            self._ranking.find(self._blocks.find(client), seed),
            LOOKUP_LIFETIME_S,
            self._revision,
        )


@dataclass(frozen=True, slots=True)
class _BlockSource:
    """Hold the objects that a block table is built from."""

    blocks: dict[str, ClientBlock]
    pages: dict[str, ClientBlockPage]

    def build(self, previous: BlockTable) -> BlockTable:
        return BlockTable(self.blocks.values(), self.pages.values(), previous)

    def is_small_change(self, held: "_BlockSource") -> bool:
        """Tell whether the step from `held` is cheap enough to wait for."""
        before = set(held.pages.values())
        changed = sum(page not in before for page in self.pages.values())
        return (
            changed <= MAX_INLINE_PAGES
            and len(self.blocks) <= MAX_INLINE_BLOCKS
        )


class LookupBuilder:
    """Keep a `Lookup` of the newest revision and replace it as a whole.

    Rankings follow each revision at once, so that a drained VM is left
    out without delay. A large change of the blocks is built in a thread,
    and the former table answers until it is there.
    """

    def __init__(self, config: EntryConfig) -> None:
        self._config = config
        self._source = _source(config)
        self._built = self._source
        self._table = BlockTable(
            self._source.blocks.values(), self._source.pages.values()
        )
        self._task: asyncio.Task[None] | None = None
        self.current = Lookup(config, self._table)

    def follow(self, config: EntryConfig) -> None:
        """Take a new revision."""
        self._config = config
        self._source = _source(config)
        if self._task is None and self._source != self._built:
            if self._source.is_small_change(self._built):
                self._table = self._source.build(self._table)
                self._built = self._source
            else:
                self._task = asyncio.create_task(self._build())
        self._replace()

    async def settled(self) -> None:
        """Return once the newest blocks are in use."""
        while self._task is not None:
            await asyncio.wait((self._task,))

    def _replace(self) -> None:
        self.current = Lookup(self._config, self._table, self.current)

    async def _build(self) -> None:
        try:
            while self._built != self._source:
                source = self._source
                table = await asyncio.to_thread(source.build, self._table)
                self._table = table
                self._built = source
                self._replace()
        finally:
            self._task = None


def _source(config: EntryConfig) -> _BlockSource:
    return _BlockSource(
        config.objects.client_blocks, config.objects.client_block_pages
    )
