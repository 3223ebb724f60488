"""Tests of the relay's decisions: gate, routes, endpoints, repeats, reads and addresses."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.admission import ComeBack, admit
from guavamast.relay.attempt_budget import AttemptBudget, BudgetTerms
from guavamast.relay.beats import Beat, InstanceState, MalformedBeat, decode_beat, encode_beat
from guavamast.relay.caller_addresses import CallerPlace, choose_addresses
from guavamast.relay.caller_gate import Admitted, CallerGate, Denied
from guavamast.relay.catalog import CallerOrganisation, Catalog, WeightedService
from guavamast.relay.endpoint_choice import EndpointChooser, Placement
from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.endpoint_table import EndpointTable
from guavamast.relay.engine_model import Forecast, forecast
from guavamast.relay.event_framing import EventFraming
from guavamast.relay.freshness import Proof
from guavamast.relay.peers import MISSED_BEATS, READER_KEY, Peers, compute_beat_interval
from guavamast.relay.prompt_cache import PromptCache, PromptSend
from guavamast.relay.prompt_lanes import LANES, Demand, PromptDemand, assign_lanes, find_lane
from guavamast.relay.read_schedule import LAST_RANK, READ_INTERVAL_S, STEP_IN_S, ReadSchedule
from guavamast.relay.store import InstanceRecord
from guavamast.rendezvous import rank
from tests.relay_facts import make_catalog, make_endpoint, make_parts, make_request, make_route

SHARES = (0.2, 0.2, 0.6)


class CatalogTest(unittest.TestCase):
    """Routes are found by host and longest prefix."""

    def test_longest_prefix_wins(self) -> None:
        short = make_route(name="short", path_prefix="/a/")
        long = make_route(name="long", path_prefix="/a/b/")
        catalog = make_catalog(short, long)
        self.assertEqual(catalog.find_route("portal.example:80", "/a/b/c"), long)
        self.assertEqual(catalog.find_route("PORTAL.example", "/a/b"), short)
        self.assertIsNone(catalog.find_route("portal.example", "/a"))
        self.assertIsNone(catalog.find_route("other.example", "/a/b/"))

    def test_split_follows_the_weights_and_the_request(self) -> None:
        services = (
            WeightedService(service="x", weight=90.0),
            WeightedService(service="y", weight=10.0),
        )
        route = make_route(services=services)
        picks = [route.pick_service(f"r{number}") for number in range(2000)]
        self.assertEqual(picks, [route.pick_service(f"r{number}") for number in range(2000)])
        self.assertAlmostEqual(picks.count("y") / 2000, 0.1, delta=0.03)


class CallerGateTest(unittest.TestCase):
    """Requests are judged by a configuration only while it is proved recent enough."""

    def setUp(self) -> None:
        self.gate = CallerGate(revocation_s=5.0)

    def decide(self, age_s: float, **changes: object) -> Admitted | Denied:
        return self.gate.decide(make_request(**changes), make_catalog(), age_s=age_s)

    def test_no_configuration_defers(self) -> None:
        decision = self.gate.decide(make_request(), None, age_s=0.0)
        assert isinstance(decision, Denied)
        self.assertEqual(decision.status, 503)

    def test_key_is_not_accepted_when_it_may_have_been_revoked(self) -> None:
        """The caller of an instance that is cut off gets 503 with a time to come back.

        The store falls silent, an operator revokes the key, and after five seconds it must not
        work. The instance can't know, so it stops accepting keys before that.
        """
        self.assertIsInstance(self.decide(4.2), Admitted)
        decision = self.decide(4.4)
        assert isinstance(decision, Denied)
        self.assertEqual(decision.status, 503)
        self.assertIsNotNone(decision.retry_after_s)

    def test_unknown_is_said_by_a_recent_configuration_alone(self) -> None:
        for changes, status in (({"api_key": "bad"}, 401), ({"target": "/none/"}, 404)):
            recent = self.decide(1.0, **changes)
            old = self.decide(2.0, **changes)
            assert isinstance(recent, Denied) and isinstance(old, Denied)
            self.assertEqual((recent.status, old.status), (status, 503))

    @given(age_s=st.floats(min_value=0.0, max_value=100.0), key=st.sampled_from(["good", "bad"]))
    def test_never_admits_a_key_beyond_the_bound(self, age_s: float, key: str) -> None:
        decision = self.decide(age_s, api_key=key)
        if isinstance(decision, Admitted):
            self.assertEqual(key, "good")
            self.assertLess(age_s, 5.0)


class EndpointTableTest(unittest.TestCase):
    """Endpoints that are gone get nothing; those that lapsed with the store stay."""

    def setUp(self) -> None:
        self.table = EndpointTable()
        first = [make_endpoint("x"), make_endpoint("y"), make_endpoint("z", ready=False)]
        self.table.apply(first, digest="1", returning=False)

    def list_ready(self) -> list[str]:
        return [record.endpoint_id for record in self.table.list_ready("portal")]

    def test_missing_and_leaving_endpoints_get_nothing(self) -> None:
        self.table.apply([make_endpoint("x", ready=False)], digest="2", returning=False)
        self.assertEqual(self.list_ready(), [])

    def test_lapsed_endpoints_stay_until_they_had_time_to_return(self) -> None:
        """Callers are served right after an outage of the store.

        All entries lapse while it is away; the first listing is empty although the endpoints live.
        """
        self.table.apply([], digest="2", returning=True)
        self.assertEqual(self.list_ready(), ["x", "y"])
        self.assertTrue(self.table.has_lapsed)
        self.table.apply([make_endpoint("y")], digest="3", returning=False)
        self.assertEqual(self.list_ready(), ["y"])

    def test_an_endpoint_that_was_leaving_does_not_stay(self) -> None:
        self.table.apply([], digest="2", returning=True)
        self.assertIsNone(self.table.find("z"))


class EndpointChoiceTest(unittest.TestCase):
    """Prompts go where they are cached, unless load or failures outweigh it."""

    def setUp(self) -> None:
        self.loads = EndpointLoads()
        self.endpoints = [make_endpoint(f"e{number}", slots=64) for number in range(5)]
        parts = make_parts(("common", 500), ("session", 4800), ("own", 900))
        self.placement = Placement(
            prompt_parts=parts,
            prompt_tokens=6200,
            failure_domain="a",
            lane=2,
            lane_shares=SHARES,
            output_tokens=300,
            memory_tokens=600_000,
        )
        self.cache = PromptCache()

    def choose(self, exclude: frozenset[str] = frozenset(), seed: int = 0) -> str | None:
        chooser = EndpointChooser(loads=self.loads, cache=self.cache, random=Random(seed))
        choice = chooser.choose(self.placement, self.endpoints, exclude=exclude, now=10.0)
        return choice.record.endpoint_id if choice else None

    def test_a_session_stays_at_one_endpoint(self) -> None:
        self.assertEqual(len({self.choose(seed=seed) for seed in range(20)}), 1)

    def test_a_session_goes_where_another_instance_has_sent_it(self) -> None:
        home = self.choose()
        lanes = assign_lanes(self.endpoints, SHARES)
        other = next(name for name, lane in lanes.items() if lane == 2 and name != home)
        send = PromptSend(number=1, endpoint_id=other, part_id="session", tokens=6200)
        self.cache.take_peer("peer", 1, [send])
        self.assertEqual(self.choose(), other)

    def test_a_failing_endpoint_loses_even_its_own_sessions(self) -> None:
        home = self.choose()
        assert home is not None
        self.loads.record_failure(home, weight=1.0, now=10.0)
        self.assertNotEqual(self.choose(), home)

    def test_an_endpoint_is_tried_once(self) -> None:
        home = self.choose()
        assert home is not None
        self.assertNotEqual(self.choose(frozenset((home,))), home)
        everyone = frozenset(record.endpoint_id for record in self.endpoints)
        self.assertIsNone(self.choose(everyone))

    def test_failures_fade(self) -> None:
        self.loads.record_failure("e0", weight=4.0, now=0.0)
        self.assertAlmostEqual(self.loads.read_failures("e0", now=4.0), 1.0)

    def test_work_of_others_counts_until_they_are_gone(self) -> None:
        self.loads.take_peer("other", {"e0": Load(requests=3, prefill_tokens=900)})
        work = self.loads.begin("e0", prefill_tokens=100, memory_tokens=0)
        self.assertEqual(self.loads.sum_up("e0"), Load(requests=4, prefill_tokens=1000))
        work.end()
        work.end()
        self.loads.keep_peers(set())
        self.assertEqual(self.loads.sum_up("e0"), Load())


class PromptCacheTest(unittest.TestCase):
    """An engine keeps a part until it has read as much as its memory holds."""

    def setUp(self) -> None:
        self.cache = PromptCache()
        self.parts = make_parts(("common", 500), ("session", 4800))

    def count(self) -> int:
        return self.cache.count_cached("e", self.parts, memory_tokens=100_000)

    def test_least_recently_used_parts_yield(self) -> None:
        self.cache.record("e", "session", 5300, now=0.0)
        self.assertEqual(self.count(), 5300)
        self.cache.record("e", "other", 59_000, now=0.0)
        self.assertEqual(self.count(), 5300)
        self.cache.record("e", "another", 2000, now=0.0)
        self.assertEqual(self.count(), 0)

    def test_a_send_told_again_counts_once(self) -> None:
        self.cache.record("x", "session", 5300, now=0.0)
        self.cache.record("x", "session", 0, now=0.3)
        told = self.cache.list_recent(now=0.5)
        other = PromptCache()
        for _ in range(3):
            other.take_peer("peer", 1, told)
        other.take_peer("peer", 1, [PromptSend(number=3, endpoint_id="x", part_id="p", tokens=60)])
        self.assertEqual(other.count_cached("x", self.parts, memory_tokens=100), 0)
        self.assertEqual(other.count_cached("x", self.parts, memory_tokens=101), 5300)
        self.assertEqual(len(self.cache.list_recent(now=0.7)), 1)

    def test_a_restarted_instance_counts_from_its_start(self) -> None:
        send = PromptSend(number=5, endpoint_id="e", part_id="session", tokens=10)
        again = PromptSend(number=1, endpoint_id="e", part_id="common", tokens=10)
        self.cache.take_peer("peer", 1, [send])
        self.cache.take_peer("peer", 2, [again])
        self.assertEqual(self.cache.count_cached("e", self.parts[:1], memory_tokens=1000), 500)

    def test_engines_that_are_gone_keep_nothing(self) -> None:
        self.cache.record("e", "session", 10, now=0.0)
        self.cache.keep_only(set())
        self.assertEqual(self.count(), 0)


class PromptLanesTest(unittest.TestCase):
    """Prompts of unlike length keep engines of their own, by the share of their work.

    The pattern: long prompts double for some seconds; each takes an engine 100 ms and more to read,
    and the answers to short questions, due in 300 ms, wait behind several of them.
    """

    def setUp(self) -> None:
        self.endpoints = [make_endpoint(f"e{number}", slots=64) for number in range(9)]

    @given(
        count=st.integers(min_value=0, max_value=30),
        work=st.lists(st.floats(min_value=0.0, max_value=1e9), min_size=LANES, max_size=LANES),
    )
    def test_each_engine_has_one_lane(self, count: int, work: list[float]) -> None:
        demand = PromptDemand()
        demand.take_peer("x", Demand(work_ms=tuple(work)))
        endpoints = [make_endpoint(f"e{number}") for number in range(count)]
        lanes = assign_lanes(endpoints, demand.compute_shares())
        self.assertEqual(set(lanes), {record.endpoint_id for record in endpoints})

    def test_prompts_that_are_due_soon_stay_out_of_the_lane_of_patient_ones(self) -> None:
        self.assertEqual(find_lane(800, objective_s=2.0), 0)
        self.assertEqual(find_lane(6_000, objective_s=2.0), 2)
        self.assertEqual(find_lane(6_000, objective_s=0.4), 1)

    def test_like_shares_move_one_engine_at_a_border_at_most(self) -> None:
        before = assign_lanes(self.endpoints, (0.30, 0.2, 0.50))
        after = assign_lanes(self.endpoints, (0.35, 0.2, 0.45))
        moved = [name for name, lane in before.items() if after[name] != lane]
        self.assertLessEqual(len(moved), 2)
        self.assertTrue(all(abs(after[name] - before[name]) == 1 for name in moved))

    def test_demand_of_all_instances_counts_and_fades(self) -> None:
        demand = PromptDemand()
        demand.record(2, 9_000, 0, now=0.0)
        self.assertEqual(demand.compute_shares(), (0.0, 0.0, 1.0))
        demand.take_peer("x", Demand(work_ms=(100.0, 0.0, 0.0)))
        self.assertAlmostEqual(demand.compute_shares()[0], 0.6)
        self.assertAlmostEqual(demand.read_own(now=8.0).work_ms[2], 50.0)

    def send_long_prompts(self, count: int, *, running: int) -> dict[str, int]:
        """Send long prompts at once; return how many each lane's engines got, by lane.

        Args:
            count: Prompts, 12,000 tokens each.
            running: Requests that run at each engine of the shorter lanes.
        """
        loads = EndpointLoads()
        chooser = EndpointChooser(loads=loads, cache=PromptCache(), random=Random(2))
        shares = (0.3, 0.1, 0.6)
        lanes = assign_lanes(self.endpoints, shares)
        busy = {name: Load(requests=running) for name, lane in lanes.items() if lane < 2}
        loads.take_peer("peer", busy)
        got = {"short": 0, "long": 0}
        for _ in range(count):
            placement = Placement(
                prompt_parts=(),
                prompt_tokens=12_000,
                failure_domain="a",
                lane=2,
                lane_shares=shares,
                output_tokens=300,
                memory_tokens=600_000,
            )
            choice = chooser.choose(placement, self.endpoints, exclude=frozenset(), now=0.0)
            assert choice is not None
            name = choice.record.endpoint_id
            loads.begin(name, prefill_tokens=12_000, memory_tokens=12_300)
            got["long" if lanes[name] == 2 else "short"] += 1
        return got

    def test_a_burst_of_long_prompts_leaves_busy_engines_to_short_ones(self) -> None:
        """Twenty-five long prompts come at once while forty short answers run at each engine.

        No engine of the shorter lanes gets one. Each adds 200 ms to its engine; in the end each of
        the five engines of their lane is a second behind, within the objective of long prompts.
        """
        self.assertEqual(self.send_long_prompts(25, running=40), {"short": 0, "long": 25})

    def test_long_prompts_use_idle_engines_of_shorter_lanes_rather_than_wait(self) -> None:
        """The same burst while nothing runs elsewhere; four idle engines take a part of it.

        Otherwise the last of it would be sent back although half of the engines do nothing.
        """
        got = self.send_long_prompts(25, running=0)
        self.assertGreaterEqual(got["short"], 4)
        self.assertGreater(got["long"], got["short"])


class AdmissionTest(unittest.TestCase):
    """Requests that would be late are sent back at once; none is while little waits.

    The pattern: users come in a burst at twice what the engines can do. The figures are those of
    the engine model: 60 prompt tokens a millisecond, and objectives of 0.3 and 2 seconds.
    """

    def admit(self, waiting_ms: float, *, reading_ms: float = 10.0) -> ComeBack | None:
        expected = Forecast(waiting_ms=waiting_ms, reading_ms=reading_ms)
        return admit(expected, objective_s=0.3, random=Random(1))

    def test_waiting_decides_and_not_the_length_of_the_request(self) -> None:
        self.assertIsNone(self.admit(150.0, reading_ms=900.0))
        self.assertIsNotNone(self.admit(151.0, reading_ms=1.0))

    def test_nobody_is_refused_by_an_idle_engine(self) -> None:
        idle = forecast(
            Load(), unread_tokens=60_000, needed_tokens=61_000, slots=64, memory_tokens=600_000
        )
        self.assertIsNone(admit(idle, objective_s=0.3, random=Random(1)))

    @given(waiting_ms=st.floats(min_value=151.0, max_value=1e5))
    def test_the_time_to_come_back_grows_with_the_queue_within_bounds(
        self, waiting_ms: float
    ) -> None:
        refusal = self.admit(waiting_ms)
        assert refusal is not None
        self.assertGreaterEqual(refusal.retry_after_s, 0.1)
        self.assertLessEqual(refusal.retry_after_s, 2.25)

    def test_a_burst_at_twice_the_capacity_is_answered_in_time_up_to_the_capacity(self) -> None:
        """Ten seconds of twice the prompts that one engine can read, each 6,000 tokens.

        Without a bound the queue would be ten seconds long in the end. With it, nine in ten of the
        requests that the engine can read are admitted, and each waits a second at most.
        """
        engine = Load()
        admitted = 0
        longest_ms = 0.0
        for _ in range(200):
            engine.prefill_tokens = max(0, engine.prefill_tokens - 3_000)
            expected = forecast(
                engine, unread_tokens=6_000, needed_tokens=0, slots=64, memory_tokens=0
            )
            if admit(expected, objective_s=2.0, random=Random(1)) is None:
                admitted += 1
                longest_ms = max(longest_ms, expected.waiting_ms)
                engine.prefill_tokens += 6_000
        self.assertGreaterEqual(admitted, 90)
        self.assertLessEqual(longest_ms, 1_000.0)


class EngineModelTest(unittest.TestCase):
    """The model follows what was measured of first events."""

    def test_measured_first_events(self) -> None:
        for waiting, own, measured_ms in ((0, 600, 78), (7_000, 500, 186), (28_000, 2_000, 550)):
            load = Load(requests=10, prefill_tokens=waiting, memory_tokens=0)
            found = forecast(load, unread_tokens=own, needed_tokens=0, slots=64, memory_tokens=0)
            self.assertAlmostEqual(found.first_event_ms, measured_ms, delta=0.15 * measured_ms)

    def test_slots_and_memory(self) -> None:
        full = Load(requests=66, prefill_tokens=0, memory_tokens=550_000)
        found = forecast(full, unread_tokens=0, needed_tokens=500, slots=64, memory_tokens=0)
        self.assertEqual(found.waiting_ms, 150.0)
        found = forecast(
            full, unread_tokens=0, needed_tokens=9_000, slots=99, memory_tokens=600_000
        )
        self.assertEqual(found.waiting_ms, 1_000.0)


class UrgencyTest(unittest.TestCase):
    """Organisations come before routes, and routes decide among equals."""

    def test_order(self) -> None:
        answer = make_route(name="answer", path_prefix="/a/", urgency=0)
        summary = make_route(name="summary", path_prefix="/s/", urgency=2)
        catalog = make_catalog(answer, summary)
        first = CallerOrganisation(name="first", urgency=0)
        catalog = Catalog(
            version=1,
            row_version=1,
            routes=[answer, summary],
            services=[],
            organisations={"k": first, "l": CallerOrganisation(name="second", urgency=1)},
            limits=catalog.limits,
        )
        second = catalog.organisations["l"] if catalog.organisations else None
        order = [
            catalog.find_urgency(answer, first),
            catalog.find_urgency(summary, first),
            catalog.find_urgency(answer, second),
            catalog.find_urgency(summary, second),
            catalog.find_urgency(summary, None),
        ]
        self.assertEqual(order, [0, 1, 2, 3, 4])

    def test_more_pairs_than_engines_know_fall_back_to_the_first_rank(self) -> None:
        routes = [make_route(path_prefix=f"/{n}/", urgency=n) for n in range(12)]
        catalog = make_catalog(*routes)
        self.assertEqual(catalog.find_urgency(routes[3], None), 3)
        self.assertEqual(catalog.find_urgency(routes[11], None), 9)


class AttemptBudgetTest(unittest.TestCase):
    """Repeats of all instances together stay within the allowance."""

    @given(
        instances=st.integers(min_value=1, max_value=20),
        requests=st.lists(st.floats(min_value=0.0, max_value=30.0), max_size=60),
        tries=st.lists(st.floats(min_value=0.0, max_value=30.0), max_size=60),
    )
    def test_every_window_keeps_the_allowance(
        self, instances: int, requests: list[float], tries: list[float]
    ) -> None:
        terms = BudgetTerms(ratio=0.2, slack=20.0, window_s=10.0)
        budget = AttemptBudget(terms=terms)
        events = sorted([(at, False) for at in requests] + [(at, True) for at in tries])
        spent = []
        for at, repeat in events:
            if not repeat:
                budget.record_request("s", now=at)
            elif budget.try_spend("s", instances=instances, now=at):
                spent.append(at)
        for end in spent:
            repeats = sum(end - 10.0 < at <= end for at in spent)
            asked = sum(end - 10.0 < at <= end for at in requests)
            self.assertLessEqual(repeats, 0.2 * asked + 20.0 / instances)


class ReadScheduleTest(unittest.TestCase):
    """One instance reads; the others step in within a second when it falls silent."""

    def setUp(self) -> None:
        self.schedule = ReadSchedule(random=Random(1))

    def test_ranks_step_in_one_after_the_other(self) -> None:
        for place in range(LAST_RANK):
            bound = READ_INTERVAL_S + STEP_IN_S * place
            for age_s, due in ((bound - 0.01, False), (bound, True)):
                found = self.schedule.is_due(age_s=age_s, rank=place, news=False, now=0.0)
                self.assertEqual(found, due)

    def test_everyone_reads_before_keys_stop_being_accepted(self) -> None:
        for place in range(400):
            self.assertTrue(self.schedule.is_due(age_s=2.0, rank=place, news=False, now=0.0))

    def test_news_is_fetched_at_once_but_not_by_all_together(self) -> None:
        self.assertTrue(
            self.schedule.is_due(age_s=0.0, rank=9, news=True, now=5.0)
            or self.schedule.is_due(age_s=0.0, rank=9, news=True, now=5.11)
        )

    def test_failed_reads_pause(self) -> None:
        self.schedule.record_failure(now=0.0)
        self.assertFalse(self.schedule.is_due(age_s=9.0, rank=0, news=True, now=0.1))
        self.assertTrue(self.schedule.is_due(age_s=9.0, rank=0, news=False, now=0.5))


def make_record(name: str, domain: str = "a", region: str = "r") -> InstanceRecord:
    """Return an instance's record."""
    return InstanceRecord(
        name=name,
        ip="127.0.0.1",
        failure_domain=domain,
        region=region,
        callers_address=f"{name}:80",
        peer_port=7,
    )


