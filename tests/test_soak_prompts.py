"""Tests of the soak's checks of prompts with a part that ends engines."""

from __future__ import annotations

import unittest
from random import Random
from unittest import mock

from soak.guarantees import RequestKind, RequestRecord, RunRecord, Span, find_fifth_end
from soak.prompts import LETHAL_PART, PromptCrowd


def build_run(number: int, *, at: float, engine: str | None = None) -> RunRecord:
    """Return a run with the lethal part, at an engine of its own unless given."""
    return RunRecord(
        request_id=f"part-{number}",
        engine=engine or f"e{number}",
        organisation="bakery",
        started_at=at,
        unmodified=True,
        lethal=True,
        lethal_part=LETHAL_PART,
    )


def build_sound(*, at: float, served: bool) -> RequestRecord:
    """Return a sound request."""
    return RequestRecord(
        request_id="sound",
        kind=RequestKind.STREAM,
        organisation="bakery",
        sent_at=at,
        ended_at=at + 0.1,
        status=200 if served else 502,
        response_id="sound",
        body=b"",
        expected_body=b"",
        complete=served,
    )


class PromptChecksTest(unittest.TestCase):
    """Runs later than the bound count, and sound requests that fail beside them."""

    def setUp(self) -> None:
        self.crowd = PromptCrowd(site=mock.Mock(), random=Random(1))
        instance = mock.Mock(disruptions=[])
        self.crowd.senders = {f"part-{number}": instance for number in range(20)}
        self.runs = [build_run(number, at=10.0 + number) for number in range(5)]

    def find(self, *, disruptions: list[Span] | None = None) -> list[str]:
        return self.crowd.find_violations(self.runs, disruptions or [], until=30.0)

    def test_the_first_run_at_an_engine_ends_it(self) -> None:
        again = build_run(9, at=10.01, engine="e0")
        self.assertIsNone(find_fifth_end([*self.runs[:4], again]))
        fifth_at = find_fifth_end([*self.runs, again])
        assert fifth_at is not None
        self.assertAlmostEqual(fifth_at, 14.05)

    def test_two_later_runs_are_too_many(self) -> None:
        self.runs.append(build_run(5, at=17.5))
        self.assertEqual(self.find(), [])
        self.runs.append(build_run(6, at=18.5))
        self.assertEqual(len(self.find()), 1)

    def test_runs_within_the_window_are_allowed(self) -> None:
        self.runs += [build_run(5 + number, at=15.0 + 0.1 * number) for number in range(8)]
        self.assertEqual(self.find(), [])

    def test_runs_by_a_disturbed_instance_are_allowed(self) -> None:
        """Guards against blaming an instance that has just started for what it can't know."""
        disturbed = mock.Mock(disruptions=[Span(started_at=16.0, ended_at=17.0)])
        self.runs += [build_run(number, at=18.0) for number in (5, 6)]
        self.crowd.senders["part-5"] = self.crowd.senders["part-6"] = disturbed
        self.assertEqual(self.find(), [])

    def test_sound_requests_that_fail_afterwards_are_found(self) -> None:
        self.crowd.requests = [build_sound(at=8.0 + 0.05 * one, served=True) for one in range(30)]
        after = 14.05 + 6.0
        later = [build_sound(at=after + 0.1 * one, served=one % 3 > 0) for one in range(30)]
        self.crowd.requests += later
        self.assertEqual(len(self.find()), 1)
        disturbed = [Span(started_at=after - 1.0, ended_at=after + 10.0)]
        self.assertEqual(self.find(disruptions=disturbed), [])


if __name__ == "__main__":
    unittest.main()
