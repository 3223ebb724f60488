"""Forwards a stream of events from an endpoint to a caller, each event whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.attempt import Attempt
    from guavamast.relay.messages import ResponseWriter


async def relay_events(
    attempt: Attempt,
    writer: ResponseWriter,
    on_event: Callable[[str | None], None],
    confirm_end: Callable[[], Awaitable[None]],
) -> None:
    """Forward events as they arrive, and end the caller's response after the whole stream.

    The caller's response starts with the first event, so that an attempt that fails before it can
    still be retried. An event that an endpoint leaves incomplete is not forwarded: the endpoint at
    which the stream is resumed sends it again from its start.

    Args:
        attempt: An attempt whose response head was received.
        writer: The caller's response, already started if this resumes a stream.
        on_event: Called with each event's id before the event is forwarded.
        confirm_end: Called after the stream's last byte; raises if it was broken off.

    Raises:
        AttemptFailed: The stream broke.
    """
    while (events := await attempt.read_events()) is not None:
        if not events:
            continue
        for event in events:
            on_event(event.event_id)
        _ensure_started(attempt, writer)
        await writer.write(b"".join(event.data for event in events))
    await confirm_end()
    _ensure_started(attempt, writer)
    remainder = attempt.drain_events()
    if remainder:
        await writer.write(remainder)
    await writer.end()


def _ensure_started(attempt: Attempt, writer: ResponseWriter) -> None:
    assert attempt.head is not None
    if not writer.started:
        writer.start(attempt.head.status, list(attempt.head.headers))
