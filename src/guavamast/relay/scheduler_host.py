"""The groups of endpoints that this instance schedules."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.scheduler import GroupScheduler, ServiceFacts
from guavamast.relay.scheduling_messages import PlacementReply, Verdict

if TYPE_CHECKING:
    from random import Random

    from guavamast.relay.counters import Counters
    from guavamast.relay.endpoint_groups import EndpointGroups
    from guavamast.relay.engine_profile import EngineProfiles
    from guavamast.relay.fleet_knowledge import FleetKnowledge
    from guavamast.relay.scheduling_messages import PlacementQuery, WorkReport, WorkUpdate


class SchedulerHost:
    """Schedules whatever group this instance is asked about.

    Nobody is elected: instances ask the one that they hold for the scheduler of a group. Two that
    are asked for the same group know a part of its work each, until all ask the same again.

    Args:
        knowledge: Configuration.
        groups: The endpoints of each group.
        profiles: How fast the engines are.
        counters: Metrics.
        random: Spreads choices and times to come back.
    """

    __slots__ = ("_counters", "_groups", "_knowledge", "_profiles", "_random", "_schedulers")

    def __init__(
        self,
        *,
        knowledge: FleetKnowledge,
        groups: EndpointGroups,
        profiles: EngineProfiles,
        counters: Counters,
        random: Random,
    ) -> None:
        self._knowledge = knowledge
        self._profiles = profiles
        self._counters = counters
        self._random = random
        self._groups = groups
        self._schedulers: dict[str, GroupScheduler] = {}

    def decide(self, query: PlacementQuery, *, now: float) -> PlacementReply:
        """Return where a request goes."""
        candidates = self._groups.list_members(query.service, query.group)
        if not candidates:
            return PlacementReply(number=query.number, verdict=Verdict.UNKNOWN)
        facts = ServiceFacts(
            profile=self._profiles.find(query.service, now=now),
            memory_tokens=self._knowledge.find_memory(query.service),
            shortest_pause_s=self._knowledge.find_shortest_pause(query.service),
        )
        scheduler = self._get_or_create(query.group, now=now)
        reply = scheduler.decide(query, candidates, facts, now=now)
        self._counters.add(f'placements_decided_total{{verdict="{reply.verdict}"}}')
        return reply

    def apply_update(self, update: WorkUpdate, *, now: float) -> None:
        """Note that work has come further."""
        scheduler = self._schedulers.get(update.group)
        if scheduler is None:
            return
        ended = scheduler.work.take_update(update, now=now)
        record = self._knowledge.endpoints.find(ended.endpoint_id) if ended is not None else None
        if ended is not None and record is not None:
            self._profiles.record_pause(
                record.service,
                unread_tokens=ended.max_prefill_tokens,
                pause_ms=ended.longest_pause_s * 1000.0,
                now=now,
            )

    def apply_report(self, report: WorkReport, *, now: float) -> None:
        """Take an instance's word on all its work at a group."""
        self._get_or_create(report.group, now=now).work.apply_report(report, now=now)

    def count_grants(self, group: str) -> int:
        """Return the requests that are counted at the endpoints of a group."""
        scheduler = self._schedulers.get(group)
        return scheduler.work.count() if scheduler is not None else 0

    def clean_up(self, *, endpoint_ids: set[str], now: float) -> None:
        """Drop the work of silent instances, and groups that nobody asks about any more.

        Args:
            endpoint_ids: The endpoints that there are.
            now: The present time.
        """
        for name, scheduler in list(self._schedulers.items()):
            dropped = scheduler.work.drop_expired(now=now)
            if dropped:
                self._counters.add("grants_dropped_total", dropped)
            scheduler.work.cache.keep_only(endpoint_ids)
            scheduler.work.loads.keep_only(endpoint_ids)
            if scheduler.work.is_idle(now=now):
                del self._schedulers[name]
        grants = sum(scheduler.work.count() for scheduler in self._schedulers.values())
        self._counters.set("groups_scheduled", len(self._schedulers))
        self._counters.set("grants_held", grants)

    def _get_or_create(self, group: str, *, now: float) -> GroupScheduler:
        scheduler = self._schedulers.get(group)
        if scheduler is None:
            scheduler = GroupScheduler(random=self._random, now=now)
            self._schedulers[group] = scheduler
        return scheduler
