"""The dispatcher's side of the organisations' limits: the shares that entries hold for a while.

Each organisation has one home dispatcher by rendezvous. It splits the limit among the entries that
have requests of the organisation, so that the shares never add up to more than the limit.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from guavamast.members import Member, MembershipView
    from guavamast.world import Organisation

CALM_RENEWAL_S: Final = 5.0
"""Renewal interval while the limit is far."""
TIGHT_RENEWAL_S: Final = 1.0
"""Renewal interval while demand is near or above the limit."""
ASKS_PER_S: Final = 20.0
"""Asks a second that a home takes for one organisation; the renewal interval follows from it."""
VALIDITY_FACTOR: Final = 2.0
"""Validity of an allotment in renewal intervals, so that one lost answer does no harm."""
LONGEST_VALIDITY_S: Final = 20.0
CAUTION_S: Final = LONGEST_VALIDITY_S
"""Time after a change of home for which the last home's allotments may still be in use."""
CAUTION_SHARE: Final = 0.25
"""Share of what seems free that one answer may hand out during that time."""
TIGHT_SHARE: Final = 0.7
"""Share of a limit in demand from which the limit counts as near."""
CALM_FREE_SHARE: Final = 0.5
"""Share of what is free that one answer may hand out while the limit is far, so that entries with
a first request always find some."""
BURST_S: Final = 1.0
"""Seconds of a rate that may be admitted at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AllotmentAsk:
    """An entry's wish for a share of an organisation's limits."""

    organisation: str
    entry: str
    sequence: int
    """Raised by the entry with each ask; older ones are dropped."""
    rate_wanted: float
    """Requests a second."""
    concurrent_wanted: int
    tokens_wanted: float = 0.0
    """Requests to admit at once, beside the rate."""
    held_rate: float = 0.0
    """What the entry still uses of its last allotment."""
    held_concurrent: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Allotment:
    """A share of an organisation's limits, for a while."""

    organisation: str
    sequence: int
    """That of the ask."""
    rate: float
    tokens: float
    """Requests that may be admitted at once, beside the rate."""
    concurrent: int
    renew_after_s: float
    valid_for_s: float
    """Counted by the entry from the time of its ask, which is earlier than the home's."""


@dataclass(slots=True, kw_only=True)
class _Holder:
    sequence: int = -1
    rate: float = 0.0
    """Most that the entry may use until its next ask or its expiry."""
    concurrent: int = 0
    rate_wanted: float = 0.0
    concurrent_wanted: int = 0
    expires_at: float = 0.0


class _Book:
    """The allotments of one organisation, with running sums."""

    __slots__ = (
        "concurrent",
        "concurrent_wanted",
        "expiries",
        "holders",
        "rate",
        "rate_wanted",
        "tokens",
        "updated",
    )

    def __init__(self, *, tokens: float, now: float) -> None:
        self.tokens = tokens
        self.updated = now
        self.holders: dict[str, _Holder] = {}
        self.expiries: list[tuple[float, str]] = []
        self.rate = 0.0
        self.rate_wanted = 0.0
        self.concurrent = 0
        self.concurrent_wanted = 0

    def take_out(self, entry: str) -> _Holder:
        """Remove a holder from the sums and return it; a new one when it is unknown."""
        holder = self.holders.pop(entry, None)
        if holder is None:
            return _Holder()
        self.rate -= holder.rate
        self.rate_wanted -= holder.rate_wanted
        self.concurrent -= holder.concurrent
        self.concurrent_wanted -= holder.concurrent_wanted
        return holder

    def put_in(self, entry: str, holder: _Holder) -> None:
        """Add a holder to the sums."""
        self.holders[entry] = holder
        self.rate += holder.rate
        self.rate_wanted += holder.rate_wanted
        self.concurrent += holder.concurrent
        self.concurrent_wanted += holder.concurrent_wanted
        heapq.heappush(self.expiries, (holder.expires_at, entry))

    def advance(self, limit: float, now: float) -> None:
        """Let the part of the rate that nobody holds flow into the tokens; drop expired holders."""
        elapsed = max(0.0, now - self.updated)
        free = max(0.0, limit - self.rate)
        self.tokens = min(max(1.0, limit * BURST_S), self.tokens + elapsed * free)
        self.updated = max(self.updated, now)
        self.expire(now)

    def take_tokens(self, wanted: float) -> float:
        """Take up to so many tokens out and return them."""
        taken = min(max(0.0, wanted), self.tokens)
        self.tokens -= taken
        return taken

    def expire(self, now: float) -> None:
        """Drop the holders whose allotments have run out."""
        while self.expiries and self.expiries[0][0] <= now:
            _, entry = heapq.heappop(self.expiries)
            holder = self.holders.get(entry)
            if holder is not None and holder.expires_at <= now:
                self.take_out(entry)
        if not self.holders:
            self.rate = self.rate_wanted = 0.0


def find_home(organisation: str, view: MembershipView) -> Member | None:
    """Return the member whose dispatcher is an organisation's home in this view."""
    return max(
        view.list_serving(),
        key=lambda member: (
            compute_weight(organisation, member.instance.name),
            member.instance.name,
        ),
        default=None,
    )


