"""Requests that a scheduler counts at endpoints, as reported by the instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_groups import find_service
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.placement import (
    MEMORY_LEASE_S,
    EndpointSpeeds,
    PromptCache,
)
from guavamast.relay.placement.engine_profile import PRIOR
from guavamast.relay.scheduling_messages import WorkPhase
from guavamast.relay.sharing import EQUAL_SHARES, ShareKey, ShareLedger, SharingPolicy

if TYPE_CHECKING:
    from guavamast.relay.endpoint_load import Load, Work
    from guavamast.relay.placement import Choice
    from guavamast.relay.requester import Requester
    from guavamast.relay.scheduling_messages import (
        PlacedWork,
        PlacementQuery,
        WorkReport,
        WorkUpdate,
    )

LEASE_S: Final = 3.5
"""Seconds without a message after which the work of an instance is dropped: several reports."""
UNCONFIRMED_GRANT_S: Final = 1.5
"""Seconds for which work that is missing from a report is kept: the report may have been sent
before the grant arrived."""
MISSING_REPORTS: Final = 2
"""Intervals of reports without a request after which it is dropped where memory is bounded."""
MAX_FAILURE_WEIGHT: Final = 1.0
"""Failures that one update counts for at most: an instance that is cut off from the network
sees all endpoints fail."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedStream:
    """Pauses of an ended stream and the prefill load that it ran beside."""

    endpoint_id: str
    longest_pause_s: float
    """Longest time between two of its events."""
    max_prefill_tokens: int
    """Most prompt tokens that its endpoint had to prefill at once while it ran."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Grant:
    """One request counted at its endpoint."""

    endpoint_id: str
    work: Work
    granted_at: float
    """Local time of the grant."""
    share_key: ShareKey | None = None
    """Its organisation; None if nothing was charged."""
    work_ms: float = 0.0
    """Engine milliseconds that its organisation was charged for."""
    expected_ms: float = 0.0
    """Forecast of its first event at an engine of the usual speed; 0 if it isn't known."""
    running: bool = False
    """Whether its first event has arrived."""
    max_prefill_tokens: int = 0
    """Most prompt tokens that its endpoint had to prefill at once while it ran."""
    unconfirmed: int = 0
    """Reports in turn that didn't contain it."""


