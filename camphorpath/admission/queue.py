"""The queue of one service: waiting requests in the order in which they are granted."""

import bisect
from collections.abc import Callable, Iterator, Set

import attrs

from .records import WaitingRequest
from .shares import Shares

# Requests that have left are removed from `_newest` only when it is longer than this.
MIN_COMPACTION_COUNT = 64

GroupKey = tuple[str, int]


def _sort_key(entry: WaitingRequest) -> tuple[bool, float, int]:
    return entry.is_late, entry.deadline, entry.sequence


def _remove_sorted(entries: list[WaitingRequest], entry: WaitingRequest) -> None:
    entries.pop(bisect.bisect_left(entries, _sort_key(entry), key=_sort_key))


@attrs.define
class WaitingQueue:
    """Waiting requests by pool and tier, then by customer, then by deadline."""

    entries: dict[str, WaitingRequest] = attrs.field(factory=dict)
    _groups: dict[GroupKey, dict[str, list[WaitingRequest]]] = attrs.field(factory=dict)
    _shares: dict[GroupKey, Shares] = attrs.field(factory=dict)
    _work_s: dict[GroupKey, float] = attrs.field(factory=dict)
    # By tier in the order of arrival, for `find_newest_of_lowest`. Requests that have left the
    # queue may still be listed.
    _newest: dict[int, list[WaitingRequest]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.entries)

    def add(self, entry: WaitingRequest) -> None:
        """Add a request that is not in the queue."""
        assert entry.request_id not in self.entries, entry.request_id
        key = entry.enqueue.pool, entry.rank
        self.entries[entry.request_id] = entry
        customers = self._groups.setdefault(key, {})
        if entry.enqueue.customer not in customers:
            self.shares(*key).activate(entry.enqueue.customer)
        bisect.insort(customers.setdefault(entry.enqueue.customer, []), entry, key=_sort_key)
        self._work_s[key] = self._work_s.get(key, 0) + entry.work_s
        self._append_newest(entry)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, or return None if it is not in the queue."""
        entry = self.entries.pop(request_id, None)
        if entry is None:
            return None
        key = entry.enqueue.pool, entry.rank
        customers = self._groups[key]
        entries_of_customer = customers[entry.enqueue.customer]
        _remove_sorted(entries_of_customer, entry)
        self._work_s[key] -= entry.work_s
        if not entries_of_customer:
            customers.pop(entry.enqueue.customer)
        if not customers:
            self._groups.pop(key)
            self._work_s.pop(key)
        return entry

    def postpone(self, entry: WaitingRequest) -> None:
        """Move a request whose first token will be late behind those that can still be in time.

        Ordered by deadline alone, every request of an overloaded tier would wait until it is late.
        """
        entries_of_customer = self._groups[entry.enqueue.pool, entry.rank][entry.enqueue.customer]
        _remove_sorted(entries_of_customer, entry)
        entry.is_late = True
        bisect.insort(entries_of_customer, entry, key=_sort_key)

    def shares(self, pool: str, rank: int) -> Shares:
        """Return the fair shares of the customers in a pool and tier."""
        return self._shares.setdefault((pool, rank), Shares())

    def pools(self) -> list[str]:
        """Return the pools with waiting requests."""
        return list({pool for pool, _rank in self._groups})

    def find_highest_rank(self, pool: str) -> int | None:
        """Return the rank of the highest tier with requests waiting for a pool, or None."""
        return min(self._ranks(pool), default=None)

    def find_next(
        self, pool: str, skipped: Set[str], is_customer_at_limit: Callable[[str], bool]
    ) -> WaitingRequest | None:
        """Return the next request of a pool, or None.

        Requests in `skipped` and those of customers at their limit are passed over.
        """
        for rank in self._ranks(pool):
            customers = self._groups[pool, rank]
            for customer in sorted(customers, key=self.shares(pool, rank).virtual_time):
                if is_customer_at_limit(customer):
                    continue
                for entry in customers[customer]:
                    if entry.request_id not in skipped:
                        return entry
        return None

    def ordered(self, pool: str) -> Iterator[WaitingRequest]:
        """Yield the requests of a pool by tier, then current share, then deadline."""
        for rank in self._ranks(pool):
            customers = self._groups[pool, rank]
            for customer in sorted(customers, key=self.shares(pool, rank).virtual_time):
                yield from customers[customer]

    def find_newest_of_lowest(self) -> WaitingRequest | None:
        """Return the newest request of the lowest tier in the queue, or None if it is empty."""
        if not self._groups:
            return None
        newest = self._newest[max(rank for _pool, rank in self._groups)]
        while self.entries.get(newest[-1].request_id) is not newest[-1]:
            newest.pop()
        return newest[-1]

    def work_ahead(self, pool: str, rank: int) -> float:
        """Return the seconds of work of the requests of this and higher tiers in a pool."""
        return sum(
            work_s
            for (name, other), work_s in self._work_s.items()
            if name == pool and other <= rank
        )

    def _append_newest(self, entry: WaitingRequest) -> None:
        newest = self._newest.setdefault(entry.rank, [])
        newest.append(entry)
        if len(newest) > 2 * len(self.entries) + MIN_COMPACTION_COUNT:
            self._newest[entry.rank] = [
                listed for listed in newest if self.entries.get(listed.request_id) is listed
            ]

    def _ranks(self, pool: str) -> list[int]:
        return sorted(rank for name, rank in self._groups if name == pool)
