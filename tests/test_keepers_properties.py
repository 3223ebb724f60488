"""Properties of a keeper over generated histories of asks, releases, losses and changes."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from guavamast._round_robin import QUANTUM
from guavamast.errors import ErrorCode
from guavamast.fleet_objects import (
    Configuration,
    Endpoint,
    EndpointKind,
    EndpointState,
    ServiceClass,
)
from guavamast.keepers import EndpointKeeper
from guavamast.queues import MAX_CREDIT, MAX_WORK
from guavamast.slots import Ask, Granted, KeeperEvent, LoadReport, Paused, Queued, Refused, Release

SHARES: Final = {"drafting": 0.0, "tagging": 0.2, "summaries": 0.3}
LIMITS: Final = {"drafting": 4, "tagging": 4, "summaries": 4}
TIERS: Final = {"drafting": 1, "tagging": 2, "summaries": 3}
TARGETS_MS: Final = {"drafting": 430.0, "tagging": 2_000.0, "summaries": 20_000.0}
ENTRIES: Final = ("a", "b")
ORGANISATIONS: Final = ("florist", "plumber", "baker")
MAX_PASSED_OVER: Final = {
    name: (MAX_CREDIT + MAX_WORK) / share + 2 for name, share in SHARES.items() if share
}
"""Non-strict starts within which a waiting class gets one: from the credit after its longest run to
the maximum credit, plus one for each class with a share."""

DEFICIT_LIMIT: Final = 6 * 4_100.0
"""Tokens: the most expensive start, plus as much for correcting each of five running asks."""

CONFIGURATION: Final = Configuration(
    version=1,
    classes={
        name: ServiceClass(
            name=name,
            tier=TIERS[name],
            first_token_ms=TARGETS_MS[name],
            token_interval_ms=26.0,
            completion_s=60.0,
            guaranteed_share=SHARES[name],
            queue_limit=LIMITS[name],
        )
        for name in TIERS
    },
)


class State(Enum):
    """The state of an ask by the keeper's events."""

    NEW = "new"
    QUEUED = "queued"
    GRANTED = "granted"
    PAUSED = "paused"
    ENDED = "ended"


@dataclass(slots=True, kw_only=True)
class TrackedAsk:
    """An ask with its state as seen by its entry."""

    ask: Ask
    state: State = State.NEW
    presented: bool = False
    by_share: bool = False
    tokens: int = 0
    progress_at: float = 0.0
    granted_at: float = 0.0
    expires_at: float = float("inf")


