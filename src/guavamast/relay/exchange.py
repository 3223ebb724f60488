"""One attempt at one endpoint: connect, send, and forward the response."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Protocol

from guavamast.relay.attempt import Attempt
from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.attempt_timeouts import claim_retry, compute_attempt_timeout
from guavamast.relay.caller_delivery import CallerDelivery
from guavamast.relay.messages import SendParameters
from guavamast.relay.placed_send import PlacedSend
from guavamast.relay.quarantine import RunWatch
from guavamast.relay.request_progress import ReadStream
from guavamast.relay.response_end_check import ResponseEndCheck
from guavamast.relay.silence_timeout import SilenceTimeout
from guavamast.relay.stream_observer import StreamObserver
from guavamast.relay.stream_relay import relay_events
from guavamast.relay.stream_sampler import StreamSampler

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.attempt import CompleteResponse
    from guavamast.relay.buffering import MemoryAccount, SlowReaders
    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.departure_gate import DepartureGate
    from guavamast.relay.duties import UsageCounter
    from guavamast.relay.endpoint_connector import EndpointConnector
    from guavamast.relay.endpoint_load import EndpointLoads, Load, Work
    from guavamast.relay.endpoint_statements import EndpointStatements
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import (
        CallerRequest,
        EndpointResponseHead,
        HeaderCodec,
        ResponseWriter,
    )
    from guavamast.relay.placement import (
        Choice,
        EndpointSpeeds,
        EngineProfiles,
        PromptCache,
    )
    from guavamast.relay.placer import PlacementDecision
    from guavamast.relay.quarantine import CrashGuard
    from guavamast.relay.rate_limits import RateLimitLedger
    from guavamast.relay.reachability import ReachabilityMonitor
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.relayed_response import RelayedResponse
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder
    from guavamast.relay.retry_budget import RetryBudget
    from guavamast.relay.scaling import DemandCounter
    from guavamast.relay.stream_binding import SoftwareVersions, StreamSource, StreamTakeUps


class PublishLoad(Protocol):
    """Reports that this instance's work at an endpoint has changed."""

    def __call__(self, endpoint_id: str, *, increased: bool) -> None:
        """Report an endpoint and whether its work has grown."""


