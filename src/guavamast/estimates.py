"""Estimates that a keeper learns from releases: lengths, service times, rates and weights."""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from guavamast.fleet_objects import EndpointKind

if TYPE_CHECKING:
    from guavamast.slots import Ask, Release

BUCKETS: Final = 36
"""Log-spaced buckets of a histogram; the last one begins at 2 ** 17.5 tokens."""
BUCKETS_PER_DOUBLING: Final = 2
HISTOGRAM_CEILING: Final = 256
"""Samples at which the counts of a histogram are halved, so that old lengths decay."""
PRIOR_SAMPLES: Final = 8.0
"""Weight, in samples, of the lengths of all organisations for a kind and model."""
DEFAULT_TOKENS: Final = 256
"""Median output tokens before any sample."""
MAX_LENGTH_KEYS: Final = 8192
"""Maximum number of histograms, the least recently used are evicted; about 0.4 kB each."""
MAX_SHARED_KEYS: Final = 256
"""Maximum number of kinds and models with lengths or times over all organisations."""
EWMA_WEIGHT: Final = 0.1
"""Weight of a new sample in a moving average."""
LOW_QUANTILE: Final = 0.1
DEFAULT_FIRST_TOKEN_S: Final = 0.2
"""Seconds; half of the first-token target of the design size."""
DEFAULT_INTERVAL_S: Final = 0.02
"""Seconds between tokens; just under the target of the design size."""
DEFAULT_CALL_S: Final = 0.2
"""Expected seconds of a call of a plain service before any sample."""
DEFAULT_ENGINE_S: Final = DEFAULT_FIRST_TOKEN_S + DEFAULT_TOKENS * DEFAULT_INTERVAL_S
"""Expected seconds of a run of an engine before any sample."""
RATE_HALF_LIFE_S: Final = 30.0
"""Half-life in seconds of a release in the release rate."""
PRIOR_RELEASES: Final = 2.0
"""Weight, in releases, of the rate that slots and service time predict."""
STRAGGLE_RATIO: Final = 2.0
"""Multiple of the baseline pace above which a release counts as slow."""
WEIGHT_FLOOR: Final = 0.05
"""Minimum weight; above 0 so that a few requests keep probing the endpoint."""
WEIGHT_RECOVERY_S: Final = 10.0
"""Seconds without a release in which the weight rises by `WEIGHT_STEP`."""
WEIGHT_STEP: Final = 0.1


class LengthHistogram:
    """Histogram of output lengths in log-spaced buckets; older lengths decay."""

    __slots__ = ("_counts", "total")

    def __init__(self) -> None:
        self._counts = array("H", bytes(2 * BUCKETS))
        self.total = 0

    def add(self, tokens: int) -> None:
        """Count one finished length."""
        if self.total >= HISTOGRAM_CEILING:
            self._counts = array("H", [count >> 1 for count in self._counts])
            self.total = sum(self._counts)
        self._counts[compute_bucket(tokens)] += 1
        self.total += 1

    def copy_weighted(self, weight: float) -> list[float]:
        """Return the counts multiplied by a weight."""
        return [count * weight for count in self._counts]


def compute_bucket(tokens: int) -> int:
    """Return the bucket of a length."""
    return min(BUCKETS - 1, int(BUCKETS_PER_DOUBLING * math.log2(max(1, tokens))))


def compute_bucket_edge(bucket: float) -> float:
    """Return the lower edge of a bucket in tokens; a fractional index lies within the bucket."""
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class LengthEstimates:
    """Quantiles of the output length by organisation, kind and model, in bounded memory.

    If an organisation has few samples, those of all organisations for the same kind and model
    complement them. One object may serve all keepers of a process, so that each learns from the
    others' releases.
    """

    __slots__ = ("_by_organisation", "_shared")

    def __init__(self) -> None:
        self._by_organisation: OrderedDict[tuple[str, str, str], LengthHistogram] = OrderedDict()
        self._shared: OrderedDict[tuple[str, str], LengthHistogram] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_organisation)

    def observe(self, ask: Ask, tokens: int) -> None:
        """Count the length of one whole response."""
        own_key = (ask.organisation, ask.kind, ask.model)
        _get_or_create(self._by_organisation, own_key, MAX_LENGTH_KEYS).add(tokens)
        _get_or_create(self._shared, (ask.kind, ask.model), MAX_SHARED_KEYS).add(tokens)

    def estimate(self, ask: Ask, *, quantile: float, produced: int = 0) -> float:
        """Return a quantile of the output length of a request, given the tokens delivered so far.

        Args:
            ask: The request; its ``max_tokens`` bounds the estimate.
            quantile: 0 to 1; among the lengths above ``produced`` for a running request.
            produced: Tokens delivered so far.

        Returns:
            Total tokens, at least ``produced``.
        """
        counts = self._combine_counts(ask)
        begin = min(BUCKETS - 1.0, BUCKETS_PER_DOUBLING * math.log2(max(1, produced)))
        length = _compute_quantile(counts, begin, quantile)
        if length is None:
            length = produced + _compute_prior(quantile)
        ceiling = ask.max_tokens if ask.max_tokens > 0 else math.inf
        return max(float(produced), min(length, ceiling))

    def _combine_counts(self, ask: Ask) -> list[float]:
        own = self._by_organisation.get((ask.organisation, ask.kind, ask.model))
        shared = self._shared.get((ask.kind, ask.model))
        if shared is None:
            return [0.0] * BUCKETS
        counts = shared.copy_weighted(min(1.0, PRIOR_SAMPLES / shared.total))
        if own is not None:
            counts = [a + b for a, b in zip(counts, own.copy_weighted(1.0), strict=True)]
        return counts


