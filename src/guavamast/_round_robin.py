"""Deficit round robin among the organisations of one class."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.slots import Ask

QUANTUM: Final = 256.0
"""Tokens added to an organisation's deficit counter each round; about one short response."""
MAX_COST: Final = 65_536.0
"""Maximum cost of a request in tokens; bounds an organisation's debt."""


@dataclass(slots=True, kw_only=True)
class WaitingAsk:
    """A queued ask with the estimates from its arrival."""

    ask: Ask
    sequence: int
    """Order of arrival."""
    arrived_at: float
    cost: float
    """Estimated work in tokens."""
    latest_start: float
    """Time after which the ask can't meet its deadline."""
    target_start: float
    """Time after which the ask misses its class's first-token target."""
    is_late: bool = False
    """Whether the ask has missed that target; asks that can still meet theirs go first."""


class _Account:
    """The waiting asks and the deficit counter of one organisation."""

    __slots__ = ("deficit", "last_round", "late", "waiting")

    def __init__(self, *, last_round: int) -> None:
        self.waiting: OrderedDict[str, WaitingAsk] = OrderedDict()
        self.late: OrderedDict[str, WaitingAsk] = OrderedDict()
        self.deficit = QUANTUM
        self.last_round = last_round

    def __len__(self) -> int:
        return len(self.waiting) + len(self.late)


class RoundRobin:
    """Waiting asks in deficit round robin among organisations.

    Each round adds `QUANTUM` to an organisation's deficit counter and each start subtracts its
    cost. An organisation in debt waits until the round that makes its counter positive again. A
    heap ordered by that round makes a start logarithmic in the number of organisations, however
    expensive the asks are. The debt persists while the organisation's queue is empty and others
    wait, so that sending one expensive ask at a time gains nothing.
    """

    __slots__ = ("_accounts", "_by_count", "_heap", "_length", "_longest", "_round", "_sequence")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._heap: list[tuple[int, int, str]] = []
        self._round = 0
        self._sequence = 0
        self._length = 0
        self._by_count: dict[int, dict[str, None]] = {}
        """Organisations by the number of their waiting asks."""
        self._longest = 0

    def __len__(self) -> int:
        return self._length

    def add(self, waiting: WaitingAsk) -> None:
        """Append an ask to its organisation's queue."""
        organisation = waiting.ask.organisation
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account(last_round=self._round)
            self._schedule(organisation, self._round)
        account.waiting[waiting.ask.ask_id] = waiting
        self._length += 1
        self._update_count(organisation, len(account), change=1)

    def remove(self, ask: Ask) -> WaitingAsk:
        """Remove an ask without starting it."""
        account = self._accounts[ask.organisation]
        waiting = account.waiting.pop(ask.ask_id, None) or account.late.pop(ask.ask_id)
        self._update_count(ask.organisation, len(account), change=-1)
        self._record_removal()
        return waiting

    def demote_late(self, waiting: WaitingAsk) -> None:
        """Move an ask behind those of its organisation that can still meet their target."""
        account = self._accounts[waiting.ask.organisation]
        account.late[waiting.ask.ask_id] = account.waiting.pop(waiting.ask.ask_id)

    def pop_next(self) -> WaitingAsk:
        """Remove and return the next ask to start, and charge its organisation."""
        while True:
            round_number, _, organisation = heappop(self._heap)
            self._round = max(self._round, round_number)
            account = self._accounts[organisation]
            self._top_up(account)
            if account.deficit <= 0.0:
                self._schedule(organisation, self._find_round(account))
            elif not len(account):
                del self._accounts[organisation]
            else:
                return self._start(organisation, account)

    def charge(self, organisation: str, cost: float) -> None:
        """Charge an organisation the difference between a start's actual and estimated cost."""
        account = self._accounts.get(organisation)
        if account is not None:
            self._top_up(account)
            account.deficit = min(QUANTUM, max(-MAX_COST, account.deficit - cost))

    def count(self, organisation: str) -> int:
        """Return how many asks of an organisation wait and are not late."""
        account = self._accounts.get(organisation)
        return len(account.waiting) if account is not None else 0

    def count_organisations(self) -> int:
        """Return how many organisations wait or are in debt."""
        return len(self._accounts)

    def count_all(self, organisation: str) -> int:
        """Return how many asks of an organisation wait, late or not."""
        account = self._accounts.get(organisation)
        return len(account) if account is not None else 0

    def count_longest(self) -> int:
        """Return the greatest number of waiting asks of any organisation."""
        return self._longest

    def find_newest_of_longest(self) -> WaitingAsk:
        """Return the newest ask of an organisation with the most waiting asks."""
        organisation = next(iter(self._by_count[self._longest]))
        account = self._accounts[organisation]
        return next(reversed((account.waiting or account.late).values()))

    def list_deficits(self) -> list[float]:
        """Return all organisations' deficit counters."""
        return [account.deficit for account in self._accounts.values()]

    def _start(self, organisation: str, account: _Account) -> WaitingAsk:
        _, waiting = (account.waiting or account.late).popitem(last=False)
        account.deficit = max(-MAX_COST, account.deficit - waiting.cost)
        self._schedule(organisation, self._find_round(account))
        self._update_count(organisation, len(account), change=-1)
        self._record_removal()
        return waiting

    def _update_count(self, organisation: str, count: int, *, change: int) -> None:
        before = count - change
        if before:
            del self._by_count[before][organisation]
        if count:
            self._by_count.setdefault(count, {})[organisation] = None
        if count > self._longest or not self._by_count.get(self._longest):
            self._longest = count
        if before and not self._by_count[before]:
            del self._by_count[before]

    def _record_removal(self) -> None:
        self._length -= 1
        if self._length == 0:
            self._accounts.clear()
            self._heap.clear()

    def _top_up(self, account: _Account) -> None:
        earned = QUANTUM * (self._round - account.last_round)
        account.deficit = min(QUANTUM, account.deficit + earned)
        account.last_round = self._round

    def _find_round(self, account: _Account) -> int:
        if account.deficit > 0.0:
            return self._round
        return self._round + int(-account.deficit // QUANTUM) + 1

    def _schedule(self, organisation: str, round_number: int) -> None:
        self._sequence += 1
        heappush(self._heap, (round_number, self._sequence, organisation))
