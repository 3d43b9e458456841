"""Start-time fair queueing by client account, with deadlines."""

import collections
from collections.abc import Iterator
from typing import Final, Generic, TypeVar

import msgspec

from wigeonford.model import RequestClass

BULK_FRACTION: Final = 0.2

T = TypeVar("T")


class _Entry(msgspec.Struct, Generic[T], frozen=True):
    """Hold a waiting item with its start tag."""

    item: T
    start_tag: float
    deadline_s: float


class _ClassQueue(Generic[T]):
    """Order the items of one class by start tags.

    The start tags of an account are spaced by the inverse of its weight.
    No new tag lies before the tag served last, so an idle account saves up
    no credit.
    """

    def __init__(self) -> None:
        self.size = 0
        self._served_tag = 0.0
        self._next_tags: dict[str, float] = {}
        self._queues: dict[str, collections.deque[_Entry[T]]] = {}

    def push(
        self, item: T, account: str, weight: float, deadline_s: float
    ) -> None:
        """Add an item at the end of its account's queue."""
        start_tag = max(self._served_tag, self._next_tags.get(account, 0.0))
        self._next_tags[account] = start_tag + 1.0 / weight
        queue = self._queues.setdefault(account, collections.deque())
        queue.append(_Entry(item, start_tag, deadline_s))
        self.size += 1

    def pop(self) -> T:
        """Remove the item with the lowest start tag."""
        account = min(self._queues, key=self._first_tag)
        entry = self._queues[account].popleft()
        self._served_tag = entry.start_tag
        self._count_removal(account)
        return entry.item

    def drop(self) -> T:
        """Remove the newest item of the account with the longest queue."""
        account = max(self._queues, key=self._queue_length)
        entry = self._queues[account].pop()
        self._next_tags[account] = entry.start_tag
        self._count_removal(account)
        return entry.item

    def expire(self, now_s: float) -> Iterator[T]:
        """Remove and yield the items whose deadline has passed."""
        for account, queue in list(self._queues.items()):
            expired = [entry for entry in queue if entry.deadline_s <= now_s]
            for entry in expired:
                queue.remove(entry)
                self._count_removal(account)
                yield entry.item

    def _first_tag(self, account: str) -> float:
        return self._queues[account][0].start_tag

    def _queue_length(self, account: str) -> int:
        return len(self._queues[account])

    def _count_removal(self, account: str) -> None:
        self.size -= 1
        if not self._queues[account]:
            del self._queues[account]
        if not self.size:
            self._served_tag = 0.0
            self._next_tags.clear()


class FairQueue(Generic[T]):
    """Serve interactive work first, but give bulk work its fraction."""

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._classes: dict[RequestClass, _ClassQueue[T]] = {
            request_class: _ClassQueue() for request_class in RequestClass
        }
        self._bulk_credit = 0.0

    def __len__(self) -> int:
        return sum(queue.size for queue in self._classes.values())

    def push(
        self,
        item: T,
        account: str,
        request_class: RequestClass,
        weight: float,
        deadline_s: float,
    ) -> T | None:
        """Add an item; return the one that a full queue drops for it.

        The dropped item is the newest of the account with the most waiting
        items of the class, so an account that floods the queue loses its own
        requests.
        """
        queue = self._classes[request_class]
        queue.push(item, account, weight, deadline_s)
        return queue.drop() if queue.size > self._max_size else None

    def pop(self) -> T | None:
        """Remove and return the next item, or None if the queue is empty."""
        interactive = self._classes[RequestClass.INTERACTIVE]
        bulk = self._classes[RequestClass.BULK]
        if not interactive.size:
            return bulk.pop() if bulk.size else None
        if not bulk.size:
            return interactive.pop()
        self._bulk_credit += BULK_FRACTION
        if self._bulk_credit < 1.0:
            return interactive.pop()
        self._bulk_credit -= 1.0
        return bulk.pop()

    def expire(self, now_s: float) -> Iterator[T]:
        """Remove and yield the items whose deadline has passed."""
        for queue in self._classes.values():
            yield from queue.expire(now_s)
