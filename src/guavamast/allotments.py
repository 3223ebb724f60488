"""The dispatcher's side of the organisations' limits: time-limited allotments to entries.

Rendezvous hashing gives each organisation one home dispatcher. It keeps the organisation's token
bucket (rate) and concurrency count, and allots parts of both to the entries that have requests.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from guavamast.fleet_objects import Organisation
    from guavamast.members import Member, MembershipView

BURST_S: Final = 1.0
"""Size of the token bucket, in seconds of the rate."""
PREFETCH_S: Final = 4.0
"""Seconds of an entry's demand that it is allotted in advance; more when the home is overloaded."""
PREFETCH_SHARE: Final = 0.25
"""Largest share of the tokens and the free concurrency that one allotment gives in advance."""
MIN_HOLD_S: Final = 0.1
"""Minimum time between a partial allotment and the entry's next ask."""
ASKS_PER_S: Final = 20.0
"""Target asks per second to a home from an organisation above its limit; sets `hold_s`."""
RENEWAL_INTERVAL_S: Final = 4.0
"""Interval at which an entry reports its running requests again."""
VALIDITY_S: Final = 12.0
"""Time for which an allotment may be used; covers two lost renewals."""
MAX_HOLD_S: Final = 10.0
HANDOVER_S: Final = VALIDITY_S
"""Time after a change of home during which the previous home's allotments may still be in use."""
HANDOVER_SHARE: Final = 0.25
"""Share of the apparently free limit that one allotment may give out during that time."""
TIGHT_SHARE: Final = 0.7
"""Utilisation of the concurrency limit above which entries release unneeded concurrency at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AllotmentAsk:
    """An entry's request to an organisation's home for an allotment."""

    organisation: str
    entry: str
    sequence: int
    """Increases with each ask of the entry; asks with an older number are dropped."""
    rate_wanted: float
    """Recent requests per second at the entry."""
    tokens_wanted: int
    """Requests waiting for this allotment."""
    concurrent_wanted: int
    """Running and waiting requests."""
    held_concurrent: int = 0
    """Concurrency that the entry may use, or uses, until it is answered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Allotment:
    """A part of an organisation's limits that an entry may use for a limited time."""

    organisation: str
    sequence: int
    """Sequence number of the ask."""
    tokens: int
    """Requests that may be admitted, in addition to earlier allotments."""
    concurrent: int
    """Requests that may run at the same time; replaces the earlier allotment."""
    tight: bool
    """Whether the limit is near, so that unneeded concurrency is to be released at once."""
    hold_s: float
    """Minimum time until the next ask after a partial allotment, or until a release."""
    valid_for_s: float
    """Counted by the entry from the time of its ask, so it expires there before the home's copy."""


@dataclass(slots=True, kw_only=True)
class _Reservation:
    sequence: int = -1
    concurrent: int = 0
    """Upper bound of the entry's use until its next ask or the expiry."""
    expires_at: float = float("-inf")


class _OrganisationState:
    """Token bucket and reservations of one organisation, with the sum of their concurrency."""

    __slots__ = ("ask_rate", "concurrent", "expiries", "reservations", "tokens", "updated_at")

    def __init__(self, *, tokens: float, now: float) -> None:
        self.reservations: dict[str, _Reservation] = {}
        self.expiries: list[tuple[float, str]] = []
        self.tokens = tokens
        self.concurrent = 0
        self.ask_rate = 0.0
        """Recent asks, each decaying with a time constant of one second."""
        self.updated_at = now

    def advance(self, rate: float, now: float) -> None:
        """Refill the bucket and remove the expired reservations."""
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
        """Remove an entry's reservation and return it; return an empty one if there is none."""
        reservation = self.reservations.pop(entry, None)
        if reservation is None:
            return _Reservation()
        self.concurrent -= reservation.concurrent
        return reservation

    def add_reservation(self, entry: str, reservation: _Reservation) -> None:
        """Add a reservation to the sum."""
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
    """Allots the limits of the organisations whose home this dispatcher is.

    The cost of an answer doesn't grow with the number of entries: only the asking entry's
    reservation is read.
    """

    __slots__ = ("_states", "_changed_at")

    def __init__(self) -> None:
        self._states: dict[str, _OrganisationState] = {}
        self._changed_at: float | None = None

    def record_view_change(self, *, now: float) -> None:
        """Record that homes may have moved; call when the set of serving members has changed.

        Failure: a new home does not know its predecessor's allotments and allots the limit a
        second time. For `HANDOVER_S`, after which all of them have expired, one allotment gives at
        most `HANDOVER_SHARE` of the apparently free concurrency on top of what its entry holds.
        """
        self._changed_at = now

    def ask(self, ask: AllotmentAsk, organisation: Organisation, *, now: float) -> Allotment | None:
        """Answer one entry's ask; None when a later ask of that entry has been answered.

        Args:
            ask: The entry's ask.
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
        # Failure: the answer is lost, the entry uses its previous allotment until it expires, and
        # the reduction is allotted to others. The larger of both stays reserved until its next ask.
        reservation = _Reservation(
            sequence=ask.sequence,
            concurrent=max(allotment.concurrent, ask.held_concurrent),
            expires_at=max(now + allotment.valid_for_s, previous.expires_at),
        )
        state.add_reservation(ask.entry, reservation)
        return allotment

    def evict_idle(self, *, now: float) -> None:
        """Drop organisations without an ask since all their allotments expired."""
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
