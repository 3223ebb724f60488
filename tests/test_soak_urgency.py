"""Tests of how the soak's crowd of three kinds reaches instances."""

from __future__ import annotations

import time
import unittest
from random import Random
from typing import TYPE_CHECKING
from unittest import mock

from soak.urgency import KINDS, UrgencyCrowd

from guavamast.relay.endpoint_connection import ConnectionRefused
from guavamast.relay.http_connection import ConnectionLost

if TYPE_CHECKING:
    from soak.prompt_requests import PromptAnswer, PromptRequest

PLACES = 8
"""Requests in turn, so that each of two addresses is chosen first."""


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """Two instances are listed, of which one is gone or fails; a third one isn't listed."""

    def setUp(self) -> None:
        self.asked: list[str] = []
        self.failure: Exception = ConnectionRefused("connect")
        self.listed = ["gone", "here"]
        site = mock.Mock(
            instances=[
                mock.Mock(caller_address=name, directory_address=f"{name}-directory")
                for name in ("gone", "here", "unlisted")
            ]
        )
        self.crowd = UrgencyCrowd(site=site, random=Random(1), resolves=True)
        for name, replacement in (
            ("soak.urgency.send_prompt", self.send),
            ("soak.callers.fetch_addresses", self.fetch),
            ("soak.urgency.KINDS", ()),
        ):
            patch = mock.patch(name, replacement)
            patch.start()
            self.addCleanup(patch.stop)

    async def fetch(self, directory: str) -> dict[str, object]:
        """List the addresses for long."""
        del directory
        return {"addresses": self.listed, "ttl_s": 100.0}

    async def send(self, address: str, request: PromptRequest, answer: PromptAnswer) -> None:
        """Answer at one address and fail at another."""
        del request
        self.asked.append(address)
        answer.address = address
        if address == "gone":
            raise self.failure
        answer.status = 200
        answer.complete = True

    async def ask(self, *, timeout_s: float = 5.0) -> list[bool]:
        """Return which of some requests were served."""
        await self.crowd.run(0.0)
        served = []
        for number in range(PLACES):
            deadline = time.monotonic() + timeout_s
            name = f"question-{number}"
            served.append((await self.crowd._attempt(KINDS[0], f"{name}-1", name, deadline))[0])
        return served

    async def test_a_refused_connect_goes_on_to_another_listed_instance(self) -> None:
        """Guards against questions that count as unserved though they reached no instance."""
        self.assertEqual(await self.ask(), [True] * PLACES)
        self.assertEqual(self.asked.count("gone"), 1)
        self.assertNotIn("unlisted", self.asked)
        self.assertEqual({one.address for one in self.crowd.requests}, {"here"})

    async def test_a_connection_that_fails_later_is_not_tried_elsewhere(self) -> None:
        """Guards against an instance that loses requests and is excused for it."""
        self.failure = ConnectionLost("read")
        served = await self.ask()
        self.assertEqual(served.count(False), self.asked.count("gone"))
        self.assertIn(False, served)

    async def test_nothing_accepts_connects(self) -> None:
        """Guards against questions that don't count where no instance can be reached."""
        self.listed = ["gone"]
        self.assertEqual(await self.ask(timeout_s=0.1), [False] * PLACES)
        self.assertEqual(len(self.crowd.requests), PLACES)


if __name__ == "__main__":
    unittest.main()