def make_beat(name: str, *, incarnation: int = 1, sequence: int = 1, **changes: object) -> Beat:
    """Return a beat of a serving instance, with changes."""
    values: dict[str, object] = {
        "record": make_record(name),
        "incarnation": incarnation,
        "sequence": sequence,
        "state": InstanceState.SERVING,
        "store_answers": True,
        "catalog": Proof(version="5", reading=1.25),
        "endpoints": None,
        "loads": {"e": Load(requests=2, prefill_tokens=30)},
        "demand": Demand(work_ms=(1.5, 0.0, 30.0)),
        "sends": [PromptSend(number=1, endpoint_id="e", part_id="p", tokens=30)],
    }
    return Beat(**(values | changes))  # type: ignore[arg-type]


class PeersTest(unittest.TestCase):
    """Instances are there while their beats come, and only their newest word counts."""

    def setUp(self) -> None:
        self.peers = Peers(own_name="me")

    def test_beats_survive_the_wire(self) -> None:
        beat = make_beat("x")
        self.assertEqual(decode_beat(encode_beat(beat)), beat)

    @given(data=st.binary(max_size=200))
    def test_any_other_datagram_is_refused(self, data: bytes) -> None:
        with self.assertRaises(MalformedBeat):
            decode_beat(data)

    def test_a_late_beat_of_a_former_process_changes_nothing(self) -> None:
        self.assertTrue(self.peers.take(make_beat("x", incarnation=2), now=0.0))
        late = make_beat("x", incarnation=1, sequence=99, state=InstanceState.LEAVING)
        self.assertFalse(self.peers.take(late, now=0.1))
        self.assertEqual([r.name for r in self.peers.list_serving(now=0.2)], ["x"])

    def test_an_instance_whose_time_of_day_went_back_is_heard_again(self) -> None:
        """Callers are sent to an instance that started again after its clock had jumped back.

        Its first process started while the time of day was three seconds ahead. The clock is set
        right, the process is killed, and the next one has a start that lies before the first's. It
        is taken for a late word of the first only as long as the first may still be there.
        """
        self.peers.take(make_beat("x", incarnation=13_000, sequence=50), now=0.0)
        again = make_beat("x", incarnation=12_500, sequence=1)
        self.assertFalse(self.peers.take(again, now=0.5))
        bound = MISSED_BEATS * compute_beat_interval(2)
        self.assertTrue(self.peers.take(again, now=bound + 0.01))
        self.assertEqual([r.name for r in self.peers.list_serving(now=bound + 0.1)], ["x"])

    def test_silent_and_leaving_instances_get_no_callers(self) -> None:
        self.peers.take(make_beat("x"), now=0.0)
        self.peers.take(make_beat("y", state=InstanceState.LEAVING), now=0.0)
        bound = MISSED_BEATS * compute_beat_interval(3)
        self.assertEqual([r.name for r in self.peers.list_serving(now=bound)], ["x"])
        self.assertEqual(self.peers.list_serving(now=bound + 0.01), [])

    def test_an_instance_that_the_store_turns_away_is_no_reader(self) -> None:
        for name in "abcdefgh":
            self.peers.take(make_beat(name, store_answers=False), now=0.0)
        self.assertEqual(self.peers.rank_as_reader(now=0.1), 0)
        for name in "abcdefgh":
            self.peers.take(make_beat(name, sequence=2), now=0.1)
        readers = rank(READER_KEY, [*"abcdefgh", "me"])
        self.assertEqual(self.peers.rank_as_reader(now=0.2), readers.index("me"))


