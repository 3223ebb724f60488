"""How fast the engines of a service are, learnt from the answers that pass through.

Nobody tells an instance how fast engines read prompts or how long their streams pause; it differs
several times between deployments. Each instance keeps medians of what it sees lately and tells them
to the others, and all weigh them together, so that the profiles of instances agree.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

SAMPLES: Final = 24
"""Samples of which a median is taken: the latest, so that it follows what changes."""
SAMPLE_AGE_S: Final = 30.0
"""Seconds after which a sample is dropped: engines may have been replaced since."""
PRIOR_SAMPLES: Final = 2.0
"""Samples that the prior weighs: so few that the answers of the first second outweigh it."""
LITTLE_READING_MS: Final = 20.0
"""Milliseconds of reading that hardly show in a first event."""
MUCH_READING: Final = 2.0
"""Factor on a first event without reading from which on reading shows clearly in one."""
LEAST_PAUSE_SHARE: Final = 0.5
"""Share of a pause that reading must take at least for the pause to be put down to it."""
RENEW_S: Final = 0.1
"""Seconds for which a profile is used before it is computed again: several requests are decided by
one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """What to expect of an engine of one service.

    The defaults are the prior, for the first answers after a start: between the engines that are in
    use, which differ by a factor of two to each side.
    """

    first_event_ms: float = 50.0
    """Time to the first event of a request that has nothing to read and nothing to wait for."""
    read_tokens_per_ms: float = 50.0
    """Prompt tokens read in a millisecond, beside the streams that run there."""
    token_ms: float = 4.0
    """Time for each token that the answer may have, from the first event to the end."""
    run_ms: float = 800.0
    """Time that a request takes from its first event to its end."""
    reading_pause_ms: float = 130.0
    """Longest pause of a stream while its engine reads long prompts."""

    def compute_reading_ms(self, tokens: float) -> float:
        """Return the time that an engine takes to read a prompt of so many tokens."""
        return tokens / self.read_tokens_per_ms


PRIOR: Final = EngineProfile()


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """One instance's median of one quantity."""

    value: float
    samples: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ProfileEstimates:
    """What one instance has seen of one service's engines lately."""

    first_event_ms: Estimate
    read_tokens_per_ms: Estimate
    token_ms: Estimate
    run_ms: Estimate
    reading_pause_ms: Estimate


PROFILE_QUANTITIES: Final = tuple(ProfileEstimates.__dataclass_fields__)
"""Names of the quantities in a fixed order."""


