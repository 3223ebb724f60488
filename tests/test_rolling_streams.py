"""Tests of streams on kept connections while most instances of a fleet leave one by one."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Final

from soak.departures import DepartureRecord, Outcome, classify
from soak.guarantees import RequestKind
from soak.kept_streams import KeptStreams

from guavamast.platform.standins.site import KEY
from tests._platform_callers import PlatformTestCase

if TYPE_CHECKING:
    from soak.guarantees import RequestRecord

INSTANCES: Final = 10
LEAVING: Final = 8
SIGNAL_INTERVAL_S: Final = 0.2
SEED: Final = 3
CALLERS: Final = 40
SHORTEST_STREAM_S: Final = 1.0
LONGEST_STREAM_S: Final = 5.0
BEFORE_S: Final = 3.0
"""Seconds in which callers send before the first signal."""
GRACE_S: Final = 8.0


class RollingStreamsTest(PlatformTestCase):
    """Eight of ten instances get SIGTERM, 0.2 s apart, while callers use their connections."""

    slots = 400
    idle_timeout_ms = 20_000
    retry_slack = 200

    def prepare_site(self) -> None:
        self.site.bounds["grace_s"] = GRACE_S

    async def test_a_roll_cuts_no_stream_that_could_have_ended(self) -> None:
        """Guards against streams that several leaving instances take and can't end.

        Callers send one stream after another, of 1 to 5 s and two routes, on connections that they
        use until these end, and connect to any instance then, also to one that leaves. What a
        leaving instance sends on too late reaches its caller in part, and a rejection as not run
        sends the caller on to the next leaving instance.
        """
        await self.roll()
        self.assertEqual(self.list_wrongly_cut(), [])
        self.assertEqual(self.list_unanswered_runs(), [])
        self.assertEqual(self.list_wrong_counts(), [])
        self.assertEqual([process.returncode for process in self.processes], [0] * LEAVING)
        first_signal = min(self.signals.values())
        later = [one for one in self.requests if one.served and one.sent_at > first_signal]
        self.assertGreater(len(later), CALLERS)

    async def roll(self) -> None:
        """Stop eight of ten instances while callers send, until all their processes are gone."""
        durations: dict[str, float] = {}
        for engine in self.site.engines.values():
            engine.stream_durations = durations
        instances = await self.start_instances(INSTANCES)
        streams = KeptStreams(
            key=KEY,
            organisation="bakery",
            durations=durations,
            random=Random(SEED),
            callers=CALLERS,
            shortest_s=SHORTEST_STREAM_S,
            longest_s=LONGEST_STREAM_S,
        )
        until = time.monotonic() + BEFORE_S + LEAVING * SIGNAL_INTERVAL_S + GRACE_S
        addresses = [instance.callers for instance in instances]
        sending = asyncio.create_task(streams.run(addresses, until=until))
        await asyncio.sleep(BEFORE_S)
        self.signals: dict[str, float] = {}
        self.processes = [instance.process for instance in instances[:LEAVING]]
        for instance in instances[:LEAVING]:
            self.signals[instance.callers] = time.monotonic()
            instance.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        await sending
        await asyncio.gather(*(process.wait() for process in self.processes))
        self.requests = streams.list_requests()
        self.runs = Counter(
            run.request_id for engine in self.site.engines.values() for run in engine.runs
        )

    def list_wrongly_cut(self) -> list[str]:
        """Return the streams that were cut, though not sent early and cut in the last sixth."""
        return [
            self.describe(one)
            for one in self.requests
            if one.status == 200 and self.classify(one) is Outcome.LOST
        ]

    def classify(self, request: RequestRecord) -> Outcome:
        signals = {address: [signalled_at] for address, signalled_at in self.signals.items()}
        departures = DepartureRecord(signals=signals, grace_s=GRACE_S)
        return classify(request, departures, has_run=request.request_id in self.runs)

    def list_unanswered_runs(self) -> list[str]:
        """Return the requests that ran, and whose connection closed without an answer."""
        return [
            self.describe(one)
            for one in self.requests
            if one.status is None and one.request_id in self.runs
        ]

    def list_wrong_counts(self) -> list[str]:
        """Return the requests whose runs don't fit to their answers.

        One answered as not run has none, a whole stream has one, and a stream that can't be resumed
        has never two.
        """
        return [
            self.describe(one)
            for one in self.requests
            if (one.status == 503 and self.runs[one.request_id])
            or (one.served and not self.runs[one.request_id])
            or (one.kind is RequestKind.STREAM and self.runs[one.request_id] > 1)
        ]

    def describe(self, request: RequestRecord) -> str:
        """Return what became of a request, with seconds after its instance's signal."""
        signalled_at = self.signals.get(request.address, float("nan"))
        sent_s, ended_s = request.sent_at - signalled_at, request.ended_at - signalled_at
        return (
            f"{request.request_id} ({request.kind}): {request.status}, sent {sent_s:.2f} s and "
            f"ended {ended_s:.2f} s after SIGTERM, ran {self.runs[request.request_id]} times"
        )


if __name__ == "__main__":
    unittest.main()