class AllotmentDispatcher:
    """Splits the limits of the organisations whose home this dispatcher is.

    Each answer costs the same whatever the number of entries: a demand above the limit is met in
    proportion, and the sums are kept up to date instead of computed.
    """

    __slots__ = ("_books", "_changed_at")

    def __init__(self) -> None:
        self._books: dict[str, _Book] = {}
        self._changed_at: float | None = None

    def record_view_change(self, *, now: float) -> None:
        """Note that homes may have moved; call when the set of serving members has changed.

        Failure: a new home does not know of its predecessor's allotments and hands the limit out a
        second time. For `CAUTION_S` after a change an organisation that was unknown here gets no
        more than its entries hold already and an even share of what they leave.
        """
        self._changed_at = now

    def ask(self, ask: AllotmentAsk, organisation: Organisation, *, now: float) -> Allotment | None:
        """Answer one entry's ask; None when a later ask of it has been answered.

        Args:
            ask: The wish.
            organisation: The organisation as configured.
            now: The present time.
        """
        book = self._books.get(ask.organisation)
        if book is None:
            contract = organisation.contract
            tokens = max(1.0, contract.requests_per_second * BURST_S) * self._compute_share(now)
            book = self._books[ask.organisation] = _Book(tokens=tokens, now=now)
        book.advance(organisation.contract.requests_per_second, now)
        known = book.holders.get(ask.entry)
        if known is not None and ask.sequence <= known.sequence:
            return None
        previous = book.take_out(ask.entry)
        allotment = self._split(ask, book, organisation, now)
        # Failure: the entry never gets this answer and uses the last allotment to its end, while
        # its cut is handed to others. The greater of both stays booked until the entry's next ask.
        holder = _Holder(
            sequence=ask.sequence,
            rate=max(allotment.rate, ask.held_rate),
            concurrent=max(allotment.concurrent, ask.held_concurrent),
            rate_wanted=ask.rate_wanted,
            concurrent_wanted=ask.concurrent_wanted,
            expires_at=max(now + allotment.valid_for_s, previous.expires_at),
        )
        book.put_in(ask.entry, holder)
        return allotment

    def forget_idle(self, *, now: float) -> None:
        """Drop the books without a holder; call now and then."""
        for name, book in list(self._books.items()):
            book.expire(now)
            if not book.holders:
                del self._books[name]

    def _split(
        self, ask: AllotmentAsk, book: _Book, organisation: Organisation, now: float
    ) -> Allotment:
        contract = organisation.contract
        share = self._compute_share(now)
        rate_near = ask.rate_wanted + book.rate_wanted > TIGHT_SHARE * contract.requests_per_second
        concurrent_near = (
            ask.concurrent_wanted + book.concurrent_wanted > TIGHT_SHARE * contract.concurrent
        )
        return self._make_allotment(
            ask,
            rate=_compute_part(
                wanted=ask.rate_wanted,
                others=book.rate_wanted,
                held=ask.held_rate,
                free=contract.requests_per_second - book.rate,
                limit=contract.requests_per_second,
                share=share if rate_near else min(share, CALM_FREE_SHARE),
                entries=len(book.holders) + 1,
            ),
            tokens=book.take_tokens(ask.tokens_wanted),
            concurrent=math.ceil(
                _compute_part(
                    wanted=ask.concurrent_wanted,
                    others=book.concurrent_wanted,
                    held=ask.held_concurrent,
                    free=contract.concurrent - book.concurrent,
                    limit=contract.concurrent,
                    share=share if concurrent_near else min(share, CALM_FREE_SHARE),
                    entries=len(book.holders) + 1,
                )
            ),
            near=rate_near or concurrent_near,
            entries=len(book.holders) + 1,
        )

    def _compute_share(self, now: float) -> float:
        if self._changed_at is None or now - self._changed_at >= CAUTION_S:
            return 1.0
        return CAUTION_SHARE

    def _make_allotment(
        self,
        ask: AllotmentAsk,
        *,
        rate: float,
        tokens: float,
        concurrent: int,
        near: bool,
        entries: int,
    ) -> Allotment:
        interval = TIGHT_RENEWAL_S if near else CALM_RENEWAL_S
        interval = max(interval, entries / ASKS_PER_S)
        return Allotment(
            organisation=ask.organisation,
            sequence=ask.sequence,
            rate=rate,
            tokens=tokens,
            concurrent=concurrent,
            renew_after_s=interval,
            valid_for_s=min(LONGEST_VALIDITY_S, interval * VALIDITY_FACTOR),
        )


def _compute_part(
    *,
    wanted: float,
    others: float,
    held: float,
    free: float,
    limit: float,
    share: float,
    entries: int,
) -> float:
    """Return an entry's part of a limit.

    It is the wish with some room when all wishes fit, else the part by demand; an even split would
    leave the parts of entries with few requests unused. It never exceeds what the others leave.

    Args:
        wanted: The entry's wish.
        others: The wishes of the other entries together.
        held: What the entry holds already.
        free: What the others leave.
        limit: The organisation's limit.
        share: Share of what is free that one answer may hand out beyond what is held.
        entries: Number of entries with the asking one.
    """
    total = wanted + others
    part = wanted + (limit - total) / entries if total <= limit else limit * wanted / total
    free = max(0.0, free)
    held = min(held, free)
    return min(part, held + (free - held) * share)
