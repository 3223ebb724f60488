"""Properties of the addresses returned to callers."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from bench.exchange_loop import build_instance
from hypothesis import given
from hypothesis import strategies as st

from guavamast.addresses import choose_addresses
from guavamast.members import Member, MembershipView, MemberState

STATES = st.sampled_from([MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING])


def make_member(number: int, state: MemberState, load: float, region: str) -> Member:
    """Return a member of a region."""
    return Member(
        instance=build_instance(f"i{number:02}", region=region, domain="ab"[number % 2]),
        incarnation=1,
        state=state,
        heartbeat=1,
        configuration_version=1,
        load=load,
    )


VIEWS = st.lists(
    st.tuples(STATES, st.floats(0.0, 500.0), st.sampled_from(["sierra", "wallonie"])),
    min_size=1,
    max_size=16,
).map(
    lambda rows: MembershipView(
        members=tuple(make_member(number, *row) for number, row in enumerate(rows))
    )
)


class ChooseAddressesTest(unittest.TestCase):
    """Responses that callers cache for a while."""

    @given(VIEWS, st.sampled_from(["sierra", "wallonie-a", "elsewhere"]), st.integers(0, 2**40))
    def test_responses_list_serving_instances_of_the_callers_region_first(
        self, view: MembershipView, hint: str, seed: int
    ) -> None:
        response = choose_addresses(view, caller_hint=hint, seed=seed, validity_s=10.0)
        names = [member.instance.name for member in response.members]
        states = {member.state for member in response.members}
        live = [m for m in view.members if m.state == MemberState.LIVE]
        self.assertEqual(len(names), len(set(names)))
        self.assertNotIn(MemberState.LEAVING, states)
        self.assertEqual(bool(names), bool(view.list_serving()))
        self.assertLessEqual(response.valid_for_s, 10.0)
        if live:
            self.assertEqual(states, {MemberState.LIVE})
        regions = [member.instance.failure_domain.region for member in response.members]
        region = hint.split("-")[0]
        domains = [member.instance.failure_domain for member in view.members]
        known = any(hint in (domain.name, domain.region) for domain in domains)
        if known and any(m.instance.failure_domain.region == region for m in live):
            self.assertEqual(regions[0], region)
        if len({m.instance.failure_domain.name for m in live}) > 1:
            domains = {member.instance.failure_domain.name for member in response.members}
            self.assertGreater(len(domains), 1)

    @given(st.integers(2, 40), st.integers(0, 2**31), st.floats(1.0, 500.0))
    def test_consecutive_responses_are_even_despite_one_stale_load(
        self, count: int, seed: int, load: float
    ) -> None:
        """Guards against all callers being sent to the least loaded instance.

        All callers ask within the age of one load report and cache the response. However low or
        high that report is, no instance gets more than about twice its share, and the shares of
        the others differ by little.
        """
        members = [make_member(n, MemberState.LIVE, 10.0, "sierra") for n in range(count)]
        members[0] = replace(members[0], load=load)
        view = MembershipView(members=tuple(members))
        chosen = Counter(
            choose_addresses(view, caller_hint="sierra", seed=seed + n, validity_s=10.0)
            .members[0]
            .instance.name
            for n in range(20 * count)
        )
        self.assertLessEqual(max(chosen.values()), 2 * 20 + 4)
        others = [chosen[member.instance.name] for member in members[1:]]
        self.assertLessEqual(max(others) - min(others), 6)
        if load >= 20.0:
            self.assertLess(chosen["i00"], min(others))


if __name__ == "__main__":
    unittest.main()
