"""Tests of the scheduler of a group of endpoints: its decisions and the work that it counts."""

from __future__ import annotations

import unittest
from random import Random

from guavamast.relay.endpoint_groups import MAX_MEAN_GROUP_SIZE, EndpointGroups, count_groups
from guavamast.relay.endpoint_load import Load
from guavamast.relay.endpoint_table import EndpointTable
from guavamast.relay.requester import Requester
from guavamast.relay.scheduled_work import LEASE_S, UNCONFIRMED_GRANT_S
from guavamast.relay.scheduler import LEARNING_S, GroupScheduler, ServiceParameters
from guavamast.relay.scheduling_messages import (
    PlacedWork,
    PlacementReply,
    Verdict,
    WorkPhase,
    WorkReport,
    WorkUpdate,
)
from tests.relay_fixtures import PROFILE, build_endpoint
from tests.scheduling_simulation import GROUP, KV_CAPACITY_TOKENS, POOL, make_query

PARAMETERS = ServiceParameters(
    profile=PROFILE, kv_capacity_tokens=KV_CAPACITY_TOKENS, shortest_pause_s=0.6
)
BEGAN = 50.0
NOW = 100.0


class SchedulerTest(unittest.TestCase):
    """All instances query one scheduler, which counts each request at once."""

    def setUp(self) -> None:
        self.scheduler = GroupScheduler(random=Random(1), now=BEGAN)
        self.engines = [build_endpoint(f"e{number}", service=POOL, slots=8) for number in range(4)]

    def decide(self, number: int, *, now: float = NOW, **changes: object) -> PlacementReply:
        query = make_query(number, **changes)
        return self.scheduler.decide(query, self.engines, PARAMETERS, now=now)

    def update(
        self, number: int, phase: WorkPhase, *, requester: str = "i1", **changes: float
    ) -> None:
        update = WorkUpdate(
            requester=Requester(instance=requester, incarnation=1),
            group=GROUP,
            number=number,
            phase=phase,
            **changes,
        )
        self.scheduler.work.apply_update(update, now=NOW)

    def report(self, *works: PlacedWork, now: float = NOW, incarnation: int = 1) -> None:
        requester = Requester(instance="i1", incarnation=incarnation)
        self.scheduler.work.apply_report(
            WorkReport(requester=requester, group=GROUP, works=works), now=now
        )

    def sum_loads(self) -> Load:
        total = Load()
        for engine in self.engines:
            total.add(self.scheduler.work.loads.sum_up(engine.endpoint_id))
        return total

    def test_simultaneous_requests_of_many_instances_spread(self) -> None:
        """Forty prompts without a shared part arrive at forty instances within a millisecond."""
        self.engines = [build_endpoint(f"e{one}", service=POOL, slots=64) for one in range(4)]
        for number in range(40):
            reply = self.decide(number, requester=f"i{number}", prompt_parts=(), objective_s=1.0)
            self.assertIs(reply.verdict, Verdict.GRANTED)
        counts = [
            self.scheduler.work.loads.sum_up(one.endpoint_id).requests for one in self.engines
        ]
        self.assertLessEqual(max(counts) - min(counts), 2)

    def test_work_counts_until_its_end(self) -> None:
        self.decide(1)
        self.assertEqual(self.sum_loads().prefill_tokens, 1_000)
        self.update(1, WorkPhase.RUNNING)
        self.assertEqual(self.sum_loads(), Load(requests=1, kv_tokens=1_200))
        self.update(1, WorkPhase.ENDED)
        self.update(1, WorkPhase.ENDED)
        self.assertEqual(self.sum_loads(), Load())

    def test_rejected_request_is_not_counted(self) -> None:
        number = 0
        reply = self.decide(number, prompt_tokens=20_000, prompt_parts=())
        while reply.verdict is Verdict.GRANTED:
            number += 1
            reply = self.decide(number, prompt_tokens=20_000, prompt_parts=())
        self.assertIs(reply.verdict, Verdict.REFUSED)
        self.assertGreater(reply.retry_after_s, 0.0)
        self.assertEqual(self.sum_loads().requests, number)

    def test_lease_of_a_dead_requester_expires(self) -> None:
        """Callers are not rejected because of grants that are never used.

        A process ends between the grant and the send; its grants are dropped after the lease.
        """
        self.decide(1, requester="i1")
        self.decide(1, requester="i2", now=NOW + LEASE_S)
        self.assertEqual(self.scheduler.work.drop_expired(now=NOW + LEASE_S + 0.1), 1)
        self.assertEqual(self.sum_loads().requests, 1)

    def test_next_incarnation_of_a_requester_replaces_its_work(self) -> None:
        self.decide(1)
        self.report(incarnation=2)
        self.assertEqual(self.sum_loads(), Load())

    def test_report_corrects_a_lost_end(self) -> None:
        self.decide(1)
        self.report(now=NOW + 0.5)
        self.assertEqual(self.sum_loads().requests, 1, "the report may have crossed the grant")
        self.report(now=NOW + UNCONFIRMED_GRANT_S + 0.1)
        self.assertEqual(self.sum_loads(), Load())

    def test_a_new_scheduler_learns_from_reports(self) -> None:
        """A scheduler that takes over does not overload engines that are already full.

        The previous one has died. Each instance reports its work at the engines to the new one,
        which then applies later updates as if it had granted the work itself.
        """
        scheduler = self.scheduler = GroupScheduler(random=Random(1), now=NOW)
        work = PlacedWork(
            number=7,
            endpoint_id="e0",
            phase=WorkPhase.WAITING,
            shared_part="shared",
            uncached_tokens=900,
            kv_tokens=1_200,
            pause_sensitive=False,
            organisation="",
            precedence=0,
        )
        self.report(work)
        self.assertEqual(
            scheduler.work.loads.sum_up("e0"),
            Load(requests=1, prefill_tokens=900, kv_tokens=1_200),
        )
        self.assertTrue(self.decide(8, requester="i2").learning)
        self.assertFalse(self.decide(9, requester="i2", now=NOW + LEARNING_S).learning)
        self.assertEqual(self.sum_loads().requests, 3)
        self.update(7, WorkPhase.RUNNING)
        self.update(7, WorkPhase.ENDED)
        self.assertEqual(self.sum_loads().requests, 2)

    def test_report_restores_cached_prompt_parts(self) -> None:
        """A prompt goes to the engine with its cached parts although its scheduler has changed."""
        work = PlacedWork(
            number=7,
            endpoint_id="e2",
            phase=WorkPhase.ENDED,
            shared_part="shared",
            uncached_tokens=900,
            kv_tokens=1_200,
            pause_sensitive=False,
            organisation="",
            precedence=0,
        )
        self.report(work)
        self.assertEqual(self.sum_loads(), Load())
        self.assertEqual(self.decide(8, requester="i2").endpoint_id, "e2")

    def test_failure_of_one_instance_affects_requests_of_others(self) -> None:
        first = self.decide(1).endpoint_id
        self.update(1, WorkPhase.ENDED, failure_weight=6.0)
        self.assertNotEqual(self.decide(2, requester="i2").endpoint_id, first)

    def test_failures_of_one_instance_do_not_exclude_an_endpoint(self) -> None:
        """Requests still go to an engine that only one instance cannot reach.

        That instance is cut off from all engines and reports a failure of each. Its reports weigh
        less than a cached prompt and a few waiting requests, and expire within seconds.
        """
        for number in range(12):
            endpoint_id = self.decide(number, requester="cut").endpoint_id
            self.update(number, WorkPhase.ENDED, requester="cut", failure_weight=6.0)
            self.assertLessEqual(self.scheduler.work.loads.read_failures(endpoint_id, now=NOW), 8.0)
        self.assertIs(self.decide(99, requester="i2").verdict, Verdict.GRANTED)

    def test_verdict_is_unknown_without_candidates(self) -> None:
        excluded = tuple(one.endpoint_id for one in self.engines)
        self.assertIs(self.decide(1, excluded=excluded).verdict, Verdict.UNKNOWN)


