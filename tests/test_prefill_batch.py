"""Tests of the batch of the engine stand-in."""

from __future__ import annotations

import asyncio
import unittest

from guavamast.platform.standins.prefill_batch import PrefillBatch


class PrefillBatchTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in keeps an order and takes a time, as engines do."""

    async def test_the_most_urgent_that_waits_gets_the_next_slot(self) -> None:
        """Guards against a stand-in at which a wrong order of urgencies can't be seen."""
        batch = PrefillBatch(slots=1, tokens_per_s=1e9)
        await batch.join(urgency=5, tokens=1)
        order: list[int] = []

        async def run(urgency: int) -> None:
            await batch.join(urgency=urgency, tokens=1)
            order.append(urgency)
            batch.leave()

        tasks = [asyncio.ensure_future(run(urgency)) for urgency in (7, 2, 4)]
        await asyncio.sleep(0)
        batch.leave()
        await asyncio.gather(*tasks)
        self.assertEqual(order, [2, 4, 7])

    async def test_prompts_are_prefilled_one_after_the_other(self) -> None:
        """Guards against a stand-in at which long prompts delay nobody."""
        batch = PrefillBatch(slots=8, tokens_per_s=10_000.0)
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.gather(*(batch.join(urgency=0, tokens=200) for _ in range(3)))
        self.assertGreaterEqual(loop.time() - started, 0.059)


if __name__ == "__main__":
    unittest.main()
