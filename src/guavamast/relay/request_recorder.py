"""Log lines and metrics of the decisions on requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_connection import ConnectionKind
from guavamast.relay.freshness import round_age
from guavamast.relay.placement import ObstacleKind
from guavamast.relay.unserved_cause import UnservedCause

if TYPE_CHECKING:
    from guavamast.relay.attempt_failure import AttemptFailed
    from guavamast.relay.caller_gate import Admitted, Denied
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.departure_schedule import DepartureSchedule
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.loop_delay import LoopDelay
    from guavamast.relay.messages import CallerRequest, SendParameters
    from guavamast.relay.placement import Choice, Rejection
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.response_end import ResponseEnd
    from guavamast.relay.scheduling_client import ScheduledReply
    from guavamast.relay.stream_binding import StreamBinding

MAX_ORGANISATIONS: Final = 32
"""Parts by organisation that a metric has at most; further organisations are counted together."""
LOST_CAUSES: Final = frozenset({UnservedCause.INSTANCE_LEFT, UnservedCause.BROKEN_OFF})
"""Causes of requests that callers lose: their lines are always written."""


class RequestRecorder:
    """Records each decision on a request together with its inputs.

    Args:
        log: Receives the log lines.
        counters: Receives the metrics.
        fleet_state: Versions and ages of the data behind decisions.
        loop_delay: Delay of this process's event loop.
        schedule: Moments of this instance's departure.
    """

    __slots__ = ("_counters", "_fleet_state", "_log", "_loop_delay", "_schedule", "_share_names")

    def __init__(
        self,
        *,
        log: DecisionLog,
        counters: Counters,
        fleet_state: FleetState,
        loop_delay: LoopDelay,
        schedule: DepartureSchedule,
    ) -> None:
        self._log = log
        self._counters = counters
        self._fleet_state = fleet_state
        self._loop_delay = loop_delay
        self._schedule = schedule
        self._share_names: set[str] = set()
        """Organisations that have a metric of their own."""

    def record_connection(self, kind: ConnectionKind) -> None:
        """Count a connection by whether it is new, and those that lead through other instances."""
        if kind is ConnectionKind.FORWARDED:
            self._counters.add("forwarded_sends_total")
            return
        is_new = str(kind is ConnectionKind.NEW).lower()
        self._counters.add(f'endpoint_connections_total{{new="{is_new}"}}')

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
        self._counters.add(f'sends_total{{repeat="{str(sends > 1).lower()}"}}')
        if sends == 1:
            self._counters.add(f'first_sends_total{{precedence="{admitted.precedence}"}}')
            labels = f'service="{record.service}",precedence="{admitted.precedence}"'
            self._counters.add(f"begun_tokens_total{{{labels}}}", request.prompt_tokens)
        self._counters.observe("send_config_age_seconds", ages.config_s)
        self._counters.observe("send_endpoints_age_seconds", ages.endpoints_s)
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
        self._counters.add("rate_limited_sends_withheld_total")
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
        self._counters.observe("first_event_seconds", took_s)
        if expected_s is not None:
            self._counters.observe("forecast_error_seconds", abs(took_s - expected_s))
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
        self._counters.add(f'attempt_failures_total{{kind="{failure.kind}"}}')
        self._count_response_end(failure.end)
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
        self._counters.add("cut_readers_total")
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
        self._counters.add(f'refusals_total{{status="{denied.status}"}}')
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
        self._counters.add('refusals_total{status="503"}')
        self._counters.add(f'sent_back_total{{precedence="{admitted.precedence}"}}')
        self._count_unserved(progress, UnservedCause.NO_ROOM)
        expected = choice.forecast
        obstacle = rejection.obstacle
        if obstacle is not None:
            labels = f'precedence="{admitted.precedence}",by="{obstacle.kind}"'
            self._counters.add(f"held_back_total{{{labels}}}")
            if obstacle.kind is ObstacleKind.SHARE:
                self._count_share_rejection(admitted.organisation_name)
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

    def _count_share_rejection(self, organisation: str) -> None:
        """Count a request that was rejected for its organisation's share."""
        if organisation not in self._share_names and len(self._share_names) < MAX_ORGANISATIONS:
            self._share_names.add(organisation)
        known = organisation if organisation in self._share_names else "others"
        self._counters.add(f"share_rejections_total{{organisation={json.dumps(known)}}}")

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
        if late is not None:
            self._counters.add(f'late_answers_total{{cause="{late}"}}')
        self._count_end("answered", took_s)
        self._count_response_end(end)
        if timing.first_event_s is not None:
            self._counters.observe("longest_pause_seconds", timing.longest_pause_s)
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
        self._count_end(outcome, took_s)
        if progress is not None:
            self._count_unserved(progress, cause)
        if cause is UnservedCause.INSTANCE_LEFT:
            received = "after" if self._is_after_signal(request) else "before"
            self._counters.add(f'ended_by_leaving_total{{received="{received}"}}')
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
            received_after_signal_s=self._schedule.compute_offset(request.received_at),
            ended_after_signal_s=self._schedule.compute_offset(now),
        )

    def _is_after_signal(self, request: CallerRequest) -> bool:
        """Return whether a request was received after this instance was told to leave."""
        offset_s = self._schedule.compute_offset(request.received_at)
        return offset_s is not None and offset_s >= 0.0

    def _count_unserved(self, progress: RequestProgress, cause: UnservedCause) -> None:
        """Count an attempt of a caller that was not answered."""
        labels = f'precedence="{progress.admitted.precedence}",cause="{cause}"'
        self._counters.add(f"unserved_total{{{labels}}}")

    def _count_response_end(self, end: ResponseEnd) -> None:
        """Count a response by its framing and its ending, if there was one."""
        if end.framing is None:
            return
        inside_event = str(end.inside_event).lower()
        labels = f'framing="{end.framing}",ending="{end.ending}",inside_event="{inside_event}"'
        self._counters.add(f"response_ends_total{{{labels}}}")

    def _count_end(self, outcome: str, took_s: float) -> None:
        self._counters.add(f'requests_total{{outcome="{outcome}"}}')
        self._counters.observe("request_seconds", took_s)
