"""Tests of what is common among answered requests."""

from __future__ import annotations

import unittest

from guavamast.relay.messages import PromptPart
from guavamast.relay.quarantine import AnsweredParts, name_part
from guavamast.relay.quarantine.answered_parts import MAX_ANSWERS, MIN_ANSWERS


def build_prompt(*parts: str) -> tuple[PromptPart, ...]:
    """Return a prompt; its last part is its caller's."""
    return tuple(PromptPart(part_id=part, tokens=10) for part in (*parts, "own"))


class AnsweredPartsTest(unittest.TestCase):
    """What many answered requests have is common; what ends endpoints is in none."""

    def setUp(self) -> None:
        self.answered = AnsweredParts()

    def record(self, count: int, *parts: str) -> None:
        for _ in range(count):
            self.answered.record(build_prompt(*parts))

    def test_the_first_part_of_many_prompts_is_common(self) -> None:
        self.record(10, "first", "a")
        self.record(90, "b")
        self.assertTrue(self.answered.is_common(name_part("first")))
        self.assertTrue(self.answered.was_answered(name_part("first")))

    def test_a_part_of_few_or_no_prompts_is_not(self) -> None:
        self.record(97, "b")
        self.record(3, "rare")
        self.assertFalse(self.answered.is_common(name_part("rare")))
        self.assertFalse(self.answered.is_common(name_part("dead")))
        self.assertFalse(self.answered.was_answered(name_part("dead")))

    def test_the_last_part_is_nobody_elses(self) -> None:
        self.record(10, "b")
        self.assertFalse(self.answered.is_common(name_part("own")))

    def test_without_answers_any_part_may_be_common(self) -> None:
        """Guards against an instance that has just started and holds what all prompts have."""
        self.record(MIN_ANSWERS - 1, "b")
        self.assertTrue(self.answered.is_common(name_part("dead")))
        self.record(1, "b")
        self.assertFalse(self.answered.is_common(name_part("dead")))

    def test_a_content_is_never_common(self) -> None:
        self.assertFalse(self.answered.is_common("c0ffee"))

    def test_a_part_that_is_no_longer_answered_leaves_the_sample(self) -> None:
        self.record(MAX_ANSWERS, "once")
        self.record(MAX_ANSWERS, "b")
        self.assertFalse(self.answered.is_common(name_part("once")))


if __name__ == "__main__":
    unittest.main()
