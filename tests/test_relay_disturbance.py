"""Tests of the streams that suffer when long prompts are read beside them, and of where they go.

The pattern: short questions whose answers may pause 120 ms share engines with dossiers of 3,000
unread tokens and more. The engine reads 40 tokens a millisecond in pieces between the tokens of
running requests, and an event holds four tokens: while it reads, an event takes 4 x (5 + 25) =
120 ms instead of 20, so every question that runs there is late, however idle the engine.
"""

from __future__ import annotations

import unittest
from random import Random

from guavamast.relay.catalog import RouteKind
from guavamast.relay.disturbance import estimate_delayed_share, is_delicate
from guavamast.relay.endpoint_choice import EndpointChooser
from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.engine_profile import EngineProfile
from guavamast.relay.placement import Placement
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.prompt_lanes import assign_buckets
from tests.relay_facts import make_endpoint, make_route

READING = EngineProfile(
    first_event_ms=30.0,
    read_tokens_per_ms=40.0,
    token_ms=5.5,
    run_ms=900.0,
    reading_pause_ms=130.0,
)
SHARES = (0.5, 0.5, 0.0)


class DelicateRouteTest(unittest.TestCase):
    """Whether a route is delicate depends on the pauses that its engines make while they read."""

    def test_pause_allowed_against_pause_made(self) -> None:
        for pause_s, delicate in ((0.12, True), (0.15, True), (0.2, False), (None, False)):
            route = make_route(kind=RouteKind.STREAM, longest_pause_s=pause_s)
            self.assertEqual(is_delicate(route, READING), delicate, pause_s)

    def test_late_share_grows_with_the_reading(self) -> None:
        shares = [
            estimate_delayed_share(ms, pause_s=0.12) for ms in (0.0, 60.0, 90.0, 120.0, 900.0)
        ]
        self.assertEqual(shares, [0.0, 0.0, 0.5, 1.0, 1.0])


class ApartTest(unittest.TestCase):
    """Delicate streams and long prompts keep off each other's engines."""

    def setUp(self) -> None:
        self.loads = EndpointLoads()
        self.endpoints = [make_endpoint(f"e{number}", slots=32) for number in range(8)]
        self.lanes = assign_buckets(self.endpoints, SHARES)
        self.quiet = sorted(name for name, lane in self.lanes.items() if lane == 0)
        self.reading = sorted(name for name, lane in self.lanes.items() if lane == 1)

    def choose(self, *, tokens: int, delicate: bool) -> str:
        placement = Placement(
            prompt_parts=(),
            prompt_tokens=tokens,
            failure_domain="a",
            lane=0 if delicate else 1,
            lane_shares=SHARES,
            output_tokens=200,
            memory_tokens=300_000,
            profile=READING,
            delicate=delicate,
            shortest_pause_s=0.12,
        )
        chooser = EndpointChooser(loads=self.loads, cache=PromptCache(), random=Random(3))
        choice = chooser.choose(placement, self.endpoints, exclude=frozenset(), now=0.0)
        assert choice is not None
        return choice.record.endpoint_id

    def test_a_question_stays_among_questions_though_other_engines_idle(self) -> None:
        """Thirty-one questions run at each engine of their lane; the other engines do nothing.

        A question that goes there would be late as soon as the next dossier comes.
        """
        busy = {name: Load(requests=31, delicate=31) for name in self.quiet}
        self.loads.take_peer("peer", busy)
        self.assertIn(self.choose(tokens=800, delicate=True), self.quiet)

    def test_a_question_avoids_the_engine_that_reads_a_dossier(self) -> None:
        self.loads.take_peer("peer", {self.quiet[0]: Load(requests=1, prefill_tokens=12_000)})
        for name in self.quiet[1:]:
            self.loads.take_peer(f"p{name}", {name: Load(requests=9, delicate=9)})
        self.assertIn(self.choose(tokens=800, delicate=True), self.quiet[1:])

    def test_a_dossier_waits_rather_than_make_questions_late(self) -> None:
        """An engine has just changed to the dossiers' lane, and three questions still run there.

        The other engines of the lane have 300 ms to read. The dossier goes behind it, well within
        its objective, and the questions end undisturbed.
        """
        changed, *others = self.reading
        self.loads.take_peer("peer", {changed: Load(requests=3, delicate=3)})
        for name in others:
            self.loads.take_peer(f"p{name}", {name: Load(requests=2, prefill_tokens=12_000)})
        self.assertIn(self.choose(tokens=9_000, delicate=False), others)

    def test_a_prompt_that_is_soon_read_disturbs_nobody(self) -> None:
        changed, *others = self.reading
        self.loads.take_peer("peer", {changed: Load(requests=3, delicate=3)})
        for name in others:
            self.loads.take_peer(f"p{name}", {name: Load(requests=2, prefill_tokens=12_000)})
        self.assertEqual(self.choose(tokens=2_000, delicate=False), changed)


if __name__ == "__main__":
    unittest.main()
