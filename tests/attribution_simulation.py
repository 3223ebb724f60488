"""A fleet whose engines end under parts of prompts, beside sound requests with common parts."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from itertools import count
from random import Random
from typing import Final

from guavamast.relay.messages import PromptPart
from guavamast.relay.quarantine import (
    AnsweredParts,
    EndpointEnd,
    LostAttribute,
    QuarantineReport,
    decode_quarantine_report,
    encode_quarantine_report,
    name_part,
)
from guavamast.relay.quarantine.guard import PUBLISHED_ENDS
from guavamast.relay.quarantine.run_watch import LASTING_S
from tests.quarantine_simulation import WINDOW_S, Engine, FleetSimulation

ALLOWED_ENDS: Final = 5
LETHAL: Final = "dead"
LETHAL_DELAY_S: Final = 0.1
"""Seconds from the first token to the end of the engine."""
SAVE_INTERVAL_S: Final = 1.0
LOAD: Final = 55.0 / 14.0
"""Requests to engines a second, for each instance."""
ENGINES: Final = 9.0 / 14.0
"""Engines for each instance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """Requests of one route: how many, which parts they share, and how long engines take."""

    share: float
    """Share of all requests."""
    first_parts: int
    second_parts: int
    first_event_s: tuple[float, float]
    """Shortest and longest time to the first event."""
    lasting_s: tuple[float, float]
    """Shortest and longest time from the first event to the last."""


