"""The policy that the daemons use, on fakes: an entry's and a keeper's decision classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Final

from bench.baselines import Policy
from bench.engine import CACHED_SHARE
from guavamast.keepers import EndpointKeeper
from guavamast.placement import EndpointChooser, EndpointRequirements
from guavamast.retries import RetryBudget
from guavamast.slot_race import RaceRules, SlotRace
from guavamast.slots import Ask, Granted, LoadReport, Paused, Refused, Release

if TYPE_CHECKING:
    from bench.engine import FakeEngine, Run
    from bench.workload import Request
    from guavamast.slots import KeeperEvent, Probe

TICK_S: Final = 0.1
PROGRESS_S: Final = 0.5
MAX_TOKENS: Final = 4096
DEFAULT_RULES: Final = RaceRules()


@dataclass(slots=True, eq=False)
class Ticket:
    """A request at its entry."""

    request: Request
    race: SlotRace
    failed: set[str] = field(default_factory=set)
    asks: int = 0
    failures: int = 0
    skip: int = 0
    paused: bool = False
    holds: str = ""
    """The ask whose slot it uses."""
    run: Run | None = None
    over: bool = False


class RouterPolicy(Policy):
    """Entries with a chooser and a retry budget each, and a keeper for each endpoint.

    Args:
        asked: Keepers asked at once for one request.
        rules: When a further keeper is asked.
        probe_delay_s: Time by which probes come later than the answers they belong to.
    """

    def __init__(
        self,
        *,
        asked: int = 1,
        rules: RaceRules = DEFAULT_RULES,
        probe_delay_s: float = 0.0,
        **arguments: object,
    ) -> None:
        super().__init__(**arguments)
        self._asked = asked
        self._rules = rules
        self._probe_delay_s = probe_delay_s
        self._tickets: dict[str, Ticket] = {}
        self.asks = 0
        self.inversions = 0
        self.unused_grants = 0
        self.pauses = 0
        self._choosers = []
        self._budgets = []
        for number, instance in enumerate(self.fleet.instances):
            chooser = EndpointChooser(instance=instance, seed=self.random.getrandbits(32) + number)
            chooser.configure(self.fleet.configuration, self.fleet.view)
            self._choosers.append(chooser)
            self._budgets.append(RetryBudget())
        self._jitter = Random(self.random.getrandbits(32))
        self._keepers = {
            name: EndpointKeeper(endpoint=endpoint, configuration=self.fleet.configuration, now=0.0)
            for name, endpoint in self.fleet.configuration.endpoints.items()
        }
        self.events.call_later(TICK_S, self._tick)
        self.events.call_later(PROGRESS_S, self._report_progress)

    def take(self, request: Request) -> None:
        """Ask for a slot."""
        ticket = Ticket(request, SlotRace(rules=self._rules))
        self.events.call_at(request.deadline, lambda: self._expire(ticket))
        self._ask(ticket, self._asked)

    def take_report(self, engine: FakeEngine, running: int, as_of: float) -> None:
        """Hand a report to the keeper."""
        report = LoadReport(endpoint=engine.name, as_of=as_of, running=running)
        self._spread(
            engine.name, self._keepers[engine.name].record_load(report, now=self.events.now)
        )

    def _tick(self) -> None:
        for name, keeper in self._keepers.items():
            self._spread(name, keeper.tick(now=self.events.now))
        self.events.call_later(TICK_S, self._tick)

    def _report_progress(self) -> None:
        for engine in self.engines.values():
            for run in list(engine.running):
                ticket = self._tickets.get(str(run.request.number))
                if ticket is not None and ticket.holds and ticket.run is run:
                    done = max(0, int(engine.compute_done(run) - run.prefill)) + run.skip_tokens
                    self._keepers[engine.name].record_progress(
                        ticket.holds, done, now=self.events.now
                    )
        self.events.call_later(PROGRESS_S, self._report_progress)

    def _ask(self, ticket: Ticket, count: int = 1) -> None:
        request = ticket.request
        wanted = EndpointRequirements(
            tier=request.service_class.tier,
            model="" if request.kind.service else "model",
            service=request.kind.service,
            prefix_key=request.prefix_key,
            prompt_tokens=request.prompt_tokens,
            excluded=ticket.race.asked | ticket.failed,
            count=count,
        )
        names = self._choosers[request.entry].choose(wanted, now=self.events.now)
        if not names:
            if not ticket.race.is_waiting:
                self._end_refused(ticket)
            return
        self._tickets[str(request.number)] = ticket
        for name in names:
            ticket.asks += 1
            self.asks += 1
            ask_id = f"{request.number}/{ticket.asks}"
            ticket.race.record_ask(ask_id, name)
            ask = Ask(
                ask_id=ask_id,
                entry=f"instance-{request.entry}",
                endpoint=name,
                organisation=request.organisation,
                class_name=request.service_class.name,
                tier=request.service_class.tier,
                kind=request.kind.name,
                model=wanted.model,
                prompt_tokens=request.prompt_tokens,
                max_tokens=MAX_TOKENS,
                deadline=request.deadline,
            )
            self.events.call_later(self.measure_link(), lambda ask=ask: self._reach(ask))

    def _reach(self, ask: Ask) -> None:
        self._spread(ask.endpoint, self._keepers[ask.endpoint].ask(ask, now=self.events.now))

    def _spread(self, name: str, events: list[KeeperEvent]) -> None:
        if not events:
            return
        probe = self._keepers[name].build_probe(now=self.events.now)
        for event in events:
            self.events.call_later(
                self.measure_link(), lambda event=event: self._hear(event, probe)
            )

    def _hear(self, event: KeeperEvent, probe: Probe) -> None:
        ticket = self._tickets[event.ask.ask_id.partition("/")[0]]
        chooser = self._choosers[ticket.request.entry]
        if self._probe_delay_s:
            self.events.call_later(
                self._probe_delay_s, lambda: chooser.record_probe(probe, now=self.events.now)
            )
        else:
            chooser.record_probe(probe, now=self.events.now)
        if isinstance(event, Granted):
            self._use(ticket, event.ask)
        elif isinstance(event, Refused):
            self._go_on(ticket, event.ask)
        elif isinstance(event, Paused):
            self._pause(ticket, event.ask)
        elif not ticket.over and ticket.race.record_queued(event):
            self._ask(ticket)

    def _use(self, ticket: Ticket, ask: Ask) -> None:
        if ticket.over or not ticket.race.record_granted(ask.ask_id):
            self.unused_grants += 1
            self._release(Release(ask_id=ask.ask_id, endpoint=ask.endpoint, used=False))
            return
        self._withdraw_all(ticket)
        ticket.holds = ask.ask_id
        started = self.events.now
        ticket.run = self.run_at(
            ticket.request,
            self.engines[ask.endpoint],
            ticket.skip,
            lambda whole, delivered: self._finish(ticket, ask, started, whole, delivered),
            imports=ticket.paused,
        )
        ticket.paused = False

    def _finish(
        self, ticket: Ticket, ask: Ask, started: float, whole: bool, delivered: int
    ) -> None:
        if ticket.holds != ask.ask_id:
            return
        request = ticket.request
        run = ticket.run
        ticket.holds = ""
        ticket.run = None
        expired = delivered < 0
        now = self.events.now
        self._release(
            Release(
                ask_id=ask.ask_id,
                endpoint=ask.endpoint,
                used=True,
                failed=not whole and not expired,
                tokens=request.tokens if whole else max(0, delivered),
                first_token_s=(run.first_at or now) - started,
                duration_s=now - started,
            )
        )
        chooser = self._choosers[request.entry]
        budget = self._budgets[request.entry]
        if whole:
            chooser.record_outcome(ask.endpoint, succeeded=True, now=now)
            budget.record_success(request.service_class.name)
            ticket.over = True
            self.complete(request)
        elif expired:
            ticket.over = True
            self.refuse(request)
        else:
            chooser.record_outcome(ask.endpoint, succeeded=False, now=now)
            self._retry(ticket, ask, delivered)

    def _retry(self, ticket: Ticket, ask: Ask, delivered: int) -> None:
        request = ticket.request
        ticket.failures += 1
        retry = self._budgets[request.entry].plan(
            request.service_class.name,
            attempt=ticket.failures,
            idempotent=True,
            deadline=request.deadline,
            now=self.events.now,
            random=self._jitter,
        )
        if retry is None:
            self.wasted["given up"] += delivered
            self._end_refused(ticket)
            return
        ticket.skip = delivered
        ticket.failed.add(ask.endpoint)
        ticket.race.restart()
        self.events.call_later(retry.delay_s, lambda: ticket.over or self._ask(ticket))

    def _pause(self, ticket: Ticket, ask: Ask) -> None:
        """Stop a run with its KV cache kept, and ask again for a slot to go on."""
        if ticket.holds != ask.ask_id or ticket.run is None:
            return
        self.pauses += 1
        engine = self.engines[ask.endpoint]
        run = ticket.run
        done = engine.cancel(run)
        ticket.skip += max(0, int(done - run.prefill))
        ticket.paused = True
        self.wasted["paused"] += min(done, CACHED_SHARE * run.prefill)
        ticket.holds = ""
        ticket.run = None
        self._release(
            Release(ask_id=ask.ask_id, endpoint=ask.endpoint, used=True, tokens=ticket.skip)
        )
        ticket.race.restart()
        self._ask(ticket)

    def _go_on(self, ticket: Ticket, ask: Ask) -> None:
        if ticket.race.record_refused(ask.ask_id) and not ticket.over:
            self._ask(ticket)
        elif not (ticket.over or ticket.race.winner or ticket.race.is_waiting):
            self._end_refused(ticket)

    def _expire(self, ticket: Ticket) -> None:
        if ticket.over or ticket.holds:
            return
        self._end_refused(ticket)

    def _end_refused(self, ticket: Ticket) -> None:
        if ticket.over:
            return
        ticket.over = True
        self.wasted["refused later"] += ticket.skip
        self._withdraw_all(ticket)
        self._note_inversion(ticket.request)
        self.refuse(ticket.request)

    def _note_inversion(self, request: Request) -> None:
        tier = request.service_class.tier
        for engine in self.pools[request.kind.service]:
            probe = self._keepers[engine.name].build_probe(now=self.events.now)
            if not engine.crashed and probe.lowest_tier > tier:
                request.inverted = True

    def _withdraw_all(self, ticket: Ticket) -> None:
        for ask_id, name in ticket.race.close().items():
            self.events.call_later(
                self.measure_link(),
                lambda ask_id=ask_id, name=name: self._spread(
                    name, self._keepers[name].withdraw(ask_id, now=self.events.now)
                ),
            )

    def _release(self, release: Release) -> None:
        self.events.call_later(
            self.measure_link(),
            lambda: self._spread(
                release.endpoint,
                self._keepers[release.endpoint].release(release, now=self.events.now),
            ),
        )
