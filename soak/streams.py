"""Streams over all attempts of their callers, and the checks of what each one holds."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

from guavamast.platform.standins.engine import DEFAULT_VERSION
from soak.guarantees import SETTLED_AFTER_S, Span, is_undisturbed

EVENT_PATTERN: Final = re.compile(rb"id: (\d+)\n(data: \S+) (\S+)\n\n")
MIN_TAKE_UPS: Final = 12
"""Attempts that take streams up from which on the share that goes on is checked."""
MIN_GOING_ON: Final = 0.5
"""Share of the new streams' success that such attempts must reach."""
MIN_SERVING: Final = 2
"""Engines of a stream's version that must serve for its attempt to count."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEvent:
    """An event that a caller holds."""

    number: int
    version: str
    """Software version of the engine that made it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamAttempt:
    """One attempt of a caller at a stream."""

    request_id: str
    address: str
    """Address of the instance."""
    sent_at: float
    ended_at: float
    status: int | None
    events: tuple[StreamEvent, ...]
    serving: int = 0
    """Engines of the stream's version that served all the time; 0 for a first attempt."""

    @property
    def went_on(self) -> bool:
        """Whether it brought an event."""
        return bool(self.events)


@dataclass(slots=True, kw_only=True)
class StreamRecord:
    """A stream as its caller recorded it."""

    attempts: list[StreamAttempt] = field(default_factory=list)

    @property
    def events(self) -> list[StreamEvent]:
        """The events of all attempts."""
        return [event for attempt in self.attempts for event in attempt.events]

    @property
    def name(self) -> str:
        """Id of the first attempt that brought an event, or of the first one."""
        began = [attempt for attempt in self.attempts if attempt.events]
        return (began or self.attempts)[0].request_id


@dataclass(slots=True, kw_only=True)
class StreamShares:
    """How many streams began and went on, while their instances and engines served."""

    new: int = 0
    began: int = 0
    taken_up: int = 0
    """Attempts that took a stream up while two engines of its version served."""
    went_on: int = 0

    def __str__(self) -> str:
        return f"{self.went_on} of {self.taken_up} went on, {self.began} of {self.new} began"


def find_events(body: bytes) -> tuple[StreamEvent, ...]:
    """Return the whole events of a body."""
    return tuple(
        StreamEvent(number=int(number), version=version.decode())
        for number, _, version in EVENT_PATTERN.findall(body)
    )


def normalize_versions(body: bytes) -> bytes:
    """Return a body as an engine of the default version would have sent it."""
    return EVENT_PATTERN.sub(rb"id: \1\n\2 " + DEFAULT_VERSION.encode() + rb"\n\n", body)


def find_stream_violations(
    streams: list[StreamRecord], disruptions: dict[str, list[Span]]
) -> list[str]:
    """Return each violated guarantee of streams.

    Args:
        streams: All streams.
        disruptions: Disruptions of each instance, by its address.
    """
    violations = [text for stream in streams for text in _check_stream(stream)]
    return violations + _check_share(count_shares(streams, disruptions))


def _check_stream(stream: StreamRecord) -> list[str]:
    events = stream.events
    versions = sorted({event.version for event in events})
    attempts = [attempt.request_id for attempt in stream.attempts]
    violations = []
    if len(versions) > 1:
        violations.append(f"{stream.name}: events of {versions}, in attempts {attempts}")
    numbers = [event.number for event in events]
    if numbers != list(range(1, len(numbers) + 1)):
        violations.append(f"{stream.name}: events {numbers} in attempts {attempts}")
    return violations


def _check_share(shares: StreamShares) -> list[str]:
    """Check that streams taken up go on about as often as new ones begin."""
    if shares.taken_up < MIN_TAKE_UPS or not shares.new:
        return []
    if shares.went_on / shares.taken_up >= MIN_GOING_ON * shares.began / shares.new:
        return []
    return [f"too few streams go on: {shares}"]


def count_shares(streams: list[StreamRecord], disruptions: dict[str, list[Span]]) -> StreamShares:
    """Return how many streams began and went on, at instances without a disruption.

    Args:
        streams: All streams.
        disruptions: Disruptions of each instance, by its address.
    """
    shares = StreamShares()
    for stream in streams:
        for number, attempt in enumerate(stream.attempts):
            spans = disruptions.get(attempt.address, [])
            calm = is_undisturbed(spans, attempt.sent_at, attempt.ended_at, after_s=SETTLED_AFTER_S)
            if not calm or attempt.status is None:
                continue
            if number == 0:
                shares.new += 1
                shares.began += attempt.went_on
            elif attempt.serving >= MIN_SERVING:
                shares.taken_up += 1
                shares.went_on += attempt.went_on
    return shares
