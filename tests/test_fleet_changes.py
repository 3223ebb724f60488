"""Tests that replace, pause and kill instances under load, each a real process."""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import dataclass, field

from tests._callers import Caller, StreamedResponse, build_expected_response
from tests._processes import ProcessFleet

CONNECTION_ERRORS = (ConnectionError, OSError)


@dataclass(slots=True, kw_only=True)
class Load:
    """Callers that retry only requests that were rejected as not run.

    They know all addresses, like callers that queried ``/v1/addresses`` earlier.
    """

    urls: list[str]
    responses: dict[str, StreamedResponse] = field(default_factory=dict)
    stop: bool = False

    async def run(self, callers: int) -> None:
        """Send requests until ``stop`` is set."""
        await asyncio.gather(*(self._work(number) for number in range(callers)))

    async def _work(self, worker: int) -> None:
        number = 0
        while not self.stop:
            prompt = f"worker {worker} request {number}"
            self.responses[prompt] = await self._send(prompt, worker + number)
            number += 1

    async def _send(self, prompt: str, start: int) -> StreamedResponse:
        for attempt in range(200):
            url = self.urls[(start + attempt) % len(self.urls)]
            try:
                response = await Caller(url=url).stream(prompt)
            except CONNECTION_ERRORS as error:
                if "refused" not in str(error):
                    return StreamedResponse(
                        status=599, text="", ended=False, error={"code": repr(error)}
                    )
                await asyncio.sleep(0.02)
                continue
            if response.error is None or response.error.get("outcome") != "not_run":
                return response
            await asyncio.sleep(0.02)
        return response


class FleetChangeTest(unittest.IsolatedAsyncioTestCase):
    """Three instances under a steady load."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = ProcessFleet(instances=3, engines=2, services=1)
        self.addCleanup(self.fleet.close)
        await self.fleet.start()
        self.load = Load(urls=self.fleet.urls)
        self.task = asyncio.ensure_future(self.load.run(6))

    async def finish_load(self) -> None:
        """End the load and check that each caller got its own complete response."""
        self.load.stop = True
        await self.task
        self.assertGreater(len(self.load.responses), 50)
        for prompt, response in self.load.responses.items():
            self.assertEqual(
                response.text, build_expected_response(prompt), (prompt, response.error)
            )
            self.assertTrue(response.ended)

    async def test_all_instances_replaced_one_by_one(self) -> None:
        """Guards against responses that are cut or missing in a rolling restart."""
        for number in range(3):
            replaced = (self.fleet.entries[number], self.fleet.dispatchers[number])
            for process in replaced:
                process.terminate()
            for process in replaced:
                self.assertEqual(await asyncio.to_thread(process.popen.wait, 30), 0)
                process.close()
            self.fleet.dispatchers[number] = self.fleet.start_daemon("dispatcher", number)
            self.fleet.entries[number] = self.fleet.start_daemon("entry", number)
            await self.fleet.wait_for_version(1, [number])
        await self.finish_load()

    async def test_paused_and_resumed_dispatcher(self) -> None:
        # A dispatcher is paused longer than any timeout of the slot streams. Entries move its asks
        # to the next keeper and release the slots that it grants late, after it resumes. Responses
        # are complete, some late.
        self.fleet.dispatchers[1].pause()
        await asyncio.sleep(4)
        self.fleet.dispatchers[1].resume()
        await asyncio.sleep(2)
        await self.finish_load()

    async def test_killed_dispatcher_while_another_is_paused(self) -> None:
        # Two failures at once: one dispatcher is killed while another is paused. The third keeps
        # all endpoints, and responses are complete.
        self.fleet.dispatchers[0].kill()
        self.fleet.dispatchers[1].pause()
        await asyncio.sleep(4)
        self.fleet.dispatchers[1].resume()
        self.fleet.dispatchers[0].close()
        self.fleet.dispatchers[0] = self.fleet.start_daemon("dispatcher", 0)
        await asyncio.sleep(2)
        await self.finish_load()

    async def test_streams_of_a_paused_engine_resume_at_another(self) -> None:
        # An engine's process is paused during responses: its connections stay open without data.
        # The entry treats this as a failure and resumes at the other engine. Responses are
        # complete, the first ones late by the stall timeout.
        process = self.fleet.engines[0][0]
        process.pause()
        await asyncio.sleep(13)
        process.resume()
        await self.finish_load()


class KilledEntryTest(unittest.IsolatedAsyncioTestCase):
    """An entry is killed with responses in flight."""

    async def test_truncated_stream_is_visible_and_its_slots_are_released(self) -> None:
        # The caller's connection ends without the end marker, so a truncated response is detected.
        # The engine's run is cancelled and the keepers free the slots: as many requests as there
        # are slots are served through the other entry.
        asyncio.get_running_loop().set_debug(False)
        fleet = ProcessFleet(instances=2, engines=1, services=1)
        self.addCleanup(fleet.close)
        await fleet.start()
        prompts = [f"tokens=400;{number}" for number in range(16)]
        interrupted = [asyncio.ensure_future(Caller(url=fleet.urls[0]).stream(p)) for p in prompts]
        await asyncio.sleep(0.4)
        fleet.entries[0].kill()
        for result in await asyncio.gather(*interrupted, return_exceptions=True):
            ended = isinstance(result, StreamedResponse) and result.ended
            self.assertFalse(ended)
        caller = Caller(url=fleet.urls[1])
        answers = await asyncio.gather(*(caller.stream(f"next {n}") for n in range(16)))
        for number, answer in enumerate(answers):
            self.assertEqual(answer.text, build_expected_response(f"next {number}"), answer.error)
        engine = Caller(url=fleet.engines[0][1])
        runs = json.loads((await engine.fetch("/runs", method="GET")).body)["runs"]
        self.assertNotIn("running", {run["state"] for run in runs})
