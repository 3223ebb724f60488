"""Log lines of the decisions on requests, beside their metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.freshness import round_age
from guavamast.relay.unserved_cause import UnservedCause

if TYPE_CHECKING:
    from guavamast.relay.attempt_failure import AttemptFailed
    from guavamast.relay.caller_gate import Admitted, Denied
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.departure_schedule import DepartureSchedule
    from guavamast.relay.endpoint_connection import ConnectionKind
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.loop_delay import LoopDelay
    from guavamast.relay.messages import CallerRequest, SendParameters
    from guavamast.relay.placement import Choice, Rejection
    from guavamast.relay.request_metrics import RequestMetrics
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.response_end import ResponseEnd
    from guavamast.relay.scheduling_client import ScheduledReply
    from guavamast.relay.stream_binding import StreamBinding

LOST_CAUSES: Final = frozenset({UnservedCause.INSTANCE_LEFT, UnservedCause.BROKEN_OFF})
"""Causes of requests that callers lose: their lines are always written."""


class RequestRecorder:
    """Records each decision on a request together with its inputs.

    Args:
        log: Receives the log lines.
        metrics: Counts the decisions.
        fleet_state: Versions and ages of the data behind decisions.
        loop_delay: Delay of this process's event loop.
        schedule: Moments of this instance's departure.
    """

    __slots__ = ("_fleet_state", "_log", "_loop_delay", "_metrics", "_schedule")

    def __init__(
        self,
        *,
        log: DecisionLog,
        metrics: RequestMetrics,
        fleet_state: FleetState,
        loop_delay: LoopDelay,
        schedule: DepartureSchedule,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._fleet_state = fleet_state
        self._loop_delay = loop_delay
        self._schedule = schedule

    def record_connection(self, kind: ConnectionKind) -> None:
        """Count a connection to an endpoint."""
        self._metrics.count_connection(kind)

    def record_send(
        self,
        request: CallerRequest,
        record: EndpointRecord,
        parameters: SendParameters,
        *,
        forwarder: str | None,
        sends: int,
        load: Load,
        speed: float,
        scheduled: ScheduledReply | None,
        admitted: Admitted,
        binding: StreamBinding | None,
        now: float,
    ) -> None:
        """Record that a request is sent to an endpoint."""
        ages = self._fleet_state.round_ages(now=now)
        self._metrics.count_send(
            admitted.precedence,
            service=record.service,
            prompt_tokens=request.prompt_tokens,
            sends=sends,
            ages=ages,
        )
        self._log.write(
            "sent",
            now=now,
            request_id=request.request_id,
            endpoint=record.endpoint_id,
            service=record.service,
            route=admitted.route.name,
            organisation=admitted.organisation.name if admitted.organisation else None,
            urgency=admitted.urgency,
            precedence=admitted.precedence,
            admission_version=admitted.catalog.version,
            send=sends,
            forwarder=forwarder,
            prompt_tokens=request.prompt_tokens,
            shared_part=request.shared_part,
            caller_part=request.caller_part,
            requests_there=load.requests,
            prompt_tokens_there=load.prefill_tokens,
            speed=round(speed, 2),
            scheduler=scheduled.scheduler if scheduled is not None else None,
            scheduled_s=round(scheduled.took_s, 4) if scheduled is not None else None,
            scheduler_learning=scheduled.reply.learning if scheduled is not None else None,
            permitted=(scheduled is not None and scheduled.reply.permitted) or None,
            software_version=record.software_version,
            started_ms=record.started_ms,
            bound_version=binding.software_version if binding is not None else None,
            resume_after=parameters.resume_after,
            resumed_request=request.resumed_request_id,
            caller_event_id=request.last_event_id,
            time_left_s=round(parameters.remaining_s or 0.0, 3),
            waited_s=round(now - request.received_at, 4),
            config_version=self._fleet_state.catalog_version,
            config_age_s=ages.config_s,
            endpoints_version=self._fleet_state.endpoints.digest,
            endpoints_age_s=ages.endpoints_s,
            loop_delay_s=round(self._loop_delay.read(now=now), 3),
        )

    def record_withheld(
        self, request: CallerRequest, record: EndpointRecord, *, now: float
    ) -> None:
        """Record a request that is held back right before its send, as it lacks a permit."""
        self._metrics.count_withheld()
        self._log.write(
            "rate_limit_withheld",
            now=now,
            request_id=request.request_id,
            endpoint=record.endpoint_id,
        )

    def record_first_event(self, request: CallerRequest, choice: Choice, *, now: float) -> None:
        """Record the time to the first event, together with the forecast."""
        took_s = now - request.received_at
        expected_s = choice.forecast.first_event_ms / 1000.0 if choice.forecast else None
        self._metrics.observe_first_event(took_s, expected_s=expected_s)
        self._log.write(
            "first_event",
            now=now,
            request_id=request.request_id,
            took_s=round(took_s, 4),
            expected_s=round(expected_s, 4) if expected_s is not None else None,
        )

    def record_failure(
        self,
        request: CallerRequest,
        record: EndpointRecord,
        failure: AttemptFailed,
        *,
        attributes: tuple[str, ...] | None,
        silence_s: float | None,
        now: float,
    ) -> None:
        """Record a failed attempt.

        Args:
            request: The request.
            record: Its endpoint.
            failure: Why there is no response.
            attributes: Digest of the request and parts of its prompt, if its connection ended.
            silence_s: Seconds since this instance last heard any endpoint of the service.
            now: The current time.
        """
        self._metrics.count_failure(failure)
        self._log.write(
            "attempt_failed",
            now=now,
            request_id=request.request_id,
            endpoint=record.endpoint_id,
            kind=str(failure.kind),
            detail=failure.detail,
            attributes=",".join(attributes) if attributes is not None else None,
            after_s=round(now - request.received_at, 4),
            service=record.service,
            software_version=record.software_version,
            started_ms=record.started_ms,
            connection=str(failure.connection),
            framing=failure.end.framing,
            ending=failure.end.ending,
            held_bytes=failure.end.held_bytes,
            inside_event=failure.end.inside_event,
            forwarder=failure.end.forwarder,
            service_silent_s=round_age(silence_s) if silence_s is not None else None,
        )

    def record_reader_cut(
        self,
        request: CallerRequest,
        *,
        service: str,
        held_bytes: int,
        unsent_s: float,
        now: float,
    ) -> None:
        """Record a caller that was cut off, as it read too slowly while memory was short.

        Args:
            request: Its request.
            service: Service that the request went to.
            held_bytes: Bytes that were held for the caller.
            unsent_s: Seconds for which the oldest of them had waited.
            now: The current time.
        """
        self._metrics.count_cut_reader()
        self._log.write(
            "reader_cut",
            now=now,
            request_id=request.request_id,
            reason=str(UnservedCause.CALLER_SLOW),
            service=service,
            held_bytes=held_bytes,
            unsent_s=round(unsent_s, 3),
        )

    def record_rejection(self, request: CallerRequest, denied: Denied, *, now: float) -> None:
        """Record a request that is rejected without an attempt."""
        ages = self._fleet_state.round_ages(now=now)
        self._metrics.count_rejection(denied.status)
        self._log.write(
            "refused",
            now=now,
            request_id=request.request_id,
            status=denied.status,
            reason=denied.reason,
            attribute=denied.attribute,
            host=request.host,
            path=request.path,
            resumed_request=request.resumed_request_id,
            config_version=self._fleet_state.catalog_version,
            config_age_s=ages.config_s,
            endpoints_age_s=ages.endpoints_s,
            loop_delay_s=round(self._loop_delay.read(now=now), 3),
            received_after_signal_s=self._schedule.compute_offset(request.received_at),
        )

    def record_capacity_rejection(
        self,
        request: CallerRequest,
        rejection: Rejection,
        choice: Choice,
        *,
        scheduled: ScheduledReply | None,
        progress: RequestProgress,
        now: float,
    ) -> None:
        """Record a request that is rejected for lack of capacity."""
        admitted = progress.admitted
        self._metrics.count_capacity_rejection(admitted, obstacle=rejection.obstacle)
        expected = choice.forecast
        obstacle = rejection.obstacle
        self._log.write(
            "refused",
            now=now,
            request_id=request.request_id,
            status=503,
            reason="no room in time",
            cause=str(UnservedCause.NO_ROOM),
            took_s=round(now - request.received_at, 4),
            service=progress.service,
            caller_part=request.caller_part,
            route=admitted.route.name,
            organisation=admitted.organisation.name if admitted.organisation else None,
            urgency=admitted.urgency,
            precedence=admitted.precedence,
            admission_version=admitted.catalog.version,
            endpoint=choice.record.endpoint_id,
            expected_wait_ms=round(expected.waiting_ms) if expected else None,
            requests_there=choice.load.requests,
            prompt_tokens_there=choice.load.prefill_tokens,
            scheduler=scheduled.scheduler if scheduled is not None else None,
            prompt_tokens=request.prompt_tokens,
            retry_after_s=round(rejection.retry_after_s, 3),
            held_by=str(obstacle.kind) if obstacle else None,
            held_for_precedence=obstacle.precedence if obstacle else None,
            held_for_waiting=obstacle.waiting if obstacle else None,
            open_engines=obstacle.open_engines if obstacle else None,
            kept_engines=obstacle.kept_engines if obstacle else None,
            usable_engines=obstacle.engines if obstacle else None,
        )

    def record_response(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        record: EndpointRecord,
        *,
        status: int,
        end: ResponseEnd,
        now: float,
    ) -> None:
        """Record a response that was forwarded completely, and whether and why it was late."""
        timing = progress.timing
        took_s = now - request.received_at
        late = timing.classify_lateness(progress.admitted.route, took_s=took_s)
        self._metrics.count_response(end, timing=timing, late=late, took_s=took_s)
        self._log.write(
            "ended",
            now=now,
            request_id=request.request_id,
            outcome="answered",
            status=status,
            took_s=round(took_s, 4),
            route=progress.admitted.route.name,
            service=progress.service,
            precedence=progress.admitted.precedence,
            prompt_tokens=request.prompt_tokens,
            caller_part=request.caller_part,
            endpoint=record.endpoint_id,
            software_version=record.software_version,
            framing=end.framing,
            ending=end.ending,
            held_bytes=end.held_bytes,
            inside_event=end.inside_event,
            forwarder=end.forwarder,
            late=str(late) if late is not None else None,
            first_event_s=round(timing.first_event_s or 0.0, 4),
            longest_pause_s=round(timing.longest_pause_s, 4),
            unread_tokens_then=timing.uncached_tokens_at_longest_pause,
            received_after_signal_s=self._schedule.compute_offset(request.received_at),
        )

    def record_end(
        self,
        request: CallerRequest,
        progress: RequestProgress | None,
        *,
        cause: UnservedCause,
        outcome: str,
        now: float,
        status: int | None = None,
        reason: str | None = None,
    ) -> None:
        """Record how a request ended that was not answered.

        Args:
            request: The request.
            progress: Its state; None if it was not admitted yet.
            cause: Why it was not answered.
            outcome: What its caller saw.
            now: The current time.
            status: Status of the response, if one was sent.
            reason: Details of the cause.
        """
        took_s = now - request.received_at
        received_after_signal_s = self._schedule.compute_offset(request.received_at)
        self._metrics.count_end(outcome, took_s=took_s)
        if progress is not None:
            self._metrics.count_unserved(progress.admitted.precedence, cause)
        if cause is UnservedCause.INSTANCE_LEFT:
            self._metrics.count_ended_by_leaving(received_after_signal_s=received_after_signal_s)
        self._log.write(
            "ended",
            now=now,
            essential=cause in LOST_CAUSES,
            request_id=request.request_id,
            outcome=outcome,
            status=status,
            reason=reason,
            took_s=round(took_s, 4),
            cause=str(cause),
            route=progress.admitted.route.name if progress is not None else None,
            service=progress.service if progress is not None else None,
            precedence=progress.admitted.precedence if progress is not None else None,
            prompt_tokens=request.prompt_tokens,
            caller_part=request.caller_part,
            received_after_signal_s=received_after_signal_s,
            ended_after_signal_s=self._schedule.compute_offset(now),
        )
