"""End-to-end tests of requests of which one part of the prompt ends the engines that run them."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_event
from guavamast.platform.standins.lethal_requests import LethalEnding
from guavamast.platform.standins.site import RESUMABLE_PREFIX, STREAM_PREFIX
from guavamast.relay.http_connection import ConnectionLost, MalformedAnswer
from tests._platform_callers import Caller, PlatformTestCase

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import Run

INSTANCES: Final = 4
ENGINES: Final = 12
ENGINE_DOWN_S: Final = 2.0
"""Seconds for which the address of an ended engine is unused."""
CALM_S: Final = 4.0
"""Seconds of sound requests alone."""
LETHAL_S: Final = 16.0
"""Seconds in which requests with a lethal part come."""
LETHAL_PAUSE_S: Final = 0.4
SOUND_PAUSE_S: Final = 0.04
ALLOWED_ENDS: Final = 5
"""Engines that may end under a part."""
WINDOW_S: Final = 3.0
"""Seconds after the last of them in which the fleet has to learn of the part."""
MAX_LATER_RUNS: Final = 1
"""Runs with the part that may begin after that: less than half of the three that are allowed."""
MIN_SOUND_SHARE: Final = 0.75
"""Share of the calm success that sound requests keep: half is asked for."""
TIMEOUT_S: Final = 4.0
KILLED_AFTER_ENDS: Final = 4
"""Ends before all instances are killed, too few for a decision by then."""
SLOW_LETHAL_PAUSE_S: Final = 1.2
SAVED_AFTER_S: Final = 0.9
"""Seconds after an end in which it is saved, on a busy machine."""
COMMON: Final = "c0"
"""The first part of most prompts."""
LETHAL: Final = "dead"


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """One sound request."""

    sent_at: float
    served: bool


class LethalPartsTest(PlatformTestCase):
    """A part that ends engines is kept from them; what shares all else is answered."""

    pool_engines = ENGINES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.site.crash_restart_s = ENGINE_DOWN_S
        for engine in self.site.engines.values():
            engine.processing_s = 0.05
        self.instances = await self.start_instances(INSTANCES)
        self.lethal_pause_s = LETHAL_PAUSE_S
        self.outcomes: list[Outcome] = []
        self.count = 0

    async def ask(self, parts: tuple[str, ...], target: str) -> bool:
        """Send a request with a content and a last part of its own; return whether it is served."""
        self.count += 1
        number = self.count
        request_id = f"{'-'.join(parts)}-{number}"
        prompt = ",".join([f"{part}:100" for part in parts] + [f"f{number:x}:50"])
        headers = (("X-Model", "m"), ("X-Token-Usage", "250,24"), ("X-Prompt-Prefix", prompt))
        caller = None
        try:
            caller = await Caller.open(self.instances[number % INSTANCES].callers)
            async with asyncio.timeout(TIMEOUT_S):
                reply = await caller.send_request(
                    target + "stream",
                    request_id=request_id,
                    body=request_id.encode(),
                    timeout_ms=int(TIMEOUT_S * 1000),
                    extra_headers=headers,
                )
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            return False
        finally:
            if caller is not None:
                caller.connection.close()
        numbers = range(1, EVENTS_PER_STREAM + 1)
        body = b"".join(encode_event(request_id, one) for one in numbers)
        return reply.complete and reply.status == 200 and reply.body == body

    async def ask_soundly(self, parts: tuple[str, ...], target: str) -> None:
        sent_at = time.monotonic()
        served = await self.ask(parts, target)
        self.outcomes.append(Outcome(sent_at=sent_at, served=served))

    async def send_sound_requests(self, target: str, *, until: float) -> None:
        """Send requests with the common first part and one of a few second ones."""
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while time.monotonic() < until:
                number += 1
                tasks.create_task(self.ask_soundly((COMMON, f"c{1 + number % 7}"), target))
                await asyncio.sleep(SOUND_PAUSE_S)

    async def send_lethal_requests(
        self, prompts: list[tuple[str, ...]], target: str, *, until: float
    ) -> None:
        async with asyncio.TaskGroup() as tasks:
            number = 0
            while time.monotonic() < until:
                tasks.create_task(self.ask(prompts[number % len(prompts)], target))
                number += 1
                await asyncio.sleep(self.lethal_pause_s)

    async def play(self, prompts: list[tuple[str, ...]], target: str) -> float:
        """Let callers send sound requests, then lethal ones beside; return when these began."""
        began_at = time.monotonic() + CALM_S
        until = began_at + LETHAL_S
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.send_sound_requests(target, until=until))
            await asyncio.sleep(CALM_S)
            tasks.create_task(self.send_lethal_requests(prompts, target, until=until))
        return began_at

    def list_runs(self, part: str) -> list[Run]:
        """Return the runs with a part in the prompt, in order."""
        engines = [*self.site.crashed_engines, *self.site.engines.values()]
        runs = [
            run
            for engine in engines
            for run in engine.runs
            if f"{part}:" in run.headers.get("x-prompt-prefix", "")
        ]
        return sorted(runs, key=lambda run: run.began)

    def assert_contained(self, *parts: str, began_at: float) -> None:
        """Check the runs with each lethal part, and what the sound requests got meanwhile."""
        learned_at = []
        for part in parts:
            runs = self.list_runs(part)
            self.assertGreaterEqual(len(runs), ALLOWED_ENDS - 1, part)
            last_allowed = runs[min(ALLOWED_ENDS, len(runs)) - 1].began
            later = [run for run in runs if run.began > last_allowed + WINDOW_S]
            self.assertLessEqual(len(later), MAX_LATER_RUNS, part)
            learned_at.append(last_allowed)
        settled_at = max(learned_at) + 2 * WINDOW_S
        calm = [one.served for one in self.outcomes if one.sent_at < began_at - 0.5]
        after = [one.served for one in self.outcomes if one.sent_at > settled_at]
        self.assertGreater(len(after), 20)
        shares = sum(after) / len(after), sum(calm) / len(calm)
        self.assertGreaterEqual(shares[0], MIN_SOUND_SHARE * shares[1], shares)

    async def check(
        self, prompts: list[tuple[str, ...]], target: str, *lethal: str, ending: LethalEnding
    ) -> None:
        self.site.lethal.parts.update(dict.fromkeys(lethal, ending))
        began_at = await self.play(prompts, target)
        self.assert_contained(*lethal, began_at=began_at)

    async def test_a_part_that_ends_engines_is_kept_from_them(self) -> None:
        """Guards against requests that are never alike, each of which ends a further engine."""
        prompts = [(COMMON, LETHAL)]
        ending = LethalEnding.BEFORE_RESPONSE
        await self.check(prompts, STREAM_PREFIX, LETHAL, ending=ending)

    async def test_a_first_part_that_ends_engines_is_kept_from_them(self) -> None:
        """Guards against a search that sees the last shared part only, and against own retries."""
        prompts = [(LETHAL, f"c{number}") for number in range(1, 8)]
        ending = LethalEnding.AFTER_EVENT
        await self.check(prompts, RESUMABLE_PREFIX, LETHAL, ending=ending)

    async def test_an_unframed_answer_of_an_ended_engine_acquits_nothing(self) -> None:
        """Guards against a part that seems answered since its stream ends between two events."""
        ending = LethalEnding.UNFRAMED
        await self.check([(COMMON, LETHAL)], STREAM_PREFIX, LETHAL, ending=ending)

    async def test_an_unframed_answer_that_ends_inside_an_event_acquits_nothing(self) -> None:
        """Guards against a part that seems answered by streams that were broken off."""
        ending = LethalEnding.UNFRAMED_INSIDE_EVENT
        await self.check([(COMMON, LETHAL)], RESUMABLE_PREFIX, LETHAL, ending=ending)

    async def test_two_parts_that_end_engines_are_kept_from_them(self) -> None:
        """Guards against two causes at once, of which none explains all ends."""
        prompts = [(COMMON, LETHAL), (COMMON, "dead2")]
        ending = LethalEnding.BEFORE_RESPONSE
        await self.check(prompts, STREAM_PREFIX, LETHAL, "dead2", ending=ending)

    async def test_evidence_outlasts_all_instances(self) -> None:
        """Guards against a fleet that is killed after some ends and allows as many once more."""
        self.site.lethal.parts[LETHAL] = LethalEnding.BEFORE_RESPONSE
        self.lethal_pause_s = SLOW_LETHAL_PAUSE_S
        began_at = time.monotonic() + CALM_S
        until = began_at + LETHAL_S
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.send_sound_requests(STREAM_PREFIX, until=until))
            await asyncio.sleep(CALM_S)
            lethal = self.send_lethal_requests([(COMMON, LETHAL)], STREAM_PREFIX, until=until)
            tasks.create_task(lethal)
            await self.restart_after(KILLED_AFTER_ENDS)
        self.assert_contained(LETHAL, began_at=began_at)

    async def restart_after(self, ends: int) -> None:
        """Kill all instances a moment after some engines have ended, and start others."""
        async with asyncio.timeout(LETHAL_S):
            while len(self.site.crashed_engines) < ends:
                await asyncio.sleep(0.02)
        await asyncio.sleep(SAVED_AFTER_S)
        await asyncio.gather(*(instance.stop() for instance in self.instances))
        self.instances[:] = await self.start_instances(INSTANCES)


if __name__ == "__main__":
    unittest.main()
