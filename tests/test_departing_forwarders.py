"""Tests of streams on their way through another instance, a real process, that leaves."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest
from typing import Final

from soak.partitions import FOLLOW_INTERVAL_S, PartitionKind

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._kept_callers import KeptCallers
from tests._platform_callers import PartitionableTestCase

CALLERS: Final = 12
EVENTS: Final = 10
GRACE_S: Final = 8.0
STREAM_S: Final = 4.5
"""Seconds of a stream: those sent before a signal end in the grace time."""
OVERLAP_S: Final = 2.0
"""Seconds from the signal of the instances that forward to that of the one that has the callers."""
TIMEOUT_MS: Final = 20_000


class LeavingForwardersTest(PartitionableTestCase):
    """Two of three that forward leave, and after them the one that has the callers."""

    instance_count = 4
    slots = 400
    idle_timeout_ms = 20_000

    def prepare_site(self) -> None:
        self.site.bounds["grace_s"] = GRACE_S

    async def test_no_stream_is_cut_by_an_instance_that_leaves_sooner(self) -> None:
        """Guards against streams that are sent through an instance whose end cuts them.

        The instance that has the callers doesn't reach the engines. Its callers send on over kept
        connections, beside both signals: what goes on its way through an instance that leaves ends
        there, and whatever comes later goes through the one that stays.
        """
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = STREAM_S / EVENTS
        origin, first, second, _ = self.instances
        self.cut(PartitionKind.REFUSE, [0])
        await asyncio.sleep(2 * FOLLOW_INTERVAL_S)
        callers = KeptCallers(
            addresses=[origin.callers] * CALLERS,
            target=STREAM_PREFIX + "stream",
            timeout_ms=TIMEOUT_MS,
            stagger_s=STREAM_S / CALLERS,
        )
        sending = asyncio.create_task(callers.run(lambda _: origin.process.returncode is not None))
        await asyncio.sleep(1.5 * STREAM_S)
        signalled_at = time.monotonic()
        for instance in (first, second):
            instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(OVERLAP_S)
        origin.process.send_signal(signal.SIGTERM)
        await sending
        self.assertEqual([one for one in callers.requests if one.is_cut], [])
        self.assertGreater(
            sum(one.complete and one.sent_at > signalled_at for one in callers.requests), 0
        )
        for instance in (origin, first, second):
            self.assertEqual(await instance.process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
