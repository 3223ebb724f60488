"""Tests of learnt engine profiles, and of decisions for engines of different speed.

The stand-in engine computes its times without a network: it prefills pending prompts one after the
other, then takes a fixed time to the first event.
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from random import Random

from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.placement.admission import WaitParameters, admit
from guavamast.relay.placement.endpoint_choice import EndpointChooser
from guavamast.relay.placement.engine_forecast import forecast
from guavamast.relay.placement.engine_profile import (
    PRIOR,
    EngineProfiles,
    Estimate,
    ProfileEstimates,
)
from guavamast.relay.placement.length_buckets import BUCKETS, find_bucket
from guavamast.relay.placement.placement import Placement
from guavamast.relay.placement.prompt_cache import PromptCache
from tests.relay_fixtures import build_endpoint, build_parts


@dataclass(frozen=True, slots=True, kw_only=True)
class StandInEngine:
    """An engine whose answers take a known time."""

    first_event_ms: float
    read_tokens_per_ms: float
    token_ms: float
    pause_ms: float
    """Longest pause of a stream while a long prompt is read."""
    slots: int
    objective_s: float
    """Objective of the most urgent requests."""

    def compute_first_event_ms(self, uncached_tokens: int) -> float:
        """Return the milliseconds to the first event after this many prefill tokens."""
        return self.first_event_ms + uncached_tokens / self.read_tokens_per_ms


FAST = StandInEngine(
    first_event_ms=30.0,
    read_tokens_per_ms=120.0,
    token_ms=3.0,
    pause_ms=60.0,
    slots=64,
    objective_s=0.3,
)
SLOW = StandInEngine(
    first_event_ms=60.0,
    read_tokens_per_ms=30.0,
    token_ms=12.0,
    pause_ms=240.0,
    slots=16,
    objective_s=0.6,
)
"""Four times slower, with a quarter of the slots and other objectives."""


def record_answers(
    engine: StandInEngine, profiles: EngineProfiles, *, answers: int = 24, seed: int = 1
) -> None:
    """Record some answers of an engine; for one in six, the known load is wrong."""
    random = Random(seed)
    for number in range(answers):
        now = number * 0.4
        uncached_tokens = random.choice((100, 400, 3_000, 9_000, 16_000))
        known = uncached_tokens if random.random() < 5 / 6 else uncached_tokens * 4
        took_ms = engine.compute_first_event_ms(uncached_tokens) * random.uniform(0.9, 1.1)
        profiles.record_first_event("pool", uncached_tokens=known, took_ms=took_ms, now=now)
        tokens = random.randint(20, 400)
        profiles.record_run("pool", output_tokens=tokens, run_ms=tokens * engine.token_ms, now=now)
        profiles.record_pause(
            "pool", uncached_tokens=uncached_tokens, pause_ms=engine.pause_ms, now=now
        )


class EngineProfilesTest(unittest.TestCase):
    """A profile converges to the engines' performance, whatever the prior."""

    def test_engines_of_different_speed_get_different_profiles(self) -> None:
        for engine in (FAST, SLOW):
            profiles = EngineProfiles()
            record_answers(engine, profiles)
            found = profiles.find("pool", now=10.0)
            for name in ("first_event_ms", "read_tokens_per_ms", "token_ms"):
                true = getattr(engine, name)
                self.assertAlmostEqual(getattr(found, name), true, delta=0.35 * true, msg=name)
            true = engine.pause_ms
            self.assertAlmostEqual(found.reading_pause_ms, true, delta=0.35 * true)

    def test_nothing_seen_leaves_the_prior(self) -> None:
        self.assertEqual(EngineProfiles().find("pool", now=0.0), PRIOR)

    def test_what_others_have_seen_counts_until_they_are_gone(self) -> None:
        """An instance that has just started forecasts with the estimates of the others."""
        others = EngineProfiles()
        record_answers(SLOW, others)
        mine = EngineProfiles()
        mine.replace_peer("other", others.list_own(now=10.0))
        learnt = mine.find("pool", now=10.0)
        self.assertLess(learnt.read_tokens_per_ms, 40.0)
        mine.retain_peers(set())
        self.assertEqual(mine.find("pool", now=20.0), PRIOR)

    def test_one_instance_that_is_far_off_changes_little(self) -> None:
        profiles = EngineProfiles()
        for number in range(9):
            others = EngineProfiles()
            record_answers(SLOW, others, seed=number)
            profiles.replace_peer(f"p{number}", others.list_own(now=10.0))
        before = profiles.find("pool", now=10.0).read_tokens_per_ms
        far = Estimate(value=3_000.0, samples=24)
        profiles.replace_peer(
            "wrong",
            {
                "pool": ProfileEstimates(
                    first_event_ms=far,
                    read_tokens_per_ms=far,
                    token_ms=far,
                    run_ms=far,
                    reading_pause_ms=far,
                )
            },
        )
        after = profiles.find("pool", now=11.0).read_tokens_per_ms
        self.assertLess(after, 2.0 * before)

    def test_samples_of_engines_that_were_replaced_are_forgotten(self) -> None:
        profiles = EngineProfiles()
        record_answers(SLOW, profiles)
        found = profiles.find("pool", now=60.0)
        self.assertAlmostEqual(found.read_tokens_per_ms, PRIOR.read_tokens_per_ms)


