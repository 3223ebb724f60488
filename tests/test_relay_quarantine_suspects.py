"""Tests of the choice of the attributes that explain the ends of endpoints."""

from __future__ import annotations

import unittest

from guavamast.relay.quarantine import CONTENT, PROMPT_PART, EndpointIncarnation, name_part
from guavamast.relay.quarantine.suspects import Suspect, find_explanations

NOW = 100.0
DIGEST = "c0ffee"
P = name_part("p")
Q = name_part("q")


def build_suspect(attribute: str, *ends: int, learned_at: float = 0.0) -> Suspect:
    """Return a suspect with numbered ends."""
    incarnations = [EndpointIncarnation(endpoint_id=f"e{end}", started_ms=None) for end in ends]
    return Suspect(
        attribute=attribute, organisation=None, ends=dict.fromkeys(incarnations, learned_at)
    )


class FindExplanationsTest(unittest.TestCase):
    """The narrowest attribute that explains the ends is chosen, or none."""

    def find(self, *suspects: Suspect, held: tuple[Suspect, ...] = ()) -> list[str]:
        found = find_explanations(suspects, held=held, now=NOW)
        return sorted(one.attribute for one in found)

    def test_a_part_needs_four_ends(self) -> None:
        self.assertEqual(self.find(build_suspect(P, 1, 2, 3)), [])
        self.assertEqual(self.find(build_suspect(P, 1, 2, 3, 4)), [P])

    def test_what_has_the_most_ends_in_common_wins(self) -> None:
        """Guards against an innocent part that ran beside the cause at most ends."""
        beside = build_suspect(Q, 1, 2, 3, 4)
        self.assertEqual(self.find(build_suspect(P, 1, 2, 3, 4, 5), beside), [P])

    def test_an_end_of_another_cause_makes_no_culprit_of_what_ran_beside(self) -> None:
        """Guards against a part with one end that the cause doesn't explain."""
        beside = build_suspect(Q, 1, 2, 3, 9)
        self.assertEqual(self.find(build_suspect(P, 1, 2, 3, 4, 5), beside), [P])

    def test_the_narrowest_of_equals_wins(self) -> None:
        """Guards against refusing all requests with a part for one of them."""
        part = build_suspect(P, 1, 2, 3, 4)
        self.assertEqual(self.find(part, build_suspect(DIGEST, 1, 2, 3, 4)), [DIGEST])
        part = build_suspect(P, 1, 2, 3, 4, 5)
        self.assertEqual(self.find(part, build_suspect(DIGEST, 1, 2, 3, 4, 5)), [DIGEST])
        held = build_suspect(DIGEST, 1, 2, 3, 4, 5)
        self.assertEqual(self.find(part, held=(held,)), [])

    def test_a_part_is_chosen_although_one_request_with_it_is_held(self) -> None:
        """Guards against a request that is often repeated and hides the part that is the cause."""
        held = build_suspect(DIGEST, 1, 2, 3)
        self.assertEqual(self.find(build_suspect(P, 1, 2, 3, 4), held=(held,)), [P])

    def test_a_common_part_does_not_delay_the_decision_on_a_content(self) -> None:
        content = build_suspect(DIGEST, 1, 2, 3)
        common = build_suspect(P, 1, 2, 3, 4, 5, learned_at=NOW)
        self.assertEqual(self.find(content, common), [DIGEST])

    def test_parts_that_cannot_be_told_apart_wait_for_one_more_end(self) -> None:
        self.assertEqual(self.find(build_suspect(P, 1, 2, 3, 4), build_suspect(Q, 1, 2, 3, 4)), [])
        alike = [build_suspect(name, 1, 2, 3, 4, 5) for name in (P, Q)]
        self.assertEqual(self.find(*alike), [P, Q])

    def test_parts_with_as_many_ends_of_which_some_are_common_wait(self) -> None:
        self.assertEqual(self.find(build_suspect(P, 1, 2, 3, 4), build_suspect(Q, 3, 4, 5, 6)), [])

    def test_two_causes_are_found_at_once(self) -> None:
        """Guards against two causes of which none explains the ends of the other."""
        first, second = build_suspect(P, 1, 3, 5, 7), build_suspect(Q, 2, 4, 6, 8)
        self.assertEqual(self.find(first, second), [P, Q])

    def test_ends_that_are_explained_count_for_nothing_else(self) -> None:
        """Guards against an innocent part that ran beside two causes, each explained alone."""
        held = (build_suspect(P, 1, 3, 5, 7), build_suspect(Q, 2, 4, 6, 8))
        beside = build_suspect(name_part("r"), 1, 2, 3, 4, 9)
        self.assertEqual(self.find(beside, held=held), [])

    def test_ends_count_once_answers_could_have_cleared(self) -> None:
        """Guards against a decision on ends that were just reported."""
        for kind, attribute in ((CONTENT, DIGEST), (PROMPT_PART, P)):
            early = NOW - kind.settle_s + 0.1
            fresh = build_suspect(attribute, 1, 2, 3, 4, learned_at=early)
            self.assertEqual(self.find(fresh), [])
            settled = build_suspect(attribute, 1, 2, 3, 4, learned_at=NOW - kind.settle_s)
            self.assertEqual(self.find(settled), [attribute])


if __name__ == "__main__":
    unittest.main()
