"""Tests of the scheduling client: forty instances, some of which die, stall or are cut off."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.relay.caller_gate import Admitted
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.local_placer import LocalPlacer
from guavamast.relay.placement.admission import Rejection
from guavamast.relay.placement.admission_history import AdmissionHistory
from guavamast.relay.placement.endpoint_choice import EndpointChooser
from guavamast.relay.placement.length_buckets import PromptDemand
from guavamast.relay.placement.prompt_cache import PromptCache
from guavamast.relay.request_progress import RequestProgress, begin_progress
from guavamast.relay.scheduled_placer import ScheduledPlacer
from guavamast.relay.scheduled_work import LEASE_S
from guavamast.relay.scheduler_directory import BACKOFF_S, TIMEOUTS_BEFORE_BACKOFF
from guavamast.relay.scheduling_client import GRANT_VALID_S, MAX_TIMEOUT_S, ScheduledReply
from guavamast.relay.scheduling_messages import PlacementReply, Verdict
from guavamast.relay.scheduling_wire import decode_scheduling, encode_scheduling
from guavamast.relay.store import EndpointSnapshot
from guavamast.relay.stream_binding import StreamBinding
from tests.relay_fixtures import PROFILE, build_endpoint, build_request, build_versions
from tests.scheduling_simulation import (
    GROUP,
    POOL,
    PROMPT_PARTS,
    SchedulingSimulation,
    make_query,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placer import PlacementDecision
    from tests.scheduling_simulation import SimulatedInstance

REQUESTER = "i30"
OTHER = "i31"


class SchedulingTest(unittest.IsolatedAsyncioTestCase):
    """A request goes to the endpoint that its scheduler selects, or is placed locally."""

    async def asyncSetUp(self) -> None:
        self.simulation = SchedulingSimulation()
        pause = asyncio.sleep

        async def advance(seconds: float) -> None:
            self.simulation.now += seconds
            await pause(0)

        patch = mock.patch("guavamast.relay.scheduled_placer.asyncio.sleep", advance)
        patch.start()
        self.addCleanup(patch.stop)
        self.scheduler = self.simulation.find_scheduler(REQUESTER)
        self.assertNotIn(self.scheduler, (REQUESTER, OTHER))

    def build_placer(self, instance: SimulatedInstance) -> ScheduledPlacer:
        loads = EndpointLoads()
        versions = build_versions(instance.fleet_state)
        own = LocalPlacer(
            fleet_state=instance.fleet_state,
            chooser=EndpointChooser(loads=loads, cache=PromptCache(), random=Random(1)),
            versions=versions,
            demand=PromptDemand(),
            profiles=instance.profiles,
            rejections=AdmissionHistory(),
            random=Random(1),
            read_time=lambda: self.simulation.now,
        )
        return ScheduledPlacer(
            publish_waiting=lambda: None,
            local_placer=own,
            scheduling=instance.scheduling,
            versions=versions,
            limits=instance.limits,
            rate_limits=instance.rate_limits,
            fleet_state=instance.fleet_state,
            loads=loads,
            random=Random(1),
            read_time=lambda: self.simulation.now,
        )

    def build_progress(
        self, instance: SimulatedInstance, request: CallerRequest
    ) -> RequestProgress:
        catalog = instance.fleet_state.catalog
        assert catalog is not None
        route = catalog.find_route("portal.example", "/answers/")
        assert route is not None
        admitted = Admitted(catalog=catalog, route=route, organisation=None)
        return begin_progress(
            request,
            admitted,
            service=POOL,
            shortest_objective_s=0.3,
            profile=PROFILE,
            most_urgent=True,
        )

    async def place(
        self, name: str = REQUESTER, *, binding: StreamBinding | None = None, **changes: object
    ) -> PlacementDecision:
        """Place a short prompt at an instance."""
        instance = self.simulation.instances[name]
        values = {"prompt_parts": PROMPT_PARTS, "prompt_tokens": 1_000, "output_tokens": 200}
        request = build_request(**(values | changes))
        progress = self.build_progress(instance, request)
        progress.binding = binding
        return await self.build_placer(instance).place(request, progress)

    async def deliver_datagrams(self) -> None:
        """Run the loop until all datagrams have arrived."""
        for _ in range(5):
            await asyncio.sleep(0)

    def count_grants(self, name: str) -> int:
        host = self.simulation.instances[name].scheduling.host
        host.clean_up(endpoint_ids=set(), now=self.simulation.now)
        return host.count_grants(GROUP)

    def state_limits(self, per_second: float, names: Iterable[str]) -> None:
        """Let instances know that all engines state a rate limit."""
        for name in names:
            ledger = self.simulation.instances[name].rate_limits
            for record in self.simulation.engines:
                ledger.record(record, per_second, sent_at=0.0, now=self.simulation.now)

    async def test_a_request_waits_for_a_permit_that_is_near(self) -> None:
        """Guards against refusals where every engine has a limit that isn't used up."""
        self.state_limits(10.0, self.simulation.instances)
        placed = await self.place(received_at=self.simulation.now)
        self.assertIsNone(placed.rejection)
        assert placed.work is not None
        self.assertTrue(placed.work.is_permitted(now=self.simulation.now))

    async def test_a_request_is_refused_at_once_if_no_permit_comes_in_time(self) -> None:
        """Guards against callers that are held for nothing."""
        self.state_limits(0.5, self.simulation.instances)
        began_at = self.simulation.now
        placed = await self.place(received_at=began_at)
        assert placed.rejection is not None
        self.assertEqual(self.simulation.now, began_at)
        self.assertLess(placed.rejection.retry_after_s, 1.0)

    async def test_a_grant_of_a_scheduler_without_the_news_is_given_back(self) -> None:
        """Guards against a request that is granted and held back again and again."""
        self.state_limits(2.0, [REQUESTER])
        tell = mock.Mock()
        self.simulation.instances[REQUESTER].scheduling.tell_limits = tell
        placed = await self.place()
        self.assertIsNotNone(placed.rejection)
        await self.deliver_datagrams()
        self.assertEqual(self.count_grants(self.scheduler), 0)
        scheduler = self.simulation.instances[self.scheduler].record
        tell.assert_called_with(POOL, (scheduler.ip, scheduler.peer_port))

    def test_queries_and_replies_have_nothing_about_limits_where_none_is_known(self) -> None:
        """Guards against bytes that fleets without limits pay for."""
        query = make_query(1)
        known = make_query(1, knows_limits=True)
        self.assertEqual(len(encode_scheduling(known)), len(encode_scheduling(query)) + 2)
        for one in (query, known, make_query(1, knows_limits=True, may_ask=True)):
            self.assertEqual(decode_scheduling(encode_scheduling(one)), one)
        reply = PlacementReply(
            requester=query.requester, number=1, verdict=Verdict.GRANTED, endpoint_id="e0"
        )
        permitted = replace(reply, permitted=True)
        self.assertEqual(len(encode_scheduling(permitted)), len(encode_scheduling(reply)) + 2)
        for answer in (reply, permitted):
            self.assertEqual(decode_scheduling(encode_scheduling(answer)), answer)

    async def test_engines_without_a_limit_are_used_if_no_scheduler_replies(self) -> None:
        """Guards against local placement that sends without a permit."""
        ledger = self.simulation.instances[REQUESTER].rate_limits
        free, *limited = self.simulation.engines
        for record in limited:
            ledger.record(record, 2.0, sent_at=0.0, now=self.simulation.now)
        self.simulation.silent.update(set(self.simulation.instances) - {REQUESTER})
        placed = await self.place()
        assert placed.choice is not None
        self.assertEqual(placed.choice.record, free)

    async def test_all_instances_select_the_same_scheduler(self) -> None:
        found = {self.simulation.find_scheduler(name) for name in self.simulation.instances}
        self.assertEqual(found, {self.scheduler})
        self.assertEqual(self.simulation.instances[self.scheduler].record.processor_share, 2.0)

    async def test_a_grant_is_held_until_its_end(self) -> None:
        placed = await self.place()
        assert placed.choice is not None and placed.work is not None
        self.assertEqual(self.count_grants(self.scheduler), 1)
        placed.work.begin()
        placed.work.end()
        await self.deliver_datagrams()
        self.assertEqual(self.count_grants(self.scheduler), 0)

    async def test_the_scheduler_places_its_own_requests_without_a_datagram(self) -> None:
        self.simulation.sent.clear()
        placed = await self.place(self.scheduler)
        self.assertIsNotNone(placed.work)
        self.assertEqual(self.simulation.sent, [])
        self.assertEqual(self.count_grants(self.scheduler), 1)

    async def test_a_bound_stream_is_placed_at_its_software_only(self) -> None:
        """Guards against a scheduler that grants an endpoint at which a stream can't go on."""
        for name in (REQUESTER, self.scheduler):
            instance = self.simulation.instances[name]
            records = instance.fleet_state.endpoints.list_ready(POOL)
            versions = [f"v{number % 2}" for number in range(len(records))]
            changed = [
                replace(record, software_version=version)
                for record, version in zip(records, versions, strict=True)
            ]
            instance.fleet_state.apply_endpoints(
                EndpointSnapshot(records=changed, digest="d", store_time=self.simulation.now)
            )
        binding = StreamBinding(service=POOL, software_version="v1")
        for silent in (set(), {self.scheduler}):
            self.simulation.silent = silent
            for number in range(12):
                placed = await self.place(binding=binding, request_id=f"r{number}")
                assert placed.choice is not None
                self.assertEqual(placed.choice.record.software_version, "v1")
        lonely = StreamBinding(service=POOL, software_version="v9")
        self.assertIsNone((await self.place(binding=lonely)).choice)

    async def test_a_request_that_was_placed_locally_does_not_expire(self) -> None:
        """Guards against a slow connection that is given up for a grant that nobody gave."""
        self.simulation.silent = {self.scheduler}
        placed = await self.place()
        assert placed.work is not None
        self.assertFalse(placed.work.is_expired(now=self.simulation.now + 10.0))

    async def test_requests_of_all_instances_are_compared(self) -> None:
        """Engines are shared evenly although instances do not exchange their loads."""
        self.simulation = SchedulingSimulation(engines=8)
        chosen = []
        for name in list(self.simulation.instances)[:32]:
            placed = await self.place(name, prompt_parts=())
            assert placed.choice is not None
            chosen.append(placed.choice.record.endpoint_id)
        self.assertEqual(len(set(chosen)), 8)
        self.assertLessEqual(max(map(chosen.count, chosen)), 6)

    async def test_a_silent_scheduler_costs_one_short_wait(self) -> None:
        """The caller is served although the scheduler is dead and still listed as live.

        The query times out after a few hundredths of a second and the instance decides locally;
        after two such timeouts it queries the next candidate.
        """
        self.simulation.silent = {self.scheduler}
        loop = asyncio.get_running_loop()
        for _ in range(TIMEOUTS_BEFORE_BACKOFF):
            began = loop.time()
            placed = await self.place()
            self.assertIsNotNone(placed.choice)
            self.assertLess(loop.time() - began, 10 * MAX_TIMEOUT_S)
        successor = self.simulation.find_scheduler(REQUESTER)
        self.assertNotEqual(successor, self.scheduler)
        await self.place()
        self.assertEqual(self.count_grants(successor), TIMEOUTS_BEFORE_BACKOFF + 1)

    async def test_recovered_scheduler_is_used_again(self) -> None:
        self.simulation.silent = {self.scheduler}
        for _ in range(TIMEOUTS_BEFORE_BACKOFF):
            await self.place()
        self.simulation.silent = set()
        self.simulation.now += BACKOFF_S
        self.assertEqual(self.simulation.find_scheduler(REQUESTER), self.scheduler)

    async def test_late_grant_is_released(self) -> None:
        """A stalled scheduler replies seconds later; its grant does not stay counted.

        It receives the query and then the update that ends it from its socket, in this order.
        """
        self.simulation.pause(self.scheduler)
        placed = await self.place()
        self.assertIsNotNone(placed.choice)
        await self.deliver_datagrams()
        self.simulation.resume(self.scheduler)
        await self.deliver_datagrams()
        self.assertEqual(self.count_grants(self.scheduler), 1, "the one that it was told of")
        counters = self.simulation.instances[REQUESTER].counters.render()
        self.assertIn("late_replies_total 1", counters)

    async def test_a_reply_to_a_former_process_places_no_other_request(self) -> None:
        """Guards against a request that goes where one of the former process was to go.

        A scheduler is paused while an instance restarts. The new process numbers its queries like
        the former one, and the scheduler first replies to that one.
        """
        client = self.simulation.instances[REQUESTER].scheduling.client
        self.simulation.silent = {self.scheduler}
        query = make_query(client.next_number(), requester=REQUESTER)
        asking = asyncio.create_task(client.request_placement(query))
        await asyncio.sleep(0)
        client.receive_reply(
            PlacementReply(
                requester=replace(query.requester, incarnation=0),
                number=query.number,
                verdict=Verdict.GRANTED,
                endpoint_id="e0",
            )
        )
        self.assertIsNone(await asking)

    async def test_an_endpoint_of_another_service_is_not_used(self) -> None:
        """Guards against a request that runs at a service to which its route doesn't lead."""
        instance = self.simulation.instances[REQUESTER]
        other = build_endpoint("a0", service="annex", slots=8)
        instance.apply_endpoints([*self.simulation.engines, other], reading=2.0)
        client = instance.scheduling.client
        reply = PlacementReply(
            requester=client.requester, number=1, verdict=Verdict.GRANTED, endpoint_id="a0"
        )
        scheduled = ScheduledReply(reply=reply, scheduler=self.scheduler, took_s=0.0)
        answer = mock.AsyncMock(return_value=scheduled)
        with mock.patch.object(type(client), "request_placement", answer):
            placed = await self.place()
        assert placed.choice is not None
        self.assertEqual(placed.choice.record.service, POOL)

    async def test_new_scheduler_receives_running_work(self) -> None:
        """Engines are not overloaded when the scheduler dies.

        Requests that it granted still run. The instances that sent them report them to its
        successor before their first query.
        """
        for _ in range(3):
            await self.place()
        await self.place(OTHER)
        self.simulation.silent = {self.scheduler}
        self.simulation.now += 4.0
        self.simulation.exchange_heartbeats()
        successor = self.simulation.find_scheduler(REQUESTER)
        self.assertNotEqual(successor, self.scheduler)
        await self.place()
        self.assertEqual(self.count_grants(successor), 4)
        self.simulation.instances[OTHER].scheduling.client.report()
        await self.deliver_datagrams()
        self.assertEqual(self.count_grants(successor), 5)

    async def test_two_schedulers_at_once_each_count_their_own(self) -> None:
        """Requests are served while instances disagree on the scheduler.

        One instance does not know of an instance that has just started with a larger processor
        share, so the group has two schedulers. Each counts its own grants, and both receive the
        ends.
        """
        instance = self.simulation.instances[OTHER]
        instance.scheduling.client.directory.record_timeout(self.scheduler, now=self.simulation.now)
        instance.scheduling.client.directory.record_timeout(self.scheduler, now=self.simulation.now)
        second = self.simulation.find_scheduler(OTHER)
        self.assertNotEqual(second, self.scheduler)
        first_placed, second_placed = await self.place(), await self.place(OTHER)
        self.assertEqual([self.count_grants(name) for name in (self.scheduler, second)], [1, 1])
        for placed in (first_placed, second_placed):
            assert placed.work is not None
            placed.work.end()
        await self.deliver_datagrams()
        self.assertEqual([self.count_grants(name) for name in (self.scheduler, second)], [0, 0])

    async def test_endpoint_unknown_to_the_requester_is_not_used(self) -> None:
        """No request goes to an engine that is missing from the requester's endpoint table.

        The scheduler has not read the newer table yet and grants the removed engine.
        """
        instance = self.simulation.instances[REQUESTER]
        gone = (await self.place()).choice
        assert gone is not None
        remaining = [
            one for one in self.simulation.engines if one.endpoint_id != gone.record.endpoint_id
        ]
        instance.apply_endpoints(remaining, reading=2.0)
        placed = await self.place()
        assert placed.choice is not None
        self.assertNotEqual(placed.choice.record.endpoint_id, gone.record.endpoint_id)
        await self.deliver_datagrams()
        self.assertEqual(self.count_grants(self.scheduler), 2, "the refused grant is given back")

    async def test_cancelled_query_releases_its_grant(self) -> None:
        asking = asyncio.create_task(self.place())
        await asyncio.sleep(0)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await self.deliver_datagrams()
        self.assertEqual(self.count_grants(self.scheduler), 0)

    async def test_stalled_requester_does_not_use_an_expired_grant(self) -> None:
        """An engine is not overloaded by an instance that resumes after its grants were dropped."""
        placed = await self.place()
        assert placed.work is not None
        self.assertFalse(placed.work.is_expired(now=self.simulation.now + GRANT_VALID_S))
        self.assertLess(GRANT_VALID_S, LEASE_S)
        self.assertTrue(placed.work.is_expired(now=self.simulation.now + LEASE_S))

    async def test_instances_without_a_reachable_scheduler_still_place_requests(self) -> None:
        self.simulation.silent = {name for name in self.simulation.instances if int(name[1:]) < 20}
        placed = await self.place()
        self.assertIsNotNone(placed.choice)

    async def test_an_engine_that_crashed_holds_no_grants(self) -> None:
        placed = [await self.place() for _ in range(3)]
        for one in placed:
            assert one.work is not None
            one.work.end(failure_weight=1.0)
        await self.deliver_datagrams()
        self.assertEqual(self.count_grants(self.scheduler), 0)

    async def test_full_group_rejects(self) -> None:
        placed = await self.place(prompt_parts=(), prompt_tokens=40_000)
        while placed.rejection is None:
            placed = await self.place(prompt_parts=(), prompt_tokens=40_000)
        self.assertIsInstance(placed.rejection, Rejection)

    async def test_a_stream_that_has_begun_is_not_rejected_for_want_of_room(self) -> None:
        """Guards against streams that hardly ever go on, as few engines run their software."""
        binding = StreamBinding(service=POOL, software_version="v1")
        for silent in (set(), {self.scheduler}):
            self.simulation.silent = silent
            placed = await self.place(prompt_parts=(), prompt_tokens=40_000)
            while placed.rejection is None:
                placed = await self.place(prompt_parts=(), prompt_tokens=40_000)
            placed = await self.place(prompt_parts=(), prompt_tokens=40_000, binding=binding)
            self.assertIsNone(placed.rejection)
            self.assertIsNotNone(placed.choice)


if __name__ == "__main__":
    unittest.main()
