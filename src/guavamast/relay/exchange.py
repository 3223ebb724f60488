"""One attempt at one endpoint: connect, send, and forward the response."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.attempt_timeouts import compute_attempt_timeout
from guavamast.relay.caller_delivery import CallerDelivery
from guavamast.relay.messages import SendParameters
from guavamast.relay.quarantine import RunWatch
from guavamast.relay.request_progress import ReadStream
from guavamast.relay.silence_timeout import SilenceTimeout
from guavamast.relay.stream_observer import StreamObserver
from guavamast.relay.stream_relay import relay_events
from guavamast.relay.stream_sampler import StreamSampler

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.attempt import Attempt, CompleteResponse
    from guavamast.relay.buffering import MemoryAccount, SlowReaders
    from guavamast.relay.departure_gate import DepartureGate
    from guavamast.relay.duties import UsageCounter
    from guavamast.relay.endpoint_load import EndpointLoads, Load
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest, ResponseWriter
    from guavamast.relay.placed_send import PlacedSend
    from guavamast.relay.placement import EndpointSpeeds, EngineProfiles
    from guavamast.relay.placer import PlacementDecision
    from guavamast.relay.prepared_send import SendPreparer
    from guavamast.relay.quarantine import CrashGuard
    from guavamast.relay.relayed_response import RelayedResponse
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder
    from guavamast.relay.response_end_check import ResponseEndCheck
    from guavamast.relay.retry_claims import RetryClaims
    from guavamast.relay.stream_binding import StreamSource
    from guavamast.relay.stream_software import StreamSoftware
    from guavamast.relay.work_accounting import WorkAccounting


class Exchanger:
    """Runs attempts.

    Args:
        fleet_state: Services and other instances.
        preparer: Prepares sends up to their first byte.
        accounting: Told when the work at an endpoint becomes less.
        end_check: Looks for the sender of a response that may have been broken off.
        loads: Work at endpoints.
        software: Binds streams to the software that begins them.
        departure: Told how long responses take.
        claims: Claim the retry before an attempt at a silent endpoint is abandoned.
        guard: Keeps requests that end endpoints from further ones.
        usage: Counts the requests that begin to run; None if usage isn't reported.
        recorder: Log lines and metrics of requests.
        profiles: Engine profiles, learned from the streams that are forwarded.
        speeds: Speeds of single engines, learned from the same streams.
        memory: Memory that this instance holds for others.
        readers: Callers that are written to.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_accounting",
        "_claims",
        "_delivery",
        "_departure",
        "_end_check",
        "_fleet_state",
        "_guard",
        "_loads",
        "_preparer",
        "_profiles",
        "_read_time",
        "_recorder",
        "_software",
        "_speeds",
        "_usage",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        preparer: SendPreparer,
        accounting: WorkAccounting,
        end_check: ResponseEndCheck,
        loads: EndpointLoads,
        software: StreamSoftware,
        departure: DepartureGate,
        claims: RetryClaims,
        guard: CrashGuard,
        usage: UsageCounter | None,
        recorder: RequestRecorder,
        profiles: EngineProfiles,
        speeds: EndpointSpeeds,
        memory: MemoryAccount,
        readers: SlowReaders,
        read_time: Callable[[], float],
    ) -> None:
        self._fleet_state = fleet_state
        self._accounting = accounting
        self._preparer = preparer
        self._loads = loads
        self._software = software
        self._departure = departure
        self._claims = claims
        self._guard = guard
        self._usage = usage
        self._end_check = end_check
        self._recorder = recorder
        self._profiles = profiles
        self._speeds = speeds
        self._delivery = CallerDelivery(
            memory=memory, readers=readers, recorder=recorder, read_time=read_time
        )
        self._read_time = read_time

    async def run(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        placed: PlacementDecision,
    ) -> RelayedResponse:
        """Send a request to the selected endpoint and forward its response.

        Raises:
            AttemptFailed: The endpoint gave no response, or none that is final; or the request was
                not sent to it.
        """
        prepared = progress.take_retry() or self._preparer.begin(request, progress, placed)
        attempt, send = prepared.attempt, prepared.send
        failure_weight = 0.0
        rejected = False
        try:
            if not prepared.checked:
                await self._preparer.complete(request, progress, prepared)
            response = await self._exchange(request, writer, progress, attempt, send)
            attempt.finish()
            if response.status < 300 and progress.sends == 1 and request.last_event_id is None:
                self._departure.record_response(
                    progress, sent_at=attempt.sent_at, now=self._read_time()
                )
            progress.discard_retry()
            return response
        except AttemptFailed as failure:
            failure.connection = attempt.connection
            failure.end = attempt.describe_end()
            failure_weight = failure.weight
            rejected = failure.kind is FailureKind.REFUSED
            raise
        finally:
            prepared.end(
                rejected=rejected,
                failure_weight=failure_weight,
                longest_pause_s=progress.timing.longest_pause_s,
                mean_pause_ms=_compute_mean_pause(progress),
            )

    async def deliver(self, request: CallerRequest, progress: RequestProgress) -> None:
        """Return when the caller has a stream that was read to its end; at once without one."""
        await self._delivery.finish_stream(request, progress)

    async def _exchange(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        attempt: Attempt,
        send: PlacedSend,
    ) -> RelayedResponse:
        now = self._read_time()
        parameters = self._build_send_terms(progress, attempt.record, now=now)
        timeout_s = compute_attempt_timeout(progress)
        progress.sends += 1
        progress.possible_runs += 1
        progress.lasted = False
        load = send.read_load(self._loads)
        self._record_send(request, progress, attempt, parameters, send, load=load, now=now)
        sampler = StreamSampler(
            profiles=self._profiles,
            speeds=self._speeds,
            choice=send.choice,
            output_tokens=request.output_tokens,
            uncached_tokens=load.prefill_tokens,
            sent_at=now,
            timing=progress.timing,
        )
        watch = RunWatch(
            on_lasting=lambda began_at: self._guard.record_lasting(
                request, progress, began_at=began_at
            )
        )
        try:
            async with SilenceTimeout(
                silence_s=timeout_s, claim_retry=partial(self._claims.claim, request, progress)
            ) as attempt_timeout:
                head = await attempt.send(parameters)
                head_at = self._read_time()
                if not head.event_stream:
                    self._record_run(progress, now=head_at)
                if head.event_stream and head.status < 300:
                    observer = self._build_observer(
                        request, progress, attempt, send, sampler, watch, attempt_timeout
                    )
                    delivery = self._delivery.open_stream(request, writer, progress)
                    confirm_end = partial(self._confirm_end, attempt)
                    on_event = observer.record_event
                    await relay_events(attempt, delivery, on_event, confirm_end, attempt_timeout)
                    self._record_complete_stream(progress, attempt, sampler)
                    return attempt.describe_response(began_at=watch.began_at or head_at)
                response = await attempt.read_response(attempt_timeout, idle_s=timeout_s)
                await self._confirm_response(attempt, response)
        except TimeoutError as error:
            raise AttemptFailed(
                FailureKind.SILENT, "nothing received within the attempt timeout"
            ) from error
        except AttemptFailed as failure:
            progress.possible_runs -= failure.not_run
            progress.sends -= failure.kind is FailureKind.OUTDATED
            raise
        await self._forward_response(request, writer, progress, attempt, response)
        return attempt.describe_response(began_at=head_at)

    def _build_observer(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        attempt: Attempt,
        send: PlacedSend,
        sampler: StreamSampler,
        watch: RunWatch,
        idle_timeout: SilenceTimeout,
    ) -> StreamObserver:
        """Return the observer of the events of one send."""
        return StreamObserver(
            request=request,
            progress=progress,
            send=send,
            sampler=sampler,
            watch=watch,
            loads=self._loads,
            recorder=self._recorder,
            begin=partial(self._begin_stream, request, progress, attempt.source),
            idle_timeout=idle_timeout,
            publish_decrease=self._accounting.publish_decrease,
            read_time=self._read_time,
        )

    def _begin_stream(
        self, request: CallerRequest, progress: RequestProgress, source: StreamSource
    ) -> None:
        """Record what begins a stream, before its first event is forwarded."""
        self._software.bind(request, progress, source)
        self._record_run(progress, now=self._read_time())

    def _record_run(self, progress: RequestProgress, *, now: float) -> None:
        """Count a request of an organisation that has begun to run."""
        organisation = progress.admitted.organisation
        if self._usage is not None and organisation is not None:
            self._usage.record(organisation.name, now=now)

    async def _confirm_end(self, attempt: Attempt) -> None:
        """Raise if a response was broken off although its bytes look whole.

        A forwarder checks this itself, and breaks off its message.
        """
        if attempt.forwarder is not None:
            return
        assert attempt.head is not None
        if await self._end_check.is_broken_off(
            attempt.record, ending=attempt.ending, event_stream=attempt.head.event_stream
        ):
            raise AttemptFailed(FailureKind.LOST, "the endpoint ended with its response")

    async def _confirm_response(self, attempt: Attempt, response: CompleteResponse) -> None:
        """Raise if a response was broken off, and release its memory if it won't be forwarded."""
        try:
            await self._confirm_end(attempt)
        except BaseException:
            response.held.release()
            raise

    def _record_complete_stream(
        self, progress: RequestProgress, attempt: Attempt, sampler: StreamSampler
    ) -> None:
        now = self._read_time()
        sampler.finish(mean_pause_ms=_compute_mean_pause(progress), now=now)
        self._loads.record_success(attempt.record.endpoint_id, now=now)
        progress.read_stream = ReadStream(record=attempt.record, end=attempt.describe_end())

    async def _forward_response(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        attempt: Attempt,
        response: CompleteResponse,
    ) -> None:
        now = self._read_time()
        status = response.head.status
        if writer.started:
            response.held.release()
            raise AttemptFailed(
                FailureKind.INVALID, f"status {status} to a request to resume a stream"
            )
        if status < 500:
            self._loads.record_success(attempt.record.endpoint_id, now=now)
        elif progress.error_response is None and progress.admitted.route.repeatable:
            progress.error_response = response
            raise AttemptFailed(FailureKind.ERROR, f"status {status}")
        await self._delivery.send(request, writer, progress, response)
        self._recorder.record_response(
            request, progress, attempt.record, status=status, end=attempt.describe_end(), now=now
        )

    def _record_send(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        attempt: Attempt,
        parameters: SendParameters,
        send: PlacedSend,
        *,
        load: Load,
        now: float,
    ) -> None:
        self._recorder.record_send(
            request,
            attempt.record,
            parameters,
            forwarder=attempt.forwarder,
            sends=progress.sends,
            load=load,
            speed=send.choice.speed,
            scheduled=send.placed.scheduler_reply,
            admitted=progress.admitted,
            binding=progress.binding,
            now=now,
        )

    def _build_send_terms(
        self, progress: RequestProgress, record: EndpointRecord, *, now: float
    ) -> SendParameters:
        admitted = progress.admitted
        engine = self._fleet_state.find_kv_capacity_tokens(record.service) > 0
        return SendParameters(
            endpoint_id=record.endpoint_id,
            organisation=admitted.organisation.name if admitted.organisation else None,
            remaining_s=progress.deadline - now,
            urgency=admitted.urgency if engine else None,
            resume_after=progress.last_event_id,
        )


def _compute_mean_pause(progress: RequestProgress) -> float:
    """Return a stream's mean pause in milliseconds; 0 if several endpoints had a part in it."""
    return progress.timing.compute_mean_pause_ms() if progress.sends == 1 else 0.0
