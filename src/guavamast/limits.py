"""Limits of organisations on requests a second and on requests at the same time.

An entry admits from allotments, shares of a limit that the organisation's home dispatcher handed it
for a while (`guavamast.allotments`), so a request costs no message while one lasts. An entry that
hears no home falls back to its even part of the limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.allotments import BURST_S, AllotmentAsk
from guavamast.errors import ErrorCode
from guavamast.rendezvous import rank

if TYPE_CHECKING:
    from guavamast.allotments import Allotment
    from guavamast.members import MembershipView
    from guavamast.world import Organisation

ASK_TIMEOUT_S: Final = 0.5
"""Time without an answer after which an entry falls back to its even part."""
REPEAT_S: Final = 5.0
"""Interval of asks to a home that does not answer."""
EARLY_SHARE: Final = 0.25
"""Share of the renewal interval after which an entry that runs out may ask again early."""
IDLE_S: Final = 30.0
"""Time without a request after which an organisation is forgotten."""


class AdmissionState(StrEnum):
    """What may happen with a request."""

    GRANTED = "granted"
    """Go on, and call `EntryLimiter.release` at its end."""
    REFUSED = "refused"
    PENDING = "pending"
    """The home has been asked; admit again when its allotment came or after `retry_after_s`."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """The answer to one request."""

    state: AdmissionState
    code: ErrorCode | None = None
    """RATE_LIMITED or CONCURRENCY_LIMITED when refused."""
    retry_after_s: float = 0.0

    @property
    def granted(self) -> bool:
        """Whether the request may go on."""
        return self.state is AdmissionState.GRANTED


_GRANTED: Final = Admission(state=AdmissionState.GRANTED)


@dataclass(slots=True, kw_only=True)
class _Usage:
    """One organisation's requests and allotment at this entry."""

    organisation: Organisation
    tokens: float = 0.0
    refilled_at: float = 0.0
    rate: float = 0.0
    concurrent: int = 0
    valid_until: float = float("-inf")
    renew_at: float = float("-inf")
    early_at: float = float("-inf")
    sequence: int = 0
    asked_at: float | None = None
    """Time of the ask that has no answer yet."""
    counted_since: float = 0.0
    """Time of the last ask, from which arrivals are counted."""
    arrivals: int = 0
    pending: int = 0
    """Requests that wait for the first answer; part of the next wish."""
    in_use: int = 0
    most_in_use: int = 0
    last_seen: float = 0.0
    is_static: bool = False
    """Whether the present rate and concurrency are the even part, not an allotment."""

    @property
    def burst(self) -> float:
        """Most tokens that the rate may save up."""
        return max(1.0, self.rate * BURST_S) if self.rate > 0 else 0.0


