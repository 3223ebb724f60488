"""End-to-end tests over separate processes with real sockets, with killed processes and outages."""

from __future__ import annotations

import asyncio
import json
import unittest

from guavamast.demo import apply_configuration
from tests._callers import Caller, build_expected_response
from tests._processes import ProcessFleet


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    """Two instances, the platform, two engines and a service, each in a process of its own."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = ProcessFleet()
        self.addCleanup(self.fleet.close)
        await self.fleet.start()
        self.callers = [Caller(url=url) for url in self.fleet.urls]

    async def test_served_end_to_end(self) -> None:
        for number, caller in enumerate(self.callers):
            streamed = await caller.stream(f"stream {number}")
            self.assertEqual(streamed.text, build_expected_response(f"stream {number}"))
            self.assertTrue(streamed.ended)
            plain = json.loads((await caller.chat(f"plain {number}")).body)
            text = plain["choices"][0]["message"]["content"]
            self.assertEqual(text, build_expected_response(f"plain {number}"))
            lookup = await caller.call("lookup", body=b'{"lot": 3}')
            self.assertEqual(json.loads(lookup.body)["echo"], {"lot": 3})
        first = await self.callers[0].call("approve", key="claim-1")
        again = await self.callers[1].call("approve", key="claim-1")
        self.assertEqual((first.code, first.body), (again.code, again.body))
        self.assertEqual((await self.fleet.read_runs())["claim-1"], 1)
        response = await self.callers[1].fetch("/v1/addresses", method="GET")
        names = {item["instance"] for item in json.loads(response.body)["addresses"]}
        self.assertEqual(names, {"instance-0", "instance-1"})

    async def test_killed_dispatchers_interrupt_no_response(self) -> None:
        # One dispatcher is killed and restarted, then the other is killed. The entries move their
        # asks and slots to the live dispatcher, and all responses are complete.
        running = [asyncio.ensure_future(self.callers[i % 2].stream(f"k{i}")) for i in range(60)]
        await asyncio.sleep(0.05)
        self.fleet.dispatchers[0].kill()
        later = [asyncio.ensure_future(self.callers[i % 2].stream(f"k{i}")) for i in range(60, 90)]
        for number, answer in enumerate(await asyncio.gather(*running, *later)):
            self.assertEqual(answer.text, build_expected_response(f"k{number}"), answer.error)
            self.assertTrue(answer.ended)
        self.fleet.dispatchers[0].close()
        self.fleet.dispatchers[0] = self.fleet.start_daemon("dispatcher", 0)
        self.fleet.dispatchers[1].kill()
        for number in range(6):
            answer = await self.callers[number % 2].stream(f"after {number}")
            self.assertEqual(answer.text, build_expected_response(f"after {number}"), answer.error)

    async def test_graceful_leave_interrupts_no_request(self) -> None:
        # An instance gets SIGTERM with chats in flight. All of them complete and its processes exit
        # by themselves; ``/v1/addresses`` then lists only the other instance.
        running = [asyncio.ensure_future(self.callers[0].stream(f"g{i}")) for i in range(40)]
        await asyncio.sleep(0.05)
        self.fleet.entries[0].terminate()
        self.fleet.dispatchers[0].terminate()
        for number, answer in enumerate(await asyncio.gather(*running)):
            self.assertEqual(answer.text, build_expected_response(f"g{number}"), answer.error)
        for process in (self.fleet.entries[0], self.fleet.dispatchers[0]):
            code = await asyncio.to_thread(process.popen.wait, 20)
            self.assertEqual(code, 0)
        response = await self.callers[1].fetch("/v1/addresses", method="GET")
        names = {item["instance"] for item in json.loads(response.body)["addresses"]}
        self.assertEqual(names, {"instance-1"})

    async def test_isolated_instance_rejects_new_work(self) -> None:
        # An instance loses its only peer and the platform at once. It can't know any more whether
        # an endpoint has left, so it rejects callers as not run with a time to retry after. It
        # serves them once the platform is reachable again.
        self.assertTrue((await self.callers[0].stream("before")).ended)
        self.fleet.entries[1].kill()
        self.fleet.dispatchers[1].kill()
        await self.fleet.set_fault(self.fleet.platform_url, kind="down")
        answer = await self.callers[0].stream("at once")
        async with asyncio.timeout(30):
            while answer.ended:
                await asyncio.sleep(0.2)
                answer = await self.callers[0].stream("later")
        self.assertEqual(answer.error["outcome"], "not_run")
        self.assertGreater(answer.error["retry_after_s"], 0)
        await self.fleet.set_fault(self.fleet.platform_url, kind="none")
        async with asyncio.timeout(60):
            while not answer.ended:
                await asyncio.sleep(0.2)
                answer = await self.callers[0].stream("again")

    async def test_configuration_propagates_and_survives_a_platform_outage(self) -> None:
        # A configuration confirmed at one instance comes into force at all. With the platform down,
        # chats and idempotent calls continue; a non-idempotent call is rejected at once as not run.
        version = await apply_configuration(
            self.fleet.urls[0], self.fleet.build_text(leaving=frozenset({"engine-0"}))
        )
        await self.fleet.wait_for_version(version, range(2))
        await self.fleet.set_fault(self.fleet.platform_url, kind="down")
        for caller in self.callers:
            self.assertTrue((await caller.stream("outage")).ended)
            self.assertEqual((await caller.call("lookup")).code, 200)
            rejected = await caller.call("approve", key="outage-1")
            error = json.loads(rejected.body)["error"]
            self.assertEqual((rejected.code, error["outcome"]), (503, "not_run"))
            self.assertIn("Retry-After", rejected.headers)
        self.assertNotIn("outage-1", await self.fleet.read_runs())
