"""Tests of streams on kept connections while their instance, a real process, leaves."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._kept_callers import KeptCallers
from tests._platform_callers import PlatformTestCase

if TYPE_CHECKING:
    from tests._kept_callers import KeptRequest
    from tests._platform_callers import Instance

CALLERS: Final = 24
EVENTS: Final = 10
ADDRESS_VALIDITY_S: Final = 3.0
"""Seconds after the signal for which callers may hold the address of a leaving instance."""
TIMEOUT_MS: Final = 20_000


class DepartingStreamsTest(PlatformTestCase):
    """An instance gets SIGTERM while callers send on until its process is gone."""

    slots = 400
    idle_timeout_ms = 20_000

    async def test_no_stream_sent_late_on_a_kept_connection_is_cut(self) -> None:
        """Guards against a stream that is taken while connections are drained, and cut.

        Callers' streams of before the signal end while the instance drains. Each caller sends its
        next request at once on the same connection, and gets a part of a stream.
        """
        await self.leave(stream_s=4.5, grace_s=8.0)
        self.assertEqual(self.list_cut(since=ADDRESS_VALIDITY_S), [])
        self.assert_refused_never_ran()

    async def test_no_stream_is_taken_late_that_needs_longer_than_the_instance_has(self) -> None:
        """Guards against a stream taken more than 3 s after the signal, and cut at its end.

        New requests are taken until 3.5 s, and 3.6 s are left for a stream of 6 s.
        """
        await self.leave(stream_s=6.0, grace_s=8.0)
        self.assertEqual(self.list_cut(since=ADDRESS_VALIDITY_S), [])
        self.assert_refused_never_ran()

    async def test_no_stream_is_ended_before_the_last_sixth_of_the_grace_time(self) -> None:
        """Guards against streams that are cut while the platform would still let them run.

        Streams of 3.2 s begin right before the signal, with a grace time of 4 s. Their callers get
        all events but the last ones, as the instance ends its requests at 3.1 s.
        """
        await self.leave(stream_s=3.2, grace_s=4.0)
        early = [one for one in self.list_cut() if self.count_after(one.ended_at) < 4.0 * 5 / 6]
        self.assertEqual(early, [])
        self.assert_refused_never_ran()

    async def test_short_streams_sent_while_callers_may_hold_the_address_are_served(self) -> None:
        """Guards against refusing what would have ended in time."""
        await self.leave(stream_s=0.5, grace_s=8.0)
        sent = [one for one in self.callers.requests if self.count_after(one.sent_at) < 2.8]
        unserved = [one for one in sent if one.status != 200 or not one.complete]
        self.assertEqual(unserved, [])
        self.assertGreater(sum(self.count_after(one.sent_at) > 0.0 for one in sent), CALLERS)

    async def leave(self, *, stream_s: float, grace_s: float) -> None:
        """Stop an instance while callers send, until its process is gone.

        Args:
            stream_s: Seconds that each stream lasts.
            grace_s: Grace time of the instance.
        """
        self.site.bounds["grace_s"] = grace_s
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = stream_s / EVENTS
        instance = await self.start_instance("one")
        self.callers = KeptCallers(
            addresses=[instance.callers] * CALLERS,
            target=STREAM_PREFIX + "stream",
            timeout_ms=TIMEOUT_MS,
            stagger_s=stream_s / CALLERS,
        )
        sending = asyncio.create_task(
            self.callers.run(lambda _: instance.process.returncode is not None)
        )
        await asyncio.sleep(2.0 * stream_s)
        self.stop(instance)
        await sending
        self.assertEqual(instance.process.returncode, 0)

    def stop(self, instance: Instance) -> None:
        self.signalled_at = time.monotonic()
        instance.process.send_signal(signal.SIGTERM)

    def count_after(self, at: float) -> float:
        """Return the seconds from the signal to a time of the monotonic clock."""
        return at - self.signalled_at

    def list_cut(self, *, since: float = float("-inf")) -> list[KeptRequest]:
        """Return the cut requests that were sent so many seconds after the signal or later."""
        return [
            one
            for one in self.callers.requests
            if one.is_cut and self.count_after(one.sent_at) >= since
        ]

    def assert_refused_never_ran(self) -> None:
        """Check that no request that was answered as not run has run."""
        ran = {run.request_id for engine in self.site.engines.values() for run in engine.runs}
        refused = {one.request_id for one in self.callers.requests if one.status == 503}
        self.assertEqual(refused & ran, set())


if __name__ == "__main__":
    unittest.main()
