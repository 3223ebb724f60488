"""Speed of each engine of a service, relative to the service's profile.

A profile is the average over all engines of a service. Where these differ, waits at the fast ones
are forecast too long and those at the slow ones too short.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

MAX_SAMPLES: Final = 16
"""Samples of one quantity that are kept for an endpoint: the latest ones."""
MAX_SAMPLE_AGE_S: Final = 30.0
"""Seconds after which a sample is dropped."""
PRIOR_SAMPLES: Final = 4.0
"""Samples of the usual speed that are added, so that a few samples have little effect."""
MIN_SAMPLES: Final = 4
"""Samples of one quantity from which on it counts."""
MIN_DIFFERENCE: Final = math.log(1.1)
"""Factor, as a logarithm, below which a difference does not count: forecasts err by more."""
ERROR_FACTOR: Final = 1.86
"""Factor on the median deviation of samples, divided by the root of their number, that gives the
standard error of their median."""
MIN_ERROR: Final = 0.03
"""Share by which a median errs at least, however alike its samples are."""
MIN_ERRORS: Final = 2.0
"""Factor on the standard error that a difference must exceed to count."""
MAX_FACTOR: Final = 4.0
"""Factor that a speed has at most, and whose inverse it has at least, if samples are wrong."""
REFRESH_S: Final = 0.5
"""Seconds for which computed speeds are reused, at least."""


class SpeedQuantity(StrEnum):
    """Times that show an endpoint's speed."""

    FIRST_EVENT = "first_event"
    """Time to the first event, against the forecast for an engine of the usual speed."""
    PAUSE = "pause"
    """Mean time between two events of a stream."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpeedEstimate:
    """What is known of the speed of one endpoint."""

    factor: float
    """1 is the usual speed of its service; 2 takes half of the time."""
    samples: int


USUAL_SPEED: Final = SpeedEstimate(factor=1.0, samples=0)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Difference:
    """How much slower one endpoint is than all together, by one quantity."""

    slowness: float
    """Logarithm of the factor on the time taken."""
    error: float
    """Standard error of it."""
    samples: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _SampleMedian:
    """Median of one quantity's samples at one endpoint."""

    median: float
    deviation: float
    """Median deviation from it."""
    samples: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _SampledQuantity:
    """A quantity of one service's endpoints."""

    service: str
    quantity: SpeedQuantity


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sample:
    at: float
    slowness: float
    """Logarithm of the time taken, in relation to what is usual for the quantity."""


