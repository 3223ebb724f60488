"""Schedulers of the groups of endpoints that this instance schedules."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_groups import find_service
from guavamast.relay.rate_limits import RateLimitLedger, RatePermits
from guavamast.relay.scheduler import GroupScheduler, ServiceParameters
from guavamast.relay.scheduling_messages import PlacementReply, Verdict
from guavamast.relay.sharing import EQUAL_SHARES, SharingPolicy

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.counters import Counters
    from guavamast.relay.endpoint_groups import EndpointGroups
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.placement import EngineProfiles, MemoryReserve, SpeedEstimate
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.scheduling_messages import PlacementQuery, WorkReport, WorkUpdate

MAJORITY_SHARE: Final = 0.5
"""Share of the fleet that an instance must hear to grant all that a rate limit allows."""
NO_PERMIT_WAIT_S: Final = 0.5
"""Seconds after which a request for a permit is repeated that reached a scheduler without any."""
PUBLISHED_INTERVAL_S: Final = 0.1
"""Seconds between two readings of the published loads: they change a few times a second."""
MAX_GAUGED_ENGINES: Final = 64
"""Engines whose memory is shown as metrics: more than one group has."""


class SchedulerHost:
    """Schedules every group that this instance receives queries for.

    There is no election: each instance queries the one that it selects as the scheduler of a group.
    If two instances are queried for the same group, each knows a part of its work until all
    instances select the same one again.

    Args:
        fleet_state: Configuration.
        groups: Endpoints of each group.
        profiles: Speed of the engines.
        limits: Services whose endpoints bear few rejections.
        counters: Metrics.
        random: Breaks ties between endpoints and spreads retry delays.
        memory: Bounds what engines hold; None where they bear it if their memory runs out.
        read_published: Returns the loads that each instance has published.
        sharing: How organisations share the endpoints.
        rate_limits: Rate limits that endpoints state; None if there are none.
        is_first: Returns whether this instance is the first to schedule a group.
    """

    __slots__ = (
        "_counters",
        "_fleet_state",
        "_groups",
        "_gauges",
        "_is_first",
        "_limits",
        "_memory",
        "_permits",
        "_profiles",
        "_published_at",
        "_random",
        "_rate_limits",
        "_read_published",
        "_schedulers",
        "_sharing",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        groups: EndpointGroups,
        profiles: EngineProfiles,
        limits: RejectionLimits,
        counters: Counters,
        random: Random,
        memory: MemoryReserve | None = None,
        read_published: Callable[[], dict[str, dict[str, Load]]] = dict,
        sharing: SharingPolicy = EQUAL_SHARES,
        rate_limits: RateLimitLedger | None = None,
        is_first: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self._rate_limits = rate_limits or RateLimitLedger()
        self._permits = RatePermits()
        self._is_first = is_first
        self._memory = memory
        self._read_published = read_published
        self._published_at: dict[str, float] = {}
        self._gauges: set[str] = set()
        self._fleet_state = fleet_state
        self._profiles = profiles
        self._limits = limits
        self._counters = counters
        self._random = random
        self._sharing = sharing
        self._groups = groups
        self._schedulers: dict[str, GroupScheduler] = {}

    def decide(self, query: PlacementQuery, *, now: float) -> PlacementReply:
        """Return the decision on a request."""
        candidates = self._groups.list_members(query.service, query.group)
        if not candidates:
            return PlacementReply(
                requester=query.requester, number=query.number, verdict=Verdict.UNKNOWN
            )
        permit_waits = self._compute_permit_waits(query, candidates, now=now)
        parameters = ServiceParameters(
            profile=self._profiles.find(query.service, now=now),
            kv_capacity_tokens=self._fleet_state.find_kv_capacity_tokens(query.service),
            shortest_pause_s=self._fleet_state.find_shortest_pause(query.service),
            slots_only=self._limits.applies(query.service, now=now),
            permit_waits=permit_waits,
        )
        scheduler = self._get_or_create(query.group, now=now)
        self._apply_published(query.group, scheduler, now=now)
        reply = scheduler.decide(query, candidates, parameters, now=now)
        self._counters.add(f'placements_decided_total{{verdict="{reply.verdict}"}}')
        if reply.permitted:
            self._permits.take(reply.endpoint_id, now=now)
            self._counters.add("rate_permits_total")
        return reply

    def _compute_permit_waits(
        self, query: PlacementQuery, candidates: list[EndpointRecord], *, now: float
    ) -> dict[str, float]:
        """Return the seconds until the next permit of each endpoint that states a rate limit.

        Only the first scheduler of a group has any: an instance that got no reply from it asks
        another one, and two at a time would grant the limit twice. For the same reason an instance
        that hears less than half of the fleet grants its share of the limit only.
        """
        limited = self._rate_limits.list_limited(candidates)
        if not limited:
            return {}
        if not self._is_first(query.group):
            self._permits.release(limited)
            return dict.fromkeys(limited, NO_PERMIT_WAIT_S)
        live_share = self._fleet_state.peers.compute_live_share(now=now)
        share = live_share if live_share < MAJORITY_SHARE else 1.0
        return {
            record.endpoint_id: self._permits.compute_wait(
                record.endpoint_id,
                self._rate_limits.find(record) or 0.0,
                share=share,
                may_ask=query.may_ask,
                now=now,
            )
            for record in candidates
            if record.endpoint_id in limited
        }

    def apply_update(self, update: WorkUpdate, *, now: float) -> None:
        """Apply the progress of one request."""
        scheduler = self._schedulers.get(update.group)
        if scheduler is None:
            return
        ended = scheduler.apply_update(update, now=now)
        record = self._fleet_state.endpoints.find(ended.endpoint_id) if ended is not None else None
        if ended is not None and record is not None:
            self._profiles.record_pause(
                record.service,
                uncached_tokens=ended.max_prefill_tokens,
                pause_ms=ended.longest_pause_s * 1000.0,
                now=now,
            )

    def apply_report(self, report: WorkReport, *, now: float) -> None:
        """Apply an instance's report of all its work at a group."""
        self._get_or_create(report.group, now=now).work.apply_report(report, now=now)

    def count_grants(self, group: str) -> int:
        """Return the number of requests counted at the endpoints of a group."""
        scheduler = self._schedulers.get(group)
        return scheduler.work.count() if scheduler is not None else 0

    def list_speeds(self) -> dict[str, SpeedEstimate]:
        """Return the endpoints of its groups that are not of the usual speed."""
        speeds: dict[str, SpeedEstimate] = {}
        for scheduler in self._schedulers.values():
            speeds |= scheduler.work.speeds.list_unusual()
        return speeds

    def clean_up(self, *, endpoint_ids: set[str], now: float) -> None:
        """Drop the work of instances that stopped reporting, and groups without queries.

        Args:
            endpoint_ids: Ids of all present endpoints.
            now: Current time.
        """
        for name, scheduler in list(self._schedulers.items()):
            dropped = scheduler.work.drop_expired(now=now)
            if dropped:
                self._counters.add("grants_dropped_total", dropped)
            scheduler.retain(endpoint_ids)
            if scheduler.work.is_idle(now=now):
                del self._schedulers[name]
                self._published_at.pop(name, None)
        self._permits.release(set(self._permits.list_endpoints()) - self._list_limited())
        grants = sum(scheduler.work.count() for scheduler in self._schedulers.values())
        self._counters.set("groups_scheduled", len(self._schedulers))
        self._counters.set("grants_held", grants)
        self._set_memory_gauges()

    def _list_limited(self) -> frozenset[str]:
        return self._rate_limits.list_limited(self._fleet_state.endpoints.list_all())

    def _apply_published(self, group: str, scheduler: GroupScheduler, *, now: float) -> None:
        """Let a scheduler count the published work of the instances that haven't reported to it."""
        last_at = self._published_at.get(group)
        if self._memory is None or (last_at is not None and now - last_at < PUBLISHED_INTERVAL_S):
            return
        self._published_at[group] = now
        scheduler.work.apply_published(self._read_published())

    def _set_memory_gauges(self) -> None:
        """Set the memory promised and the capacity of each engine that is scheduled here."""
        values: dict[str, float] = {}
        for name, scheduler in self._schedulers.items() if self._memory is not None else ():
            service = find_service(name)
            capacity = self._fleet_state.find_kv_capacity_tokens(service)
            for record in self._groups.list_members(service, name) if capacity else ():
                if len(values) >= 2 * MAX_GAUGED_ENGINES:
                    break
                label = f'{{endpoint="{record.endpoint_id}"}}'
                load = scheduler.work.loads.sum_up(record.endpoint_id)
                values[f"engine_memory_promised_tokens{label}"] = load.kv_tokens
                values[f"engine_memory_capacity_tokens{label}"] = capacity
        for gauge in self._gauges - values.keys():
            self._counters.remove(gauge)
        for gauge, value in values.items():
            self._counters.set(gauge, value)
        self._gauges = set(values)

    def _get_or_create(self, group: str, *, now: float) -> GroupScheduler:
        scheduler = self._schedulers.get(group)
        if scheduler is None:
            scheduler = GroupScheduler(
                random=self._random, now=now, memory=self._memory, sharing=self._sharing
            )
            self._schedulers[group] = scheduler
        return scheduler
