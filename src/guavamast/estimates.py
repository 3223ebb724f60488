"""Estimates that a keeper learns from releases: lengths, service times, rates and weights."""

from __future__ import annotations

import math
from array import array
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from guavamast.world import EndpointKind

if TYPE_CHECKING:
    from guavamast.slots import Ask, Release

BUCKETS: Final = 36
"""Log-spaced buckets of a histogram; the last one begins at 2 ** 17.5 tokens."""
BUCKETS_PER_DOUBLING: Final = 2
HISTOGRAM_CEILING: Final = 256
"""Samples at which a histogram is halved, so that old lengths fade."""
PRIOR_SAMPLES: Final = 8.0
"""Weight, in samples, of what all organisations show for a kind and model."""
DEFAULT_TOKENS: Final = 256
"""Median output tokens when nothing was seen yet."""
MAX_LENGTH_KEYS: Final = 8192
"""Histograms kept, the least recently used go first; about 0.4 kB each."""
MAX_SHARED_KEYS: Final = 256
"""Kinds and models whose lengths or times are kept over all organisations."""
EWMA_WEIGHT: Final = 0.1
"""Weight of a new sample in a moving average."""
LOW_QUANTILE: Final = 0.1
DEFAULT_FIRST_TOKEN_S: Final = 0.2
"""Seconds; half of the first-token target of the design size."""
DEFAULT_INTERVAL_S: Final = 0.02
"""Seconds between tokens; just under the target of the design size."""
DEFAULT_CALL_S: Final = 0.2
"""Seconds that a call of a plain service is expected to take before one was seen."""
DEFAULT_ENGINE_S: Final = DEFAULT_FIRST_TOKEN_S + DEFAULT_TOKENS * DEFAULT_INTERVAL_S
"""Seconds that a run of an engine is expected to take before one was seen."""
RATE_HALF_LIFE_S: Final = 30.0
"""Seconds after which a release counts half in the release rate."""
PRIOR_RELEASES: Final = 2.0
"""Weight, in releases, of the rate that slots and service time predict."""
STRAGGLE_RATIO: Final = 2.0
"""Times the usual pace from which a release counts as slow."""
WEIGHT_FLOOR: Final = 0.05
"""Least weight; above 0 so that a trickle of requests keeps probing the endpoint."""
WEIGHT_RECOVERY_S: Final = 10.0
"""Seconds without a release after which the weight has risen by `WEIGHT_STEP`."""
WEIGHT_STEP: Final = 0.1


class LengthHistogram:
    """Output lengths in log-spaced buckets; older ones fade."""

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
        """Return the counts, scaled."""
        return [count * weight for count in self._counts]


def compute_bucket(tokens: int) -> int:
    """Return the bucket of a length."""
    return min(BUCKETS - 1, int(BUCKETS_PER_DOUBLING * math.log2(max(1, tokens))))


def compute_bucket_edge(bucket: float) -> float:
    """Return the least length of a bucket; fractions lie inside of it."""
    return 2.0 ** (bucket / BUCKETS_PER_DOUBLING)


