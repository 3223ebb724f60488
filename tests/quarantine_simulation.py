"""A fleet of quarantine ledgers that report to each other over a network that loses datagrams."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from guavamast.relay.peers import FULL_MESH_INSTANCES
from guavamast.relay.quarantine import (
    EndpointEnd,
    EndpointIncarnation,
    LostAttribute,
    QuarantineLedger,
    Verdict,
    decode_quarantine_report,
    encode_quarantine_report,
)
from guavamast.relay.quarantine.upkeep import COMPLETE_ROUNDS, ROUND_INTERVAL_S, SENDERS_RANK

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

WINDOW_S = 3.0
"""Seconds in which the fleet must know of the last allowed end."""
CULPRIT = "culprit"
RUN_S = 0.1
"""Seconds from the begin of the culprit's run to the end of its engine."""
RESTART_S = 3.0
"""Seconds from the end of an engine until its successor runs."""
DOMAINS = 7
AGGREGATORS = 2
"""Instances of each domain that forward reports in a large fleet."""


@dataclass(slots=True, kw_only=True)
class Engine:
    """One engine: its incarnation, and who runs what there."""

    number: int
    incarnation: int = 0
    up: bool = True
    running: list[tuple[int, str]] = field(default_factory=list)
    """Instance and attribute of each request."""


