"""Property tests of the attribution of ends to parts of prompts, at any size."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.attribution_simulation import LOAD, AttributionSimulation, Findings, Scenario

MAX_LATER_SENDS = 1
"""Sends with a lethal part after the fleet had time to learn of its fifth end: less than half of
the three that are allowed."""
MAX_REFUSED_SHARE = 0.01
"""Share of sound requests that may be refused for rare parts that are held wrongly."""
MAX_BYTES_PER_S = 4_500.0
"""Bytes of reports a second for each instance: half of the budget for control."""
COMMON = tuple(f"part:f{kind}." for kind in (0, 2))
"""Beginnings of the parts that a twentieth of all requests have, or more."""

seeds = st.integers(0, 2**32 - 1)
losses = st.sampled_from((0.0, 0.03, 0.2))
loads = st.sampled_from((LOAD, LOAD / 4, 4.0 / 14.0))
pauses_s = st.sampled_from((0.3, 1.0, 1.5, 4.0))


class AttributionTest(unittest.TestCase):
    """What ends engines is found, and nothing that many requests share is taken for it."""

    def check(self, scenario: Scenario, seed: int) -> Findings:
        findings = AttributionSimulation(scenario, seed=seed).play()
        self.assertLessEqual(findings.later_sends, MAX_LATER_SENDS)
        self.assertLessEqual(findings.refused_sound, MAX_REFUSED_SHARE * findings.sound)
        held = [one for one in findings.held_innocents if one.startswith(COMMON)]
        self.assertEqual(held, [])
        return findings

    @settings(max_examples=20)
    @given(seeds, losses, loads, pauses_s, st.booleans())
    def test_a_lethal_part_is_found(
        self, seed: int, loss: float, load: float, pause_s: float, first: bool
    ) -> None:
        """Guards against a part that ends engine after engine."""
        scenario = Scenario(loss=loss, load=load, lethal_pause_s=pause_s, lethal_first=first)
        self.check(scenario, seed)

    @settings(max_examples=10)
    @given(seeds, losses, loads, pauses_s)
    def test_two_lethal_parts_are_found(
        self, seed: int, loss: float, load: float, pause_s: float
    ) -> None:
        """Guards against two causes of which none explains all ends."""
        scenario = Scenario(loss=loss, load=load, lethal_pause_s=pause_s, lethal_parts=2)
        self.check(scenario, seed)

    @settings(max_examples=8)
    @given(seeds, st.lists(st.floats(10.0, 30.0), min_size=1, max_size=8))
    def test_a_lethal_part_is_found_beside_other_ends(
        self, seed: int, spontaneous: list[float]
    ) -> None:
        scenario = Scenario(spontaneous_ends=tuple(spontaneous), outages=(14.0,))
        self.check(scenario, seed)

    @settings(max_examples=8)
    @given(seeds, st.lists(st.floats(10.0, 20.0), min_size=1, max_size=3))
    def test_evidence_outlasts_all_instances(self, seed: int, kills: list[float]) -> None:
        """Guards against a fleet that is killed again and again and never finds the part."""
        self.check(Scenario(kills=tuple(kills)), seed)

    @settings(max_examples=12)
    @given(
        seeds,
        loads,
        st.lists(st.floats(10.0, 35.0), max_size=12),
        st.lists(st.floats(10.0, 35.0), max_size=3),
    )
    def test_ends_without_a_common_cause_hold_nothing_common(
        self, seed: int, load: float, spontaneous: list[float], outages: list[float]
    ) -> None:
        """Guards against crashes and outages after which sound requests are refused."""
        scenario = Scenario(
            load=load,
            lethal_pause_s=float("inf"),
            spontaneous_ends=tuple(spontaneous),
            outages=tuple(outages),
        )
        self.check(scenario, seed)

    def test_a_lethal_part_is_found_in_large_fleets(self) -> None:
        """Guards against reports that fill the links between instances."""
        for instances in (112, 350):
            with self.subTest(instances=instances):
                scenario = Scenario(instances=instances, length_s=22.0)
                findings = self.check(scenario, seed=1)
                self.assertLess(findings.bytes_per_s, MAX_BYTES_PER_S * instances)


if __name__ == "__main__":
    unittest.main()
