"""End-to-end tests of engines that end when they have to reject too many requests."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import CALL_PREFIX, LOOKUP_PREFIX, STREAM_PREFIX
from guavamast.relay.http_connection import ConnectionLost, MalformedAnswer
from tests._platform_callers import Caller, PlatformTestCase

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import EngineStandIn
    from tests._platform_callers import Instance

INSTANCES: Final = 6
ENGINES: Final = 4
"""Engines of each service."""
SLOTS: Final = 8
REJECTION_LIMIT: Final = 2
"""Rejections in a second that an engine bears."""
CALLERS: Final = ENGINES * SLOTS * 3 // 2
"""Callers of each service: half again as many as fit."""
STABLE_S: Final = 3.0
"""Seconds from the announcement after which engines end by rejections."""
MEASURED_S: Final = 6.0
MAX_ENDS: Final = 2 + ENGINES // 10
"""Engines of a service that may end."""
MIN_BUSY_SHARE: Final = 0.7
"""Share of the engines' slots that must be busy with requests that are served."""
CALL_S: Final = 1.2
"""Seconds that a call takes: long enough for a busy machine to keep all slots in use."""
MAX_RETRY_S: Final = 1.0


class RejectionLimitTest(PlatformTestCase):
    """The fleet sends engines no more than they have slots for."""

    pool_engines = ENGINES
    portal_engines = ENGINES
    slots = SLOTS

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instances = await self.start_instances(INSTANCES)
        self.until = 0.0

    def list_engines(self, service: str) -> list[EngineStandIn]:
        """Return all engines of a service, those that have ended included."""
        engines = [*self.site.engines.values(), *self.site.crashed_engines]
        return [one for one in engines if one.engine_id.startswith(service)]

    def set_limits(self, *, limit: int | None) -> None:
        for engine in self.site.engines.values():
            engine.slots = SLOTS
            engine.processing_s = CALL_S
            engine.rejection_limit = limit

    async def ask(self, instance: Instance, target: str, request_id: str) -> float:
        """Send a request; return the seconds after which to come back."""
        try:
            caller = await Caller.open(instance.callers)
        except ConnectionLost:
            return 0.1
        try:
            reply = await caller.send_request(target, request_id=request_id, body=b"x")
        except (ConnectionLost, MalformedAnswer):
            return 0.1
        finally:
            caller.connection.close()
        if reply.status == 200:
            return 0.0
        return min(MAX_RETRY_S, float(reply.headers.get("retry-after", "0.1")))

    async def keep_asking(self, name: str, number: int, target: str) -> None:
        """Ask one instance after the other, and come back when told to."""
        turn = number
        while time.monotonic() < self.until:
            turn += 1
            instance = self.instances[turn % INSTANCES]
            await asyncio.sleep(await self.ask(instance, target, f"{name}{number}-{turn}"))

    async def test_engines_that_bear_few_rejections_stay_up_and_busy(self) -> None:
        """Guards against instances that each send what the others have sent already."""
        await self.check_ends_and_work(CALL_PREFIX + "x")

    async def test_endpoints_of_repeatable_calls_stay_up_and_busy(self) -> None:
        """Guards against slots that count as free while abandoned calls run on there."""
        await self.check_ends_and_work(LOOKUP_PREFIX + "x")

    async def check_ends_and_work(self, call_target: str) -> None:
        """Check the engines of streams and the endpoints of a kind of call."""
        self.set_limits(limit=None)
        started_at = time.monotonic()
        self.until = started_at + 1.0 + STABLE_S + MEASURED_S
        async with asyncio.TaskGroup() as tasks:
            for number in range(CALLERS):
                tasks.create_task(self.keep_asking("c", number, call_target))
                tasks.create_task(self.keep_asking("s", number, STREAM_PREFIX + "stream/x"))
            await asyncio.sleep(1.0)
            # Within the first seconds the engines announce the limit without ending by it.
            self.set_limits(limit=1000)
            await asyncio.sleep(STABLE_S)
            self.set_limits(limit=REJECTION_LIMIT)
            measured_from = time.monotonic()
        for service in ("pool", "portal"):
            with self.subTest(service=service):
                ended = sum(one.engine_id.startswith(service) for one in self.site.crashed_engines)
                self.assertLessEqual(ended, MAX_ENDS)
                busy_s = sum(
                    max(0.0, run.ended - max(run.began, measured_from))
                    for engine in self.list_engines(service)
                    for run in engine.completed
                )
                possible_s = ENGINES * SLOTS * (self.until - measured_from)
                self.assertGreaterEqual(busy_s, MIN_BUSY_SHARE * possible_s)
