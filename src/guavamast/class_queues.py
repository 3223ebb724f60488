"""The waiting asks of one class of service."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict
from math import ceil
from typing import TYPE_CHECKING, Final

from guavamast._round_robin import RoundRobin

if TYPE_CHECKING:
    from guavamast._round_robin import WaitingAsk
    from guavamast.fleet_objects import ServiceClass
    from guavamast.slots import Ask

DEFAULT_QUEUE_LIMIT: Final = 100
"""Maximum number of waiting asks of a class that is not configured."""


class SortedTimes:
    """Sorted points in time; a change moves at most a few 10 kB at 10,000 entries."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._times)

    def add(self, time: float, sequence: int) -> None:
        """Insert a time; the sequence number distinguishes equal times."""
        insort(self._times, (time, sequence))

    def remove(self, time: float, sequence: int) -> None:
        """Remove a time that is present."""
        del self._times[bisect_left(self._times, (time, sequence))]

    def count_before(self, time: float) -> int:
        """Return how many times are before the given one."""
        return bisect_left(self._times, (time, -1))

    def get(self, index: int) -> float:
        """Return a time by its rank."""
        return self._times[index][0]

    def get_first_sequence(self) -> int:
        """Return the sequence number of the earliest time."""
        return self._times[0][1]


class ClassQueue:
    """The waiting asks of one class."""

    __slots__ = (
        "by_arrival",
        "credit",
        "last_start",
        "late",
        "latest_starts",
        "limit",
        "name",
        "reserved",
        "round_robin",
        "share",
        "shares_running",
        "target_starts",
        "tier",
    )

    def __init__(self, *, name: str, tier: int, last_start: int) -> None:
        self.name = name
        self.tier = tier
        self.share = 0.0
        self.limit = DEFAULT_QUEUE_LIMIT
        self.reserved = 0
        """Places that other classes can't fill, in addition to the limit of the whole queue."""
        self.credit = 0.0
        """Starts owed to the class, at most `DEBT_CEILING`; below 0 after a long run."""
        self.shares_running = 0
        """Slots that are held by starts by share."""
        self.last_start = last_start
        self.round_robin = RoundRobin()
        self.by_arrival: OrderedDict[int, WaitingAsk] = OrderedDict()
        self.latest_starts = SortedTimes()
        self.target_starts = SortedTimes()
        """Target starts of the asks that can still meet their target."""
        self.late: OrderedDict[int, WaitingAsk] = OrderedDict()

    def __len__(self) -> int:
        return len(self.by_arrival)

    def configure(self, service_class: ServiceClass) -> None:
        """Apply the configuration of the class."""
        self.tier = service_class.tier
        self.share = min(1.0, max(0.0, service_class.guaranteed_share))
        self.limit = service_class.queue_limit
        self.reserved = min(self.limit, ceil(self.share * self.limit))

    def count_unreserved(self) -> int:
        """Return how many asks count towards the limit of the whole queue."""
        return max(0, len(self.by_arrival) - self.reserved)

    def add(self, waiting: WaitingAsk) -> None:
        """Append an ask."""
        self.round_robin.add(waiting)
        self.by_arrival[waiting.sequence] = waiting
        self.latest_starts.add(waiting.latest_start, waiting.sequence)
        self.target_starts.add(waiting.target_start, waiting.sequence)

    def remove(self, ask: Ask) -> WaitingAsk:
        """Remove an ask without starting it."""
        waiting = self.round_robin.remove(ask)
        self._forget(waiting)
        return waiting

    def pop_next(self) -> WaitingAsk:
        """Remove and return the next ask in the order of the organisations."""
        waiting = self.round_robin.pop_next()
        self._forget(waiting)
        return waiting

    def find_newest(self) -> WaitingAsk:
        """Return the ask that arrived last."""
        return next(reversed(self.by_arrival.values()))

    def count_ahead(self, ask: Ask) -> int:
        """Return how many asks of the class would start before a new ask of that organisation."""
        starts_before = (
            self.round_robin.count(ask.organisation) + 1
        ) * self.round_robin.count_organisations()
        return min(len(self.target_starts), starts_before)

    def demote_late(self, now: float) -> list[WaitingAsk]:
        """Move the asks that have missed their target behind the others and return them."""
        demoted = []
        while len(self.target_starts) and self.target_starts.get(0) <= now:
            waiting = self.by_arrival[self.target_starts.get_first_sequence()]
            self.target_starts.remove(waiting.target_start, waiting.sequence)
            self.round_robin.demote_late(waiting)
            self.late[waiting.sequence] = waiting
            waiting.is_late = True
            demoted.append(waiting)
        return demoted

    def _forget(self, waiting: WaitingAsk) -> None:
        del self.by_arrival[waiting.sequence]
        self.latest_starts.remove(waiting.latest_start, waiting.sequence)
        if waiting.is_late:
            del self.late[waiting.sequence]
        else:
            self.target_starts.remove(waiting.target_start, waiting.sequence)
