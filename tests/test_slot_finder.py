"""Tests of finding a slot among several keepers, with scripted events."""

from __future__ import annotations

import asyncio
import time
import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING

from guavamast.errors import ErrorCode, Outcome, Refusal, SendLatch
from guavamast.slot_finder import SlotFinder, SlotRequirements
from guavamast.slot_hold import AskRefused, SlotHold
from guavamast.slots import Ask, Queued, Release

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.placement import EndpointRequirements


class ScriptedLinks:
    """Keepers that grant, queue or reject asks as scripted, by endpoint."""

    def __init__(self, **script: str) -> None:
        self.script = script
        self.asked: list[str] = []
        self.withdrawn: list[str] = []
        self.released_unused: list[str] = []
        self.freed = asyncio.Event()

    async def acquire(self, ask: Ask, *, on_queued: Callable[[Queued], None]) -> SlotHold:
        """Act as scripted: ``grant``, ``refuse``, ``leaving`` or ``queue`` (until freed)."""
        self.asked.append(ask.endpoint)
        answer = self.script[ask.endpoint]
        await asyncio.sleep(0)
        if answer == "leaving":
            raise AskRefused(code=ErrorCode.LEAVING, retry_after_s=0.0)
        if answer == "refuse":
            raise AskRefused(code=ErrorCode.QUEUE_FULL, retry_after_s=3.0)
        if answer == "queue":
            on_queued(Queued(ask=ask, estimated_wait_s=5.0))
            try:
                await self.freed.wait()
            except asyncio.CancelledError:
                self.withdrawn.append(ask.endpoint)
                raise
        return SlotHold(ask=ask)

    def release(self, hold: SlotHold, release: Release) -> None:
        """Record a grant that is released unused."""
        if not release.used:
            self.released_unused.append(hold.ask.endpoint)


def make_finder(links: ScriptedLinks) -> SlotFinder:
    """Return a finder that tries the endpoints in the script's order."""

    def choose(requirements: EndpointRequirements, *, now: float) -> list[str]:  # noqa: ARG001
        return [name for name in links.script if name not in requirements.excluded][:2]

    state = SimpleNamespace(
        chooser=SimpleNamespace(choose=choose), instance=SimpleNamespace(name="i")
    )
    return SlotFinder(state=state, links=links, clock=time.monotonic)


def make_requirements(timeout_s: float = 10.0) -> SlotRequirements:
    """Return the requirements of a request of the top tier."""
    return SlotRequirements(
        organisation="o",
        class_name="c",
        tier=1,
        kind="chat",
        deadline=time.monotonic() + timeout_s,
        model="m",
    )


class SlotFinderTest(unittest.IsolatedAsyncioTestCase):
    """A request asks one keeper after another and uses one grant."""

    async def test_full_keepers_are_skipped(self) -> None:
        links = ScriptedLinks(a="refuse", b="refuse", c="grant")
        hold = await make_finder(links).find(make_requirements(), SendLatch())
        self.assertEqual(hold.ask.endpoint, "c")

    async def test_queued_ask_is_raced_and_withdrawn_after_another_grant(self) -> None:
        # The first keeper queues the request, the second has a slot. The caller gets that slot at
        # once, and no abandoned ask stays in the first keeper's queue.
        links = ScriptedLinks(a="queue", b="grant", c="grant")
        hold = await make_finder(links).find(make_requirements(), SendLatch())
        await asyncio.sleep(0)
        self.assertEqual(hold.ask.endpoint, "b")
        self.assertEqual((links.asked, links.withdrawn), (["a", "b"], ["a"]))

    async def test_one_of_two_simultaneous_grants_is_released(self) -> None:
        # Both keepers grant in the same iteration of the event loop. One grant is used, the other
        # is released unused, so that no slot leaks.
        links = ScriptedLinks(a="queue", b="queue")
        search = asyncio.ensure_future(make_finder(links).find(make_requirements(), SendLatch()))
        while len(links.asked) < 2:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        links.freed.set()
        hold = await search
        await asyncio.sleep(0)
        other = "b" if hold.ask.endpoint == "a" else "a"
        self.assertEqual(links.released_unused + links.withdrawn, [other])

    async def test_all_keepers_full_is_rejected_as_not_run_with_retry_after(self) -> None:
        links = ScriptedLinks(a="refuse", b="refuse")
        with self.assertRaises(Refusal) as caught:
            await make_finder(links).find(make_requirements(), SendLatch())
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertEqual(caught.exception.retry_after_s, 3.0)

    async def test_retry_after_ignores_leaving_endpoints(self) -> None:
        # One endpoint leaves, the other is full for 3 s. With the delay of the leaving one, 0 s,
        # callers would retry in vain again and again.
        for script, expected in (({"a": "leaving", "b": "refuse"}, 3.0), ({"a": "leaving"}, 2.0)):
            with self.assertRaises(Refusal) as caught:
                await make_finder(ScriptedLinks(**script)).find(make_requirements(), SendLatch())
            self.assertEqual(caught.exception.retry_after_s, expected)

    async def test_no_endpoint_is_rejected_at_once(self) -> None:
        with self.assertRaises(Refusal) as caught:
            await make_finder(ScriptedLinks()).find(make_requirements(), SendLatch())
        self.assertIs(caught.exception.code, ErrorCode.NO_ENDPOINT)

    async def test_cancelled_caller_withdraws_its_asks(self) -> None:
        links = ScriptedLinks(a="queue", b="queue")
        search = asyncio.ensure_future(make_finder(links).find(make_requirements(), SendLatch()))
        await asyncio.sleep(0.01)
        search.cancel()
        await asyncio.gather(search, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertEqual(sorted(links.withdrawn), ["a", "b"])
