"""Property tests of scheduling: in any order of messages, no engine's KV cache is exceeded."""

from __future__ import annotations

import os
import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.placement.engine_forecast import LESS_URGENT_KV_SHARE, MOST_URGENT_KV_SHARE
from guavamast.relay.placement.engine_memory import URGENT_MEMORY_SHARE, MemoryReserve
from guavamast.relay.placement.obstacle import Obstacle, ObstacleKind
from guavamast.relay.requester import Requester
from guavamast.relay.scheduler import LEARNING_S, GroupScheduler, ServiceParameters
from guavamast.relay.scheduling_messages import (
    PlacedWork,
    PlacementQuery,
    PlacementReply,
    Verdict,
    WorkPhase,
    WorkReport,
    WorkUpdate,
)
from guavamast.relay.scheduling_wire import (
    decode_scheduling,
    encode_scheduling,
)
from tests.relay_fixtures import PROFILE, build_endpoint
from tests.scheduling_simulation import GROUP, KV_CAPACITY_TOKENS, POOL, make_query

EXAMPLES = int(os.environ.get("GUAVAMAST_EXAMPLES", "100"))
PARAMETERS = ServiceParameters(
    profile=PROFILE, kv_capacity_tokens=KV_CAPACITY_TOKENS, shortest_pause_s=0.6
)
ENGINES = [build_endpoint(f"e{number}", service=POOL, slots=8) for number in range(2)]

event_lists = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(10_000, 60_000), st.booleans()),
        st.tuples(st.just("ask"), st.integers(100, 10_000), st.booleans()),
        st.tuples(st.just("run"), st.integers(0, 60), st.none()),
        st.tuples(st.just("end"), st.integers(0, 60), st.none()),
        st.tuples(st.just("report"), st.integers(0, 2), st.none()),
        st.tuples(st.just("wait"), st.integers(1, 2_000), st.none()),
    ),
    min_size=12,
    max_size=60,
)


class MemoryTest(unittest.TestCase):
    """Engines never have to preempt a request for lack of KV cache."""

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(event_lists)
    def test_grants_never_exceed_kv_cache(self, events: list) -> None:
        """Requests of three instances arrive, run, end and are reported in any order.

        The granted requests count as running, so no generated report omits any of them: an instance
        always reports all its work.
        """
        scheduler = GroupScheduler(random=Random(1), now=0.0)
        now = LEARNING_S + 1.0
        running: dict[int, tuple[PlacementQuery, str]] = {}
        number = 0
        for kind, value, first in events:
            if kind == "ask":
                number += 1
                query = make_query(
                    number,
                    requester=f"i{number % 3}",
                    prompt_parts=(),
                    prompt_tokens=value,
                    most_urgent=first,
                    objective_s=60.0,
                )
                reply = scheduler.decide(query, ENGINES, PARAMETERS, now=now)
                if reply.verdict is Verdict.GRANTED:
                    running[number] = (query, reply.endpoint_id)
                    self.check_kv_limit(running, reply.endpoint_id, first=first)
            elif kind == "wait":
                now += value / 1000.0
                for place in range(3):
                    self.report(scheduler, running, place, now)
            elif kind == "report":
                self.report(scheduler, running, value, now)
            elif value in running:
                query, _ = running[value]
                ended = kind == "end"
                phase = WorkPhase.ENDED if ended else WorkPhase.RUNNING
                update = WorkUpdate(
                    requester=query.requester, group=GROUP, number=value, phase=phase
                )
                scheduler.work.apply_update(update, now=now)
                if ended:
                    del running[value]

    def check_kv_limit(
        self, running: dict[int, tuple[PlacementQuery, str]], endpoint_id: str, *, first: bool
    ) -> None:
        taken = sum(
            query.prompt_tokens + query.output_tokens
            for query, place in running.values()
            if place == endpoint_id
        )
        share = MOST_URGENT_KV_SHARE if first else LESS_URGENT_KV_SHARE
        self.assertLessEqual(taken, share * KV_CAPACITY_TOKENS)

    def report(
        self,
        scheduler: GroupScheduler,
        running: dict[int, tuple[PlacementQuery, str]],
        instance_number: int,
        now: float,
    ) -> None:
        report = build_report(running, instance_number)
        decoded = decode_scheduling(encode_scheduling(report))
        self.assertEqual(decoded, report)
        scheduler.work.apply_report(report, now=now)


crossing_events = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.integers(100, 30_000)),
        st.tuples(st.just("prepare"), st.integers(0, 2)),
        st.tuples(st.just("deliver"), st.integers(0, 10)),
        st.tuples(st.just("end"), st.integers(0, 60)),
        st.tuples(st.just("wait"), st.integers(1, 900)),
    ),
    min_size=20,
    max_size=120,
)