class _EndpointSamples:
    """The latest samples of one quantity at one endpoint."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)

    def add(self, slowness: float, *, now: float) -> None:
        self._samples.append(_Sample(at=now, slowness=slowness))

    def list_recent(self, *, now: float) -> list[float]:
        while self._samples and self._samples[0].at < now - MAX_SAMPLE_AGE_S:
            self._samples.popleft()
        return sorted(one.slowness for one in self._samples)


class EndpointSpeeds:
    """Learns how much faster or slower than usual each endpoint of its service is.

    Failure: one profile forecasts for engines that differ. The fast ones get too few requests, and
    long prompts queue at slow ones until their callers' time is up.

    Medians limit the influence of moments in which an engine is slow. An endpoint that starts again
    has a new id and starts at the usual speed.
    """

    __slots__ = ("_estimates", "_refreshed_at", "_samples")

    def __init__(self) -> None:
        self._samples: dict[_SampledQuantity, dict[str, _EndpointSamples]] = {}
        self._estimates: dict[str, SpeedEstimate] = {}
        self._refreshed_at = float("-inf")

    def record_first_event(
        self, service: str, endpoint_id: str, *, expected_ms: float, took_ms: float, now: float
    ) -> None:
        """Sample the time to a first event.

        Args:
            service: Service of the endpoint.
            endpoint_id: The endpoint.
            expected_ms: Forecast for an engine of the usual speed.
            took_ms: Time from the send to the first event.
            now: The present time.
        """
        if expected_ms > 0.0 and took_ms > 0.0:
            sampled = _SampledQuantity(service=service, quantity=SpeedQuantity.FIRST_EVENT)
            self._add(sampled, endpoint_id, math.log(took_ms / expected_ms), now=now)

    def record_pause(self, service: str, endpoint_id: str, *, pause_ms: float, now: float) -> None:
        """Sample the mean time between two events of a stream.

        Args:
            service: Service of the endpoint.
            endpoint_id: The endpoint.
            pause_ms: The mean pause.
            now: The present time.
        """
        if pause_ms > 0.0:
            sampled = _SampledQuantity(service=service, quantity=SpeedQuantity.PAUSE)
            self._add(sampled, endpoint_id, math.log(pause_ms), now=now)

    def find(self, endpoint_id: str) -> SpeedEstimate:
        """Return the speed of an endpoint, as computed some tenths of a second ago."""
        return self._estimates.get(endpoint_id, USUAL_SPEED)

    def list_unusual(self) -> dict[str, SpeedEstimate]:
        """Return the endpoints that are not of the usual speed."""
        return {key: one for key, one in self._estimates.items() if one.factor != 1.0}

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop the endpoints that are gone."""
        for by_endpoint in self._samples.values():
            for endpoint_id in [one for one in by_endpoint if one not in endpoint_ids]:
                del by_endpoint[endpoint_id]
        self._estimates = {key: one for key, one in self._estimates.items() if key in endpoint_ids}

    def _refresh(self, *, now: float) -> None:
        self._refreshed_at = now
        known: dict[str, list[_Difference]] = {}
        for by_endpoint in self._samples.values():
            medians = _find_medians(by_endpoint, now=now)
            if not medians:
                continue
            mean = _compute_mean(medians)
            for endpoint_id, median in medians.items():
                known.setdefault(endpoint_id, []).append(_describe_difference(median, mean=mean))
        self._estimates = {
            endpoint_id: _estimate(differences) for endpoint_id, differences in known.items()
        }

    def _add(
        self, sampled: _SampledQuantity, endpoint_id: str, slowness: float, *, now: float
    ) -> None:
        by_endpoint = self._samples.setdefault(sampled, {})
        by_endpoint.setdefault(endpoint_id, _EndpointSamples()).add(slowness, now=now)
        if now - self._refreshed_at >= REFRESH_S:
            self._refresh(now=now)


def _find_medians(
    by_endpoint: dict[str, _EndpointSamples], *, now: float
) -> dict[str, _SampleMedian]:
    """Return the medians of the endpoints that have enough recent samples."""
    recent = {key: samples.list_recent(now=now) for key, samples in by_endpoint.items()}
    return {
        key: _SampleMedian(
            median=_find_median(values),
            deviation=_find_median(sorted(abs(one - _find_median(values)) for one in values)),
            samples=len(values),
        )
        for key, values in recent.items()
        if len(values) >= MIN_SAMPLES
    }


def _compute_mean(medians: dict[str, _SampleMedian]) -> float:
    """Return the mean over all endpoints.

    What all endpoints have in common, such as a forecast that errs, says nothing of one of them.
    """
    total = sum(one.samples for one in medians.values())
    return sum(one.samples * one.median for one in medians.values()) / total


def _describe_difference(known: _SampleMedian, *, mean: float) -> _Difference:
    error = ERROR_FACTOR * known.deviation / math.sqrt(known.samples)
    return _Difference(
        slowness=known.median - mean, error=max(MIN_ERROR, error), samples=known.samples
    )


def _estimate(differences: list[_Difference]) -> SpeedEstimate:
    """Return an estimate in which each quantity weighs by how exactly it is known."""
    samples = sum(one.samples for one in differences)
    weight = sum(one.error**-2 for one in differences)
    slowness = sum(one.slowness * one.error**-2 for one in differences) / weight
    if abs(slowness) < max(MIN_DIFFERENCE, MIN_ERRORS * weight**-0.5):
        return SpeedEstimate(factor=1.0, samples=samples)
    factor = math.exp(-slowness * samples / (samples + PRIOR_SAMPLES))
    return SpeedEstimate(factor=min(MAX_FACTOR, max(1.0 / MAX_FACTOR, factor)), samples=samples)


def _find_median(ordered: list[float]) -> float:
    return ordered[len(ordered) // 2]
