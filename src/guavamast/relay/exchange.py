"""One attempt at one endpoint: connect, send, and forward the response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Final, Protocol

from guavamast.relay.attempt import Attempt, AttemptFailed, FailureKind
from guavamast.relay.catalog import RouteKind
from guavamast.relay.endpoint_load import Load
from guavamast.relay.messages import SendParameters
from guavamast.relay.response_end_check import ResponseEndCheck
from guavamast.relay.stream_relay import relay_events
from guavamast.relay.stream_sampler import StreamSampler

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.attempt import CompleteResponse
    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.endpoint_choice import Choice
    from guavamast.relay.endpoint_connector import EndpointConnector
    from guavamast.relay.endpoint_load import EndpointLoads, Work
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.engine_profile import EngineProfiles
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest, HeaderCodec, ResponseWriter
    from guavamast.relay.placer import PlacementDecision
    from guavamast.relay.prompt_cache import PromptCache
    from guavamast.relay.reachability import ReachabilityMonitor
    from guavamast.relay.rejection_limit_sharing import RejectionLimitSharing
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.request_recorder import RequestRecorder
    from guavamast.relay.retry_budget import RetryBudget

RESPONSE_TIMEOUT_SHARE: Final = 0.6
"""Share of the objective after which a repeatable call without a response is retried at another
endpoint, which can still respond in time."""
STREAM_IDLE_TIMEOUT_S: Final = 1.5
"""Seconds without an event after which a resumable stream is resumed elsewhere: longer than a sound
engine may pause, and before callers time out."""


class PublishLoad(Protocol):
    """Reports that this instance's work at an endpoint has changed."""

    def __call__(self, endpoint_id: str, *, increased: bool) -> None:
        """Report an endpoint and whether its work has grown."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Send:
    """One send of a request: its placement, and its part of the endpoint's load."""

    placed: PlacementDecision
    work: Work

    def finish_prefill(self) -> bool:
        """Count the prompt as prefilled; return whether this changes the load."""
        if self.placed.work is not None:
            self.placed.work.begin()
        return self.work.finish_prefill()