class ScheduledWork:
    """Requests at the endpoints of one group, by the process that sends them.

    This state is soft: work of an instance that stops reporting or does not confirm it is dropped,
    and work that already runs is learnt from the reports of all instances.

    Args:
        memory_bounded: Whether an engine ends that holds more than its KV cache. Then work counts
            until it is surely over, and that of instances without a report as they publish it.
    """

    __slots__ = (
        "_grants",
        "_grants_by_endpoint",
        "_lease_s",
        "_learnt_endpoints",
        "_memory_bounded",
        "_received_at",
        "_reported",
        "cache",
        "loads",
        "shares",
        "speeds",
    )

    def __init__(
        self, *, memory_bounded: bool = False, sharing: SharingPolicy = EQUAL_SHARES
    ) -> None:
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self.speeds = EndpointSpeeds()
        self.shares = ShareLedger(sharing)
        """Work served and waiting by organisation."""
        self._grants: dict[Requester, dict[int, _Grant]] = {}
        self._grants_by_endpoint: dict[str, list[_Grant]] = {}
        self._received_at: dict[Requester, float] = {}
        self._memory_bounded = memory_bounded
        self._lease_s = MEMORY_LEASE_S if memory_bounded else LEASE_S
        self._reported: dict[str, Requester] = {}
        """The processes that have reported their work, by instance."""
        self._learnt_endpoints: set[str] = set()

    def count_at(self, endpoint_id: str) -> int:
        """Return the number of requests counted at an endpoint."""
        return len(self._grants_by_endpoint.get(endpoint_id, ()))

    def find_endpoint(self, requester: Requester, number: int) -> str | None:
        """Return the id of the endpoint of a request; None if it isn't counted."""
        grant = self._grants.get(requester, {}).get(number)
        return None if grant is None else grant.endpoint_id

    def renew_lease(self, requester: Requester, *, now: float) -> None:
        """Record a message from a process."""
        self._received_at[requester] = now

    def is_idle(self, *, now: float) -> bool:
        """Return whether the leases of all processes have expired."""
        return all(now - received_at > self._lease_s for received_at in self._received_at.values())

    def count(self) -> int:
        """Return the number of requests counted at endpoints."""
        return sum(len(grants) for grants in self._grants.values())

    def grant(
        self, query: PlacementQuery, choice: Choice, *, now: float, work_ms: float = 0.0
    ) -> None:
        """Count a request at the endpoint selected for it.

        Args:
            query: The request.
            choice: Its endpoint.
            now: Current time.
            work_ms: Engine milliseconds that its organisation was charged for.
        """
        endpoint_id = choice.record.endpoint_id
        parts = query.prompt_parts
        if len(parts) > 1:
            self.cache.record(endpoint_id, parts[-2].part_id, choice.uncached_tokens, now=now)
        work = self.loads.begin(
            endpoint_id,
            prefill_tokens=choice.uncached_tokens,
            kv_tokens=query.prompt_tokens + query.output_tokens,
            pause_sensitive=query.pause_sensitive and choice.own_bucket,
        )
        forecast = choice.forecast
        grant = _Grant(
            endpoint_id=endpoint_id,
            work=work,
            granted_at=now,
            share_key=ShareKey(query.service, query.precedence, query.organisation),
            work_ms=work_ms,
            expected_ms=forecast.first_event_ms * choice.speed if forecast is not None else 0.0,
        )
        self._grants.setdefault(query.requester, {})[query.number] = grant
        self._record_prefill(endpoint_id, grant)

    def apply_update(self, update: WorkUpdate, *, now: float) -> EndedStream | None:
        """Record that a request has begun to run or has ended.

        Returns:
            Pauses and prefill load of the stream, if one has ended.
        """
        self._received_at[update.requester] = now
        grants = self._grants.get(update.requester, {})
        grant = grants.get(update.number)
        if grant is None:
            return None
        grant.work.finish_prefill()
        if not update.phase.over:
            self._sample_first_event(update.group, grant, now=now)
            grant.running = True
            grant.max_prefill_tokens = self.loads.sum_up(grant.endpoint_id).prefill_tokens
            return None
        self._end(grants, update.number)
        if update.phase is WorkPhase.REJECTED and grant.share_key is not None:
            # It has not run.
            self.shares.charge(grant.share_key, -grant.work_ms, now=now)
        if update.phase is WorkPhase.ENDED:
            self.speeds.record_pause(
                find_service(update.group),
                grant.endpoint_id,
                pause_ms=update.mean_pause_ms,
                now=now,
            )
        self._record_outcome(grant.endpoint_id, update.failure_weight, now=now)
        if not grant.running:
            return None
        return EndedStream(
            endpoint_id=grant.endpoint_id,
            longest_pause_s=update.longest_pause_s,
            max_prefill_tokens=grant.max_prefill_tokens,
        )

    def apply_report(self, report: WorkReport, *, now: float) -> None:
        """Replace the known work of an instance by its own report."""
        self._received_at[report.requester] = now
        self._drop_earlier_incarnations(report.requester)
        grants = self._grants.setdefault(report.requester, {})
        reported = {work.number for work in report.works}
        for number, grant in list(grants.items()):
            if number in reported:
                grant.unconfirmed = 0
            elif now - grant.granted_at > UNCONFIRMED_GRANT_S:
                grant.unconfirmed += 1
                if grant.unconfirmed >= self._find_missing_reports():
                    self._end(grants, number)
        self._reported[report.requester.instance] = report.requester
        self.loads.replace_peer(report.requester.instance, {})
        for work in report.works:
            self._apply_work(find_service(report.group), grants, work, now=now)

    def apply_published(self, loads: dict[str, dict[str, Load]]) -> None:
        """Count the published work of the instances that have not reported theirs.

        Failure: a new scheduler doesn't know what still runs, and grants the same memory again.

        Args:
            loads: Loads by endpoint, as each instance has published them.
        """
        for instance, published in loads.items():
            if instance not in self._reported:
                self.loads.replace_peer(instance, published)
                self._learnt_endpoints.update(
                    endpoint_id for endpoint_id, load in published.items() if load.requests
                )
        self.loads.retain_peers({one for one in loads if one not in self._reported})

    def has_learnt_of(self, endpoint_id: str) -> bool:
        """Return whether work was learnt at an endpoint that this scheduler hasn't granted."""
        return endpoint_id in self._learnt_endpoints

    def _find_missing_reports(self) -> int:
        """Return how many reports in turn must lack a request that is then dropped.

        Failure: a report is delayed until after a later grant, the grant is dropped although its
        request runs, and its memory is granted again before the next report.
        """
        return MISSING_REPORTS if self._memory_bounded else 1

    def drop_expired(self, *, now: float) -> int:
        """Drop the work of processes with an expired lease; return the number of requests."""
        expired = [
            requester
            for requester, received_at in self._received_at.items()
            if now - received_at > self._lease_s
        ]
        dropped = 0
        for requester in expired:
            del self._received_at[requester]
            if self._reported.get(requester.instance) == requester:
                del self._reported[requester.instance]
            dropped += self._drop(requester)
        return dropped

    def _sample_first_event(self, group: str, grant: _Grant, *, now: float) -> None:
        if grant.running:
            return
        self.speeds.record_first_event(
            find_service(group),
            grant.endpoint_id,
            expected_ms=grant.expected_ms,
            took_ms=(now - grant.granted_at) * 1000.0,
            now=now,
        )

    def _record_prefill(self, endpoint_id: str, grant: _Grant) -> None:
        """Record the prefill of a new request for the streams that run beside it."""
        grants = self._grants_by_endpoint.setdefault(endpoint_id, [])
        prefill_tokens = self.loads.sum_up(endpoint_id).prefill_tokens
        for other in grants:
            if other.running and prefill_tokens > other.max_prefill_tokens:
                other.max_prefill_tokens = prefill_tokens
        grants.append(grant)

    def _end(self, grants: dict[int, _Grant], number: int) -> None:
        grant = grants.pop(number)
        grant.work.end()
        self._grants_by_endpoint[grant.endpoint_id].remove(grant)

    def _apply_work(
        self, service: str, grants: dict[int, _Grant], work: PlacedWork, *, now: float
    ) -> None:
        grant = grants.get(work.number)
        if grant is None and work.shared_part is not None:
            self.cache.record(work.endpoint_id, work.shared_part, work.uncached_tokens, now=now)
        if grant is None and not work.phase.over:
            endpoint_work = self.loads.begin(
                work.endpoint_id,
                prefill_tokens=work.uncached_tokens,
                kv_tokens=work.kv_tokens,
                pause_sensitive=work.pause_sensitive,
            )
            self._learnt_endpoints.add(work.endpoint_id)
            grant = _Grant(endpoint_id=work.endpoint_id, work=endpoint_work, granted_at=now)
            self._charge_reported(service, work, grant, now=now)
            grants[work.number] = grant
            self._record_prefill(work.endpoint_id, grant)
        if grant is not None and work.phase is not WorkPhase.WAITING:
            grant.work.finish_prefill()

    def _charge_reported(
        self, service: str, work: PlacedWork, grant: _Grant, *, now: float
    ) -> None:
        """Charge work that another decider has placed, so that a new scheduler knows the shares.

        Reports don't tell the prefill speed; the prior's is the same for all organisations.
        """
        key = ShareKey(service, work.precedence, work.organisation)
        grant.share_key = key
        grant.work_ms = PRIOR.compute_prefill_ms(work.uncached_tokens)
        self.shares.record_request(key, now=now)
        self.shares.charge(key, grant.work_ms, now=now)

    def _record_outcome(self, endpoint_id: str, failure_weight: float, *, now: float) -> None:
        if failure_weight > 0.0:
            weight = min(failure_weight, MAX_FAILURE_WEIGHT)
            self.loads.record_failure(endpoint_id, weight=weight, now=now)
        else:
            self.loads.record_success(endpoint_id, now=now)

    def _drop_earlier_incarnations(self, requester: Requester) -> None:
        """Drop the work of earlier processes of an instance."""
        earlier = [
            one
            for one in self._grants
            if one.instance == requester.instance and one.incarnation != requester.incarnation
        ]
        for one in earlier:
            self._drop(one)

    def _drop(self, requester: Requester) -> int:
        grants = self._grants.pop(requester, {})
        dropped = len(grants)
        for number in list(grants):
            self._end(grants, number)
        return dropped
