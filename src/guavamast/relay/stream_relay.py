"""Reads a stream of events from an endpoint for a caller, each event whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.attempt_failure import AttemptFailed, excuse_pause
from guavamast.relay.loop_timeout import suspend_timeout

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.attempt import Attempt
    from guavamast.relay.event_framing import StreamEvent
    from guavamast.relay.silence_timeout import SilenceTimeout
    from guavamast.relay.stream_delivery import StreamDelivery


async def relay_events(
    attempt: Attempt,
    delivery: StreamDelivery,
    on_event: Callable[[str | None], None],
    confirm_end: Callable[[], Awaitable[None]],
    timeout: SilenceTimeout,
) -> None:
    """Read events as they arrive, and return after the whole stream; the caller may be behind.

    The caller's response starts with the first event, so that an attempt that fails before it can
    still be retried. An event that an endpoint leaves incomplete is not forwarded: the endpoint at
    which the stream is resumed sends it again from its start.

    Args:
        attempt: An attempt whose response head was received.
        delivery: The events on their way to the caller, of earlier attempts too.
        on_event: Called with each event's id before the event is forwarded.
        confirm_end: Called after the stream's last byte; raises if it was broken off.
        timeout: Timeout of the attempt; suspended while the endpoint isn't read.

    Raises:
        AttemptFailed: The stream broke.
    """
    delivery.reader.longest_pause_s = 0.0
    while (events := await _read_events(attempt, delivery, timeout)) is not None:
        if not events:
            continue
        for event in events:
            on_event(event.event_id)
        _ensure_started(attempt, delivery)
        delivery.put(b"".join(event.data for event in events))
    await confirm_end()
    _ensure_started(attempt, delivery)
    remainder = attempt.drain_events()
    if remainder:
        delivery.put(remainder)


async def _read_events(
    attempt: Attempt, delivery: StreamDelivery, timeout: SilenceTimeout
) -> list[StreamEvent] | None:
    """Return the next events, read as soon as the caller's backlog has room for them."""
    if not delivery.may_read:
        attempt.pause_reading()
        with suspend_timeout(timeout):
            await delivery.wait_for_room()
    try:
        return await attempt.read_events()
    except AttemptFailed as failure:
        excuse_pause(failure, paused_s=delivery.reader.longest_pause_s)
        raise


def _ensure_started(attempt: Attempt, delivery: StreamDelivery) -> None:
    assert attempt.head is not None
    if not delivery.writer.started:
        delivery.writer.start(attempt.head.status, list(attempt.head.headers))
