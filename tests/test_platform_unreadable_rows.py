"""End-to-end tests of rows of another writer that nobody can read."""

from __future__ import annotations

import asyncio
import time
import unittest
from random import Random

from guavamast.platform.lease_client import LEASE_TABLE, RECORD_TABLE
from guavamast.platform.standins.provider import ProviderStandIn
from guavamast.platform.standins.site import LOOKUP_PREFIX
from guavamast.platform.store_client import EVIDENCE_TABLE, INSTANCES_TABLE, QUARANTINE_TABLE
from guavamast.relay.duties.holder import RESOURCE
from guavamast.relay.http_connection import ConnectionLost, ConnectionRefused
from tests._platform_callers import Caller, Instance, PlatformTestCase

INSTANCES = 2
UNREADABLE = b"[" * 20_000
"""A value that is nested too deeply to be decoded."""
UNENCODABLE = "\ud800"
"""A key that can't be encoded."""
WATCHED_S = 3.0
"""Seconds after a row was written: several reads of each table, and a start of a process."""
SILENT_S = 4.0
"""Seconds after which an instance without heartbeats isn't listed any more."""
SERVED_S = 20.0
"""Seconds within which requests are served again, on a busy machine."""
TABLES = ("servers", INSTANCES_TABLE, QUARANTINE_TABLE, EVIDENCE_TABLE)
"""Tables whose other rows hold while one of them can't be read."""


class UnreadableRowsTest(PlatformTestCase):
    """One row that can't be read neither ends an instance nor hides the others.

    Whoever may write the store can write such a row. The instances read it within a second, and
    again with each new process, so an error that ends one of them ends all, for as long as the row
    stands.
    """

    def prepare_site(self) -> None:
        self.provider = ProviderStandIn(fenced=True, random=Random(4))
        self.site.provider = self.provider

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instances = await self.start_instances(INSTANCES)
        self.number = 0

    async def ask(self, instance: Instance) -> int:
        """Return the status of one lookup; 0 without an answer."""
        self.number += 1
        try:
            caller = await Caller.open(instance.callers)
            reply = await caller.send_request(
                f"{LOOKUP_PREFIX}x", request_id=f"lookup-{self.number}"
            )
        except (ConnectionLost, ConnectionRefused):
            return 0
        caller.connection.close()
        return reply.status

    async def check_served(self, instances: list[Instance]) -> None:
        """Check that processes live and serve while a row stands."""
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            for instance in instances:
                self.assertIsNone(instance.process.returncode)
                self.assertEqual(await self.ask(instance), 200)
            await asyncio.sleep(0.1)

    async def test_a_row_among_others(self) -> None:
        """Guards against a row in any table that ends all instances, and all that start after."""
        for table in TABLES:
            self.site.store.put_bytes(table, "i-0f3c77aa10", UNREADABLE)
            self.site.store.put(table, UNENCODABLE, {})
        await self.check_served(self.instances)
        started = await self.start_instance("late")
        await self.check_served([*self.instances, started])

    async def test_a_row_that_fails_only_when_it_is_used(self) -> None:
        """Guards against an instance's row whose port closes the socket for heartbeats."""
        fields = {
            "ip": "127.0.0.1",
            "failure_domain": "a",
            "region": "r",
            "callers_address": "127.0.0.1:1",
            "peer_port": 70_000,
        }
        self.site.store.put(INSTANCES_TABLE, "odd", fields)
        started = await self.start_instance("late")
        instances = [*self.instances, started]
        await self.check_served(instances)
        await asyncio.sleep(SILENT_S)
        for instance in instances:
            listed = await self.list_addresses(instance)
            for other in instances:
                self.assertIn(other.callers, listed)

    async def test_the_lease_and_its_records(self) -> None:
        """Guards against duties whose unreadable records end whoever tries to perform them."""
        self.site.store.put_bytes(RECORD_TABLE, f"{RESOURCE}/window-1", UNREADABLE)
        await self.check_served(self.instances)
        self.site.store.put_bytes(LEASE_TABLE, RESOURCE, UNREADABLE)
        await self.check_served(self.instances)

    async def test_the_configuration(self) -> None:
        """Guards against instances that end by a configuration, and don't take the next one."""
        self.site.store.put_bytes("op", "config", UNREADABLE)
        await asyncio.sleep(WATCHED_S)
        for instance in self.instances:
            self.assertIsNone(instance.process.returncode)
        self.site.publish_configuration()
        until = time.monotonic() + SERVED_S
        for instance in self.instances:
            while await self.ask(instance) != 200:
                self.assertLess(time.monotonic(), until)
                await asyncio.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