class HeterogeneousEnginesTest(unittest.TestCase):
    """Decisions are right for fast and for slow engines, once their profiles are learnt.

    The scenario: a fleet moves to engines that are four times slower, with other objectives. A
    model with fixed engine figures would let queues grow four times longer than it forecasts.
    """

    def setUp(self) -> None:
        self.learnt: dict[str, EngineProfiles] = {}
        for name, engine in (("fast", FAST), ("slow", SLOW)):
            self.learnt[name] = EngineProfiles()
            record_answers(engine, self.learnt[name])

    def test_admission_lets_in_what_can_be_in_time(self) -> None:
        """Queues may grow to the allowed share of each objective, within a third."""
        for name, engine in (("fast", FAST), ("slow", SLOW)):
            profile = self.learnt[name].find("pool", now=10.0)
            queue = Load()
            while True:
                expected = forecast(
                    queue,
                    profile,
                    uncached_tokens=500,
                    kv_tokens=500,
                    slots=engine.slots,
                    kv_capacity_tokens=0,
                )
                rejection = admit(
                    expected,
                    WaitParameters(objective_s=engine.objective_s, latency_tolerant=False),
                    random=Random(1),
                )
                if rejection is not None:
                    break
                queue.prefill_tokens += 500
            waited_ms = queue.prefill_tokens / engine.read_tokens_per_ms
            allowed_ms = 0.75 * engine.objective_s * 1000.0
            self.assertAlmostEqual(waited_ms, allowed_ms, delta=allowed_ms / 3, msg=name)

    def test_buckets_follow_prefill_times(self) -> None:
        buckets = {}
        for name, engine in (("fast", FAST), ("slow", SLOW)):
            profile = self.learnt[name].find("pool", now=10.0)
            buckets[name] = find_bucket(
                3_500, objective_s=5.0, shortest_s=engine.objective_s, profile=profile
            )
        self.assertEqual(buckets["fast"], 1)
        self.assertEqual(buckets["slow"], 1)
        for name, engine, tokens in (("fast", FAST, 1_500), ("slow", SLOW, 800)):
            profile = self.learnt[name].find("pool", now=10.0)
            bucket = find_bucket(
                tokens, objective_s=5.0, shortest_s=engine.objective_s, profile=profile
            )
            self.assertEqual(bucket, 0, name)

    def test_cached_prefix_is_weighed_against_its_prefill_time(self) -> None:
        """A part is in the KV cache of an engine with a queue; a second engine is idle.

        Where the part is prefilled in 33 ms, the cache isn't worth a wait of 300 ms; where that
        takes 133 ms, or six times as much with its price, it is.
        """
        chosen = {}
        for name, engine in (("fast", FAST), ("slow", SLOW)):
            loads = EndpointLoads()
            queue_tokens = int(300.0 * engine.read_tokens_per_ms)
            loads.replace_peer("peer", {"warm": Load(requests=2, prefill_tokens=queue_tokens)})
            cache = PromptCache()
            cache.record("warm", "session", 4_000, now=0.0)
            chooser = EndpointChooser(loads=loads, cache=cache, random=Random(1))
            placement = Placement(
                prompt_parts=build_parts(("session", 4_000), ("own", 100)),
                prompt_tokens=4_100,
                failure_domain="a",
                bucket=0,
                bucket_shares=(1.0,) + (0.0,) * (BUCKETS - 1),
                output_tokens=50,
                kv_capacity_tokens=600_000,
                profile=self.learnt[name].find("pool", now=10.0),
            )
            endpoints = [build_endpoint(one, slots=engine.slots) for one in ("warm", "cold")]
            choice = chooser.choose(placement, endpoints, exclude=frozenset(), now=0.0)
            assert choice is not None
            chosen[name] = choice.record.endpoint_id
        self.assertEqual(chosen, {"fast": "cold", "slow": "warm"})


if __name__ == "__main__":
    unittest.main()
