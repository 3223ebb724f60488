"""The state of one request while it is relayed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavamast.relay.placement import find_bucket, is_latency_tolerant, is_pause_sensitive
from guavamast.relay.stream_timing import StreamTiming
from guavamast.relay.unserved_cause import UnservedCause

if TYPE_CHECKING:
    from guavamast.relay.attempt import CompleteResponse
    from guavamast.relay.caller_gate import Admitted
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placement import EngineProfile
    from guavamast.relay.prepared_send import PreparedSend
    from guavamast.relay.response_end import ResponseEnd
    from guavamast.relay.stream_binding import StreamBinding, StreamSource
    from guavamast.relay.stream_delivery import StreamDelivery


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadStream:
    """A stream that was read to its end, and that its caller may not have yet."""

    record: EndpointRecord
    """The endpoint that it ended at."""
    end: ResponseEnd


@dataclass(slots=True, kw_only=True)
class RequestProgress:
    """The state of one request between its admission and its response."""

    admitted: Admitted
    service: str
    deadline: float
    """Local time at which the response must be complete."""
    bucket: int
    """Length bucket of its prompt, which determines the preferred engines."""
    latency_tolerant: bool
    """Whether it has far more time than the most urgent requests of its service."""
    most_urgent: bool
    """Whether no stream of its service takes precedence over it."""
    least_urgent: bool
    """Whether it takes precedence over no stream of its service."""
    pause_sensitive: bool
    """Whether it would be late if its engine prefills long prompts at the same time."""
    timing: StreamTiming
    """Timing of the forwarded events, from any endpoint."""
    output_tokens: int = 0
    """Tokens of its response at most, as its caller states; 0 if unknown."""
    tried: set[str] = field(default_factory=set)
    """Ids of the endpoints that were selected for it."""
    sends: int = 0
    """Number of endpoints to which the request was sent."""
    possible_runs: int = 0
    """Number of sends that the endpoint may have run."""
    cause: UnservedCause = UnservedCause.FAILED
    """Why its last attempt at an endpoint brought no response."""
    connect_failures: int = 0
    retry: PreparedSend | None = None
    """The retry that follows its present attempt: spent already, and ready to be sent."""
    attributes: tuple[str, ...] | None = None
    """What may be in quarantine: the digest of the request, and the parts of its prompt. None until
    it was needed."""
    lasted: bool = False
    """Whether the answer to its last send went on long enough to show that the endpoint outlived
    its begin."""
    trials: set[str] = field(default_factory=set)
    """Attributes in quarantine with which it is sent once all the same."""
    binding: StreamBinding | None = None
    """What began its stream, at which alone it may go on; None before its first event, and as long
    as what began it isn't known."""
    source: StreamSource | None = None
    """Where its first event came from, if it came during this request."""
    last_event_id: str | None = None
    delivery: StreamDelivery | None = None
    """Events of its stream that its caller may not have yet; None before it begins."""
    cut_off: bool = False
    """Whether its caller was cut off, as it read too slowly while memory was short."""
    read_stream: ReadStream | None = None
    """Its stream, once it was read to its end."""
    error_response: CompleteResponse | None = None
    """An endpoint's error response, forwarded if no other endpoint does better."""

    @property
    def has_begun(self) -> bool:
        """Whether it was sent before, or takes up a stream, of which its caller has a part."""
        return self.sends > 0 or self.binding is not None

    @property
    def response_begun(self) -> bool:
        """Whether its caller has a part of its stream."""
        return self.timing.first_event_s is not None

    @property
    def may_go_on(self) -> bool:
        """Whether a further endpoint may continue its response: any if it has not begun."""
        return not self.response_begun or self.binding is not None or self.source is not None

    @property
    def is_caller_behind(self) -> bool:
        """Whether its caller hasn't taken all events of its stream that were received."""
        return self.delivery is not None and self.delivery.is_behind

    def record_binding(self, binding: StreamBinding) -> None:
        """Record what began the stream, known after its first event only."""
        self.binding = binding

    def take_retry(self) -> PreparedSend | None:
        """Return the retry that is ready to be sent, to send it now; None if there is none."""
        retry, self.retry = self.retry, None
        return retry

    def discard_retry(self) -> None:
        """Drop the retry that is ready to be sent, if there is one."""
        retry = self.take_retry()
        if retry is not None:
            retry.end()

    def readmit(self, readmitted: RequestProgress, *, unsent_id: str) -> None:
        """Apply a repeated admission, and keep the record of earlier attempts.

        Args:
            readmitted: The initial state after the repeated admission.
            unsent_id: Id of the endpoint that was selected but not sent to; it may be selected
                again.
        """
        self.admitted = readmitted.admitted
        self.service = readmitted.service
        self.bucket = readmitted.bucket
        self.latency_tolerant = readmitted.latency_tolerant
        self.most_urgent = readmitted.most_urgent
        self.least_urgent = readmitted.least_urgent
        self.pause_sensitive = readmitted.pause_sensitive
        self.tried.discard(unsent_id)


def compute_deadline(request: CallerRequest, *, timeout_s: float = float("inf")) -> float:
    """Return the local time at which a request's response must be complete.

    Args:
        request: The request.
        timeout_s: The route's timeout.
    """
    caller_timeout_s = request.timeout_s if request.timeout_s is not None else float("inf")
    return request.received_at + min(timeout_s, caller_timeout_s)


def begin_progress(
    request: CallerRequest,
    admitted: Admitted,
    *,
    service: str,
    shortest_objective_s: float,
    profile: EngineProfile,
    most_urgent: bool,
    least_urgent: bool = False,
    binding: StreamBinding | None = None,
) -> RequestProgress:
    """Return the initial state of an admitted request.

    Args:
        request: The request.
        admitted: Its route.
        service: The one of the route's services that it goes to.
        shortest_objective_s: Shortest objective of that service's streams.
        profile: Speed of the service's engines.
        most_urgent: Whether no stream of that service takes precedence over it.
        least_urgent: Whether it takes precedence over no stream of that service.
        binding: What began the stream that it takes up; None if it begins anew.
    """
    objective_s = admitted.route.objective_s
    pause_sensitive = is_pause_sensitive(admitted.route, profile)
    bucket = find_bucket(
        request.prompt_tokens,
        objective_s=objective_s,
        shortest_s=shortest_objective_s,
        profile=profile,
    )
    return RequestProgress(
        admitted=admitted,
        service=service,
        deadline=compute_deadline(request, timeout_s=admitted.route.timeout_s),
        # Beside long prompts its pauses would be too long, however short its own prefill.
        bucket=0 if pause_sensitive else bucket,
        most_urgent=most_urgent,
        least_urgent=least_urgent,
        pause_sensitive=pause_sensitive,
        latency_tolerant=is_latency_tolerant(objective_s, shortest_s=shortest_objective_s),
        timing=StreamTiming(received_at=request.received_at),
        output_tokens=request.output_tokens,
        binding=binding,
    )
