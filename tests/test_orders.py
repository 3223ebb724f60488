"""Tests of orders under leases: pauses, two holders, lost responses, a rate-limited store."""

from __future__ import annotations

import unittest

from guavamast.fleet_objects import Fencing
from guavamast.order_issuer import OUT_OF_USE_KEY, ROLLOUT_TABLE, decode_out_of_use
from guavamast.platform_client import PlatformUnavailable
from guavamast.rollouts import RolloutLimits, may_take_out
from tests.order_simulation import PARAMETERS, Holder, OrderSimulation, build_fleet

FULL_WAIT_S = (PARAMETERS.duration_s + PARAMETERS.order_time_s) * (1.0 + PARAMETERS.clock_drift)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Endpoints end with the versions of the configuration, whoever sent the orders."""

    def list_out(self, simulation: OrderSimulation) -> frozenset[str]:
        """Return the endpoints that the platform lists as out of use."""
        return decode_out_of_use(simulation.platform.find_row(ROLLOUT_TABLE, OUT_OF_USE_KEY))

    async def test_loads_the_model_and_puts_the_endpoint_back_into_use(self) -> None:
        simulation = OrderSimulation(fencing=Fencing.CHECKED)
        holder, fleet = Holder(simulation, "a"), build_fleet()
        await holder.run(fleet)
        self.assertTrue(holder.giver.is_out_of_use("e0"))
        self.assertEqual(self.list_out(simulation), {"e0"})
        await holder.run(fleet, steps=4)
        self.assertEqual(simulation.reported["e0"], {"m": "2"})
        self.assertFalse(holder.giver.is_out_of_use("e0"))
        self.assertEqual(self.list_out(simulation), frozenset())
        self.assertEqual(len(holder.sender.sent), 1)
        writes = len(simulation.platform.applied)
        await holder.run(fleet, steps=3)
        self.assertEqual(
            len(simulation.platform.applied), writes, "a fleet without changes writes nothing"
        )

    async def test_waits_for_running_work(self) -> None:
        simulation = OrderSimulation(fencing=Fencing.CHECKED)
        holder, fleet = Holder(simulation, "a"), build_fleet()
        await holder.run(fleet, steps=5, running=3)
        self.assertEqual((holder.giver.is_out_of_use("e0"), holder.sender.sent), (True, []))
        await holder.run(fleet, steps=3)
        self.assertEqual(simulation.reported["e0"], {"m": "2"})

    async def test_lapsed_lease_during_a_pause(self) -> None:
        # Holder a acquires the lease and is paused past its end before it gets the response.
        # Another may have ordered a newer version by then, which a's order would overwrite at an
        # endpoint that ignores fencing numbers. The check right before the send prevents it.
        simulation = OrderSimulation(fencing=Fencing.IGNORED)
        holder, fleet = Holder(simulation, "a"), build_fleet(fencing=Fencing.IGNORED)
        await holder.run(fleet)
        for pause_s, orders in ((PARAMETERS.duration_s - PARAMETERS.margin_s, 0), (1.0, 1)):
            # Delays apply once to the report, twice to reading the lease and twice to acquiring it.
            simulation.delays.extend([0.0, 0.0, 0.0, 0.0, pause_s])
            await holder.run(fleet, pause_s=0.0)
            self.assertEqual(len(holder.sender.sent), orders, pause_s)

    async def test_new_holder_waits_out_an_endpoint_that_ignores_the_number(self) -> None:
        # Holder a sends an order and dies, and the order arrives at the end of the longest order
        # time. The endpoint would apply it after b's newer order. So b sends only after the old
        # lease and the longest order time; where fencing numbers are checked it only waits for
        # the lease.
        for fencing, wait_s in (
            (Fencing.IGNORED, FULL_WAIT_S),
            (Fencing.CHECKED, PARAMETERS.duration_s * (1.0 + PARAMETERS.clock_drift)),
        ):
            simulation = OrderSimulation(fencing=fencing)
            first, second = Holder(simulation, "a"), Holder(simulation, "b")
            first.sender.faults.append(PARAMETERS.order_time_s)
            await first.run(build_fleet(fencing=fencing, version="1"), steps=2, pause_s=0.0)
            self.assertEqual(len(first.sender.sent), 1)
            started_at = simulation.now
            fleet = build_fleet(fencing=fencing, version="2")
            while not second.sender.sent:
                await second.run(fleet, pause_s=1.0)
            self.assertAlmostEqual(simulation.now - started_at, wait_s, delta=3.0)
            simulation.advance(PARAMETERS.order_time_s)
            self.assertEqual(simulation.reported["e0"], {"m": "2"}, fencing)

    async def test_late_order_of_a_paused_holder_is_repaired(self) -> None:
        # Holder a is paused between its check and its send for longer than any wait, so its order
        # overwrites b's at an endpoint that ignores fencing numbers. Callers could get the old
        # version; b sees it in the report, takes the endpoint out of use and loads again.
        simulation = OrderSimulation(fencing=Fencing.IGNORED)
        first, second = Holder(simulation, "a"), Holder(simulation, "b")
        first.sender.faults.append(1000.0)
        await first.run(build_fleet(fencing=Fencing.IGNORED, version="1"), steps=2, pause_s=0.0)
        fleet = build_fleet(fencing=Fencing.IGNORED, version="2")
        await second.run(fleet, steps=60)
        self.assertEqual(simulation.reported["e0"], {"m": "2"})
        simulation.advance(1000.0)
        self.assertEqual(simulation.reported["e0"], {"m": "1"})
        await second.run(fleet, steps=6)
        self.assertEqual(simulation.reported["e0"], {"m": "2"})
        self.assertFalse(second.giver.is_out_of_use("e0"))

    async def test_order_with_a_lost_response_is_not_sent_twice(self) -> None:
        # The engine accepts the order and its response is lost. A retry would start a load of many
        # minutes a second time; the report shows the effect, so nothing is sent again.
        simulation = OrderSimulation(fencing=Fencing.CHECKED)
        holder, fleet = Holder(simulation, "a"), build_fleet()
        holder.sender.faults.append("lost")
        await holder.run(fleet, steps=10)
        self.assertEqual(len(holder.sender.sent), 1)
        self.assertFalse(holder.giver.is_out_of_use("e0"))

    async def test_one_order_at_a_time(self) -> None:
        # An order's response is lost and it takes effect a minute later. Meanwhile a new plan asks
        # for another version. Ordered at once, that version would be overwritten by the late
        # order, so the holder waits until the report shows the late order's effect.
        simulation = OrderSimulation(fencing=Fencing.IGNORED)
        holder = Holder(simulation, "a")
        holder.sender.faults.append(60.0)
        await holder.run(build_fleet(fencing=Fencing.IGNORED, version="1"), steps=2)
        await holder.run(build_fleet(fencing=Fencing.IGNORED, version="2"), steps=10)
        self.assertEqual([order.version for order in holder.sender.sent], ["1"])
        await holder.run(build_fleet(fencing=Fencing.IGNORED, version="2"), steps=5)
        self.assertEqual([order.version for order in holder.sender.sent], ["1", "2"])
        self.assertEqual(simulation.reported["e0"], {"m": "2"})

    async def test_retries_back_off_while_the_store_is_rate_limited(self) -> None:
        simulation = OrderSimulation(fencing=Fencing.CHECKED)
        holder, fleet = Holder(simulation, "a"), build_fleet()
        holder.sender.faults.extend(["limited"] * 5)
        started_at = simulation.now
        while "e0" not in simulation.reported:
            await holder.run(fleet, pause_s=1.0)
        self.assertEqual(len(holder.sender.faults), 0)
        self.assertGreater(simulation.now - started_at, 5 + 10 + 20 + 40 + 80)

    async def test_next_keeper_cleans_up_after_one_that_died(self) -> None:
        simulation = OrderSimulation(fencing=Fencing.CHECKED)
        first, second, fleet = Holder(simulation, "a"), Holder(simulation, "b"), build_fleet()
        await first.run(fleet, steps=2)
        self.assertEqual(
            (simulation.reported["e0"], self.list_out(simulation)), ({"m": "2"}, {"e0"})
        )
        await second.run(fleet)
        self.assertEqual(self.list_out(simulation), frozenset())

    async def test_platform_outage_puts_a_loaded_endpoint_back_into_use(self) -> None:
        simulation = OrderSimulation(fencing=Fencing.CHECKED)
        holder, fleet = Holder(simulation, "a"), build_fleet()
        await holder.run(fleet, steps=2)
        simulation.platform.down_calls = 2
        with self.assertRaises(PlatformUnavailable):
            await holder.run(fleet)
        self.assertFalse(holder.giver.is_out_of_use("e0"))
        await holder.run(fleet, steps=2)
        self.assertEqual(self.list_out(simulation), frozenset())

    async def test_rollout_is_bounded_and_stops_for_a_new_plan(self) -> None:
        # Version 2 proves faulty while two of nine engines load it. The operators confirm version 1
        # again: no further engine is taken out of use, and the two load version 1.
        simulation = OrderSimulation(fencing=Fencing.CHECKED)
        holder = Holder(simulation, "a")
        old, new = build_fleet(engines=9, version="1"), build_fleet(engines=9, version="2")
        for name in old.endpoints:
            simulation.reported[name] = {"m": "1"}
        most = 0
        for _ in range(2):
            await holder.run(new)
            most = max(most, len(self.list_out(simulation)))
        self.assertEqual((most, len(holder.sender.sent)), (2, 2))
        await holder.run(old, steps=6)
        self.assertEqual(set(map(str, simulation.reported.values())), {"{'m': '1'}"})
        self.assertEqual(self.list_out(simulation), frozenset())
        await holder.run(new, steps=60)
        self.assertEqual(set(map(str, simulation.reported.values())), {"{'m': '2'}"})


class RolloutsTest(unittest.TestCase):
    """Limits of what may be out of use at once."""

    def test_floor_and_number(self) -> None:
        fleet = build_fleet(engines=4)
        limits = RolloutLimits(max_loading=3, min_slot_share=0.5)
        endpoint = fleet.endpoints["e0"]
        allowed = [
            may_take_out(fleet, endpoint, out=out, limits=limits)
            for out in ([], ["e1"], ["e1", "e2"], ["e0", "e1"], ["gone", "e0"])
        ]
        self.assertEqual(allowed, [True, True, False, True, True])
        few = RolloutLimits(max_loading=1, min_slot_share=0.0)
        self.assertFalse(may_take_out(fleet, endpoint, out=["e1"], limits=few))

    def test_a_group_of_one_can_load(self) -> None:
        fleet = build_fleet(engines=1)
        self.assertTrue(may_take_out(fleet, fleet.endpoints["e0"], out=[]))