class Exchanger:
    """Runs attempts.

    Args:
        admission: Checks each request as it is sent.
        fleet_state: Services and other instances.
        loads: Work at endpoints; each send is counted in it.
        cache: Prompts in the endpoints' KV caches; each send is recorded in it.
        departure: Keeps requests from endpoints that would outlast this instance; checked right
            before each send, and told how long responses take.
        budget: Retry budget, from which an attempt that is abandoned claims the next one.
        codec: Encodes and decodes headers.
        guard: Keeps requests that end endpoints from further ones.
        usage: Counts the requests that begin to run; None if usage isn't reported.
        demand: Counts the prompt tokens to prefill; None if no engines are ordered.
        connector: Finds connections to endpoints.
        versions: Software of the endpoints.
        take_ups: Told what begins each stream that can be resumed.
        recorder: Log lines and metrics of requests.
        profiles: Engine profiles, learned from the streams that are forwarded.
        speeds: Speeds of single engines, learned from the same streams.
        reachability: Signs of life of the endpoints.
        limits: Services whose endpoints bear few rejections.
        rate_limits: Rate limits that endpoints state; checked right before each send.
        statements: Told what endpoints state about themselves.
        publish_load: Called when this instance's work at an endpoint has changed.
        memory: Memory that this instance holds for others.
        readers: Callers that are written to.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_admission",
        "_budget",
        "_cache",
        "_codec",
        "_connector",
        "_delivery",
        "_demand",
        "_departure",
        "_end_check",
        "_fleet_state",
        "_guard",
        "_limits",
        "_loads",
        "_memory",
        "_recorder",
        "_profiles",
        "_rate_limits",
        "_reachability",
        "_speeds",
        "_read_time",
        "_publish_load",
        "_statements",
        "_take_ups",
        "_usage",
        "_versions",
    )

    def __init__(
        self,
        *,
        admission: CallerAdmission,
        fleet_state: FleetState,
        loads: EndpointLoads,
        cache: PromptCache,
        departure: DepartureGate,
        budget: RetryBudget,
        codec: HeaderCodec,
        guard: CrashGuard,
        usage: UsageCounter | None,
        demand: DemandCounter | None,
        connector: EndpointConnector,
        versions: SoftwareVersions,
        take_ups: StreamTakeUps,
        recorder: RequestRecorder,
        profiles: EngineProfiles,
        speeds: EndpointSpeeds,
        reachability: ReachabilityMonitor,
        limits: RejectionLimits,
        rate_limits: RateLimitLedger,
        statements: EndpointStatements,
        publish_load: PublishLoad,
        memory: MemoryAccount,
        readers: SlowReaders,
        read_time: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._fleet_state = fleet_state
        self._loads = loads
        self._cache = cache
        self._departure = departure
        self._budget = budget
        self._codec = codec
        self._guard = guard
        self._usage = usage
        self._demand = demand
        self._connector = connector
        self._versions = versions
        self._take_ups = take_ups
        self._end_check = ResponseEndCheck(
            probe=connector, admission=admission, fleet_state=fleet_state, read_time=read_time
        )
        self._recorder = recorder
        self._profiles = profiles
        self._speeds = speeds
        self._reachability = reachability
        self._limits = limits
        self._rate_limits = rate_limits
        self._statements = statements
        self._publish_load = publish_load
        self._memory = memory
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
        assert placed.choice is not None
        record = placed.choice.record
        attempt = Attempt(
            request=request,
            record=record,
            codec=self._codec,
            connector=self._connector,
            reachability=self._reachability,
            memory=self._memory,
            on_head=self._record_statements,
            read_time=self._read_time,
        )
        progress.tried.add(record.endpoint_id)
        work = self._begin_work(request, progress, placed.choice)
        send = PlacedSend(placed=placed, work=work)
        failure_weight = 0.0
        rejected = False
        try:
            await attempt.connect(
                row_version=progress.admitted.catalog.row_version,
                binding=progress.binding,
                permitted=send.is_permitted(now=self._read_time()),
            )
            self._recorder.record_connection(attempt.connection)
            await self._confirm_software(progress, attempt)
            response = await self._exchange(request, writer, progress, attempt, send)
            attempt.finish()
            self._departure.record_response(
                progress, sent_at=attempt.sent_at, now=self._read_time()
            )
            return response
        except AttemptFailed as failure:
            failure.connection = attempt.connection
            failure.end = attempt.describe_end()
            failure_weight = failure.weight
            rejected = failure.kind is FailureKind.REFUSED
            raise
        finally:
            attempt.abandon()
            send.end(
                rejected=rejected,
                failure_weight=failure_weight,
                longest_pause_s=progress.timing.longest_pause_s,
                mean_pause_ms=_compute_mean_pause(progress),
            )
            self._publish_load(record.endpoint_id, increased=False)

    async def deliver(self, request: CallerRequest, progress: RequestProgress) -> None:
        """Return when the caller has a stream that was read to its end; at once without one."""
        await self._delivery.finish_stream(request, progress)

    def _record_statements(self, attempt: Attempt, head: EndpointResponseHead) -> None:
        self._statements.record(
            attempt.record, head, request_id=attempt.request_id, sent_at=attempt.sent_at
        )

    def _begin_work(
        self, request: CallerRequest, progress: RequestProgress, choice: Choice
    ) -> Work:
        """Count the request at its endpoint, and its prompt as being in the endpoint's KV cache."""
        endpoint_id = choice.record.endpoint_id
        if request.shared_part is not None:
            now = self._read_time()
            self._cache.record(endpoint_id, request.shared_part, choice.uncached_tokens, now=now)
        if self._demand is not None and request.prompt_tokens:
            self._demand.record_send(choice.record.service, prefill_tokens=choice.uncached_tokens)
        work = self._loads.begin(
            endpoint_id,
            prefill_tokens=choice.uncached_tokens,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            # Outside its own length bucket, among long prompts, the stream is late anyway, so long
            # prompts need not avoid the engine because of it.
            pause_sensitive=progress.pause_sensitive and choice.own_bucket,
        )
        self._publish_load(endpoint_id, increased=True)
        return work

    async def _exchange(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        attempt: Attempt,
        send: PlacedSend,
    ) -> RelayedResponse:
        now = self._read_time()
        self._check_send(request, progress, attempt, send, now=now)
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
                silence_s=timeout_s, claim_retry=partial(self._claim_retry, progress)
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

    def _claim_retry(self, progress: RequestProgress) -> bool:
        return claim_retry(
            progress,
            budget=self._budget,
            fleet_state=self._fleet_state,
            limits=self._limits,
            now=self._read_time(),
        )

    def _check_send(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        attempt: Attempt,
        send: PlacedSend,
        *,
        now: float,
    ) -> None:
        """Raise if a request must no longer be sent, right before its bytes go out.

        Raises:
            AttemptFailed: With ``OUTDATED``.
        """
        if send.is_expired(now=now):
            raise AttemptFailed(
                FailureKind.OUTDATED, "the scheduler's grant expired before the send"
            )
        if self._rate_limits.find(attempt.record) is not None and not send.is_permitted(now=now):
            self._recorder.record_withheld(request, attempt.record, now=now)
            raise AttemptFailed(FailureKind.OUTDATED, "no permit under the endpoint's rate limit")
        if self._guard.is_quarantined(request, progress):
            raise AttemptFailed(FailureKind.OUTDATED, "quarantined before the send")
        if self._departure.find_denial(progress, now=now) is not None:
            raise AttemptFailed(FailureKind.OUTDATED, "the instance leaves")
        self._admission.check_send(progress.admitted, attempt.record, now=now)

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
            publish_decrease=partial(self._publish_load, increased=False),
            read_time=self._read_time,
        )

    def _begin_stream(
        self, request: CallerRequest, progress: RequestProgress, source: StreamSource
    ) -> None:
        """Record what begins a stream, before its first event is forwarded."""
        self._bind(request, progress, source)
        self._record_run(progress, now=self._read_time())

    def _record_run(self, progress: RequestProgress, *, now: float) -> None:
        """Count a request of an organisation that has begun to run."""
        organisation = progress.admitted.organisation
        if self._usage is not None and organisation is not None:
            self._usage.record(organisation.name, now=now)

    async def _confirm_software(self, progress: RequestProgress, attempt: Attempt) -> None:
        """Raise unless an endpoint is known to run what began the request's stream.

        Raises:
            AttemptFailed: With ``OUTDATED`` if it runs something else, or ``UNCONFIRMED``.
        """
        if progress.binding is None:
            return
        confirmed = await self._versions.confirm(attempt.source)
        if confirmed == progress.binding:
            return
        if confirmed is not None or self._versions.has_changed(attempt.record):
            raise AttemptFailed(FailureKind.OUTDATED, "the endpoint runs other software")
        raise AttemptFailed(FailureKind.UNCONFIRMED, "the endpoint's software isn't known")

    def _bind(
        self, request: CallerRequest, progress: RequestProgress, source: StreamSource
    ) -> None:
        """Bind a stream before its first event goes out, or as soon as what began it is known."""
        admitted = progress.admitted
        if not admitted.route.resumable:
            return
        if progress.binding is None:
            progress.source = source
            progress.binding = self._versions.identify(source, now=self._read_time())
        if progress.binding is not None:
            self._take_ups.bind(request, admitted, progress.binding)
        else:
            self._take_ups.bind_unconfirmed(request, admitted, source, progress.record_binding)

    async def _confirm_end(self, attempt: Attempt) -> None:
        """Raise if a response was broken off although its bytes look whole.

        A forwarder checks this itself, and breaks off its message.
        """
        if attempt.forwarder is not None:
            return
        if await self._end_check.is_broken_off(attempt.record, ending=attempt.ending):
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
