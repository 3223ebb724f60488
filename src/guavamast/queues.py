"""The asks that wait at one keeper: which starts next and which gives way when it is full.

Starts go in strict order of tiers; each waiting class is owed a configured share of the starts.
``docs/design/tiers-and-shares.md`` says how the two meet.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast._round_robin import WaitingAsk
from guavamast.class_queues import DEFAULT_QUEUE_LIMIT, ClassQueue
from guavamast.errors import ErrorCode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from guavamast.slots import Ask
    from guavamast.world import Configuration

CREDIT_DUE: Final = 1.0
"""Starts owed to a class from which it is paid if no higher tier misses a target by it."""
CREDIT_PRESSING: Final = 1.5
"""Starts owed from which only higher tiers' deadlines, not their targets, put payment off."""
DEBT_CEILING: Final = 2.0
"""Starts owed at which it is paid in any case; a class is never owed more."""
MAX_WORK: Final = 16.0
"""Starts that one start by share may cost; bounds the wait of a class of long requests."""
MEAN_COST_WEIGHT: Final = 0.05
"""Weight of a new start in the mean work of a start."""
TARGETS_CHECKED: Final = 8
"""Asks of a class whose first-token targets are weighed before a share is paid."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """An ask that leaves the queue for a slot."""

    waiting: WaitingAsk
    tier: int
    charged: float = 0.0
    """What it cost the class of its share; above 0 only when a higher tier waited meanwhile."""

    @property
    def by_share(self) -> bool:
        """Whether the start was owed to the class while a higher tier waited."""
        return self.charged > 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Overflow:
    """The ask that a full queue gives up; it may be the one that came."""

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
        """Take on tiers, shares and limits; asks that wait move along with their class."""
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
        """Return the tier of an ask's class here; its own word when the class is unknown."""
        queue = self._classes.get(self._resolve_class_name(ask))
        return queue.tier if queue is not None else ask.tier

    def select_overflow(self, ask: Ask) -> Overflow | None:
        """Return what has to be given up for an ask to wait; None when there is room.

        A full class gives up the newest ask of the organisation that has the most waiting, be it
        the newcomer: one organisation's flood could else keep all others of its class out. When
        the whole queue is full, the newest ask of the lowest tier goes; that is the newcomer
        unless a lower tier than its own waits. A class's reserved places are left alone and not
        counted: a burst of a higher tier could else keep a class out of the queue, where no share
        of starts reaches it, and the higher tier loses nothing by places that are not part of its
        limit.
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
        """Take an ask out without starting it; None when it does not wait."""
        queue, waiting = self._class_of.pop(ask_id, (None, None))
        if queue is not None:
            queue.remove(waiting.ask)
        return waiting

    def remove_late(self, now: float) -> list[WaitingAsk]:
        """Take out the asks that can't meet their deadline any more."""
        late = []
        for queue in self._list_waiting():
            while len(queue) and queue.latest_starts.get(0) <= now:
                waiting = queue.by_arrival[queue.latest_starts.get_first_sequence()]
                self.remove(waiting.ask.ask_id)
                late.append(waiting)
        return late

    def demote_late(self, now: float) -> list[WaitingAsk]:
        """Put asks that have missed their target behind the others; return them."""
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
        """Return all asks that wait."""
        return [waiting.ask for _, waiting in self._class_of.values()]

    def get(self, ask_id: str) -> WaitingAsk:
        """Return what is known of a waiting ask."""
        return self._class_of[ask_id][1]

    def find_latest_start(self) -> float | None:
        """Return the time after which the first of the asks is late."""
        times = [queue.latest_starts.get(0) for queue in self._list_waiting()]
        return min(times, default=None)

    def find_lowest_tier(self) -> int:
        """Return the greatest tier number that waits; 0 when none does."""
        return max((queue.tier for queue in self._list_waiting()), default=0)

    def iterate_targets(self, limit: int) -> Iterator[tuple[int, float]]:
        """Yield tier and target start of the asks most in need of a slot, highest tier first."""
        for queue in sorted(self._list_waiting(), key=lambda queue: queue.tier):
            for _ in range(min(limit, len(queue.late))):
                yield queue.tier, float("-inf")
            for index in range(min(limit, len(queue.target_starts))):
                yield queue.tier, queue.target_starts.get(index)

    def count_ahead(self, ask: Ask) -> int:
        """Return how many asks of its class start before a new one."""
        queue = self._classes.get(self._resolve_class_name(ask))
        return queue.count_ahead(ask) if queue is not None else 0

    def count_others(self, ask: Ask) -> int:
        """Return how many asks of other classes, of its tier or higher, wait."""
        tier = self.find_tier(ask)
        name = self._resolve_class_name(ask)
        return sum(len(q) for q in self._list_waiting() if q.tier <= tier and q.name != name)

    def find_share(self, class_name: str) -> float:
        """Return the guaranteed share of a class."""
        queue = self._classes.get(class_name)
        return queue.share if queue is not None else 0.0

    def sum_lower_shares(self, tier: int) -> float:
        """Return the share of starts that waiting classes below a tier are guaranteed."""
        return sum(queue.share for queue in self._list_waiting() if queue.tier > tier)

    def pop_next(
        self, *, rate: float, slots: int, now: float, strict: bool = False
    ) -> Start | None:
        """Take the ask that starts next.

        Args:
            rate: Releases a second that can be expected.
            slots: Slots of the endpoint.
            now: Present time in seconds.
            strict: Leave shares aside: the slot was taken from a running request for the sake of
                the highest tier that waits.
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
        """Settle a start whose slot has come free.

        Args:
            start: The start.
            cost: Its true work in tokens; 0 when the slot was returned unused.
        """
        queue = self._classes.get(self._resolve_class_name(start.waiting.ask))
        if queue is None:
            return
        queue.round_robin.charge(start.waiting.ask.organisation, cost - start.waiting.cost)
        if start.by_share:
            queue.shares_running = max(0, queue.shares_running - 1)
            if not cost:
                queue.credit = min(DEBT_CEILING, queue.credit + start.charged)

    def list_classes(self) -> list[ClassQueue]:
        """Return all classes, also those with no waiting work."""
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
        if queue.credit >= DEBT_CEILING:
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
        """Return the work of an ask in usual starts.

        Failure: a class of long runs gets a start for each twenty short ones, and its runs, which
        no higher tier may pause, end up with most of the slots. Paying a long run as several
        starts keeps the class near its share of the slots' time, too.
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
                queue.credit = min(DEBT_CEILING, queue.credit + queue.share)

    def _resolve_class_name(self, ask: Ask) -> str:
        # An entry may know a newer configuration than this process; its tier is then taken at its
        # word, one queue for each.
        known = ask.class_name in self._classes
        return ask.class_name if known else f"{ask.class_name}@{ask.tier}"

    def _create_class(self, name: str, tier: int) -> ClassQueue:
        # A new class counts as just started: one that empties and returns gains no turn by it.
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
    # The difference of two keeps two organisations from pushing each other's asks out in turn.
    if (
        queue is None
        or queue.round_robin.count_all(ask.organisation) + 2 > queue.round_robin.count_longest()
    ):
        return Overflow(ask=ask, code=ErrorCode.QUEUE_FULL)
    return Overflow(ask=queue.round_robin.find_newest_of_longest().ask, code=ErrorCode.SHED)
