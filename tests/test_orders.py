"""Tests of orders under leases: pauses, two holders, lost answers, a rate-limited store."""

from __future__ import annotations

import unittest

from guavamast.order_giver import OUT_KEY, ROLLOUT_TABLE, read_out_row
from guavamast.platform_client import PlatformUnavailable
from guavamast.rollouts import RolloutLimits, may_take_out
from guavamast.world import Fencing
from tests.order_world import TERMS, Holder, World, make_fleet

WHOLE_WAIT_S = (TERMS.duration_s + TERMS.order_time_s) * (1.0 + TERMS.clock_drift)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    """Endpoints end with the versions of the configuration, whoever gave the orders."""

    def list_out(self, world: World) -> frozenset[str]:
        """Return the endpoints that the platform names as out of use."""
        return read_out_row(world.platform.find_row(ROLLOUT_TABLE, OUT_KEY))

    async def test_loads_and_gives_everything_back(self) -> None:
        world = World(fencing=Fencing.CHECKED)
        holder, fleet = Holder(world, "a"), make_fleet()
        await holder.run(fleet)
        self.assertTrue(holder.giver.is_out("e0"))
        self.assertEqual(self.list_out(world), {"e0"})
        await holder.run(fleet, steps=4)
        self.assertEqual(world.reported["e0"], {"m": "2"})
        self.assertFalse(holder.giver.is_out("e0"))
        self.assertEqual(self.list_out(world), frozenset())
        self.assertEqual(len(holder.sender.sent), 1)
        writes = len(world.platform.applied)
        await holder.run(fleet, steps=3)
        self.assertEqual(len(world.platform.applied), writes, "a quiet fleet writes nothing")

    async def test_waits_for_running_work(self) -> None:
        world = World(fencing=Fencing.CHECKED)
        holder, fleet = Holder(world, "a"), make_fleet()
        await holder.run(fleet, steps=5, running=3)
        self.assertEqual((holder.giver.is_out("e0"), holder.sender.sent), (True, []))
        await holder.run(fleet, steps=3)
        self.assertEqual(world.reported["e0"], {"m": "2"})

    async def test_lapsed_lease_during_a_pause(self) -> None:
        # Holder a takes the lease and is paused past its end before it learns so. Another may
        # have ordered a newer version by then, which a's order would overwrite at an endpoint
        # that ignores numbers. Its check right before sending keeps that order back.
        world = World(fencing=Fencing.IGNORED)
        holder, fleet = Holder(world, "a"), make_fleet(fencing=Fencing.IGNORED)
        await holder.run(fleet)
        for pause_s, orders in ((TERMS.duration_s - TERMS.margin_s, 0), (1.0, 1)):
            # Time passes once in the report, twice in reading the lease and twice in taking it.
            world.delays.extend([0.0, 0.0, 0.0, 0.0, pause_s])
            await holder.run(fleet, pause_s=0.0)
            self.assertEqual(len(holder.sender.sent), orders, pause_s)

    async def test_new_holder_waits_out_an_endpoint_that_ignores_the_number(self) -> None:
        # Holder a sends an order, dies, and the order arrives at the last moment at which it can.
        # The endpoint would take it after b's newer order. So b orders only after the old lease
        # and the longest order time; where numbers are checked it only waits for the lease.
        for fencing, wait_s in (
            (Fencing.IGNORED, WHOLE_WAIT_S),
            (Fencing.CHECKED, TERMS.duration_s * (1.0 + TERMS.clock_drift)),
        ):
            world = World(fencing=fencing)
            first, second = Holder(world, "a"), Holder(world, "b")
            first.sender.fates.append(TERMS.order_time_s)
            await first.run(make_fleet(fencing=fencing, version="1"), steps=2, pause_s=0.0)
            self.assertEqual(len(first.sender.sent), 1)
            began = world.now
            fleet = make_fleet(fencing=fencing, version="2")
            while not second.sender.sent:
                await second.run(fleet, pause_s=1.0)
            self.assertAlmostEqual(world.now - began, wait_s, delta=3.0)
            world.advance(TERMS.order_time_s)
            self.assertEqual(world.reported["e0"], {"m": "2"}, fencing)

    async def test_late_order_of_a_paused_holder_is_repaired(self) -> None:
        # Holder a is paused between its check and its sending for longer than any wait, so its
        # order overwrites b's at an endpoint that ignores numbers. The caller could get the old
        # version; b sees it in the endpoint's report, takes it out and loads again.
        world = World(fencing=Fencing.IGNORED)
        first, second = Holder(world, "a"), Holder(world, "b")
        first.sender.fates.append(1000.0)
        await first.run(make_fleet(fencing=Fencing.IGNORED, version="1"), steps=2, pause_s=0.0)
        fleet = make_fleet(fencing=Fencing.IGNORED, version="2")
        await second.run(fleet, steps=60)
        self.assertEqual(world.reported["e0"], {"m": "2"})
        world.advance(1000.0)
        self.assertEqual(world.reported["e0"], {"m": "1"})
        await second.run(fleet, steps=6)
        self.assertEqual(world.reported["e0"], {"m": "2"})
        self.assertFalse(second.giver.is_out("e0"))

    async def test_lost_answer_is_not_ordered_twice(self) -> None:
        # The engine takes the order and its answer is lost. Sent again, a load of many minutes
        # would begin a second time; the report shows the effect, so nothing is sent again.
        world = World(fencing=Fencing.CHECKED)
        holder, fleet = Holder(world, "a"), make_fleet()
        holder.sender.fates.append("lost")
        await holder.run(fleet, steps=10)
        self.assertEqual(len(holder.sender.sent), 1)
        self.assertFalse(holder.giver.is_out("e0"))

    async def test_one_order_at_a_time(self) -> None:
        # An order's answer is lost and it takes effect a minute later. A new plan meanwhile asks
        # for another version. Ordered at once, that version would be overwritten by the late
        # one, so the holder waits until the report shows the late one's effect.
        world = World(fencing=Fencing.IGNORED)
        holder = Holder(world, "a")
        holder.sender.fates.append(60.0)
        await holder.run(make_fleet(fencing=Fencing.IGNORED, version="1"), steps=2)
        await holder.run(make_fleet(fencing=Fencing.IGNORED, version="2"), steps=10)
        self.assertEqual([order.version for order in holder.sender.sent], ["1"])
        await holder.run(make_fleet(fencing=Fencing.IGNORED, version="2"), steps=5)
        self.assertEqual([order.version for order in holder.sender.sent], ["1", "2"])
        self.assertEqual(world.reported["e0"], {"m": "2"})

    async def test_rate_limited_store_is_asked_less_and_less(self) -> None:
        world = World(fencing=Fencing.CHECKED)
        holder, fleet = Holder(world, "a"), make_fleet()
        holder.sender.fates.extend(["limited"] * 5)
        began = world.now
        while "e0" not in world.reported:
            await holder.run(fleet, pause_s=1.0)
        self.assertEqual(len(holder.sender.fates), 0)
        self.assertGreater(world.now - began, 5 + 10 + 20 + 40 + 80)

    async def test_next_keeper_cleans_up_after_one_that_died(self) -> None:
        world = World(fencing=Fencing.CHECKED)
        first, second, fleet = Holder(world, "a"), Holder(world, "b"), make_fleet()
        await first.run(fleet, steps=2)
        self.assertEqual((world.reported["e0"], self.list_out(world)), ({"m": "2"}, {"e0"}))
        await second.run(fleet)
        self.assertEqual(self.list_out(world), frozenset())

    async def test_platform_outage_puts_a_loaded_endpoint_back_into_use(self) -> None:
        world = World(fencing=Fencing.CHECKED)
        holder, fleet = Holder(world, "a"), make_fleet()
        await holder.run(fleet, steps=2)
        world.platform.down_calls = 2
        with self.assertRaises(PlatformUnavailable):
            await holder.run(fleet)
        self.assertFalse(holder.giver.is_out("e0"))
        await holder.run(fleet, steps=2)
        self.assertEqual(self.list_out(world), frozenset())

    async def test_rollout_is_bounded_and_stops_for_a_new_plan(self) -> None:
        # Version 2 turns out bad while two of nine engines load it. The operators confirm
        # version 1 again: no further engine is taken out, and the two load version 1.
        world = World(fencing=Fencing.CHECKED)
        holder = Holder(world, "a")
        old, new = make_fleet(engines=9, version="1"), make_fleet(engines=9, version="2")
        for name in old.endpoints:
            world.reported[name] = {"m": "1"}
        most = 0
        for _ in range(2):
            await holder.run(new)
            most = max(most, len(self.list_out(world)))
        self.assertEqual((most, len(holder.sender.sent)), (2, 2))
        await holder.run(old, steps=6)
        self.assertEqual(set(map(str, world.reported.values())), {"{'m': '1'}"})
        self.assertEqual(self.list_out(world), frozenset())
        await holder.run(new, steps=60)
        self.assertEqual(set(map(str, world.reported.values())), {"{'m': '2'}"})


class RolloutsTest(unittest.TestCase):
    """Limits of what may be out of use at once."""

    def test_floor_and_number(self) -> None:
        fleet = make_fleet(engines=4)
        limits = RolloutLimits(loading=3, floor=0.5)
        endpoint = fleet.endpoints["e0"]
        allowed = [
            may_take_out(fleet, endpoint, out=out, limits=limits)
            for out in ([], ["e1"], ["e1", "e2"], ["e0", "e1"], ["gone", "e0"])
        ]
        self.assertEqual(allowed, [True, True, False, True, True])
        few = RolloutLimits(loading=1, floor=0.0)
        self.assertFalse(may_take_out(fleet, endpoint, out=["e1"], limits=few))

    def test_a_group_of_one_can_load(self) -> None:
        fleet = make_fleet(engines=1)
        self.assertTrue(may_take_out(fleet, fleet.endpoints["e0"], out=[]))
