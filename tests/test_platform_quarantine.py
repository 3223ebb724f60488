"""End-to-end tests of requests that end the engines that run them."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import unittest
from typing import TYPE_CHECKING

from guavamast.platform.standins.engine import LETHAL_BODY_PREFIX
from guavamast.platform.standins.site import STREAM_PREFIX, Site, write_settings
from guavamast.relay.http_connection import ConnectionLost
from tests._platform_callers import Caller, Instance, Reply

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import Run

INSTANCES = 3
ENGINES = 6
LETHAL_BODY = LETHAL_BODY_PREFIX + b"dossier"
WINDOW_S = 3.0
"""Seconds after the third end in which the fleet has to learn of it."""
MAX_LATER_RUNS = 3
"""Runs of such a request that may begin after that."""
CALLING_S = 9.0
"""Seconds for which callers repeat it."""
PAUSE_S = 0.35
"""Seconds between two callers' tries, at one instance after the other."""


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    """A request that ends engines is kept from them; those beside it are answered."""

    async def asyncSetUp(self) -> None:
        self.site = Site()
        await self.site.start(pool=ENGINES)
        self.addAsyncCleanup(self.site.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = directory.name
        self.instances = [await self.start_instance(f"one-{n}") for n in range(INSTANCES)]

    async def start_instance(self, name: str) -> Instance:
        """Start a process and wait until it is ready."""
        settings = self.site.build_settings(name)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "guavamast.platform",
            env=os.environ | {"GUAVAMAST_SETTINGS": write_settings(settings, self.directory)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        instance = Instance(process, settings["listen"])
        self.addAsyncCleanup(instance.stop)
        self.assertTrue(await instance.wait_ready())
        return instance

    async def ask(self, number: int, target: str, body: bytes) -> Reply | None:
        """Send a request to one of the instances; None if the connection ends first."""
        caller = await Caller.open(self.instances[number % INSTANCES].callers)
        try:
            return await caller.send_request(target, request_id=f"{body!r}{number}", body=body)
        except ConnectionLost:
            return None
        finally:
            caller.connection.close()

    def list_lethal_runs(self) -> list[Run]:
        """Return the runs of the lethal request, in order."""
        engines = [*self.site.crashed_engines, *self.site.engines.values()]
        runs = [run for engine in engines for run in engine.runs if run.body == LETHAL_BODY]
        return sorted(runs, key=lambda run: run.began)

    async def repeat_lethal(self, target: str) -> list[Reply | None]:
        """Let callers repeat the lethal request at one instance after the other."""
        replies = []
        until = time.monotonic() + CALLING_S
        while time.monotonic() < until:
            replies.append(await self.ask(len(replies), target, LETHAL_BODY))
            await asyncio.sleep(PAUSE_S)
        return replies

    def assert_contained(self) -> None:
        """Check that few runs begin once the fleet had time to learn of the third end."""
        runs = self.list_lethal_runs()
        self.assertGreaterEqual(len(runs), 3)
        later = [run for run in runs if run.began > runs[2].began + WINDOW_S]
        self.assertLessEqual(len(later), MAX_LATER_RUNS)

    async def test_a_request_that_ends_engines_is_kept_from_them(self) -> None:
        """Guards against a caller's retries that end engine after engine."""
        replies = await self.repeat_lethal(STREAM_PREFIX + "stream")
        self.assert_contained()
        last = replies[-1]
        assert last is not None
        self.assertEqual(last.status, 503)
        self.assertIn("retry-after", last.headers)


if __name__ == "__main__":
    unittest.main()
