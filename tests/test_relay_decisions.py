"""Tests of the relay's gate, routes, endpoints, retries, store reads, peers and addresses."""

from __future__ import annotations

import json
import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.caller_addresses import CallerLocation, choose_addresses
from guavamast.relay.caller_gate import Admitted, CallerGate, Denied
from guavamast.relay.catalog import (
    CallerOrganisation,
    WeightedService,
    compute_engine_urgency,
    compute_precedence,
)
from guavamast.relay.endpoint_load import Load
from guavamast.relay.endpoint_table import EndpointTable
from guavamast.relay.event_framing import EventFraming
from guavamast.relay.freshness import FreshnessStamp
from guavamast.relay.heartbeat_messages import (
    Heartbeat,
    InstanceState,
    LoadUpdate,
)
from guavamast.relay.heartbeat_wire import (
    decode_heartbeat,
    decode_message,
    encode_heartbeat,
    encode_load_update,
)
from guavamast.relay.peers import (
    FORGET_AFTER_S,
    MISSED_HEARTBEATS,
    READER_RANK_KEY,
    Peers,
    compute_heartbeat_interval,
)
from guavamast.relay.placement.admission_history import AdmissionCount, WaitingPrecedence
from guavamast.relay.placement.engine_profile import Estimate, ProfileEstimates
from guavamast.relay.placement.length_buckets import Demand
from guavamast.relay.placement.prompt_cache import PromptSend
from guavamast.relay.read_schedule import (
    JITTER_S,
    LAST_RANK,
    OUTAGE_PROBERS,
    READ_INTERVAL_S,
    TAKEOVER_DELAY_S,
    UPDATE_WAIT_S,
    ReadSchedule,
)
from guavamast.relay.retry_budget import USABLE_SHARE, RetryBudget, RetryBudgetSettings
from guavamast.relay.store import InstanceRecord
from guavamast.rendezvous import rank
from tests.relay_fixtures import BOUNDS, build_catalog, build_endpoint, build_request, build_route


class CatalogTest(unittest.TestCase):
    """Routes are selected by host and longest prefix."""

    def test_longest_prefix_wins(self) -> None:
        short = build_route(name="short", path_prefix="/a/")
        long = build_route(name="long", path_prefix="/a/b/")
        catalog = build_catalog(short, long)
        self.assertEqual(catalog.find_route("portal.example:80", "/a/b/c"), long)
        self.assertEqual(catalog.find_route("PORTAL.example", "/a/b"), short)
        self.assertIsNone(catalog.find_route("portal.example", "/a"))
        self.assertIsNone(catalog.find_route("other.example", "/a/b/"))

    def test_split_follows_the_weights_and_the_request(self) -> None:
        services = (
            WeightedService(service="x", weight=90.0),
            WeightedService(service="y", weight=10.0),
        )
        route = build_route(services=services)
        picks = [route.pick_service(f"r{number}") for number in range(2000)]
        self.assertEqual(picks, [route.pick_service(f"r{number}") for number in range(2000)])
        self.assertAlmostEqual(picks.count("y") / 2000, 0.1, delta=0.03)


class CallerLimitsTest(unittest.TestCase):
    """Connections stay open as long as callers may send requests on them."""

    def test_a_request_sent_at_the_idle_limit_finds_its_connection_open(self) -> None:
        """Guards against a connection that is closed while a request is in transit.

        The caller sends its request at the very end of the idle limit; without a margin the
        instance would close the connection before the request arrives.
        """
        limits = build_catalog().limits
        self.assertGreaterEqual(limits.close_idle_after_s, limits.idle_timeout_s + 0.5)