class EntryLimiter:
    """Admits requests of organisations at one entry.

    Args:
        entry: Name of the entry's instance.
        first_sequence: Greater than any that an earlier run of this entry used, such as the
            milliseconds of the wall clock; homes drop asks with an older sequence.
    """

    __slots__ = ("_dirty", "_entry", "_names", "_sequence", "_usages")

    def __init__(self, *, entry: str, first_sequence: int) -> None:
        self._sequence = first_sequence
        self._entry = entry
        self._names: tuple[str, ...] = (entry,)
        self._usages: dict[str, _Usage] = {}
        self._dirty: dict[str, None] = {}

    def configure(self, view: MembershipView) -> None:
        """Take the members among which a limit is split while its home can't be heard."""
        names = {member.instance.name for member in view.list_serving()} | {self._entry}
        self._names = tuple(sorted(names))

    def admit(self, organisation: Organisation, *, now: float) -> Admission:
        """Decide on one request; one that is granted must be released.

        Args:
            organisation: The caller's organisation as configured.
            now: The present time.
        """
        usage = self._find(organisation, now)
        usage.last_seen = now
        usage.arrivals += 1
        if now >= usage.valid_until and not self._fall_back(usage, now):
            usage.pending += 1
            self._want_ask(usage)
            return Admission(state=AdmissionState.PENDING, retry_after_s=ASK_TIMEOUT_S)
        if now >= usage.renew_at:
            self._want_ask(usage)
        self._refill(usage, now)
        code = self._find_limit(usage)
        if code is not None:
            return self._refuse(usage, code, now)
        usage.tokens -= 1.0
        usage.in_use += 1
        usage.most_in_use = max(usage.most_in_use, usage.in_use)
        return _GRANTED

    def release(self, organisation_name: str, *, now: float) -> None:  # noqa: ARG002
        """End one granted request."""
        usage = self._usages.get(organisation_name)
        if usage is not None and usage.in_use > 0:
            usage.in_use -= 1

    def collect_asks(self, *, now: float) -> list[AllotmentAsk]:
        """Return the asks that are due; send each to its organisation's home.

        Call after each batch of admissions and at least once a second, as running requests keep
        their part of the limit only by renewals.
        """
        for usage in list(self._usages.values()):
            if usage.in_use > 0 and now >= usage.renew_at:
                self._want_ask(usage)
            elif usage.in_use == 0 and now - usage.last_seen > IDLE_S:
                del self._usages[usage.organisation.name]
                self._dirty.pop(usage.organisation.name, None)
        asks = []
        for name in list(self._dirty):
            usage = self._usages[name]
            if usage.asked_at is None or now - usage.asked_at >= REPEAT_S:
                del self._dirty[name]
                asks.append(self._make_ask(usage, now))
        return asks

    def record_allotment(self, allotment: Allotment, *, now: float) -> None:
        """Take a home's answer; one to an older ask is dropped."""
        usage = self._usages.get(allotment.organisation)
        if usage is None or allotment.sequence != usage.sequence or usage.asked_at is None:
            return
        asked_at = usage.asked_at
        self._refill(usage, now)
        was_valid = now < usage.valid_until and not usage.is_static
        usage.is_static = False
        usage.rate = allotment.rate
        usage.concurrent = allotment.concurrent
        usage.valid_until = asked_at + allotment.valid_for_s
        usage.renew_at = asked_at + allotment.renew_after_s
        usage.early_at = asked_at + allotment.renew_after_s * EARLY_SHARE
        usage.asked_at = None
        usage.pending = 0
        # Tokens of an allotment that ran out are not carried over: its home counts them as lapsed.
        usage.tokens = (usage.tokens if was_valid else 0.0) + allotment.tokens

    def _find(self, organisation: Organisation, now: float) -> _Usage:
        usage = self._usages.get(organisation.name)
        if usage is None:
            usage = _Usage(organisation=organisation, refilled_at=now, counted_since=now)
            self._usages[organisation.name] = usage
        usage.organisation = organisation
        return usage

    def _fall_back(self, usage: _Usage, now: float) -> bool:
        """Use the even part of the limit when the home has not answered in time."""
        if usage.asked_at is None or now - usage.asked_at < ASK_TIMEOUT_S:
            return False
        contract = usage.organisation.contract
        parts = len(self._names)
        owned = contract.concurrent // parts
        rest = contract.concurrent % parts
        if rest and self._entry in rank(usage.organisation.name, self._names)[:rest]:
            owned += 1
        usage.is_static = True
        usage.rate = contract.requests_per_second / parts
        usage.concurrent = owned
        usage.valid_until = now + REPEAT_S
        usage.renew_at = now
        usage.pending = 0
        return True

    def _refill(self, usage: _Usage, now: float) -> None:
        elapsed = max(0.0, now - usage.refilled_at)
        if usage.tokens < usage.burst:
            usage.tokens = min(usage.burst, usage.tokens + elapsed * usage.rate)
        usage.refilled_at = max(now, usage.refilled_at)

    def _find_limit(self, usage: _Usage) -> ErrorCode | None:
        if usage.in_use >= usage.concurrent:
            return ErrorCode.CONCURRENCY_LIMITED
        if usage.tokens < 1.0:
            return ErrorCode.RATE_LIMITED
        return None

    def _refuse(self, usage: _Usage, code: ErrorCode, now: float) -> Admission:
        if now >= usage.early_at:
            self._want_ask(usage)
        retry_after_s = max(0.0, usage.renew_at - now)
        if code is ErrorCode.RATE_LIMITED and usage.rate > 0:
            retry_after_s = min(retry_after_s or 1.0, (1.0 - usage.tokens) / usage.rate)
        return Admission(
            state=AdmissionState.REFUSED, code=code, retry_after_s=max(0.05, retry_after_s)
        )

    def _want_ask(self, usage: _Usage) -> None:
        self._dirty[usage.organisation.name] = None

    def _make_ask(self, usage: _Usage, now: float) -> AllotmentAsk:
        contract = usage.organisation.contract
        elapsed = max(BURST_S, now - usage.counted_since)
        live = now < usage.valid_until and not usage.is_static
        self._sequence += 1
        usage.sequence = self._sequence
        usage.asked_at = now
        wanted = max(usage.most_in_use, usage.in_use + usage.pending)
        ask = AllotmentAsk(
            organisation=usage.organisation.name,
            entry=self._entry,
            sequence=usage.sequence,
            rate_wanted=min(contract.requests_per_second, usage.arrivals / elapsed),
            concurrent_wanted=min(contract.concurrent, wanted),
            tokens_wanted=max(
                0.0, usage.pending + 1.0 - usage.tokens if live else usage.pending + 1.0
            ),
            held_rate=usage.rate if live else 0.0,
            held_concurrent=max(usage.in_use, usage.concurrent if live else 0),
        )
        usage.arrivals = 0
        usage.counted_since = now
        usage.most_in_use = usage.in_use
        return ask
