"""The queue of one keeper: which ask starts next and which is dropped when the queue is full.

Tiers have strict priority; each waiting class is guaranteed a configured share of the starts.
``docs/design/tiers-and-shares.md`` describes how the two are combined.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast._round_robin import WaitingAsk
from guavamast.class_queues import DEFAULT_QUEUE_LIMIT, ClassQueue
from guavamast.errors import ErrorCode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavamast.fleet_objects import Configuration
    from guavamast.slots import Ask

CREDIT_DUE: Final = 1.0
"""Credit in starts from which a class gets a start if no higher tier misses a target by it."""
CREDIT_PRESSING: Final = 1.5
"""Credit from which only the deadlines of higher tiers, not their targets, delay the start."""
MAX_CREDIT: Final = 2.0
"""Credit at which a class gets a start in any case; also the upper bound of the credit."""
MAX_WORK: Final = 16.0
"""Credit that one start by share may cost; bounds the wait of a class of long requests."""
MEAN_COST_WEIGHT: Final = 0.05
"""Weight of a new start in the moving average of the cost of a start."""
TARGETS_CHECKED: Final = 8
"""Asks of a class whose first-token targets are checked before a start by share."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """An ask that leaves the queue for a slot."""

    waiting: WaitingAsk
    tier: int
    charged: float = 0.0
    """Credit that it cost the class; above 0 only when a higher tier waited meanwhile."""

    @property
    def by_share(self) -> bool:
        """Whether the class got the start by its share while a higher tier waited."""
        return self.charged > 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Overflow:
    """The ask that a full queue drops; it may be the new one."""

    ask: Ask
    code: ErrorCode


class WaitingQueue:
    """All asks that wait at one keeper.

    Args:
        configuration: The configuration in force.
    """

    __slots__ = ("_class_of", "_classes", "_mean_cost", "_sequence", "_total_limit")

    def __init__(self, *, configuration: Configuration) -> None:
        self._classes: dict[str, ClassQueue] = {}
        self._class_of: dict[str, tuple[ClassQueue, WaitingAsk]] = {}
        self._mean_cost: float | None = None
        self._sequence = 0
        self._total_limit = DEFAULT_QUEUE_LIMIT
        self.configure(configuration)

    def __len__(self) -> int:
        return len(self._class_of)

    def __contains__(self, ask_id: str) -> bool:
        return ask_id in self._class_of

    def configure(self, configuration: Configuration) -> None:
        """Apply tiers, shares and limits; waiting asks follow the changes of their class."""
        for name in [name for name in self._classes if name not in configuration.classes]:
            self._classes[name].share = 0.0
            self._drop_if_unknown_and_empty(name, configuration)
        for name, service_class in configuration.classes.items():
            if name not in self._classes:
                self._classes[name] = self._create_class(name, service_class.tier)
            self._classes[name].configure(service_class)
        limits = [service_class.queue_limit for service_class in configuration.classes.values()]
        self._total_limit = max(limits, default=DEFAULT_QUEUE_LIMIT)

    def find_tier(self, ask: Ask) -> int:
        """Return the tier of an ask's class; the ask's own tier when the class is unknown."""
        queue = self._classes.get(self._resolve_class_name(ask))
        return queue.tier if queue is not None else ask.tier

    def select_overflow(self, ask: Ask) -> Overflow | None:
        """Return the ask to drop so that a new one can wait; None when there is room.

        A full class drops the newest ask of the organisation that has the most waiting, even if
        that is the new one. Otherwise, one organisation's burst could keep all others of its class
        out. When the whole queue is full, the newest ask of the lowest tier is dropped; that is the
        new one unless a lower tier than its own waits. Reserved places of a class are neither
        dropped nor counted. Otherwise, a burst of a higher tier could keep a class out of the
        queue, so that it would get no share of the starts. The higher tier loses nothing by this,
        because these places are not part of its limit.
        """
        queue = self._classes.get(self._resolve_class_name(ask))
        held = len(queue) if queue is not None else 0
        if held >= (queue.limit if queue is not None else DEFAULT_QUEUE_LIMIT):
            return _select_overflow_of_class(queue, ask)
        if queue is not None and held < queue.reserved:
            return None
        filled = [other for other in self._list_waiting() if other.count_unreserved()]
        if sum(other.count_unreserved() for other in filled) < self._total_limit:
            return None
        lowest = max(other.tier for other in filled)
        if lowest <= self.find_tier(ask):
            return Overflow(ask=ask, code=ErrorCode.QUEUE_FULL)
        newest = [other.find_newest() for other in filled if other.tier == lowest]
        victim = max(newest, key=lambda waiting: waiting.sequence)
        return Overflow(ask=victim.ask, code=ErrorCode.SHED)

    def add(
        self, ask: Ask, *, cost: float, latest_start: float, target_start: float, now: float
    ) -> WaitingAsk:
        """Append an ask that is not in the queue yet."""
        name = self._resolve_class_name(ask)
        queue = self._classes.get(name)
        if queue is None:
            queue = self._classes[name] = self._create_class(name, ask.tier)
        self._sequence += 1
        waiting = WaitingAsk(
            ask=ask,
            sequence=self._sequence,
            arrived_at=now,
            cost=cost,
            latest_start=latest_start,
            target_start=target_start,
        )
        queue.add(waiting)
        self._class_of[ask.ask_id] = (queue, waiting)
        return waiting

    def remove(self, ask_id: str) -> WaitingAsk | None:
        """Remove an ask without starting it; return None when it does not wait."""
        queue, waiting = self._class_of.pop(ask_id, (None, None))
        if queue is not None:
            queue.remove(waiting.ask)
        return waiting

    def remove_late(self, now: float) -> list[WaitingAsk]:
        """Remove and return the asks that can't meet their deadline any more."""
        late = []
        for queue in self._list_waiting():
            while len(queue) and queue.latest_starts.get(0) <= now:
                waiting = queue.by_arrival[queue.latest_starts.get_first_sequence()]
                self.remove(waiting.ask.ask_id)
                late.append(waiting)
        return late

    def demote_late(self, now: float) -> list[WaitingAsk]:
        """Move asks that have missed their target behind the others and return them."""
        return [waiting for queue in self._list_waiting() for waiting in queue.demote_late(now)]

    def find_first_target(self) -> float | None:
        """Return the time at which the next ask misses its target."""
        waiting = self._list_waiting()
        times = [queue.target_starts.get(0) for queue in waiting if len(queue.target_starts)]
        return min(times, default=None)

    def count_class(self, ask: Ask) -> int:
        """Return how many asks of an ask's class wait, late ones too."""
        queue = self._classes.get(self._resolve_class_name(ask))
        return len(queue) if queue is not None else 0

    def list_asks(self) -> list[Ask]:
        """Return all waiting asks."""
        return [waiting.ask for _, waiting in self._class_of.values()]

    def get(self, ask_id: str) -> WaitingAsk:
        """Return the queue record of a waiting ask."""
        return self._class_of[ask_id][1]

    def find_latest_start(self) -> float | None:
        """Return the earliest time after which an ask can't meet its deadline."""
        times = [queue.latest_starts.get(0) for queue in self._list_waiting()]
        return min(times, default=None)

    def find_lowest_tier(self) -> int:
        """Return the greatest tier number among waiting asks; 0 when there are none."""
        return max((queue.tier for queue in self._list_waiting()), default=0)

    def iterate_targets(self, limit: int) -> Iterator[tuple[int, float]]:
        """Yield tier and target start of the most urgent asks, highest tier first."""
        for queue in sorted(self._list_waiting(), key=lambda queue: queue.tier):
            for _ in range(min(limit, len(queue.late))):
                yield queue.tier, float("-inf")
            for index in range(min(limit, len(queue.target_starts))):
                yield queue.tier, queue.target_starts.get(index)

    def count_ahead(self, ask: Ask) -> int:
        """Return how many waiting asks of its class would start before a new ask."""
        queue = self._classes.get(self._resolve_class_name(ask))
        return queue.count_ahead(ask) if queue is not None else 0

    def count_others(self, ask: Ask) -> int:
        """Return how many asks of other classes in its tier or higher wait."""
        tier = self.find_tier(ask)
        name = self._resolve_class_name(ask)
        return sum(len(q) for q in self._list_waiting() if q.tier <= tier and q.name != name)

    def find_share(self, class_name: str) -> float:
        """Return the guaranteed share of a class."""
        queue = self._classes.get(class_name)
        return queue.share if queue is not None else 0.0

    def sum_lower_shares(self, tier: int) -> float:
        """Return the sum of the guaranteed shares of waiting classes below a tier."""
        return sum(queue.share for queue in self._list_waiting() if queue.tier > tier)

    def pop_next(
        self, *, rate: float, slots: int, now: float, strict: bool = False
    ) -> Start | None:
        """Remove and return the ask that starts next.

        Args:
            rate: Expected releases per second.
            slots: Slots of the endpoint.
            now: Current time in seconds.
            strict: Ignore shares: a running request was paused to free the slot for the highest
                tier that waits.
        """
        head = self._select_head()
        if head is None:
            return None
        owed = None if strict else self._select_owed(head, slots, rate, now)
        queue = owed or head
        waiting = queue.pop_next()
        del self._class_of[waiting.ask.ask_id]
        charged = self._estimate_work(waiting) if owed is not None else 0.0
        self._record_start(queue, waiting, charged)
        return Start(waiting=waiting, tier=queue.tier, charged=charged)

    def finish(self, start: Start, *, cost: float) -> None:
        """Account for a start whose slot has been freed.

        Args:
            start: The start.
            cost: Its actual work in tokens; 0 when the slot was returned unused.
        """
        queue = self._classes.get(self._resolve_class_name(start.waiting.ask))
        if queue is None:
            return
        queue.round_robin.charge(start.waiting.ask.organisation, cost - start.waiting.cost)
        if start.by_share:
            queue.shares_running = max(0, queue.shares_running - 1)
            if not cost:
                queue.credit = min(MAX_CREDIT, queue.credit + start.charged)

    def list_classes(self) -> list[ClassQueue]:
        """Return all classes, also those without waiting asks."""
        return list(self._classes.values())

    def _list_waiting(self) -> list[ClassQueue]:
        return [queue for queue in self._classes.values() if queue.by_arrival]

    def _select_head(self) -> ClassQueue | None:
        order = self._list_waiting()
        return min(order, key=lambda queue: (queue.tier, queue.last_start), default=None)

    def _select_owed(
        self, head: ClassQueue, slots: int, rate: float, now: float
    ) -> ClassQueue | None:
        owed = [
            queue
            for queue in self._list_waiting()
            if queue.credit >= CREDIT_DUE
            and queue.tier > head.tier
            and queue.shares_running < max(1.0, queue.share * slots)
        ]
        for queue in sorted(owed, key=lambda queue: (-queue.credit, queue.tier)):
            if self._can_start_by_share(queue, rate, now):
                return queue
        return None

    def _can_start_by_share(self, queue: ClassQueue, rate: float, now: float) -> bool:
        if queue.credit >= MAX_CREDIT:
            return True
        higher = [other for other in self._list_waiting() if other.tier < queue.tier]
        if queue.credit < CREDIT_PRESSING and any(_misses_target(c, rate, now) for c in higher):
            return False
        return all(self._keeps_deadlines(other, rate, now) for other in higher)

    def _keeps_deadlines(self, queue: ClassQueue, rate: float, now: float) -> bool:
        """Return whether each ask of a class still starts in time after one more start.

        Ranks 1, 2, 4, 8, ... of the deadlines are checked, each against the number of starts up
        to the next of them, which covers the ranks between.
        """
        waiting = self._list_waiting()
        ahead = 1 + sum(len(c) for c in waiting if c is not queue and c.tier <= queue.tier)
        rank = 0
        while rank < len(queue):
            following = min(2 * rank + 1, len(queue))
            if queue.latest_starts.get(rank) < now + (ahead + following - 1) / rate:
                return False
            rank = following
        return True

    def _estimate_work(self, waiting: WaitingAsk) -> float:
        """Return the work of an ask, in starts of mean cost.

        Without this, a class of long runs gets a start for each twenty short ones, and its runs,
        which no higher tier may pause, end up with most of the slots. Charging a long run as
        several starts keeps the class near its share of slot time, too.
        """
        return min(MAX_WORK, max(1.0, waiting.cost / (self._mean_cost or waiting.cost)))

    def _record_start(self, started: ClassQueue, waiting: WaitingAsk, charged: float) -> None:
        self._sequence += 1
        started.last_start = self._sequence
        mean = self._mean_cost if self._mean_cost is not None else waiting.cost
        self._mean_cost = mean + MEAN_COST_WEIGHT * (waiting.cost - mean)
        if charged:
            started.credit -= charged
            started.shares_running += 1
        else:
            started.credit = min(started.credit, max(0.0, started.credit - 1.0))
        for queue in self._list_waiting():
            if queue is not started:
                queue.credit = min(MAX_CREDIT, queue.credit + queue.share)

    def _resolve_class_name(self, ask: Ask) -> str:
        # An entry may have a newer configuration than this process. An unknown class therefore uses
        # the tier of the ask, with one queue for each tier.
        known = ask.class_name in self._classes
        return ask.class_name if known else f"{ask.class_name}@{ask.tier}"

    def _create_class(self, name: str, tier: int) -> ClassQueue:
        # A new class counts as just started, so that emptying its queue gains a class no turn.
        return ClassQueue(name=name, tier=tier, last_start=self._sequence)

    def _drop_if_unknown_and_empty(self, name: str, configuration: Configuration) -> None:
        if name not in configuration.classes and not len(self._classes[name]):
            del self._classes[name]


def _misses_target(queue: ClassQueue, rate: float, now: float) -> bool:
    """Return whether one more start makes an ask of a class miss its first-token target."""
    first = queue.target_starts.count_before(now)
    last = min(first + TARGETS_CHECKED, len(queue.target_starts))
    for place, index in enumerate(range(first, last)):
        target = queue.target_starts.get(index)
        if now + place / rate <= target < now + (place + 1) / rate:
            return True
    return False


def _select_overflow_of_class(queue: ClassQueue | None, ask: Ask) -> Overflow:
    # The difference of two keeps two organisations from displacing each other's asks in turn.
    if (
        queue is None
        or queue.round_robin.count_all(ask.organisation) + 2 > queue.round_robin.count_longest()
    ):
        return Overflow(ask=ask, code=ErrorCode.QUEUE_FULL)
    return Overflow(ask=queue.round_robin.find_newest_of_longest().ask, code=ErrorCode.SHED)
