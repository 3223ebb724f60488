"""Tests of the turns of readers whose data is already there, in virtual time."""

from __future__ import annotations

import asyncio
import unittest

from guavamast.loop_turns import LONGEST_TURN_S, ReaderTurn
from tests.virtual_time import VirtualTimeLoop, run_in_virtual_time

PART_S = 0.0005
"""Seconds that a reader takes for one part."""
PARTS = 400
TURN_S = LONGEST_TURN_S + 2.1 * PART_S
"""Longest turn of a reader: the time is taken after its first part, and checked before the last."""


def work(seconds: float) -> None:
    """Occupy the loop for a time."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.occupy(seconds)


class LoopTurnsTest(unittest.TestCase):
    """Whoever reads without end leaves the loop to others after a short time."""

    def setUp(self) -> None:
        self.read: dict[str, int] = {}
        self.longest_gap_s = 0.0

    async def read_parts(self, name: str, parts: int = PARTS) -> None:
        """Read parts that are all there already."""
        turn = ReaderTurn()
        for _ in range(parts):
            if turn.is_over():
                await turn.wait_next()
            work(PART_S)
            self.read[name] = self.read.get(name, 0) + 1

    async def tick(self) -> None:
        """Take a step in each iteration of the loop, and record the longest time between two."""
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(0)
            self.longest_gap_s = max(self.longest_gap_s, loop.time() - last)
            last = loop.time()

    def test_others_get_a_step_after_each_turn(self) -> None:
        """Guards against one reader that holds up everything else while its data lasts."""

        async def main() -> None:
            ticking = asyncio.create_task(self.tick())
            await self.read_parts("a")
            ticking.cancel()

        run_in_virtual_time(main())
        self.assertEqual(self.read["a"], PARTS)
        self.assertLessEqual(self.longest_gap_s, TURN_S)

    def test_many_readers_together_take_one_turn_in_each_iteration(self) -> None:
        """Guards against many such readers that each take a turn before anybody else does."""

        async def main() -> None:
            readers = [asyncio.create_task(self.read_parts(str(name))) for name in range(24)]
            await asyncio.sleep(0)  # Each has read its first parts.
            ticking = asyncio.create_task(self.tick())
            await asyncio.sleep(0)
            self.longest_gap_s = 0.0
            await asyncio.gather(*readers)
            ticking.cancel()

        run_in_virtual_time(main())
        self.assertLessEqual(self.longest_gap_s, 2 * TURN_S)

    def test_readers_share_alike(self) -> None:
        """Guards against a reader that gets no turn while others take theirs again and again."""
        halfway: dict[str, int] = {}

        async def main() -> None:
            readers = [asyncio.create_task(self.read_parts(str(name))) for name in range(8)]
            while sum(self.read.values()) < 8 * PARTS // 2:
                await asyncio.sleep(0)
            halfway.update(self.read)
            await asyncio.gather(*readers)

        run_in_virtual_time(main())
        parts_in_a_turn = LONGEST_TURN_S / PART_S
        self.assertLessEqual(max(halfway.values()) - min(halfway.values()), 2 * parts_in_a_turn)

    def test_a_reader_that_waits_for_its_data_does_not_queue(self) -> None:
        """Guards against sound streams that are delayed by a queue of endless ones."""
        waits: list[float] = []

        async def read_now_and_then() -> None:
            loop = asyncio.get_running_loop()
            turn = ReaderTurn()
            for _ in range(20):
                await asyncio.sleep(0.01)
                turn.renew()
                came = loop.time()
                for _ in range(3):
                    if turn.is_over():
                        await turn.wait_next()
                    work(PART_S)
                waits.append(loop.time() - came)

        async def main() -> None:
            readers = [asyncio.create_task(self.read_parts(str(name))) for name in range(24)]
            await read_now_and_then()
            await asyncio.gather(*readers)

        run_in_virtual_time(main())
        self.assertAlmostEqual(max(waits), 3 * PART_S)

    def test_a_reader_that_leaves_the_queue_keeps_nobody_waiting(self) -> None:
        """Guards against a queue that stops at a reader whose caller has left."""

        async def main() -> None:
            leaving = [asyncio.create_task(self.read_parts(f"l{name}")) for name in range(8)]
            staying = asyncio.create_task(self.read_parts("s"))
            await asyncio.sleep(0)
            for task in leaving:
                task.cancel()
            await staying

        run_in_virtual_time(main())
        self.assertEqual(self.read["s"], PARTS)


if __name__ == "__main__":
    unittest.main()
