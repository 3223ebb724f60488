"""Metrics of what an instance has learnt of engines, and of the memory that it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavamast.relay.buffering import MemoryUse
    from guavamast.relay.counters import Counters
    from guavamast.relay.placement import EngineProfile, SpeedEstimate


class Gauges:
    """Sets the metrics that are read off from time to time.

    Args:
        counters: Receives the metrics.
    """

    __slots__ = ("_counters",)

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters

    def record_speeds(self, speeds: Mapping[str, SpeedEstimate]) -> None:
        """Set the gauges of the engines that are not of the usual speed."""
        self._counters.replace(
            "engine_speed",
            {f'endpoint="{endpoint_id}"': one.factor for endpoint_id, one in speeds.items()},
        )

    def record_profile(self, service: str, profile: EngineProfile) -> None:
        """Set the gauges of a service's engine profile."""
        self._counters.set(
            f'engine_read_tokens_per_ms{{service="{service}"}}', profile.read_tokens_per_ms
        )
        self._counters.set(f'engine_first_event_ms{{service="{service}"}}', profile.first_event_ms)
        self._counters.set(
            f'engine_reading_pause_ms{{service="{service}"}}', profile.reading_pause_ms
        )

    def record_memory(self, held: dict[MemoryUse, int], *, paused: int) -> None:
        """Set the gauges of the memory that is held for others.

        Args:
            held: Bytes by use.
            paused: Streams that aren't read at present, as their callers are slow.
        """
        for use, size in held.items():
            self._counters.set(f'held_bytes{{use="{use}"}}', size)
        self._counters.set("paused_streams", paused)