class _RecentMedian:
    """The median of the latest samples; a few that are far off change nothing."""

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES)

    def add(self, value: float, *, now: float) -> None:
        if value > 0.0:
            self._samples.append((now, value))

    def estimate(self, *, now: float) -> Estimate:
        while self._samples and self._samples[0][0] < now - SAMPLE_AGE_S:
            self._samples.popleft()
        if not self._samples:
            return Estimate(value=1.0, samples=0)
        ordered = sorted(value for _, value in self._samples)
        return Estimate(value=ordered[len(ordered) // 2], samples=len(ordered))


class _ServiceSamples:
    """What this instance has seen of one service."""

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
class _Computed:
    profile: EngineProfile
    at: float


class EngineProfiles:
    """The profiles of all services with model engines.

    What one instance sees is little and may be wrong: loads are told late, and an engine may have
    more or less of a prompt in its memory than is known. Medians on each instance and a mean of the
    logarithms over all of them leave no single answer or instance much say.
    """

    __slots__ = ("_computed", "_own", "_peers")

    def __init__(self) -> None:
        self._own: dict[str, _ServiceSamples] = {}
        self._peers: dict[str, dict[str, ProfileEstimates]] = {}
        self._computed: dict[str, _Computed] = {}

    def find(self, service: str, *, now: float) -> EngineProfile:
        """Return what to expect of the engines of a service."""
        computed = self._computed.get(service)
        if computed is None or now - computed.at >= RENEW_S:
            computed = _Computed(profile=self._combine(service, now=now), at=now)
            self._computed[service] = computed
        return computed.profile

    def record_first_event(
        self, service: str, *, unread_tokens: int, took_ms: float, now: float
    ) -> None:
        """Learn from the time between a send and its first event.

        Args:
            service: The engine's service.
            unread_tokens: Prompt tokens that the engine had to read at the send, those of the
                request included, by what was known.
            took_ms: From the send to the first event.
            now: The present time.
        """
        known = self.find(service, now=now)
        samples = self._find_samples(service)
        reading_ms = known.compute_reading_ms(unread_tokens)
        if reading_ms < LITTLE_READING_MS:
            samples.first_event_ms.add(took_ms - reading_ms, now=now)
        elif took_ms > MUCH_READING * known.first_event_ms:
            rest_ms = took_ms - known.first_event_ms
            samples.read_tokens_per_ms.add(unread_tokens / rest_ms, now=now)

    def record_run(self, service: str, *, output_tokens: int, run_ms: float, now: float) -> None:
        """Learn from the time between a stream's first event and its end.

        Args:
            service: The engine's service.
            output_tokens: Most tokens that the answer could have.
            run_ms: From the first event to the end.
            now: The present time.
        """
        samples = self._find_samples(service)
        samples.run_ms.add(run_ms, now=now)
        if output_tokens > 0:
            samples.token_ms.add(run_ms / output_tokens, now=now)

    def record_pause(
        self, service: str, *, unread_tokens: int, pause_ms: float, now: float
    ) -> None:
        """Learn from a stream's longest pause, if its engine was reading long enough meanwhile.

        Args:
            service: The engine's service.
            unread_tokens: Prompt tokens that the engine had to read then, by what was known.
            pause_ms: The longest pause.
            now: The present time.
        """
        reading_ms = self.find(service, now=now).compute_reading_ms(unread_tokens)
        if reading_ms >= LEAST_PAUSE_SHARE * pause_ms:
            self._find_samples(service).reading_pause_ms.add(pause_ms, now=now)

    def list_own(self, *, now: float) -> dict[str, ProfileEstimates]:
        """Return what this instance has seen lately, by service."""
        return {service: samples.estimate(now=now) for service, samples in self._own.items()}

    def list_peers(self) -> dict[str, dict[str, ProfileEstimates]]:
        """Return what others have told, by source and service."""
        return self._peers

    def combine(self, sources: Iterable[str], *, now: float) -> dict[str, ProfileEstimates]:
        """Return what this instance and some sources have seen together, by service."""
        told = [self.list_own(now=now), *(self._peers.get(source, {}) for source in sources)]
        services = {service for by_service in told for service in by_service}
        return {
            service: _combine_estimates([one[service] for one in told if service in one])
            for service in services
        }

    def take_peer(self, instance: str, estimates: dict[str, ProfileEstimates]) -> None:
        """Replace what another instance has told."""
        self._peers[instance] = estimates

    def keep_peers(self, instances: set[str]) -> None:
        """Forget instances that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def _find_samples(self, service: str) -> _ServiceSamples:
        return self._own.setdefault(service, _ServiceSamples())

    def _combine(self, service: str, *, now: float) -> EngineProfile:
        told = [by_service[service] for by_service in self._peers.values() if service in by_service]
        own = self._own.get(service)
        if own is not None:
            told.append(own.estimate(now=now))
        if not told:
            return PRIOR
        return EngineProfile(
            first_event_ms=_average(PRIOR.first_event_ms, (one.first_event_ms for one in told)),
            read_tokens_per_ms=_average(
                PRIOR.read_tokens_per_ms, (one.read_tokens_per_ms for one in told)
            ),
            token_ms=_average(PRIOR.token_ms, (one.token_ms for one in told)),
            run_ms=_average(PRIOR.run_ms, (one.run_ms for one in told)),
            reading_pause_ms=_average(
                PRIOR.reading_pause_ms, (one.reading_pause_ms for one in told)
            ),
        )


def _combine_estimates(told: list[ProfileEstimates]) -> ProfileEstimates:
    """Return estimates that weigh as much in a mean as all of them."""
    combined = {}
    for name in PROFILE_QUANTITIES:
        estimates: list[Estimate] = [getattr(one, name) for one in told]
        samples = sum(estimate.samples for estimate in estimates)
        total = sum(estimate.samples * math.log(estimate.value) for estimate in estimates)
        value = math.exp(total / samples) if samples else 1.0
        combined[name] = Estimate(value=value, samples=samples)
    return ProfileEstimates(**combined)


def _average(prior: float, estimates: Iterable[Estimate]) -> float:
    """Return the weighted mean of the logarithms, so that no far value outweighs the others."""
    weight = PRIOR_SAMPLES
    total = weight * math.log(prior)
    for estimate in estimates:
        weight += estimate.samples
        total += estimate.samples * math.log(estimate.value)
    return math.exp(total / weight)
