"""Tests of the selection of an endpoint's keeper."""

from __future__ import annotations

import unittest

from guavamast.fleet_objects import Endpoint, EndpointKind, FailureDomain, Instance
from guavamast.keeper_selection import select_keeper
from guavamast.members import Member, MembershipView, MemberState


def make_member(name: str, *, region: str, state: MemberState = MemberState.LIVE) -> Member:
    """Return a member in the domain ``{region}-a``."""
    instance = Instance(
        name=name,
        failure_domain=FailureDomain(name=f"{region}-a", region=region),
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
    )
    return Member(
        instance=instance, incarnation=1, state=state, heartbeat=0, configuration_version=1
    )


def make_endpoint(name: str, failure_domain: str) -> Endpoint:
    """Return an engine."""
    return Endpoint(
        name=name, kind=EndpointKind.ENGINE, url="", failure_domain=failure_domain, slots=1
    )


class KeeperSelectionTest(unittest.TestCase):
    """The keeper is in the endpoint's region while a member serves there."""

    def test_prefers_region(self) -> None:
        members = [make_member(f"n{i}", region="north") for i in range(3)]
        members += [make_member(f"s{i}", region="south") for i in range(3)]
        view = MembershipView(members=tuple(members))
        for number in range(20):
            keeper = select_keeper(make_endpoint(f"e{number}", "south-a"), view)
            self.assertEqual(keeper.instance.failure_domain.region, "south")

    def test_losing_one_member_moves_only_its_endpoints(self) -> None:
        members = [make_member(f"n{i}", region="north") for i in range(5)]
        before = MembershipView(members=tuple(members))
        after = MembershipView(members=tuple(members[1:]))
        for number in range(50):
            endpoint = make_endpoint(f"e{number}", "north-a")
            old = select_keeper(endpoint, before).instance.name
            if old != "n0":
                self.assertEqual(select_keeper(endpoint, after).instance.name, old)

    def test_leaving_member_keeps_nothing(self) -> None:
        leaving = make_member("n0", region="north", state=MemberState.LEAVING)
        view = MembershipView(members=(leaving,))
        self.assertIsNone(select_keeper(make_endpoint("e", "north-a"), view))
