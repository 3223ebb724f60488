"""Claims of retries for requests whose endpoints are silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.attempt_failure import AttemptFailed, FailureKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.caller_gate import Admitted
    from guavamast.relay.departure_gate import DepartureGate
    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placer import PlacementDecision, Placer
    from guavamast.relay.prepared_send import PreparedSend, SendPreparer
    from guavamast.relay.quarantine import CrashGuard
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.retry_budget import RetryBudget
    from guavamast.relay.stream_binding import SoftwareVersions


class RetryClaims:
    """Claims the retry of a request before its attempt is abandoned.

    An attempt at a silent endpoint may still succeed. If it were abandoned for a retry that is then
    denied, or that no endpoint can take, its caller would get a part of a stream, or an error, in
    place of the response. What could deny the retry may change at any time until it is sent. So a
    retry is placed, connected and checked while the attempt goes on, and only then is it claimed.

    Args:
        budget: Retry budget, from which the retry is spent.
        fleet_state: The endpoints, and the instances that share the budget.
        limits: Services whose endpoints bear few rejections.
        admission: Tells whether the tables permit a further send.
        departure: Keeps requests from endpoints that would outlast this instance.
        guard: Keeps requests that end endpoints from further ones.
        versions: Software of the endpoints.
        placer: Selects the endpoint of the retry.
        preparer: Prepares the retry up to its first byte.
        loads: Told of endpoints that can't be connected to.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_admission",
        "_budget",
        "_departure",
        "_fleet_state",
        "_guard",
        "_limits",
        "_loads",
        "_placer",
        "_preparer",
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
        guard: CrashGuard,
        versions: SoftwareVersions,
        placer: Placer,
        preparer: SendPreparer,
        loads: EndpointLoads,
        read_time: Callable[[], float],
    ) -> None:
        self._budget = budget
        self._fleet_state = fleet_state
        self._limits = limits
        self._admission = admission
        self._departure = departure
        self._guard = guard
        self._versions = versions
        self._placer = placer
        self._preparer = preparer
        self._loads = loads
        self._read_time = read_time

    async def claim(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Claim the retry of a request; return whether its attempt may be abandoned.

        If so, the retry is ready to be sent, whatever changes from now on.

        Args:
            request: The request.
            progress: Its progress.
        """
        now = self._read_time()
        if not self._may_be_sent_again(request, progress, now=now):
            return False
        instances = self._fleet_state.count_instances()
        if not self._budget.try_spend(progress.service, instances=instances, now=now):
            return False
        try:
            progress.retry = await self._prepare(request, progress)
        finally:
            if progress.retry is None:
                self._budget.give_back(progress.service, spent_at=now)
        return progress.retry is not None

    def _may_be_sent_again(
        self, request: CallerRequest, progress: RequestProgress, *, now: float
    ) -> bool:
        """Return whether a retry could be sent at present, before anything is spent for it.

        None is if the endpoints of its service bear few rejections: an abandoned request may run on
        at its endpoint, whose slot then counts as free and gets a request that it has to reject.
        """
        if self._limits.applies(progress.service, now=now):
            return False
        if self._admit(request, progress) is None:
            return False  # By now its route or its key may be gone.
        if progress.response_begun and not self._admission.store_answers:
            return False  # What another endpoint runs can't be confirmed.
        if self._departure.find_denial(progress, now=now) is not None:
            return False
        if self._guard.is_quarantined(request, progress):
            return False
        return self._has_other_endpoint(progress, now=now)

    def _admit(self, request: CallerRequest, progress: RequestProgress) -> Admitted | None:
        """Return the admission of a retry by the newest configuration; None if it forbids it."""
        return self._admission.admit_retry(
            request, service=progress.service, sends=progress.sends, now=self._read_time()
        )

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

    async def _prepare(
        self, request: CallerRequest, progress: RequestProgress
    ) -> PreparedSend | None:
        """Return a retry that is ready to be sent; None if it can't be sent now."""
        if progress.delivery is not None:
            await progress.delivery.flush()
        if progress.binding is None and progress.source is not None:
            progress.binding = await self._versions.confirm(progress.source)
            if progress.binding is None:
                return None
        admitted = self._admit(request, progress)
        if admitted is None:
            return None
        progress.admitted = admitted
        placed = await self._placer.place(request, progress)
        if placed.choice is None or placed.rejection is not None:
            return None
        prepared = await self._complete(request, progress, placed)
        if prepared is None or not self._limits.applies(progress.service, now=self._read_time()):
            return prepared
        prepared.end()  # An endpoint has stated a limit meanwhile.
        progress.tried.discard(prepared.attempt.record.endpoint_id)
        return None

    async def _complete(
        self, request: CallerRequest, progress: RequestProgress, placed: PlacementDecision
    ) -> PreparedSend | None:
        """Return a retry at a chosen endpoint, connected and checked; None if it can't be sent."""
        prepared = self._preparer.begin(request, progress, placed)
        endpoint_id = prepared.attempt.record.endpoint_id
        failure_weight = 0.0
        unreachable = False
        try:
            await self._preparer.complete(request, progress, prepared)
        except AttemptFailed as failure:
            failure_weight = failure.weight
            unreachable = failure.kind is FailureKind.NOT_CONNECTED
            self._loads.record_failure(endpoint_id, weight=failure_weight, now=self._read_time())
            return None
        finally:
            if not prepared.checked:
                prepared.end(failure_weight=failure_weight)
                if not unreachable:
                    progress.tried.discard(endpoint_id)
        return prepared
