"""Tests of queries on kept connections while their instance, a real process, leaves."""

from __future__ import annotations

import asyncio
import signal
import unittest
from typing import Final

from soak.kept_callers import KeptCaller, KeptRequest

from guavamast.platform.standins.site import HOST, KEY
from tests._platform_callers import PlatformTestCase

CALLERS: Final = 2
"""Callers of each listener."""
GRACE_S: Final = 4.0
READY: Final = "/v1/ready"
RESOLVE: Final = f"/v1/resolve?name={HOST}&region=r&zone=a"


class DepartingQueriesTest(PlatformTestCase):
    """An instance gets SIGTERM while callers ask for its readiness and for addresses."""

    async def test_each_query_written_on_a_kept_connection_has_a_response(self) -> None:
        """Guards against queries whose connection ends without a response.

        Callers ask again as soon as they have a response, until the process is gone. A query that
        crosses the end of the instance finds the response that ends its connection.
        """
        self.site.bounds["grace_s"] = GRACE_S
        instance = await self.start_instance("one")
        await self.start_instance("two")
        self.requests: list[KeptRequest] = []
        asking = [
            asyncio.create_task(self.ask(f"{target}{number}", address, target, instance.process))
            for number in range(CALLERS)
            for address, target in ((instance.readiness, READY), (instance.directory, RESOLVE))
        ]
        await asyncio.sleep(0.5)
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*asking)
        self.assertEqual(instance.process.returncode, 0)
        unanswered = [one for one in self.requests if one.written and not one.complete]
        self.assertEqual(unanswered, [])
        self.assertEqual({one.status for one in self.requests if one.written}, {200, 503})

    async def ask(
        self, name: str, address: str, target: str, process: asyncio.subprocess.Process
    ) -> None:
        """Ask on one connection after the other until the process is gone."""
        caller = KeptCaller(
            name=name,
            key=KEY,
            choose_address=lambda: address,
            choose_target=lambda _: target,
            timeout_ms=1000,
            requests=self.requests,
        )
        await caller.run(lambda: process.returncode is not None)


if __name__ == "__main__":
    unittest.main()