class CallerGateTest(unittest.TestCase):
    """Requests are decided by a configuration only while it is known to be recent enough."""

    def setUp(self) -> None:
        self.gate = CallerGate(bounds=BOUNDS)

    def decide(self, age_s: float, **changes: object) -> Admitted | Denied:
        return self.gate.decide(build_request(**changes), build_catalog(), age_s=age_s)

    def test_no_configuration_defers(self) -> None:
        decision = self.gate.decide(build_request(), None, age_s=0.0)
        assert isinstance(decision, Denied)
        self.assertEqual(decision.status, 503)

    def test_key_is_not_accepted_when_it_may_have_been_revoked(self) -> None:
        """Guards against a revoked key that is accepted while the store doesn't answer.

        A revoked key must stop working after five seconds. An instance without the store can't know
        of the revocation, so it stops accepting keys before that and answers 503 with a retry
        delay.
        """
        self.assertIsInstance(self.decide(4.2), Admitted)
        decision = self.decide(4.4)
        assert isinstance(decision, Denied)
        self.assertEqual(decision.status, 503)
        self.assertIsNotNone(decision.retry_after_s)

    def test_only_a_recent_configuration_rejects_unknown_names(self) -> None:
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
    """Removed endpoints get no requests; those whose entries lapsed with the store stay."""

    def setUp(self) -> None:
        self.table = EndpointTable()
        first = [build_endpoint("x"), build_endpoint("y"), build_endpoint("z", ready=False)]
        self.table.apply(first, digest="1", recovering=False)

    def list_ready(self) -> list[str]:
        return [record.endpoint_id for record in self.table.list_ready("portal")]

    def test_missing_and_leaving_endpoints_get_nothing(self) -> None:
        self.table.apply([build_endpoint("x", ready=False)], digest="2", recovering=False)
        self.assertEqual(self.list_ready(), [])

    def test_lapsed_endpoints_stay_until_they_had_time_to_return(self) -> None:
        """Guards against callers without endpoints right after an outage of the store.

        All entries lapse during the outage; the first listing is empty although the endpoints run.
        """
        self.table.apply([], digest="2", recovering=True)
        self.assertEqual(self.list_ready(), ["x", "y"])
        self.assertTrue(self.table.has_lapsed)
        self.table.apply([build_endpoint("y")], digest="3", recovering=False)
        self.assertEqual(self.list_ready(), ["y"])

    def test_an_endpoint_that_was_leaving_does_not_stay(self) -> None:
        self.table.apply([], digest="2", recovering=True)
        self.assertIsNone(self.table.find("z"))


class UrgencyTest(unittest.TestCase):
    """Engines and instances order by the organisation's urgency first, then by the route's."""

    def setUp(self) -> None:
        answer = build_route(name="answer", path_prefix="/a/", urgency=0)
        summary = build_route(name="summary", path_prefix="/s/", urgency=2)
        first = CallerOrganisation(name="first", urgency=0)
        second = CallerOrganisation(name="second", urgency=1)
        self.requests = [
            (answer, first),
            (summary, first),
            (answer, second),
            (summary, second),
            (summary, None),
        ]

    def test_urgency(self) -> None:
        told = [compute_engine_urgency(*one) for one in self.requests]
        self.assertEqual(told, [0, 2, 3, 5, 6])

    def test_precedence(self) -> None:
        self.assertEqual([compute_precedence(*one) for one in self.requests], [0, 2, 10, 12, 22])

    def test_urgencies_beyond_those_of_engines_are_the_least(self) -> None:
        routes = [build_route(path_prefix=f"/{n}/", urgency=n) for n in range(12)]
        self.assertEqual(compute_engine_urgency(routes[3], None), 7)
        self.assertEqual(compute_engine_urgency(routes[11], None), 9)


class AttemptBudgetTest(unittest.TestCase):
    """Retries of all instances together stay within the retry budget."""

    @given(
        instances=st.integers(min_value=1, max_value=20),
        requests=st.lists(st.floats(min_value=0.0, max_value=30.0), max_size=60),
        tries=st.lists(st.floats(min_value=0.0, max_value=30.0), max_size=60),
    )
    def test_every_window_keeps_the_allowance(
        self, instances: int, requests: list[float], tries: list[float]
    ) -> None:
        parameters = RetryBudgetSettings(ratio=0.2, slack=20.0, window_s=10.0)
        budget = RetryBudget(settings=parameters)
        events = sorted([(at, False) for at in requests] + [(at, True) for at in tries])
        spent = []
        for at, is_retry in events:
            if not is_retry:
                budget.record_request("s", now=at)
            elif budget.try_spend("s", instances=instances, now=at):
                spent.append(at)
        for end in spent:
            retries = sum(end - 10.0 < at <= end for at in spent)
            requested = sum(end - 10.0 < at <= end for at in requests)
            self.assertLessEqual(retries, 0.2 * requested + 20.0 / instances)

    def test_a_retry_that_is_given_back_can_be_spent_again(self) -> None:
        """Guards against retries that are used up by claims after which nothing was sent."""
        budget = RetryBudget(
            settings=RetryBudgetSettings(ratio=0.0, slack=1.0 / USABLE_SHARE, window_s=10.0)
        )
        self.assertTrue(budget.try_spend("s", instances=1, now=0.0))
        self.assertFalse(budget.try_spend("s", instances=1, now=1.0))
        budget.give_back("s", spent_at=0.0)
        budget.give_back("s", spent_at=0.0)
        self.assertTrue(budget.try_spend("s", instances=1, now=2.0))
        self.assertFalse(budget.try_spend("s", instances=1, now=3.0))


