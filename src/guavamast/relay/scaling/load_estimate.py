"""The load of a service's engines, in engines that are fully used, by the demand for them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.placement import EngineProfile
    from guavamast.relay.scaling.demand import ServiceDemand

SAMPLE_INTERVAL_S: Final = 0.5
"""Seconds between two samples at least."""
RATE_WINDOW_S: Final = 2.0
"""Seconds over which a rate is taken: longer than a report takes to arrive."""
MEMORY_S: Final = 20.0
"""Seconds for which loads are remembered: two bursts that follow each other closely."""
BATCH_SHARE: Final = 0.5
"""Share of an engine's slots with which its streams still keep their pace."""


class LoadEstimate:
    """Estimates the present load, and remembers that of the last seconds."""

    __slots__ = ("_loads", "_samples")

    def __init__(self) -> None:
        self._samples: deque[tuple[float, ServiceDemand]] = deque()
        self._loads: deque[tuple[float, float]] = deque()

    def record(
        self, demand: ServiceDemand, profile: EngineProfile, *, slots: int, now: float
    ) -> None:
        """Record the demand since the start.

        Args:
            demand: Totals.
            profile: Speed of the engines.
            slots: Requests that one engine runs concurrently.
            now: The present time.
        """
        if self._samples and now - self._samples[-1][0] < SAMPLE_INTERVAL_S:
            return
        self._samples.append((now, demand))
        while len(self._samples) > 2 and now - self._samples[1][0] >= RATE_WINDOW_S:
            self._samples.popleft()
        since, before = self._samples[0]
        if now - since < SAMPLE_INTERVAL_S:
            return
        increase = demand - before
        self._loads.append((now, _compute_load(increase, profile, slots) / (now - since)))
        while now - self._loads[0][0] > MEMORY_S:
            self._loads.popleft()

    @property
    def latest(self) -> float:
        """The load over the last seconds."""
        return self._loads[-1][1] if self._loads else 0.0

    @property
    def peak(self) -> float:
        """The greatest remembered load."""
        return max((load for _, load in self._loads), default=0.0)

    @property
    def mean(self) -> float:
        """The mean of the remembered loads since the first request."""
        loads = [load for _, load in self._loads]
        first = next((place for place, load in enumerate(loads) if load > 0), len(loads))
        used = loads[first:]
        return sum(used) / len(used) if used else 0.0

    def has_lasted(self, seconds: float, *, now: float) -> bool:
        """Return whether there has been load for some time."""
        first = next((at for at, load in self._loads if load > 0), now)
        return now - first >= seconds


def _compute_load(demand: ServiceDemand, profile: EngineProfile, slots: int) -> float:
    """Return the seconds for which a demand keeps one engine fully used."""
    prefill_s = demand.prefill_tokens / profile.read_tokens_per_ms / 1000.0
    run_s = demand.requests * profile.run_ms / 1000.0
    return prefill_s + run_s / max(1.0, BATCH_SHARE * slots)
