"""The policy of the daemons: the decision classes of entries and keepers, on fake engines."""

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

TICK_INTERVAL_S: Final = 0.1
PROGRESS_INTERVAL_S: Final = 0.5
MAX_TOKENS: Final = 4096
DEFAULT_RULES: Final = RaceRules()


@dataclass(slots=True, eq=False)
class RequestState:
    """State of one request at its entry."""

    request: Request
    race: SlotRace
    failed: set[str] = field(default_factory=set)
    asks: int = 0
    failures: int = 0
    skip_tokens: int = 0
    paused: bool = False
    held_ask_id: str = ""
    """Identifier of the ask whose slot the request uses; empty for none."""
    run: Run | None = None
    ended: bool = False


class RouterPolicy(Policy):
    """Gives each entry a chooser and a retry budget, and each endpoint a keeper.

    Args:
        keepers_asked: Number of keepers asked at the same time for one request.
        rules: Rules for asking a further keeper.
        probe_delay_s: Delay of probes after the replies that they belong to.
    """

    def __init__(
        self,
        *,
        keepers_asked: int = 1,
        rules: RaceRules = DEFAULT_RULES,
        probe_delay_s: float = 0.0,
        **arguments: object,
    ) -> None:
        super().__init__(**arguments)
        self._keepers_asked = keepers_asked
        self._rules = rules
        self._probe_delay_s = probe_delay_s
        self._states: dict[str, RequestState] = {}
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
        self.events.call_later(TICK_INTERVAL_S, self._tick)
        self.events.call_later(PROGRESS_INTERVAL_S, self._report_progress)

    def receive(self, request: Request) -> None:
        """Ask for a slot for an arriving request."""
        state = RequestState(request, SlotRace(rules=self._rules))
        self.events.call_at(request.deadline, lambda: self._expire(state))
        self._ask(state, self._keepers_asked)

    def apply_report(self, engine: FakeEngine, running: int, as_of: float) -> None:
        """Pass a load report to the engine's keeper."""
        report = LoadReport(endpoint=engine.name, as_of=as_of, running=running)
        self._send_events(
            engine.name, self._keepers[engine.name].record_load(report, now=self.events.now)
        )

    def _tick(self) -> None:
        for name, keeper in self._keepers.items():
            self._send_events(name, keeper.tick(now=self.events.now))
        self.events.call_later(TICK_INTERVAL_S, self._tick)

    def _report_progress(self) -> None:
        for engine in self.engines.values():
            for run in list(engine.running):
                state = self._states.get(str(run.request.number))
                if state is not None and state.held_ask_id and state.run is run:
                    done = max(0, int(engine.count_computed(run) - run.prefill)) + run.skip_tokens
                    self._keepers[engine.name].record_progress(
                        state.held_ask_id, done, now=self.events.now
                    )
        self.events.call_later(PROGRESS_INTERVAL_S, self._report_progress)

    def _ask(self, state: RequestState, count: int = 1) -> None:
        request = state.request
        wanted = EndpointRequirements(
            tier=request.service_class.tier,
            model="" if request.kind.service else "model",
            service=request.kind.service,
            prefix_key=request.prefix_key,
            prompt_tokens=request.prompt_tokens,
            excluded=state.race.asked | state.failed,
            count=count,
        )
        names = self._choosers[request.entry].choose(wanted, now=self.events.now)
        if not names:
            if not state.race.is_waiting:
                self._reject(state)
            return
        self._states[str(request.number)] = state
        for name in names:
            state.asks += 1
            self.asks += 1
            ask_id = f"{request.number}/{state.asks}"
            state.race.record_ask(ask_id, name)
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
            self.events.call_later(self.draw_link_s(), lambda ask=ask: self._deliver_ask(ask))

    def _deliver_ask(self, ask: Ask) -> None:
        self._send_events(ask.endpoint, self._keepers[ask.endpoint].ask(ask, now=self.events.now))

    def _send_events(self, name: str, events: list[KeeperEvent]) -> None:
        if not events:
            return
        probe = self._keepers[name].build_probe(now=self.events.now)
        for event in events:
            self.events.call_later(
                self.draw_link_s(), lambda event=event: self._receive_event(event, probe)
            )

    def _receive_event(self, event: KeeperEvent, probe: Probe) -> None:
        state = self._states[event.ask.ask_id.partition("/")[0]]
        chooser = self._choosers[state.request.entry]
        if self._probe_delay_s:
            self.events.call_later(
                self._probe_delay_s, lambda: chooser.record_probe(probe, now=self.events.now)
            )
        else:
            chooser.record_probe(probe, now=self.events.now)
        if isinstance(event, Granted):
            self._use_grant(state, event.ask)
        elif isinstance(event, Refused):
            self._handle_rejection(state, event.ask)
        elif isinstance(event, Paused):
            self._pause(state, event.ask)
        elif not state.ended and state.race.record_queued(event):
            self._ask(state)

    def _use_grant(self, state: RequestState, ask: Ask) -> None:
        if state.ended or not state.race.record_granted(ask.ask_id):
            self.unused_grants += 1
            self._release(Release(ask_id=ask.ask_id, endpoint=ask.endpoint, used=False))
            return
        self._withdraw_all(state)
        state.held_ask_id = ask.ask_id
        started = self.events.now
        state.run = self.run_at(
            state.request,
            self.engines[ask.endpoint],
            state.skip_tokens,
            lambda whole, delivered: self._finish(state, ask, started, whole, delivered),
            imports=state.paused,
        )
        state.paused = False

    def _finish(
        self, state: RequestState, ask: Ask, started: float, whole: bool, delivered: int
    ) -> None:
        if state.held_ask_id != ask.ask_id:
            return
        request = state.request
        run = state.run
        state.held_ask_id = ""
        state.run = None
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
            state.ended = True
            self.complete(request)
        elif expired:
            state.ended = True
            self.reject(request)
        else:
            chooser.record_outcome(ask.endpoint, succeeded=False, now=now)
            self._retry(state, ask, delivered)

    def _retry(self, state: RequestState, ask: Ask, delivered: int) -> None:
        request = state.request
        state.failures += 1
        retry = self._budgets[request.entry].plan(
            request.service_class.name,
            attempt=state.failures,
            idempotent=True,
            deadline=request.deadline,
            now=self.events.now,
            random=self._jitter,
        )
        if retry is None:
            self.wasted["given up"] += delivered
            self._reject(state)
            return
        state.skip_tokens = delivered
        state.failed.add(ask.endpoint)
        state.race.restart()
        self.events.call_later(retry.delay_s, lambda: state.ended or self._ask(state))

    def _pause(self, state: RequestState, ask: Ask) -> None:
        """Stop a run, keep its KV cache, and ask for a slot to resume it."""
        if state.held_ask_id != ask.ask_id or state.run is None:
            return
        self.pauses += 1
        engine = self.engines[ask.endpoint]
        run = state.run
        done = engine.cancel(run)
        state.skip_tokens += max(0, int(done - run.prefill))
        state.paused = True
        self.wasted["paused"] += min(done, CACHED_SHARE * run.prefill)
        state.held_ask_id = ""
        state.run = None
        self._release(
            Release(ask_id=ask.ask_id, endpoint=ask.endpoint, used=True, tokens=state.skip_tokens)
        )
        state.race.restart()
        self._ask(state)

    def _handle_rejection(self, state: RequestState, ask: Ask) -> None:
        if state.race.record_refused(ask.ask_id) and not state.ended:
            self._ask(state)
        elif not (state.ended or state.race.winner or state.race.is_waiting):
            self._reject(state)

    def _expire(self, state: RequestState) -> None:
        if state.ended or state.held_ask_id:
            return
        self._reject(state)

    def _reject(self, state: RequestState) -> None:
        if state.ended:
            return
        state.ended = True
        self.wasted["refused later"] += state.skip_tokens
        self._withdraw_all(state)
        self._record_inversion(state.request)
        self.reject(state.request)

    def _record_inversion(self, request: Request) -> None:
        tier = request.service_class.tier
        for engine in self.pools[request.kind.service]:
            probe = self._keepers[engine.name].build_probe(now=self.events.now)
            if not engine.crashed and probe.lowest_tier > tier:
                request.inverted = True

    def _withdraw_all(self, state: RequestState) -> None:
        for ask_id, name in state.race.close().items():
            self.events.call_later(
                self.draw_link_s(),
                lambda ask_id=ask_id, name=name: self._send_events(
                    name, self._keepers[name].withdraw(ask_id, now=self.events.now)
                ),
            )

    def _release(self, release: Release) -> None:
        self.events.call_later(
            self.draw_link_s(),
            lambda: self._send_events(
                release.endpoint,
                self._keepers[release.endpoint].release(release, now=self.events.now),
            ),
        )
