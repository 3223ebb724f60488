"""End-to-end tests of the duties that one instance at a time performs."""

from __future__ import annotations

import asyncio
import time
import unittest
from random import Random
from typing import TYPE_CHECKING

from guavamast.errors import GuavamastError
from guavamast.platform.duty_admin import describe_duties, set_control
from guavamast.platform.standins.provider import ProviderFault, ProviderStandIn
from guavamast.platform.standins.site import CALL_PREFIX, DUTY_WINDOW_S
from guavamast.relay.node_settings import SocketAddress
from guavamast.relay.scaling.control import ScalingControl
from tests._platform_callers import Caller, PlatformTestCase

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests._platform_callers import Instance

INSTANCES = 3
WAIT_S = 40.0
"""Seconds within which what is expected happens, on a busy machine."""


class DutiesTest(PlatformTestCase):
    """Usage is reported once and right, whichever instance holds the duties."""

    fenced = True

    def prepare_site(self) -> None:
        self.provider = ProviderStandIn(fenced=self.fenced, random=Random(4))
        self.site.provider = self.provider
        self.site.scaling = {"min": 1, "max": 8, "boot_s": 1.0, "zone_prices": {"a": 1.0}}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instances = await self.start_instances(INSTANCES)
        self.number = 0

    async def serve(self, instances: list[Instance], count: int) -> None:
        """Let instances answer a number of calls."""
        for _ in range(count):
            self.number += 1
            instance = instances[self.number % len(instances)]
            caller = await Caller.open(instance.callers)
            reply = await caller.send_request(
                CALL_PREFIX + "x", request_id=f"r{self.number}", body=b"x"
            )
            self.assertEqual(reply.status, 200)
            caller.connection.close()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        until = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), until)
            await asyncio.sleep(0.05)

    def count_reported(self) -> int:
        """Return the requests in all windows that were reported, each counted once."""
        windows = {
            call.fields["window_id"]: sum(call.fields["counts"].values())
            for call in self.provider.list_usage()
        }
        return sum(windows.values())

    async def test_usage_is_reported_once(self) -> None:
        """Guards against requests that are reported twice, or not at all."""
        await self.wait_until(lambda: bool(self.provider.list_usage()))
        await self.serve(self.instances, 12)
        await self.wait_until(lambda: self.count_reported() == 12)
        windows = [call.fields["window_id"] for call in self.provider.list_usage()]
        self.assertEqual(sorted(set(windows)), sorted(windows))
        self.assertEqual(self.provider.find_violations(), [])

    async def test_another_instance_goes_on_after_the_holder_is_killed(self) -> None:
        """Guards against duties that end with their holder, and against counts that change."""
        await self.wait_until(lambda: bool(self.provider.list_usage()))
        holder = self.provider.list_usage()[-1].holder
        killed = self.instances[int(holder.rpartition("-")[2])]
        others = [one for one in self.instances if one is not killed]
        await self.serve(others, 6)
        killed.process.kill()
        await self.serve(others, 6)
        await self.wait_until(lambda: self.count_reported() == 12)
        self.assertNotEqual(self.provider.list_usage()[-1].holder, holder)
        self.assertEqual(self.provider.find_violations(), [])

    async def test_a_stopped_holder_hands_over_at_once(self) -> None:
        """Guards against a planned stop that costs as much time as a crash."""
        await self.wait_until(lambda: bool(self.provider.list_usage()))
        holder = self.provider.list_usage()[-1].holder
        self.instances[int(holder.rpartition("-")[2])].process.terminate()
        await self.wait_until(lambda: self.provider.list_usage()[-1].holder != holder)
        self.assertEqual(self.provider.find_violations(), [])

    async def test_unanswered_reports_are_repeated_exactly(self) -> None:
        """Guards against a repeat with later counts, as the provider may have taken the first."""
        await self.wait_until(lambda: bool(self.provider.list_usage()))
        self.provider.fault = ProviderFault.LOSES_ANSWERS
        await self.serve(self.instances, 6)
        await asyncio.sleep(2 * DUTY_WINDOW_S)
        self.provider.fault = ProviderFault.LATE
        await self.serve(self.instances, 6)
        await asyncio.sleep(2 * DUTY_WINDOW_S)
        self.provider.fault = ProviderFault.NONE
        await self.wait_until(lambda: self.count_reported() == 12)
        self.assertEqual(self.provider.find_violations(), [])

    async def test_operators_see_the_duties_and_stop_orders(self) -> None:
        """Guards against duties that nobody can look at, and orders that nobody can stop."""
        await self.wait_until(lambda: bool(self.provider.list_usage()))
        store = SocketAddress(ip="127.0.0.1", port=self.site.store_port)
        holder = self.provider.list_usage()[-1].holder
        self.assertIn(f"holder: {holder}", await describe_duties(store))
        until = time.monotonic() + WAIT_S
        while True:
            try:
                await set_control(store, ScalingControl(paused=True, floor=3, by="anna"))
                break
            except GuavamastError:
                self.assertLess(time.monotonic(), until)
        reported = len(self.provider.list_usage())
        await self.wait_until(lambda: len(self.provider.list_usage()) > reported + 1)
        described = await describe_duties(store)
        self.assertIn("orders: paused, at least 3 engines a service, set by anna", described)
        self.assertEqual(self.provider.find_violations(), [])


class UnfencedDutiesTest(DutiesTest):
    """The same where the provider doesn't check fencing numbers."""

    fenced = False

    async def asyncTearDown(self) -> None:
        calls = [call for call in self.provider.calls if call.path == "/usage"]
        fencing = [call.fencing for call in calls]
        self.assertEqual(fencing, sorted(fencing))


if __name__ == "__main__":
    unittest.main()
