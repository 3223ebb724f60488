"""Properties of the operators' configuration over its changes."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.caller_gate import Admitted, CallerGate
from guavamast.relay.catalog import CallerOrganisation, Catalog, Route
from tests.relay_fixtures import BOUNDS, build_catalog, build_request, build_route

FIRST_EQUAL_URGENCY = 5
"""From here on the range of engines has no room to tell urgencies apart."""
HOST = "portal.example"

urgencies = st.integers(min_value=0, max_value=12)
organisation_urgencies = st.none() | urgencies
versions = st.tuples(
    st.lists(urgencies, min_size=1, max_size=4),
    st.lists(organisation_urgencies, min_size=1, max_size=4),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """A request to an engine."""

    urgency: int
    """What the users set: the organisation's urgency, else the route's."""
    told: int
    """What the engine is told."""


def build_version(route_urgencies: list[int], holders: list[int | None]) -> Catalog:
    """Return a version with a route for each urgency, and an organisation for each holder."""
    routes = [
        build_route(name=f"r{n}", host=HOST, path_prefix=f"/{n}/", urgency=urgency)
        for n, urgency in enumerate(route_urgencies)
    ]
    template = build_catalog(*routes)
    organisations = {
        f"key{n}": CallerOrganisation(name=f"o{n}", urgency=urgency)
        for n, urgency in enumerate(holders)
    }
    return Catalog(
        version=1,
        row_version=1,
        routes=routes,
        services=[],
        organisations=organisations,
        limits=template.limits,
    )


def list_sent(catalog: Catalog, routes: int) -> list[Sent]:
    """Return a request of each organisation on each route, as a version admits them."""
    gate = CallerGate(bounds=BOUNDS)
    sent = []
    for number in range(routes):
        for key in catalog.organisations or {}:
            request = build_request(host=HOST, target=f"/{number}/x", api_key=key)
            admitted = gate.decide(request, catalog, age_s=0.0)
            assert isinstance(admitted, Admitted)
            urgency = resolve(admitted.route, admitted.organisation)
            sent.append(Sent(urgency=urgency, told=admitted.urgency))
    return sent


def resolve(route: Route, organisation: CallerOrganisation | None) -> int:
    """Return what the users set for a request."""
    assert organisation is not None
    return route.urgency if organisation.urgency is None else organisation.urgency


class UrgencyOrderTest(unittest.TestCase):
    """Engines preempt by what they are told, whichever version admitted a request."""

    @given(before=versions, after=versions)
    def test_versions_do_not_contradict_the_order_of_urgencies(
        self,
        before: tuple[list[int], list[int | None]],
        after: tuple[list[int], list[int | None]],
    ) -> None:
        """Guards against a less urgent request that runs on while a more urgent one is stopped."""
        requests = [
            sent
            for routes, holders in (before, after)
            for sent in list_sent(build_version(routes, holders), len(routes))
        ]
        for one in requests:
            for other in requests:
                if one.urgency >= other.urgency:
                    continue
                self.assertLessEqual(one.told, other.told, (one, other))
                if one.urgency < FIRST_EQUAL_URGENCY:
                    self.assertLess(one.told, other.told, (one, other))
