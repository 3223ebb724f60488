"""Properties of membership: the algebraic laws of `join`."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.fleet_objects import FailureDomain, Instance
from guavamast.member_records import join
from guavamast.members import Member, MembershipView, MemberState
from guavamast.membership import Membership


def make_instance(name: str, *, region: str = "sierra", port: int = 1) -> Instance:
    """Return an instance of a region."""
    return Instance(
        name=name,
        failure_domain=FailureDomain(name=f"{region}-a", region=region),
        caller_address=f"127.0.0.1:{port}",
        peer_address=f"127.0.0.1:{port + 1}",
    )


def records(names: st.SearchStrategy[str]) -> st.SearchStrategy[Member]:
    """Return a strategy for records with small numbers, so that they tie often."""
    return st.builds(
        Member,
        instance=st.builds(make_instance, names, port=st.integers(1, 2)),
        incarnation=st.integers(1, 3),
        state=st.sampled_from(MemberState),
        heartbeat=st.integers(0, 3),
        configuration_version=st.integers(0, 3),
        load=st.integers(0, 3).map(float),
    )


ONE = records(st.just("a"))
SOME = st.lists(records(st.sampled_from("abc")), max_size=6)


def view_after(batches: list[list[Member]]) -> MembershipView:
    """Return the view of an instance after it merged some batches."""
    membership = Membership(me=make_instance("me"), incarnation=1, now=0.0)
    for batch in batches:
        membership.merge(batch, now=0.0)
    return membership.create_view(now=0.0)


class JoinLawsTest(unittest.TestCase):
    """Messages arrive in any order, grouped in any way and more than once."""

    @given(ONE, ONE, ONE)
    def test_join_is_a_least_upper_bound(self, a: Member, b: Member, c: Member) -> None:
        self.assertEqual(join(a, a), a)
        self.assertEqual(join(a, b), join(b, a))
        self.assertEqual(join(join(a, b), c), join(a, join(b, c)))

    @given(SOME, SOME, SOME)
    def test_merge_ignores_order_grouping_and_repeats(
        self, a: list[Member], b: list[Member], c: list[Member]
    ) -> None:
        expected = view_after([a, b, c])
        self.assertEqual(view_after([c, b, a]), expected)
        self.assertEqual(view_after([[*b, *c], a]), expected)
        self.assertEqual(view_after([a, b, a, c, b]), expected)


if __name__ == "__main__":
    unittest.main()