class UrgencyTest(unittest.TestCase):
    """Less urgent requests leave KV cache for the most urgent ones."""

    def test_long_prompts_leave_kv_cache_for_urgent_requests(self) -> None:
        """An urgent short prompt starts although long prompts fill the engines.

        Long prompts are granted until their share of the KV cache is used, and rejected from then
        on. The short prompt still fits, and no engine has to preempt it.
        """
        scheduler = GroupScheduler(random=Random(1), now=BEGAN)
        engine = build_endpoint("e", service=POOL, slots=64)
        long_prompt = {
            "prompt_parts": (),
            "prompt_tokens": 3_000,
            "latency_tolerant": True,
            "objective_s": 60.0,
        }
        number = 0
        verdict = Verdict.GRANTED
        while verdict is Verdict.GRANTED:
            number += 1
            query = make_query(number, most_urgent=False, **long_prompt)
            verdict = scheduler.decide(query, [engine], PARAMETERS, now=NOW).verdict
            scheduler.work.apply_update(
                WorkUpdate(
                    requester=query.requester, group=GROUP, number=number, phase=WorkPhase.RUNNING
                ),
                now=NOW,
            )
        self.assertIs(verdict, Verdict.REFUSED)
        urgent = scheduler.decide(make_query(999, requester="i2"), [engine], PARAMETERS, now=NOW)
        self.assertIs(urgent.verdict, Verdict.GRANTED)
        self.assertLessEqual(scheduler.work.loads.sum_up("e").kv_tokens, KV_CAPACITY_TOKENS)


class GroupsTest(unittest.TestCase):
    """Endpoints are partitioned into groups that are the same on all instances."""

    def setUp(self) -> None:
        self.table = EndpointTable()
        self.groups = EndpointGroups(table=self.table)

    def list_groups(self, number: int) -> dict[str, set[str]]:
        records = [build_endpoint(f"e{one}", service=POOL) for one in range(number)]
        self.table.apply(records, digest=str(number), recovering=False)
        names = self.groups.rank(POOL, "key")
        return {
            name: {one.endpoint_id for one in self.groups.list_members(POOL, name)}
            for name in names
        }

    def test_few_endpoints_are_one_group(self) -> None:
        self.assertEqual(list(self.list_groups(MAX_MEAN_GROUP_SIZE)), [GROUP])

    def test_each_endpoint_is_in_one_group(self) -> None:
        groups = self.list_groups(400)
        self.assertEqual(len(groups), count_groups(400))
        self.assertEqual(sum(map(len, groups.values())), 400)
        record = self.table.find("e7")
        assert record is not None
        self.assertIn("e7", groups[self.groups.find_group(record)])

    def test_added_endpoint_moves_no_other(self) -> None:
        before = self.list_groups(100)
        after = self.list_groups(101)
        for name, members in before.items():
            self.assertEqual(members, after[name] - {"e100"})


if __name__ == "__main__":
    unittest.main()
