"""Claims of retries for requests whose endpoints are silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.departure_gate import DepartureGate
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.retry_budget import RetryBudget
    from guavamast.relay.stream_binding import SoftwareVersions


class RetryClaims:
    """Claims the retry of a request before its attempt is abandoned.

    An attempt at a silent endpoint may still succeed. If it were abandoned for a retry that is then
    denied, or that no endpoint can take, its caller would get a part of a stream, or an error, in
    place of the response. So whatever would deny the retry is asked here.

    Args:
        budget: Retry budget, from which the retry is spent.
        fleet_state: The endpoints, and the instances that share the budget.
        limits: Services whose endpoints bear few rejections.
        admission: Tells whether the tables permit a further send.
        departure: Keeps requests from endpoints that would outlast this instance.
        versions: Software of the endpoints.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_admission",
        "_budget",
        "_departure",
        "_fleet_state",
        "_limits",
        "_read_time",
        "_versions",
    )

    def __init__(
        self,
        *,
        budget: RetryBudget,
        fleet_state: FleetState,
        limits: RejectionLimits,
        admission: CallerAdmission,
        departure: DepartureGate,
        versions: SoftwareVersions,
        read_time: Callable[[], float],
    ) -> None:
        self._budget = budget
        self._fleet_state = fleet_state
        self._limits = limits
        self._admission = admission
        self._departure = departure
        self._versions = versions
        self._read_time = read_time

    def claim(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Claim the retry of a request; return whether its attempt may be abandoned.

        It may not if the endpoints of its service bear few rejections: an abandoned request may run
        on at its endpoint, whose slot then counts as free and gets a request that it has to reject.

        Args:
            request: The request.
            progress: Its progress.
        """
        now = self._read_time()
        if self._limits.applies(progress.service, now=now):
            return False
        if not self._admission.permits_retry(request, service=progress.service, now=now):
            return False  # By now its route or its key may be gone.
        if progress.response_begun and not self._admission.store_answers:
            return False  # What another endpoint runs can't be confirmed.
        if self._departure.find_denial(progress, now=now) is not None:
            return False
        if not self._has_other_endpoint(progress, now=now):
            return False
        instances = self._fleet_state.count_instances()
        progress.retry_claimed = self._budget.try_spend(
            progress.service, instances=instances, now=now
        )
        return progress.retry_claimed

    def _has_other_endpoint(self, progress: RequestProgress, *, now: float) -> bool:
        """Return whether an endpoint that wasn't tried could go on with the response."""
        binding = progress.binding
        if binding is None and progress.source is not None:
            binding = self._versions.identify(progress.source, now=now)
        excluded = set(progress.tried)
        if binding is not None:
            excluded |= self._versions.list_others(binding)
        elif progress.response_begun:
            return False  # It isn't known yet where its stream may go on.
        ready = self._fleet_state.endpoints.list_ready(progress.service)
        return any(record.endpoint_id not in excluded for record in ready)