def _compute_prior(quantile: float) -> float:
    # Exponential with median DEFAULT_TOKENS; without samples, low quantiles reject few asks.
    return -DEFAULT_TOKENS * math.log2(1.0 - min(quantile, 0.99))


def _compute_quantile(counts: list[float], begin: float, quantile: float) -> float | None:
    """Return a quantile of the lengths above a bucket position; None when there are none."""
    first = int(begin)
    counts[first] *= 1.0 - (begin - first)
    rank = quantile * sum(counts[first:])
    if rank <= 0.0:
        return None
    for bucket in range(first, BUCKETS):
        if counts[bucket] >= rank:
            lower_edge = max(begin, float(bucket))
            return compute_bucket_edge(
                lower_edge + (bucket + 1 - lower_edge) * rank / counts[bucket]
            )
        rank -= counts[bucket]
    return compute_bucket_edge(BUCKETS)


def _get_or_create(table: OrderedDict, key: tuple, limit: int) -> LengthHistogram:
    histogram = table.get(key)
    if histogram is None:
        histogram = table[key] = LengthHistogram()
        if len(table) > limit:
            table.popitem(last=False)
    else:
        table.move_to_end(key)
    return histogram


class _RunAverages:
    """Moving averages of one kind and model on one endpoint."""

    __slots__ = ("call_s", "first_token_s", "interval_s", "low_call_s", "samples")

    def __init__(self) -> None:
        self.first_token_s = DEFAULT_FIRST_TOKEN_S
        self.interval_s = DEFAULT_INTERVAL_S
        self.call_s = DEFAULT_CALL_S
        self.low_call_s = 0.0
        self.samples = 0


class ServiceTimes:
    """Expected seconds of a run on one endpoint, by kind and model."""

    __slots__ = ("_lengths", "_averages", "mean_s", "samples")

    def __init__(self, *, lengths: LengthEstimates, kind: EndpointKind) -> None:
        self._lengths = lengths
        self._averages: OrderedDict[tuple[str, str], _RunAverages] = OrderedDict()
        self.samples = 0
        """Runs that the estimates are based on."""
        self.mean_s = DEFAULT_CALL_S if kind is EndpointKind.SERVICE else DEFAULT_ENGINE_S
        """Moving average of the seconds of all runs on the endpoint."""

    def observe(self, ask: Ask, release: Release) -> None:
        """Update the estimates from a run that ended with its whole response."""
        self.samples += 1
        self.mean_s = _average(self.mean_s, release.duration_s, self.samples)
        averages = self._get_or_create(ask)
        averages.samples += 1
        if not ask.model:
            averages.call_s = _average(averages.call_s, release.duration_s, averages.samples)
            _track_low(averages, release.duration_s)
            return
        averages.first_token_s = _average(
            averages.first_token_s, release.first_token_s, averages.samples
        )
        interval = compute_interval(release)
        if interval is not None:
            averages.interval_s = _average(averages.interval_s, interval, averages.samples)

    def estimate(self, ask: Ask, *, quantile: float) -> float:
        """Return the seconds from grant to release at a quantile of the length."""
        if not ask.model:
            averages = self._averages.get((ask.kind, ask.model)) or _RunAverages()
            return averages.low_call_s if quantile <= LOW_QUANTILE else averages.call_s
        tokens = self._lengths.estimate(ask, quantile=quantile)
        return self.estimate_remaining(ask, tokens=tokens)

    def estimate_remaining(self, ask: Ask, *, tokens: float, produced: int = 0) -> float:
        """Return the seconds to the end of a run of ``tokens``, given the tokens ``produced``."""
        averages = self._averages.get((ask.kind, ask.model)) or _RunAverages()
        if not ask.model:
            return averages.call_s
        first_token_s = 0.0 if produced else averages.first_token_s
        return first_token_s + (tokens - produced) * averages.interval_s

    def estimate_first_token(self, ask: Ask) -> float:
        """Return the seconds from grant to the first token, or to the response of a call."""
        averages = self._averages.get((ask.kind, ask.model)) or _RunAverages()
        return averages.first_token_s if ask.model else averages.call_s

    def _get_or_create(self, ask: Ask) -> _RunAverages:
        key = (ask.kind, ask.model)
        averages = self._averages.get(key)
        if averages is None:
            averages = self._averages[key] = _RunAverages()
            if len(self._averages) > MAX_SHARED_KEYS:
                self._averages.popitem(last=False)
        else:
            self._averages.move_to_end(key)
        return averages


