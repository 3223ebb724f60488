"""The dispatcher's side of the organisations' limits: what entries may admit for a while.

Each organisation has one home dispatcher by rendezvous. It keeps the one token bucket for the rate
and the one count for the concurrency, and hands parts of both to the entries that have requests.
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

BURST_S: Final = 1.0
"""Seconds of a rate that may be admitted at once."""
PREFETCH_S: Final = 4.0
"""Seconds of an entry's demand that it gets ahead; more when the home is busy."""
PREFETCH_SHARE: Final = 0.25
"""Greatest share of the tokens and of the free concurrency that one answer gives ahead."""
MIN_HOLD_S: Final = 0.1
"""Least time after a short answer until an entry asks again."""
ASKS_PER_S: Final = 20.0
"""Asks a second that a home takes of an organisation above its limit; holds follow from it."""
RENEWAL_INTERVAL_S: Final = 4.0
"""Interval in which running requests are told anew."""
VALIDITY_S: Final = 12.0
"""Time for which a part may be used; two lost renewals do no harm."""
MAX_HOLD_S: Final = 10.0
HANDOVER_S: Final = VALIDITY_S
"""Time after a change of home for which the last home's parts may still be in use."""
HANDOVER_SHARE: Final = 0.25
"""Share of what seems free that one answer may hand out during that time."""
TIGHT_SHARE: Final = 0.7
"""Share of the concurrency in use from which parts not needed are to be given back at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AllotmentAsk:
    """An entry's wish for a part of an organisation's limits."""

    organisation: str
    entry: str
    sequence: int
    """Raised by the entry with each ask; older ones are dropped."""
    rate_wanted: float
    """Requests a second that the entry has had of late."""
    tokens_wanted: int
    """Requests that wait for this ask."""
    concurrent_wanted: int
    """Requests that run or wait."""
    held_concurrent: int = 0
    """What the entry may use, or uses, until the answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Allotment:
    """A part of an organisation's limits, for a while."""

    organisation: str
    sequence: int
    """That of the ask."""
    tokens: int
    """Requests that may be admitted, beside those allotted before."""
    concurrent: int
    """Requests that may run at the same time; replaces what was allotted before."""
    tight: bool
    """Whether the limit is near, so that concurrency not needed is to be given back at once."""
    hold_s: float
    """Time until a further ask after a short answer, or to give concurrency back."""
    valid_for_s: float
    """Counted by the entry from the time of its ask, which is earlier than the home's."""


@dataclass(slots=True, kw_only=True)
class _Reservation:
    sequence: int = -1
    concurrent: int = 0
    """Most that the entry may use until its next ask or its expiry."""
    expires_at: float = float("-inf")


