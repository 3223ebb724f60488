"""Metrics sent to ``statsd``; ``docs/METRICS.md`` lists the names."""

from __future__ import annotations

from abc import ABC, abstractmethod

from statsd import StatsClient


class Metrics(ABC):
    """Interface for counters, durations and gauges."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics(Metrics):
    """Discards all metrics; used when no address is set."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""

    def time(self, name: str, seconds: float) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Sends each metric as one UDP datagram.

    Args:
        address: ``ip:port`` of the statsd server.
    """

    def __init__(self, *, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._client = StatsClient(host, int(port), prefix="guavamast")

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Record one duration."""
        self._client.timing(name, seconds * 1000.0)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)


def create_metrics(address: str) -> Metrics:
    """Return a statsd sender, or one that discards all metrics when there is no address."""
    return StatsdMetrics(address=address) if address else NoMetrics()
