"""Tests of the service stand-in; that of the platform is tested through its client."""

from __future__ import annotations

import json
import unittest

from tornado.httpclient import HTTPRequest

from guavamast.at_most_once_fetch import AnswerLost, fetch_once
from guavamast.standins.faults import Fault
from guavamast.standins.service import ServiceStandin


class ServiceStandinTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in runs every call that arrives and counts the runs."""

    async def call(self, key: str) -> dict:
        request = HTTPRequest(
            f"{self.standin.url}/calls/pay",
            method="POST",
            headers={"Idempotency-Key": key},
            body=b'{"a": 1}',
        )
        return json.loads((await fetch_once(request)).body)

    async def test_runs_faults_and_counts(self) -> None:
        self.standin = ServiceStandin()
        self.standin.start()
        self.addCleanup(self.standin.stop)
        self.assertEqual(await self.call("k"), {"call": "pay", "run": 1, "echo": {"a": 1}})
        await self.call("k")
        for fault, runs in (
            (Fault(kind="lose_answers"), 1),
            (Fault(kind="crash"), 1),
            (Fault(kind="crash", ran=True), 2),
        ):
            self.standin.fault = fault
            with self.assertRaises(AnswerLost):
                await self.call("lost")
            self.assertEqual(self.standin.log.runs["lost"], runs)
        answer = await fetch_once(HTTPRequest(f"{self.standin.url}/runs"))
        self.assertEqual(json.loads(answer.body), {"runs": {"k": 2, "lost": 2}})
