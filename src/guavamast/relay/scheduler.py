"""Schedules the requests of all instances on one group of endpoints whose work it knows exactly."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.admission import AdmissionControl, WaitTerms
from guavamast.relay.endpoint_choice import EndpointChooser
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.engine_model import FIRST_LIMIT, LATE_LIMIT, PATIENT_LIMIT
from guavamast.relay.expected_returns import ExpectedReturns
from guavamast.relay.placement import Placement
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.prompt_lanes import PromptDemand
from guavamast.relay.refusal_history import RefusalHistory
from guavamast.relay.scheduling_messages import PlacementReply, Verdict, WorkPhase

if TYPE_CHECKING:
    from random import Random

    from guavamast.relay.endpoint_choice import Choice
    from guavamast.relay.endpoint_load import Work
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.engine_model import MemoryLimit
    from guavamast.relay.engine_profile import EngineProfile
    from guavamast.relay.scheduling_messages import (
        Asker,
        PlacedWork,
        PlacementQuery,
        WorkReport,
        WorkUpdate,
    )

LEARNING_S: Final = 1.0
"""Seconds after its begin in which a scheduler may not have heard of all work yet: each instance
reports within them."""
LEASE_S: Final = 3.5
"""Seconds without a word after which the work of an instance is dropped: several reports."""
UNCONFIRMED_S: Final = 1.5
"""Seconds for which work that a report does not name is kept: the grant and the report may have
crossed."""
MOST_FAILURE_WEIGHT: Final = 1.0
"""Failures that one report counts for at most: an instance that is cut off finds all endpoints
failing."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFacts:
    """What holds for all endpoints of the service of a group."""

    profile: EngineProfile
    memory_tokens: int
    """Tokens that fit into an engine's memory; 0 for plain services."""
    shortest_pause_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EndedStream:
    """What a stream that has ended met at its endpoint."""

    endpoint_id: str
    longest_pause_s: float
    """Between two of its events."""
    most_reading: int
    """Prompt tokens that its endpoint had to read at once, at most, while it ran."""


@dataclass(slots=True, kw_only=True, eq=False)
class _Grant:
    """One request at its endpoint."""

    endpoint_id: str
    work: Work
    granted: float
    """Local time."""
    running: bool = False
    """Whether its first event has come."""
    most_reading: int = 0
    """Prompt tokens that its endpoint had to read at once, at most, while it ran."""