class ReadScheduleTest(unittest.TestCase):
    """One instance reads the store; others take over within a second when it stops."""

    def setUp(self) -> None:
        self.schedule = ReadSchedule(random=Random(1), bound_s=60.0, count_instances=lambda: 14)

    def test_ranks_step_in_one_after_the_other(self) -> None:
        for place in range(LAST_RANK):
            bound = READ_INTERVAL_S + TAKEOVER_DELAY_S * place
            for age_s, due in ((bound - 0.01, False), (bound, True)):
                found = self.schedule.is_due(age_s=age_s, rank=place, has_update=False, now=0.0)
                self.assertEqual(found, due)

    def test_everyone_reads_before_keys_stop_being_accepted(self) -> None:
        for place in range(400):
            self.assertTrue(self.schedule.is_due(age_s=2.0, rank=place, has_update=False, now=0.0))

    def test_everyone_reads_before_requests_are_held_for_it(self) -> None:
        """Guards against requests that wait for a read while all datagrams to an instance are lost.

        The last-ranked reader would wait for each of the others in turn, longer than the staleness
        bound at which an instance stops sending requests by its state.
        """
        for bound_s in (1.6, 2.6):
            schedule = ReadSchedule(random=Random(1), bound_s=bound_s, count_instances=lambda: 14)
            for place in range(400):
                age_s = bound_s - 0.2
                self.assertTrue(schedule.is_due(age_s=age_s, rank=place, has_update=False, now=0.0))

    def test_an_update_is_fetched_soon_but_not_by_all_together(self) -> None:
        self.assertFalse(self.schedule.is_due(age_s=0.0, rank=9, has_update=True, now=5.0))
        latest = 5.0 + UPDATE_WAIT_S + JITTER_S / 3
        self.assertTrue(self.schedule.is_due(age_s=0.0, rank=9, has_update=True, now=latest + 0.01))

    def test_an_update_received_meanwhile_is_not_fetched(self) -> None:
        """Guards against one store read by each instance for a single change.

        An instance learns that another has a newer table, and receives the table itself a moment
        later. The next update starts a new wait.
        """
        self.assertFalse(self.schedule.is_due(age_s=0.0, rank=9, has_update=True, now=5.0))
        self.assertFalse(self.schedule.is_due(age_s=0.0, rank=9, has_update=False, now=5.05))
        self.assertFalse(self.schedule.is_due(age_s=0.0, rank=9, has_update=False, now=5.2))
        self.assertFalse(self.schedule.is_due(age_s=0.0, rank=9, has_update=True, now=6.0))

    def test_few_instances_ask_a_store_that_answers_none(self) -> None:
        """Guards against an outage in which all instances ask the store once a second each."""
        for place, due in ((0, True), (OUTAGE_PROBERS - 1, True), (OUTAGE_PROBERS, False)):
            schedule = ReadSchedule(random=Random(1), bound_s=60.0, count_instances=lambda: 14)
            schedule.record_failure(now=0.0, outage_rank=place)
            self.assertEqual(
                schedule.is_due(age_s=9.0, rank=0, has_update=False, now=2.0), due, place
            )
            self.assertTrue(schedule.is_due(age_s=9.0, rank=0, has_update=False, now=6.1))

    def test_an_update_ends_the_wait_in_an_outage(self) -> None:
        """Guards against a change that is taken seconds late as the store was away before it."""
        self.schedule.record_failure(now=0.0, outage_rank=9)
        self.schedule.is_due(age_s=9.0, rank=0, has_update=True, now=1.0)
        self.assertTrue(self.schedule.is_due(age_s=9.0, rank=0, has_update=True, now=1.3))

    def test_failed_reads_pause(self) -> None:
        self.schedule.record_failure(now=0.0)
        self.assertFalse(self.schedule.is_due(age_s=9.0, rank=0, has_update=True, now=0.1))
        self.assertTrue(self.schedule.is_due(age_s=9.0, rank=0, has_update=False, now=0.5))


