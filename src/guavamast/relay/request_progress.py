"""What one request has gone through so far."""

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
    """The state of one request between its admission and its answer."""

    admitted: Admitted
    service: str
    deadline: float
    """Local time at which the answer must be final."""
    lane: int
    """Which engines are meant for the request's prompt."""
    patient: bool
    """Whether it has far more time than the most urgent requests of its service."""
    first: bool
    """Whether no stream of its service goes before it."""
    delicate: bool
    """Whether long prompts that are read beside it would make it late."""
    timing: StreamTiming
    """Of the events passed on, whichever endpoint they came from."""
    tried: set[str] = field(default_factory=set)
    """Ids of the endpoints that were chosen for it."""
    sent: int = 0
    """Endpoints to which the request was sent."""
    possible_runs: int = 0
    """Sends of which it is not known that the endpoint did not run them."""
    connect_failures: int = 0
    last_event_id: str | None = None
    error_response: CompleteResponse | None = None
    """An endpoint's own error, passed on if no other endpoint does better."""

    def readmit(self, readmitted: RequestProgress, *, unsent_id: str) -> None:
        """Take how the request was admitted anew, and keep what it has gone through.

        Args:
            other: The state that the admission begins.
            unsent: Id of the endpoint that was chosen and not sent to; it may be chosen again.
        """
        self.admitted = readmitted.admitted
        self.service = readmitted.service
        self.lane = readmitted.lane
        self.patient = readmitted.patient
        self.first = readmitted.first
        self.delicate = readmitted.delicate
        self.tried.discard(unsent_id)


def compute_deadline(request: CallerRequest, *, timeout_s: float = float("inf")) -> float:
    """Return the local time at which a request's answer must be final.

    Args:
        request: The request.
        timeout_s: Longest time that its route keeps a caller waiting.
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
    """Return the state of a request that was just admitted.

    Args:
        request: The request.
        admitted: Its route.
        service: The one among the route's services that it goes to.
        shortest_s: Time in which the most urgent streams of that service are due.
        profile: How fast the service's engines are.
        first: Whether no stream of that service goes before it.
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
        # Among long prompts its pauses would be too long, however short its own prompt's reading.
        lane=0 if delicate else lane,
        first=first,
        delicate=delicate,
        patient=is_patient(objective_s, shortest_s=shortest_s),
        timing=StreamTiming(received_at=request.arrived),
    )
