"""Performance profiles of a service's engines, learnt from the answers that are forwarded.

Prefill speed and stream pauses aren't configured, as they differ by several times between
deployments. Each instance keeps medians of its recent samples and publishes them, and all instances
average the same medians, so that their profiles agree.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SAMPLES: Final = 24
"""Samples in a median: the latest ones, so that it follows changes."""
MAX_SAMPLE_AGE_S: Final = 30.0
"""Seconds after which a sample is dropped, as engines may have been replaced."""
PRIOR_SAMPLES: Final = 2.0
"""Samples that the prior counts as: so few that the answers of the first second outweigh it."""
NEGLIGIBLE_PREFILL_MS: Final = 20.0
"""Milliseconds of prefill below which it hardly affects the time to a first event."""
SIGNIFICANT_PREFILL_FACTOR: Final = 2.0
"""Factor on the time to a first event without prefill; above it, prefill clearly dominates."""
MIN_PREFILL_PAUSE_SHARE: Final = 0.5
"""Share of a pause that prefill must account for at least to be taken as its cause."""
REFRESH_S: Final = 0.1
"""Seconds for which a computed profile is reused: several requests are decided by one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """The expected performance of an engine of one service.

    The defaults are the prior for the first answers after a start. They lie between the engines in
    use, which differ from them by a factor of two in both directions.
    """

    first_event_ms: float = 50.0
    """Time to the first event of a request without prefill or wait."""
    read_tokens_per_ms: float = 50.0
    """Prompt tokens prefilled per millisecond while other streams run."""
    token_ms: float = 4.0
    """Time per token of the answer's token limit, from the first event to the end."""
    run_ms: float = 800.0
    """Time of a request from its first event to its end."""
    reading_pause_ms: float = 130.0
    """Longest pause of a stream while its engine prefills long prompts."""

    def compute_prefill_ms(self, tokens: float) -> float:
        """Return the time in milliseconds that an engine takes to prefill this many tokens."""
        return tokens / self.read_tokens_per_ms

    def scale(self, speed: float) -> EngineProfile:
        """Return the profile of an engine of another speed.

        Args:
            speed: 2 takes half of the time.
        """
        if speed == 1.0:
            return self
        return EngineProfile(
            first_event_ms=self.first_event_ms / speed,
            read_tokens_per_ms=self.read_tokens_per_ms * speed,
            token_ms=self.token_ms / speed,
            run_ms=self.run_ms / speed,
            reading_pause_ms=self.reading_pause_ms / speed,
        )


PRIOR: Final = EngineProfile()


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """One instance's median of one quantity."""

    value: float
    samples: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ProfileEstimates:
    """One instance's recent estimates of one service's engines."""

    first_event_ms: Estimate
    read_tokens_per_ms: Estimate
    token_ms: Estimate
    run_ms: Estimate
    reading_pause_ms: Estimate


PROFILE_QUANTITIES: Final = tuple(ProfileEstimates.__dataclass_fields__)
"""Names of the quantities in a fixed order."""


