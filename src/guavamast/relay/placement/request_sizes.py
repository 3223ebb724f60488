"""Sizes of requests by kind, by which requests without stated tokens are counted."""

from __future__ import annotations

from typing import Final

SIZE_WEIGHT: Final = 0.05
"""Share of the latest request in the moving averages."""
DEVIATIONS: Final = 2.0
"""Factor on the mean deviation by which an estimate exceeds the mean: an engine that holds more
than was counted ends."""

UNKNOWN_TOKENS_PER_BYTE: Final = 1.0
"""Tokens for each byte of a body while nothing of its kind is known: more than texts have."""
UNKNOWN_OUTPUT_TOKENS: Final = 1_000
"""Tokens of an output while nothing of its kind is known: a long answer."""


class _Average:
    """Moving average of one quantity and of its deviation."""

    __slots__ = ("_deviation", "_mean")

    def __init__(self, value: float) -> None:
        self._mean = value
        self._deviation = 0.0

    def record(self, value: float) -> None:
        """Add a value."""
        self._deviation += SIZE_WEIGHT * (abs(value - self._mean) - self._deviation)
        self._mean += SIZE_WEIGHT * (value - self._mean)

    def estimate(self) -> float:
        """Return a value that few exceed."""
        return self._mean + DEVIATIONS * self._deviation


class RequestSizes:
    """Tokens per byte, and output, of the requests of each kind that state their tokens.

    The mean prompt of a kind says little where short and long prompts mix; its tokens for each byte
    of the body vary by a few percent only.
    """

    __slots__ = ("_outputs", "_ratios")

    def __init__(self) -> None:
        self._ratios: dict[str, _Average] = {}
        self._outputs: dict[str, _Average] = {}

    def record(self, kind: str, *, body_bytes: int, prompt_tokens: int, output_tokens: int) -> None:
        """Record a request that states its tokens.

        Args:
            kind: Its kind.
            body_bytes: Bytes of its body.
            prompt_tokens: Stated tokens of its prompt.
            output_tokens: Stated tokens of its output.
        """
        if body_bytes:
            _record(self._ratios, kind, prompt_tokens / body_bytes)
        _record(self._outputs, kind, output_tokens)

    def estimate(self, kind: str, *, body_bytes: int) -> tuple[int, int]:
        """Return the prompt and output tokens of a request that states none."""
        ratio, output = self._ratios.get(kind), self._outputs.get(kind)
        if ratio is None or output is None:
            return round(UNKNOWN_TOKENS_PER_BYTE * body_bytes), UNKNOWN_OUTPUT_TOKENS
        return round(ratio.estimate() * body_bytes), round(output.estimate())


def _record(averages: dict[str, _Average], kind: str, value: float) -> None:
    average = averages.get(kind)
    if average is None:
        averages[kind] = _Average(value)
    else:
        average.record(value)
