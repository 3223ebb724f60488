"""Time in which engines of the simulation of urgencies idle while attempts wait for room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.placement.waiting import CHECK_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tests.urgency_workload import Engine


class IdleMeter:
    """Adds up the engines' time while attempts wait, and the part in which the engines idle.

    An attempt counts from one check's wait on, as no sooner it could have found room again, and for
    one idle engine.

    Args:
        engines: The engines by their ids.
    """

    def __init__(self, engines: Mapping[str, Engine]) -> None:
        self._engines = engines
        self.waited_s = 0.0
        self.idle_s = 0.0

    @property
    def idle_share(self) -> float:
        """Share of the engines' time in which they idled while an attempt waited."""
        return self.idle_s / self.waited_s if self.waited_s else 0.0

    def measure(self, waiting: Mapping[int, float], *, from_s: float, until_s: float) -> None:
        """Add a span in which nothing begins or ends.

        Args:
            waiting: Time since which each attempt waits.
            from_s: Begin of the span.
            until_s: Its end.
        """
        waited_s = sum(
            max(0.0, until_s - max(from_s, since + CHECK_INTERVAL_S)) for since in waiting.values()
        )
        if waited_s <= 0.0:
            return
        self.waited_s += (until_s - from_s) * len(self._engines)
        idle_s = sum(
            engine.measure_idle(from_s=from_s, until_s=until_s) for engine in self._engines.values()
        )
        self.idle_s += min(idle_s, waited_s)
