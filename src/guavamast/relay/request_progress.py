"""The state of one request while it is relayed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavamast.relay.disturbance import is_delicate
from guavamast.relay.prompt_lanes import find_lane, is_patient
from guavamast.relay.stream_timing import StreamTiming

if TYPE_CHECKING:
    from guavamast.relay.attempt import CompleteResponse
    from guavamast.relay.caller_gate import Admitted
    from guavamast.relay.engine_profile import EngineProfile
    from guavamast.relay.messages import CallerRequest


@dataclass(slots=True, kw_only=True)
class RequestProgress:
    """The state of one request between its admission and its response."""

    admitted: Admitted
    service: str
    deadline: float
    """Local time at which the response must be complete."""
    lane: int
    """Length bucket of its prompt, which determines the preferred engines."""
    patient: bool
    """Whether it has far more time than the most urgent requests of its service."""
    first: bool
    """Whether no stream of its service takes precedence over it."""
    delicate: bool
    """Whether it would be late if its engine prefills long prompts at the same time."""
    timing: StreamTiming
    """Timing of the forwarded events, from any endpoint."""
    tried: set[str] = field(default_factory=set)
    """Ids of the endpoints that were selected for it."""
    sent: int = 0
    """Number of endpoints to which the request was sent."""
    possible_runs: int = 0
    """Number of sends that the endpoint may have run."""
    connect_failures: int = 0
    last_event_id: str | None = None
    error_response: CompleteResponse | None = None
    """An endpoint's error response, forwarded if no other endpoint does better."""

    def readmit(self, readmitted: RequestProgress, *, unsent_id: str) -> None:
        """Apply a repeated admission, and keep the record of earlier attempts.

        Args:
            readmitted: The initial state after the repeated admission.
            unsent_id: Id of the endpoint that was selected but not sent to; it may be selected
                again.
        """
        self.admitted = readmitted.admitted
        self.service = readmitted.service
        self.lane = readmitted.lane
        self.patient = readmitted.patient
        self.first = readmitted.first
        self.delicate = readmitted.delicate
        self.tried.discard(unsent_id)


def compute_deadline(request: CallerRequest, *, timeout_s: float = float("inf")) -> float:
    """Return the local time at which a request's response must be complete.

    Args:
        request: The request.
        timeout_s: The route's timeout.
    """
    caller_timeout_s = request.patience_s if request.patience_s is not None else float("inf")
    return request.arrived + min(timeout_s, caller_timeout_s)


def begin_progress(
    request: CallerRequest,
    admitted: Admitted,
    *,
    service: str,
    shortest_s: float,
    profile: EngineProfile,
    first: bool,
) -> RequestProgress:
    """Return the initial state of an admitted request.

    Args:
        request: The request.
        admitted: Its route.
        service: The one of the route's services that it goes to.
        shortest_s: Shortest objective of that service's streams.
        profile: Speed of the service's engines.
        first: Whether no stream of that service takes precedence over it.
    """
    objective_s = admitted.route.objective_s
    delicate = is_delicate(admitted.route, profile)
    lane = find_lane(
        request.prompt_tokens, objective_s=objective_s, shortest_s=shortest_s, profile=profile
    )
    return RequestProgress(
        admitted=admitted,
        service=service,
        deadline=compute_deadline(request, timeout_s=admitted.route.timeout_s),
        # Beside long prompts its pauses would be too long, however short its own prefill.
        lane=0 if delicate else lane,
        first=first,
        delicate=delicate,
        patient=is_patient(objective_s, shortest_s=shortest_s),
        timing=StreamTiming(received_at=request.arrived),
    )
