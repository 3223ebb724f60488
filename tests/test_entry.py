"""Tests of an entry that starts in a fleet with failures."""

from __future__ import annotations

import asyncio
import dataclasses
import tempfile
import unittest
from pathlib import Path

from guavamast.demo import apply_configuration
from guavamast.entry import Entry
from guavamast.entry_state import EntryState
from guavamast.fleet_objects import Configuration, FailureDomain, Instance
from guavamast.local_fleet import LocalFleet, reserve_ports, write_instance_settings
from guavamast.placement import EndpointChooser
from tests._callers import Caller, build_expected_response
from tests._waits import wait_until


class EntryStateTest(unittest.TestCase):
    """The configuration in force at an entry."""

    def test_older_version_is_ignored(self) -> None:
        # Two dispatchers send different versions and the older one arrives last. Applying it would
        # send new work to an endpoint that has left.
        instance = Instance(
            name="i",
            failure_domain=FailureDomain(name="d", region="r"),
            caller_address="",
            peer_address="",
        )
        state = EntryState(instance=instance, chooser=EndpointChooser(instance=instance, seed=1))
        self.assertTrue(state.accept_configuration(Configuration(version=2)))
        self.assertFalse(state.accept_configuration(Configuration(version=1)))
        self.assertEqual(state.configuration.version, 2)


class DeadDispatcherTest(unittest.IsolatedAsyncioTestCase):
    """An entry whose local dispatcher never reports another member."""

    async def test_seed_is_followed_when_the_own_dispatcher_is_dead(self) -> None:
        # The local dispatcher died before it reported another member. The entry follows a seed of
        # its settings instead and serves callers a second after its start.
        asyncio.get_running_loop().set_debug(False)
        fleet = LocalFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.close)
        await apply_configuration(fleet.url, fleet.build_text())
        dispatcher = fleet.dispatchers[0]
        with tempfile.TemporaryDirectory() as folder:
            (settings,) = write_instance_settings(
                Path(folder), count=1, platform_url=fleet.platform.url
            )
        (dead_port,) = reserve_ports(1)
        instance = settings.instance.with_peer_address(f"127.0.0.1:{dead_port}")
        settings = dataclasses.replace(settings, instance=instance, seeds=(dispatcher.address,))
        entry = Entry(settings=settings)
        await entry.start()
        self.addAsyncCleanup(entry.close)
        await wait_until(lambda: entry.state.configuration.version > 0)
        answer = await Caller(url=f"http://{entry.address}").stream("hello")
        self.assertEqual(answer.text, build_expected_response("hello"), answer.error)