class FleetSimulation:
    """Instances, engines and messages on one clock.

    Args:
        instances: Number of instances.
        engines: Number of engines.
        loss: Share of datagrams that are lost.
        max_delay_s: Longest transit of a datagram, and longest delay until an end is noticed.
        random: Source of all randomness.
    """

    def __init__(
        self, *, instances: int, engines: int, loss: float, max_delay_s: float, random: Random
    ) -> None:
        self.now = 0.0
        self.random = random
        self.engines = [Engine(number=number) for number in range(engines)]
        self.culprit_sends: list[float] = []
        self.culprit_ends: list[float] = []
        self.refusals: dict[str, list[float]] = {}
        """Times at which each attribute was refused."""
        self.answers: dict[str, int] = {}
        self.datagrams = 0
        self.bytes_sent = 0
        self._loss = loss
        self._max_delay_s = max_delay_s
        self._offsets = [random.uniform(0.0, 1000.0) for _ in range(instances)]
        self.ledgers = [self._build_ledger(number) for number in range(instances)]
        self._trials_left: dict[str, int] = {}
        """Trials that the store still grants, by attribute."""
        self._numbers = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        for number in range(instances):
            self.schedule(random.uniform(0.0, ROUND_INTERVAL_S), lambda n=number: self._round(n, 0))

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._numbers), action))

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def request(self, attribute: str, *, run_s: float, repeats: int = 0) -> None:
        """Send a request to a random instance.

        Args:
            attribute: The attribute.
            run_s: Seconds that an engine takes to answer it; the culprit ends its engine instead.
            repeats: Further engines it may go to when it is lost.
        """
        instance = self.random.randrange(len(self.ledgers))
        ledger = self.ledgers[instance]
        verdict = ledger.assess(attribute, now=self._local(instance))
        if verdict is Verdict.TRIAL_DUE and not self._claim_trial(instance, attribute):
            verdict = Verdict.QUARANTINED
        if verdict is Verdict.QUARANTINED:
            self.refusals.setdefault(attribute, []).append(self.now)
            return
        self._send(instance, attribute, run_s=run_s, repeats=repeats)

    def end_engines(self, engines: list[Engine]) -> None:
        """End engines at once, as in a power outage."""
        for engine in engines:
            self._end(engine)

    def restart(self, instance: int) -> None:
        """Replace an instance by one that knows nothing."""
        self.ledgers[instance] = self._build_ledger(instance)

    def count_held(self, attribute: str) -> int:
        """Return the number of instances that keep an attribute in quarantine."""
        return sum(ledger.find(attribute) is not None for ledger in self.ledgers)

    def _build_ledger(self, instance: int) -> QuarantineLedger:
        return QuarantineLedger(domain=f"d{instance % DOMAINS}", window_s=WINDOW_S)

    def _local(self, instance: int) -> float:
        return self.now + self._offsets[instance]

    def _send(self, instance: int, attribute: str, *, run_s: float, repeats: int) -> None:
        up = [engine for engine in self.engines if engine.up]
        if not up:
            return
        engine = self.random.choice(up)
        entry = (instance, attribute)
        engine.running.append(entry)
        incarnation = engine.incarnation
        if attribute == CULPRIT:
            self.culprit_sends.append(self.now)
            self.schedule(RUN_S, lambda: self._end_by_culprit(engine, incarnation))
            return

        def finish() -> None:
            if entry in engine.running and engine.incarnation == incarnation:
                engine.running.remove(entry)
                self.answers[attribute] = self.answers.get(attribute, 0) + 1
                self.ledgers[instance].clear(attribute, now=self._local(instance))
            elif repeats:
                self._repeat(instance, attribute, engine.number, run_s, repeats)

        self.schedule(run_s, finish)

    def _repeat(
        self, instance: int, attribute: str, engine: int, run_s: float, repeats: int
    ) -> None:
        ledger = self.ledgers[instance]
        known = EndpointIncarnation(endpoint_id=f"e{engine}", started_ms=None)
        if ledger.find(attribute) is None and not ledger.has_ended_another(
            attribute, known, settled=False, now=self._local(instance)
        ):
            self._send(instance, attribute, run_s=run_s, repeats=repeats - 1)

    def _end_by_culprit(self, engine: Engine, incarnation: int) -> None:
        if engine.up and engine.incarnation == incarnation:
            self.culprit_ends.append(self.now)
            self._end(engine)

    def _end(self, engine: Engine) -> None:
        lost: dict[int, set[LostAttribute]] = {}
        for instance, attribute in engine.running:
            lost.setdefault(instance, set()).update(self._list_lost(attribute))
        name = EndpointIncarnation(endpoint_id=f"e{engine.number}", started_ms=engine.incarnation)
        for instance, attributes in lost.items():
            self.schedule(
                self.random.uniform(0.0, self._max_delay_s),
                lambda i=instance, c=frozenset(attributes): self._record_end(i, name, c),
            )
        engine.up = False
        engine.running = []
        engine.incarnation += 1
        self.schedule(RESTART_S, lambda: setattr(engine, "up", True))

    def _list_lost(self, attribute: str) -> list[LostAttribute]:
        """Return what is lost with a running request."""
        return [LostAttribute(attribute=attribute, organisation="bakery")]

    def _record_end(
        self, instance: int, name: EndpointIncarnation, lost: frozenset[LostAttribute]
    ) -> None:
        now = self._local(instance)
        end = EndpointEnd(incarnation=name, ended_at=now, lost=lost)
        if self.ledgers[instance].record_end(end, now=now):
            self._publish(instance, complete=False)

    def _claim_trial(self, instance: int, attribute: str) -> bool:
        """Grant a trial as a conditional write to the store does."""
        ledger = self.ledgers[instance]
        quarantine = ledger.find(attribute)
        assert quarantine is not None
        left = self._trials_left.setdefault(attribute, quarantine.trials_left)
        now = self._local(instance)
        if left <= 0 or left < quarantine.trials_left:
            ledger.use_trial(attribute, trials_left=left, now=now)
            return False
        self._trials_left[attribute] = left - 1
        ledger.use_trial(attribute, trials_left=left - 1, now=now)
        return True

    def _round(self, instance: int, number: int) -> None:
        now = self._local(instance)
        ledger = self.ledgers[instance]
        self._decide(instance, now=now)
        ledger.drop_expired(now=now)
        due = number % COMPLETE_ROUNDS == 0
        self._publish(instance, complete=due and self._repeats_all(instance))
        self.schedule(ROUND_INTERVAL_S, lambda: self._round(instance, number + 1))

    def _decide(self, instance: int, *, now: float) -> None:
        self.ledgers[instance].decide(now=now)

    def _repeats_all(self, instance: int) -> bool:
        if self._is_mesh:
            return instance < SENDERS_RANK
        return self._is_aggregator(instance)

    @property
    def _is_mesh(self) -> bool:
        return len(self.ledgers) <= FULL_MESH_INSTANCES

    def _is_aggregator(self, instance: int) -> bool:
        return not self._is_mesh and instance < AGGREGATORS * DOMAINS

    def _list_domain(self, instance: int) -> list[int]:
        return list(range(instance % DOMAINS, len(self.ledgers), DOMAINS))

    def _publish(self, instance: int, *, complete: bool) -> None:
        now = self._local(instance)
        report = self.ledgers[instance].build_report(complete=complete, now=now)
        if report is None:
            return
        data = encode_quarantine_report(report, now=now)
        assert data is not None
        if self._is_mesh:
            targets = set(range(len(self.ledgers)))
        else:
            targets = set(range(AGGREGATORS * DOMAINS))
            if self._is_aggregator(instance):
                targets.update(self._list_domain(instance))
        self._deliver(data, targets - {instance})

    def _deliver(self, data: bytes, targets: set[int]) -> None:
        self.datagrams += len(targets)
        self.bytes_sent += len(targets) * len(data)
        for target in sorted(targets):
            if self.random.random() >= self._loss:
                delay_s = self.random.uniform(0.0, self._max_delay_s)
                self.schedule(delay_s, lambda t=target: self._receive(t, data))

    def _receive(self, instance: int, data: bytes) -> None:
        now = self._local(instance)
        report = decode_quarantine_report(data, now=now)
        news = self.ledgers[instance].apply_report(report, now=now)
        if not self._is_aggregator(instance):
            return
        if not news.urgent:
            self.ledgers[instance].relay_clearances(news.cleared, now=now)
        else:
            self._deliver(data, set(self._list_domain(instance)) - {instance})