class LengthEstimates:
    """Output length by quantile per organisation, kind and model, in bounded memory.

    Few own samples are completed by those of all organisations for the same kind and model. One
    object may serve all keepers of a process, so that each learns from the others' releases.
    """

    __slots__ = ("_by_organisation", "_shared")

    def __init__(self) -> None:
        self._by_organisation: OrderedDict[tuple[str, str, str], LengthHistogram] = OrderedDict()
        self._shared: OrderedDict[tuple[str, str], LengthHistogram] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_organisation)

    def observe(self, ask: Ask, tokens: int) -> None:
        """Count the length of one whole answer."""
        own_key = (ask.organisation, ask.kind, ask.model)
        _get_or_create(self._by_organisation, own_key, MAX_LENGTH_KEYS).add(tokens)
        _get_or_create(self._shared, (ask.kind, ask.model), MAX_SHARED_KEYS).add(tokens)

    def estimate(self, ask: Ask, *, quantile: float, produced: int = 0) -> float:
        """Return the output length, at that quantile, of a request that has come so far.

        Args:
            ask: The request; its ``max_tokens`` bounds the estimate.
            quantile: 0 to 1; of the lengths above ``produced`` once it runs.
            produced: Tokens delivered already.

        Returns:
            Tokens in all, at least ``produced``.
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
    # Exponential with DEFAULT_TOKENS as its median: low quantiles refuse little on no evidence.
    return -DEFAULT_TOKENS * math.log2(1.0 - min(quantile, 0.99))


def _compute_quantile(counts: list[float], begin: float, quantile: float) -> float | None:
    """Return a quantile of the lengths above a point of the scale; None when there are none."""
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

    __slots__ = ("_lengths", "_paces", "mean_s", "samples")

    def __init__(self, *, lengths: LengthEstimates, kind: EndpointKind) -> None:
        self._lengths = lengths
        self._paces: OrderedDict[tuple[str, str], _RunAverages] = OrderedDict()
        self.samples = 0
        """Runs that the estimates rest on."""
        self.mean_s = DEFAULT_CALL_S if kind is EndpointKind.SERVICE else DEFAULT_ENGINE_S
        """Mean seconds of all runs here."""

    def observe(self, ask: Ask, release: Release) -> None:
        """Learn from a run that ended with its whole answer."""
        self.samples += 1
        self.mean_s = _average(self.mean_s, release.duration_s, self.samples)
        pace = self._get_or_create(ask)
        pace.samples += 1
        if not ask.model:
            pace.call_s = _average(pace.call_s, release.duration_s, pace.samples)
            _track_low(pace, release.duration_s)
            return
        pace.first_token_s = _average(pace.first_token_s, release.first_token_s, pace.samples)
        interval = compute_interval(release)
        if interval is not None:
            pace.interval_s = _average(pace.interval_s, interval, pace.samples)

    def estimate(self, ask: Ask, *, quantile: float) -> float:
        """Return the seconds from grant to release at a quantile of the length."""
        if not ask.model:
            pace = self._paces.get((ask.kind, ask.model)) or _RunAverages()
            return pace.low_call_s if quantile <= LOW_QUANTILE else pace.call_s
        tokens = self._lengths.estimate(ask, quantile=quantile)
        return self.estimate_remaining(ask, tokens=tokens)

    def estimate_remaining(self, ask: Ask, *, tokens: float, produced: int = 0) -> float:
        """Return the seconds to the release of a run of a length, some tokens being out already."""
        pace = self._paces.get((ask.kind, ask.model)) or _RunAverages()
        if not ask.model:
            return pace.call_s
        first_token_s = 0.0 if produced else pace.first_token_s
        return first_token_s + (tokens - produced) * pace.interval_s

    def estimate_first_token(self, ask: Ask) -> float:
        """Return the seconds from grant to the first token, or to the answer of a call."""
        pace = self._paces.get((ask.kind, ask.model)) or _RunAverages()
        return pace.first_token_s if ask.model else pace.call_s

    def _get_or_create(self, ask: Ask) -> _RunAverages:
        key = (ask.kind, ask.model)
        pace = self._paces.get(key)
        if pace is None:
            pace = self._paces[key] = _RunAverages()
            if len(self._paces) > MAX_SHARED_KEYS:
                self._paces.popitem(last=False)
        else:
            self._paces.move_to_end(key)
        return pace


def compute_interval(release: Release) -> float | None:
    """Return the seconds between tokens of a run; None when it has too few of them."""
    if release.tokens < 2:
        return None
    return max(0.0, release.duration_s - release.first_token_s) / (release.tokens - 1)


def _average(mean: float, sample: float, samples: int) -> float:
    # The first samples weigh as in a plain mean with the default as one more.
    return mean + max(EWMA_WEIGHT, 1.0 / (samples + 1)) * (sample - mean)


def _track_low(pace: _RunAverages, sample: float) -> None:
    step = EWMA_WEIGHT * pace.low_call_s
    if pace.low_call_s == 0.0:
        pace.low_call_s = 0.5 * sample
    elif sample < pace.low_call_s:
        pace.low_call_s = max(sample, pace.low_call_s - step * (1.0 - LOW_QUANTILE))
    else:
        pace.low_call_s += step * LOW_QUANTILE


class ReleaseRate:
    """Releases a second while every slot is held.

    The span without a release counts too, so that a stalled endpoint shows a falling rate before
    its next release comes.
    """

    __slots__ = ("_full_since", "_releases", "_seconds")

    def __init__(self) -> None:
        self._releases = 0.0
        self._seconds = 0.0
        self._full_since: float | None = None

    def observe(self, *, full: bool, released: bool, now: float) -> None:
        """Record whether every slot is held from now on and whether a run has just ended."""
        if self._full_since is not None:
            elapsed = max(0.0, now - self._full_since)
            decay = 0.5 ** (elapsed / RATE_HALF_LIFE_S)
            self._releases = self._releases * decay + released
            self._seconds = self._seconds * decay + elapsed
        self._full_since = now if full else None

    def estimate(self, *, slots: int, service_s: float, now: float) -> float:
        """Return releases a second.

        Args:
            slots: Slots of the endpoint.
            service_s: Expected seconds of a run; the rate before any release was seen.
            now: Present time in seconds.
        """
        waited = max(0.0, now - self._full_since) if self._full_since is not None else 0.0
        prior_s = PRIOR_RELEASES * max(service_s, 1e-6) / max(1, slots)
        return (self._releases + PRIOR_RELEASES) / (self._seconds + waited + prior_s)


class TierRates:
    """Events a second by tier; old ones fade."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[int, _DecayingRate] = {}

    def observe(self, tier: int, *, now: float) -> None:
        """Count one event."""
        self._rates.setdefault(tier, _DecayingRate(now=now)).add(now)

    def estimate_above(self, tier: int, *, now: float) -> float:
        """Return the events a second of the tiers higher than one."""
        return sum(rate.get(now) for other, rate in self._rates.items() if other < tier)