class Exchanger:
    """Runs attempts.

    Args:
        admission: Checks each request as it is sent.
        fleet_state: Services and other instances.
        loads: Work at endpoints; each send is counted in it.
        cache: Prompts in the endpoints' KV caches; each send is recorded in it.
        budget: Retry budget; states whether another attempt could follow.
        codec: Encodes and decodes headers.
        connector: Finds connections to endpoints.
        recorder: Log lines and metrics of requests.
        profiles: Engine speeds, learned from the streams that are forwarded.
        reachability: Signs of life of the endpoints.
        limits: Rejection limits that endpoints state.
        publish_load: Called when this instance's work at an endpoint has changed.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_admission",
        "_budget",
        "_cache",
        "_codec",
        "_connector",
        "_end_check",
        "_fleet_state",
        "_limits",
        "_loads",
        "_recorder",
        "_profiles",
        "_reachability",
        "_read_time",
        "_publish_load",
    )

    def __init__(
        self,
        *,
        admission: CallerAdmission,
        fleet_state: FleetState,
        loads: EndpointLoads,
        cache: PromptCache,
        budget: RetryBudget,
        codec: HeaderCodec,
        connector: EndpointConnector,
        recorder: RequestRecorder,
        profiles: EngineProfiles,
        reachability: ReachabilityMonitor,
        limits: RejectionLimitSharing,
        publish_load: PublishLoad,
        read_time: Callable[[], float],
    ) -> None:
        self._admission = admission
        self._fleet_state = fleet_state
        self._loads = loads
        self._cache = cache
        self._budget = budget
        self._codec = codec
        self._connector = connector
        self._end_check = ResponseEndCheck(
            connector=connector, admission=admission, fleet_state=fleet_state, read_time=read_time
        )
        self._recorder = recorder
        self._profiles = profiles
        self._reachability = reachability
        self._limits = limits
        self._publish_load = publish_load
        self._read_time = read_time

    async def run(
        self,
        request: CallerRequest,
        writer: ResponseWriter,
        progress: RequestProgress,
        placed: PlacementDecision,
    ) -> int:
        """Send a request to the selected endpoint and forward its response; return its status.

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
            read_time=self._read_time,
        )
        progress.tried.add(record.endpoint_id)
        work = self._begin_work(request, progress, placed.choice)
        failure_weight = 0.0
        rejected = False
        try:
            await attempt.connect(row_version=progress.admitted.catalog.row_version)
            self._recorder.record_connection(attempt.connection)
            send = _Send(placed=placed, work=work)
            status = await self._exchange(request, writer, progress, attempt, send)
            attempt.finish()
            return status
        except AttemptFailed as failure:
            failure.connection = attempt.connection
            failure.end = attempt.describe_end()
            failure_weight = failure.weight
            rejected = failure.kind is FailureKind.REFUSED
            raise
        finally:
            self._record_limit(attempt)
            attempt.abandon()
            work.end()
            if placed.work is not None:
                placed.work.end(
                    rejected=rejected,
                    failure_weight=failure_weight,
                    longest_pause_s=progress.timing.longest_pause_s,
                )
            self._publish_load(record.endpoint_id, increased=False)

    def _record_limit(self, attempt: Attempt) -> None:
        head = attempt.head
        if head is not None and head.rejection_limit is not None:
            self._limits.record(attempt.record.service, head.rejection_limit)

    def _begin_work(
        self, request: CallerRequest, progress: RequestProgress, choice: Choice
    ) -> Work:
        """Count the request at its endpoint, and its prompt as being in the endpoint's KV cache."""
        endpoint_id = choice.record.endpoint_id
        if request.shared_part is not None:
            now = self._read_time()
            self._cache.record(endpoint_id, request.shared_part, choice.uncached_tokens, now=now)
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
        send: _Send,
    ) -> int:
        now = self._read_time()
        if send.placed.work is not None and send.placed.work.is_expired(now=now):
            raise AttemptFailed(
                FailureKind.OUTDATED, "the scheduler's grant expired before the send"
            )
        self._admission.check_send(progress.admitted, attempt.record, now=now)
        parameters = self._build_send_terms(progress, attempt.record, now=now)
        timeout_s = self._compute_attempt_timeout(progress, now=now)
        progress.sends += 1
        progress.possible_runs += 1
        load = self._read_load(send)
        self._record_send(request, progress, attempt, parameters, send, load=load, now=now)
        sampler = StreamSampler(
            profiles=self._profiles,
            service=attempt.record.service,
            output_tokens=request.output_tokens,
            uncached_tokens=load.prefill_tokens,
            sent_at=now,
            timing=progress.timing,
        )
        confirm_end = partial(
            self._end_check.confirm, attempt, row_version=progress.admitted.catalog.row_version
        )
        try:
            async with asyncio.timeout(timeout_s) as attempt_timeout:
                head = await attempt.send(parameters)
                if head.event_stream and head.status < 300:
                    on_event = self._make_event_callback(
                        request, progress, send, sampler, attempt_timeout
                    )
                    await relay_events(attempt, writer, on_event, confirm_end)
                    self._record_complete_stream(request, progress, attempt, sampler)
                    return head.status
                response = await attempt.read_response()
                await confirm_end()
        except TimeoutError as error:
            raise AttemptFailed(
                FailureKind.SILENT, "nothing received within the attempt timeout"
            ) from error
        except AttemptFailed as failure:
            progress.possible_runs -= failure.not_run
            progress.sends -= failure.kind is FailureKind.OUTDATED
            raise
        await self._forward_response(request, writer, progress, attempt, response)
        return head.status

    def _read_load(self, send: _Send) -> Load:
        """Return the work at an endpoint, this request included, as known to its scheduler.

        Without a scheduler, as known to this instance.
        """
        choice = send.placed.choice
        assert choice is not None
        if send.placed.scheduler_reply is not None:
            return Load(
                requests=choice.load.requests + 1,
                prefill_tokens=choice.load.prefill_tokens + choice.uncached_tokens,
            )
        return self._loads.sum_up(choice.record.endpoint_id)

    def _make_event_callback(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        send: _Send,
        sampler: StreamSampler,
        idle_timeout: asyncio.Timeout,
    ) -> Callable[[str | None], None]:
        """Return a callback that takes the id of each event before the event is forwarded."""
        choice = send.placed.choice
        assert choice is not None
        endpoint_id = choice.record.endpoint_id

        def on_event(event_id: str | None) -> None:
            now = self._read_time()
            if send.finish_prefill():
                self._publish_load(endpoint_id, increased=False)
            uncached_tokens = self._loads.sum_up(endpoint_id).prefill_tokens
            first = progress.timing.first_event_s is None
            sampler.record_event(uncached_tokens=uncached_tokens, now=now)
            if first:
                self._recorder.record_first_event(request, choice, now=now)
            progress.last_event_id = event_id or progress.last_event_id
            if idle_timeout.when() is not None:
                idle_timeout.reschedule(asyncio.get_running_loop().time() + STREAM_IDLE_TIMEOUT_S)

        return on_event

    def _record_complete_stream(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        attempt: Attempt,
        sampler: StreamSampler,
    ) -> None:
        now = self._read_time()
        sampler.finish(now=now)
        self._loads.record_success(attempt.record.endpoint_id, now=now)
        self._recorder.record_response(
            request, progress, attempt.record, status=200, end=attempt.describe_end(), now=now
        )

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
            raise AttemptFailed(
                FailureKind.INVALID, f"status {status} to a request to resume a stream"
            )
        if status < 500:
            self._loads.record_success(attempt.record.endpoint_id, now=now)
        elif progress.error_response is None and progress.admitted.route.repeatable:
            progress.error_response = response
            raise AttemptFailed(FailureKind.ERROR, f"status {status}")
        await writer.send(status, list(response.head.headers), response.body)
        self._recorder.record_response(
            request, progress, attempt.record, status=status, end=attempt.describe_end(), now=now
        )

    def _record_send(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        attempt: Attempt,
        parameters: SendParameters,
        send: _Send,
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
            scheduled=send.placed.scheduler_reply,
            admitted=progress.admitted,
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

    def _compute_attempt_timeout(self, progress: RequestProgress, *, now: float) -> float | None:
        """Return the seconds of silence after which an attempt is abandoned for another endpoint.

        None if no other attempt can follow: an endpoint's silence alone is no reason to end a
        request.
        """
        route = progress.admitted.route
        if not route.repeatable or progress.sends + 1 >= route.max_endpoints:
            return None
        instances = self._fleet_state.count_instances()
        if not self._budget.has_room(progress.service, instances=instances, now=now):
            return None
        if route.kind is RouteKind.STREAM:
            return max(STREAM_IDLE_TIMEOUT_S, route.objective_s)
        return RESPONSE_TIMEOUT_SHARE * route.objective_s
