"""Limits of organisations on requests per second and on concurrent requests.

An entry admits requests from the allotments of the organisation's home dispatcher
(`guavamast.allotments`): tokens for the rate and a number for the concurrency. A busy entry
prefetches some, so that most requests wait for no message. An entry whose home does not answer
falls back to an even share of the limits.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import exp
from typing import TYPE_CHECKING, Final

from guavamast.allotments import BURST_S, PREFETCH_S, RENEWAL_INTERVAL_S, AllotmentAsk
from guavamast.errors import ErrorCode
from guavamast.rendezvous import rank

if TYPE_CHECKING:
    from guavamast.allotments import Allotment
    from guavamast.fleet_objects import Organisation
    from guavamast.members import MembershipView

ASK_TIMEOUT_S: Final = 0.5
"""Time without an answer after which an entry falls back to its even share."""
DEMAND_WINDOW_S: Final = 5.0
"""Time constant over which an entry's demand is averaged."""
ASK_RETRY_INTERVAL_S: Final = 5.0
"""Interval between asks to a home that does not answer."""
LOW_TOKENS_S: Final = 0.5
"""An entry prefetches when its tokens last for less than this many seconds of its demand."""
MIN_RETURN_DELAY_S: Final = 0.25
"""Minimum time for which an entry keeps concurrency that it does not need."""
MAX_RETURN_DELAY_S: Final = 2.0
"""Maximum time for which unneeded concurrency is kept when the limit is near."""
IDLE_TIMEOUT_S: Final = 30.0
"""Time without a request after which an organisation's usage is dropped."""


class AdmissionState(StrEnum):
    """Whether a request is admitted."""

    GRANTED = "granted"
    """The request may run; call `EntryLimiter.release` at its end."""
    REFUSED = "refused"
    PENDING = "pending"
    """The home has been asked; admit again when its allotment arrives or after `retry_after_s`."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """The decision on one request."""

    state: AdmissionState
    code: ErrorCode | None = None
    """RATE_LIMITED or CONCURRENCY_LIMITED for a rejected request."""
    retry_after_s: float = 0.0

    @property
    def granted(self) -> bool:
        """Whether the request is admitted."""
        return self.state is AdmissionState.GRANTED


_GRANTED: Final = Admission(state=AdmissionState.GRANTED)


@dataclass(slots=True, kw_only=True)
class _Usage:
    """One organisation's requests and allotment at this entry."""

    organisation: Organisation
    tokens: float = 0.0
    refilled_at: float = 0.0
    concurrent: int = 0
    valid_until: float = float("-inf")
    renew_at: float = float("-inf")
    reject_until: float = float("-inf")
    """Until then no ask is sent for a reached limit, as the home has no more to allot."""
    prefetch_at: float = float("-inf")
    """Earliest time of the next prefetch of tokens."""
    return_at: float = float("-inf")
    """Earliest time to release unneeded concurrency."""
    tight: bool = False
    """Whether the home reported that the limit is near."""
    sequence: int = 0
    asked_at: float | None = None
    """Time of the unanswered ask, if any."""
    last_ask: AllotmentAsk | None = None
    demand: float = 0.0
    """Arrivals, each decaying with the time constant `DEMAND_WINDOW_S`."""
    demand_at: float = 0.0
    pending: int = 0
    """Requests that wait for an answer; part of the next ask."""
    in_use: int = 0
    last_seen: float = 0.0
    fallback_rate: float = 0.0
    """Requests per second of the even share while it is in use, else 0."""


