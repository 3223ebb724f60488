"""Tests of an entry that starts in a fleet with failures."""

from __future__ import annotations

import asyncio
import dataclasses
import tempfile
import unittest
from pathlib import Path

from guavamast.demo import confirm_text
from guavamast.entry import Entry
from guavamast.local_fleet import LocalFleet, reserve_ports, write_instance_settings
from tests._callers import Caller, expect_answer
from tests._waits import wait_until


class LoneEntryTest(unittest.IsolatedAsyncioTestCase):
    """An entry whose own dispatcher never tells it of anybody."""

    async def test_seed_is_followed_when_the_own_dispatcher_is_dead(self) -> None:
        # Callers of this entry are served a second after its start. Its own dispatcher died before
        # it told of another member, so the entry follows a dispatcher that its settings name.
        asyncio.get_running_loop().set_debug(False)
        fleet = LocalFleet()
        await fleet.start()
        self.addAsyncCleanup(fleet.close)
        await confirm_text(fleet.url, fleet.make_text())
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
        self.assertEqual(answer.text, expect_answer("hello"), answer.error)
