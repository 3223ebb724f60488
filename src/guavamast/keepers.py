"""The keeper of one endpoint: grants its slots, queues asks and rejects them."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode
from guavamast.estimates import LengthEstimates, StragglerWeight
from guavamast.fleet_objects import EndpointKind, EndpointState
from guavamast.forecasts import PAUSE_DELAY_S, Forecast
from guavamast.free_slots import FreeSlots
from guavamast.grants import Grant, GrantTable
from guavamast.queues import WaitingQueue
from guavamast.slots import Granted, Paused, Probe, Queued, Refused

if TYPE_CHECKING:
    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.queues import Start
    from guavamast.slots import Ask, KeeperEvent, LoadReport, Release

ORPHAN_GRACE_S: Final = 10.0
"""Seconds for which a grant stays valid after the stream of its entry has ended."""
EXPIRY_GRACE_S: Final = 30.0
"""Seconds after its deadline at which a grant without a release expires."""
PAUSE_LEAD_S: Final = 1.5 * PAUSE_DELAY_S
"""Seconds before its target start at which an ask stops waiting for an expected release."""
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 60.0
PAUSE_REASON: Final = "a higher tier would miss its first-token target"


class EndpointKeeper:
    """Manages the slots and the queue of one endpoint.

    Args:
        endpoint: The endpoint as configured.
        configuration: The configuration in force.
        now: Current time in seconds.
        cautious_until: Time until which entries may still present slots that they hold.
        lengths: Output lengths, shared by the keepers of a process; a new object by default.
    """

    __slots__ = (
        "_configuration",
        "_endpoint",
        "_forecast",
        "_free_slots",
        "_grants",
        "_pause_check_at",
        "_queue",
        "_strict_starts",
        "_straggler_weight",
    )

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        configuration: Configuration,
        now: float,
        cautious_until: float = 0.0,
        lengths: LengthEstimates | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._configuration = configuration
        self._forecast = Forecast(
            kind=endpoint.kind, lengths=lengths if lengths is not None else LengthEstimates()
        )
        self._straggler_weight = StragglerWeight(now=now)
        self._grants = GrantTable()
        self._queue = WaitingQueue(configuration=configuration)
        self._free_slots = FreeSlots(grants=self._grants, cautious_until=cautious_until)
        self._strict_starts = 0
        """Slots freed by pausing, which are granted by tier alone."""
        self._pause_check_at: float | None = None

    def ask(self, ask: Ask, *, now: float) -> list[KeeperEvent]:
        """Grant, queue or reject one ask; a repeated ask gets its current state again.

        Args:
            ask: The ask.
            now: Current time in seconds.

        Returns:
            The decision on the ask, after the rejections of asks that it displaced and before
            the pauses that free a slot for it.
        """
        if ask.ask_id in self._queue or ask.ask_id in self._grants:
            return [self._repeat_state(ask, now)]
        self._forecast.record_arrival(self._queue.find_tier(ask), now=now)
        wait_s = self._estimate_wait(ask, now)
        min_run_s = self._forecast.estimate_min_run(ask)
        refusal = self._find_refusal(ask, wait_s, min_run_s, now)
        if refusal is not None:
            return [refusal]
        events = self._make_room(ask, now)
        if events and events[-1].ask is ask:
            return events
        self._enqueue(ask, min_run_s, now)
        events += self._start_waiting(now)
        if ask.ask_id in self._queue:
            events.append(Queued(ask=ask, estimated_wait_s=wait_s))
        return events + self._pause_for_waiting(now)

    def release(self, release: Release, *, now: float) -> list[KeeperEvent]:
        """End a grant and update the estimates from its run; ignore an unknown one."""
        grant = self._grants.remove(release.ask_id)
        if grant is None:
            return self.withdraw(release.ask_id, now=now)
        if release.used:
            self._learn(grant, release, now)
        return self._free_slot(grant, unused=not release.used, now=now)

    def withdraw(self, ask_id: str, *, now: float) -> list[KeeperEvent]:
        """Remove an ask, also one whose grant is on its way to the entry.

        An entry that withdraws does not use a grant that crosses its message, so the slot is free
        at once. A grant that has delivered tokens is in use and waits for its release.
        """
        if self._queue.remove(ask_id) is not None:
            return self._run_queue(now)
        grant = self._grants.get(ask_id)
        if grant is None or grant.tokens > 0:
            return []
        self._grants.remove(ask_id)
        return self._free_slot(grant, unused=True, now=now)

    def present(self, ask: Ask, *, held_s: float, tokens: int, now: float) -> list[KeeperEvent]:
        """Record a slot that an entry already holds, even above the endpoint's slots."""
        self._queue.remove(ask.ask_id)
        known = self._grants.get(ask.ask_id)
        if known is not None:
            known.expires_at = max(ask.deadline, now) + EXPIRY_GRACE_S
        else:
            self._grants.add(self._create_grant(ask, now=now, granted_at=now - held_s))
        self.record_progress(ask.ask_id, tokens, now=now)
        return self._run_queue(now)

    def record_progress(self, ask_id: str, tokens: int, *, now: float) -> None:
        """Record how many tokens a running request has delivered; drop outdated reports."""
        grant = self._grants.get(ask_id)
        if grant is None or tokens < grant.tokens:
            return
        grant.tokens = tokens
        grant.progress_at = now
        self._forecast.refresh(grant, now=now)

    def record_load(self, report: LoadReport, *, now: float) -> list[KeeperEvent]:
        """Record a load report of the endpoint."""
        self._free_slots.record_load(report)
        return self._run_queue(now)

    def drop_entry(self, entry: str, *, now: float) -> list[KeeperEvent]:
        """Remove the asks of an entry whose stream ended and limit the life of its grants."""
        for ask in self._queue.list_asks():
            if ask.entry == entry:
                self._queue.remove(ask.ask_id)
        self._grants.orphan(entry, expires_at=now + ORPHAN_GRACE_S)
        return self._run_queue(now)

    def configure(
        self, *, endpoint: Endpoint, configuration: Configuration, now: float
    ) -> list[KeeperEvent]:
        """Apply a new configuration; a leaving endpoint rejects all waiting asks."""
        self._endpoint = endpoint
        self._configuration = configuration
        self._queue.configure(configuration)
        if endpoint.state is not EndpointState.LEAVING:
            return self._run_queue(now)
        asks = self._queue.list_asks()
        for ask in asks:
            self._queue.remove(ask.ask_id)
        return [Refused(ask=ask, code=ErrorCode.LEAVING, retry_after_s=0.0) for ask in asks]

    def tick(self, *, now: float) -> list[KeeperEvent]:
        """Process what is due: deadlines, expiries, pauses, the end of the cautious start."""
        for grant in self._grants.remove_expired(now):
            self._settle(grant, unused=False)
        return self._run_queue(now)

    def next_wakeup(self) -> float | None:
        """Return the time at which `tick` has something to do; None when nothing is due."""
        times = [self._grants.find_expiry()]
        if len(self._queue):
            times += [self._queue.find_latest_start(), self._queue.find_first_target()]
            times.append(self._pause_check_at)
            times += self._free_slots.list_checks()
        due = min(time for time in times if time is not None)
        return due if due != float("inf") else None

    def build_probe(self, *, now: float) -> Probe:
        """Return the state of this endpoint that the choice among candidates needs."""
        free = self._count_free(now)
        wait_s = max(0, len(self._queue) + 1 - free) / self._estimate_rate(now)
        return Probe(
            endpoint=self._endpoint.name,
            in_flight=len(self._grants),
            queued=len(self._queue),
            estimated_wait_s=wait_s,
            lowest_tier=max(self._grants.find_lowest_tier(), self._queue.find_lowest_tier()),
            weight=self._straggler_weight.get(now=now),
            slots=self._endpoint.slots,
        )

    def _repeat_state(self, ask: Ask, now: float) -> KeeperEvent:
        grant = self._grants.get(ask.ask_id)
        if grant is None:
            waiting = self._queue.get(ask.ask_id)
            return Queued(ask=waiting.ask, estimated_wait_s=self._estimate_wait(ask, now))
        # Without this, a grant that was lost with the entry's stream and asked for again would
        # expire while it runs, at the end of the grace period of the lost stream. An entry that
        # asks is connected, so its grant gets the usual expiry again.
        grant.expires_at = max(ask.deadline, now) + EXPIRY_GRACE_S
        if grant.paused:
            return Paused(ask=grant.ask, reason=PAUSE_REASON)
        return Granted(ask=grant.ask)

    def _find_refusal(
        self, ask: Ask, wait_s: float, min_run_s: float, now: float
    ) -> Refused | None:
        if self._endpoint.state is EndpointState.LEAVING:
            return Refused(ask=ask, code=ErrorCode.LEAVING, retry_after_s=0.0)
        if ask.deadline <= now:
            return self._build_refusal(ask, ErrorCode.DEADLINE_EXCEEDED, wait_s)
        trusted_wait_s = wait_s if self._forecast.has_enough_samples() else 0.0
        shortfall_s = now + trusted_wait_s + min_run_s - ask.deadline
        if shortfall_s <= 0.0 or self._is_idle():
            return None
        return self._build_refusal(ask, ErrorCode.DEADLINE_UNREACHABLE, shortfall_s)

    def _is_idle(self) -> bool:
        # An idle endpoint accepts any ask. Otherwise, estimates that are too long would reject all
        # asks, and no release would ever correct them.
        return not len(self._grants) and not len(self._queue)

    def _make_room(self, ask: Ask, now: float) -> list[KeeperEvent]:
        if not len(self._queue) and self._count_free(now) > 0:
            return []
        overflow = self._queue.select_overflow(ask)
        if overflow is None:
            return []
        self._queue.remove(overflow.ask.ask_id)
        retry_after_s = 0.5 * len(self._queue) / self._estimate_rate(now)
        return [self._build_refusal(overflow.ask, overflow.code, retry_after_s)]

    def _enqueue(self, ask: Ask, min_run_s: float, now: float) -> None:
        service_class = self._configuration.classes.get(ask.class_name)
        target_start = ask.deadline
        if service_class is not None:
            first_token_s = self._forecast.estimate_first_token(ask)
            target_start = now + service_class.first_token_ms / 1000.0 - first_token_s
        self._queue.add(
            ask,
            cost=self._forecast.estimate_cost(ask),
            latest_start=ask.deadline if self._is_idle() else ask.deadline - min_run_s,
            target_start=target_start,
            now=now,
        )

    def _free_slot(self, grant: Grant, *, unused: bool, now: float) -> list[KeeperEvent]:
        self._settle(grant, unused=unused)
        self._free_slots.record_release(grant)
        self._forecast.record_slots(full=False, released=not (unused or grant.paused), now=now)
        return self._run_queue(now)

    def _settle(self, grant: Grant, *, unused: bool) -> None:
        self._strict_starts += grant.paused
        if grant.start is None:
            return
        cost = 0.0 if unused else self._forecast.measure_cost(grant)
        self._queue.finish(grant.start, cost=cost)

    def _run_queue(self, now: float) -> list[KeeperEvent]:
        return self._start_waiting(now) + self._pause_for_waiting(now)

    def _start_waiting(self, now: float) -> list[KeeperEvent]:
        self._free_slots.end_caution(now=now)
        events: list[KeeperEvent] = [
            self._build_refusal(waiting.ask, ErrorCode.DEADLINE_UNREACHABLE, 0.0)
            for waiting in self._queue.remove_late(now)
        ]
        while len(self._queue) and self._count_free(now) > 0:
            strict = self._strict_starts > 0
            start = self._queue.pop_next(
                rate=self._estimate_rate(now), slots=self._endpoint.slots, now=now, strict=strict
            )
            self._strict_starts -= strict
            events.append(self._grant(start, now))
        events += self._reject_late(now)
        if not len(self._queue):
            self._strict_starts = 0
        self._free_slots.update(self._endpoint.slots, now=now)
        self._forecast.record_slots(full=self._is_full(), now=now)
        return events

    def _reject_late(self, now: float) -> list[KeeperEvent]:
        """Reject asks that have missed their target and won't meet their deadline either."""
        events: list[KeeperEvent] = []
        for waiting in self._queue.demote_late(now):
            ask = waiting.ask
            can_pause = self._grants.count_pausable(self._queue.find_tier(ask)) > 0
            if can_pause or not self._forecast.has_enough_samples():
                continue
            wait_s = self._forecast.estimate_late_wait(
                ask, queue=self._queue, slots=self._endpoint.slots, now=now
            )
            if now + wait_s > waiting.latest_start:
                self._queue.remove(ask.ask_id)
                shortfall_s = now + wait_s - waiting.latest_start
                events.append(self._build_refusal(ask, ErrorCode.DEADLINE_UNREACHABLE, shortfall_s))
        return events

    def _grant(self, start: Start, now: float) -> Granted:
        ask = start.waiting.ask
        grant = self._create_grant(ask, now=now, granted_at=now, start=start)
        self._grants.add(grant)
        self._free_slots.record_grant(grant, slots=self._endpoint.slots)
        self._forecast.record_start(start.tier, now=now)
        return Granted(ask=ask)

    def _create_grant(
        self, ask: Ask, *, now: float, granted_at: float, start: Start | None = None
    ) -> Grant:
        grant = Grant(
            ask=ask,
            tier=start.tier if start is not None else self._queue.find_tier(ask),
            granted_at=granted_at,
            expires_at=max(ask.deadline, now) + EXPIRY_GRACE_S,
            expected_end=now,
            progress_at=now,
            start=start,
        )
        self._forecast.refresh(grant, now=now)
        return grant

    def _pause_for_waiting(self, now: float) -> list[KeeperEvent]:
        self._pause_check_at = None
        if self._endpoint.kind is not EndpointKind.ENGINE or self._free_slots.cautious:
            return []
        events: list[KeeperEvent] = []
        needed = max(0, len(self._grants) - self._endpoint.slots) if self._is_full() else 0
        ends: list[float] | None = None
        lowest = self._grants.find_pausable_tier()
        for tier, target in self._queue.iterate_targets(self._endpoint.slots):
            if tier >= lowest:
                break
            needed += 1
            if ends is None:
                ends = self._forecast.list_expected_ends(self._grants, now=now)
            decide_at = target - PAUSE_LEAD_S
            if bisect_right(ends, decide_at) >= needed:
                if decide_at > now:
                    self._pause_check_at = min(decide_at, self._pause_check_at or decide_at)
                continue
            victim = self._grants.select_victim(tier, now=now)
            victim.paused = True
            ends = self._forecast.list_expected_ends(self._grants, now=now)
            lowest = self._grants.find_pausable_tier()
            events.append(Paused(ask=victim.ask, reason=PAUSE_REASON))
        return events

    def _learn(self, grant: Grant, release: Release, now: float) -> None:
        grant.tokens = max(grant.tokens, release.tokens)
        self._straggler_weight.observe(grant.ask, release, now=now)
        if not release.failed and not grant.paused:
            self._forecast.learn(grant.ask, release)

    def _is_full(self) -> bool:
        return self._free_slots.is_full(self._endpoint.slots)

    def _count_free(self, now: float) -> int:
        return self._free_slots.count(self._endpoint.slots, now=now)

    def _estimate_rate(self, now: float) -> float:
        return self._forecast.estimate_rate(slots=self._endpoint.slots, now=now)

    def _estimate_wait(self, ask: Ask, now: float) -> float:
        """Return the seconds until a new ask would start, bounded if it may pause a lower tier."""
        queued_ahead = self._queue.count_ahead(ask) + self._queue.count_others(ask)
        ahead = queued_ahead + 1 - max(0, self._count_free(now))
        if ahead <= 0:
            return 0.0
        wait_s = self._forecast.estimate_wait(
            ask, queue=self._queue, ahead=ahead, slots=self._endpoint.slots, now=now
        )
        service_class = self._configuration.classes.get(ask.class_name)
        tier = self._queue.find_tier(ask)
        if service_class is not None and ahead <= self._grants.count_pausable(tier):
            wait_s = min(wait_s, service_class.first_token_ms / 1000.0 + PAUSE_DELAY_S)
        return wait_s

    def _build_refusal(self, ask: Ask, code: ErrorCode, retry_after_s: float) -> Refused:
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        return Refused(ask=ask, code=code, retry_after_s=bounded)