def build_record(name: str, domain: str = "a", region: str = "r") -> InstanceRecord:
    """Return an instance's record."""
    return InstanceRecord(
        name=name,
        ip="127.0.0.1",
        failure_domain=domain,
        region=region,
        callers_address=f"{name}:80",
        peer_port=7,
    )


ESTIMATES = ProfileEstimates(
    first_event_ms=Estimate(value=41.0, samples=4),
    read_tokens_per_ms=Estimate(value=45.5, samples=7),
    token_ms=Estimate(value=5.25, samples=9),
    run_ms=Estimate(value=800.0, samples=9),
    reading_pause_ms=Estimate(value=1.0, samples=0),
)


def build_heartbeat(
    name: str, *, incarnation: int = 1, sequence: int = 1, **changes: object
) -> Heartbeat:
    """Return a heartbeat of a serving instance, with changes."""
    values: dict[str, object] = {
        "record": build_record(name),
        "incarnation": incarnation,
        "sequence": sequence,
        "state": InstanceState.SERVING,
        "store_reachable": True,
        "catalog": FreshnessStamp(version="5", store_time=1.25),
        "endpoints": None,
        "loads": {"e": Load(requests=2, prefill_tokens=30)},
        "demand": Demand(work_ms=(1.5, 0.0, 30.0)),
        "profiles": {"pool": ESTIMATES},
        "rejections": [
            AdmissionCount(
                service="pool",
                precedence=0,
                requests=2.5,
                delayed=1.0,
                rejected=0.25,
                wait_ms=187.5,
            )
        ],
        "sends": [PromptSend(number=1, endpoint_id="e", part_id="p", tokens=30)],
    }
    return Heartbeat(**(values | changes))  # type: ignore[arg-type]