class CrossingTest(unittest.TestCase):
    """A scheduler never grants beyond its limit when grants and reports cross."""

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(crossing_events)
    def test_delayed_reports_never_free_running_work(self, events: list) -> None:
        """Guards against memory that is granted twice as a report from before the grant came late.

        One report of each instance at a time is under way, as long as it takes. Prompts share a
        part, which is counted in full all the same: an engine may have dropped it, as nothing pins
        it in its cache.
        """
        self.play(events, memory=MemoryReserve())

    def test_a_report_that_took_longer_than_the_confirmation_frees_nothing(self) -> None:
        """Guards against the loss of the second missing report."""
        events = [("prepare", 0), ("prepare", 1), ("prepare", 2)]
        events += [("ask", 30_000)] * 12 + [("wait", 900), ("wait", 900)]
        events += [("deliver", 0)] * 3 + [("ask", 30_000)] * 12
        self.play(events, memory=MemoryReserve())
        with self.assertRaises(AssertionError):
            self.play(events, memory=None)

    def play(self, events: list, *, memory: MemoryReserve | None) -> None:
        """Apply events, and check what the engines hold after each grant."""
        scheduler = GroupScheduler(random=Random(1), now=0.0, memory=memory)
        now = LEARNING_S + 1.0
        running: dict[int, tuple[PlacementQuery, str]] = {}
        under_way: dict[int, WorkReport] = {}
        number = 0
        for kind, value in events:
            if kind == "ask":
                number += 1
                query = make_query(
                    number, requester=f"i{number % 3}", prompt_tokens=value, objective_s=60.0
                )
                reply = scheduler.decide(query, ENGINES, PARAMETERS, now=now)
                if reply.verdict is Verdict.GRANTED:
                    running[number] = (query, reply.endpoint_id)
                    self.check_held(running)
            elif kind == "prepare":
                under_way.setdefault(value, build_report(running, value))
            elif kind == "deliver" and value in under_way:
                scheduler.work.apply_report(under_way.pop(value), now=now)
            elif kind == "wait":
                now += value / 1000.0
            elif kind == "end" and value in running:
                query, _ = running.pop(value)
                update = WorkUpdate(
                    requester=query.requester, group=GROUP, number=value, phase=WorkPhase.ENDED
                )
                scheduler.apply_update(update, now=now)

    def check_held(self, running: dict[int, tuple[PlacementQuery, str]]) -> None:
        for engine in ENGINES:
            held = sum(
                query.prompt_tokens + query.output_tokens
                for query, place in running.values()
                if place == engine.endpoint_id
            )
            self.assertLessEqual(held, URGENT_MEMORY_SHARE * KV_CAPACITY_TOKENS)


def build_report(
    running: dict[int, tuple[PlacementQuery, str]], instance_number: int
) -> WorkReport:
    """Return the report of an instance on all that it runs."""
    requester = Requester(instance=f"i{instance_number}", incarnation=1)
    works = tuple(
        PlacedWork(
            number=number,
            endpoint_id=endpoint_id,
            phase=WorkPhase.WAITING,
            shared_part=None,
            uncached_tokens=query.prompt_tokens,
            kv_tokens=query.prompt_tokens + query.output_tokens,
            pause_sensitive=False,
            organisation="",
            precedence=0,
        )
        for number, (query, endpoint_id) in running.items()
        if query.requester == requester
    )
    return WorkReport(requester=requester, group=GROUP, works=works)


class WireTest(unittest.TestCase):
    """Messages survive encoding; any other datagram is rejected."""

    @given(data=st.binary(max_size=100))
    def test_malformed_datagram_is_rejected(self, data: bytes) -> None:
        with self.assertRaises(MalformedData):
            decode_scheduling(b"s" + data)

    def test_messages_round_trip(self) -> None:
        scheduler = GroupScheduler(random=Random(1), now=0.0)
        query = make_query(5, excluded=("e1",), most_urgent=False)
        self.assertEqual(decode_scheduling(encode_scheduling(query)), query)
        fast = PlacementReply(
            requester=query.requester,
            number=6,
            verdict=Verdict.GRANTED,
            endpoint_id="e",
            speed=1.73,
        )
        self.assertEqual(decode_scheduling(encode_scheduling(fast)), fast)
        reply = scheduler.decide(query, ENGINES, PARAMETERS, now=9.0)
        decoded = decode_scheduling(encode_scheduling(reply))
        self.assertEqual(
            (decoded.number, decoded.verdict, decoded.endpoint_id),
            (reply.number, reply.verdict, reply.endpoint_id),
        )
        obstacle = Obstacle(kind=ObstacleKind.CLAIM, precedence=3, waiting=2, engines=6)
        refused = PlacementReply(
            requester=query.requester, number=6, verdict=Verdict.REFUSED, obstacle=obstacle
        )
        self.assertEqual(decode_scheduling(encode_scheduling(refused)), refused)
        update = WorkUpdate(requester=query.requester, group=GROUP, number=5, phase=WorkPhase.ENDED)
        self.assertEqual(decode_scheduling(encode_scheduling(update)), update)


if __name__ == "__main__":
    unittest.main()