class _RecentMedian:
    """The median of the latest samples, which a few outliers don't affect."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def add(self, value: float, *, now: float) -> None:
        if value > 0.0:
            self._samples.append((now, value))

    def estimate(self, *, now: float) -> Estimate:
        while self._samples and self._samples[0][0] < now - MAX_SAMPLE_AGE_S:
            self._samples.popleft()
        if not self._samples:
            return Estimate(value=1.0, samples=0)
        ordered = sorted(value for _, value in self._samples)
        return Estimate(value=ordered[len(ordered) // 2], samples=len(ordered))


class _ServiceSamples:
    """The samples that this instance has of one service."""

    __slots__ = ("first_event_ms", "read_tokens_per_ms", "reading_pause_ms", "run_ms", "token_ms")

    def __init__(self) -> None:
        self.first_event_ms = _RecentMedian()
        self.read_tokens_per_ms = _RecentMedian()
        self.token_ms = _RecentMedian()
        self.run_ms = _RecentMedian()
        self.reading_pause_ms = _RecentMedian()

    def estimate(self, *, now: float) -> ProfileEstimates:
        return ProfileEstimates(
            first_event_ms=self.first_event_ms.estimate(now=now),
            read_tokens_per_ms=self.read_tokens_per_ms.estimate(now=now),
            token_ms=self.token_ms.estimate(now=now),
            run_ms=self.run_ms.estimate(now=now),
            reading_pause_ms=self.reading_pause_ms.estimate(now=now),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _CachedProfile:
    profile: EngineProfile
    computed_at: float


class EngineProfiles:
    """The profiles of all services that have engines.

    The samples of one instance are few and may be wrong: load updates are late, and an engine may
    have more or less of a prompt in its KV cache than is known. Medians on each instance and a mean
    of the logarithms over all instances limit the influence of a single answer or instance.
    """

    __slots__ = ("_cached", "_own", "_peers")

    def __init__(self) -> None:
        self._own: dict[str, _ServiceSamples] = {}
        self._peers: dict[str, dict[str, ProfileEstimates]] = {}
        self._cached: dict[str, _CachedProfile] = {}

    def find(self, service: str, *, now: float) -> EngineProfile:
        """Return the profile of a service's engines."""
        cached = self._cached.get(service)
        if cached is None or now - cached.computed_at >= REFRESH_S:
            cached = _CachedProfile(profile=self._combine(service, now=now), computed_at=now)
            self._cached[service] = cached
        return cached.profile

    def record_first_event(
        self, service: str, *, uncached_tokens: int, took_ms: float, now: float
    ) -> None:
        """Sample the time from a send to its first event.

        Args:
            service: The engine's service.
            uncached_tokens: Uncached prompt tokens that the engine had to prefill at the send,
                including those of the request, as far as known.
            took_ms: Time from the send to the first event.
            now: The present time.
        """
        profile = self.find(service, now=now)
        samples = self._get_samples(service)
        prefill_ms = profile.compute_prefill_ms(uncached_tokens)
        if prefill_ms < NEGLIGIBLE_PREFILL_MS:
            samples.first_event_ms.add(took_ms - prefill_ms, now=now)
        elif took_ms > SIGNIFICANT_PREFILL_FACTOR * profile.first_event_ms:
            rest_ms = took_ms - profile.first_event_ms
            samples.read_tokens_per_ms.add(uncached_tokens / rest_ms, now=now)

    def record_run(self, service: str, *, output_tokens: int, run_ms: float, now: float) -> None:
        """Sample the time from a stream's first event to its end.

        Args:
            service: The engine's service.
            output_tokens: Token limit of the answer.
            run_ms: Time from the first event to the end.
            now: The present time.
        """
        samples = self._get_samples(service)
        samples.run_ms.add(run_ms, now=now)
        if output_tokens > 0:
            samples.token_ms.add(run_ms / output_tokens, now=now)

    def record_pause(
        self, service: str, *, uncached_tokens: int, pause_ms: float, now: float
    ) -> None:
        """Sample a stream's longest pause if prefill can have caused it.

        Args:
            service: The engine's service.
            uncached_tokens: Uncached prompt tokens that the engine had to prefill then, as far as
                known.
            pause_ms: The longest pause.
            now: The present time.
        """
        prefill_ms = self.find(service, now=now).compute_prefill_ms(uncached_tokens)
        if prefill_ms >= MIN_PREFILL_PAUSE_SHARE * pause_ms:
            self._get_samples(service).reading_pause_ms.add(pause_ms, now=now)

    def list_own(self, *, now: float) -> dict[str, ProfileEstimates]:
        """Return this instance's recent estimates by service."""
        return {service: samples.estimate(now=now) for service, samples in self._own.items()}

    def list_peers(self) -> dict[str, dict[str, ProfileEstimates]]:
        """Return the estimates of other instances by source and service."""
        return self._peers

    def combine(self, sources: Iterable[str], *, now: float) -> dict[str, ProfileEstimates]:
        """Return the combined estimates of this instance and some sources by service."""
        estimates = [self.list_own(now=now), *(self._peers.get(source, {}) for source in sources)]
        services = {service for by_service in estimates for service in by_service}
        return {
            service: _combine_estimates([one[service] for one in estimates if service in one])
            for service in services
        }

    def replace_peer(self, instance: str, estimates: dict[str, ProfileEstimates]) -> None:
        """Replace the estimates of another instance."""
        self._peers[instance] = estimates

    def retain_peers(self, instances: set[str]) -> None:
        """Drop the estimates of instances that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def _get_samples(self, service: str) -> _ServiceSamples:
        return self._own.setdefault(service, _ServiceSamples())

    def _combine(self, service: str, *, now: float) -> EngineProfile:
        estimates = [
            by_service[service] for by_service in self._peers.values() if service in by_service
        ]
        own = self._own.get(service)
        if own is not None:
            estimates.append(own.estimate(now=now))
        if not estimates:
            return PRIOR
        return EngineProfile(
            first_event_ms=_average(
                PRIOR.first_event_ms, (one.first_event_ms for one in estimates)
            ),
            read_tokens_per_ms=_average(
                PRIOR.read_tokens_per_ms, (one.read_tokens_per_ms for one in estimates)
            ),
            token_ms=_average(PRIOR.token_ms, (one.token_ms for one in estimates)),
            run_ms=_average(PRIOR.run_ms, (one.run_ms for one in estimates)),
            reading_pause_ms=_average(
                PRIOR.reading_pause_ms, (one.reading_pause_ms for one in estimates)
            ),
        )


def _combine_estimates(sources: list[ProfileEstimates]) -> ProfileEstimates:
    """Return one set of estimates with the combined weight of all of them in a mean."""
    combined = {}
    for name in PROFILE_QUANTITIES:
        estimates: list[Estimate] = [getattr(one, name) for one in sources]
        samples = sum(estimate.samples for estimate in estimates)
        total = sum(estimate.samples * math.log(estimate.value) for estimate in estimates)
        value = math.exp(total / samples) if samples else 1.0
        combined[name] = Estimate(value=value, samples=samples)
    return ProfileEstimates(**combined)


def _average(prior: float, estimates: Iterable[Estimate]) -> float:
    """Return the weighted geometric mean, in which no outlier outweighs the others."""
    weight = PRIOR_SAMPLES
    total = weight * math.log(prior)
    for estimate in estimates:
        weight += estimate.samples
        total += estimate.samples * math.log(estimate.value)
    return math.exp(total / weight)