class EntryLimiter:
    """Admits requests of organisations at one entry.

    Args:
        entry: Name of the entry's instance.
        first_sequence: Greater than any sequence number of an earlier run of this entry, such as
            the wall clock in milliseconds; homes drop asks with an older sequence number.
    """

    __slots__ = ("_pending_asks", "_entry", "_instance_names", "_sequence", "_usages")

    def __init__(self, *, entry: str, first_sequence: int) -> None:
        self._sequence = first_sequence
        self._entry = entry
        self._instance_names: tuple[str, ...] = (entry,)
        self._usages: dict[str, _Usage] = {}
        self._pending_asks: dict[str, None] = {}

    def configure(self, view: MembershipView) -> None:
        """Set the members among which a limit is split while its home is unreachable."""
        names = {member.instance.name for member in view.list_serving()} | {self._entry}
        self._instance_names = tuple(sorted(names))

    def admit(self, organisation: Organisation, *, now: float) -> Admission:
        """Decide on one request; a granted request must be released.

        Args:
            organisation: The caller's organisation as configured.
            now: The present time.
        """
        usage = self._get_usage(organisation, now)
        usage.last_seen = now
        usage.demand = self._decay_demand(usage, now) + 1.0
        usage.demand_at = now
        if now >= usage.valid_until and not self._fall_back(usage, now):
            return self._wait_for_home(usage)
        self._refill(usage, now)
        code = self._find_exceeded_limit(usage)
        if code is not None and not usage.fallback_rate and self._fall_back(usage, now):
            # Failure: a home dies, the tokens of its last allotment run out, and an organisation
            # far below its limit is rejected until that allotment expires.
            code = self._find_exceeded_limit(usage)
        if code is not None:
            return self._reject_or_ask(usage, code, now)
        usage.tokens -= 1.0
        usage.in_use += 1
        rate = usage.demand / DEMAND_WINDOW_S
        is_low = rate * PREFETCH_S >= 1.0 and usage.tokens < rate * LOW_TOKENS_S
        if is_low and now >= usage.prefetch_at:
            self._schedule_ask(usage)
        return _GRANTED

    def release(self, organisation_name: str, *, now: float) -> None:  # noqa: ARG002
        """End one granted request; the next asks return its concurrency to the home."""
        usage = self._usages.get(organisation_name)
        if usage is not None and usage.in_use > 0:
            usage.in_use -= 1

    def collect_asks(self, *, now: float) -> list[AllotmentAsk]:
        """Return the asks that are due; send each to its organisation's home.

        Call after each batch of admissions and at least once a second, as the allotments of
        running requests expire unless they are renewed.
        """
        for usage in list(self._usages.values()):
            if self._needs_renewal(usage, now):
                self._schedule_ask(usage)
            elif usage.in_use == 0 and now - usage.last_seen > IDLE_TIMEOUT_S:
                del self._usages[usage.organisation.name]
                self._pending_asks.pop(usage.organisation.name, None)
        asks = []
        for name in list(self._pending_asks):
            usage = self._usages[name]
            if usage.asked_at is None or now - usage.asked_at >= ASK_RETRY_INTERVAL_S:
                del self._pending_asks[name]
                asks.append(self._build_ask(usage, now))
        return asks

    def record_allotment(self, allotment: Allotment, *, now: float) -> None:
        """Apply a home's answer; an answer to an older ask is dropped."""
        usage = self._usages.get(allotment.organisation)
        if usage is None or allotment.sequence != usage.sequence or usage.asked_at is None:
            return
        if now >= usage.valid_until or usage.fallback_rate:
            usage.tokens = 0.0
        usage.fallback_rate = 0.0
        usage.tokens += allotment.tokens
        usage.concurrent = allotment.concurrent
        usage.valid_until = usage.asked_at + allotment.valid_for_s
        usage.renew_at = usage.asked_at + RENEWAL_INTERVAL_S
        usage.prefetch_at = now + allotment.hold_s
        usage.return_at = now + min(MAX_RETURN_DELAY_S, max(MIN_RETURN_DELAY_S, allotment.hold_s))
        usage.tight = allotment.tight
        if self._is_partial(allotment, usage.last_ask):
            usage.reject_until = now + allotment.hold_s
        usage.asked_at = None
        usage.pending = 0

    def _needs_renewal(self, usage: _Usage, now: float) -> bool:
        """Return whether to report running requests again or to release unneeded concurrency."""
        if now >= usage.valid_until:
            return usage.in_use > 0
        if now >= usage.renew_at and (usage.in_use > 0 or usage.concurrent > 0):
            return True
        may_return = now >= usage.return_at
        return usage.tight and may_return and usage.concurrent > usage.in_use

    def _get_usage(self, organisation: Organisation, now: float) -> _Usage:
        usage = self._usages.get(organisation.name)
        if usage is None:
            usage = _Usage(organisation=organisation, refilled_at=now, demand_at=now)
            self._usages[organisation.name] = usage
        usage.organisation = organisation
        return usage

    def _fall_back(self, usage: _Usage, now: float) -> bool:
        """Use the even share of the limit when the home has not answered in time."""
        if usage.asked_at is None or now - usage.asked_at < ASK_TIMEOUT_S:
            return False
        contract = usage.organisation.contract
        entry_count = len(self._instance_names)
        concurrent_share = contract.concurrent // entry_count
        remainder = contract.concurrent % entry_count
        if (
            remainder
            and self._entry in rank(usage.organisation.name, self._instance_names)[:remainder]
        ):
            concurrent_share += 1
        if not usage.fallback_rate:
            # One burst of the even share: summed over all entries, the burst of the whole limit.
            burst = max(1.0, contract.requests_per_second / entry_count * BURST_S)
            usage.tokens = max(usage.tokens, burst)
        usage.fallback_rate = contract.requests_per_second / entry_count
        usage.concurrent = concurrent_share
        usage.valid_until = now + ASK_RETRY_INTERVAL_S
        usage.renew_at = now
        usage.pending = 0
        return True

    def _decay_demand(self, usage: _Usage, now: float) -> float:
        return usage.demand * exp(-max(0.0, now - usage.demand_at) / DEMAND_WINDOW_S)

    def _refill(self, usage: _Usage, now: float) -> None:
        elapsed = max(0.0, now - usage.refilled_at)
        usage.refilled_at = max(now, usage.refilled_at)
        if usage.fallback_rate:
            burst = max(1.0, usage.fallback_rate * BURST_S)
            usage.tokens = min(burst, usage.tokens + elapsed * usage.fallback_rate)

    def _find_exceeded_limit(self, usage: _Usage) -> ErrorCode | None:
        if usage.in_use >= usage.concurrent:
            return ErrorCode.CONCURRENCY_LIMITED
        if usage.tokens < 1.0:
            return ErrorCode.RATE_LIMITED
        return None

    def _reject_or_ask(self, usage: _Usage, code: ErrorCode, now: float) -> Admission:
        """Reject while the home is known to have no more to allot, else ask it."""
        timed_out = usage.asked_at is not None and now - usage.asked_at >= ASK_TIMEOUT_S
        if now >= usage.reject_until and not usage.fallback_rate and not timed_out:
            return self._wait_for_home(usage)
        retry_after_s = max(0.0, usage.reject_until - now)
        if code is ErrorCode.RATE_LIMITED and usage.fallback_rate:
            retry_after_s = (1.0 - usage.tokens) / usage.fallback_rate
        return Admission(
            state=AdmissionState.REFUSED, code=code, retry_after_s=max(0.05, retry_after_s)
        )

    def _wait_for_home(self, usage: _Usage) -> Admission:
        usage.pending += 1
        self._schedule_ask(usage)
        return Admission(state=AdmissionState.PENDING, retry_after_s=ASK_TIMEOUT_S)

    def _is_partial(self, allotment: Allotment, ask: AllotmentAsk) -> bool:
        return allotment.tokens < ask.tokens_wanted or allotment.concurrent < ask.concurrent_wanted

    def _schedule_ask(self, usage: _Usage) -> None:
        self._pending_asks[usage.organisation.name] = None

    def _build_ask(self, usage: _Usage, now: float) -> AllotmentAsk:
        contract = usage.organisation.contract
        is_valid = now < usage.valid_until and not usage.fallback_rate
        wanted = usage.in_use + usage.pending
        if is_valid and (usage.tight or not usage.pending):
            # Unneeded concurrency is released with the ask, before its answer, so that the home
            # can allot it to others at once.
            usage.concurrent = min(
                usage.concurrent, max(wanted, self._compute_kept_concurrency(usage, now))
            )
        held = max(usage.in_use, usage.concurrent if is_valid else 0)
        tokens = usage.tokens if is_valid else 0.0
        rate = min(contract.requests_per_second, self._decay_demand(usage, now) / DEMAND_WINDOW_S)
        self._sequence += 1
        usage.sequence = self._sequence
        usage.asked_at = now
        usage.last_ask = AllotmentAsk(
            organisation=usage.organisation.name,
            entry=self._entry,
            sequence=usage.sequence,
            # Failure: requests wait for concurrency, each ask brings tokens that none can use, and
            # once slots free up far more start than the rate allows. So held tokens are deducted.
            rate_wanted=rate if tokens <= rate * LOW_TOKENS_S else 0.0,
            tokens_wanted=max(0, usage.pending - int(tokens)),
            concurrent_wanted=wanted,
            held_concurrent=held,
        )
        return usage.last_ask

    def _compute_kept_concurrency(self, usage: _Usage, now: float) -> int:
        """Return the concurrency to keep for the next requests."""
        return (
            0
            if usage.tight
            else usage.in_use + int(self._decay_demand(usage, now) / DEMAND_WINDOW_S)
        )