class CallerAddressesTest(unittest.TestCase):
    """Callers get instances near them, and always some."""

    def test_near_instances_first_and_never_none(self) -> None:
        records = [make_record("1", "a"), make_record("2", "a"), make_record("3", "b")]
        near = CallerPlace(region="r", failure_domain="a")
        alone = CallerPlace(region="r", failure_domain="b")
        self.assertEqual(choose_addresses(near, records, []), ["1:80", "2:80"])
        self.assertEqual(choose_addresses(alone, records, []), ["1:80", "2:80", "3:80"])
        self.assertEqual(choose_addresses(alone, [], records[:1]), ["1:80"])


class EventFramingTest(unittest.TestCase):
    """Events are passed on whole, however the bytes arrive."""

    @given(
        events=st.lists(st.binary(max_size=20).filter(lambda data: b"\n" not in data), max_size=8),
        cuts=st.lists(st.integers(min_value=1, max_value=9), max_size=40),
    )
    def test_events_are_whole_and_in_order(self, events: list[bytes], cuts: list[int]) -> None:
        events = [event for event in events if b"\r" not in event]
        whole = [b"id: %d\ndata: %b\n\n" % pair for pair in enumerate(events)]
        data = b"".join(whole) + b"id: 99\nda"
        framing = EventFraming()
        found = []
        for cut in [*cuts, len(data)]:
            found.extend(framing.feed(data[:cut]))
            data = data[cut:]
        self.assertEqual([event.data for event in found], whole)
        self.assertEqual([event.event_id for event in found], [str(n) for n in range(len(whole))])
        self.assertEqual(framing.take_rest(), b"id: 99\nda")


if __name__ == "__main__":
    unittest.main()