def compute_interval(release: Release) -> float | None:
    """Return the seconds between tokens of a run; None when it has fewer than two tokens."""
    if release.tokens < 2:
        return None
    return max(0.0, release.duration_s - release.first_token_s) / (release.tokens - 1)


def _average(mean: float, sample: float, samples: int) -> float:
    # The first samples are weighted as in an arithmetic mean that counts the default as one sample.
    return mean + max(EWMA_WEIGHT, 1.0 / (samples + 1)) * (sample - mean)


def _track_low(averages: _RunAverages, sample: float) -> None:
    step = EWMA_WEIGHT * averages.low_call_s
    if averages.low_call_s == 0.0:
        averages.low_call_s = 0.5 * sample
    elif sample < averages.low_call_s:
        averages.low_call_s = max(sample, averages.low_call_s - step * (1.0 - LOW_QUANTILE))
    else:
        averages.low_call_s += step * LOW_QUANTILE


class ReleaseRate:
    """Releases per second while all slots are held.

    The time since the last release counts, too, so that the rate of a stalled endpoint falls
    before its next release.
    """

    __slots__ = ("_full_since", "_releases", "_seconds")

    def __init__(self) -> None:
        self._releases = 0.0
        self._seconds = 0.0
        self._full_since: float | None = None

    def observe(self, *, full: bool, released: bool, now: float) -> None:
        """Record whether all slots are held from now on and whether a run has just ended."""
        if self._full_since is not None:
            elapsed = max(0.0, now - self._full_since)
            decay = 0.5 ** (elapsed / RATE_HALF_LIFE_S)
            self._releases = self._releases * decay + released
            self._seconds = self._seconds * decay + elapsed
        self._full_since = now if full else None

    def estimate(self, *, slots: int, service_s: float, now: float) -> float:
        """Return the releases per second.

        Args:
            slots: Slots of the endpoint.
            service_s: Expected seconds of a run; determines the rate before the first release.
            now: Current time in seconds.
        """
        waited = max(0.0, now - self._full_since) if self._full_since is not None else 0.0
        prior_s = PRIOR_RELEASES * max(service_s, 1e-6) / max(1, slots)
        return (self._releases + PRIOR_RELEASES) / (self._seconds + waited + prior_s)


class TierRates:
    """Events per second by tier; old events decay."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[int, _DecayingRate] = {}

    def observe(self, tier: int, *, now: float) -> None:
        """Count one event."""
        self._rates.setdefault(tier, _DecayingRate(now=now)).add(now)

    def estimate_above(self, tier: int, *, now: float) -> float:
        """Return the events per second of all tiers above the given one."""
        return sum(rate.get(now) for other, rate in self._rates.items() if other < tier)


class _DecayingRate:
    """Events per second; old events decay."""

    __slots__ = ("_changed_at", "_count")

    def __init__(self, *, now: float) -> None:
        self._count = 0.0
        self._changed_at = now

    def add(self, now: float) -> None:
        """Count one event."""
        self._count = self._decay(now) + 1.0
        self._changed_at = now

    def get(self, now: float) -> float:
        """Return the rate, assuming that it is steady."""
        return self._decay(now) * math.log(2.0) / RATE_HALF_LIFE_S

    def _decay(self, now: float) -> float:
        return self._count * 0.5 ** (max(0.0, now - self._changed_at) / RATE_HALF_LIFE_S)


class StragglerWeight:
    """Share of its normal traffic that an endpoint should get.

    A release that failed, or took over `STRAGGLE_RATIO` times the endpoint's own baseline pace,
    lowers the weight; a good one raises it. Without releases it rises slowly, so that an endpoint
    that was not selected is tried again.
    """

    __slots__ = ("_changed_at", "_baselines", "_weight")

    def __init__(self, *, now: float) -> None:
        self._weight = 1.0
        self._baselines: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._changed_at = now

    def observe(self, ask: Ask, release: Release, *, now: float) -> None:
        """Update the weight from one release of a slot that was used."""
        weight = self.get(now=now)
        if release.failed:
            weight *= 0.5
        elif self._is_slow(ask, release):
            weight *= 0.8
        else:
            weight += WEIGHT_STEP
        self._weight = min(1.0, max(WEIGHT_FLOOR, weight))
        self._changed_at = now

    def get(self, *, now: float) -> float:
        """Return the weight, `WEIGHT_FLOOR` to 1."""
        idle_s = max(0.0, now - self._changed_at)
        return min(1.0, self._weight + WEIGHT_STEP * idle_s / WEIGHT_RECOVERY_S)

    def _is_slow(self, ask: Ask, release: Release) -> bool:
        pace = compute_interval(release) if ask.model else release.duration_s
        if not pace:
            return False
        key = (ask.kind, ask.model)
        baseline = self._baselines.pop(key, pace)
        # A lasting change of pace becomes the baseline, but a short slowdown must not mask itself.
        step = 0.1 if pace <= baseline else 0.02
        self._baselines[key] = baseline + step * (pace - baseline)
        if len(self._baselines) > MAX_SHARED_KEYS:
            self._baselines.popitem(last=False)
        return pace > STRAGGLE_RATIO * baseline
