"""Membership of real dispatcher processes that are killed, stopped and restarted."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, Final

from bench.membership_cost import DispatcherFleet
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from guavamast.members import MemberState
from guavamast.peer_grpc import PeerStub
from guavamast.peer_pb2 import FollowRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

INSTANCE_COUNT: Final = 6
WAIT_TIMEOUT_S: Final = 60.0
SERVING: Final = (MemberState.LIVE, MemberState.SUSPECT)


async def read_serving(fleet: DispatcherFleet, number: int) -> dict[str, int]:
    """Return the incarnations of the instances that one dispatcher considers serving."""
    channel = Channel("127.0.0.1", fleet.ports[number])
    try:
        async with PeerStub(channel).Follow.open() as stream:
            await stream.send_message(FollowRequest(entry="test"), end=True)
            try:
                while not (view := await asyncio.wait_for(stream.recv_message(), 5.0)).members:
                    pass
            finally:
                channel.close()
            return {m.name: m.incarnation for m in view.members if m.state in SERVING}
    except (OSError, TimeoutError, StreamTerminatedError):
        return {}


class MembershipProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Six dispatchers in three regions."""

    def setUp(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.fleet = DispatcherFleet(folder=Path(self._folder.name), count=INSTANCE_COUNT)

    def tearDown(self) -> None:
        self.fleet.close()
        self._folder.cleanup()

    async def wait_agreed(self, numbers: Iterable[int]) -> dict[str, int]:
        """Wait until the given dispatchers see exactly each other serving; return incarnations."""
        expected = {f"n{number:02}" for number in numbers}
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            views = [await read_serving(self.fleet, number) for number in numbers]
            if all(set(view) == expected and view == views[0] for view in views):
                return views[0]
            self.assertLess(time.monotonic(), deadline, f"views differ: {views}")
            await asyncio.sleep(0.2)

    async def test_a_third_is_killed_and_one_is_stopped_for_a_while(self) -> None:
        """Two of six processes are killed, then a third is stopped until it is considered gone.

        Callers must get only live instances. The stopped process must return under a higher
        incarnation once it resumes, and must not declare the others gone because of its own pause.
        """
        started = await self.wait_agreed(range(INSTANCE_COUNT))
        for number in (1, 4):
            self.fleet.kill(number)
        left = [0, 2, 3, 5]
        await self.wait_agreed(left)
        self.fleet.processes[3].send_signal(signal.SIGSTOP)
        await self.wait_agreed([0, 2, 5])
        self.fleet.processes[3].send_signal(signal.SIGCONT)
        resumed = await self.wait_agreed(left)
        self.assertGreater(resumed["n03"], started["n03"])
        for name in ("n00", "n02", "n05"):
            self.assertEqual(resumed[name], started[name])
        self.fleet.start(4)
        again = await self.wait_agreed([0, 2, 3, 4, 5])
        self.assertGreater(again["n04"], started["n04"])


if __name__ == "__main__":
    unittest.main()
