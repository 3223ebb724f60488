"""Requests of a deployment with five kinds, whose streams differ in length as real ones do."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import CALL_PREFIX, LOOKUP_PREFIX, ModelRoute

if TYPE_CHECKING:
    from random import Random

STEP_S: Final = 0.003
"""Seconds of an engine for each token of each stream, while it has little to do."""
TOKENS_PER_EVENT: Final = 6
PREFILL_TOKENS_PER_S: Final = 92_000.0
CALL_S: Final = 0.09
"""Seconds of an engine for a request that is no stream."""
STATED_SHARE: Final = 0.5
"""Share of the streams whose callers state the length of the response as its maximum; the others
state that of the longest one."""
SHARED_PARTS: Final = 170
"""Prompts that streams of one kind share, each with some others."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Lengths:
    """Log-normal distribution of a length."""

    mean: float
    spread: float
    """Standard deviation of the logarithm."""
    longest: float

    def draw(self, random: Random) -> int:
        """Return a length of at least one."""
        mu = math.log(self.mean) - self.spread**2 / 2
        return max(1, round(min(self.longest, random.lognormvariate(mu, self.spread))))


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkKind:
    """One kind of request."""

    name: str
    path_prefix: str
    per_s: float
    timeout_s: float
    prompt: Lengths | None = None
    """Tokens of the prompt; None if it is no stream."""
    events: Lengths | None = None

    @property
    def max_output_tokens(self) -> int:
        """Tokens of the longest response; 0 if it is no stream."""
        return 0 if self.events is None else round(self.events.longest) * TOKENS_PER_EVENT


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """What one request asks for."""

    kind: WorkKind
    prompt_tokens: int = 0
    output_tokens: int = 0
    states_output: bool = False
    part: int = 0
    """Number of the prompt that it shares with others."""

    def compute_duration(self, slowness: float) -> float:
        """Return the seconds for which an engine sends its response.

        Args:
            slowness: Factor on the duration of each step of an engine.
        """
        if self.kind.events is None:
            return CALL_S
        return self.output_tokens * STEP_S * slowness


def _build_stream(
    name: str, urgency: int, objective_ms: int, timeout_s: float, *, resumable: bool = False
) -> ModelRoute:
    return ModelRoute(
        name=name,
        urgency=urgency,
        objective_ms=objective_ms,
        timeout_ms=int(timeout_s * 1000),
        resumable=resumable,
    )


ROUTES: Final = (
    _build_stream("dossier", 2, 2_000, 15.0),
    _build_stream("reply", 0, 300, 12.0, resumable=True),
    _build_stream("check", 1, 400, 3.0),
)
KINDS: Final = (
    WorkKind(
        name="dossier",
        path_prefix=ROUTES[0].path_prefix,
        per_s=12.5,
        timeout_s=15.0,
        prompt=Lengths(mean=11_992, spread=0.8, longest=54_600),
        events=Lengths(mean=64, spread=0.44, longest=187),
    ),
    WorkKind(
        name="reply",
        path_prefix=ROUTES[1].path_prefix,
        per_s=18.3,
        timeout_s=12.0,
        prompt=Lengths(mean=826, spread=1.0, longest=3_310),
        events=Lengths(mean=49, spread=0.69, longest=159),
    ),
    WorkKind(
        name="check",
        path_prefix=ROUTES[2].path_prefix,
        per_s=24.3,
        timeout_s=3.0,
        prompt=Lengths(mean=2_368, spread=1.0, longest=6_870),
        events=Lengths(mean=4, spread=1.0, longest=15),
    ),
    WorkKind(name="payout", path_prefix=CALL_PREFIX, per_s=13.8, timeout_s=1.5),
    WorkKind(name="status", path_prefix=LOOKUP_PREFIX, per_s=5.5, timeout_s=1.5),
)
"""The kinds, with the requests a second of all callers together."""


def draw_work(kind: WorkKind, random: Random) -> Work:
    """Return what a request of a kind asks for."""
    if kind.prompt is None or kind.events is None:
        return Work(kind=kind)
    return Work(
        kind=kind,
        prompt_tokens=kind.prompt.draw(random),
        output_tokens=TOKENS_PER_EVENT * kind.events.draw(random),
        states_output=random.random() < STATED_SHARE,
        part=random.randrange(SHARED_PARTS),
    )