class KeeperMachine(RuleBasedStateMachine):
    """Simulates entries and an endpoint for one keeper and checks each of its events."""

    @initialize(slots=st.integers(1, 4), cautious_s=st.sampled_from([0.0, 0.0, 0.0, 3.0]))
    def start(self, slots: int, cautious_s: float) -> None:
        self.now = 100.0
        self.cautious_until = self.now + cautious_s
        self.endpoint = Endpoint(
            name="e", kind=EndpointKind.ENGINE, url="", failure_domain="d", slots=slots
        )
        self.keeper = EndpointKeeper(
            endpoint=self.endpoint,
            configuration=CONFIGURATION,
            now=self.now,
            cautious_until=self.cautious_until,
        )
        self.tracked: dict[str, TrackedAsk] = {}
        self.report: LoadReport | None = None
        self.freed_since_report = 0
        """Presented slots released since the last report."""
        self.passed_over = dict.fromkeys(SHARES, 0)
        """Non-strict starts of others while the class waited, since its own last start."""
        self.shares_earned = dict.fromkeys(SHARES, 0.0)
        self.shares_used = dict.fromkeys(SHARES, 0)
        self.paused_slots = 0
        """Slots freed by pausing that no start has used yet."""

    def list_asks(self, *states: State) -> list[TrackedAsk]:
        """Return the asks in these states."""
        return [tracked for tracked in self.tracked.values() if tracked.state in states]

    def list_waiting(self, name: str) -> list[TrackedAsk]:
        """Return the waiting asks of a class."""
        return [
            tracked for tracked in self.list_asks(State.QUEUED) if tracked.ask.class_name == name
        ]

    def pick(self, index: int, *states: State) -> TrackedAsk:
        """Return one of the asks in these states."""
        found = self.list_asks(*states)
        return found[index % len(found)]

    def count_reported_free(self) -> int:
        """Return the slots free by the last report during a cautious start."""
        if self.report is None or self.now >= self.report.as_of + 5.0:
            return 0
        held = self.list_asks(State.GRANTED, State.PAUSED)
        recent = sum(tracked.granted_at > self.report.as_of for tracked in held)
        return self.endpoint.slots - self.report.running - recent + self.freed_since_report

    # Checks of events

    def handle(self, events: list[KeeperEvent], new: TrackedAsk | None = None) -> None:
        """Check the events in order and update the states of their asks."""
        for event in events:
            tracked = self.tracked[event.ask.ask_id]
            if isinstance(event, Granted):
                self.check_start(tracked)
            elif isinstance(event, Queued):
                assert tracked.state in (State.NEW, State.QUEUED)
                tracked.state = State.QUEUED
            elif isinstance(event, Refused):
                self.check_refusal(tracked, event, new)
            elif isinstance(event, Paused):
                self.check_pause(tracked)
            if isinstance(event, Refused) and event.code is ErrorCode.QUEUE_FULL:
                assert tracked is new
        if not self.list_asks(State.QUEUED):
            self.paused_slots = 0

    def check_start(self, tracked: TrackedAsk) -> None:
        assert tracked.state in (State.NEW, State.QUEUED)
        assert self.endpoint.state is EndpointState.ACTIVE
        if self.now < self.cautious_until:
            assert self.count_reported_free() > 0, "granted above the report"
        tracked.state = State.GRANTED
        tracked.granted_at = self.now
        tracked.expires_at = tracked.ask.deadline + 30.0
        tracked.progress_at = self.now
        held = self.list_asks(State.GRANTED, State.PAUSED)
        assert len(held) <= self.endpoint.slots, "granted above the slots"
        name = tracked.ask.class_name
        higher = [
            other for other in self.list_asks(State.QUEUED) if other.ask.tier < tracked.ask.tier
        ]
        tracked.by_share = bool(higher)
        self.shares_used[name] += tracked.by_share
        assert (
            self.shares_used[name] <= self.shares_earned[name] + 1e-6
        ), "started by share beyond the credit earned"
        self.passed_over[name] = 0
        strict = self.paused_slots > 0
        self.paused_slots -= strict
        assert not (strict and tracked.by_share), "a slot freed by a pause went to a lower tier"
        for other, share in SHARES.items():
            waits = self.list_waiting(other)
            if other != name and waits:
                self.shares_earned[other] += share
                self.passed_over[other] += not strict and not self.holds_share(other)
                limit = MAX_PASSED_OVER.get(other, float("inf"))
                assert self.passed_over[other] <= limit, f"{other} starves"

    def holds_share(self, name: str) -> bool:
        """Return whether starts by share hold as many slots as the class may hold by its share."""
        held = [tracked for tracked in self.list_asks(State.GRANTED) if tracked.by_share]
        count = sum(tracked.ask.class_name == name for tracked in held)
        return count >= max(1.0, SHARES[name] * self.endpoint.slots)

    def check_refusal(self, tracked: TrackedAsk, event: Refused, new: TrackedAsk | None) -> None:
        assert tracked.state in (State.NEW, State.QUEUED), "ended twice or while running"
        assert event.retry_after_s >= 0.0
        tracked.state = State.ENDED
        if event.code is ErrorCode.SHED:
            self.check_shed(tracked, new)
        if event.code is ErrorCode.QUEUE_FULL:
            at_limit = (
                len(self.list_waiting(tracked.ask.class_name)) >= LIMITS[tracked.ask.class_name]
            )
            assert (
                at_limit or self.count_unreserved_below(tracked.ask.tier) == 0
            ), "an ask of a lower tier was kept"

    def check_shed(self, tracked: TrackedAsk, new: TrackedAsk | None) -> None:
        assert new is not None, "shed without a new ask"
        if tracked.ask.class_name == new.ask.class_name:
            same_organisation = self.count_same_organisation(new)
            most = max(
                [self.count_same_organisation(w) for w in self.list_waiting(new.ask.class_name)],
                default=0,
            )
            assert self.count_same_organisation(tracked) + 1 >= max(
                same_organisation + 2, most
            ), "shed from one with few waiting"
        else:
            assert new.ask.tier < tracked.ask.tier, "shed for an equal or lower tier"
            assert (
                self.count_unreserved_below(tracked.ask.tier) == 0
            ), "a lower tier could have been shed"

    def count_same_organisation(self, tracked: TrackedAsk) -> int:
        """Return how many asks of the same class and organisation wait."""
        waiting = self.list_waiting(tracked.ask.class_name)
        return sum(other.ask.organisation == tracked.ask.organisation for other in waiting)

    def count_unreserved_below(self, tier: int) -> int:
        """Return how many asks of lower tiers hold places that are not reserved."""
        exposed = 0
        for name, other_tier in TIERS.items():
            if other_tier > tier:
                reserved = -int(-SHARES[name] * LIMITS[name] // 1)
                exposed += max(0, len(self.list_waiting(name)) - reserved)
        return exposed

    def check_pause(self, tracked: TrackedAsk) -> None:
        assert tracked.state is State.GRANTED
        assert not tracked.by_share, "a start by share was paused"
        waiting = self.list_asks(State.QUEUED, State.NEW)
        assert any(
            w.ask.tier < tracked.ask.tier for w in waiting
        ), "paused without a higher tier waiting"
        for other in self.list_asks(State.GRANTED):
            if not other.by_share:
                assert other.ask.tier <= tracked.ask.tier, "a lower tier keeps running"
                same = other.ask.tier == tracked.ask.tier
                assert not same or self.measure_work(other) >= self.measure_work(tracked) - 1e-6
        tracked.state = State.PAUSED

    def measure_work(self, tracked: TrackedAsk) -> float:
        """Return the tokens that a pause may lose, at 50 a second since the last report."""
        return tracked.tokens + 50.0 * (self.now - tracked.progress_at)

    # Rules

    def make_ask(self, name: str, entry: str, allowed_s: float, max_tokens: int = 100) -> Ask:
        """Return a new ask; its organisation depends on its number."""
        number = len(self.tracked)
        return Ask(
            ask_id=f"r{number}",
            entry=entry,
            endpoint="e",
            organisation=ORGANISATIONS[number * number % 7 % 5 // 2],
            class_name=name,
            tier=TIERS[name],
            kind="chat",
            model="m",
            prompt_tokens=50,
            max_tokens=max_tokens,
            deadline=self.now + allowed_s,
        )

    def send(self, ask: Ask) -> None:
        """Send an ask and check that the keeper decides on it."""
        tracked = self.tracked[ask.ask_id] = TrackedAsk(ask=ask)
        self.handle(self.keeper.ask(ask, now=self.now), tracked)
        assert tracked.state is not State.NEW, "no decision on an ask"

    @rule(
        name=st.sampled_from(sorted(TIERS)),
        entry=st.sampled_from(ENTRIES),
        allowed_s=st.sampled_from([0.3, 30.0, 3000.0, 3000.0]),
        max_tokens=st.sampled_from([1, 100, 4000]),
        times=st.integers(1, 6),
    )
    def send_asks(
        self, name: str, entry: str, allowed_s: float, max_tokens: int, times: int
    ) -> None:
        for _ in range(times):
            self.send(self.make_ask(name, entry, allowed_s, max_tokens))

    @rule(names=st.lists(st.sampled_from(sorted(TIERS)), min_size=6, max_size=16))
    def fill_queue(self, names: list[str]) -> None:
        for name in names:
            self.send(self.make_ask(name, "b", 3000.0))

    @rule(
        names=st.lists(st.sampled_from([*TIERS, "drafting", "drafting"]), min_size=1, max_size=6),
        allowed_s=st.sampled_from([5.0, 3000.0]),
        interval_s=st.sampled_from([0.0, 0.05, 2.0]),
        times=st.integers(1, 40),
    )
    def overload(self, names: list[str], allowed_s: float, interval_s: float, times: int) -> None:
        """Finish one request for each new one, so that a backlog persists."""
        for number in range(times):
            self.send(self.make_ask(names[number % len(names)], "a", allowed_s))
            self.pass_time(interval_s)
            if self.list_asks(State.PAUSED, State.GRANTED):
                self.finish(self.pick(0, State.PAUSED, State.GRANTED), tokens=50)

    @precondition(lambda self: self.list_asks(State.QUEUED, State.GRANTED, State.PAUSED))
    @rule(index=st.integers(0, 50))
    def repeat_ask(self, index: int) -> None:
        tracked = self.pick(index, State.QUEUED, State.GRANTED, State.PAUSED)
        (event,) = self.keeper.ask(tracked.ask, now=self.now)
        expected = {State.QUEUED: Queued, State.GRANTED: Granted, State.PAUSED: Paused}
        assert isinstance(event, expected[tracked.state])
        if tracked.state is not State.QUEUED:
            tracked.expires_at = max(tracked.ask.deadline, self.now) + 30.0

    @precondition(lambda self: self.list_asks(State.GRANTED, State.PAUSED))
    @rule(
        index=st.integers(0, 50),
        used=st.booleans(),
        failed=st.booleans(),
        tokens=st.integers(0, 3000),
        times=st.integers(1, 12),
    )
    def release(self, index: int, used: bool, failed: bool, tokens: int, times: int) -> None:
        for _ in range(times):
            if self.list_asks(State.GRANTED, State.PAUSED):
                tracked = self.pick(index, State.GRANTED, State.PAUSED)
                self.finish(tracked, used=used, failed=failed, tokens=tokens)

    def finish(
        self, tracked: TrackedAsk, *, used: bool = True, failed: bool = False, tokens: int = 0
    ) -> None:
        """Release a slot twice; the second release must change nothing."""
        self.end_ask(tracked)
        self.freed_since_report += tracked.presented
        if not used and tracked.by_share:
            self.shares_earned[tracked.ask.class_name] += 1.0
        release = Release(
            ask_id=tracked.ask.ask_id,
            endpoint="e",
            used=used,
            failed=failed,
            tokens=tokens,
            first_token_s=0.2,
            duration_s=0.2 + 0.02 * tokens,
        )
        self.handle(self.keeper.release(release, now=self.now))
        assert self.keeper.release(release, now=self.now) == []

    def end_ask(self, tracked: TrackedAsk) -> None:
        """Record that a slot is freed."""
        self.paused_slots += tracked.state is State.PAUSED
        tracked.state = State.ENDED

    @precondition(lambda self: self.list_asks(State.QUEUED))
    @rule(index=st.integers(0, 50))
    def withdraw_waiting(self, index: int) -> None:
        tracked = self.pick(index, State.QUEUED)
        tracked.state = State.ENDED
        self.handle(self.keeper.withdraw(tracked.ask.ask_id, now=self.now))
        assert self.keeper.withdraw(tracked.ask.ask_id, now=self.now) == []

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0, 20.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for tracked in self.list_asks(State.GRANTED, State.PAUSED):
            if tracked.expires_at <= self.now:
                self.end_ask(tracked)
        self.handle(self.keeper.tick(now=self.now))
        for tracked in self.list_asks(State.QUEUED):
            assert tracked.ask.deadline > self.now, "held past its deadline"

    @precondition(lambda self: self.list_asks(State.GRANTED))
    @rule(index=st.integers(0, 50), tokens=st.integers(1, 200))
    def progress(self, index: int, tokens: int) -> None:
        tracked = self.pick(index, State.GRANTED)
        tracked.tokens += tokens
        tracked.progress_at = self.now
        self.keeper.record_progress(tracked.ask.ask_id, tracked.tokens, now=self.now)

    @rule(
        running=st.integers(0, 5),
        lag_s=st.sampled_from([0.0, 1.0, 10.0]),
        kv_free=st.sampled_from([0.0, 0.3, 1.0]),
    )
    def report_load(self, running: int, lag_s: float, kv_free: float) -> None:
        report = LoadReport(endpoint="e", as_of=self.now - lag_s, running=running, kv_free=kv_free)
        if self.report is None or report.as_of >= self.report.as_of:
            self.report = report
            self.freed_since_report = 0
        self.handle(self.keeper.record_load(report, now=self.now))

    @rule(entry=st.sampled_from(ENTRIES), reconnects=st.booleans())
    def lose_entry_of(self, entry: str, reconnects: bool) -> None:
        self.lose_entry(entry, reconnects)

    def lose_entry(self, entry: str, reconnects: bool) -> None:
        """End an entry's stream; the entry may reconnect and present its slots again."""
        for tracked in self.list_asks(State.QUEUED):
            if tracked.ask.entry == entry:
                tracked.state = State.ENDED
        self.handle(self.keeper.drop_entry(entry, now=self.now))
        for tracked in self.list_asks(State.GRANTED, State.PAUSED):
            if tracked.ask.entry == entry:
                tracked.expires_at = min(tracked.expires_at, self.now + 10.0)
                if reconnects:
                    self.present_again(tracked)

    @precondition(lambda self: self.list_asks(State.GRANTED))
    @rule(index=st.integers(0, 50), seconds=st.sampled_from([0.5, 20.0]))
    def lose_grant(self, index: int, seconds: float) -> None:
        """End a stream while a grant is in transit; the entry reconnects and asks again."""
        tracked = self.pick(index, State.GRANTED)
        self.lose_entry(tracked.ask.entry, False)
        (event,) = self.keeper.ask(tracked.ask, now=self.now)
        assert isinstance(event, Granted if tracked.state is State.GRANTED else Paused)
        tracked.expires_at = max(tracked.ask.deadline, self.now) + 30.0
        self.pass_time(seconds)

    def present_again(self, tracked: TrackedAsk) -> None:
        """Present a slot again."""
        events = self.keeper.present(tracked.ask, held_s=1.0, tokens=tracked.tokens, now=self.now)
        tracked.expires_at = max(tracked.ask.deadline, self.now) + 30.0
        tracked.progress_at = self.now
        self.handle(events)

    @rule(name=st.sampled_from(sorted(TIERS)), held_s=st.sampled_from([0.0, 5.0]))
    def present_unknown(self, name: str, held_s: float) -> None:
        ask = self.make_ask(name, "a", 30.0)
        tracked = self.tracked[ask.ask_id] = TrackedAsk(
            ask=ask, state=State.GRANTED, presented=True
        )
        tracked.expires_at = ask.deadline + 30.0
        tracked.progress_at = self.now
        tracked.granted_at = self.now - held_s
        self.handle(self.keeper.present(ask, held_s=held_s, tokens=0, now=self.now))

    @rule(slots=st.integers(1, 4))
    def change_slots(self, slots: int) -> None:
        self.configure(replace(self.endpoint, slots=slots))

    @rule(seconds=st.sampled_from([0.0, 20.0]), name=st.sampled_from(sorted(TIERS)))
    def leave_and_return(self, seconds: float, name: str) -> None:
        active = self.endpoint
        self.configure(replace(active, state=EndpointState.LEAVING))
        assert not self.list_asks(State.QUEUED)
        self.send(self.make_ask(name, "a", 30.0))
        assert not self.list_asks(State.QUEUED)
        self.pass_time(seconds)
        self.configure(active)

    def configure(self, endpoint: Endpoint) -> None:
        """Change the endpoint."""
        self.endpoint = endpoint
        events = self.keeper.configure(endpoint=endpoint, configuration=CONFIGURATION, now=self.now)
        self.handle(events)

    # Invariants

    @invariant()
    def slots_do_not_leak(self) -> None:
        probe = self.keeper.build_probe(now=self.now)
        assert probe.in_flight == len(self.list_asks(State.GRANTED, State.PAUSED))
        assert probe.queued == len(self.list_asks(State.QUEUED))

    @invariant()
    def slots_are_not_idle(self) -> None:
        closed = self.now < self.cautious_until or self.report is not None
        held = len(self.list_asks(State.GRANTED, State.PAUSED))
        assert closed or held >= self.endpoint.slots or not self.list_asks(State.QUEUED)

    @invariant()
    def deficits_are_bounded(self) -> None:
        for queue in self.keeper._queue.list_classes():  # noqa: SLF001
            assert -MAX_WORK <= queue.credit <= MAX_CREDIT
            for deficit in queue.round_robin.list_deficits():
                assert -DEFICIT_LIMIT <= deficit <= QUANTUM

    @invariant()
    def wakes_for_deadlines(self) -> None:
        for tracked in self.list_asks(State.QUEUED):
            assert self.keeper.next_wakeup() <= tracked.ask.deadline

    @invariant()
    def queues_are_bounded(self) -> None:
        for name, limit in LIMITS.items():
            assert len(self.list_waiting(name)) <= limit

    def teardown(self) -> None:
        """Let all deadlines and expiries pass; every ask and every slot must have ended."""
        if not hasattr(self, "keeper"):
            return
        for _ in range(5000):
            due = self.keeper.next_wakeup()
            if due is None:
                break
            assert due >= self.now, "tick left a due wake-up unprocessed"
            self.now = due
            for tracked in self.list_asks(State.GRANTED, State.PAUSED):
                if tracked.expires_at <= self.now:
                    self.end_ask(tracked)
            self.handle(self.keeper.tick(now=self.now))
        assert not self.list_asks(State.NEW, State.QUEUED, State.GRANTED, State.PAUSED)
        assert self.keeper.build_probe(now=self.now).in_flight == 0


KeeperTest = KeeperMachine.TestCase

if __name__ == "__main__":
    unittest.main()
