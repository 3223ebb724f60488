"""Properties of the choice of endpoints after any history of events."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.fleet_objects import Configuration
from guavamast.placement import EndpointRequirements
from guavamast.prefix_ring import PrefixRing
from tests.test_placement import make_chooser, make_engine, make_probe, make_view

NAMES = tuple("abcdefgh")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["choose", "probe", "fail", "succeed", "leave", "return"]),
        st.sampled_from(NAMES),
        st.sampled_from([0.0, 0.3, 3.0, 60.0]),
        st.frozensets(st.sampled_from(NAMES)),
    ),
    max_size=40,
)


class EndpointChooserProperties(unittest.TestCase):
    """Invariants under any order of probes, failures and configurations."""

    @given(steps=STEPS, seed=st.integers(0, 999), count=st.integers(1, 4))
    def test_only_active_endpoints_are_chosen_and_none_is_missed(
        self, steps: list, seed: int, count: int
    ) -> None:
        """Guards against new work for a drained endpoint and rejections while one is free.

        Old probes and outcomes of a leaving endpoint still arrive, and endpoints that failed or
        are excluded leave few to choose from.
        """
        chooser = make_chooser(*(make_engine(name) for name in NAMES), seed=seed)
        leaving: set[str] = set()
        now = 0.0
        for step, name, wait_s, excluded in steps:
            now += wait_s
            if step == "probe":
                chooser.record_probe(make_probe(name, estimated_wait_s=wait_s), now=now)
            elif step in ("fail", "succeed"):
                chooser.record_outcome(name, succeeded=step == "succeed", now=now)
            elif step in ("leave", "return"):
                leaving = leaving | {name} if step == "leave" else leaving - {name}
                engines = {each: make_engine(each, leaving=each in leaving) for each in NAMES}
                chooser.configure(Configuration(version=2, endpoints=engines), make_view())
            else:
                requirements = EndpointRequirements(
                    tier=1, model="m", prefix_key=name, excluded=excluded, count=count
                )
                chosen = chooser.choose(requirements, now=now)
                left = set(NAMES) - leaving - excluded
                self.assertLessEqual(set(chosen), left)
                self.assertEqual(len(set(chosen)), len(chosen))
                self.assertLessEqual(len(chosen), count)
                self.assertEqual(bool(chosen), bool(left))

    @given(steps=STEPS, seed=st.integers(0, 999))
    def test_failed_endpoint_is_avoided_while_another_works(self, steps: list, seed: int) -> None:
        chooser = make_chooser(make_engine("a"), make_engine("b"), seed=seed)
        now = 0.0
        for _, name, wait_s, _ in steps:
            now += wait_s
            chooser.record_probe(make_probe("a"), now=now)
            chooser.record_probe(make_probe("b", in_flight=4, estimated_wait_s=9.0), now=now)
            chooser.record_outcome("a", succeeded=False, now=now)
            requirements = EndpointRequirements(tier=1, model="m", prefix_key=name, count=1)
            self.assertEqual(chooser.choose(requirements, now=now + 0.2), ["b"])


class PrefixRingProperties(unittest.TestCase):
    """Prefixes keep their affinity endpoint when other endpoints are added or removed."""

    @given(key=st.text(max_size=5), names=st.frozensets(st.sampled_from(NAMES), min_size=2))
    def test_affinity_endpoint_changes_only_when_it_leaves(
        self, key: str, names: frozenset
    ) -> None:
        first, second = PrefixRing(names).select(key, 2)
        for removed in names - {first}:
            self.assertEqual(PrefixRing(names - {removed}).select(key, 1), [first])
        self.assertEqual(PrefixRing(names - {first}).select(key, 1), [second])

    def test_shares_are_nearly_even(self) -> None:
        names = [f"e{number}" for number in range(10)]
        ring = PrefixRing(names)
        selected = [ring.select(f"prefix-{number}", 1)[0] for number in range(5000)]
        for name in names:
            self.assertTrue(200 <= selected.count(name) <= 900, selected.count(name))
