"""Counters, gauges and latency histograms in the Prometheus text exposition format.

A client library is not used: importing it takes 2.8 MB in each process, as much as this instance's
connections.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

LATENCY_BOUNDS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)
"""Seconds at the upper bound of each bucket; they include the usual objectives."""


class _Histogram:
    __slots__ = ("buckets", "total")

    def __init__(self) -> None:
        self.buckets = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.total = 0.0


class Counters:
    """All metrics of a process by name and labels."""

    __slots__ = ("_values", "_histograms")

    def __init__(self) -> None:
        self._values: dict[str, float] = {}
        self._histograms: dict[str, _Histogram] = {}

    def add(self, name: str, amount: float = 1.0) -> None:
        """Add to a counter; labels are part of the name, as in ``sends_total{kind="x"}``."""
        self._values[name] = self._values.get(name, 0.0) + amount

    def set(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._values[name] = value

    def remove(self, name: str) -> None:
        """Remove a gauge that no longer applies."""
        self._values.pop(name, None)

    def replace(self, name: str, values: Mapping[str, float]) -> None:
        """Replace all series of a gauge, by their labels; those that are missing end."""
        for series in [one for one in self._values if one.startswith(name + "{")]:
            del self._values[series]
        for labels, value in values.items():
            self._values[f"{name}{{{labels}}}"] = value

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.setdefault(name, _Histogram())
        histogram.buckets[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        histogram.total += seconds

    def render(self) -> str:
        """Return all metrics in the exposition format."""
        lines = [f"guavamast_{name} {value:g}" for name, value in sorted(self._values.items())]
        for name, histogram in sorted(self._histograms.items()):
            lines.extend(_render_histogram(f"guavamast_{name}", histogram))
        return "\n".join(lines) + "\n"


def _render_histogram(name: str, histogram: _Histogram) -> list[str]:
    lines = []
    count = 0
    for bound, amount in zip((*LATENCY_BOUNDS_S, "+Inf"), histogram.buckets, strict=True):
        count += amount
        lines.append(f'{name}_bucket{{le="{bound}"}} {count}')
    lines.append(f"{name}_sum {histogram.total:g}")
    lines.append(f"{name}_count {count}")
    return lines
