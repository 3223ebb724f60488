"""Properties of the retry budget."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import example, given
from hypothesis import strategies as st

from guavamast.retries import (
    ATTEMPT_LIMIT,
    BACKOFF_LONGEST_S,
    BALANCE_LIMIT,
    FLOOR_LIMIT,
    FLOOR_PER_S,
    RETRY_SHARE,
    RetryBudget,
    compute_backoff,
)

RUNS = st.lists(
    st.tuples(
        st.sampled_from(["success", "spend", "wait"]),
        st.sampled_from(["high", "low"]),
        st.sampled_from([1, 10, 100]),
    ),
    max_size=6,
)


class RetryBudgetProperties(unittest.TestCase):
    """The budget holds in each window of each generated history."""

    @example(before=[("success", "high", 100)], window=[("spend", "high", 100)])
    @given(before=RUNS, window=RUNS)
    def test_spending_stays_within_the_share(self, before: list, window: list) -> None:
        budget = RetryBudget()
        now, _, _ = self.replay(budget, before, 0.0)
        end, spent, successes = self.replay(budget, window, now)
        for name in spent:
            earned = RETRY_SHARE * successes[name] + FLOOR_PER_S * (end - now)
            # The floor is added at the next spend, so up to FLOOR_LIMIT of it may predate the
            # window.
            self.assertLessEqual(spent[name], BALANCE_LIMIT + FLOOR_LIMIT + earned + 1e-9)

    def replay(self, budget: RetryBudget, runs: list, now: float) -> tuple:
        spent = {"high": 0, "low": 0}
        successes = {"high": 0, "low": 0}
        for step, name, repeats in runs:
            for _ in range(repeats):
                if step == "wait":
                    now += 1.0
                elif step == "success":
                    budget.record_success(name)
                    successes[name] += 1
                else:
                    spent[name] += budget.try_spend(name, now=now)
        return now, spent, successes

    @given(seed=st.integers(), attempt=st.integers(1, 1000))
    def test_backoff_is_bounded(self, seed: int, attempt: int) -> None:
        delay = compute_backoff(attempt, random=Random(seed))
        self.assertTrue(0.0 <= delay <= BACKOFF_LONGEST_S)

    @given(
        seed=st.integers(),
        attempt=st.integers(1, 5),
        idempotent=st.booleans(),
        left_s=st.floats(-1.0, 3.0),
    )
    def test_retry_is_idempotent_within_deadline_and_attempts(
        self, seed: int, attempt: int, idempotent: bool, left_s: float
    ) -> None:
        retry = RetryBudget().plan(
            "high",
            attempt=attempt,
            idempotent=idempotent,
            deadline=left_s,
            now=0.0,
            random=Random(seed),
        )
        if retry is not None:
            self.assertTrue(idempotent)
            self.assertLess(attempt, ATTEMPT_LIMIT)
            self.assertLess(retry.delay_s, left_s)

    def test_one_class_does_not_spend_the_retries_of_another(self) -> None:
        """A caller of a quiet class gets an error though its class has retries left.

        Failures of one class use up its retries; if the classes shared one balance, they would use
        up the retries of the others too.
        """
        budget = RetryBudget()
        for _ in range(100):
            budget.try_spend("low", now=0.0)
        self.assertFalse(budget.try_spend("low", now=0.0))
        self.assertTrue(budget.try_spend("high", now=0.0))
