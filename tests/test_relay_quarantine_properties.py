"""Property tests of the quarantine: a culprit is contained, innocents are not, at any size."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.relay.peers import FULL_MESH_INSTANCES, compute_heartbeat_interval
from guavamast.relay.quarantine.ledger import OUTAGE_TRIAL_AFTER_S, TRIAL_AFTER_S
from tests.quarantine_simulation import AGGREGATORS, CULPRIT, RUN_S, WINDOW_S, FleetSimulation

LENGTH_S = 100.0
MAX_LATER_SENDS = 3
"""Sends of the culprit after the fleet had time to learn of its third end."""
LARGE_LENGTH_S = 45.0
OUTAGE_LENGTH_S = 40.0
COMMON = "common"
SLACK_S = 2.0
"""Seconds until the next request after a trial is due, its run, and the reports of it."""
CALLER_PAUSES_S = ((0.02, 0.9, 3.5, 4.0), (0.3, 0.4))
"""Pauses between the culprit's requests: pairs some seconds apart, or an impatient caller."""
INNOCENTS = 12
"""Contents of other callers, each of which is requested again and again."""

seeds = st.integers(0, 2**32 - 1)
losses = st.sampled_from((0.0, 0.03, 0.2))


def build_fleet(seed: int, *, instances: int, loss: float, engines: int = 9) -> FleetSimulation:
    """Return a fleet whose callers repeat the culprit, alone and in pairs, beside innocents."""
    fleet = FleetSimulation(
        instances=instances, engines=engines, loss=loss, max_delay_s=0.2, random=Random(seed)
    )
    at = 1.0
    pauses = fleet.random.choice(CALLER_PAUSES_S)
    while at < LENGTH_S:
        fleet.schedule(at, lambda: fleet.request(CULPRIT, run_s=RUN_S))
        at += fleet.random.choice(pauses)
    for number in range(INNOCENTS):
        at = fleet.random.uniform(0.0, 3.0)
        while at < LENGTH_S - 30.0:
            run_s = fleet.random.uniform(0.05, 2.5)
            fleet.schedule(
                at, lambda n=number, r=run_s: fleet.request(f"innocent-{n}", run_s=r, repeats=1)
            )
            at += fleet.random.uniform(0.2, 6.0)
    return fleet


def count_later_sends(fleet: FleetSimulation) -> int:
    """Return the culprit's sends after its third end and the window."""
    ends = sorted(fleet.culprit_ends)
    if len(ends) < 3:
        return 0
    return sum(sent_at > ends[2] + WINDOW_S for sent_at in fleet.culprit_sends)


def count_heartbeats(instances: int) -> float:
    """Return the heartbeats a second of a fleet, each to all others or to two aggregators."""
    targets = instances - 1 if instances <= FULL_MESH_INSTANCES else AGGREGATORS
    return instances * targets / compute_heartbeat_interval(instances)


class ContainmentTest(unittest.TestCase):
    """What ends engines is kept from them; what ran beside it is answered."""

    def check_contained(self, seed: int, *, instances: int, loss: float, length_s: float) -> None:
        fleet = build_fleet(seed, instances=instances, loss=loss)
        fleet.run(length_s)
        self.assertGreaterEqual(len(fleet.culprit_ends), 3)
        self.assertLessEqual(count_later_sends(fleet), MAX_LATER_SENDS)
        self.assertLess(fleet.datagrams, count_heartbeats(instances) * length_s)
        self.check_released(fleet)

    def check_released(self, fleet: FleetSimulation) -> None:
        """Check that no innocent content was refused for longer than until its first trial."""
        for content, times in fleet.refusals.items():
            if content != CULPRIT:
                spans = find_spans(times)
                self.assertLessEqual(max(spans), TRIAL_AFTER_S, content)
        for number in range(INNOCENTS):
            self.assertEqual(fleet.count_held(f"innocent-{number}"), 0)

    @settings(max_examples=40)
    @given(seeds, losses)
    def test_a_culprit_is_contained_in_a_mesh(self, seed: int, loss: float) -> None:
        """Guards against a fleet that learns of a culprit too late, or not everywhere."""
        self.check_contained(seed, instances=14, loss=loss, length_s=LENGTH_S)

    @settings(max_examples=3)
    @given(seeds, losses)
    def test_a_culprit_is_contained_in_a_large_fleet(self, seed: int, loss: float) -> None:
        """Guards against a fleet with aggregators that learns of a culprit too late."""
        self.check_contained(seed, instances=350, loss=loss, length_s=LARGE_LENGTH_S)

    @settings(max_examples=30)
    @given(seeds, losses)
    def test_a_common_content_is_released_after_an_outage(self, seed: int, loss: float) -> None:
        """Guards against an innocent content that is refused since it ran wherever engines ended.

        All engines end at once, each with the same content, and nobody is left to answer it.
        """
        fleet = FleetSimulation(
            instances=14, engines=5, loss=loss, max_delay_s=0.2, random=Random(seed)
        )
        at = 0.0
        while at < OUTAGE_LENGTH_S:
            fleet.schedule(at, lambda: fleet.request(COMMON, run_s=0.4))
            at += fleet.random.uniform(0.01, 0.1)
        fleet.schedule(5.0, lambda: fleet.end_engines(fleet.engines))
        fleet.run(OUTAGE_LENGTH_S)
        refused = fleet.refusals.get(COMMON, [])
        if refused:
            self.assertLessEqual(refused[-1] - refused[0], OUTAGE_TRIAL_AFTER_S + SLACK_S)
        self.assertEqual(fleet.count_held(COMMON), 0)


def find_spans(times: list[float]) -> list[float]:
    """Return the lengths of the spans in which requests were refused without a long pause."""
    spans = []
    start = previous = times[0]
    for at in times[1:]:
        if at - previous > OUTAGE_TRIAL_AFTER_S:
            spans.append(previous - start)
            start = at
        previous = at
    return [*spans, previous - start]


if __name__ == "__main__":
    unittest.main()
