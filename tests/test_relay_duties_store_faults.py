"""Simulated holders of the duties that come back to them, with one call to the store failing."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from random import Random

from tests.duty_checks import find_violations
from tests.duty_simulation import DutySimulation
from tests.duty_world import CallFault, FaultPoint, StoreCall
from tests.virtual_time import run_in_virtual_time

WARM_UP_S = 12.0
CUT_S = 5.5
"""Seconds for which a holder is cut off from the store: longer than its lease."""
TENURE_S = 12.0
"""Seconds for which the other instance holds the duties, and reports windows."""
SETTLE_S = 20.0
CALLS = (
    (StoreCall.READ, 1),
    (StoreCall.READ, 2),
    (StoreCall.WRITE, 1),
    (StoreCall.WRITE, 2),
    (StoreCall.READ_RECORDS, 1),
    (StoreCall.WRITE, 3),
    (StoreCall.WRITE, 4),
)
"""The calls of an instance that takes the duties back: until it holds them, then its renewals."""


async def cut_holder(simulation: DutySimulation) -> str:
    """Cut the holder off from the store until another one has taken over; return its name."""
    holder = simulation.find_holder()
    assert holder is not None
    holder.cut_from_store = True
    await asyncio.sleep(CUT_S)
    holder.cut_from_store = False
    return holder.name


async def play(simulation: DutySimulation, point: FaultPoint) -> None:
    """Let the duties change hands and come back, and fail one call of who takes them back."""
    await simulation.start()
    await asyncio.sleep(WARM_UP_S)
    point.instance = await cut_holder(simulation)
    await asyncio.sleep(TENURE_S)
    simulation.world.fault_point = point
    await cut_holder(simulation)
    await asyncio.sleep(SETTLE_S)
    await simulation.stop()


class DutyStoreFaultTest(unittest.TestCase):
    """Whichever call to the store fails, an instance acts by what stands there."""

    def check(self, *, fenced: bool, call: StoreCall, number: int, fault: CallFault) -> None:
        simulation = DutySimulation(random=Random(number), instances=2, fenced=fenced)
        point = FaultPoint(instance="", call=call, number=number, fault=fault)
        run_in_virtual_time(play(simulation, point))
        self.assertGreaterEqual(point.counted, number)
        self.assertEqual(find_violations(simulation.world, fenced=fenced), [])

    def test_no_failed_call_makes_an_instance_act_by_its_former_tenure(self) -> None:
        """Guards against a window reported twice, with other counts, after a failed read."""
        for fenced, (call, number), fault in itertools.product((True, False), CALLS, CallFault):
            with self.subTest(fenced=fenced, call=call, number=number, fault=fault):
                self.check(fenced=fenced, call=call, number=number, fault=fault)


if __name__ == "__main__":
    unittest.main()
