"""Tests of the choice of endpoints."""

from __future__ import annotations

import unittest
from dataclasses import replace

from guavamast.fleet_objects import (
    Configuration,
    Endpoint,
    EndpointKind,
    EndpointState,
    FailureDomain,
    Instance,
)
from guavamast.members import Member, MembershipView, MemberState
from guavamast.placement import PROBE_LIFETIME_S, EndpointChooser, EndpointRequirements
from guavamast.slots import Probe

DOMAINS = {"near-a": "near", "near-b": "near", "far-a": "far"}


def make_instance(domain: str = "near-a") -> Instance:
    """Return an instance in a failure domain."""
    return Instance(
        name=f"instance-{domain}",
        failure_domain=FailureDomain(name=domain, region=DOMAINS[domain]),
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
    )


def make_engine(name: str, domain: str = "near-a", *, leaving: bool = False) -> Endpoint:
    """Return an engine with four slots for model m."""
    return Endpoint(
        name=name,
        kind=EndpointKind.ENGINE,
        url="http://127.0.0.1:3",
        failure_domain=domain,
        slots=4,
        models=frozenset({"m"}),
        state=EndpointState.LEAVING if leaving else EndpointState.ACTIVE,
    )


def make_probe(name: str, **changes: object) -> Probe:
    """Return the probe of an idle endpoint, with changes."""
    idle = Probe(endpoint=name, in_flight=0, queued=0, estimated_wait_s=0.0, lowest_tier=0, slots=4)
    return replace(idle, **changes)


def make_view() -> MembershipView:
    """Return a view with a live member in each failure domain."""
    return MembershipView(
        members=tuple(
            Member(
                instance=make_instance(domain),
                incarnation=1,
                state=MemberState.LIVE,
                heartbeat=1,
                configuration_version=1,
            )
            for domain in DOMAINS
        )
    )


def make_chooser(*endpoints: Endpoint, seed: int = 1) -> EndpointChooser:
    """Return a chooser in near-a that knows the endpoints."""
    chooser = EndpointChooser(instance=make_instance(), seed=seed)
    configuration = Configuration(version=1, endpoints={each.name: each for each in endpoints})
    chooser.configure(configuration, make_view())
    return chooser