KINDS: Final = (
    RequestKind(
        share=0.23,
        first_parts=1,
        second_parts=177,
        first_event_s=(0.15, 0.6),
        lasting_s=(1.5, 6.0),
    ),
    RequestKind(
        share=0.33,
        first_parts=40,
        second_parts=259,
        first_event_s=(0.05, 0.2),
        lasting_s=(0.8, 4.0),
    ),
    RequestKind(
        share=0.44,
        first_parts=8,
        second_parts=343,
        first_event_s=(0.05, 0.2),
        lasting_s=(0.02, 0.3),
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What happens in one run."""

    instances: int = 14
    loss: float = 0.03
    """Share of datagrams that are lost."""
    lethal_pause_s: float = 1.0
    """Mean pause between requests with a lethal part; infinite for none."""
    lethal_parts: int = 1
    lethal_first: bool = False
    """Whether the lethal part is the first of the prompt, not the second."""
    load: float = LOAD
    spontaneous_ends: tuple[float, ...] = ()
    """Times at which an engine ends by itself."""
    outages: tuple[float, ...] = ()
    """Times at which half of the engines end at once."""
    kills: tuple[float, ...] = ()
    """Times at which all instances are killed, and start again with what was saved."""
    length_s: float = 40.0


@dataclass(slots=True, kw_only=True)
class _Run:
    parts: tuple[str, ...]
    began_at: float


@dataclass(slots=True, kw_only=True)
class Findings:
    """What one run showed."""

    ends: int
    """Engines that ended under lethal parts."""
    later_sends: int
    """Sends with a lethal part later than the window after its fifth end, the worst part's."""
    held_innocents: dict[str, float]
    """Seconds for which each innocent attribute was in quarantine at any instance."""
    refused_sound: int
    sound: int
    datagrams_per_s: float
    bytes_per_s: float
    spared: set[str] = field(default_factory=set)


class AttributionSimulation(FleetSimulation):
    """Instances, engines and messages on one clock, with prompts of three parts."""

    def __init__(self, scenario: Scenario, *, seed: int) -> None:
        self.scenario = scenario
        self.runs: dict[str, _Run] = {}
        self.sends: dict[str, list[float]] = {}
        self.ends: dict[str, list[float]] = {}
        self.sound = 0
        self.refused_sound = 0
        self.held: dict[str, float] = {}
        self.spared: set[str] = set()
        self._run_numbers = count()
        self._saved: bytes | None = None
        self._answered = [AnsweredParts() for _ in range(scenario.instances)]
        super().__init__(
            instances=scenario.instances,
            engines=max(3, round(scenario.instances * ENGINES)),
            loss=scenario.loss,
            max_delay_s=0.1,
            random=Random(seed),
        )
        self.schedule(0.0, self._send_sound)
        lethal = [LETHAL + str(number) for number in range(scenario.lethal_parts)]
        if scenario.lethal_pause_s < float("inf"):
            for part in lethal:
                self.schedule(10.0, lambda p=part: self._send_lethal(p))
        for at in scenario.spontaneous_ends:
            self.schedule(at, lambda: self._end(self.random.choice(self._list_up())))
        for at in scenario.outages:
            self.schedule(at, self._fail_half)
        for at in scenario.kills:
            self.schedule(at, self._restart_all)
        self.schedule(SAVE_INTERVAL_S, self._save)

    def play(self) -> Findings:
        """Run the scenario; return what it showed."""
        self.run(self.scenario.length_s)
        later = [
            sum(at > self.ends[part][ALLOWED_ENDS - 1] + WINDOW_S for at in sends)
            for part, sends in self.sends.items()
            if len(self.ends.get(part, ())) >= ALLOWED_ENDS
        ]
        return Findings(
            ends=sum(map(len, self.ends.values())),
            later_sends=max(later, default=0),
            held_innocents=self.held,
            refused_sound=self.refused_sound,
            sound=self.sound,
            datagrams_per_s=self.datagrams / self.scenario.length_s,
            bytes_per_s=self.bytes_sent / self.scenario.length_s,
            spared=self.spared,
        )

    def _list_up(self) -> list[Engine]:
        return [engine for engine in self.engines if engine.up] or self.engines

    def _fail_half(self) -> None:
        up = self._list_up()
        for engine in up[: max(1, len(up) // 2)]:
            delay_s = self.random.uniform(0.0, 1.0)
            self.schedule(delay_s, lambda e=engine: self._end(e) if e.up else None)

    def _send_sound(self) -> None:
        scenario = self.scenario
        self.schedule(self.random.expovariate(scenario.load * scenario.instances), self._send_sound)
        kind = self.random.choices(KINDS, weights=[kind.share for kind in KINDS])[0]
        number = KINDS.index(kind)
        parts = (
            f"f{number}.{self.random.randrange(kind.first_parts)}",
            f"s{number}.{self.random.randrange(kind.second_parts)}",
        )
        self.sound += 1
        if not self._send_parts(parts, kind):
            self.refused_sound += 1

    def _send_lethal(self, part: str) -> None:
        scenario = self.scenario
        pause_s = self.random.uniform(0.5, 1.5) * scenario.lethal_pause_s
        self.schedule(pause_s, lambda: self._send_lethal(part))
        kind = KINDS[2]
        if scenario.lethal_first:
            parts = (part, f"s2.{self.random.randrange(kind.second_parts)}")
        else:
            parts = (f"f2.{self.random.randrange(kind.first_parts)}", part)
        self._send_parts(parts, kind)

    def _send_parts(self, parts: tuple[str, ...], kind: RequestKind) -> bool:
        """Send a request to a random instance; return False if that refuses it."""
        instance = self.random.randrange(len(self.ledgers))
        ledger = self.ledgers[instance]
        if any(ledger.find(name_part(part)) is not None for part in parts):
            return False
        up = [engine for engine in self.engines if engine.up]
        if not up:
            return True
        engine = self.random.choice(up)
        begin_s = self.random.uniform(*kind.first_event_s)
        key = f"{next(self._run_numbers):032x}"
        self.runs[key] = _Run(parts=parts, began_at=self.now + begin_s)
        engine.running.append((instance, key))
        incarnation = engine.incarnation
        lethal = [part for part in parts if part.startswith(LETHAL)]
        if lethal:
            self.sends.setdefault(lethal[0], []).append(self.now)
            self.schedule(
                begin_s + LETHAL_DELAY_S, lambda: self._end_under(engine, incarnation, lethal[0])
            )
            return True
        lasting_s = self.random.uniform(*kind.lasting_s)
        if lasting_s > LASTING_S:
            self.schedule(
                begin_s + LASTING_S, lambda: self._outlast(engine, incarnation, instance, key)
            )
        self.schedule(begin_s + lasting_s, lambda: self._finish(engine, incarnation, instance, key))
        return True

    def _end_under(self, engine: Engine, incarnation: int, part: str) -> None:
        if engine.up and engine.incarnation == incarnation:
            self.ends.setdefault(part, []).append(self.now)
            self._end(engine)

    def _outlast(self, engine: Engine, incarnation: int, instance: int, key: str) -> None:
        if engine.up and engine.incarnation == incarnation:
            self._acquit(instance, self.runs[key])

    def _finish(self, engine: Engine, incarnation: int, instance: int, key: str) -> None:
        run = self.runs.pop(key)
        if engine.up and engine.incarnation == incarnation:
            engine.running.remove((instance, key))
            prompt = tuple(PromptPart(part_id=part, tokens=1) for part in (*run.parts, key))
            self._answered[instance].record(prompt)
            self._acquit(instance, run)

    def _acquit(self, instance: int, run: _Run) -> None:
        """Clear parts as an instance does that has forwarded a part of the answer, or all of it."""
        ledger = self.ledgers[instance]
        now = self._local(instance)
        at = run.began_at + self._offsets[instance]
        for part in run.parts:
            attribute = name_part(part)
            ends = ledger.count_ends(attribute)
            cleared = ledger.clear(attribute, at=at, now=now)
            if cleared and ends >= PUBLISHED_ENDS:
                self._publish(instance, complete=False)

    def _list_lost(self, attribute: str) -> list[LostAttribute]:
        run = self.runs[attribute]
        content = LostAttribute(attribute=attribute, organisation="bakery")
        if self.now - run.began_at >= LASTING_S:
            return [content]
        parts = [LostAttribute(attribute=name_part(part), organisation=None) for part in run.parts]
        return [content, *parts]

    def _decide(self, instance: int, *, now: float) -> None:
        ledger = self.ledgers[instance]
        decision = ledger.decide(now=now, is_common=self._answered[instance].is_common)
        self.spared.update(decision.spared)
        for quarantine in ledger.list_quarantines():
            attribute = quarantine.attribute
            if not attribute.startswith(name_part(LETHAL)):
                share_s = 0.5 / len(self.ledgers)
                self.held[attribute] = self.held.get(attribute, 0.0) + share_s

    def _save(self) -> None:
        """Save the evidence of one instance, as it does to the store."""
        self.schedule(SAVE_INTERVAL_S, self._save)
        now = self._local(0)
        ends: list[EndpointEnd] = self.ledgers[0].list_lasting_ends(now=now)
        report = QuarantineReport(domain="", ends=tuple(ends), clearances=(), quarantines=())
        self._saved = encode_quarantine_report(report, now=now)

    def _restart_all(self) -> None:
        held = self.ledgers[0].list_quarantines()
        for instance in range(len(self.ledgers)):
            self.restart(instance)
            self._answered[instance] = AnsweredParts()
            now = self._local(instance)
            ledger = self.ledgers[instance]
            for quarantine in held:
                ledger.restore(replace(quarantine, since=now, requested_at=now))
            if self._saved is not None:
                ledger.restore_ends(decode_quarantine_report(self._saved, now=now).ends)
