"""Time until all other dispatchers consider a killed or stopped one gone, with real processes.

Run with ``python -m bench.membership_faults [COUNT ...]``. Times are those at which followers of
the dispatchers' views receive the update; a view is sent at most every quarter of a second.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from bench.membership_cost import DispatcherFleet
from guavamast.peer_grpc import PeerStub
from guavamast.peer_pb2 import FollowRequest

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_TIMEOUT_S: Final = 60.0


class ViewFollowers:
    """Follows the views of all dispatchers and stores the member names of each last view.

    Args:
        fleet: The dispatchers.
    """

    def __init__(self, *, fleet: DispatcherFleet) -> None:
        self._fleet = fleet
        self._channels: list[Channel] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.seen: dict[int, frozenset[str]] = {}

    def start(self) -> None:
        """Follow all dispatchers."""
        for number in self._fleet.processes:
            self._tasks.append(asyncio.ensure_future(self._follow(number)))

    async def wait_for(self, condition: Callable[[], bool]) -> float:
        """Wait until a condition holds; return the seconds that it took."""
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > WAIT_TIMEOUT_S:
                return float("nan")
            await asyncio.sleep(0.01)
        return time.monotonic() - started

    def agree_on(self, numbers: set[int]) -> bool:
        """Return whether each of these dispatchers sees exactly these as members."""
        names = frozenset(f"n{number:02}" for number in numbers)
        return all(self.seen.get(number) == names for number in numbers)

    async def close(self) -> None:
        """End all streams."""
        for channel in self._channels:
            channel.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _follow(self, number: int) -> None:
        channel = Channel("127.0.0.1", self._fleet.ports[number])
        self._channels.append(channel)
        try:
            async with PeerStub(channel).Follow.open() as stream:
                await stream.send_message(FollowRequest(entry=f"bench-{number}"), end=True)
                while (view := await stream.recv_message()) is not None:
                    if view.members:
                        self.seen[number] = frozenset(member.name for member in view.members)
        except StreamTerminatedError:
            return


async def measure(count: int) -> None:
    """Print the detection times at one fleet size."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = DispatcherFleet(folder=Path(folder), count=count)
        followers = ViewFollowers(fleet=fleet)
        try:
            await asyncio.sleep(5.0 + count * 0.2)
            followers.start()
            everyone = set(fleet.processes)
            await followers.wait_for(lambda: followers.agree_on(everyone))
            rest = everyone - {1}
            fleet.kill(1)
            killed = await followers.wait_for(lambda: followers.agree_on(rest))
            running = rest - {2}
            fleet.processes[2].send_signal(signal.SIGSTOP)
            stopped = await followers.wait_for(lambda: followers.agree_on(running))
            fleet.processes[2].send_signal(signal.SIGCONT)
            resumed = await followers.wait_for(lambda: followers.agree_on(rest))
            await asyncio.sleep(5.0)
            third = {number for number in rest if number % 3 == 0}
            for number in third:
                fleet.kill(number)
            lost = await followers.wait_for(lambda: followers.agree_on(rest - third))
            print(f"{count=} {killed=:.2f} {stopped=:.2f} {resumed=:.2f} third_killed={lost:.2f}")
        finally:
            await followers.close()
            fleet.close()


def main() -> None:
    """Measure the sizes given on the command line."""
    for count in [int(text) for text in sys.argv[1:]] or [5, 14, 40]:
        asyncio.run(measure(count))


if __name__ == "__main__":
    main()