class _DecayingRate:
    """Events a second."""

    __slots__ = ("_changed_at", "_count")

    def __init__(self, *, now: float) -> None:
        self._count = 0.0
        self._changed_at = now

    def add(self, now: float) -> None:
        """Count one event."""
        self._count = self._decay(now) + 1.0
        self._changed_at = now

    def get(self, now: float) -> float:
        """Return the rate, as if it were steady."""
        return self._decay(now) * math.log(2.0) / RATE_HALF_LIFE_S

    def _decay(self, now: float) -> float:
        return self._count * 0.5 ** (max(0.0, now - self._changed_at) / RATE_HALF_LIFE_S)


class StragglerWeight:
    """Share of its usual traffic that an endpoint should get.

    A release that took over `STRAGGLE_RATIO` times the endpoint's own usual pace, or failed,
    lowers the weight; a good one raises it. Without releases it rises slowly, so that an endpoint
    that nobody chose is tried again.
    """

    __slots__ = ("_changed_at", "_baselines", "_weight")

    def __init__(self, *, now: float) -> None:
        self._weight = 1.0
        self._baselines: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._changed_at = now

    def observe(self, ask: Ask, release: Release, *, now: float) -> None:
        """Learn from one release of a slot that was used."""
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
        # A lasting change of pace becomes the usual one, but a slow spell must not hide itself.
        step = 0.1 if pace <= baseline else 0.02
        self._baselines[key] = baseline + step * (pace - baseline)
        if len(self._baselines) > MAX_SHARED_KEYS:
            self._baselines.popitem(last=False)
        return pace > STRAGGLE_RATIO * baseline
