"""Admission of one request by its forecast queueing delay, or rejection with a retry delay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from guavamast.relay.placement.engine_forecast import Forecast
    from guavamast.relay.placement.obstacle import Obstacle

URGENT_WAITING_SHARE: Final = 0.75
"""Share of the objective for which a request that isn't latency-tolerant may wait. What is queued
before it is mostly less urgent, and engines serve it first."""
LATENCY_TOLERANT_WAITING_SHARE: Final = 0.5
"""Share of the objective for which a latency-tolerant request may wait behind others; the rest is
for its own prefill and the first event."""
IN_TIME_SHARE: Final = 0.85
"""Share of the objective within which the forecast first event of an admitted request must lie;
forecasts err in both directions."""
LAST_CHECK_SHARE: Final = 1.0
"""Share of the objective for which a request may wait that would get nothing otherwise; it is late,
and so short that it delays what comes behind it by little."""
MIN_WAITING_SHARE: Final = 0.25
"""Share of the objective for which any request may wait, also where the rest of its time is short:
an engine that reads slowly is never without work for so long."""
FIRST_ATTEMPT_SHARE: Final = 0.8
"""Share of the allowed wait for a request on its first attempt. Retries find room first, as their
callers don't retry a second time."""
STALE_LOADS_FACTOR: Final = 2.0
"""Factor on the allowed wait where load updates are late. All instances hold the same stale loads;
rejections based on them would leave engines idle until the next update."""
MOST_URGENT_FACTOR: Final = 8.0
"""Factor on the allowed wait of the most urgent requests where load updates are late. If some were
rejected by mistake, less urgent ones would be served meanwhile."""
MIN_RETRY_S: Final = 0.1
"""Seconds until the earliest retry of a caller; the missing capacity isn't free sooner."""
RETRY_SHARE: Final = 0.5
"""Share of its objective after which a caller retries at the earliest: those that arrived together
with it have begun by then."""
MAX_RETRY_S: Final = 1.5
"""Seconds until the latest retry of a caller; its answer is late by this delay."""
RETRY_JITTER: Final = 0.5
"""Share of a retry delay that is added at random at most, so that callers don't retry together."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """The rejection of a request, with the delay before its retry."""

    retry_after_s: float
    obstacle: Obstacle | None = None
    """What kept the request from the engine selected for it, where known."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitParameters:
    """The properties of a request that determine how long it may wait."""

    objective_s: float
    """Promised time to the first event."""
    latency_tolerant: bool = False
    """Whether the request is latency-tolerant: its objective far exceeds its service's shortest."""
    most_urgent: bool = False
    """Whether no stream of its service is more urgent."""
    least_urgent: bool = False
    """Whether no stream of its service is less urgent."""
    loads_stale: bool = False
    """Whether forecasts use stale loads, from late updates."""
    waited_s: float = 0.0
    """Seconds since its attempt was received."""
    waited_share: float = 0.0
    """Share of its longest wait that is over, from 0 to 1."""
    last_check: bool = False
    """Whether it is rejected unless it finds room now."""
    first_attempt: bool = False
    """Whether the request is known not to be a retry."""


def compute_allowed_wait(forecast: Forecast, parameters: WaitParameters) -> float:
    """Return the milliseconds that a request may wait.

    Failure: under overload the queue grows up to the allowed wait, and half of the requests
    admitted at that length are just too late. A slightly shorter queue has the same throughput and
    meets the objective for all of them. A prompt too long to meet it anywhere waits like any other.

    Args:
        forecast: Its forecast at the engine.
        parameters: Its objective and what the forecast is based on.
    """
    objective_ms = parameters.objective_s * 1000.0
    share = LATENCY_TOLERANT_WAITING_SHARE if parameters.latency_tolerant else URGENT_WAITING_SHARE
    if parameters.loads_stale:
        return (
            share
            * objective_ms
            * (MOST_URGENT_FACTOR if parameters.most_urgent else STALE_LOADS_FACTOR)
        )
    allowed_ms = share * objective_ms
    in_time_ms = IN_TIME_SHARE * objective_ms - forecast.start_ms - forecast.prefill_ms
    if not parameters.least_urgent:
        if parameters.last_check:
            return LAST_CHECK_SHARE * objective_ms
        in_time_ms -= 1000.0 * parameters.waited_s
    if in_time_ms > 0.0:
        allowed_ms = min(allowed_ms, max(in_time_ms, MIN_WAITING_SHARE * objective_ms))
    return allowed_ms * FIRST_ATTEMPT_SHARE if parameters.first_attempt else allowed_ms


def admit(forecast: Forecast, parameters: WaitParameters, *, random: Random) -> Rejection | None:
    """Reject a request that would wait longer than it may, regardless of other requests.

    Failure: under overload every request is queued, and after some seconds every answer is late,
    including those that the engines could have given in time. Requests that would be late go on
    waiting or are rejected, so that queues stay shorter than the objective.

    Args:
        forecast: The request's forecast at the best engine.
        parameters: How long it may wait.
        random: Source of the retry jitter.

    Returns:
        The rejection, or None if the request is admitted.
    """
    excess_ms = forecast.waiting_ms - compute_allowed_wait(forecast, parameters)
    if excess_ms <= 0.0:
        return None
    return reject(objective_s=parameters.objective_s, excess_ms=excess_ms, random=random)


def reject(
    *, objective_s: float, excess_ms: float, random: Random, obstacle: Obstacle | None = None
) -> Rejection:
    """Return a rejection.

    Args:
        objective_s: The request's objective.
        excess_ms: Milliseconds by which the wait at the best engine exceeds what is allowed.
        random: Source of the retry jitter.
        obstacle: What kept the request from that engine.
    """
    earliest_s = max(MIN_RETRY_S, RETRY_SHARE * objective_s)
    retry_after_s = min(MAX_RETRY_S, earliest_s + excess_ms / 1000.0)
    retry_after_s *= 1.0 + RETRY_JITTER * random.random()
    return Rejection(retry_after_s=retry_after_s, obstacle=obstacle)
