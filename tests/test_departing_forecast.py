"""Tests of what a leaving instance expects of single requests of one route."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest
from typing import TYPE_CHECKING, Final

from soak.kept_callers import KeptCaller

from guavamast.platform.standins.site import KEY, STREAM_PREFIX
from tests._platform_callers import PlatformTestCase

if TYPE_CHECKING:
    from soak.kept_callers import KeptRequest

    from guavamast.relay.messages import Header

CALLERS: Final = 24
GRACE_S: Final = 8.0
SHORT_S: Final = 0.3
SHORT_TOKENS: Final = 30
LONG_S: Final = 6.0
LONG_TOKENS: Final = 600
TEACH_S: Final = 2.0
"""Seconds in which only short streams are asked for, before the signal."""
LATE_S: Final = 2.5
"""Seconds after the signal at which long ones are asked for: too late for any to end in time."""


class StatingCaller(KeptCaller):
    """Caller that states how many tokens it expects at most."""

    tokens = SHORT_TOKENS

    def build_headers(self, request_id: str) -> list[Header]:
        """Return the headers with the stated tokens."""
        return [*super().build_headers(request_id), ("X-Token-Usage", f"100,{self.tokens}")]


class DepartingForecastTest(PlatformTestCase):
    """Requests of one route ask for 30 tokens, and for 600 after the instance got SIGTERM."""

    slots = 400
    idle_timeout_ms = 20_000

    async def test_a_long_stream_is_not_taken_for_a_short_one(self) -> None:
        """Guards against long streams that pass as the short ones of their route do, and are cut.

        All streams before the signal are short. Long ones are asked for shortly before callers'
        addresses expire, and need more time than the instance has.
        """
        self.site.bounds["grace_s"] = GRACE_S
        self.durations: dict[str, float] = {}
        for engine in self.site.engines.values():
            engine.stream_durations = self.durations
        self.instance = await self.start_instance("one")
        self.requests: list[KeptRequest] = []
        process = self.instance.process
        async with asyncio.TaskGroup() as tasks:
            teaching_until = time.monotonic() + TEACH_S
            for number in range(CALLERS):
                short = self.build_caller(f"short{number}", SHORT_TOKENS, SHORT_S)
                tasks.create_task(short.run(lambda: False, until=teaching_until))
            await asyncio.sleep(TEACH_S + SHORT_S)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(LATE_S)
            until = time.monotonic() + 0.3
            for number in range(CALLERS):
                long = self.build_caller(f"long{number}", LONG_TOKENS, LONG_S)
                tasks.create_task(long.run(lambda: False, until=until))
        self.assertEqual(await process.wait(), 0)
        long_requests = [one for one in self.requests if one.request_id.startswith("long")]
        self.assertGreaterEqual(len(long_requests), CALLERS)
        self.assertEqual([one.request_id for one in long_requests if one.is_cut], [])
        self.assertEqual({one.status for one in long_requests}, {503})
        ran = {run.request_id for engine in self.site.engines.values() for run in engine.runs}
        self.assertEqual({one.request_id for one in long_requests} & ran, set())

    def build_caller(self, name: str, tokens: int, duration_s: float) -> StatingCaller:
        def choose_target(request_id: str) -> str:
            self.durations[request_id] = duration_s
            return f"{STREAM_PREFIX}stream/{request_id}"

        caller = StatingCaller(
            name=name,
            key=KEY,
            choose_address=lambda: self.instance.callers,
            choose_target=choose_target,
            timeout_ms=20_000,
            requests=self.requests,
        )
        caller.tokens = tokens
        return caller


if __name__ == "__main__":
    unittest.main()