class GroupScheduler:
    """Decides on the requests to one group of endpoints.

    Failure: each instance chooses by loads that are told a second late. All see the same engine
    idle, send to it, and refuse callers by queues that are gone. The scheduler is asked before each
    send, counts the request at once, and is told of its begin and end.

    What it knows is soft: work of an instance that falls silent or does not confirm it is dropped,
    and a scheduler that has just begun learns what runs from the reports of all.

    Args:
        random: Spreads choices among equals, and times to come back.
        now: The present time, from which it learns.
    """

    __slots__ = (
        "_admission",
        "_at_endpoint",
        "_began",
        "_chooser",
        "_demand",
        "_grants",
        "_heard",
        "_returns",
        "cache",
        "loads",
    )

    def __init__(self, *, random: Random, now: float) -> None:
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self._demand = PromptDemand()
        self._chooser = EndpointChooser(loads=self.loads, cache=self.cache, random=random)
        self._admission = AdmissionControl(history=RefusalHistory(), random=random)
        self._began = now
        self._returns = ExpectedReturns()
        self._grants: dict[Asker, dict[int, _Grant]] = {}
        self._at_endpoint: dict[str, list[_Grant]] = {}
        self._heard: dict[Asker, float] = {}

    def is_learning(self, *, now: float) -> bool:
        """Return whether it may not know all work yet."""
        return now - self._began < LEARNING_S

    def is_idle(self, *, now: float) -> bool:
        """Return whether nobody has spoken to it for long."""
        return all(now - heard > LEASE_S for heard in self._heard.values())

    def count_grants(self) -> int:
        """Return the requests that are counted at endpoints."""
        return sum(len(grants) for grants in self._grants.values())

    def decide(
        self,
        query: PlacementQuery,
        candidates: list[EndpointRecord],
        facts: ServiceFacts,
        *,
        now: float,
    ) -> PlacementReply:
        """Return where a request goes; it is counted there from now on.

        Args:
            query: The request.
            candidates: Endpoints of the group that may get requests.
            facts: What holds for all of them.
            now: The present time.
        """
        self._heard[query.asker] = now
        learning = self.is_learning(now=now)
        placement = self._describe(query, facts, learning=learning, now=now)
        terms = self._make_terms(query, learning=learning, now=now)
        choice = self._chooser.choose(
            placement,
            candidates,
            exclude=frozenset(query.excluded),
            now=now,
            has_room=self._admission.find_filter(
                terms, service=query.service, urgency=query.urgency, now=now
            ),
        )
        if choice is None:
            return PlacementReply(number=query.number, verdict=Verdict.UNKNOWN, learning=learning)
        later = self._admit(query, choice, terms, now=now)
        if later is not None:
            return _make_reply(
                query, choice, Verdict.REFUSED, learning=learning, retry_after_s=later
            )
        self._grant(query, choice, now=now)
        return _make_reply(query, choice, Verdict.GRANTED, learning=learning)

    def take_update(self, update: WorkUpdate, *, now: float) -> EndedStream | None:
        """Note that work has begun to run or has ended.

        Returns:
            What the stream met that has ended, if one has.
        """
        self._heard[update.asker] = now
        grants = self._grants.get(update.asker, {})
        grant = grants.get(update.number)
        if grant is None:
            return None
        grant.work.finish_prefill()
        if update.phase is not WorkPhase.ENDED:
            grant.running = True
            grant.most_reading = self.loads.sum_up(grant.endpoint_id).prefill_tokens
            return None
        self._end(grants, update.number)
        self._learn_outcome(grant.endpoint_id, update.failure_weight, now=now)
        if not grant.running:
            return None
        return EndedStream(
            endpoint_id=grant.endpoint_id,
            longest_pause_s=update.longest_pause_s,
            most_reading=grant.most_reading,
        )

    def take_report(self, report: WorkReport, *, now: float) -> None:
        """Replace what is known of an instance's work by what it says itself."""
        self._heard[report.asker] = now
        self._drop_former(report.asker)
        grants = self._grants.setdefault(report.asker, {})
        named = {work.number for work in report.works}
        for number, grant in list(grants.items()):
            if number not in named and now - grant.granted > UNCONFIRMED_S:
                self._end(grants, number)
        for work in report.works:
            self._take_work(grants, work, now=now)

    def drop_silent(self, *, now: float) -> int:
        """Drop the work of instances that have said nothing for long; returns how much."""
        silent = [asker for asker, heard in self._heard.items() if now - heard > LEASE_S]
        dropped = 0
        for asker in silent:
            del self._heard[asker]
            dropped += self._drop(asker)
        return dropped

    def _describe(
        self, query: PlacementQuery, facts: ServiceFacts, *, learning: bool, now: float
    ) -> Placement:
        if query.prompt_tokens:
            self._demand.record(
                query.lane,
                prompt_tokens=query.prompt_tokens,
                output_tokens=query.output_tokens,
                profile=facts.profile,
                now=now,
            )
        return Placement(
            prompt_parts=query.prompt_parts,
            prompt_tokens=query.prompt_tokens,
            failure_domain=query.failure_domain,
            lane=query.lane,
            lane_shares=self._demand.compute_shares(),
            output_tokens=query.output_tokens,
            memory_tokens=facts.memory_tokens,
            profile=facts.profile,
            objective_s=query.objective_s,
            delicate=query.delicate,
            shortest_pause_s=facts.shortest_pause_s,
            memory_limit=_find_memory_limit(query, learning=learning),
            loads_late=learning,
        )

    def _make_terms(self, query: PlacementQuery, *, learning: bool, now: float) -> WaitTerms:
        return WaitTerms(
            objective_s=query.objective_s,
            patient=query.patient,
            first=query.first,
            old_news=learning,
            fresh=not self._returns.recall(query, now=now),
        )

    def _admit(
        self, query: PlacementQuery, choice: Choice, terms: WaitTerms, *, now: float
    ) -> float | None:
        """Return the seconds after which a request should come back; None if it may be sent."""
        if choice.forecast is None or not query.refusable:
            return None
        later = self._admission.admit(
            choice.forecast, terms, service=query.service, urgency=query.urgency, now=now
        )
        if later is None:
            return None
        self._returns.note(query, now=now)
        return later.retry_after_s

    def _grant(self, query: PlacementQuery, choice: Choice, *, now: float) -> None:
        endpoint_id = choice.record.endpoint_id
        parts = query.prompt_parts
        if len(parts) > 1:
            self.cache.record(endpoint_id, parts[-2].part_id, choice.unread_tokens, now=now)
        work = self.loads.begin(
            endpoint_id,
            prefill_tokens=choice.unread_tokens,
            memory_tokens=query.prompt_tokens + query.output_tokens,
            delicate=query.delicate and choice.own_lane,
        )
        grant = _Grant(endpoint_id=endpoint_id, work=work, granted=now)
        self._grants.setdefault(query.asker, {})[query.number] = grant
        self._note_reading(endpoint_id, grant)

    def _note_reading(self, endpoint_id: str, grant: _Grant) -> None:
        """Note beside which streams the prompt of a new request is read."""
        there = self._at_endpoint.setdefault(endpoint_id, [])
        reading = self.loads.sum_up(endpoint_id).prefill_tokens
        for other in there:
            if other.running and reading > other.most_reading:
                other.most_reading = reading
        there.append(grant)

    def _end(self, grants: dict[int, _Grant], number: int) -> None:
        grant = grants.pop(number)
        grant.work.end()
        self._at_endpoint[grant.endpoint_id].remove(grant)

    def _take_work(self, grants: dict[int, _Grant], work: PlacedWork, *, now: float) -> None:
        grant = grants.get(work.number)
        if grant is None and work.shared_part is not None:
            self.cache.record(work.endpoint_id, work.shared_part, work.unread_tokens, now=now)
        if grant is None and work.phase is not WorkPhase.ENDED:
            counted = self.loads.begin(
                work.endpoint_id,
                prefill_tokens=work.unread_tokens,
                memory_tokens=work.memory_tokens,
                delicate=work.delicate,
            )
            grant = _Grant(endpoint_id=work.endpoint_id, work=counted, granted=now)
            grants[work.number] = grant
            self._note_reading(work.endpoint_id, grant)
        if grant is not None and work.phase is not WorkPhase.WAITING:
            grant.work.finish_prefill()

    def _learn_outcome(self, endpoint_id: str, failure_weight: float, *, now: float) -> None:
        if failure_weight > 0.0:
            weight = min(failure_weight, MOST_FAILURE_WEIGHT)
            self.loads.record_failure(endpoint_id, weight=weight, now=now)
        else:
            self.loads.record_success(endpoint_id, now=now)

    def _drop_former(self, asker: Asker) -> None:
        """Drop the work of an earlier process of an instance."""
        former = [
            one
            for one in self._grants
            if one.instance == asker.instance and one.incarnation != asker.incarnation
        ]
        for one in former:
            self._drop(one)

    def _drop(self, asker: Asker) -> int:
        grants = self._grants.pop(asker, {})
        dropped = len(grants)
        for number in list(grants):
            self._end(grants, number)
        return dropped


def _find_memory_limit(query: PlacementQuery, *, learning: bool) -> MemoryLimit:
    if learning:
        return LATE_LIMIT
    return FIRST_LIMIT if query.first else PATIENT_LIMIT


def _make_reply(
    query: PlacementQuery,
    choice: Choice,
    verdict: Verdict,
    *,
    learning: bool,
    retry_after_s: float = 0.0,
) -> PlacementReply:
    expected = choice.forecast
    return PlacementReply(
        number=query.number,
        verdict=verdict,
        endpoint_id=choice.record.endpoint_id,
        unread_tokens=choice.unread_tokens,
        own_lane=choice.own_lane,
        start_ms=expected.start_ms if expected else 0.0,
        waiting_ms=expected.waiting_ms if expected else 0.0,
        reading_ms=expected.reading_ms if expected else 0.0,
        requests_there=choice.load.requests,
        prefill_tokens_there=choice.load.prefill_tokens,
        retry_after_s=retry_after_s,
        learning=learning,
    )
