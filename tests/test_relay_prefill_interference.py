"""Tests of pause-sensitive streams and of their separation from long prefills.

The scenario: short questions whose answers may pause 120 ms share engines with dossiers of 3,000
uncached tokens and more. The engine prefills 40 tokens per millisecond in chunks between the tokens
of running requests, and an event holds four tokens. During a prefill, an event takes 4 x (5 + 25) =
120 ms instead of 20, so every question that runs there is late, however idle the engine.
"""

from __future__ import annotations

import unittest
from random import Random

from guavamast.relay.catalog import RouteKind
from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.placement.endpoint_choice import EndpointChooser
from guavamast.relay.placement.engine_profile import EngineProfile
from guavamast.relay.placement.length_buckets import assign_buckets
from guavamast.relay.placement.placement import Placement
from guavamast.relay.placement.prefill_interference import (
    estimate_delayed_share,
    is_pause_sensitive,
)
from guavamast.relay.placement.prompt_cache import PromptCache
from tests.relay_fixtures import build_endpoint, build_route

PROFILE = EngineProfile(
    first_event_ms=30.0,
    read_tokens_per_ms=40.0,
    token_ms=5.5,
    run_ms=900.0,
    reading_pause_ms=130.0,
)
SHARES = (0.5, 0.5, 0.0)


class PauseSensitiveRouteTest(unittest.TestCase):
    """Whether a route is pause-sensitive depends on the pauses that prefill causes."""

    def test_pause_allowed_against_pause_made(self) -> None:
        for pause_s, pause_sensitive in ((0.12, True), (0.15, True), (0.2, False), (None, False)):
            route = build_route(kind=RouteKind.STREAM, longest_pause_s=pause_s)
            self.assertEqual(is_pause_sensitive(route, PROFILE), pause_sensitive, pause_s)

    def test_late_share_grows_with_the_reading(self) -> None:
        shares = [
            estimate_delayed_share(ms, pause_s=0.12) for ms in (0.0, 60.0, 90.0, 120.0, 900.0)
        ]
        self.assertEqual(shares, [0.0, 0.0, 0.5, 1.0, 1.0])


class PauseSensitivePlacementTest(unittest.TestCase):
    """Pause-sensitive streams and long prompts use different engines."""

    def setUp(self) -> None:
        self.loads = EndpointLoads()
        self.endpoints = [build_endpoint(f"e{number}", slots=32) for number in range(8)]
        self.buckets = assign_buckets(self.endpoints, SHARES)
        self.short_engines = sorted(name for name, bucket in self.buckets.items() if bucket == 0)
        self.long_engines = sorted(name for name, bucket in self.buckets.items() if bucket == 1)

    def choose(self, *, tokens: int, pause_sensitive: bool) -> str:
        placement = Placement(
            prompt_parts=(),
            prompt_tokens=tokens,
            failure_domain="a",
            bucket=0 if pause_sensitive else 1,
            bucket_shares=SHARES,
            output_tokens=200,
            kv_capacity_tokens=300_000,
            profile=PROFILE,
            pause_sensitive=pause_sensitive,
            shortest_pause_s=0.12,
        )
        chooser = EndpointChooser(loads=self.loads, cache=PromptCache(), random=Random(3))
        choice = chooser.choose(placement, self.endpoints, exclude=frozenset(), now=0.0)
        assert choice is not None
        return choice.record.endpoint_id

    def test_pause_sensitive_request_stays_in_its_bucket_while_other_engines_idle(self) -> None:
        """Guards against a question at an idle engine of the dossiers' bucket.

        Thirty-one questions run at each engine of their own bucket; the other engines are idle.
        There, a question would be late as soon as the next dossier arrives.
        """
        busy = {name: Load(requests=31, pause_sensitive=31) for name in self.short_engines}
        self.loads.replace_peer("peer", busy)
        self.assertIn(self.choose(tokens=800, pause_sensitive=True), self.short_engines)

    def test_pause_sensitive_request_avoids_an_engine_with_pending_prefill(self) -> None:
        self.loads.replace_peer(
            "peer", {self.short_engines[0]: Load(requests=1, prefill_tokens=12_000)}
        )
        for name in self.short_engines[1:]:
            self.loads.replace_peer(f"p{name}", {name: Load(requests=9, pause_sensitive=9)})
        self.assertIn(self.choose(tokens=800, pause_sensitive=True), self.short_engines[1:])

    def test_long_prompt_waits_rather_than_delay_pause_sensitive_streams(self) -> None:
        """Guards against a dossier that makes running questions late.

        An engine has just changed to the dossiers' bucket, and three questions still run there. The
        other engines of the bucket have 300 ms of prefill. The dossier waits behind that, well
        within its objective, and the questions end in time.
        """
        changed, *others = self.long_engines
        self.loads.replace_peer("peer", {changed: Load(requests=3, pause_sensitive=3)})
        for name in others:
            self.loads.replace_peer(f"p{name}", {name: Load(requests=2, prefill_tokens=12_000)})
        self.assertIn(self.choose(tokens=9_000, pause_sensitive=False), others)

    def test_short_prefill_may_join_pause_sensitive_streams(self) -> None:
        changed, *others = self.long_engines
        self.loads.replace_peer("peer", {changed: Load(requests=3, pause_sensitive=3)})
        for name in others:
            self.loads.replace_peer(f"p{name}", {name: Load(requests=2, prefill_tokens=12_000)})
        self.assertEqual(self.choose(tokens=2_000, pause_sensitive=False), changed)


if __name__ == "__main__":
    unittest.main()