class EndpointChooserTest(unittest.TestCase):
    """Which endpoints are chosen, and which never are."""

    def count_first(
        self, chooser: EndpointChooser, requirements: EndpointRequirements, *, now: float
    ) -> dict:
        counts: dict[str, int] = {}
        for _ in range(200):
            first = chooser.choose(requirements, now=now)[0]
            counts[first] = counts.get(first, 0) + 1
        return counts

    def test_unknown_model_gives_none(self) -> None:
        chooser = make_chooser(make_engine("a"))
        self.assertEqual(chooser.choose(EndpointRequirements(tier=1, model="other"), now=0.0), [])

    def test_leaving_and_excluded_are_never_chosen(self) -> None:
        chooser = make_chooser(
            make_engine("a"), make_engine("b"), make_engine("c", leaving=True), make_engine("d")
        )
        requirements = EndpointRequirements(
            tier=1, model="m", excluded=frozenset({"b"}), count=4, prefix_key="p"
        )
        for step in range(100):
            self.assertEqual(set(chooser.choose(requirements, now=step / 10)), {"a", "d"})

    def test_prefix_keeps_its_affinity_endpoint_until_that_is_loaded(self) -> None:
        engines = [make_engine(f"e{number}") for number in range(6)]
        chooser = make_chooser(*engines)
        requirements = EndpointRequirements(
            tier=1, model="m", prefix_key="dossier", prompt_tokens=2000
        )
        for engine in engines:
            chooser.record_probe(make_probe(engine.name), now=0.0)
        affinity = chooser.choose(requirements, now=0.0)[0]
        chooser.record_probe(make_probe(affinity), now=0.0)
        self.assertEqual(chooser.choose(requirements, now=0.0)[0], affinity)
        chooser.record_probe(
            make_probe(affinity, in_flight=4, queued=8, estimated_wait_s=5), now=0.0
        )
        self.assertNotEqual(chooser.choose(requirements, now=0.0)[0], affinity)

    def test_local_region_is_preferred(self) -> None:
        chooser = make_chooser(
            make_engine("a"), make_engine("b", "near-b"), make_engine("c", "far-a")
        )
        for name in "abc":
            chooser.record_probe(make_probe(name), now=0.0)
        first = [
            chooser.choose(EndpointRequirements(tier=1, model="m"), now=0.0)[0] for _ in range(6)
        ]
        self.assertNotIn("c", first)

    def test_crashed_endpoint_is_avoided_at_once_and_gets_one_trial(self) -> None:
        """Guards against slow responses while a third of the endpoints could serve the caller.

        A crashed endpoint refuses connections at once, so its keeper sees free slots and its probe
        looks best. The entry must avoid it from the first failure, and after the delay only one
        request, not all of them, may test whether it has recovered.
        """
        chooser = make_chooser(make_engine("a"), make_engine("b"))
        chooser.record_outcome("a", succeeded=False, now=0.0)
        chooser.record_probe(make_probe("a"), now=0.0)
        chooser.record_probe(make_probe("b", in_flight=4, estimated_wait_s=3.0), now=0.0)
        requirements = EndpointRequirements(tier=1, model="m", count=1)
        self.assertEqual(self.count_first(chooser, requirements, now=0.1), {"b": 200})
        chooser.record_probe(make_probe("a"), now=1.0)
        chooser.record_probe(make_probe("b", in_flight=4, estimated_wait_s=3.0), now=1.0)
        self.assertEqual(self.count_first(chooser, requirements, now=1.0)["a"], 1)
        chooser.record_outcome("a", succeeded=True, now=1.5)
        self.assertGreater(self.count_first(chooser, requirements, now=1.5)["a"], 1)

    def test_non_idempotent_call_makes_no_trial(self) -> None:
        chooser = make_chooser(make_engine("a"), make_engine("b"))
        chooser.record_outcome("a", succeeded=False, now=0.0)
        requirements = EndpointRequirements(tier=1, model="m", count=1, idempotent=False)
        self.assertEqual(self.count_first(chooser, requirements, now=100.0), {"b": 200})

    def test_last_endpoint_is_chosen_although_it_failed(self) -> None:
        chooser = make_chooser(make_engine("a"))
        chooser.record_outcome("a", succeeded=False, now=0.0)
        self.assertEqual(chooser.choose(EndpointRequirements(tier=1, model="m"), now=0.0), ["a"])

    def test_full_endpoint_with_lower_tier_work_is_preferred(self) -> None:
        chooser = make_chooser(make_engine("a"), make_engine("b"))
        full = {"in_flight": 4, "queued": 4, "estimated_wait_s": 4.0}
        chooser.record_probe(make_probe("a", lowest_tier=1, **full), now=0.0)
        chooser.record_probe(make_probe("b", lowest_tier=3, **full), now=0.0)
        self.assertEqual(
            chooser.choose(EndpointRequirements(tier=1, model="m"), now=0.0), ["b", "a"]
        )
        self.assertEqual(
            set(chooser.choose(EndpointRequirements(tier=3, model="m", count=2), now=0.0)),
            {"a", "b"},
        )

    def test_old_probe_is_discarded(self) -> None:
        chooser = make_chooser(make_engine("a"), make_engine("b"))
        chooser.record_probe(make_probe("a", estimated_wait_s=60.0, in_flight=4), now=0.0)
        chooser.record_probe(make_probe("b"), now=0.0)
        requirements = EndpointRequirements(tier=1, model="m", count=1)
        self.assertNotIn("a", self.count_first(chooser, requirements, now=0.1))
        later = PROBE_LIFETIME_S + 0.1
        self.assertGreater(self.count_first(chooser, requirements, now=later).get("a", 0), 0)
