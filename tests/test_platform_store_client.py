"""Tests of calls to the store over connections that fail."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from unittest import mock

from guavamast.platform.standins.store import StoreStandIn
from guavamast.platform.store_calls import Committed, StoreCalls, StoreConflict, Transaction
from guavamast.platform.store_client import StoreClient
from guavamast.relay.freshness import StoreClock
from guavamast.relay.node_settings import SocketAddress
from guavamast.relay.store import InstanceRecord, StoreError


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """The store counts as unavailable only when a call on a new connection fails too."""

    async def asyncSetUp(self) -> None:
        self.silent_connections: set[int] = set()
        self.accepted = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = int(self.server.sockets[0].getsockname()[1])
        self.client = StoreClient(
            address=SocketAddress(ip="127.0.0.1", port=port),
            clock=StoreClock(),
            read_time=time.monotonic,
        )

    async def asyncTearDown(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()
            await writer.wait_closed()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        self.writers.append(writer)
        number = self.accepted
        body = json.dumps({"rows": [], "now_ms": 5000}).encode()
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number in self.silent_connections:
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except asyncio.IncompleteReadError:
            writer.close()

    async def test_an_unresponsive_idle_connection_is_replaced(self) -> None:
        """The client still reads the store, so the instance need not serve with stale state.

        Its idle connections become unresponsive without an error, while new ones work.
        """
        await asyncio.gather(*(self.client.read_endpoints() for _ in range(3)))
        self.silent_connections = {1, 2, 3}
        self.assertEqual((await self.client.read_endpoints()).store_time, 5.0)
        self.assertEqual(self.accepted, 4)

    async def test_an_unresponsive_store_raises_store_error(self) -> None:
        self.silent_connections = set(range(9))
        with self.assertRaises(StoreError):
            await self.client.read_endpoints()


class InstanceRecordTest(unittest.IsolatedAsyncioTestCase):
    """Two processes of an instance, one after the other, register and remove its record."""

    async def asyncSetUp(self) -> None:
        store = StoreStandIn()
        port = store.listen()
        self.addCleanup(store.stop)
        self.former, self.next, self.other = (
            StoreClient(
                address=SocketAddress(ip="127.0.0.1", port=port),
                clock=StoreClock(),
                read_time=time.monotonic,
            )
            for _ in range(3)
        )
        self.record = InstanceRecord(
            name="one",
            ip="127.0.0.1",
            failure_domain="a",
            region="r",
            callers_address="127.0.0.1:1",
            peer_port=2,
        )

    async def test_late_removal_keeps_the_record_of_the_next_process(self) -> None:
        """Guards against an instance that is missing from the list for good.

        The store delays the removal by a process that has ended until the next one has registered.
        Instances that start later don't know of that one.
        """
        await self.former.register_instance(self.record)
        await self.next.register_instance(self.record)
        with self.assertRaises(StoreConflict):
            await self.former.remove_instance("one")
        self.assertEqual(await self.other.read_instances(), [self.record])
        await self.next.remove_instance("one")
        self.assertEqual(await self.other.read_instances(), [])

    async def test_late_removal_without_a_confirmed_registration_keeps_the_next_record(
        self,
    ) -> None:
        """Guards against the same loss after a process that got no answer to its registration.

        It registers during a disruption of the store, knows no version of its record, and removes
        the record as it leaves. The next process registers before the store carries this out.
        """
        perform = StoreCalls.commit

        async def commit(calls: StoreCalls, transaction: Transaction) -> Committed:
            if calls is self.former.calls:
                await self.next.register_instance(self.record)
            return await perform(calls, transaction)

        await self.other.register_instance(self.record)
        with mock.patch.object(StoreCalls, "commit", commit), self.assertRaises(StoreConflict):
            await self.former.remove_instance("one")
        self.assertEqual(await self.other.read_instances(), [self.record])

    async def test_removal_of_a_record_that_is_gone_does_nothing(self) -> None:
        await self.former.remove_instance("one")
        self.assertEqual(await self.other.read_instances(), [])

    async def test_record_of_a_process_that_was_killed_can_be_removed(self) -> None:
        """Guards against records that stay for ever, as only their own process may remove them."""
        await self.former.register_instance(self.record)
        await self.other.remove_instance("one")
        self.assertEqual(await self.other.read_instances(), [])


if __name__ == "__main__":
    unittest.main()
