"""The last check of a request, right before its bytes go out to an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.attempt_failure import AttemptFailed, FailureKind

if TYPE_CHECKING:
    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.departure_gate import DepartureGate
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placed_send import PlacedSend
    from guavamast.relay.quarantine import CrashGuard
    from guavamast.relay.rate_limits import RateLimitLedger
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder


class SendCheck:
    """Withholds requests whose placement is no longer valid when they would be sent.

    Args:
        admission: Checks a request by the newest tables.
        departure: Keeps requests from endpoints that would outlast this instance.
        guard: Keeps requests that end endpoints from further ones.
        rate_limits: Rate limits that endpoints state.
        recorder: Log lines and metrics of requests.
    """

    __slots__ = ("_admission", "_departure", "_guard", "_rate_limits", "_recorder")

    def __init__(
        self,
        *,
        admission: CallerAdmission,
        departure: DepartureGate,
        guard: CrashGuard,
        rate_limits: RateLimitLedger,
        recorder: RequestRecorder,
    ) -> None:
        self._admission = admission
        self._departure = departure
        self._guard = guard
        self._rate_limits = rate_limits
        self._recorder = recorder

    def check(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        record: EndpointRecord,
        send: PlacedSend,
        *,
        now: float,
    ) -> None:
        """Raise if a request must no longer be sent.

        Args:
            request: The request.
            progress: Its progress.
            record: The endpoint.
            send: Its placement there.
            now: The present time.

        Raises:
            AttemptFailed: With ``OUTDATED``.
        """
        if send.is_expired(now=now):
            raise AttemptFailed(
                FailureKind.OUTDATED, "the scheduler's grant expired before the send"
            )
        if self._rate_limits.find(record) is not None and not send.is_permitted(now=now):
            self._recorder.record_withheld(request, record, now=now)
            raise AttemptFailed(FailureKind.OUTDATED, "no permit under the endpoint's rate limit")
        if self._guard.is_quarantined(request, progress):
            raise AttemptFailed(FailureKind.OUTDATED, "quarantined before the send")
        if self._departure.find_denial(progress, now=now) is not None:
            raise AttemptFailed(FailureKind.OUTDATED, "the instance leaves")
        self._admission.check_send(progress.admitted, record, now=now)
