"""Tests of the platform client against the stand-in."""

from __future__ import annotations

import unittest

from tornado.httpclient import AsyncHTTPClient

from guavamast.platform_client import (
    Check,
    PlatformAnswerLost,
    PlatformUnavailable,
    TransactionConflict,
    Write,
)
from guavamast.platform_http import HttpPlatformClient
from guavamast.standins.faults import Fault
from guavamast.standins.platform import PlatformStandin


class PlatformHttpTest(unittest.IsolatedAsyncioTestCase):
    """Each failure raises the error that says what is known about the write."""

    def setUp(self) -> None:
        self.client = HttpPlatformClient(tables_url="", objects_url="")

    async def start(self) -> PlatformStandin:
        standin = PlatformStandin(instance_lag_s=0.0)
        standin.start()
        self.addCleanup(standin.stop)
        self.client = HttpPlatformClient(
            tables_url=standin.url, objects_url=standin.url, timeout_s=0.5
        )
        return standin

    async def insert(self, key: str) -> list[int]:
        return await self.client.transact(
            [Check(table="t", key=key, version=0)], [Write(table="t", key=key, value={"a": 1})]
        )

    async def test_rows_objects_and_instances(self) -> None:
        standin = await self.start()
        key = "acme/é ?#%2F"
        self.assertEqual(await self.insert(key), [1])
        with self.assertRaises(TransactionConflict):
            await self.insert(key)
        row = await self.client.read("t", key)
        self.assertEqual((row.key, row.version, row.value), (key, 1, {"a": 1}))
        self.assertEqual(await self.client.scan("t", "acme/"), [row])
        self.assertEqual(await self.client.scan("t", "acmf"), [])
        self.assertEqual((await self.client.read("t", "absent")).version, 0)
        await self.client.put_object("a/b", b"\x00body")
        self.assertEqual(await self.client.get_object("a/b"), b"\x00body")
        self.assertIsNone(await self.client.get_object("absent"))
        body = '{"name": "n1", "state": "live", "peer_address": "127.0.0.1:1"}'
        await AsyncHTTPClient().fetch(f"{standin.url}/instances", method="POST", body=body)
        self.assertEqual([i.name for i in await self.client.list_instances()], ["n1"])

    async def test_deleted_row_does_not_take_an_old_version_again(self) -> None:
        await self.start()
        await self.insert("k")
        await self.client.transact([], [Write(table="t", key="k", value=None)])
        self.assertEqual((await self.client.read("t", "k")).version, 0)
        self.assertGreater((await self.insert("k"))[0], 1)

    async def test_outage_before_any_effect(self) -> None:
        standin = await self.start()
        for fault in (Fault(kind="down"), Fault(kind="rate_limit")):
            standin.fault = fault
            with self.assertRaises(PlatformUnavailable):
                await self.insert("k")
            with self.assertRaises(PlatformUnavailable):
                await self.client.read("t", "k")
        standin.stop()
        with self.assertRaises(PlatformUnavailable):
            await self.insert("k")
        self.assertEqual(standin.tables.read("t", "k").version, 0)

    async def test_answer_lost_after_the_write(self) -> None:
        standin = await self.start()
        standin.fault = Fault(kind="lose_answers")
        with self.assertRaises(PlatformAnswerLost):
            await self.insert("k")
        self.assertEqual(standin.tables.read("t", "k").version, 1)

    async def test_slow_answer_counts_as_lost(self) -> None:
        # A write times out, takes effect later and is visible to a later read: a timeout after the
        # connect must not be reported as "nothing was written".
        standin = await self.start()
        standin.fault = Fault(kind="slow", delay_s=1.0)
        with self.assertRaises(PlatformAnswerLost):
            await self.insert("k")