class _OrganisationState:
    """The tokens and the parts of one organisation, with their running sum."""

    __slots__ = ("ask_rate", "concurrent", "expiries", "reservations", "tokens", "updated_at")

    def __init__(self, *, tokens: float, now: float) -> None:
        self.reservations: dict[str, _Reservation] = {}
        self.expiries: list[tuple[float, str]] = []
        self.tokens = tokens
        self.concurrent = 0
        self.ask_rate = 0.0
        """Asks of late, each fading over a second."""
        self.updated_at = now

    def advance(self, rate: float, now: float) -> None:
        """Fill the bucket and drop the holders whose parts have run out."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.tokens = min(max(1.0, rate * BURST_S), self.tokens + elapsed * rate)
        self.ask_rate = self.ask_rate * math.exp(-elapsed) + 1.0
        while self.expiries and self.expiries[0][0] <= now:
            _, entry = heapq.heappop(self.expiries)
            reservation = self.reservations.get(entry)
            if reservation is not None and reservation.expires_at <= now:
                self.remove_reservation(entry)

    def remove_reservation(self, entry: str) -> _Reservation:
        """Remove a holder from the sum and return it; a new one when it is unknown."""
        reservation = self.reservations.pop(entry, None)
        if reservation is None:
            return _Reservation()
        self.concurrent -= reservation.concurrent
        return reservation

    def add_reservation(self, entry: str, reservation: _Reservation) -> None:
        """Add a holder to the sum."""
        self.reservations[entry] = reservation
        self.concurrent += reservation.concurrent
        heapq.heappush(self.expiries, (reservation.expires_at, entry))


def select_home(organisation: str, view: MembershipView) -> Member | None:
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
    """Hands out the limits of the organisations whose home this dispatcher is.

    An answer costs the same whatever the number of entries: no answer looks at other holders.
    """

    __slots__ = ("_states", "_changed_at")

    def __init__(self) -> None:
        self._states: dict[str, _OrganisationState] = {}
        self._changed_at: float | None = None

    def record_view_change(self, *, now: float) -> None:
        """Note that homes may have moved; call when the set of serving members has changed.

        Failure: a new home does not know of its predecessor's parts and hands the limit out a
        second time. For `CAUTION_S`, after which all of these have run out, one answer gives no
        more than `CAUTION_SHARE` of what seems free beside what its entry holds already.
        """
        self._changed_at = now

    def ask(self, ask: AllotmentAsk, organisation: Organisation, *, now: float) -> Allotment | None:
        """Answer one entry's ask; None when a later ask of it has been answered.

        Args:
            ask: The wish.
            organisation: The organisation as configured.
            now: The present time.
        """
        contract = organisation.contract
        state = self._get_state(ask.organisation, contract.requests_per_second, now)
        state.advance(contract.requests_per_second, now)
        known = state.reservations.get(ask.entry)
        if known is not None and ask.sequence <= known.sequence:
            return None
        previous = state.remove_reservation(ask.entry)
        allotment = self._allot(ask, state, contract.concurrent, now)
        state.tokens -= allotment.tokens
        # Failure: the entry never gets this answer and uses its last part to the end, while its cut
        # is handed to others. The greater of both stays booked until the entry's next ask.
        reservation = _Reservation(
            sequence=ask.sequence,
            concurrent=max(allotment.concurrent, ask.held_concurrent),
            expires_at=max(now + allotment.valid_for_s, previous.expires_at),
        )
        state.add_reservation(ask.entry, reservation)
        return allotment

    def forget_idle(self, *, now: float) -> None:
        """Drop the books that nobody has asked for since all of their parts ran out."""
        for name, state in list(self._states.items()):
            if now - state.updated_at > VALIDITY_S:
                del self._states[name]

    def _get_state(self, name: str, rate: float, now: float) -> _OrganisationState:
        state = self._states.get(name)
        if state is None:
            share = HANDOVER_SHARE if self._in_handover(now) else 1.0
            state = _OrganisationState(tokens=max(1.0, rate * BURST_S * share), now=now)
            self._states[name] = state
        return state

    def _in_handover(self, now: float) -> bool:
        return self._changed_at is not None and now - self._changed_at < HANDOVER_S

    def _allot(
        self, ask: AllotmentAsk, state: _OrganisationState, limit: int, now: float
    ) -> Allotment:
        available = max(0, limit - state.concurrent)
        held = min(ask.held_concurrent, available)
        free = available - held
        if self._in_handover(now):
            free = math.ceil(free * HANDOVER_SHARE)
        tokens = min(ask.tokens_wanted, int(state.tokens))
        concurrent = min(ask.concurrent_wanted, held + free)
        overload = max(1.0, state.ask_rate / ASKS_PER_S)
        hold_s = min(MAX_HOLD_S, MIN_HOLD_S * overload * overload)
        prefetch_s = max(PREFETCH_S, hold_s)
        tight = state.concurrent + ask.concurrent_wanted > TIGHT_SHARE * limit
        if tokens == ask.tokens_wanted:
            ahead = (state.tokens - tokens) * PREFETCH_SHARE
            tokens += int(min(ask.rate_wanted * prefetch_s, ahead))
        if not tight:
            ahead = (held + free - concurrent) * PREFETCH_SHARE
            concurrent += int(min(ask.rate_wanted * prefetch_s, ahead))
        return Allotment(
            organisation=ask.organisation,
            sequence=ask.sequence,
            tokens=tokens,
            concurrent=concurrent,
            tight=tight,
            hold_s=hold_s,
            valid_for_s=VALIDITY_S,
        )