class PeersTest(unittest.TestCase):
    """Instances are live while their heartbeats arrive, and only the newest heartbeat counts."""

    def setUp(self) -> None:
        self.peers = Peers(own_name="me")

    def test_heartbeats_round_trip(self) -> None:
        heartbeat = build_heartbeat("x")
        self.assertEqual(decode_heartbeat(encode_heartbeat(heartbeat)), heartbeat)

    def test_a_heartbeat_of_the_former_version_is_read(self) -> None:
        """Guards against instances that count as dead while a new version is rolled out."""
        fields = json.loads(encode_heartbeat(build_heartbeat("x")))
        del fields["late"]
        decoded = decode_heartbeat(json.dumps(fields).encode())
        self.assertEqual([one.delayed for one in decoded.rejections], [0.0])
        self.assertEqual([len(row) for row in fields["back"]], [5])

    def test_load_updates_round_trip_and_read_as_before_unless_something_waits(self) -> None:
        """Guards against a rollout in which the two versions ignore each other's loads."""
        waiting = [
            WaitingPrecedence(
                service="pool", precedence=1, attempts=3, delayed=True, remaining_s=0.25
            )
        ]
        for listed, fields in (([], 5), (waiting, 6)):
            update = LoadUpdate(instance="x", incarnation=1, loads={}, sends=[], waiting=listed)
            data = encode_load_update(update)
            self.assertEqual(len(json.loads(data)), fields)
            self.assertEqual(decode_message(data), update)

    @given(data=st.binary(max_size=200))
    def test_any_other_datagram_is_refused(self, data: bytes) -> None:
        with self.assertRaises(MalformedData):
            decode_heartbeat(data)

    def test_a_late_heartbeat_of_a_former_process_changes_nothing(self) -> None:
        self.assertTrue(self.peers.receive(build_heartbeat("x", incarnation=2), now=0.0))
        late = build_heartbeat("x", incarnation=1, sequence=99, state=InstanceState.LEAVING)
        self.assertFalse(self.peers.receive(late, now=0.1))
        self.assertEqual([r.name for r in self.peers.list_serving(now=0.2)], ["x"])

    def test_a_repeated_last_heartbeat_is_no_liveness_record(self) -> None:
        """Guards against callers that are sent to an instance that has ended.

        An aggregator still has the instance's last heartbeat and forwards it to one that has just
        declared the instance gone. The same heartbeat from the instance itself would count.
        """
        heartbeat = build_heartbeat("x", sequence=7)
        self.peers.receive(heartbeat, now=0.0)
        later = MISSED_HEARTBEATS * compute_heartbeat_interval(2) + 0.1
        self.assertFalse(
            self.peers.receive_liveness_record(
                heartbeat.build_liveness_record(), heartbeat.record, now=later
            )
        )
        self.assertEqual(self.peers.list_live(now=later), [])
        newer = build_heartbeat("x", sequence=8)
        self.assertTrue(
            self.peers.receive_liveness_record(
                newer.build_liveness_record(), newer.record, now=later
            )
        )

    def test_an_instance_whose_clock_went_back_is_accepted_again(self) -> None:
        """Guards against ignoring an instance that restarted after its clock went back.

        Its first process started while the clock was three seconds ahead. The clock is corrected,
        the process is killed, and the next one has an earlier start time. Its heartbeats count as
        late ones of the first process only as long as the first may still be live.
        """
        self.peers.receive(build_heartbeat("x", incarnation=13_000, sequence=50), now=0.0)
        again = build_heartbeat("x", incarnation=12_500, sequence=1)
        self.assertFalse(self.peers.receive(again, now=0.5))
        bound = MISSED_HEARTBEATS * compute_heartbeat_interval(2)
        self.assertTrue(self.peers.receive(again, now=bound + 0.01))
        self.assertEqual([r.name for r in self.peers.list_serving(now=bound + 0.1)], ["x"])

    def test_instances_that_are_gone_for_good_are_forgotten(self) -> None:
        for name in ("x", "y"):
            self.peers.receive(build_heartbeat(name), now=0.0)
        self.peers.receive(build_heartbeat("y", sequence=9), now=50.0)
        self.assertEqual(self.peers.forget_silent(now=FORGET_AFTER_S), [])
        self.assertEqual(self.peers.forget_silent(now=FORGET_AFTER_S + 1.0), ["x"])
        self.assertEqual([record.name for record in self.peers.list_targets()], ["y"])

    def test_silent_and_leaving_instances_get_no_callers(self) -> None:
        self.peers.receive(build_heartbeat("x"), now=0.0)
        self.peers.receive(build_heartbeat("y", state=InstanceState.LEAVING), now=0.0)
        bound = MISSED_HEARTBEATS * compute_heartbeat_interval(3)
        self.assertEqual([r.name for r in self.peers.list_serving(now=bound)], ["x"])
        self.assertEqual(self.peers.list_serving(now=bound + 0.01), [])

    def test_an_instance_that_the_store_turns_away_is_no_reader(self) -> None:
        for name in "abcdefgh":
            self.peers.receive(build_heartbeat(name, store_reachable=False), now=0.0)
        self.assertEqual(self.peers.rank_as_reader(now=0.1), 0)
        for name in "abcdefgh":
            self.peers.receive(build_heartbeat(name, sequence=2), now=0.1)
        readers = rank(READER_RANK_KEY, [*"abcdefgh", "me"])
        self.assertEqual(self.peers.rank_as_reader(now=0.2), readers.index("me"))


class CallerAddressesTest(unittest.TestCase):
    """Callers get the addresses of near instances, and always at least one."""

    def test_near_instances_first_and_never_none(self) -> None:
        records = [build_record("1", "a"), build_record("2", "a"), build_record("3", "b")]
        near = CallerLocation(region="r", failure_domain="a")
        alone = CallerLocation(region="r", failure_domain="b")
        self.assertEqual(choose_addresses(near, records, []), ["1:80", "2:80"])
        self.assertEqual(choose_addresses(alone, records, []), ["1:80", "2:80", "3:80"])
        self.assertEqual(choose_addresses(alone, [], records[:1]), ["1:80"])


class EventFramingTest(unittest.TestCase):
    """Events are forwarded whole, however the bytes are split."""

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
            found.extend(framing.append(data[:cut]))
            data = data[cut:]
        self.assertEqual([event.data for event in found], whole)
        self.assertEqual([event.event_id for event in found], [str(n) for n in range(len(whole))])
        self.assertEqual(framing.drain(), b"id: 99\nda")


if __name__ == "__main__":
    unittest.main()
