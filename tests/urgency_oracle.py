"""One queue in strict order of precedence, which knows at once what each engine does.

The simulation of urgencies is compared with it: no instance, message or forecast lies between the
queue and the engines, and an engine takes the first request as soon as it has nothing to prefill.
"""

from __future__ import annotations

from collections import defaultdict
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from guavamast.relay.placement.admission import RETRY_SHARE
from guavamast.relay.placement.waiting import compute_longest_wait
from guavamast.urgency_order import BegunWork
from tests.scheduling_simulation import POOL
from tests.urgency_workload import DIGEST, Asked, Engine, Scenario

if TYPE_CHECKING:
    from collections.abc import Iterable

CALLER_ATTEMPTS = 2


def compute_patience(asked: Asked) -> float:
    """Return the seconds for which the instances keep a caller waiting, over all its attempts."""
    wait_s = compute_longest_wait(
        objective_s=asked.kind.objective_s,
        least_urgent=asked.kind is DIGEST,
        remaining_s=asked.kind.timeout_s,
    )
    if not asked.returns:
        return wait_s
    return CALLER_ATTEMPTS * wait_s + RETRY_SHARE * asked.kind.objective_s


class StrictQueue:
    """The queue and its engines.

    Args:
        scenario: Engines and their speed.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._profile = scenario.build_profile()
        self._engines = [Engine(self._profile, slots=64) for _ in range(scenario.engines)]
        self._events: list[tuple[float, int, Engine | Asked]] = []
        self._releases: list[tuple[float, int, Engine]] = []
        self._queue: list[tuple[int, float, int, Asked]] = []
        self._count = 0
        self.begun: list[BegunWork] = []
        """What began, in order."""
        self.served: set[int] = set()
        """Numbers of the requests that were served."""

    def serve(self, requests: Iterable[Asked]) -> dict[int, int]:
        """Return the prompt tokens served by precedence."""
        served: dict[int, int] = defaultdict(int)
        for asked in requests:
            self._add(asked.arrived, asked)
        while self._events:
            now, _, event = heappop(self._events)
            if isinstance(event, Asked):
                heappush(self._queue, (event.precedence, event.arrived, event.number, event))
            while self._releases and self._releases[0][0] <= now:
                heappop(self._releases)[2].release()
            for engine in self._engines:
                while self._queue and engine.is_idle(now):
                    self._begin(engine, served, now)
        return served

    def _begin(self, engine: Engine, served: dict[int, int], now: float) -> None:
        asked = heappop(self._queue)[3]
        if now > asked.arrived + compute_patience(asked):
            return
        engine.enqueue(asked)
        for _, first, end in engine.admit(now):
            served[asked.precedence] += asked.tokens
            self.served.add(asked.number)
            self.begun.append(
                BegunWork(
                    service=POOL,
                    precedence=asked.precedence,
                    tokens=asked.tokens,
                    began_at=now,
                )
            )
            self._count += 1
            heappush(self._releases, (end, self._count, engine))
            self._add(first - self._profile.first_event_ms / 1000.0, engine)
            self._add(end, engine)

    def _add(self, due: float, event: Engine | Asked) -> None:
        self._count += 1
        heappush(self._events, (due, self._count, event))
