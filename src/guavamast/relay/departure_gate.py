"""Decides which requests a leaving instance still sends to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.caller_gate import Denied

if TYPE_CHECKING:
    from guavamast.relay.departure_schedule import DepartureSchedule
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.response_durations import ResponseDurations

RETRY_AFTER_LEAVING_S: Final = 0.1
"""Seconds until a caller retries, at another instance, after this one has left."""


class DepartureGate:
    """Keeps requests from endpoints whose responses would outlast this instance.

    A stream that a leaving instance sends on and then cuts costs its caller the whole stream and
    the endpoint its work, where a rejection as not run costs a moment. While callers may still hold
    this instance's address, the durations of responses to similar requests decide. Later, only
    requests are sent whose own time ends first: whatever their responses take, none is cut.

    Args:
        schedule: Moments of this instance's departure.
        durations: Durations of responses.
    """

    __slots__ = ("_durations", "_schedule")

    def __init__(self, *, schedule: DepartureSchedule, durations: ResponseDurations) -> None:
        self._schedule = schedule
        self._durations = durations

    def record_response(self, progress: RequestProgress, *, sent_at: float, now: float) -> None:
        """Record a whole response of an endpoint: no error, and no rest of a stream.

        Args:
            progress: State of its request.
            sent_at: Local time at which the request was sent.
            now: The present time.
        """
        self._durations.record(
            progress.admitted.route.name,
            progress.service,
            output_tokens=progress.output_tokens,
            duration_s=now - sent_at,
        )

    def find_denial(self, progress: RequestProgress, *, now: float) -> Denied | None:
        """Return why a request must not be sent any more; None if it may be.

        A response that has begun is always continued: ending it here would cut it now.
        """
        if not self._schedule.is_leaving or progress.response_begun:
            return None
        if self._ends_in_time(progress, now=now):
            return None
        return Denied(status=503, reason="the instance leaves", retry_after_s=RETRY_AFTER_LEAVING_S)

    def _ends_in_time(self, progress: RequestProgress, *, now: float) -> bool:
        ends_at = self._schedule.requests_end_at
        if progress.deadline <= ends_at:
            return True
        if now >= min(self._schedule.forecasts_until, ends_at):
            return False
        expected_s = self._durations.forecast(
            progress.admitted.route.name,
            progress.service,
            output_tokens=progress.output_tokens,
        )
        return expected_s is None or now + expected_s <= ends_at
