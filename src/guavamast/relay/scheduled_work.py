"""The requests that a scheduler counts at endpoints, as instances tell how they go on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.scheduling_messages import WorkPhase

if TYPE_CHECKING:
    from guavamast.relay.endpoint_choice import Choice
    from guavamast.relay.endpoint_load import Work
    from guavamast.relay.scheduling_messages import (
        Asker,
        PlacedWork,
        PlacementQuery,
        WorkReport,
        WorkUpdate,
    )

LEASE_S: Final = 3.5
"""Seconds without a word after which the work of an instance is dropped: several reports."""
UNCONFIRMED_S: Final = 1.5
"""Seconds for which work that a report does not name is kept: the grant and the report may have
crossed."""
MOST_FAILURE_WEIGHT: Final = 1.0
"""Failures that one report counts for at most: an instance that is cut off finds all endpoints
failing."""


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


class ScheduledWork:
    """The requests at the endpoints of one group, by the process that has each.

    It is soft: work of an instance that falls silent or does not confirm it is dropped, and what
    runs already is learnt from the reports of all.
    """

    __slots__ = ("_at_endpoint", "_grants", "_heard", "cache", "loads")

    def __init__(self) -> None:
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self._grants: dict[Asker, dict[int, _Grant]] = {}
        self._at_endpoint: dict[str, list[_Grant]] = {}
        self._heard: dict[Asker, float] = {}

    def hear(self, asker: Asker, *, now: float) -> None:
        """Note that a process lives."""
        self._heard[asker] = now

    def is_idle(self, *, now: float) -> bool:
        """Return whether nobody has been heard for long."""
        return all(now - heard > LEASE_S for heard in self._heard.values())

    def count(self) -> int:
        """Return the requests that are counted at endpoints."""
        return sum(len(grants) for grants in self._grants.values())

    def grant(self, query: PlacementQuery, choice: Choice, *, now: float) -> None:
        """Count a request at the endpoint that was chosen for it.

        Args:
            query: The request.
            choice: Its endpoint.
            now: The present time.
        """
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
